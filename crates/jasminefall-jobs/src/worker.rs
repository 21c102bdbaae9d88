//! Heartbeats, run reports and responses of workers.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{IncarnationId, TaskId};
use crate::job::Resources;

/// A heartbeat of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The incarnation of the worker that sent the heartbeat.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
    /// The instance that the worker runs on, if reported.
    pub instance: Option<SmolStr>,
    /// The pool that the worker belongs to.
    pub pool: SmolStr,
    /// The address on which the worker accepts requests, as IP:PORT.
    pub address: SmolStr,
    /// The data centre of the worker.
    pub data_centre: SmolStr,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The labels of the worker, including its rack.
    pub labels: Vec<SmolStr>,
    /// Whether the worker is draining and will leave.
    pub draining: bool,
    /// The shortest time until a draining worker leaves.
    pub leaves_in_ms: Option<u64>,
    /// The remaining warm-up time, during which a newly started worker is slow.
    pub cold_ms: u64,
    /// The worker's steady clock when it sent the heartbeat.
    pub clock_ms: u64,
    /// The sequence number of the heartbeat within the incarnation, so that a delayed heartbeat is
    /// recognised.
    pub sequence: u64,
}

/// The reason for the end of a run on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task succeeded.
    Done,
    /// The run failed because of the task or the worker.
    Failed,
    /// A request stopped the run.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the gang ended.
    #[serde(rename = "Broken")]
    GangBroken,
    /// The other members of the gang did not start in time.
    #[serde(rename = "Alone")]
    GangIncomplete,
}

impl EndKind {
    /// Returns the name in log lines.
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
    /// The number of the end within the incarnation, starting at one.
    pub number: u64,
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The run of the task.
    pub run: u64,
    /// The reason for the end.
    pub kind: EndKind,
    /// The checkpoint from which a later run can resume; empty if there is none.
    pub checkpoint: SmolStr,
}

impl RunEnd {
    /// The number of a crash record; workers number their ends from one.
    pub const CRASH_NUMBER: u64 = 0;
    /// The kind of a crash record. Earlier versions reject an unknown kind.
    pub const CRASH_KIND: EndKind = EndKind::Lapsed;

    /// Creates the record of a run that ended with the crash of its worker.
    #[must_use]
    pub const fn crashed(task: TaskId, run: u64) -> Self {
        Self {
            number: Self::CRASH_NUMBER,
            task,
            run,
            kind: Self::CRASH_KIND,
            checkpoint: SmolStr::new_static(""),
        }
    }

    /// Returns whether this is the record of a crash, which no worker reports.
    #[must_use]
    pub fn is_crash(&self) -> bool {
        self.number == Self::CRASH_NUMBER && self.kind == Self::CRASH_KIND
    }
}

/// Reports the progress of a current run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The run of the task.
    pub run: u64,
    /// The latest checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// The progress of the task in percent; a long-running task at 100 has finished its start-up.
    pub percent: u64,
    /// The tail latency in milliseconds if the task has a target, otherwise its processor use.
    pub gauge: Option<u64>,
}

/// The response of a worker to a request for its runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RunList {
    /// The worker's steady clock.
    pub clock_ms: u64,
    /// The start of the worker's incarnation, in milliseconds since 1970; zero if not reported.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The runs that have not ended, with their progress.
    pub running: Vec<RunProgress>,
    /// The unacknowledged ends, oldest first, at most [`Self::MAX_ENDS`].
    pub ended: Vec<RunEnd>,
}

impl RunList {
    /// The largest number of ends in one list; further ends follow once these are acknowledged.
    pub const MAX_ENDS: usize = 500;

    /// Returns whether the worker may have ends that the list has no room for, so that a run which is
    /// not listed may have ended.
    #[must_use]
    pub const fn may_lack_ends(&self) -> bool {
        self.ended.len() >= Self::MAX_ENDS
    }
}

/// The result of a request to a worker about a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerResponse {
    /// The worker carried out the request, now or earlier.
    Accepted {
        /// The worker's steady clock.
        clock_ms: u64,
    },
    /// The worker refused the request, which had no effect.
    Refused {
        /// The worker's steady clock, if reported.
        clock_ms: Option<u64>,
        /// The reason, read from the response of the worker.
        refusal: Refusal,
    },
    /// Another incarnation answered at the address, so the addressed incarnation no longer runs
    /// there.
    OtherIncarnation,
    /// The request never left this process.
    NotSent,
    /// The outcome is unknown: the worker may have carried out the request or may still do so.
    Unknown,
}

/// The reason for which a worker refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has received a request from a later leader.
    Fenced,
    /// The same or a newer run of the task has already been stopped or has ended on the worker.
    OldRun,
    /// The request arrived after its deadline.
    Late,
    /// The task does not fit into the free resources of the worker.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker is unhealthy.
    Unhealthy,
    /// The worker could not decode the request or gave another reason.
    Other,
}

impl Refusal {
    /// Returns the name in log lines.
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
