//! The calls that are forwarded to the leader.

use std::net::SocketAddr;

use jasminefall_jobs::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Carries a call that only the leader answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A client's call on a job or a queue.
    Client {
        /// The host that the client named.
        host: SmolStr,
        /// The path that the client named.
        path: SmolStr,
        /// The requested operation.
        call: ClientOperation,
    },
    /// A worker's heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A worker that ends.
    Departure(SmolStr),
    /// A new configuration.
    PutConfiguration(Box<Configuration>),
    /// A read of the configuration.
    ReadConfiguration,
    /// A wave of maintenance.
    StartWave(u64, Box<Wave>),
    /// How far a wave is.
    WaveState(u64),
}

/// Says what a client asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientOperation {
    /// Submits a job.
    Submit(Box<JobSpec>),
    /// Asks where a job stands, or how many wait in a queue.
    Read,
    /// Cancels a job.
    Cancel,
}

/// Answers a forwarded call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The process asked does not lead.
    NotLeader {
        /// Where the leader may be reached.
        leader: Option<SocketAddr>,
        /// Where control instances may be reached.
        members: Vec<SocketAddr>,
    },
    /// Nothing is known: the change may have been made, or may be later.
    Unknown,
    /// There is no configuration yet.
    NoConfiguration,
    /// There is no such queue, or no such path.
    NoQueue,
    /// There is no such job or wave.
    NotFound,
    /// The call cannot be carried out as it stands.
    Invalid(SmolStr),
    /// The change is durable, or had been before.
    Accepted,
    /// The job was refused and never runs.
    #[serde(rename = "ComeBack")]
    RetryAfter {
        /// After how long it should be accepted.
        after_ms: u64,
    },
    /// Where a job stands.
    Status(JobStatus),
    /// How many accepted jobs of a queue have not begun.
    Waiting(u64),
    /// The heartbeat is noted.
    HeartbeatNoted {
        /// Where the worker had better send later ones, as IP:PORT.
        next: Option<SmolStr>,
    },
    /// The configuration as its writer sent it.
    Document(Vec<u8>),
    /// Whether a wave is complete.
    Wave {
        /// Whether every instance has been dealt with.
        complete: bool,
    },
}
