//! What a replica starts from, hands over and reports.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Membership, Snapshot};
use crate::message::Message;
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Sets the times and sizes of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// The shortest silence of a leader after which others stand for election, in milliseconds.
    pub election_timeout_ms: u64,
    /// The time between heartbeats of a leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// The part of a lease given up against clocks that run at different rates, in per cent.
    pub clock_drift_percent: u64,
    /// The most entries in one message.
    pub max_batch_entries: usize,
    /// The most bytes of commands in one message; a single larger command still goes alone.
    pub max_batch_bytes: usize,
    /// The most entries sent to a replica and not yet acknowledged by it.
    pub max_unacknowledged_entries: u64,
    /// The most bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout_ms: 1_000,
            heartbeat_ms: 150,
            clock_drift_percent: 10,
            max_batch_entries: 512,
            max_batch_bytes: 256 << 10,
            max_unacknowledged_entries: 4_096,
            snapshot_chunk_bytes: 256 << 10,
        }
    }
}

/// Holds what must be durable before a vote or an acknowledgement leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: Term,
    /// The replica that got this replica's vote in the term.
    pub voted_for: Option<ReplicaId>,
}

/// Holds what a replica starts from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The incarnation that the files belong to.
    pub incarnation: Incarnation,
    /// The stored term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// Creates the start of a group of voters that needs no forming, for embedding without files.
    pub fn with_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        let membership = Membership::with_voters(voters);
        let snapshot = Snapshot {
            membership,
            ..Snapshot::default()
        };
        Self {
            snapshot,
            ..Self::default()
        }
    }
}

/// Says what a replica does at present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, if one is known.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate(BTreeSet<ReplicaId>),
    /// Stands for election.
    Candidate(BTreeSet<ReplicaId>),
    /// Leads, knowing how far each of the others is.
    Leader(BTreeMap<ReplicaId, Progress>),
}

/// Says how far another replica is, as its leader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// The last index known to be equal and durable there.
    pub match_index: LogIndex,
    /// The last index sent there.
    pub sent_index: LogIndex,
    /// The leader's clock at the sending of the latest answered message.
    pub last_contact_at_ms: u64,
    /// The leader's clock at the latest sending.
    pub last_sent_at_ms: u64,
    /// The leader's clock when it last went back after a refusal; refusals of what was sent before
    /// that are of the same gap.
    pub rewound_at_ms: u64,
    /// The snapshot that is being sent and how many of its bytes have arrived.
    pub snapshot_transfer: Option<(LogIndex, u64)>,
}

/// Holds what the caller has to carry out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// The term and vote to store first, if changed.
    pub hard_state: Option<HardState>,
    /// The snapshot to store and to load into the embedding program, if one came.
    ///
    /// The entries in `append` are then all those that follow it; none stored earlier are kept.
    pub snapshot: Option<Snapshot>,
    /// The entries to store; the first one replaces whatever stands at its index or later.
    pub append: Vec<Entry>,
    /// The messages that may leave at once.
    pub messages: Vec<Message>,
    /// The messages that may leave once all of the above is synced.
    pub messages_after_sync: Vec<Message>,
    /// The entries to apply, in order.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether anything has to be stored.
    #[must_use]
    pub const fn must_store(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.append.is_empty()
    }
}

/// Says that this replica does not lead, and who may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeader {
    /// The leader that this replica follows, if it knows one.
    pub leader: Option<ReplicaId>,
}

impl std::fmt::Display for NotLeader {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.leader {
            Some(leader) => write!(
                formatter,
                "this replica does not lead; ask replica {leader}"
            ),
            None => formatter.write_str("no leader is known; try again shortly"),
        }
    }
}

impl std::error::Error for NotLeader {}

/// Says why a read cannot be served as fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// Another replica leads.
    NotLeader(NotLeader),
    /// The lease has run out, or nothing of this term is committed yet; try again shortly.
    NoLease,
}
