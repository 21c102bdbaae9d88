//! Open steps and their waiting tasks.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;

use super::Leader;
use super::advice::StepAdvice;
use super::checkpoints::Checkpoints;
use crate::ids::{JobKey, QueueKey, StepId, TaskId};
use crate::job::{JobSpec, StepSpec};
use crate::policy::durations::StepKind;
use crate::policy::priority::{self, Urgency};
use crate::state::{Command, Job, JobsState, Occurrence};
use crate::workspace::WorkspaceName;

/// The interval at which ended jobs get a time stamp and old ones are removed, in milliseconds; far
/// below the retention time of ended jobs.
const ENDED_JOBS_INTERVAL_MS: u64 = 10_000;

/// The interval at which the shares of a pool are computed, in milliseconds; what workspaces use changes
/// little within it, since tasks take hundreds of milliseconds.
const SHARES_INTERVAL_MS: u64 = 50;

/// Orders the open steps of a pool; the lowest value is placed first.
pub(crate) type Priority = priority::Priority;

/// Holds the leader's state for one step of a job that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct StepState {
    pub(crate) queue: QueueKey,
    pub(crate) pool: SmolStr,
    /// The earlier pools of the queue, in which earlier leaders may have started tasks.
    pub(crate) previous_pools: BTreeSet<SmolStr>,
    /// The workspace that the job belongs to.
    pub(crate) workspace: Option<WorkspaceName>,
    /// Whether the job was submitted beyond the rate of its workspace.
    pub(crate) beyond_rate: bool,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) position: usize,
    pub(crate) priority: Priority,
    /// The time at which the step must start for the job to be in time, in milliseconds since 1970.
    pub(crate) latest_start_ms: u64,
    pub(crate) kind: StepKind,
    /// Whether an earlier leader may have started tasks of this step.
    pub(crate) inherited: bool,
    /// Whether the step is due and its dependencies are done, so that its tasks may start.
    pub(crate) open: bool,
    /// When the step is due, in milliseconds since 1970; zero if it is due at once.
    pub(crate) due_ms: u64,
    /// The indexes of the tasks that wait for a start.
    pub(crate) waiting: BTreeSet<u32>,
    /// Whether each task is done, by its index.
    pub(crate) done: Vec<bool>,
    pub(crate) done_count: u32,
    /// The duration of the longest run that has succeeded.
    pub(crate) longest_run_ms: u64,
    pub(crate) checkpoints: Checkpoints,
    /// The number of runs of the step on each worker.
    pub(crate) runs_per_worker: HashMap<super::WorkerHandle, u32>,
    /// The answers of the advice service, with the tickets.
    pub(crate) advice: StepAdvice,
    /// Whether the step needs a ticket of the advice service for each worker that it runs on.
    pub(crate) needs_advice: bool,
}

impl StepState {
    /// Returns the step's specification.
    pub(crate) fn step(&self) -> &StepSpec {
        &self.spec.steps[self.position]
    }

    /// Returns the pools in which runs of the step can be active.
    pub(crate) fn possible_pools(&self) -> impl Iterator<Item = &SmolStr> {
        std::iter::once(&self.pool).chain(&self.previous_pools)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done_count as usize == self.done.len()
    }
}

impl Leader {
    /// Adds the steps of an occurrence that is not done, and opens those that are ready; `inherited` states
    /// whether an earlier leader may have started its tasks.
    pub(super) fn open_occurrence(
        &mut self,
        (key, job): (JobKey, &Job),
        number: u32,
        inherited: bool,
        state: &JobsState,
    ) {
        let Some(occurrence) = job.occurrences.progress(number, &job.spec) else {
            return;
        };
        let id = |position: usize| StepId {
            job: key,
            occurrence: number,
            step: u16::try_from(position).unwrap_or(u16::MAX),
        };
        let chains_ms = priority::remaining_chains_ms(&job.spec, |step| {
            let kind = StepKind::new(&job.queue, step);
            self.step_estimate_ms(&kind, step)
        });
        for position in 0..job.spec.steps.len() {
            let occurrence = (number, &*occurrence);
            let step = self.step_state((key, job), occurrence, (position, &chains_ms), state);
            self.steps
                .insert(id(position), StepState { inherited, ..step });
        }
        for position in 0..job.spec.steps.len() {
            self.open_if_ready(id(position));
        }
    }

    fn step_state(
        &self,
        (key, job): (JobKey, &Job),
        (number, occurrence): (u32, &Occurrence),
        (position, chains_ms): (usize, &[u64]),
        state: &JobsState,
    ) -> StepState {
        let queue = state.configuration.queue(&job.queue);
        let spec = &job.spec.steps[position];
        let progress = &occurrence.steps[position];
        let due_ms = job.spec.due_ms(number).unwrap_or(0);
        let urgency = Urgency {
            rank: queue.map_or(u64::MAX, |queue| queue.rank),
            arrived_at_ms: job.accepted_at_ms.max(due_ms),
            latency_target_ms: queue.map_or(0, |queue| queue.latency_target_ms),
            stretch_millis: queue.map_or(1_000, |queue| queue.stretch_millis),
        };
        let longest_chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
        let priority = priority::step_priority(&urgency, &job.spec, position, longest_chain_ms);
        let done: Vec<bool> = progress.tasks.iter().map(|task| task.done).collect();
        let waiting = done.iter().zip(0..).filter(|(done, _)| !**done);
        StepState {
            queue: job.queue.clone(),
            pool: queue.map_or_else(SmolStr::default, |queue| queue.pool.clone()),
            previous_pools: state.former_pools_of(&job.queue),
            workspace: state.workspace_of(key).cloned(),
            beyond_rate: self.usage.beyond_rate.contains(&key),
            position,
            priority,
            latest_start_ms: priority
                .soft_deadline_ms
                .saturating_sub(chains_ms[position]),
            kind: StepKind::new(&job.queue, spec),
            spec: job.spec.clone(),
            inherited: false,
            open: false,
            due_ms,
            waiting: waiting.map(|(_, index)| index).collect(),
            done_count: progress.done,
            longest_run_ms: 0,
            done,
            checkpoints: Checkpoints::resumed(spec, progress),
            runs_per_worker: HashMap::new(),
            advice: StepAdvice::default(),
            needs_advice: queue.is_some_and(|queue| queue.needs_advice),
        }
    }

    /// Returns the expected duration of a step.
    pub(super) fn step_estimate_ms(&self, kind: &StepKind, step: &StepSpec) -> u64 {
        if self.settings.mechanisms.step_durations {
            self.durations.estimate_step_ms(kind, step)
        } else {
            self.durations.estimate_ms(kind, step.estimated_ms)
        }
    }

    /// Opens a step if it is due and all its dependencies are done.
    fn open_if_ready(&mut self, id: StepId) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        if step.open || step.is_done() {
            return;
        }
        let is_done = |dependency: &u16| {
            let dependency = StepId {
                step: *dependency,
                ..id
            };
            self.steps.get(&dependency).is_none_or(StepState::is_done)
        };
        if !step.step().after.iter().all(is_done) {
            return;
        }
        if step.due_ms > self.now.wall_ms {
            self.not_yet_due.insert((step.due_ms, id));
            return;
        }
        let (pool, priority) = (step.pool.clone(), step.priority);
        if let Some(step) = self.steps.get_mut(&id) {
            step.open = true;
        }
        self.waits.add_step(id, self.now.steady_ms);
        self.dirty_pools.insert(pool.clone());
        self.open_steps
            .entry(pool)
            .or_default()
            .insert((priority, id));
    }

    /// Places the steps of a pool that can no longer be done in time behind those that can.
    pub(super) fn demote_late_steps(&mut self, pool: &SmolStr) {
        if !self.settings.mechanisms.late_steps_last {
            return;
        }
        let now_ms = self.now.wall_ms;
        let Some(open) = self.open_steps.get_mut(pool) else {
            return;
        };
        let becomes_late = |(priority, id): &&(Priority, StepId)| {
            let step = self.steps.get(id);
            !priority.late
                && step.is_some_and(|step| {
                    now_ms > step.latest_start_ms
                        && !step.waiting.is_empty()
                        && !step.step().long_running
                })
        };
        let late: Vec<_> = open.iter().filter(becomes_late).copied().collect();
        for (priority, id) in late {
            open.remove(&(priority, id));
            let demoted = Priority {
                late: true,
                ..priority
            };
            open.insert((demoted, id));
            if let Some(step) = self.steps.get_mut(&id) {
                step.priority = demoted;
            }
        }
    }

    /// Places the steps of workspaces that use more than their share of a pool behind the others of
    /// their rank, at intervals.
    ///
    /// The waiting tasks of a workspace count towards its share in the order in which they are placed,
    /// so that its most urgent steps keep their place.
    pub(super) fn rank_by_share(&mut self, pool: &SmolStr, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let ranked_at_ms = self.shares_ranked_at_ms.entry(pool.clone()).or_default();
        if !self.settings.mechanisms.weighted_shares
            || state.configuration.access.workspaces().is_empty()
            || now_ms < *ranked_at_ms + SHARES_INTERVAL_MS
        {
            return;
        }
        *ranked_at_ms = now_ms;
        let mut shares = self.pool_shares(pool, state);
        let mut open: Vec<_> = self
            .open_steps
            .get(pool)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        open.sort_by_key(|(priority, _)| Priority {
            beyond_share: false,
            ..*priority
        });
        for (priority, id) in open {
            let Some(step) = self.steps.get_mut(&id) else {
                continue;
            };
            let mut beyond_share = step.beyond_rate;
            if let Some(name) = &step.workspace {
                beyond_share |= shares.is_over_share(name);
                let waiting = step.waiting.len() as u64;
                shares.add_use(name, &step.step().reserved().times(waiting));
            }
            if priority.beyond_share == beyond_share {
                continue;
            }
            step.priority.beyond_share = beyond_share;
            let ranked = step.priority;
            if let Some(open) = self.open_steps.get_mut(pool) {
                open.remove(&(priority, id));
                open.insert((ranked, id));
            }
        }
    }

    /// Opens the scheduled steps that have become due.
    pub(super) fn open_due_steps(&mut self) {
        while let Some((due_ms, id)) = self.not_yet_due.first().copied() {
            if due_ms > self.now.wall_ms {
                break;
            }
            self.not_yet_due.pop_first();
            self.open_if_ready(id);
        }
    }

    /// Marks a task as done, and the rest of its gang with it. Once the whole step is done, opens
    /// the steps that depend on it.
    pub(super) fn finish_task(&mut self, task: TaskId) {
        let id = task.step_id();
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        let is_gang = step.step().gang;
        let indexes = if is_gang {
            0..step.step().tasks
        } else {
            task.index..task.index + 1
        };
        for index in indexes {
            self.suspects.remove(id.task(index));
            self.failed_tasks.remove(id.task(index));
            self.waits.remove_task(id.task(index));
            step.waiting.remove(&index);
            if let Some(done) = step.done.get_mut(index as usize)
                && !std::mem::replace(done, true)
            {
                step.done_count += 1;
            }
        }
        if !step.is_done() {
            return;
        }
        self.schedules.record_step_done(id);
        self.waits.remove_step(id);
        let (pool, priority) = (step.pool.clone(), step.priority);
        let spec = step.spec.clone();
        if let Some(open) = self.open_steps.get_mut(&pool) {
            open.remove(&(priority, id));
        }
        for (position, dependent) in spec.steps.iter().enumerate() {
            if dependent.after.contains(&id.step) {
                let step = u16::try_from(position).unwrap_or(u16::MAX);
                self.open_if_ready(StepId { step, ..id });
            }
        }
    }

    /// Adds a task to the waiting ones, unless it is done, still has a run, or its job has ended.
    pub(super) fn requeue(&mut self, task: TaskId) {
        let Some(step) = self.steps.get_mut(&task.step_id()) else {
            return;
        };
        let is_done = step.done.get(task.index as usize).copied().unwrap_or(true);
        if is_done || self.runs.get(&task).is_some_and(|runs| !runs.is_empty()) {
            return;
        }
        step.waiting.insert(task.index);
        self.dirty_pools.insert(step.pool.clone());
    }

    /// Removes the steps of a job that has ended, and stops its runs.
    pub(super) fn close_job(&mut self, job: JobKey) {
        self.suspects.remove_job(job);
        self.schedules.remove(job);
        let mut runs_to_stop = Vec::new();
        for id in self.step_ids(job) {
            runs_to_stop.extend(self.remove_step(id));
        }
        for (task, run) in runs_to_stop {
            self.stop_run(task, run, "job-ended");
        }
    }

    /// Removes a step and returns the runs of its tasks.
    pub(super) fn remove_step(&mut self, id: StepId) -> Vec<(TaskId, u64)> {
        let mut active = Vec::new();
        let Some(step) = self.steps.remove(&id) else {
            return active;
        };
        self.retain_unconfirmed_use(&step, id.job);
        self.advice.forget_step(id);
        self.waits.remove_step(id);
        self.not_yet_due.remove(&(step.due_ms, id));
        if let Some(open) = self.open_steps.get_mut(&step.pool) {
            open.remove(&(step.priority, id));
        }
        for index in 0..step.step().tasks {
            let task = id.task(index);
            self.failed_tasks.remove(task);
            let runs = self.runs.get(&task).into_iter().flatten();
            active.extend(runs.map(|run| (task, run.number)));
            if !self.runs.contains_key(&task) {
                self.last_run_numbers.remove(&task);
            }
        }
        active
    }

    pub(super) fn step_ids(&self, job: JobKey) -> Vec<StepId> {
        let first = StepId {
            job,
            occurrence: 0,
            step: 0,
        };
        let of_job = self
            .steps
            .range(first..)
            .take_while(|(id, _)| id.job == job);
        of_job.map(|(id, _)| *id).collect()
    }

    /// Applies a new configuration to the steps whose queue's pool, rank or need of advice has changed.
    pub(super) fn apply_configuration(&mut self, state: &JobsState) {
        for (id, step) in &mut self.steps {
            let queue = state.configuration.queue(&step.queue);
            let pool = queue.map_or_else(SmolStr::default, |queue| queue.pool.clone());
            let rank = queue.map_or(u64::MAX, |queue| queue.rank);
            step.needs_advice = queue.is_some_and(|queue| queue.needs_advice);
            if pool == step.pool && rank == step.priority.rank {
                continue;
            }
            let open_in_previous_pool = self.open_steps.entry(step.pool.clone()).or_default();
            let was_open = open_in_previous_pool.remove(&(step.priority, *id));
            let previous_pool = std::mem::replace(&mut step.pool, pool.clone());
            if step.inherited {
                step.previous_pools.insert(previous_pool);
            }
            step.priority.rank = rank;
            if was_open {
                let open = self.open_steps.entry(pool.clone()).or_default();
                open.insert((step.priority, *id));
                self.dirty_pools.insert(pool);
            }
        }
    }

    /// Proposes a time stamp for newly ended jobs, and the removal of those past the retention
    /// time.
    pub(super) fn record_ended_jobs(&mut self, state: &JobsState) {
        if self.now.steady_ms < self.next_ended_jobs_at_ms {
            return;
        }
        self.next_ended_jobs_at_ms = self.now.steady_ms + ENDED_JOBS_INTERVAL_MS;
        self.expire_ended_incarnations();
        let at_ms = self.now.wall_ms;
        let forget_before_ms = at_ms.saturating_sub(self.settings.ended_retention_ms);
        let is_unrecorded = |job: &Job| job.ended.is_some() && job.ended_at_ms.is_none();
        let is_old = |job: &Job| {
            job.ended_at_ms
                .is_some_and(|ended_at_ms| ended_at_ms < forget_before_ms)
        };
        let keys = |wanted: &dyn Fn(&Job) -> bool| -> Vec<JobKey> {
            let jobs = state.jobs.iter().filter(|(_, job)| wanted(job));
            jobs.map(|(key, _)| *key).collect()
        };
        let (unrecorded, old) = (keys(&is_unrecorded), keys(&is_old));
        if !unrecorded.is_empty() {
            self.propose(Command::RecordEndedJobs {
                jobs: unrecorded,
                at_ms,
            });
        }
        if !old.is_empty() {
            self.propose(Command::Forget(old));
        }
    }
}
