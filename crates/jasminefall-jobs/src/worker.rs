//! What a worker says of itself.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{IncarnationId, TaskId};
use crate::job::Resources;

/// Carries one heartbeat of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Which incarnation of which worker speaks.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
    /// The instance that the worker runs on, where the worker names it.
    pub instance: Option<SmolStr>,
    /// The pool that the worker belongs to.
    pub pool: SmolStr,
    /// Where the worker takes requests, as IP:PORT.
    pub address: SmolStr,
    /// The data centre that the worker is in.
    pub data_centre: SmolStr,
    /// What the worker has in all.
    pub capacity: Resources,
    /// The worker's labels, its rack among them.
    pub labels: Vec<SmolStr>,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// The least time until a draining worker leaves.
    pub leaves_in_ms: Option<u64>,
    /// How much longer a worker that has just started is slow.
    pub cold_ms: u64,
    /// The worker's steady clock when it sent this.
    pub clock_ms: u64,
    /// Increases with each heartbeat of this incarnation, so that a late one is known.
    pub sequence: u64,
}

/// Says how a run ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped by a request.
    Stopped,
    /// The lease lapsed.
    Lapsed,
    /// Another member of the gang ended.
    #[serde(rename = "Broken")]
    GangBroken,
    /// The other members of the gang did not come in time.
    #[serde(rename = "Alone")]
    GangIncomplete,
}

impl EndKind {
    /// Returns the word for log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// Reports the end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The position among the ends of this incarnation, counted from one.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// The checkpoint from which the task can be resumed; empty where there is none.
    pub checkpoint: SmolStr,
}

/// Reports a run that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: u64,
    /// The latest checkpoint; empty where there is none.
    pub checkpoint: SmolStr,
    /// How far the task is; a long-running task at 100 is at work.
    pub percent: u64,
    /// Tail latency in milliseconds where the task has a target, otherwise processor use.
    pub gauge: Option<u64>,
}

/// Carries what a worker answers when it is asked for its runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RunList {
    /// The worker's steady clock.
    pub clock_ms: u64,
    /// When this incarnation began; zero where the worker does not say.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The runs under way.
    pub running: Vec<RunProgress>,
    /// The ends that have not been acknowledged, oldest first.
    pub ended: Vec<RunEnd>,
}

/// Says what a worker answered to a request about a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerResponse {
    /// The request was carried out, or had been before.
    Accepted {
        /// The worker's steady clock.
        clock_ms: u64,
    },
    /// The request was refused and nothing was done.
    Refused {
        /// The worker's steady clock, where it said.
        clock_ms: Option<u64>,
        /// Why.
        refusal: Refusal,
    },
    /// Another incarnation answers at the address: the incarnation that was meant is gone from
    /// there.
    OtherIncarnation,
    /// The request never left this process.
    NotSent,
    /// Nothing is known: the request may have been carried out, or may be later.
    Unknown,
}

/// Says why a worker refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A later leader has spoken to the worker.
    Fenced,
    /// A run that is not older has been stopped or has ended there.
    OldRun,
    /// The request came after its deadline.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker is unhealthy.
    Unhealthy,
    /// The worker did not understand the request, or gave another reason.
    Other,
}

impl Refusal {
    /// Returns the word for log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old-run",
            Self::Late => "late",
            Self::NoRoom => "no-room",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::Other => "other",
        }
    }
}
