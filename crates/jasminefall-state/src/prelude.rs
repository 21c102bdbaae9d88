//! The types that nearly every user of the crate needs.

pub use crate::claims::{
    Claim, ClaimAnswer, ClaimKey, ClaimRelease, ClaimRequest, Claims, KeptAnswer, RecordedAnswer,
    RecordedResult,
};
pub use crate::cluster::ClusterState;
pub use crate::command::{Command, LostWorker, Stamped};
pub use crate::configuration::{ApplyRequest, Configuration, Published};
pub use crate::jobs::{
    Job, JobRequest, JobState, Jobs, Placement, Task, TaskReport, TaskResult, TaskWish, WishChange,
};
pub use crate::outcome::{Outcome, Refusal};
pub use crate::pools::{Action, Condition, Instance, InstanceStep, Instances, PoolCount, Purpose};
pub use crate::service_levels::{Bucket, Counts, Observation, ObservationBatch, ServiceLevels};
pub use crate::waves::{MemberState, Wave, WaveAction, WaveRequest, WaveState, Waves};
