//! The runs that hold resources on workers, by task.

use smol_str::SmolStr;

use super::usage::Charge;
use super::{Effect, Leader, WorkerHandle};
use crate::ids::TaskId;

/// The time beyond the worker's limit for stopping a run after which a stop request is repeated, in
/// milliseconds.
const STOP_RESEND_MARGIN_MS: u64 = 400;

/// Describes the state of a run as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start has been requested; there is no response yet.
    Requested,
    /// The start request got no response: it may have taken effect, or may do so until its
    /// deadline.
    Unconfirmed,
    /// The run is active on the worker.
    Running,
    /// A stop has been requested.
    Stopping {
        /// When the latest stop request was sent, on the leader's steady clock.
        requested_at_ms: u64,
    },
}

/// Holds a run that reserves resources on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    pub(crate) number: u64,
    pub(crate) worker: WorkerHandle,
    pub(crate) state: RunState,
    /// Whether a run list of the incarnation has shown the run; a response to the start does not prove
    /// which incarnation took it.
    pub(crate) listed: bool,
    /// The resources that the run reserves; zero if its needs are unknown.
    pub(crate) reserved: crate::job::Resources,
    /// Whether the leader does not know what the run needs, since its job ended under an earlier leader.
    pub(crate) has_unknown_needs: bool,
    /// The use that counts towards the cap of a workspace; `None` if the job belongs to none.
    pub(crate) charge: Option<Charge>,
    /// Whether the task runs until its job is cancelled.
    pub(crate) long_running: bool,
    /// The deadline of the start request, on the worker's clock; a later start has no effect. Zero
    /// for a run that an earlier leader started, `u64::MAX` if the start was meant for an earlier
    /// incarnation of the worker.
    pub(crate) start_deadline_ms: u64,
    pub(crate) requested_at_ms: u64,
    /// The latest checkpoint; empty if there is none.
    pub(crate) checkpoint: SmolStr,
    /// Progress of the task in percent, from the latest run list.
    pub(crate) percent: u64,
    /// Tail latency in milliseconds if the task has a target, otherwise its processor use.
    pub(crate) gauge: Option<u64>,
    /// When `percent` last changed.
    pub(crate) progressed_at_ms: u64,
    /// Limit on the speed of the run, in percent of full speed.
    pub(crate) pace_percent: u64,
}

impl Run {
    /// Returns whether this is a run of a long-running task that has finished its start-up.
    pub(crate) const fn has_started_up(&self) -> bool {
        self.long_running && self.percent >= 100
    }
}

impl Leader {
    /// Adds a run and reserves its resources on the worker.
    pub(super) fn add_run(&mut self, run: Run) {
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.insert(run.task, run.number);
            worker.used = worker.used.plus(&run.reserved);
            worker.long_running_runs += usize::from(run.long_running);
            worker.runs_of_unknown_needs += usize::from(run.has_unknown_needs);
        }
        if let Some(step) = self.steps.get_mut(&run.task.step_id()) {
            step.waiting.remove(&run.task.index);
            *step.runs_per_worker.entry(run.worker).or_default() += 1;
        }
        self.usage.add(&run);
        self.runs.entry(run.task).or_default().push(run);
    }

    pub(super) fn run(&self, task: TaskId, number: u64) -> Option<&Run> {
        let mut runs = self.runs.get(&task)?.iter();
        runs.find(|run| run.number == number)
    }

    pub(super) fn run_mut(&mut self, task: TaskId, number: u64) -> Option<&mut Run> {
        let runs = self.runs.get_mut(&task)?;
        runs.iter_mut().find(|run| run.number == number)
    }

    /// Removes a run and releases its resources on the worker.
    pub(super) fn remove_run(&mut self, task: TaskId, number: u64) -> Option<Run> {
        self.record_confirmed_end(task, number);
        let runs = self.runs.get_mut(&task)?;
        let position = runs.iter().position(|run| run.number == number)?;
        let run = runs.swap_remove(position);
        if runs.is_empty() {
            self.runs.remove(&task);
        }
        self.usage.remove(&run);
        if let Some(step) = self.steps.get_mut(&task.step_id())
            && let Some(count) = step.runs_per_worker.get_mut(&run.worker)
        {
            *count = count.saturating_sub(1);
        }
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            if worker.runs.get(&task) == Some(&number) {
                worker.runs.remove(&task);
            }
            worker.used = worker.used.minus(&run.reserved);
            worker.long_running_runs = worker
                .long_running_runs
                .saturating_sub(usize::from(run.long_running));
            worker.runs_of_unknown_needs = worker
                .runs_of_unknown_needs
                .saturating_sub(usize::from(run.has_unknown_needs));
            self.dirty_pools.insert(worker.heartbeat.pool.clone());
        }
        Some(run)
    }

    /// Removes a run that never started or was lost without a run end, and requeues its task.
    pub(super) fn requeue_run(&mut self, task: TaskId, number: u64) {
        self.remove_run(task, number);
        self.pacing.remove(task);
        self.requeue(task);
    }

    /// Sends a request to stop a run to its worker; `cause` goes into the log.
    pub(super) fn stop_run(&mut self, task: TaskId, number: u64, cause: &str) {
        let now_ms = self.now.steady_ms;
        let Some(run) = self.run_mut(task, number) else {
            return;
        };
        if matches!(run.state, RunState::Stopping { .. }) {
            return;
        }
        run.state = RunState::Stopping {
            requested_at_ms: now_ms,
        };
        let worker = run.worker;
        self.counts.stops += 1;
        self.log_event(format!(
            "event=stop_requested task={task} run={number} cause={cause}"
        ));
        self.effects.push(Effect::Stop {
            worker,
            task,
            run: number,
        });
    }

    /// Repeats the stop requests that are overdue.
    pub(super) fn resend_stops(&mut self) {
        let now_ms = self.now.steady_ms;
        let resend_after_ms = self.settings.stop_ms + STOP_RESEND_MARGIN_MS;
        let mut effects = Vec::new();
        for run in self.runs.values_mut().flatten() {
            if let RunState::Stopping { requested_at_ms } = &mut run.state
                && now_ms >= *requested_at_ms + resend_after_ms
            {
                *requested_at_ms = now_ms;
                effects.push(Effect::Stop {
                    worker: run.worker,
                    task: run.task,
                    run: run.number,
                });
            }
        }
        self.effects.extend(effects);
    }

    /// Updates the duration estimates of a task's kind with the duration of a run, before the task is
    /// marked as done.
    pub(super) fn record_duration(&mut self, task: TaskId, duration_ms: Option<u64>) {
        if !self.settings.mechanisms.duration_estimates {
            return;
        }
        let Some(step) = self.steps.get_mut(&task.step_id()) else {
            return;
        };
        if let Some(duration_ms) = duration_ms {
            step.longest_run_ms = step.longest_run_ms.max(duration_ms);
            self.durations
                .record(&step.kind, step.step().estimated_ms, duration_ms);
        }
        let is_last = step.done_count as usize + 1 == step.done.len();
        if is_last && step.longest_run_ms > 0 {
            let (kind, spec, position) = (step.kind.clone(), step.spec.clone(), step.position);
            self.durations
                .record_step(&kind, &spec.steps[position], step.longest_run_ms);
        }
    }
}
