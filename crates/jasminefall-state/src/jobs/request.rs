//! What is asked of jobs and what is said of their tasks.

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use serde::{Deserialize, Serialize};

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
    /// Whether a task of the job can be checkpointed and carried on elsewhere.
    pub can_checkpoint: bool,
    /// How long the job is expected to run; zero where the caller does not know.
    pub expected_ms: DurationMs,
}

impl JobRequest {
    /// Returns what the job declares that it needs.
    #[must_use]
    pub const fn need(&self) -> Resources {
        Resources {
            cpu_mcores: self.cpu_mcores,
            memory_bytes: self.memory_bytes,
            accelerators: self.accelerators,
        }
    }

    /// Returns whether a running task may be disturbed without losing work that cannot be redone.
    #[must_use]
    pub const fn is_preemptible(&self) -> bool {
        self.can_checkpoint || self.idempotent
    }
}

/// Says what the state wants of a task that has been placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskDirective {
    /// The task runs at full speed.
    #[default]
    Run,
    /// The task runs with a share of its processors.
    Throttle,
    /// The task is checkpointed and carried on elsewhere.
    Checkpoint,
    /// The task is stopped; its job waits again.
    Stop,
    /// The task is stopped; its job is cancelled.
    Cancel,
}

/// Holds the task by which a job runs on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The worker.
    pub worker: WorkerId,
    /// The start of the worker's process that the task was placed on.
    pub incarnation: Incarnation,
    /// The epoch that fences the task.
    pub epoch: Epoch,
    /// When the job was placed, in milliseconds since 1970.
    pub at_ms: u64,
    /// What the task holds on the worker.
    pub size: Resources,
    /// Whether the task holds processors beyond its team's quota.
    pub borrowed: bool,
    /// What is wanted of the task.
    #[serde(rename = "wish")]
    pub directive: TaskDirective,
}

/// Says where a job stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Waiting for a worker.
    Waiting,
    /// Placed on a worker.
    Placed(Task),
    /// Completed.
    Completed,
    /// Failed for good.
    Failed,
    /// Cancelled.
    Cancelled,
    /// Lost together with its lease: it may have run.
    MayHaveRun,
}

impl JobState {
    /// Returns whether nothing more will happen to the job.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Placed(_))
    }
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
    /// The workers on which a task of the job failed.
    pub failed_on: Vec<WorkerId>,
    /// The workers that were lost alone, without their rack, while a task of the job ran there.
    pub lost_on: Vec<WorkerId>,
}

impl Job {
    /// Returns the task by which the job runs.
    #[must_use]
    pub const fn task(&self) -> Option<&Task> {
        match &self.state {
            JobState::Placed(task) => Some(task),
            _ => None,
        }
    }
}

/// Places one job on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The job.
    pub job: JobId,
    /// The worker.
    pub worker: WorkerId,
    /// What the task is to hold there.
    pub size: Resources,
    /// Whether the task is to hold processors beyond its team's quota.
    pub borrowed: bool,
}

/// Says how a task ended, or that it now runs throttled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskResult {
    /// It ended well.
    Completed,
    /// It failed.
    Failed,
    /// It was stopped as asked, without a checkpoint.
    Stopped,
    /// It was checkpointed as asked and has stopped.
    Checkpointed,
    /// It goes on with a share of its processors, as asked.
    Throttled,
    /// It was never started and never will be.
    NotStarted,
}

/// Carries what a worker says of a task.
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

/// Asks for a change of what is wanted of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectiveChange {
    /// The job.
    pub job: JobId,
    /// The epoch of the task; a change for an earlier epoch is ignored.
    pub epoch: Epoch,
    /// What is wanted.
    #[serde(rename = "wish")]
    pub directive: TaskDirective,
}
