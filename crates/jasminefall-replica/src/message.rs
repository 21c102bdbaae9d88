//! What replicas send each other.

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Snapshot};
use crate::types::{LogIndex, ReplicaId, Term};

/// Carries one message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term, or the term asked for in a pre-vote.
    pub term: Term,
    /// What is said.
    pub body: Body,
}

/// Says what a message means.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote, or for the promise of one where `pre` is set.
    VoteRequest {
        /// Whether no vote is stored yet.
        pre: bool,
        /// The candidate's last index.
        last_index: LogIndex,
        /// The term of the candidate's last index.
        last_term: Term,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the request was a pre-vote.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Carries entries, or none as a heartbeat.
    Append {
        /// The index before the first entry.
        previous_index: LogIndex,
        /// The term of that index.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's clock when it sent this, given back in the reply.
        sent_at_ms: u64,
    },
    /// Answers entries or a snapshot.
    AppendReply {
        /// Whether the entries fit; if not, `match_index` is where to try next.
        accepted: bool,
        /// The last index known to be equal and durable.
        match_index: LogIndex,
        /// The leader's clock as given in the request.
        sent_at_ms: u64,
    },
    /// Carries a whole snapshot.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock when it sent this.
        sent_at_ms: u64,
    },
}
