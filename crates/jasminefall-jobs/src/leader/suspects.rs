//! Tasks under which workers have crashed.
//!
//! The replicated state counts the crashes under each task. Which runs were on a crashed worker is known
//! only to the leader that had read its run list, so that a crash during a change of the leader may not be
//! counted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::isolation::has_survived_probation;
use super::{Leader, Run, RunState, Worker, WorkerHandle, first_run_number};
use crate::ids::{IncarnationId, JobKey, TaskId};
use crate::policy::crashes::CrashCounts;
use crate::state::{Command, JobsState};
use crate::worker::{Heartbeat, RunEnd};

/// How long the runs of a worker that has vanished are remembered, in milliseconds; far above the time
/// that a crashed worker takes to start again.
const VANISHED_RETENTION_MS: u64 = 60_000;
/// The number of workers whose crashes within [`COMMON_CRASHES_WINDOW_MS`] speak for a common cause.
const COMMON_CRASHES: usize = 5;
/// Time within which crashes of a common cause are noticed, in milliseconds.
const COMMON_CRASHES_WINDOW_MS: u64 = 1_000;

/// Describes a run on a worker that has crashed or vanished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LostRun {
    task: TaskId,
    number: u64,
    requested_at_ms: u64,
    /// Whether the run was active for certain.
    is_certain: bool,
    /// Whether the run was of a long-running task that had finished its start-up.
    has_started_up: bool,
    /// Whether the worker has listed the run as active after its probation.
    survived_probation: bool,
}

impl LostRun {
    fn new(run: &Run, worker: &Worker) -> Self {
        Self {
            task: run.task,
            number: run.number,
            requested_at_ms: run.requested_at_ms,
            is_certain: !matches!(run.state, RunState::Requested | RunState::Unconfirmed),
            has_started_up: run.has_started_up(),
            survived_probation: has_survived_probation(run, worker),
        }
    }
}

/// Holds the runs of a worker whose lease has expired without a response.
#[derive(Debug, Clone)]
struct VanishedWorker {
    heartbeat: Heartbeat,
    runs: Vec<LostRun>,
    vanished_at_ms: u64,
    /// When the lease had expired, in milliseconds since 1970.
    expired_at_wall_ms: u64,
}

/// Identifies the crash of a worker within one leadership.
type CrashNumber = u64;

/// States how long a suspect still waits for isolation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum IsolationWait {
    /// The wait begins once this leader knows all runs of the task.
    NotBegun,
    /// The wait began at this time, on the steady clock.
    Since(u64),
    /// The task is placed as any other.
    #[default]
    Over,
}

/// Holds what speaks against a task.
#[derive(Debug, Clone, Default)]
struct Suspicion {
    counts: CrashCounts,
    /// The crashes that this leader has seen, each with the time at which the run was requested.
    crashes: BTreeMap<CrashNumber, u64>,
    wait: IsolationWait,
    /// Whether the task is not started any more.
    given_up: bool,
}

impl Suspicion {
    /// Returns when the run in the latest crash was requested; zero if an earlier leader saw it.
    fn last_requested_at_ms(&self) -> u64 {
        self.crashes.last_key_value().map_or(0, |(_, at_ms)| *at_ms)
    }
}

/// Tracks the tasks under which workers have crashed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspects {
    by_task: BTreeMap<TaskId, Suspicion>,
    vanished: BTreeMap<IncarnationId, VanishedWorker>,
    next_crash: CrashNumber,
    /// When the latest crashes were recorded, on the steady clock; at most [`COMMON_CRASHES`].
    recorded_at_ms: VecDeque<u64>,
}

impl Suspects {
    /// Creates the suspects of a new leader from the crashes that earlier leaders have recorded.
    ///
    /// A suspect waits for isolation under two leaders at most: the number of the run that crashed last tells
    /// which leader started it.
    pub(crate) fn resumed(state: &JobsState) -> Self {
        let previous_leadership = state.leaderships.saturating_sub(1);
        let by_task = state.crashes.iter().map(|(task, crashes)| {
            let last_run = crashes.last_run().unwrap_or_default();
            let is_recent = last_run > first_run_number(previous_leadership);
            let count = crashes.count();
            let counts = CrashCounts {
                certain: count,
                possible: count,
                early: count,
                ..CrashCounts::default()
            };
            (
                *task,
                Suspicion {
                    counts,
                    wait: if is_recent {
                        IsolationWait::NotBegun
                    } else {
                        IsolationWait::Over
                    },
                    ..Suspicion::default()
                },
            )
        });
        Self {
            by_task: by_task.collect(),
            ..Self::default()
        }
    }

    /// Returns whether a task is a suspect.
    pub(crate) fn contains(&self, task: TaskId) -> bool {
        self.by_task.contains_key(&task)
    }

    /// Returns whether a task is not started any more.
    pub(crate) fn is_given_up(&self, task: TaskId) -> bool {
        let known = self.by_task.get(&task);
        known.is_some_and(|known| known.given_up)
    }

    /// Returns whether there are no suspects.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Returns how long a task still waits for isolation.
    pub(super) fn isolation_wait(&self, task: TaskId) -> IsolationWait {
        let known = self.by_task.get(&task);
        known.map_or(IsolationWait::Over, |known| known.wait)
    }

    /// Returns the suspects of earlier leaders whose wait for isolation has not begun.
    pub(super) fn with_wait_not_begun(&self) -> Vec<TaskId> {
        let awaiting = self.by_task.iter();
        let awaiting = awaiting.filter(|(_, known)| known.wait == IsolationWait::NotBegun);
        awaiting.map(|(task, _)| *task).collect()
    }

    /// Begins the wait of a suspect for isolation.
    pub(super) fn begin_isolation_wait(&mut self, task: TaskId, now_ms: u64) {
        if let Some(known) = self.by_task.get_mut(&task) {
            known.wait = IsolationWait::Since(now_ms);
        }
    }

    /// Returns whether several workers have crashed under a task.
    pub(crate) fn has_repeated_crashes(&self, task: TaskId) -> bool {
        let known = self.by_task.get(&task);
        known.is_some_and(|known| known.counts.certain > 1)
    }

    /// Ends the wait of a suspect for a worker without other jobs, until a worker crashes under it again.
    pub(crate) fn end_isolation_wait(&mut self, task: TaskId) {
        if let Some(known) = self.by_task.get_mut(&task) {
            known.wait = IsolationWait::Over;
        }
    }

    /// Returns whether several workers have just crashed at once.
    pub(crate) fn has_common_crashes(&self, now_ms: u64) -> bool {
        let first_ms = self.recorded_at_ms.front();
        self.recorded_at_ms.len() == COMMON_CRASHES
            && first_ms.is_some_and(|first_ms| now_ms <= first_ms + COMMON_CRASHES_WINDOW_MS)
    }

    /// Returns the number of a crash that is recorded now.
    fn number_crash(&mut self, now_ms: u64) -> CrashNumber {
        if self.recorded_at_ms.len() == COMMON_CRASHES {
            self.recorded_at_ms.pop_front();
        }
        self.recorded_at_ms.push_back(now_ms);
        self.next_crash += 1;
        self.next_crash
    }

    /// Returns the suspects that may be started, those first under which most workers have crashed, then those
    /// whose run began last before the crash, since a crash most often follows soon after the start that
    /// causes it.
    pub(crate) fn in_order(&self) -> Vec<TaskId> {
        let startable = self.by_task.iter().filter(|(_, known)| !known.given_up);
        let mut ranked: Vec<_> = startable
            .map(|(task, known)| {
                let rank = (known.counts.certain, known.last_requested_at_ms());
                (std::cmp::Reverse(rank), *task)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, task)| task).collect()
    }

    /// Removes a task that is done or has proved harmless.
    pub(crate) fn remove(&mut self, task: TaskId) {
        self.by_task.remove(&task);
    }

    /// Forgets the runs of a worker that has answered again, since it had not crashed.
    pub(crate) fn forget_vanished(&mut self, incarnation: &IncarnationId) {
        self.vanished.remove(incarnation);
    }

    /// Removes the tasks of a job that has ended.
    pub(crate) fn remove_job(&mut self, job: JobKey) {
        self.by_task.retain(|task, _| task.job != job);
    }

    /// Clears the tasks whose crashes a task that is given up explains: their runs in these crashes had
    /// begun before its own. Returns the cleared tasks.
    fn clear_explained(&mut self, culprit: TaskId) -> Vec<TaskId> {
        let Some(culprit) = self.by_task.get(&culprit).cloned() else {
            return Vec::new();
        };
        let mut cleared = Vec::new();
        self.by_task.retain(|task, known| {
            if known.given_up || known.crashes.is_empty() {
                return true;
            }
            let is_explained = |(crash, requested_at_ms): (&CrashNumber, &u64)| {
                let culprit_at_ms = culprit.crashes.get(crash);
                culprit_at_ms.is_some_and(|at_ms| requested_at_ms < at_ms)
            };
            let all_explained = known.crashes.iter().all(is_explained);
            if all_explained {
                cleared.push(*task);
            }
            !all_explained
        });
        cleared
    }
}

impl Leader {
    /// Returns whether the end of an incarnation was not to be expected: the worker had not drained, and
    /// neither a move nor maintenance of its instance has been requested.
    pub(super) fn ends_unexpectedly(&self, heartbeat: &Heartbeat) -> bool {
        let is_requested = heartbeat.instance.as_ref().is_some_and(|instance| {
            self.moves.is_requested(instance) || self.maintenance.is_requested(instance)
        });
        !heartbeat.draining && !is_requested
    }

    /// Remembers the runs of a worker whose lease has expired: if it turns out that the worker had
    /// crashed, they count as crashed.
    pub(super) fn record_vanished(&mut self, handle: WorkerHandle) {
        let Some(worker) = self.workers.get(&handle) else {
            return;
        };
        let runs = self.lost_runs(worker);
        if runs.is_empty() {
            return;
        }
        let vanished = VanishedWorker {
            heartbeat: worker.heartbeat.clone(),
            runs,
            vanished_at_ms: self.now.steady_ms,
            expired_at_wall_ms: self.now.wall_ms,
        };
        let incarnation = worker.incarnation().clone();
        self.suspects.vanished.insert(incarnation, vanished);
    }

    fn lost_runs(&self, worker: &Worker) -> Vec<LostRun> {
        let runs = worker.runs.iter().filter_map(|(task, number)| {
            let runs = self.runs.get(task)?;
            runs.iter().find(|run| run.number == *number)
        });
        runs.map(|run| LostRun::new(run, worker)).collect()
    }

    /// Records the crashes of workers that had vanished and whose instance, as a heartbeat shows, had started
    /// again before their lease expired.
    pub(super) fn record_crashes_of_vanished(&mut self, successor: &Heartbeat, state: &JobsState) {
        if self.suspects.vanished.is_empty() {
            return;
        }
        let now_ms = self.now.steady_ms;
        self.suspects
            .vanished
            .retain(|_, vanished| now_ms < vanished.vanished_at_ms + VANISHED_RETENTION_MS);
        let restarted_at_ms = successor.incarnation.started_at_ms;
        let restarted = self.suspects.vanished.iter().filter(|(id, vanished)| {
            vanished.heartbeat.instance.is_some()
                && vanished.heartbeat.instance == successor.instance
                && (id.started_at_ms + 1..=vanished.expired_at_wall_ms).contains(&restarted_at_ms)
                && self.ends_unexpectedly(&vanished.heartbeat)
        });
        let restarted: Vec<_> = restarted.map(|(id, _)| id.clone()).collect();
        for incarnation in restarted {
            let Some(vanished) = self.suspects.vanished.remove(&incarnation) else {
                continue;
            };
            // The ends of a run can only be recorded for a registered incarnation.
            let is_registered = self.will_be_recorded(&incarnation, state);
            if !is_registered {
                self.propose(Command::Register(Box::new(vanished.heartbeat)));
            }
            self.record_crash(&incarnation, &vanished.runs, state);
            if !is_registered {
                self.propose(Command::Retire(incarnation));
            }
        }
    }

    /// Records the crash of a worker that is about to be removed.
    pub(super) fn record_worker_crash(&mut self, handle: WorkerHandle, state: &JobsState) {
        let Some(worker) = self.workers.get(&handle) else {
            return;
        };
        let (incarnation, runs) = (worker.incarnation().clone(), self.lost_runs(worker));
        if !runs.is_empty() {
            self.record_crash(&incarnation, &runs, state);
        }
    }

    /// Records a crash under the tasks whose runs it ended, and gives up those that reach a limit.
    fn record_crash(&mut self, incarnation: &IncarnationId, runs: &[LostRun], state: &JobsState) {
        // A run of a job that has ended is stopped and never started again.
        let suspects = runs
            .iter()
            .filter(|run| !run.has_started_up && self.steps.contains_key(&run.task.step_id()));
        let suspects: Vec<_> = suspects.copied().collect();
        self.counts.crashes += 1;
        self.counts.crashed_runs += runs.len() as u64;
        let jobs: BTreeSet<_> = suspects.iter().map(|run| run.task.job).collect();
        let was_isolated = jobs.len() == 1 && suspects.len() == runs.len();
        self.log_event(format!(
            "event=worker_crashed worker={incarnation} runs={} suspects={} isolated={was_isolated}",
            runs.len(),
            suspects.len()
        ));
        let certain = suspects.iter().filter(|run| run.is_certain);
        let ends: Vec<_> = certain
            .map(|run| RunEnd::crashed(run.task, run.number))
            .collect();
        if !ends.is_empty() {
            self.propose(Command::RecordRunEnds {
                life: incarnation.clone(),
                ends,
            });
        }
        let crash = self.suspects.number_crash(self.now.steady_ms);
        let mut failing = Vec::new();
        for run in &suspects {
            // A crash during a change of the leader is not recorded.
            let step = self.steps.get(&run.task.step_id());
            let may_lack_crashes = step.is_some_and(|step| step.inherited);
            let long_running = step.is_some_and(|step| step.step().long_running);
            let known = self.suspects.by_task.entry(run.task).or_default();
            known.crashes.insert(crash, run.requested_at_ms);
            if !run.survived_probation {
                known.wait = IsolationWait::Since(self.now.steady_ms);
            }
            known
                .counts
                .record(run.is_certain, !run.survived_probation, was_isolated);
            known.given_up |= if long_running {
                known.counts.is_long_running_given_up()
            } else {
                known.counts.is_given_up(was_isolated, may_lack_crashes)
            };
            let (counts, given_up) = (known.counts, known.given_up);
            self.log_event(format!(
                "event=task_suspected task={} run={} crashes={} isolated={} possible={} given_up={given_up}",
                run.task, run.number, counts.certain, counts.isolated, counts.possible
            ));
            if given_up {
                failing.push(*run);
            }
        }
        self.give_up(incarnation, &failing, state);
    }

    /// Ends the jobs of tasks that are given up, and clears the tasks that were suspects because of them.
    fn give_up(&mut self, incarnation: &IncarnationId, runs: &[LostRun], state: &JobsState) {
        // Ends that the worker listed may have been proposed and not applied yet.
        let mut last_number = self.ends_seen(incarnation);
        let mut failed_jobs = BTreeSet::new();
        let mut ends = Vec::new();
        for run in runs {
            for cleared in self.suspects.clear_explained(run.task) {
                self.log_event(format!(
                    "event=suspicion_cleared task={cleared} by={}",
                    run.task
                ));
            }
            if failed_jobs.insert(run.task.job) {
                for end in state.ends_to_fail(incarnation, run.task, run.number) {
                    last_number = end.number.max(last_number + 1);
                    ends.push(RunEnd {
                        number: last_number,
                        ..end
                    });
                }
            }
        }
        self.counts.jobs_given_up += failed_jobs.len() as u64;
        if !ends.is_empty() {
            self.propose(Command::RecordRunEnds {
                life: incarnation.clone(),
                ends,
            });
        }
    }
}
