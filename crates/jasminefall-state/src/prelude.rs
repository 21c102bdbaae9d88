//! Re-exports of the types that most users of the crate need.

pub use crate::claims::{
    Claim, ClaimKey, ClaimRelease, ClaimRequest, ClaimResponse, ClaimResult, Claims, KeptResponse,
    RecordedResult,
};
pub use crate::cluster::ClusterState;
pub use crate::command::{Command, LostWorker, StampedCommand};
pub use crate::configuration::{ApplyRequest, Configuration, PublishedVersion};
pub use crate::jobs::{
    DirectiveChange, Job, JobRequest, JobState, Jobs, Placement, Task, TaskDirective, TaskReport,
    TaskResult,
};
pub use crate::outcome::{Outcome, Refusal};
pub use crate::pools::{
    Instance, InstanceAction, InstanceCondition, InstanceStep, Instances, PoolCount, Purpose,
};
pub use crate::service_levels::{
    Bucket, Observation, ObservationBatch, RequestCounts, ServiceLevels,
};
pub use crate::waves::{Wave, WaveAction, WaveMemberState, WaveRequest, WaveState, Waves};
