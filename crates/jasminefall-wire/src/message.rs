//! Request and response types of the calls.
//!
//! Postcard encodes fields and variants by position, so their order must not change.

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use serde::{Deserialize, Serialize};

/// Describes why a control replica returned no result of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlError {
    /// Another replica is the leader; holds its peer address, if known.
    NotLeader(Option<SmolStr>),
    /// The replica lost leadership or restarted during the command, which may have been executed.
    Unknown,
    /// Too many commands or disk writes are in progress.
    Busy,
}

impl std::fmt::Display for ControlError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotLeader(Some(leader)) => write!(formatter, "not the leader; ask {leader}"),
            Self::NotLeader(None) => formatter.write_str("no leader is known; try again shortly"),
            Self::Unknown => {
                formatter.write_str("the outcome is unknown; send the same command again")
            }
            Self::Busy => {
                formatter.write_str("too many commands are in progress; try again shortly")
            }
        }
    }
}

impl std::error::Error for ControlError {}

/// Holds the response to a proposed command.
pub type ProposeResponse = Result<Outcome, ControlError>;

/// Requests a lease on the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The requesting entry.
    pub entry: EntryId,
    /// The version of the configuration that the entry uses, zero if it uses none.
    pub holds: Version,
    /// The incarnation of the entry, which distinguishes two processes with the same name.
    pub incarnation: Incarnation,
}

/// Grants a lease on the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// How long the entry may use the configuration, measured from when it sent the request; `None`
    /// if the configuration does not declare the entry.
    pub lease_ms: Option<DurationMs>,
    /// The latest configuration, if the entry has another version.
    pub published: Option<PublishedVersion>,
}

/// Holds the response to a renewal request.
pub type RenewResponse = Result<Renewal, ControlError>;

/// Describes whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// It accepts new requests.
    Ready,
    /// It finishes its current requests and accepts no new ones.
    Leaving,
}

/// Describes the state that a backend server announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The service that the backend server runs.
    pub service: ServiceId,
    /// Its address, as `IP:PORT`.
    pub address: SmolStr,
    /// The incarnation of its process; a later process at the same address has a larger number.
    pub incarnation: Incarnation,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// The number of requests that it handles concurrently.
    pub slots: u32,
    /// The number of connections that it accepts concurrently.
    pub connections: u32,
    /// The age of the announcement.
    pub age_ms: DurationMs,
}

/// Holds a number of slots of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCount {
    /// The service that the slots belong to.
    pub service: ServiceId,
    /// The number of slots.
    pub count: u32,
}

/// Lends one slot to the requesting entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLoan {
    /// The number by which the lender identifies the loan.
    pub number: u64,
    /// The address of the backend server.
    pub address: SmolStr,
    /// The duration of the loan, measured from when the borrower sent the request.
    pub duration_ms: DurationMs,
}

/// Informs another entry that a backend server was ejected or restored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The service that the backend server runs.
    pub service: ServiceId,
    /// Its address.
    pub address: SmolStr,
    /// The incarnation to which the decision applies.
    pub incarnation: Incarnation,
    /// The number of consecutive ejections, zero if the backend server is restored.
    pub strikes: u32,
    /// The age of the decision.
    pub age_ms: DurationMs,
}

/// Holds the query or response in which an entry shares its state with another entry.
///
/// A query may also request loans of slots, which the response grants.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// The sending entry.
    pub entry: EntryId,
    /// The current announcements at the sender.
    pub announcements: Vec<Announcement>,
    /// The incarnation of the sender.
    pub start: Incarnation,
    /// The sequence number of a query among the queries of one process to one other entry.
    pub sequence: u64,
    /// The incarnation of the receiver to which `held` refers.
    pub held_of: Incarnation,
    /// The numbers of the receiver's loans that the sender still holds; all others are returned.
    pub held: Vec<u64>,
    /// The numbers of slots that the sender requests for services with queued requests.
    pub wants: Vec<ServiceCount>,
    /// The numbers of slots that the sender could lend.
    pub idle: Vec<ServiceCount>,
    /// The loans that the response grants.
    pub loans: Vec<SlotLoan>,
    /// The backend servers that are ejected or were recently restored.
    pub ejections: Vec<Ejection>,
    /// The numbers of slots that the sender has, including borrowed ones, of each service in
    /// `wants`.
    pub has: Vec<ServiceCount>,
}
