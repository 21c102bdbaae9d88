//! Jobs and their tasks on workers.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, Refusal};

/// Asks for a job to be run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobRequest {
    /// The caller's key; a resend with the same key gets the same job.
    pub key: IdempotencyKey,
    /// The team that the job counts towards.
    pub team: TeamId,
    /// The kind of job, by which sizes are learnt.
    pub kind: SmolStr,
    /// How urgent the job is.
    pub urgency: Urgency,
    /// The processors that the job declares.
    pub cpu_mcores: MilliCores,
    /// The memory that the job declares.
    pub memory_bytes: Bytes,
    /// The accelerators that the job needs.
    pub accelerators: u64,
    /// Whether the job may be started again after it may have run.
    pub idempotent: bool,
    /// What the worker is to run, opaque to the system.
    pub command: SmolStr,
}

/// Says where a job stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Waiting for a worker.
    Waiting,
    /// Placed on a worker; the epoch fences the task.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// The epoch of this task.
        epoch: Epoch,
        /// When the job was placed, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Completed.
    Completed,
    /// Failed for good.
    Failed,
    /// Cancelled.
    Cancelled,
    /// Lost together with its lease: it may have run.
    MayHaveRun,
}

/// Holds one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job's identifier.
    pub id: JobId,
    /// What was asked.
    pub request: JobRequest,
    /// When the job was accepted, in milliseconds since 1970.
    pub submitted_at_ms: u64,
    /// Where the job stands.
    pub state: JobState,
    /// How many tasks of the job have been started.
    pub attempts: u32,
}

/// Places one job on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The job.
    pub job: JobId,
    /// The worker.
    pub worker: WorkerId,
}

/// Says how a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskResult {
    /// It ended well.
    Completed,
    /// It failed.
    Failed,
}

/// Carries what a worker says of a task that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The job.
    pub job: JobId,
    /// The worker that ran the task.
    pub worker: WorkerId,
    /// The epoch of the task; a report of an earlier epoch is ignored.
    pub epoch: Epoch,
    /// How the task ended.
    pub result: TaskResult,
}

/// Holds every job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Jobs {
    by_id: BTreeMap<JobId, Job>,
    by_key: BTreeMap<(TeamId, IdempotencyKey), JobId>,
    last_id: JobId,
    last_epoch: Epoch,
}

impl Jobs {
    /// Returns a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    /// Returns every job in order of submission.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// Returns the jobs that wait, in order of submission.
    pub fn waiting(&self) -> impl Iterator<Item = &Job> {
        self.iter().filter(|job| job.state == JobState::Waiting)
    }

    /// Returns the jobs placed on a worker.
    pub fn on_worker<'jobs>(
        &'jobs self,
        worker: &'jobs WorkerId,
    ) -> impl Iterator<Item = &'jobs Job> {
        self.iter().filter(move |job| {
            matches!(&job.state, JobState::Placed { worker: placed, .. } if placed == worker)
        })
    }

    /// Accepts a job, or gives the resent one its first answer.
    pub fn submit(&mut self, now_ms: u64, desired: &DesiredState, request: JobRequest) -> Outcome {
        if !desired.teams.contains_key(&request.team) {
            let reason = format!("the team `{}` is not declared", request.team);
            return Outcome::Refused(Refusal::Impossible(reason.into()));
        }
        let key = (request.team.clone(), request.key.clone());
        if let Some(id) = self.by_key.get(&key) {
            return Outcome::Accepted(*id);
        }
        self.last_id = self.last_id.next();
        let id = self.last_id;
        self.by_key.insert(key, id);
        let state = JobState::Waiting;
        self.by_id.insert(
            id,
            Job {
                id,
                request,
                submitted_at_ms: now_ms,
                state,
                attempts: 0,
            },
        );
        Outcome::Accepted(id)
    }

    /// Places waiting jobs; a job that does not wait any more is passed over.
    pub fn place(&mut self, now_ms: u64, placements: Vec<Placement>) {
        for Placement { job, worker } in placements {
            let Some(job) = self
                .by_id
                .get_mut(&job)
                .filter(|job| job.state == JobState::Waiting)
            else {
                continue;
            };
            self.last_epoch = self.last_epoch.next();
            job.attempts += 1;
            job.state = JobState::Placed {
                worker,
                epoch: self.last_epoch,
                at_ms: now_ms,
            };
        }
    }

    /// Takes reports of tasks; those of an earlier epoch change nothing.
    pub fn report(&mut self, _now_ms: u64, reports: Vec<TaskReport>) {
        for report in reports {
            let Some(job) = self.by_id.get_mut(&report.job) else {
                continue;
            };
            if matches!(&job.state, JobState::Placed { epoch, .. } if *epoch == report.epoch) {
                job.state = match report.result {
                    TaskResult::Completed => JobState::Completed,
                    TaskResult::Failed => JobState::Failed,
                };
            }
        }
    }

    /// Cancels jobs that have not ended.
    pub fn cancel(&mut self, _now_ms: u64, jobs: &[JobId]) {
        for id in jobs {
            let Some(job) = self.by_id.get_mut(id) else {
                continue;
            };
            if matches!(job.state, JobState::Waiting | JobState::Placed { .. }) {
                job.state = JobState::Cancelled;
            }
        }
    }
}
