//! What can be asked of the state.

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claims::{ClaimRelease, ClaimRequest, RecordedAnswer};
use crate::configuration::ApplyRequest;
use crate::jobs::{DirectiveChange, JobRequest, Placement, TaskReport};
use crate::pools::InstanceStep;
use crate::service_levels::ObservationBatch;
use crate::waves::WaveRequest;

/// Carries a command with the leader's clock at its proposal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// The leader's wall clock in milliseconds since 1970.
    pub at_ms: u64,
    /// The command.
    pub command: Command,
}

/// Asks something of the state. New kinds are added at the end, so that old logs stay readable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Moves the time on.
    Tick,
    /// Publishes a desired state.
    Apply(ApplyRequest),
    /// Claims requests before they run.
    Claim(Vec<ClaimRequest>),
    /// Records the answers of claimed requests.
    Record(Vec<RecordedAnswer>),
    /// Accepts a job.
    Submit(JobRequest),
    /// Places jobs on workers.
    Place(Vec<Placement>),
    /// Takes what a worker says of its tasks.
    Report(Vec<TaskReport>),
    /// Cancels jobs.
    Cancel(Vec<JobId>),
    /// Takes what an entry counted of its requests.
    Observe(ObservationBatch),
    /// Gives back claims of requests that did not run.
    Release(Vec<ClaimRelease>),
    /// Changes what is wanted of tasks.
    #[serde(rename = "Wish")]
    SetDirectives(Vec<DirectiveChange>),
    /// Notes workers that are lost; their leases have run out.
    #[serde(rename = "Lose")]
    MarkWorkersLost(Vec<LostWorker>),
    /// Notes the start of an instance's process.
    #[serde(rename = "Hear")]
    RecordIncarnation {
        /// The instance.
        instance: InstanceId,
        /// The start of its process.
        incarnation: Incarnation,
    },
    /// Takes one step of one instance.
    Step(InstanceStep),
    /// Asks for something of a wave.
    Wave(WaveRequest),
    /// Sets a worker aside that fails what others do not.
    SetAside(InstanceStep),
}

/// Names a worker whose lease has run out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the rest of its rack is still heard.
    pub alone: bool,
}
