//! Re-exports of the types that most users of the crate need.

pub use crate::configuration::{ClientLimits, Configuration, ConfigurationError, Pool, Queue};
pub use crate::ids::{IncarnationId, JobKey, QueueKey, StepId, TaskId};
pub use crate::job::{JobError, JobSpec, Resources, Schedule, StepSpec};
pub use crate::leader::{Effect, Leader};
pub use crate::state::{Command, Job, JobStatus, JobsState, Outcome, Wave};
pub use crate::worker::{
    EndKind, Heartbeat, Refusal, RunEnd, RunList, RunProgress, WorkerResponse,
};
pub use crate::workspace::{
    Access, ApiKeyDigest, Caller, ResourceCap, Weight, Workspace, WorkspaceName,
};
