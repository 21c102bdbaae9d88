//! Job requests, tasks and task reports.

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use serde::{Deserialize, Serialize};

/// Requests that a job be run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobRequest {
    /// The caller's key; a resend with the same key returns the same job.
    pub key: IdempotencyKey,
    /// The team whose quota the job counts towards.
    pub team: TeamId,
    /// The kind of job; resource sizes are learnt per kind.
    pub kind: SmolStr,
    /// How urgent the job is.
    pub urgency: Urgency,
    /// The processors that the job declares.
    pub cpu_mcores: MilliCores,
    /// The memory that the job declares.
    pub memory_bytes: Bytes,
    /// The accelerators that the job needs.
    pub accelerators: u64,
    /// Whether the job may be started again although an earlier task of it may have run.
    pub idempotent: bool,
    /// The command that the worker runs, opaque to the system.
    pub command: SmolStr,
    /// Whether a task of the job can be checkpointed and resumed on another worker.
    pub can_checkpoint: bool,
    /// The expected run time; zero if the caller does not know it.
    pub expected_ms: DurationMs,
}

impl JobRequest {
    /// Returns the resources that the job declares.
    #[must_use]
    pub const fn need(&self) -> Resources {
        Resources {
            cpu_mcores: self.cpu_mcores,
            memory_bytes: self.memory_bytes,
            accelerators: self.accelerators,
        }
    }

    /// Returns whether a running task may be preempted without losing work that cannot be redone.
    #[must_use]
    pub const fn is_preemptible(&self) -> bool {
        self.can_checkpoint || self.idempotent
    }
}

/// Specifies how the worker runs a placed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskDirective {
    /// The task runs at full speed.
    #[default]
    Run,
    /// The task runs with a share of its processors.
    Throttle,
    /// The task is checkpointed; its job waits to be resumed on another worker.
    Checkpoint,
    /// The task is stopped; its job waits again.
    Stop,
    /// The task is stopped; its job is cancelled.
    Cancel,
}

/// Holds one execution of a job on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The worker that the task was placed on.
    pub worker: WorkerId,
    /// The incarnation of the worker's process that the task was placed on.
    pub incarnation: Incarnation,
    /// The epoch of the task; a report or change with another epoch is ignored.
    pub epoch: Epoch,
    /// The time of the placement, in milliseconds since 1970.
    pub at_ms: u64,
    /// The resources that the task holds on the worker.
    pub size: Resources,
    /// Whether the task holds processors beyond its team's quota.
    pub borrowed: bool,
    /// The current directive to the worker.
    #[serde(rename = "wish")]
    pub directive: TaskDirective,
}

/// Describes the state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Waiting for a worker.
    Waiting,
    /// Placed on a worker.
    Placed(Task),
    /// Ended after a task ran successfully.
    Completed,
    /// Ended after failures or losses, and not retried.
    Failed,
    /// Ended by a request to cancel it.
    Cancelled,
    /// Not retried after its task was lost or stopped, because it may have run.
    MayHaveRun,
}

impl JobState {
    /// Returns whether the state is final.
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
    /// The request as submitted.
    pub request: JobRequest,
    /// The time at which the job was accepted, in milliseconds since 1970.
    pub submitted_at_ms: u64,
    /// The current state.
    pub state: JobState,
    /// The number of tasks of the job that have been placed.
    pub attempts: u32,
    /// The workers on which a task of the job failed.
    pub failed_on: Vec<WorkerId>,
    /// The workers that were lost without the rest of their rack while they ran a task of the job.
    pub lost_on: Vec<WorkerId>,
}

impl Job {
    /// Returns the current task, if the job is placed.
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
    /// The job to place.
    pub job: JobId,
    /// The worker that the job is placed on.
    pub worker: WorkerId,
    /// The resources that the task will hold there.
    pub size: Resources,
    /// Whether the task will hold processors beyond its team's quota.
    pub borrowed: bool,
}

/// Describes how a task ended, or that it now runs throttled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskResult {
    /// It ended successfully.
    Completed,
    /// It failed.
    Failed,
    /// It was stopped as directed, without a checkpoint.
    Stopped,
    /// It was checkpointed as directed and has stopped.
    Checkpointed,
    /// It continues with a share of its processors, as directed.
    Throttled,
    /// It was never started and never will be.
    NotStarted,
}

/// Reports the result of a task from its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The worker that ran the task.
    pub worker: WorkerId,
    /// The epoch of the task; a report with another epoch is ignored.
    pub epoch: Epoch,
    /// The result of the task.
    pub result: TaskResult,
}

/// Requests a change of the directive of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectiveChange {
    /// The job whose task receives the directive.
    pub job: JobId,
    /// The epoch of the task; a change with another epoch is ignored.
    pub epoch: Epoch,
    /// The directive that replaces the previous one.
    #[serde(rename = "wish")]
    pub directive: TaskDirective,
}
