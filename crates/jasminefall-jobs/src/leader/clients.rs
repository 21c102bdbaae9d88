//! Admission of submitted jobs, and queries of clients.

use std::collections::HashMap;

use smol_str::SmolStr;

use super::{Leader, Run, RunState, Worker};
use crate::configuration::Queue;
use crate::ids::{JobKey, QueueKey, StepId};
use crate::job::{JobSpec, Resources, StepSpec, Work};
use crate::policy::admission::{self, Admission, JobDemand, PoolLoad, WorkspaceLoad};
use crate::policy::durations::StepKind;
use crate::policy::priority;
use crate::policy::shares::PoolShares;
use crate::state::{Command, JobStatus, JobsState};
use crate::workspace::{Weight, Workspace, WorkspaceName};

/// How long a computed pool load is reused, in milliseconds. It is reused, since its computation
/// reads every worker and step of the pool; the load changes little within this time, since tasks
/// take hundreds of milliseconds.
const LOAD_CACHE_TTL_MS: u64 = 30;

/// When a client may repeat a cancellation that was refused, in milliseconds; ended jobs are removed at
/// longer intervals.
const EARLY_CANCELLATION_RETRY_MS: u64 = 5_000;

/// The weight and the accepted work that is not done of each workspace with work in a pool.
type WorkspaceBacklogs = HashMap<WorkspaceName, (Weight, Work)>;

/// Holds the load of a pool and of its workspaces, updated by the jobs accepted since it was computed.
#[derive(Debug, Clone)]
pub(crate) struct CachedLoad {
    /// When the load was computed, on the steady clock.
    computed_at_ms: u64,
    load: PoolLoad,
    by_workspace: WorkspaceBacklogs,
}

impl CachedLoad {
    /// Adds an accepted job.
    fn add_job(&mut self, job_demand: &JobDemand, workspace: Option<&Workspace>) {
        self.load.backlog = self.load.backlog.plus(&job_demand.work);
        self.load.free = self.load.free.minus(&job_demand.startable);
        if let Some(workspace) = workspace {
            add_backlog(&mut self.by_workspace, workspace, &job_demand.work);
        }
    }
}

/// Adds work to the backlog of a workspace.
fn add_backlog(backlogs: &mut WorkspaceBacklogs, workspace: &Workspace, work: &Work) {
    let entry = backlogs.entry(workspace.name.clone());
    let (_, backlog) = entry.or_insert((workspace.weight, Work::default()));
    *backlog = backlog.plus(work);
}

/// Holds the decision on a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitDecision {
    /// The job was accepted before; the client gets the same response as then.
    AlreadyAccepted,
    /// The key names a job of another queue; the job is refused and never runs.
    KeyInUse,
    /// The job was cancelled before it was submitted; it is refused and never runs.
    CancelledEarlier,
    /// The job is accepted; the caller proposes it to the replicated log.
    Propose,
    /// The job is refused and never runs; the client may submit it again later.
    RetryAfter {
        /// The time until the client may submit the job again, in milliseconds.
        after_ms: u64,
    },
    /// The job is refused and never runs, since tasks of the step at this position can never start
    /// under the cap of the workspace.
    OverCap {
        /// The zero-based position of the step.
        step: usize,
    },
}

/// Holds the decision on the cancellation of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelDecision {
    /// The queue has the job; the caller proposes its cancellation.
    Cancel,
    /// The job isn't known, but its submission may still arrive; the caller proposes this command before
    /// it tells the client that there is no such job, and then decides again.
    CancelEarly(Command),
    /// The queue has no such job, and will not have it.
    NoJob,
    /// Too many jobs that aren't known have been cancelled; the client may try again later.
    RetryAfter {
        /// The time until the client may try again, in milliseconds.
        after_ms: u64,
    },
}

/// Holds the response to a client's query about a job or a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryResponse {
    /// The queue does not exist.
    NoQueue,
    /// The queue has no such job.
    NoJob,
    /// The status of the job.
    Status(JobStatus),
    /// The number of accepted jobs of the queue of which no task has started.
    Waiting(usize),
}

impl Leader {
    /// Decides whether a submitted job is accepted.
    ///
    /// The caller has checked that `workspace`, or a client without one, may use the queue.
    /// Scheduled and long-running jobs are accepted without a check of the load.
    pub fn decide_submission(
        &mut self,
        key: JobKey,
        (queue, workspace): (&Queue, Option<&Workspace>),
        spec: &JobSpec,
        state: &JobsState,
    ) -> SubmitDecision {
        if state.is_cancelled_early(key) {
            self.log_event(format!(
                "event=job_cancelled_earlier job={key} queue={}",
                queue.name
            ));
            return SubmitDecision::CancelledEarlier;
        }
        if let Some(known) = state.jobs.get(&key) {
            return if known.queue == queue.key {
                SubmitDecision::AlreadyAccepted
            } else {
                self.log_event(format!(
                    "event=job_key_in_use job={key} queue={}",
                    queue.name
                ));
                SubmitDecision::KeyInUse
            };
        }
        if let Some(workspace) = workspace
            && let Some(step) = workspace.cap.first_impossible_step(spec)
        {
            self.log_event(format!(
                "event=job_over_cap job={key} queue={} workspace={} step={step} version={} {}",
                queue.name, workspace.name, state.configuration.version, workspace.cap
            ));
            self.usage.record_refusal(workspace);
            return SubmitDecision::OverCap { step };
        }
        let (load, job_demand) = (
            self.cached_load(&queue.pool, state),
            self.job_demand(queue, spec),
        );
        if !spec.is_long_running() {
            self.pool_planner
                .record_arrival(key, &queue.pool, &job_demand.work);
        }
        let is_always_accepted = spec.schedule.is_some() || spec.is_long_running();
        let admission = if is_always_accepted || !self.settings.mechanisms.admission {
            Admission::Accept
        } else {
            self.admit(key, (&queue.pool, workspace), &load, &job_demand)
        };
        match admission {
            Admission::Accept => {
                self.counts.jobs_accepted += 1;
                if let Some(cached) = self.load_cache.get_mut(&queue.pool) {
                    cached.add_job(&job_demand, workspace);
                }
                self.log_event(format!(
                    "event=job_admitted job={key} queue={} backlog_core_ms={} capacity_cpu_millis={} \
                     work_core_ms={} slack_ms={}",
                    queue.name,
                    load.backlog.core_ms,
                    load.capacity.cpu_millis,
                    job_demand.work.core_ms,
                    job_demand.slack_ms
                ));
                SubmitDecision::Propose
            }
            Admission::RetryAfter { after_ms } => {
                self.counts.jobs_refused += 1;
                if let Some(workspace) = workspace {
                    self.usage.record_refusal(workspace);
                }
                self.pool_planner.record_refusal(key, self.now.steady_ms);
                self.log_event(format!(
                    "event=job_refused job={key} queue={} workspace={} backlog_core_ms={} \
                     capacity_cpu_millis={} free_cpu_millis={} reserve_cpu_millis={} slack_ms={} \
                     retry_after_ms={after_ms}",
                    queue.name,
                    workspace.map_or("none", |workspace| workspace.name.as_str()),
                    load.backlog.core_ms,
                    load.capacity.cpu_millis,
                    load.free.cpu_millis,
                    load.reserve.cpu_millis,
                    job_demand.slack_ms
                ));
                SubmitDecision::RetryAfter { after_ms }
            }
        }
    }

    /// Decides by load whether a job is accepted.
    ///
    /// A job within the rate of its workspace has the workspace's share of the pool kept for it; one
    /// beyond it waits behind all other work, and is marked so.
    fn admit(
        &mut self,
        key: JobKey,
        (pool, workspace): (&SmolStr, Option<&Workspace>),
        load: &PoolLoad,
        job_demand: &JobDemand,
    ) -> Admission {
        let Some(workspace) = workspace.filter(|_| self.settings.mechanisms.weighted_shares) else {
            return admission::admit(load, None, job_demand);
        };
        let now_ms = self.now.steady_ms;
        let Some(rate_wait_ms) = self.usage.record_submission(workspace, now_ms) else {
            let own_load = self.workspace_load(pool, workspace, load);
            return admission::admit(load, Some(&own_load), job_demand);
        };
        match admission::admit(load, None, job_demand) {
            Admission::Accept => {
                self.usage.beyond_rate.insert(key);
                Admission::Accept
            }
            Admission::RetryAfter { after_ms } => Admission::RetryAfter {
                after_ms: after_ms.max(rate_wait_ms),
            },
        }
    }

    /// Returns the demand of a job on its pool, from the estimated durations of its steps.
    fn job_demand(&self, queue: &Queue, spec: &JobSpec) -> JobDemand {
        let estimate_ms = |step: &StepSpec| {
            let kind = StepKind::new(&queue.key, step);
            self.durations.estimate_ms(&kind, step.estimated_ms)
        };
        let step_resources = |step: &StepSpec| step.reserved().times(u64::from(step.tasks));
        let work = spec
            .steps
            .iter()
            .map(|step| Work::new(&step_resources(step), estimate_ms(step)));
        let initial_steps = spec.steps.iter().filter(|step| step.after.is_empty());
        let step_estimate_ms = |step: &StepSpec| {
            let kind = StepKind::new(&queue.key, step);
            self.step_estimate_ms(&kind, step)
        };
        let chain_ms = priority::longest_chain_ms(spec, step_estimate_ms);
        let stretched_ms = chain_ms.saturating_mul(queue.stretch_millis) / 1_000;
        JobDemand {
            work: work.fold(Work::default(), |sum, work| sum.plus(&work)),
            startable: initial_steps.fold(Resources::default(), |sum, step| {
                sum.plus(&step_resources(step))
            }),
            slack_ms: (stretched_ms + queue.latency_target_ms).saturating_sub(chain_ms),
        }
    }

    /// Returns the load of a pool, computed at most [`LOAD_CACHE_TTL_MS`] ago and updated by the
    /// jobs accepted since then.
    fn cached_load(&mut self, pool: &SmolStr, state: &JobsState) -> PoolLoad {
        let now_ms = self.now.steady_ms;
        if let Some(cached) = self.load_cache.get(pool)
            && now_ms < cached.computed_at_ms + LOAD_CACHE_TTL_MS
        {
            return cached.load;
        }
        let (load, by_workspace) = self.pool_load(pool, state);
        let cached = CachedLoad {
            computed_at_ms: now_ms,
            load,
            by_workspace,
        };
        self.load_cache.insert(pool.clone(), cached);
        load
    }

    /// Returns the load of a workspace in a pool whose load has just been computed. Its share is that
    /// among the workspaces that have work in the pool.
    fn workspace_load(
        &self,
        pool: &SmolStr,
        workspace: &Workspace,
        load: &PoolLoad,
    ) -> WorkspaceLoad {
        let mut shares = PoolShares::new(load.capacity);
        let cached = self.load_cache.get(pool);
        let mut backlog = Work::default();
        for (name, (weight, work)) in cached.iter().flat_map(|cached| &cached.by_workspace) {
            shares.add(name, *weight, Resources::default());
            if *name == workspace.name {
                backlog = *work;
            }
        }
        WorkspaceLoad {
            backlog,
            share: shares.share(&workspace.name, workspace.weight),
        }
    }

    /// Computes the capacity, the free resources, the reserve and the backlog of a pool, and the
    /// backlogs of its workspaces.
    fn pool_load(&self, pool: &SmolStr, state: &JobsState) -> (PoolLoad, WorkspaceBacklogs) {
        let mut by_workspace = WorkspaceBacklogs::new();
        let mut load = PoolLoad::default();
        let mut max_instance = Resources::default();
        for handle in self.directory.in_pool(pool) {
            let Some(worker) = self.workers.get(&handle) else {
                continue;
            };
            let capacity = worker.heartbeat.capacity;
            max_instance = max_instance.component_max(&capacity);
            if worker.heartbeat.draining || worker.unresponsive {
                continue;
            }
            load.capacity = load
                .capacity
                .plus(&self.capacity_without_long_running(worker));
            if !worker.evacuating {
                load.free = load.free.plus(&worker.free());
            }
        }
        let incoming = max_instance.times(self.moves.incoming(pool) as u64);
        load.capacity = load.capacity.plus(&incoming);
        load.reserve = max_instance.times(self.standby_instance_count(state) as u64);
        load.reserve_after_ms = self.settings.move_ms;
        let mut waiting_now = Resources::default();
        for (id, step) in self.steps.iter().filter(|(_, step)| step.pool == *pool) {
            let spec = step.step();
            if spec.long_running {
                continue;
            }
            let waiting = step.waiting.len() as u64;
            if step.open && step.due_ms <= self.now.wall_ms {
                waiting_now = waiting_now.plus(&spec.reserved().times(waiting));
            }
            let left = u64::from(spec.tasks.saturating_sub(step.done_count));
            let running = left.saturating_sub(waiting);
            let task_ms = self.durations.estimate_ms(&step.kind, spec.estimated_ms);
            // Counts halves of tasks, since a running task is half done on average.
            let half_tasks = spec.reserved().times(waiting * 2 + running);
            let work = Work::new(&half_tasks, task_ms / 2);
            load.backlog = load.backlog.plus(&work);
            let name = step.workspace.as_ref();
            if let Some(name) = name.filter(|_| work != Work::default())
                && let Some(workspace) = state.configuration.access.workspace(name)
            {
                add_backlog(&mut by_workspace, workspace, &work);
            }
            debug_assert!(
                id.step as usize == step.position,
                "a step is stored under its position in the job"
            );
        }
        load.free = load.free.minus(&waiting_now);
        (load, by_workspace)
    }

    /// Returns the capacity of a worker that long-running tasks do not reserve.
    fn capacity_without_long_running(&self, worker: &Worker) -> Resources {
        if worker.long_running_runs == 0 {
            return worker.heartbeat.capacity;
        }
        let steps = worker.runs.keys();
        let steps = steps.filter_map(|task| self.steps.get(&task.step_id()));
        let long_running = steps.filter(|step| step.step().long_running);
        let used = long_running.fold(Resources::default(), |sum, step| {
            sum.plus(&step.step().reserved())
        });
        worker.heartbeat.capacity.minus(&used)
    }

    /// Decides how a job is cancelled.
    pub fn decide_cancellation(
        &mut self,
        key: JobKey,
        queue: &QueueKey,
        state: &JobsState,
    ) -> CancelDecision {
        match state.jobs.get(&key) {
            Some(job) if job.is_early_cancellation() => CancelDecision::NoJob,
            Some(job) if job.queue == *queue => CancelDecision::Cancel,
            // The key belongs to another queue, so no job can be added under it in this one.
            Some(_) => CancelDecision::NoJob,
            None if state.has_room_for_early_cancellation() => {
                self.log_event(format!("event=job_cancelled_early job={key}"));
                CancelDecision::CancelEarly(Command::cancel_early(key, queue.clone()))
            }
            None => {
                self.log_event(format!("event=early_cancellation_refused job={key}"));
                CancelDecision::RetryAfter {
                    after_ms: EARLY_CANCELLATION_RETRY_MS,
                }
            }
        }
    }

    /// Ends the jobs that record early cancellations of earlier leaders, so that they are removed with the
    /// other ended jobs.
    pub(super) fn end_early_cancellations(&mut self, state: &JobsState) {
        for key in state.open_early_cancellations() {
            self.propose(Command::Cancel(key));
        }
    }

    /// Returns the status of a job.
    #[must_use]
    pub fn status(&self, queue: &QueueKey, key: JobKey, state: &JobsState) -> QueryResponse {
        let job = state.jobs.get(&key).filter(|job| job.queue == *queue);
        let Some(job) = job.filter(|job| !job.is_early_cancellation()) else {
            return QueryResponse::NoJob;
        };
        let status = match job.status() {
            JobStatus::Queued if self.has_started(key) => JobStatus::Running,
            status => status,
        };
        QueryResponse::Status(status)
    }

    /// Returns the number of accepted jobs of a queue of which no task has started.
    #[must_use]
    pub fn waiting_jobs(&self, queue: &QueueKey, state: &JobsState) -> QueryResponse {
        let jobs = state.jobs.iter().filter(|(_, job)| job.queue == *queue);
        let jobs = jobs.filter(|(_, job)| !job.is_early_cancellation());
        let waiting = jobs
            .filter(|(key, job)| job.ended.is_none() && !job.has_run && !self.has_started(**key));
        QueryResponse::Waiting(waiting.count())
    }

    /// Returns whether a task of a job is known to have started. A start that was only requested may never
    /// take effect.
    fn has_started(&self, key: JobKey) -> bool {
        let is_confirmed = |run: &Run| run.listed || run.state == RunState::Running;
        let has_started_task = |id: &StepId| {
            let Some(step) = self.steps.get(id) else {
                return false;
            };
            let tasks = (0..step.step().tasks).filter(|index| !step.waiting.contains(index));
            let mut runs =
                tasks.flat_map(|index| self.runs.get(&id.task(index)).into_iter().flatten());
            step.done_count > 0 || (step.waiting.len() < step.done.len() && runs.any(is_confirmed))
        };
        self.schedules.has_run(key) || self.step_ids(key).iter().any(has_started_task)
    }
}
