//! The consensus algorithm.
//!
//! A replica is a deterministic state machine: [`Replica::tick`], [`Replica::step`] and
//! [`Replica::propose`] take the caller's monotonic clock in milliseconds, and
//! [`Replica::take_ready`] returns the data to store, the messages to send and the entries to apply.
//! The caller stores in the order given, then calls [`Replica::mark_synced`].

mod contacts;
mod election;
mod joining;
mod lease;
mod membership;
mod parts;
mod replication;
mod snapshots;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::membership::{MemberStatus, MembershipChange, MembershipChangeError};
pub use self::parts::{
    HardState, NotLeader, Progress, ReadError, Ready, RecoveredState, Role, Settings,
};
use self::snapshots::IncomingSnapshot;
use crate::entry::{Membership, Payload, Snapshot};
use crate::log::Log;
use crate::message::{Body, Message};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Runs the consensus algorithm for one replica.
#[derive(Debug, Clone)]
pub struct Replica {
    id: ReplicaId,
    incarnation: Incarnation,
    settings: Settings,
    first_voters: BTreeSet<ReplicaId>,
    known_peers: BTreeSet<ReplicaId>,
    random: SmallRng,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    /// The time of this replica's latest election as the leader.
    elected_at_ms: u64,
    commit_index: LogIndex,
    /// The last entry that [`Replica::take_ready`] has returned for application.
    delivered_index: LogIndex,
    /// The last entry of the log that is synced to this replica's disk.
    synced_index: LogIndex,
    now_ms: u64,
    /// The time of the first input; `None` before it.
    started_at_ms: Option<u64>,
    withhold_votes_until_ms: u64,
    election_at_ms: u64,
    join_requests: BTreeMap<ReplicaId, JoinRequest>,
    unformed_replicas: BTreeMap<ReplicaId, Incarnation>,
    /// The time of the next round of join requests or [`Body::Hello`] messages.
    next_join_at_ms: u64,
    observed: BTreeMap<ReplicaId, ObservedState>,
    /// The time of the next check for voters that have not been heard lately.
    next_greeting_at_ms: u64,
    /// The time until which [`Body::Hello`] messages are sent, to detect outdated files.
    state_check_until_ms: u64,
    outdated: bool,
    incoming_snapshot: Option<IncomingSnapshot>,
    ready: Ready,
}

/// Holds the least state that another replica must have stored, according to its messages, and when the
/// latest one arrived.
#[derive(Debug, Clone, Copy, Default)]
struct ObservedState {
    incarnation: Incarnation,
    term: Term,
    acknowledged: (Term, LogIndex),
    heard_at_ms: u64,
}

/// Records the latest request of a replica to join the group.
#[derive(Debug, Clone, Copy)]
struct JoinRequest {
    incarnation: Incarnation,
    received_at_ms: u64,
}

impl Replica {
    /// Creates a replica from its recovered state; `seed` randomizes its election timeouts.
    #[must_use]
    pub fn new(id: ReplicaId, settings: Settings, recovered: RecoveredState, seed: u64) -> Self {
        let start = recovered.snapshot.index;
        let log = Log::new(recovered.snapshot, recovered.entries);
        let synced_index = log.last_index();
        Self {
            id,
            incarnation: recovered.incarnation,
            settings,
            first_voters: BTreeSet::new(),
            known_peers: BTreeSet::new(),
            random: SmallRng::seed_from_u64(seed),
            hard_state: recovered.hard_state,
            log,
            role: Role::Follower,
            leader: None,
            elected_at_ms: 0,
            commit_index: start,
            delivered_index: start,
            synced_index,
            now_ms: 0,
            started_at_ms: None,
            withhold_votes_until_ms: 0,
            election_at_ms: 0,
            join_requests: BTreeMap::new(),
            unformed_replicas: BTreeMap::new(),
            next_join_at_ms: 0,
            observed: BTreeMap::new(),
            next_greeting_at_ms: 0,
            state_check_until_ms: 0,
            outdated: false,
            incoming_snapshot: None,
            ready: Ready::default(),
        }
    }

    /// Sets the replicas that form the group if none of them has ever been a member of one.
    ///
    /// A replica without a membership does not start elections; it sends these replicas requests to
    /// join.
    #[must_use]
    pub fn with_first_voters(mut self, voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        self.first_voters = voters.into_iter().collect();
        self
    }

    /// Sets additional replicas that receive the requests to join the group.
    #[must_use]
    pub fn with_known_peers(mut self, peers: impl IntoIterator<Item = ReplicaId>) -> Self {
        self.known_peers = peers.into_iter().collect();
        self
    }

    /// Replaces the additional replicas that receive the requests to join the group.
    pub fn set_known_peers(&mut self, peers: impl IntoIterator<Item = ReplicaId>) {
        self.known_peers = peers.into_iter().collect();
    }

    /// Returns the identifier of this replica.
    #[must_use]
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the incarnation recorded in this replica's files.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the files hold less than another replica has observed of this incarnation.
    ///
    /// The files are then an outdated copy, and the replica ignores all ticks and messages. The caller
    /// must move the data folder aside and restart with an empty one.
    #[must_use]
    pub const fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Returns the current term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the known leader of the current term, which may be this replica.
    #[must_use]
    pub const fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns whether this replica is in the leader role; a later term may already have begun.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the current role.
    #[must_use]
    pub const fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the highest index known to be committed.
    #[must_use]
    pub const fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the in-memory log.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership in effect, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Advances the clock, and starts an election, sends heartbeats or steps down if that is due.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        if self.outdated {
            return;
        }
        self.send_join_or_hello();
        if self.is_leader() {
            self.step_down_without_quorum();
            self.send_heartbeats();
        } else {
            if self.now_ms >= self.election_at_ms {
                self.start_pre_vote();
            }
            self.greet_quiet_voters();
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now_ms: u64, message: Message) {
        self.advance_clock(now_ms);
        if self.outdated {
            return;
        }
        self.observe_sender(&message);
        self.forward_to_leader(&message);
        if self.should_ignore(&message) {
            return self.reply_with_current_term(&message);
        }
        if message.term > self.hard_state.term && message.body.raises_term() {
            self.become_follower(message.term, None);
        }
        self.handle(message);
    }

    /// Appends a command to the leader's log and returns its index.
    ///
    /// The command may still be replaced by another leader's entry. Commands proposed between two calls
    /// of [`Replica::take_ready`] are sent together.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] if this replica is not the leader.
    pub fn propose(&mut self, now_ms: u64, command: Vec<u8>) -> Result<LogIndex, NotLeader> {
        self.advance_clock(now_ms);
        if !self.is_leader() {
            return Err(NotLeader {
                leader: self.leader,
            });
        }
        Ok(self.append_new_entry(Payload::Command(command)))
    }

    /// Advances the clock; the first call starts the period in which votes are withheld.
    fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        if self.started_at_ms.is_some() {
            return;
        }
        self.started_at_ms = Some(self.now_ms);
        self.withhold_votes_after_start();
    }

    /// Records that all entries up to `index`, which has `term`, are synced to disk.
    ///
    /// A report for an entry that has been replaced meanwhile is ignored.
    pub fn mark_synced(&mut self, index: LogIndex, term: Term) {
        if self.log.term_at(index) == Some(term) {
            self.synced_index = self.synced_index.max(index);
        }
        self.advance_commit();
    }

    /// Replaces the log up to `index` with the state of the embedding application at that index.
    ///
    /// Returns `None` if the entry was not returned for application yet, or is no longer in the log.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) -> Option<Snapshot> {
        let term = self
            .log
            .term_at(index)
            .filter(|_| index <= self.delivered_index)?;
        let membership = self.log.membership_at(index).clone();
        let snapshot = Snapshot {
            index,
            term,
            membership,
            state,
        };
        self.log.install_snapshot(snapshot.clone());
        Some(snapshot)
    }

    /// Returns the pending data to store, messages to send and entries to apply.
    pub fn take_ready(&mut self) -> Ready {
        self.replicate();
        let mut ready = std::mem::take(&mut self.ready);
        if let Some(snapshot) = &ready.snapshot {
            ready.append = self.log.entries_after(snapshot.index, usize::MAX).to_vec();
        }
        ready.committed = self
            .log
            .entries_between(self.delivered_index, self.commit_index)
            .to_vec();
        self.delivered_index = self.commit_index;
        ready
    }

    fn handle(&mut self, message: Message) {
        let (from, term, incarnation) = (message.from, message.term, message.incarnation);
        let is_current_term = term == self.hard_state.term;
        let is_member = self.membership().contains(from, incarnation);
        match message.body {
            Body::VoteRequest {
                pre,
                last_index,
                last_term,
            } => {
                self.reply_to_vote_request(from, term, pre, (last_term, last_index));
            }
            Body::VoteReply { pre, granted } => {
                self.count_vote((from, incarnation), term, pre, granted);
            }
            body @ (Body::Append { .. } | Body::SnapshotChunk { .. }) if is_current_term => {
                self.follow_leader(from);
                self.handle_from_leader(body);
            }
            body @ (Body::AppendReply { .. } | Body::SnapshotReply { .. })
                if is_current_term && is_member =>
            {
                self.handle_reply(from, body);
            }
            Body::Join { unformed, heard } => {
                self.record_join_request(from, incarnation);
                // `heard` must prove that the request was sent after this incarnation started, because
                // an older request may arrive after its sender has become a member of a group.
                if unformed && heard == self.incarnation {
                    self.record_unformed(from, incarnation);
                }
            }
            Body::Hello => self.reply_to_hello(from, incarnation),
            Body::ObservedState {
                incarnation,
                term,
                acknowledged,
            } if incarnation == self.incarnation => {
                self.compare_with_observed_state(term, acknowledged);
            }
            // Replies of non-members and messages of another term or incarnation are ignored.
            _ => {}
        }
    }

    /// Handles entries or a snapshot chunk from the leader of the current term.
    fn handle_from_leader(&mut self, body: Body) {
        match body {
            Body::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                sent_at_ms,
            } => {
                let previous = (previous_index, previous_term);
                self.handle_append(previous, entries, commit, sent_at_ms);
            }
            Body::SnapshotChunk {
                index,
                term,
                membership,
                offset_bytes,
                total_bytes,
                data,
                sent_at_ms,
            } => {
                let snapshot = Snapshot {
                    index,
                    term,
                    membership,
                    state: Vec::new(),
                };
                self.handle_snapshot_chunk(snapshot, offset_bytes, total_bytes, &data, sent_at_ms);
            }
            _ => {}
        }
    }

    /// Handles a member's reply to an append message or snapshot chunk of this leader.
    fn handle_reply(&mut self, from: ReplicaId, body: Body) {
        match body {
            Body::AppendReply {
                accepted,
                match_index,
                sent_at_ms,
            } => {
                self.handle_append_reply(from, accepted, match_index, sent_at_ms);
            }
            Body::SnapshotReply {
                index,
                received_bytes,
                sent_at_ms,
            } => {
                self.handle_snapshot_reply(from, index, received_bytes, sent_at_ms);
            }
            _ => {}
        }
    }

    /// Becomes a follower in `term`; a later term clears the vote of the current one.
    fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.store_hard_state(HardState {
                term,
                voted_for: None,
            });
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer();
    }

    fn store_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.ready.hard_state = Some(hard_state);
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            from: self.id,
            incarnation: self.incarnation,
            to,
            term: self.hard_state.term,
            body,
        }
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.ready.messages.push(message);
    }

    fn send_after_sync(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.ready.messages_after_sync.push(message);
    }
}
