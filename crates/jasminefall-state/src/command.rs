//! The commands of the state machine.

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claims::{ClaimRelease, ClaimRequest, ClaimResult};
use crate::configuration::ApplyRequest;
use crate::jobs::{DirectiveChange, JobRequest, Placement, TaskReport};
use crate::pools::InstanceStep;
use crate::service_levels::ObservationBatch;
use crate::waves::WaveRequest;

/// Carries a command with the time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// The leader's wall clock in milliseconds since 1970.
    pub at_ms: u64,
    /// The command to apply at that time.
    pub command: Command,
}

/// Changes the replicated state.
///
/// New variants are added at the end, so that logs of earlier versions stay readable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Advances the time of the state.
    Tick,
    /// Publishes a desired state.
    Apply(ApplyRequest),
    /// Claims requests before they run.
    Claim(Vec<ClaimRequest>),
    /// Records the results of claimed requests.
    Record(Vec<ClaimResult>),
    /// Accepts a job.
    Submit(JobRequest),
    /// Places jobs on workers.
    Place(Vec<Placement>),
    /// Applies the reports of workers on their tasks.
    Report(Vec<TaskReport>),
    /// Cancels jobs.
    Cancel(Vec<JobId>),
    /// Adds the request counts of an entry.
    Observe(ObservationBatch),
    /// Releases the claims of requests that did not run.
    Release(Vec<ClaimRelease>),
    /// Changes the directives of placed tasks.
    #[serde(rename = "Wish")]
    SetDirectives(Vec<DirectiveChange>),
    /// Marks workers as lost after their leases have expired.
    #[serde(rename = "Lose")]
    MarkWorkersLost(Vec<LostWorker>),
    /// Records the incarnation of an instance's process.
    ///
    /// A new incarnation ends the tasks of earlier ones, and a lost instance returns to service.
    #[serde(rename = "Hear")]
    RecordIncarnation {
        /// The instance that the process belongs to.
        instance: InstanceId,
        /// The incarnation of the process; each start has a higher one than earlier starts.
        incarnation: Incarnation,
    },
    /// Takes one step of the life cycle of an instance.
    Step(InstanceStep),
    /// Starts, pauses, resumes or aborts a wave.
    Wave(WaveRequest),
    /// Quarantines a worker on which jobs fail that do not fail on other workers.
    ///
    /// The action of the step is ignored.
    SetAside(InstanceStep),
}

/// Names a worker whose lease has expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostWorker {
    /// The worker that is marked as lost.
    pub worker: WorkerId,
    /// Whether other workers of its rack are live, so that a job may have caused the loss.
    pub alone: bool,
}
