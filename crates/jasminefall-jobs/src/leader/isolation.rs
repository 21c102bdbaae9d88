//! Placement of suspects: tasks under which workers have crashed.
//!
//! The suspects of a job run on a worker without other jobs. Workers are emptied for them one after the
//! other, so that most of a pool stays available to other tasks. A worker is held for suspects for a limited
//! time: a task that crashes its workers does so soon after its start. A suspect that has waited for such a
//! worker for some time after its latest crash is placed as any other task.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::placement::{EligibleWorker, candidate, could_run};
use super::suspects::IsolationWait;
use super::{Leader, Run, Worker, WorkerHandle};
use crate::ids::{JobKey, StepId, TaskId};
use crate::policy::placement::{self, TaskRequirements};
use crate::state::JobsState;

/// The part of a pool's workers that suspects may hold while other tasks wait, as a divisor.
const ISOLATION_DIVISOR: usize = 4;
/// Time after its latest crash for which a suspect waits for a worker without other jobs, in milliseconds.
const ISOLATION_TIMEOUT_MS: u64 = 5_000;
/// The same for a long-running task, which counts as lost 6 s after its last run, in milliseconds.
const LONG_RUNNING_ISOLATION_TIMEOUT_MS: u64 = 4_000;
/// Time after its start from which a suspect no longer keeps other tasks off its worker, in milliseconds.
const PROBATION_MS: u64 = 1_000;
/// The longest time from the beginning of a hold period to the end of the last hold in it, in milliseconds.
const MAX_HOLD_MS: u64 = 6_000;
/// Time after [`MAX_HOLD_MS`] in which a worker is not held again, so that other tasks get there, in
/// milliseconds.
const HOLD_COOLDOWN_MS: u64 = 6_000;

/// Describes the period in which a worker may be held for suspects.
#[derive(Debug, Clone, Copy)]
pub(super) struct HoldPeriod {
    began_at_ms: u64,
    /// Whether the worker gets no tasks of other jobs, since suspects run there or it is emptied for them.
    is_held: bool,
}

impl HoldPeriod {
    const fn permits_hold(&self, now_ms: u64) -> bool {
        now_ms < self.began_at_ms + MAX_HOLD_MS
    }

    const fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.began_at_ms + MAX_HOLD_MS + HOLD_COOLDOWN_MS
    }
}

impl Leader {
    /// Places the suspects of a pool that wait, and removes from `eligible` the workers that suspects hold.
    pub(super) fn place_suspects(
        &mut self,
        pool: &SmolStr,
        eligible: &mut Vec<EligibleWorker>,
        state: &JobsState,
    ) {
        if self.suspects.is_empty() && self.hold_periods.is_empty() {
            return;
        }
        self.begin_isolation_waits(pool);
        self.end_isolation_after_common_crashes(pool);
        let waiting = self.waiting_suspects(pool);
        self.release_workers(pool, &waiting);
        let held = self.directory.in_pool(pool);
        let held = held.filter(|handle| {
            let worker = self.workers.get(handle);
            self.is_held_by_suspects(*handle) && worker.is_some_and(|worker| !worker.unresponsive)
        });
        let mut available = self.isolation_limit(pool).saturating_sub(held.count());
        // One waiting suspect of each job.
        let mut unplaced = BTreeMap::new();
        for task in waiting {
            self.drop_expired_tickets(task.step_id());
            if !self.cap_permits(task.step_id(), false, state) {
                continue;
            }
            let Some(position) = self.isolated_worker(task, eligible, available > 0) else {
                unplaced.entry(task.job).or_insert(task);
                // The worker that is emptied for the suspect may lack a ticket.
                self.note_advice_need(task.step_id());
                continue;
            };
            let handle = eligible[position].handle;
            if available > 0 && !self.is_held_by_suspects(handle) && self.may_be_held(handle) {
                available -= 1;
                self.hold(handle);
            }
            self.start_suspect(task, &mut eligible[position]);
        }
        let unplaced: Vec<TaskId> = unplaced.into_values().collect();
        self.empty_workers(pool, eligible, &unplaced, available);
        eligible.retain(|known| !self.is_held_by_suspects(known.handle));
    }

    /// Ends the wait of those suspects that can't be isolated at once, after several workers have crashed
    /// together: most of their tasks are not to blame then. A task under which workers have crashed before waits.
    fn end_isolation_after_common_crashes(&mut self, pool: &SmolStr) {
        if !self.suspects.has_common_crashes(self.now.steady_ms) {
            return;
        }
        let most_jobs = self.isolation_limit(pool);
        let mut jobs = BTreeSet::new();
        for task in self.waiting_suspects(pool) {
            if jobs.len() < most_jobs || jobs.contains(&task.job) {
                jobs.insert(task.job);
            } else if !self.suspects.has_repeated_crashes(task) {
                self.suspects.end_isolation_wait(task);
            }
        }
    }

    /// Begins the waits for isolation of the suspects of a pool that an earlier leader has recorded.
    fn begin_isolation_waits(&mut self, pool: &SmolStr) {
        let now_ms = self.now.steady_ms;
        for task in self.suspects.with_wait_not_begun() {
            let step = self.steps.get(&task.step_id());
            if step.is_some_and(|step| step.pool == *pool && !self.may_have_unknown_runs(step)) {
                self.suspects.begin_isolation_wait(task, now_ms);
            }
        }
    }

    /// Returns whether a waiting task of a gang must not be placed beside tasks of other jobs, or at all.
    pub(super) fn is_suspected_gang(&self, id: StepId) -> bool {
        let step = self.steps.get(&id);
        let mut waiting = step.into_iter().flat_map(|step| step.waiting.iter());
        !self.suspects.is_empty() && waiting.any(|index| self.needs_isolation(id.task(*index)))
    }

    /// Places the tasks of a gang with suspects on workers without other tasks.
    pub(super) fn place_suspected_gang(
        &mut self,
        id: StepId,
        eligible: &mut Vec<EligibleWorker>,
        state: &JobsState,
    ) {
        let has_runs = |leader: &Self, known: &EligibleWorker| {
            let worker = leader.workers.get(&known.handle);
            worker.is_none_or(|worker| !worker.runs.is_empty())
        };
        let step = self.steps.get(&id);
        let mut waiting = step.into_iter().flat_map(|step| step.waiting.iter());
        if waiting.any(|index| self.suspects.is_given_up(id.task(*index))) {
            return;
        }
        let (busy, mut empty): (Vec<_>, Vec<_>) = std::mem::take(eligible)
            .into_iter()
            .partition(|known| has_runs(self, known));
        self.place_gang(id, &mut empty, state);
        empty.retain(|known| !has_runs(self, known));
        *eligible = busy;
        eligible.extend(empty);
    }

    /// Returns whether a task must not be placed beside tasks of other jobs, or at all.
    pub(super) fn needs_isolation(&self, task: TaskId) -> bool {
        if self.suspects.is_given_up(task) {
            return true;
        }
        let began_at_ms = match self.suspects.isolation_wait(task) {
            IsolationWait::NotBegun => return true,
            IsolationWait::Since(at_ms) => at_ms,
            IsolationWait::Over => return false,
        };
        let step = self.steps.get(&task.step_id());
        let timeout_ms = if step.is_some_and(|step| step.step().long_running) {
            LONG_RUNNING_ISOLATION_TIMEOUT_MS
        } else {
            ISOLATION_TIMEOUT_MS
        };
        self.now.steady_ms < began_at_ms + timeout_ms
    }

    /// Returns the jobs whose suspects wait in a pool; each of them needs an instance of its own.
    pub(super) fn jobs_awaiting_isolation(&self, pool: &SmolStr) -> usize {
        if self.suspects.is_empty() {
            return 0;
        }
        let waiting = self.waiting_suspects(pool);
        let jobs: BTreeSet<_> = waiting.iter().map(|task| task.job).collect();
        jobs.len().min(self.isolation_limit(pool))
    }

    /// Returns the suspects that wait in a pool for a worker without other jobs and may be started, in the order
    /// of their placement.
    fn waiting_suspects(&self, pool: &SmolStr) -> Vec<TaskId> {
        let mut waiting = self.suspects.in_order();
        waiting.retain(|task| {
            self.needs_isolation(*task)
                && self.steps.get(&task.step_id()).is_some_and(|step| {
                    step.open
                        && step.pool == *pool
                        && step.waiting.contains(&task.index)
                        && !step.step().gang
                        && !self.may_have_unknown_runs(step)
                })
        });
        waiting
    }

    /// Returns the number of workers of a pool that suspects may hold.
    fn isolation_limit(&self, pool: &SmolStr) -> usize {
        let workers = self.directory.in_pool(pool).count();
        let open = self.open_steps.get(pool).into_iter().flatten();
        let mut steps = open.filter_map(|(_, id)| Some((id, self.steps.get(id)?)));
        let others_wait = steps.any(|(id, step)| {
            let mut waiting = step.waiting.iter();
            waiting.any(|index| !self.needs_isolation(id.task(*index)))
        });
        if others_wait {
            (workers / ISOLATION_DIVISOR).max(1)
        } else {
            workers
        }
    }

    /// Returns whether a worker gets no tasks of other jobs, since suspects run there or it is emptied for them.
    pub(super) fn is_held_by_suspects(&self, handle: WorkerHandle) -> bool {
        let period = self.hold_periods.get(&handle);
        period.is_some_and(|period| period.is_held && period.permits_hold(self.now.steady_ms))
    }

    /// Returns whether a worker may be held for suspects; not if it has been held for the longest time just before.
    fn may_be_held(&self, handle: WorkerHandle) -> bool {
        let period = self.hold_periods.get(&handle);
        period.is_none_or(|period| period.permits_hold(self.now.steady_ms))
    }

    fn hold(&mut self, handle: WorkerHandle) {
        let period = self.hold_periods.entry(handle).or_insert(HoldPeriod {
            began_at_ms: self.now.steady_ms,
            is_held: true,
        });
        period.is_held = true;
    }

    fn hosts_suspects(&self, worker: &Worker) -> bool {
        worker.runs.keys().any(|task| self.suspects.contains(*task))
    }

    /// Returns whether a suspect on a worker may still be about to crash it.
    fn hosts_suspects_on_probation(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|(task, number)| {
            let run = self.run(*task, *number);
            self.suspects.contains(*task)
                && run.is_some_and(|run| !has_survived_probation(run, worker))
        })
    }

    /// Makes workers of a pool available to other tasks on which no suspect is on probation, and none of the
    /// waiting suspects can run.
    fn release_workers(&mut self, pool: &SmolStr, waiting: &[TaskId]) {
        let now_ms = self.now.steady_ms;
        let mut periods = std::mem::take(&mut self.hold_periods);
        periods.retain(|handle, period| {
            let Some(worker) = self.workers.get(handle) else {
                return false;
            };
            if worker.heartbeat.pool == *pool {
                period.is_held &= if self.hosts_suspects(worker) {
                    self.hosts_suspects_on_probation(worker)
                } else {
                    waiting.iter().any(|task| self.can_host(*task, *handle))
                };
            }
            !period.is_over(now_ms)
        });
        self.hold_periods = periods;
    }

    /// Returns whether a worker could run a task if it were empty.
    fn can_host(&self, task: TaskId, handle: WorkerHandle) -> bool {
        let step = self.steps.get(&task.step_id());
        let worker = self.workers.get(&handle);
        step.zip(worker)
            .is_some_and(|(step, worker)| could_run(step, handle, worker))
    }

    /// Returns the position of the best worker for a suspect: one that already runs suspects of its job, or
    /// an empty one if `may_hold_more` or it has been emptied for suspects.
    fn isolated_worker(
        &self,
        task: TaskId,
        eligible: &[EligibleWorker],
        may_hold_more: bool,
    ) -> Option<usize> {
        let step = self.steps.get(&task.step_id())?;
        let spec = step.step();
        let is_usable = |known: &EligibleWorker, worker: &Worker| {
            if known.quarantined {
                return false;
            }
            if worker.runs.is_empty() {
                self.is_held_by_suspects(known.handle)
                    || (may_hold_more && self.may_be_held(known.handle))
            } else {
                self.hosts_suspects(worker) && runs_only(worker, task.job)
            }
        };
        let usable = eligible.iter().enumerate().filter_map(|(position, known)| {
            let worker = self.workers.get(&known.handle)?;
            let candidate = is_usable(known, worker)
                .then(|| candidate(step, spec, known, worker))
                .flatten()?;
            Some(((worker.runs.is_empty(), position), candidate))
        });
        let mut usable: Vec<_> = usable.collect();
        // A worker that already runs suspects of the job comes first.
        if usable.iter().any(|((is_empty, _), _)| !is_empty) {
            usable.retain(|((is_empty, _), _)| !is_empty);
        }
        let (positions, candidates): (Vec<_>, Vec<_>) = usable.into_iter().unzip();
        let needs = TaskRequirements {
            resources: spec.reserved(),
            long_running: spec.long_running,
        };
        let best = placement::best_candidate(&candidates, &needs)?;
        Some(positions[best].1)
    }

    fn start_suspect(&mut self, task: TaskId, eligible: &mut EligibleWorker) {
        let Some(step) = self.steps.get(&task.step_id()) else {
            return;
        };
        eligible.free = eligible.free.minus(&step.step().reserved());
        let run = self.next_run_number(task);
        self.request_start(task.step_id(), task.index, run, eligible.handle);
    }

    /// Chooses for each of the suspects a worker that could run it and that gets no further tasks until it has
    /// run there, unless one is being emptied already: one without long-running tasks that uses the least. At
    /// most `limit` workers are chosen.
    fn empty_workers(
        &mut self,
        pool: &SmolStr,
        eligible: &[EligibleWorker],
        suspects: &[TaskId],
        limit: usize,
    ) {
        let hosts_suspects = |handle: WorkerHandle| {
            let worker = self.workers.get(&handle);
            worker.is_some_and(|worker| self.hosts_suspects(worker))
        };
        let in_pool = self.directory.in_pool(pool);
        let emptying =
            in_pool.filter(|handle| self.is_held_by_suspects(*handle) && !hosts_suspects(*handle));
        let mut emptying: Vec<WorkerHandle> = emptying.collect();
        let emptiable = eligible.iter().filter_map(|known| {
            let worker = self.workers.get(&known.handle)?;
            let is_emptiable = worker.long_running_runs == 0
                && !hosts_suspects(known.handle)
                && !self.is_held_by_suspects(known.handle)
                && self.may_be_held(known.handle);
            is_emptiable.then_some((worker.used.cpu_millis, known.handle))
        });
        let mut emptiable: Vec<_> = emptiable.collect();
        emptiable.sort_unstable();
        let mut chosen = Vec::new();
        for task in suspects {
            let is_usable = |handle: &WorkerHandle| self.can_host(*task, *handle);
            if let Some(position) = emptying.iter().position(is_usable) {
                emptying.swap_remove(position);
            } else if chosen.len() < limit
                && let Some(position) = emptiable.iter().position(|(_, known)| is_usable(known))
            {
                chosen.push(emptiable.remove(position).1);
            }
        }
        for handle in chosen {
            self.hold(handle);
        }
    }
}

/// Returns whether the worker has listed a run as active after its probation.
pub(super) const fn has_survived_probation(run: &Run, worker: &Worker) -> bool {
    run.listed && worker.listed_at_ms >= run.requested_at_ms + PROBATION_MS
}

/// Returns whether all runs of a worker are of one job.
fn runs_only(worker: &Worker, job: JobKey) -> bool {
    worker.runs.keys().all(|task| task.job == job)
}
