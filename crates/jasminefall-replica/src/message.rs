//! What replicas send each other.

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Membership};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Carries one message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The sender's incarnation; votes and acknowledgements of another one do not count.
    pub incarnation: Incarnation,
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
    /// Carries a part of a snapshot.
    SnapshotChunk {
        /// The last index that the snapshot covers.
        index: LogIndex,
        /// The term of that index.
        term: Term,
        /// The membership at that index.
        membership: Membership,
        /// Where the part begins, in bytes.
        offset_bytes: u64,
        /// The size of the whole, in bytes.
        total_bytes: u64,
        /// The part.
        data: Vec<u8>,
        /// The leader's clock when it sent this.
        sent_at_ms: u64,
    },
    /// Answers a part of a snapshot that is not whole yet.
    SnapshotReply {
        /// The last index that the snapshot covers.
        index: LogIndex,
        /// How much of it has arrived, in bytes.
        received_bytes: u64,
        /// The leader's clock as given in the request.
        sent_at_ms: u64,
    },
    /// Says that the sender takes part in no group yet, or no longer.
    Join {
        /// Whether the sender has never taken part in a group.
        unformed: bool,
        /// The incarnation under which the receiver was heard last; zero where it was not.
        heard: Incarnation,
    },
    /// Asks, after a start, what the receiver has seen of the sender.
    Hello,
    /// Tells a replica what it was seen to have stored; less in its files means that they are old.
    #[serde(rename = "Witnessed")]
    ObservedState {
        /// The incarnation that was heard; an answer to an earlier one may arrive late.
        incarnation: Incarnation,
        /// The latest term in which it was heard.
        term: Term,
        /// The latest index that it acknowledged, and in which term.
        acknowledged: (Term, LogIndex),
    },
}
