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
    pub published: Option<Published>,
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

/// Carries what an entry knows of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The entry that tells.
    pub entry: EntryId,
    /// What it has heard.
    pub announcements: Vec<Announcement>,
}
