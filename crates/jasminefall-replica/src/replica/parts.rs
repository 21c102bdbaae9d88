//! Settings, roles, inputs and outputs of a replica.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Membership, Snapshot};
use crate::message::Message;
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Configures the timeouts and message sizes of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// The minimum time without a message from the leader before an election, in milliseconds.
    ///
    /// Each timeout is drawn between this and twice as much.
    pub election_timeout_ms: u64,
    /// The interval between a leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The percentage of a lease that is not used, to tolerate clocks that run at different rates.
    pub clock_drift_percent: u64,
    /// The maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// The maximum bytes of commands in one message; a larger command is sent alone.
    pub max_batch_bytes: usize,
    /// The maximum number of entries sent to a replica but not yet acknowledged by it.
    pub max_unacknowledged_entries: u64,
    /// The maximum bytes of a snapshot in one message.
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

/// Holds the state that must be durable before a vote or an acknowledgement is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: Term,
    /// The candidate that received this replica's vote in the term.
    pub voted_for: Option<ReplicaId>,
}

/// Holds the stored state from which a replica starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The incarnation recorded in the files.
    pub incarnation: Incarnation,
    /// The stored term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// Creates the initial state of a group that is already formed, for embedding without files.
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

/// Represents the role of a replica in its current term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, if one is known.
    Follower,
    /// Requests pre-votes; holds the replicas that granted one.
    PreCandidate(BTreeSet<ReplicaId>),
    /// Requests votes; holds the replicas that granted one.
    Candidate(BTreeSet<ReplicaId>),
    /// Replicates the log; holds the replication progress of the other members.
    Leader(BTreeMap<ReplicaId, Progress>),
}

/// Tracks the replication progress of another replica on the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// The highest index known to match the leader's log and to be synced on the replica.
    pub match_index: LogIndex,
    /// The last index sent to the replica.
    pub sent_index: LogIndex,
    /// The leader's clock when it sent the latest message that was answered, or at its election if none
    /// was, in milliseconds.
    pub last_contact_at_ms: u64,
    /// The leader's clock when it sent the latest message that was answered, or before its election when it
    /// last heard the replica as a follower, in milliseconds.
    pub responded_at_ms: u64,
    /// Whether the replica has answered this leader.
    pub has_answered: bool,
    /// The leader's clock when it last sent entries, a heartbeat or a chunk, in milliseconds.
    pub last_sent_at_ms: u64,
    /// The leader's clock when it last moved `sent_index` back after a rejection, in milliseconds.
    ///
    /// Rejections of messages sent earlier are ignored, because they concern the same gap.
    pub rewound_at_ms: u64,
    /// The index of the snapshot being sent, and the number of its bytes that the replica received.
    pub snapshot_transfer: Option<(LogIndex, u64)>,
}

/// Holds the work that the caller must carry out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// The term and vote to store first, if changed.
    pub hard_state: Option<HardState>,
    /// The snapshot received from the leader, to store and to load into the embedding application.
    ///
    /// `append` then holds all entries after it; no entry stored earlier is kept.
    pub snapshot: Option<Snapshot>,
    /// The entries to store; the first one replaces all stored entries from its index on.
    pub append: Vec<Entry>,
    /// The messages to send immediately.
    pub messages: Vec<Message>,
    /// The messages to send once `hard_state`, `snapshot` and `append` are synced.
    pub messages_after_sync: Vec<Message>,
    /// The committed entries to apply, in index order.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether there is a term, vote, snapshot or entry to store.
    #[must_use]
    pub const fn must_store(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.append.is_empty()
    }
}

/// Reports that this replica is not the leader, and names the known leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeader {
    /// The known leader, if any.
    pub leader: Option<ReplicaId>,
}

impl std::fmt::Display for NotLeader {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.leader {
            Some(leader) => write!(
                formatter,
                "this replica is not the leader; send the request to replica {leader}"
            ),
            None => formatter.write_str("no leader is known; try again shortly"),
        }
    }
}

impl std::error::Error for NotLeader {}

/// Explains why a linearizable read cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// This replica is not the leader.
    NotLeader(NotLeader),
    /// The lease has expired, or no entry of this term is committed yet; try again shortly.
    NoLease,
}
