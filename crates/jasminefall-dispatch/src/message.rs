//! Requests that are forwarded to the leader, and their responses.
//!
//! Both are encoded by position (postcard), so the order of variants and fields must not change.

use std::net::SocketAddr;

use jasminefall_jobs::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The time after which an entry of an earlier release lets a client submit a job again that it has
/// cancelled, in milliseconds; it is refused again, so the time is long.
const CANCELLED_EARLIER_RETRY_MS: u64 = 60_000;

/// Holds a request that only the leader can handle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A client's operation on a job or a queue, without an API key.
    Client {
        /// The host of the client's HTTP request.
        host: SmolStr,
        /// The path of the client's HTTP request; it selects the queue and the job.
        path: SmolStr,
        /// The operation on the job or the queue that the path selects.
        call: ClientOperation,
    },
    /// A worker's heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// The name of a worker that is shutting down.
    Departure(SmolStr),
    /// Replaces the configuration.
    PutConfiguration(Box<Configuration>),
    /// Reads the configuration.
    ReadConfiguration,
    /// Starts the maintenance wave with this number.
    StartWave(u64, Box<Wave>),
    /// Reads whether the maintenance wave with this number is complete.
    WaveState(u64),
    /// A client's operation on a job or a queue, with an API key.
    ClientWithKey {
        /// The host of the client's HTTP request.
        host: SmolStr,
        /// The path of the client's HTTP request; it selects the queue and the job.
        path: SmolStr,
        /// The operation on the job or the queue that the path selects.
        operation: ClientOperation,
        /// The API key that the client's HTTP request carries.
        api_key: ApiKeyDigest,
    },
    /// Replaces the configuration and its access rules, which are not encoded with it.
    PutConfigurationWithAccess(Box<Configuration>, Box<Access>),
}

impl Request {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Client { call, .. }
            | Self::ClientWithKey {
                operation: call, ..
            } => match call {
                ClientOperation::Submit(_) | ClientOperation::SubmitInvalid(_) => "submission",
                ClientOperation::Read => "read",
                ClientOperation::Cancel => "cancellation",
            },
            Self::Heartbeat(_) => "heartbeat",
            Self::Departure(_) => "departure",
            Self::PutConfiguration(_) | Self::PutConfigurationWithAccess(..) => "configuration",
            Self::ReadConfiguration => "configuration-read",
            Self::StartWave(..) => "wave",
            Self::WaveState(_) => "wave-read",
        }
    }

    /// Returns whether this submits a job.
    #[must_use]
    pub fn is_submission(&self) -> bool {
        self.name() == "submission"
    }

    /// Returns the path of the client's HTTP request, which names the job, for log lines; empty for
    /// requests of workers and operators.
    #[must_use]
    pub fn client_path(&self) -> &str {
        match self {
            Self::Client { path, .. } | Self::ClientWithKey { path, .. } => path,
            _ => "",
        }
    }
}

/// Holds a client's operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientOperation {
    /// Submits a job.
    Submit(Box<JobSpec>),
    /// Reads the status of a job, or the number of jobs waiting in a queue.
    Read,
    /// Cancels a job.
    Cancel,
    /// Submits a job that cannot be decoded; holds the reason and the remedy. The leader refuses it
    /// after it has checked the queue and the API key.
    SubmitInvalid(SmolStr),
}

/// Holds the response to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The instance that received the request is not the leader.
    NotLeader {
        /// The peer address of the leader, if the instance knows it.
        leader: Option<SocketAddr>,
        /// The peer addresses of the voting control instances.
        members: Vec<SocketAddr>,
    },
    /// The outcome is unknown: the change may have been applied or may still be applied.
    Unknown,
    /// No configuration has been set yet.
    NoConfiguration,
    /// No queue matches the host and the path.
    NoQueue,
    /// The job or the wave does not exist.
    NotFound,
    /// The request is invalid; holds the reason and the remedy.
    Invalid(SmolStr),
    /// The change is durable, by this request or an earlier one.
    Accepted,
    /// The job was rejected because of overload and will not run.
    #[serde(rename = "ComeBack")]
    RetryAfter {
        /// When the job is expected to be accepted, in milliseconds from now.
        after_ms: u64,
    },
    /// The status of a job.
    Status(JobStatus),
    /// The number of accepted jobs of a queue that have not started.
    Waiting(u64),
    /// The heartbeat was recorded.
    HeartbeatNoted {
        /// The preferred address for later heartbeats, as IP:PORT.
        next: Option<SmolStr>,
    },
    /// The configuration document, unchanged since it was set.
    Document(Vec<u8>),
    /// The progress of a maintenance wave.
    Wave {
        /// Whether the maintenance of every instance of the wave has started or can never start.
        complete: bool,
    },
    /// The queue requires an API key, and the request has none that is in force.
    Unauthorized,
    /// The job was cancelled before it was submitted; it was not accepted and never runs.
    CancelledEarlier,
    /// The request was not executed and will not be, since its time limit had passed when it arrived.
    Expired,
}

impl Response {
    /// Returns whether a submission with this response was not accepted, though another copy of it may be.
    #[must_use]
    pub const fn is_refusal(&self) -> bool {
        matches!(
            self,
            Self::NoConfiguration
                | Self::NoQueue
                | Self::Invalid(_)
                | Self::RetryAfter { .. }
                | Self::Unauthorized
        )
    }

    /// Returns the response for a sender of an earlier release, which knows no time limits.
    #[must_use]
    pub fn for_earlier_release(self) -> Self {
        match self {
            // Its clients are told that the job was not accepted.
            Self::CancelledEarlier => Self::RetryAfter {
                after_ms: CANCELLED_EARLIER_RETRY_MS,
            },
            Self::Expired => Self::Unknown,
            response => response,
        }
    }
}
