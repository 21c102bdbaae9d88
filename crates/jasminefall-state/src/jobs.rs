//! Jobs and their tasks on workers.
//!
//! A job has at most one task at a time, and an epoch fences it. What tasks hold is counted when they
//! are placed, so that neither a worker nor a team's quota is ever overcommitted.
//!
//! - [`request`]: what is asked of jobs and said of tasks
//! - [`usage`]: what tasks hold, by worker and by team
//! - [`retention`]: how long ended jobs and their keys are remembered

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

/// On how many workers a job may fail before it is retired.
pub const MAX_FAILED_WORKERS_PER_JOB: usize = 3;
/// With how many workers, each lost alone, a job may be lost before it is retired.
pub const MAX_LOST_WORKERS_PER_JOB: usize = 5;
/// The part of its processors that a throttled task keeps.
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
    /// Returns a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    /// Returns every job kept, in order of submission.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// Returns the jobs that wait, the most urgent first, then in order of submission.
    pub fn waiting(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.waiting.iter();
        jobs.filter_map(|(_, id)| self.by_id.get(id))
    }

    /// Returns the jobs that wait with one urgency, in order of submission.
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

    /// Returns what the tasks on a worker hold.
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

    /// Accepts a job, or gives the resent one its first answer.
    pub fn submit(&mut self, now_ms: u64, desired: &DesiredState, request: JobRequest) -> Outcome {
        self.retention.expire(now_ms);
        if let Some(id) = self.retention.job_for_key(&request.team, &request.key) {
            return Outcome::Accepted(id);
        }
        if let Some(reason) = never_fits(desired, &request) {
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

    /// Places waiting jobs; a placement that does not hold any more is passed over.
    ///
    /// A placement holds where the job still waits, the worker takes work, the room is there and the
    /// team's quota is kept. Only a task that may be disturbed may borrow beyond the quota.
    pub fn place(
        &mut self,
        now_ms: u64,
        desired: &DesiredState,
        instances: &Instances,
        placements: Vec<Placement>,
    ) {
        for placement in placements {
            if let Some(task) = self.task_for(now_ms, desired, instances, &placement) {
                self.start(placement.job, task);
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
        let mut room = desired.instances.get(&instance).map(capacity)?;
        room.subtract(&self.allocated_on(&placement.worker));
        if !placement.size.fits_in(&room) {
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

    fn start(&mut self, id: JobId, task: Task) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        self.last_epoch = task.epoch;
        self.waiting.remove(&(job.request.urgency, id));
        self.usage.add(id, &task.worker, &task.size);
        if !task.borrowed {
            self.usage.add_team(&job.request.team, task.size.cpu_mcores);
        }
        job.attempts += 1;
        job.state = JobState::Placed(task);
    }

    /// Takes reports of tasks; those of an earlier epoch change nothing.
    pub fn report(&mut self, now_ms: u64, reports: Vec<TaskReport>) {
        for report in reports {
            let task = self.by_id.get(&report.job).and_then(Job::task);
            let Some(task) = task.filter(|task| task.epoch == report.epoch) else {
                continue;
            };
            let directive = task.directive;
            match report.result {
                TaskResult::Completed => self.end(now_ms, report.job, JobState::Completed),
                TaskResult::Throttled => self.shrink(report.job),
                TaskResult::Failed if directive == TaskDirective::Cancel => {
                    self.end(now_ms, report.job, JobState::Cancelled);
                }
                TaskResult::Failed => self.fail(now_ms, report.job),
                TaskResult::Stopped | TaskResult::Checkpointed | TaskResult::NotStarted => {
                    self.stopped(now_ms, report.job, report.result);
                }
            }
        }
    }

    fn stopped(&mut self, now_ms: u64, id: JobId, result: TaskResult) {
        let Some(job) = self.by_id.get(&id) else {
            return;
        };
        let cancelled = job
            .task()
            .is_some_and(|task| task.directive == TaskDirective::Cancel);
        let carries_on = result != TaskResult::Stopped || job.request.idempotent;
        if cancelled {
            self.end(now_ms, id, JobState::Cancelled);
        } else if carries_on {
            self.wait_again(id);
        } else {
            self.end(now_ms, id, JobState::MayHaveRun);
        }
    }

    fn fail(&mut self, now_ms: u64, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if let JobState::Placed(task) = &job.state
            && !job.failed_on.contains(&task.worker)
        {
            job.failed_on.push(task.worker.clone());
        }
        if job.request.idempotent && job.failed_on.len() < MAX_FAILED_WORKERS_PER_JOB {
            self.wait_again(id);
        } else {
            self.end(now_ms, id, JobState::Failed);
        }
    }

    /// Ends the leases of tasks on lost workers, or on earlier starts of a worker.
    ///
    /// The caller knows that the worker has stopped them. `alone` says that the worker went without
    /// its rack, which may be the job's fault.
    pub fn mark_worker_lost(&mut self, now_ms: u64, worker: &WorkerId, alone: bool) {
        let lost: Vec<JobId> = self.on_worker(worker).map(|job| job.id).collect();
        for id in lost {
            self.end_lost_task(now_ms, id, worker, alone);
        }
    }

    /// Ends the leases of tasks that an earlier start of a worker's process had.
    pub fn mark_earlier_incarnations_lost(
        &mut self,
        now_ms: u64,
        worker: &WorkerId,
        incarnation: Incarnation,
    ) {
        let earlier = |job: &&Job| {
            job.task()
                .is_some_and(|task| task.incarnation < incarnation)
        };
        let lost: Vec<JobId> = self
            .on_worker(worker)
            .filter(earlier)
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
            self.end(now_ms, id, JobState::MayHaveRun);
        } else if cancelled {
            self.end(now_ms, id, JobState::Cancelled);
        } else if job.lost_on.len() >= MAX_LOST_WORKERS_PER_JOB {
            self.end(now_ms, id, JobState::Failed);
        } else {
            self.wait_again(id);
        }
    }

    /// Cancels jobs that have not ended; a task goes on holding its room until it has stopped.
    pub fn cancel(&mut self, now_ms: u64, jobs: &[JobId]) {
        for id in jobs {
            let Some(job) = self.by_id.get_mut(id) else {
                continue;
            };
            match &mut job.state {
                JobState::Waiting => self.end(now_ms, *id, JobState::Cancelled),
                JobState::Placed(task) => task.directive = TaskDirective::Cancel,
                _ => {}
            }
        }
    }

    /// Changes what is wanted of tasks; a task that may not be disturbed is left alone.
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

    /// Forgets what jobs have against a worker that turned out to be at fault itself.
    pub fn clear_failures_on(&mut self, worker: &WorkerId) {
        let waiting: Vec<JobId> = self.waiting.iter().map(|(_, id)| *id).collect();
        for id in waiting {
            if let Some(job) = self.by_id.get_mut(&id) {
                job.failed_on.retain(|other| other != worker);
            }
        }
    }

    fn shrink(&mut self, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        let declared_mcores = job.request.cpu_mcores.get();
        let JobState::Placed(task) = &mut job.state else {
            return;
        };
        let throttled =
            MilliCores::new(declared_mcores / THROTTLED_CPU_DIVISOR).min(task.size.cpu_mcores);
        let freed = task.size.cpu_mcores.saturating_sub(throttled);
        self.usage.remove(id, &task.worker, &task.size);
        task.size.cpu_mcores = throttled;
        self.usage.add(id, &task.worker, &task.size);
        if !task.borrowed {
            self.usage.remove_team(&job.request.team, freed);
        }
    }

    fn release(&mut self, id: JobId) {
        let Some(job) = self.by_id.get(&id) else {
            return;
        };
        let JobState::Placed(task) = &job.state else {
            return;
        };
        self.usage.remove(id, &task.worker, &task.size);
        if !task.borrowed {
            self.usage
                .remove_team(&job.request.team, task.size.cpu_mcores);
        }
    }

    fn wait_again(&mut self, id: JobId) {
        self.release(id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.state = JobState::Waiting;
            self.waiting.insert((job.request.urgency, id));
        }
    }

    fn end(&mut self, now_ms: u64, id: JobId, state: JobState) {
        self.release(id);
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

/// Returns what an instance has in all.
#[must_use]
pub const fn capacity(declared: &InstanceDeclaration) -> Resources {
    Resources {
        cpu_mcores: declared.cpu_mcores,
        memory_bytes: declared.memory_bytes,
        accelerators: declared.accelerators,
    }
}

/// Returns why a job can never run, if it cannot.
fn never_fits(desired: &DesiredState, request: &JobRequest) -> Option<SmolStr> {
    let Some(team) = desired.teams.get(&request.team) else {
        let team = &request.team;
        return Some(format!("the team `{team}` is not declared; name a declared team").into());
    };
    let need = request.need();
    let mut capacities = desired.instances.values().map(capacity);
    if !capacities.any(|capacity| need.fits_in(&capacity)) {
        return Some(too_large(desired, &need).into());
    }
    let may_borrow = request.urgency != Urgency::Urgent && request.is_preemptible();
    if need.cpu_mcores > team.quota_mcores && !may_borrow {
        return Some(
            format!(
                "it declares {} and its team's quota is {}; declare less or raise the quota",
                need.cpu_mcores, team.quota_mcores
            )
            .into(),
        );
    }
    None
}

fn too_large(desired: &DesiredState, need: &Resources) -> String {
    let largest =
        desired
            .instances
            .values()
            .map(capacity)
            .fold(Resources::default(), |most, one| Resources {
                cpu_mcores: most.cpu_mcores.max(one.cpu_mcores),
                memory_bytes: most.memory_bytes.max(one.memory_bytes),
                accelerators: most.accelerators.max(one.accelerators),
            });
    format!(
        "no instance has {need} at once (the most of each is {largest}); declare less or add a larger instance"
    )
}
