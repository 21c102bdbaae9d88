//! Log entries and memberships.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Holds one position of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position.
    pub index: LogIndex,
    /// The term of the leader that proposed the entry.
    pub term: Term,
    /// What the entry says.
    pub payload: Payload,
}

/// Says what an entry is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits one of these first.
    Noop,
    /// A command of the embedding program, opaque to the replica.
    Command(Vec<u8>),
    /// A new membership, in force as soon as it is appended.
    Membership(Membership),
}

impl Payload {
    /// Returns the size of the command, in bytes.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        match self {
            Self::Command(bytes) => bytes.len(),
            Self::Noop | Self::Membership(_) => 0,
        }
    }
}

/// Says which replicas take part.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// The replicas whose votes and acknowledgements count.
    pub voters: BTreeSet<ReplicaId>,
    /// The replicas that receive the log without counting.
    pub learners: BTreeSet<ReplicaId>,
    /// The incarnation in which each takes part; zero where none is given.
    pub incarnations: BTreeMap<ReplicaId, Incarnation>,
}

impl Membership {
    /// Creates a membership of voters alone.
    pub fn with_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Returns whether a replica takes part in this incarnation, as a voter or as a learner.
    #[must_use]
    pub fn contains(&self, id: ReplicaId, incarnation: Incarnation) -> bool {
        let takes_part = self.voters.contains(&id) || self.learners.contains(&id);
        takes_part && self.incarnation(id) == incarnation
    }

    /// Returns whether a replica votes in this incarnation.
    #[must_use]
    pub fn has_voter(&self, id: ReplicaId, incarnation: Incarnation) -> bool {
        self.voters.contains(&id) && self.incarnation(id) == incarnation
    }

    /// Returns the incarnation in which a replica takes part.
    #[must_use]
    pub fn incarnation(&self, id: ReplicaId) -> Incarnation {
        self.incarnations.get(&id).copied().unwrap_or_default()
    }

    /// Returns how many voters make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns every replica but `id`.
    pub fn members_except(&self, id: ReplicaId) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters
            .union(&self.learners)
            .copied()
            .filter(move |other| *other != id)
    }
}

/// Stands for every entry up to its index.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that the snapshot covers.
    pub index: LogIndex,
    /// The term of that index.
    pub term: Term,
    /// The membership at that index.
    pub membership: Membership,
    /// The state of the embedding program, opaque to the replica.
    pub state: Vec<u8>,
}
