//! Log entries and memberships.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Holds one entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the log.
    pub index: LogIndex,
    /// The term of the leader that proposed the entry.
    pub term: Term,
    /// The content of the entry.
    pub payload: Payload,
}

/// Holds the content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader appends a no-op to commit an entry of its own term first.
    Noop,
    /// A command of the embedding application, opaque to the replica.
    Command(Vec<u8>),
    /// A new membership; it takes effect as soon as it is appended, before it is committed.
    Membership(Membership),
}

impl Payload {
    /// Returns the size of the command in bytes; zero for other payloads.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        match self {
            Self::Command(bytes) => bytes.len(),
            Self::Noop | Self::Membership(_) => 0,
        }
    }
}

/// Lists the members of the group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// The replicas whose votes and acknowledgements count towards a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// The replicas that receive the log but do not count towards a quorum.
    pub learners: BTreeSet<ReplicaId>,
    /// The incarnation of each member; a missing entry means incarnation zero.
    pub incarnations: BTreeMap<ReplicaId, Incarnation>,
}

impl Membership {
    /// Creates a membership of voters without learners, each in incarnation zero.
    pub fn with_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Returns whether a replica is a voter or learner in this incarnation.
    #[must_use]
    pub fn contains(&self, id: ReplicaId, incarnation: Incarnation) -> bool {
        let is_member = self.voters.contains(&id) || self.learners.contains(&id);
        is_member && self.incarnation(id) == incarnation
    }

    /// Returns whether a replica is a voter in this incarnation.
    #[must_use]
    pub fn has_voter(&self, id: ReplicaId, incarnation: Incarnation) -> bool {
        self.voters.contains(&id) && self.incarnation(id) == incarnation
    }

    /// Returns the incarnation of a member, or zero if none is recorded.
    #[must_use]
    pub fn incarnation(&self, id: ReplicaId) -> Incarnation {
        self.incarnations.get(&id).copied().unwrap_or_default()
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns all voters and learners except `id`, in ascending order.
    pub fn members_except(&self, id: ReplicaId) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters
            .union(&self.learners)
            .copied()
            .filter(move |other| *other != id)
    }
}

/// Replaces all log entries up to and including its index.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of the entry at `index`.
    pub term: Term,
    /// The membership in effect at `index`.
    pub membership: Membership,
    /// The serialized state of the embedding application, opaque to the replica.
    pub state: Vec<u8>,
}
