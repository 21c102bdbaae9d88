//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Membership};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Carries one message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The sender's incarnation; votes and acknowledgements count only from the incarnation that is a
    /// member.
    pub incarnation: Incarnation,
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote, the term that the candidate would use.
    pub term: Term,
    /// The content of the message.
    pub body: Body,
}

/// Holds the content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote, or a pre-vote if `pre` is set.
    VoteRequest {
        /// Whether this is a pre-vote, which changes no stored term or vote.
        pre: bool,
        /// The index of the candidate's last log entry.
        last_index: LogIndex,
        /// The term of the candidate's last log entry.
        last_term: Term,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the request was a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Carries log entries; without entries it is a heartbeat.
    Append {
        /// The index of the entry before the first one sent.
        previous_index: LogIndex,
        /// The term of the entry at `previous_index`.
        previous_term: Term,
        /// The log entries that directly follow `previous_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's clock at sending, in milliseconds; the reply returns it.
        sent_at_ms: u64,
    },
    /// Answers an append message or a complete snapshot.
    AppendReply {
        /// Whether the log matched at `previous_index`; if not, the leader resends the entries
        /// after `match_index`.
        accepted: bool,
        /// The last index that matches the leader's log and is synced to disk, if accepted;
        /// otherwise the last index that may match.
        match_index: LogIndex,
        /// The leader's clock copied from the request, in milliseconds.
        sent_at_ms: u64,
    },
    /// Carries one chunk of a snapshot.
    SnapshotChunk {
        /// The index of the last entry that the snapshot covers.
        index: LogIndex,
        /// The term of the entry at `index`.
        term: Term,
        /// The membership in effect at `index`.
        membership: Membership,
        /// The position of the chunk in the snapshot, in bytes.
        offset_bytes: u64,
        /// The size of the whole snapshot, in bytes.
        total_bytes: u64,
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The leader's clock at sending, in milliseconds; the reply returns it.
        sent_at_ms: u64,
    },
    /// Acknowledges a chunk of a snapshot that is still incomplete.
    SnapshotReply {
        /// The index of the last entry that the snapshot covers.
        index: LogIndex,
        /// The size of the contiguous part received so far, in bytes.
        received_bytes: u64,
        /// The leader's clock copied from the request, in milliseconds.
        sent_at_ms: u64,
    },
    /// Requests to join the group; the sender is not a voter and has no leader.
    Join {
        /// Whether the sender is unformed: it has never been a member of a group.
        unformed: bool,
        /// The receiver's incarnation in its latest message to the sender; zero if there was none.
        heard: Incarnation,
    },
    /// Requests, after a restart, the state that the receiver has observed of the sender.
    Hello,
    /// Answers [`Body::Hello`]; files that hold less than the observed state are an outdated copy.
    #[serde(rename = "Witnessed")]
    ObservedState {
        /// The observed incarnation; a delayed reply may be for an earlier one.
        incarnation: Incarnation,
        /// The latest term that the replica must have stored.
        term: Term,
        /// The latest acknowledged index, preceded by the term of the acknowledgement.
        acknowledged: (Term, LogIndex),
    },
}
