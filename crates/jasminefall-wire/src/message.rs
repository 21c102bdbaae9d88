//! The bodies of the calls.

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use serde::{Deserialize, Serialize};

/// Says why a control replica did not carry out a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlError {
    /// Another replica leads; its peer address, if known.
    NotLeader(Option<SmolStr>),
    /// Leadership was lost while the command was under way: it may have been carried out.
    Unknown,
    /// Too many commands are under way.
    Busy,
}

impl std::fmt::Display for ControlError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotLeader(Some(leader)) => write!(formatter, "not the leader; ask {leader}"),
            Self::NotLeader(None) => formatter.write_str("no leader is known; try again shortly"),
            Self::Unknown => {
                formatter.write_str("the outcome is not known; send the same command again")
            }
            Self::Busy => formatter.write_str("too many commands are under way; try again shortly"),
        }
    }
}

impl std::error::Error for ControlError {}

/// Answers a proposed command.
pub type ProposeAnswer = Result<Outcome, ControlError>;

/// Asks for a lease on the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The entry that asks.
    pub entry: EntryId,
    /// The version that the entry acts on, zero where it acts on none.
    pub holds: Version,
    /// The number of the entry's start, which tells two processes of one name apart.
    pub incarnation: Incarnation,
}

/// Gives a lease on the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// How long the entry may act on the configuration, counted from when it asked; none where the
    /// configuration does not declare the entry.
    pub lease_ms: Option<DurationMs>,
    /// The latest configuration, if the entry holds another.
    pub published: Option<PublishedVersion>,
}

/// Answers a renewal.
pub type RenewAnswer = Result<Renewal, ControlError>;

/// Says whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// Carries what a backend server said of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The service that the backend server runs.
    pub service: ServiceId,
    /// Its address, as `IP:PORT`.
    pub address: SmolStr,
    /// The number of its start; a later start at the same address has a larger one.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: BackendState,
    /// The requests that it takes at once.
    pub slots: u32,
    /// The connections that it takes at once.
    pub connections: u32,
    /// How long ago it said so.
    pub age_ms: DurationMs,
}

/// Counts slots or requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCount {
    /// The service.
    pub service: ServiceId,
    /// How many.
    pub count: u32,
}

/// Lends one slot to the entry that asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLoan {
    /// The lender's number of the loan.
    pub number: u64,
    /// The address of the backend server.
    pub address: SmolStr,
    /// How long the loan lasts, counted from when the borrower asked.
    pub duration_ms: DurationMs,
}

/// Says that a backend server is ejected, or is back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The service that the backend server runs.
    pub service: ServiceId,
    /// Its address.
    pub address: SmolStr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The ejections in a row, zero where it is back.
    pub strikes: u32,
    /// How long ago this was decided.
    pub age_ms: DurationMs,
}

/// Carries what an entry knows, and what it asks of and gives to another entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct News {
    /// The entry that tells.
    pub entry: EntryId,
    /// What it has heard.
    pub announcements: Vec<Announcement>,
    /// The start of its process.
    pub start: Incarnation,
    /// Numbers the questions of one process to one other entry.
    pub sequence: u64,
    /// The start of the asked entry's process that `held` is about.
    pub held_of: Incarnation,
    /// The loans of the asked entry that are still held; all others are given back.
    pub held: Vec<u64>,
    /// The services that requests wait for, and how many slots are asked for.
    pub wants: Vec<ServiceCount>,
    /// The slots that could be lent.
    pub idle: Vec<ServiceCount>,
    /// The slots that are lent with this answer.
    pub loans: Vec<SlotLoan>,
    /// The ejected backend servers, and those lately back.
    pub ejections: Vec<Ejection>,
    /// The slots that the teller has, its own and borrowed, of each service that it wants more of.
    pub has: Vec<ServiceCount>,
}
