//! Log entries and memberships.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::types::{LogIndex, ReplicaId, Term};

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

/// Says which replicas take part.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// The replicas whose votes and acknowledgements count.
    pub voters: BTreeSet<ReplicaId>,
    /// The replicas that receive the log without counting.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Creates a membership of voters alone.
    pub fn with_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Returns how many voters make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns every replica but `id`.
    pub fn others(&self, id: ReplicaId) -> impl Iterator<Item = ReplicaId> + '_ {
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
