//! Jobs and their tasks on workers.
//!
//! A job has at most one task at a time, fenced by an epoch. The resources of a task are counted
//! when it is placed, so that neither a worker nor a team's quota is ever overcommitted.
//!
//! - [`request`]: job requests, tasks and task reports
//! - [`usage`]: the resources that tasks hold, by worker and by team
//! - [`retention`]: the retention of ended jobs and of idempotency keys

pub mod request;
pub mod retention;
pub mod usage;

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use serde::{Deserialize, Serialize};

pub use self::request::{
    DirectiveChange, Job, JobRequest, JobState, Placement, Task, TaskDirective, TaskReport,
    TaskResult,
};
use self::retention::Retention;
use self::usage::{Usage, WorkerUsage};
use crate::outcome::{Outcome, Refusal};
use crate::pools::Instances;

/// The number of different workers on which an idempotent job must fail to end as failed.
pub const MAX_FAILED_WORKERS_PER_JOB: usize = 3;
/// The number of different workers whose loss ends a job as failed.
///
/// A worker that is lost together with the rest of its rack does not count.
pub const MAX_LOST_WORKERS_PER_JOB: usize = 5;
/// The divisor of the declared processors that yields the share kept by a throttled task.
pub const THROTTLED_CPU_DIVISOR: u64 = 4;

/// Holds every job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Jobs {
    by_id: BTreeMap<JobId, Job>,
    waiting: BTreeSet<(Urgency, JobId)>,
    usage: Usage,
    retention: Retention,
    last_id: JobId,
    last_epoch: Epoch,
}

impl Jobs {
    /// Returns a job, if it is kept.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    /// Returns the kept jobs, in order of submission.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// Returns the waiting jobs, the most urgent first, then in order of submission.
    pub fn waiting(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.waiting.iter();
        jobs.filter_map(|(_, id)| self.by_id.get(id))
    }

    /// Returns the waiting jobs of one urgency, in order of submission.
    pub fn waiting_with_urgency(&self, urgency: Urgency) -> impl Iterator<Item = &Job> {
        let range = (urgency, JobId::new(0))..=(urgency, JobId::new(u64::MAX));
        let jobs = self.waiting.range(range);
        jobs.filter_map(|(_, id)| self.by_id.get(id))
    }

    /// Returns the jobs placed on a worker.
    pub fn on_worker(&self, worker: &WorkerId) -> impl Iterator<Item = &Job> {
        let jobs = self.usage.on_worker(worker).into_iter();
        jobs.flat_map(|usage| &usage.jobs)
            .filter_map(|id| self.by_id.get(id))
    }

    /// Returns whether a worker has no task.
    #[must_use]
    pub fn is_idle(&self, worker: &WorkerId) -> bool {
        self.usage.on_worker(worker).is_none()
    }

    /// Returns the resources that the tasks on a worker hold.
    #[must_use]
    pub fn allocated_on(&self, worker: &WorkerId) -> Resources {
        let usage = self.usage.on_worker(worker);
        usage
            .map(|usage: &WorkerUsage| usage.held)
            .unwrap_or_default()
    }

    /// Returns the processors that a team holds within its quota.
    #[must_use]
    pub fn cpu_within_quota(&self, team: &TeamId) -> MilliCores {
        self.usage.within_quota(team)
    }

    /// Accepts a job; a resend with the same key gets the first outcome.
    pub fn submit(&mut self, now_ms: u64, desired: &DesiredState, request: JobRequest) -> Outcome {
        self.retention.expire(now_ms);
        if let Some(id) = self.retention.job_for_key(&request.team, &request.key) {
            return Outcome::Accepted(id);
        }
        if let Some(reason) = impossible_reason(desired, &request) {
            return Outcome::Refused(Refusal::Impossible(reason));
        }
        if !self.retention.has_room() {
            let wait_ms = self.retention.next_expiry_ms().unwrap_or(now_ms) - now_ms;
            return Outcome::Refused(Refusal::TooManyJobs { wait_ms });
        }
        self.last_id = self.last_id.next();
        let id = self.last_id;
        self.retention.insert_key(&request.team, &request.key, id);
        self.waiting.insert((request.urgency, id));
        let job = Job {
            id,
            request,
            submitted_at_ms: now_ms,
            state: JobState::Waiting,
            attempts: 0,
            failed_on: Vec::new(),
            lost_on: Vec::new(),
        };
        self.by_id.insert(id, job);
        Outcome::Accepted(id)
    }

    /// Places waiting jobs; a placement that is no longer valid is skipped.
    ///
    /// A placement is valid if the job still waits, the worker takes new work and has the resources
    /// free, and the team stays within its quota. Only a preemptible task that is not urgent may
    /// borrow beyond the quota.
    pub fn place(
        &mut self,
        now_ms: u64,
        desired: &DesiredState,
        instances: &Instances,
        placements: Vec<Placement>,
    ) {
        for placement in placements {
            if let Some(task) = self.task_for(now_ms, desired, instances, &placement) {
                self.start_task(placement.job, task);
            }
        }
    }

    fn task_for(
        &self,
        now_ms: u64,
        desired: &DesiredState,
        instances: &Instances,
        placement: &Placement,
    ) -> Option<Task> {
        let job = self.by_id.get(&placement.job)?;
        if job.state != JobState::Waiting {
            return None;
        }
        let instance = InstanceId::new(placement.worker.as_str());
        let incarnation = instances.schedulable_incarnation(&instance)?;
        let mut free = desired.instances.get(&instance).map(capacity)?;
        free.subtract(&self.allocated_on(&placement.worker));
        if !placement.size.fits_in(&free) {
            return None;
        }
        let team = desired.teams.get(&job.request.team)?;
        let held = self.cpu_within_quota(&job.request.team);
        let wanted = held.saturating_add(placement.size.cpu_mcores);
        let may_borrow = job.request.urgency != Urgency::Urgent && job.request.is_preemptible();
        let borrowed = placement.borrowed && may_borrow;
        if !borrowed && wanted > team.quota_mcores {
            return None;
        }
        Some(Task {
            worker: placement.worker.clone(),
            incarnation,
            epoch: self.last_epoch.next(),
            at_ms: now_ms,
            size: placement.size,
            borrowed,
            directive: TaskDirective::Run,
        })
    }

    fn start_task(&mut self, id: JobId, task: Task) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        self.last_epoch = task.epoch;
        self.waiting.remove(&(job.request.urgency, id));
        self.usage.add_task(id, &task.worker, &task.size);
        if !task.borrowed {
            self.usage
                .add_quota_use(&job.request.team, task.size.cpu_mcores);
        }
        job.attempts += 1;
        job.state = JobState::Placed(task);
    }

    /// Applies reports of tasks; a report with another epoch than the current task of its job is
    /// ignored.
    pub fn report(&mut self, now_ms: u64, reports: Vec<TaskReport>) {
        for report in reports {
            let task = self.by_id.get(&report.job).and_then(Job::task);
            let Some(task) = task.filter(|task| task.epoch == report.epoch) else {
                continue;
            };
            let directive = task.directive;
            match report.result {
                TaskResult::Completed => self.end_job(now_ms, report.job, JobState::Completed),
                TaskResult::Throttled => self.apply_throttle(report.job),
                TaskResult::Failed if directive == TaskDirective::Cancel => {
                    self.end_job(now_ms, report.job, JobState::Cancelled);
                }
                TaskResult::Failed => self.handle_failure(now_ms, report.job),
                TaskResult::Stopped | TaskResult::Checkpointed | TaskResult::NotStarted => {
                    self.handle_stopped(now_ms, report.job, report.result);
                }
            }
        }
    }

    fn handle_stopped(&mut self, now_ms: u64, id: JobId, result: TaskResult) {
        let Some(job) = self.by_id.get(&id) else {
            return;
        };
        let cancelled = job
            .task()
            .is_some_and(|task| task.directive == TaskDirective::Cancel);
        let may_requeue = result != TaskResult::Stopped || job.request.idempotent;
        if cancelled {
            self.end_job(now_ms, id, JobState::Cancelled);
        } else if may_requeue {
            self.requeue(id);
        } else {
            self.end_job(now_ms, id, JobState::MayHaveRun);
        }
    }

    fn handle_failure(&mut self, now_ms: u64, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if let JobState::Placed(task) = &job.state
            && !job.failed_on.contains(&task.worker)
        {
            job.failed_on.push(task.worker.clone());
        }
        if job.request.idempotent && job.failed_on.len() < MAX_FAILED_WORKERS_PER_JOB {
            self.requeue(id);
        } else {
            self.end_job(now_ms, id, JobState::Failed);
        }
    }

    /// Ends the tasks on a lost worker.
    ///
    /// The caller guarantees that the worker has stopped them. `alone` means that the rest of the
    /// worker's rack is live, so that the job itself may have caused the loss.
    pub fn mark_worker_lost(&mut self, now_ms: u64, worker: &WorkerId, alone: bool) {
        let lost: Vec<JobId> = self.on_worker(worker).map(|job| job.id).collect();
        for id in lost {
            self.end_lost_task(now_ms, id, worker, alone);
        }
    }

    /// Ends the tasks that earlier incarnations of a worker's process ran.
    pub fn mark_earlier_incarnations_lost(
        &mut self,
        now_ms: u64,
        worker: &WorkerId,
        incarnation: Incarnation,
    ) {
        let is_earlier = |job: &&Job| {
            job.task()
                .is_some_and(|task| task.incarnation < incarnation)
        };
        let lost: Vec<JobId> = self
            .on_worker(worker)
            .filter(is_earlier)
            .map(|job| job.id)
            .collect();
        for id in lost {
            self.end_lost_task(now_ms, id, worker, true);
        }
    }

    fn end_lost_task(&mut self, now_ms: u64, id: JobId, worker: &WorkerId, alone: bool) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if alone && !job.lost_on.contains(worker) {
            job.lost_on.push(worker.clone());
        }
        let cancelled = job
            .task()
            .is_some_and(|task| task.directive == TaskDirective::Cancel);
        if !job.request.idempotent {
            self.end_job(now_ms, id, JobState::MayHaveRun);
        } else if cancelled {
            self.end_job(now_ms, id, JobState::Cancelled);
        } else if job.lost_on.len() >= MAX_LOST_WORKERS_PER_JOB {
            self.end_job(now_ms, id, JobState::Failed);
        } else {
            self.requeue(id);
        }
    }

    /// Cancels jobs that have not ended; a task holds its resources until it has stopped.
    pub fn cancel(&mut self, now_ms: u64, jobs: &[JobId]) {
        for id in jobs {
            let Some(job) = self.by_id.get_mut(id) else {
                continue;
            };
            match &mut job.state {
                JobState::Waiting => self.end_job(now_ms, *id, JobState::Cancelled),
                JobState::Placed(task) => task.directive = TaskDirective::Cancel,
                _ => {}
            }
        }
    }

    /// Changes the directives of tasks.
    ///
    /// A change is ignored if the task has another epoch, if the task is being cancelled or if the
    /// job does not allow the change.
    pub fn set_directives(&mut self, changes: &[DirectiveChange]) {
        for change in changes {
            let Some(job) = self.by_id.get_mut(&change.job) else {
                continue;
            };
            let allowed = match change.directive {
                TaskDirective::Run | TaskDirective::Throttle => job.request.is_preemptible(),
                TaskDirective::Checkpoint => job.request.can_checkpoint,
                TaskDirective::Stop => job.request.idempotent,
                TaskDirective::Cancel => false,
            };
            if let JobState::Placed(task) = &mut job.state
                && task.epoch == change.epoch
                && task.directive != TaskDirective::Cancel
                && allowed
            {
                task.directive = change.directive;
            }
        }
    }

    /// Removes a worker from the failures of waiting jobs, because the worker itself was at fault.
    pub fn clear_failures_on(&mut self, worker: &WorkerId) {
        let waiting: Vec<JobId> = self.waiting.iter().map(|(_, id)| *id).collect();
        for id in waiting {
            if let Some(job) = self.by_id.get_mut(&id) {
                job.failed_on.retain(|other| other != worker);
            }
        }
    }

    fn apply_throttle(&mut self, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        let declared_mcores = job.request.cpu_mcores.get();
        let JobState::Placed(task) = &mut job.state else {
            return;
        };
        let throttled_mcores =
            MilliCores::new(declared_mcores / THROTTLED_CPU_DIVISOR).min(task.size.cpu_mcores);
        let freed = task.size.cpu_mcores.saturating_sub(throttled_mcores);
        self.usage.remove_task(id, &task.worker, &task.size);
        task.size.cpu_mcores = throttled_mcores;
        self.usage.add_task(id, &task.worker, &task.size);
        if !task.borrowed {
            self.usage.remove_quota_use(&job.request.team, freed);
        }
    }

    fn release_resources(&mut self, id: JobId) {
        let Some(job) = self.by_id.get(&id) else {
            return;
        };
        let JobState::Placed(task) = &job.state else {
            return;
        };
        self.usage.remove_task(id, &task.worker, &task.size);
        if !task.borrowed {
            self.usage
                .remove_quota_use(&job.request.team, task.size.cpu_mcores);
        }
    }

    fn requeue(&mut self, id: JobId) {
        self.release_resources(id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.state = JobState::Waiting;
            self.waiting.insert((job.request.urgency, id));
        }
    }

    fn end_job(&mut self, now_ms: u64, id: JobId, state: JobState) {
        self.release_resources(id);
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        job.state = state;
        self.waiting.remove(&(job.request.urgency, id));
        let evicted = self
            .retention
            .record_ended(now_ms, id, &job.request.team, &job.request.key);
        if let Some(evicted) = evicted {
            self.by_id.remove(&evicted);
        }
    }
}

/// Returns the declared resources of an instance.
#[must_use]
pub const fn capacity(declared: &InstanceDeclaration) -> Resources {
    Resources {
        cpu_mcores: declared.cpu_mcores,
        memory_bytes: declared.memory_bytes,
        accelerators: declared.accelerators,
    }
}

/// Returns the reason why a job can never run, or none if it can.
fn impossible_reason(desired: &DesiredState, request: &JobRequest) -> Option<SmolStr> {
    let Some(team) = desired.teams.get(&request.team) else {
        let team = &request.team;
        return Some(format!("the team `{team}` is not declared; name a declared team").into());
    };
    let need = request.need();
    let mut capacities = desired.instances.values().map(capacity);
    if !capacities.any(|capacity| need.fits_in(&capacity)) {
        return Some(no_instance_message(desired, &need).into());
    }
    let may_borrow = request.urgency != Urgency::Urgent && request.is_preemptible();
    if need.cpu_mcores > team.quota_mcores && !may_borrow {
        return Some(
            format!(
                "it declares {} and the quota of its team is {}; declare less or raise the quota",
                need.cpu_mcores, team.quota_mcores
            )
            .into(),
        );
    }
    None
}

fn no_instance_message(desired: &DesiredState, need: &Resources) -> String {
    let largest =
        desired
            .instances
            .values()
            .map(capacity)
            .fold(Resources::default(), |largest, capacity| Resources {
                cpu_mcores: largest.cpu_mcores.max(capacity.cpu_mcores),
                memory_bytes: largest.memory_bytes.max(capacity.memory_bytes),
                accelerators: largest.accelerators.max(capacity.accelerators),
            });
    format!(
        "no instance has {need} (the maximum of each resource is {largest}); \
         declare less or add a larger instance"
    )
}
