//! The consensus algorithm.
//!
//! A replica is a deterministic state machine: [`Replica::tick`], [`Replica::step`] and
//! [`Replica::propose`] take the caller's monotonic clock in milliseconds, and
//! [`Replica::take_ready`] hands over what is to be stored, sent and applied. The caller stores in
//! the order given, then reports with [`Replica::synced`].

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
use self::snapshots::Incoming;
use crate::entry::{Membership, Payload, Snapshot};
use crate::log::Log;
use crate::message::{Body, Message};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

/// Runs the algorithm for one replica.
#[derive(Debug, Clone)]
pub struct Replica {
    id: ReplicaId,
    incarnation: Incarnation,
    settings: Settings,
    first_voters: BTreeSet<ReplicaId>,
    others: BTreeSet<ReplicaId>,
    random: SmallRng,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    commit: LogIndex,
    handed_over: LogIndex,
    synced: LogIndex,
    now_ms: u64,
    started: bool,
    promised_until_ms: u64,
    election_at_ms: u64,
    joins: BTreeMap<ReplicaId, Asking>,
    unformed: BTreeMap<ReplicaId, Incarnation>,
    join_at_ms: u64,
    witnessed: BTreeMap<ReplicaId, Witness>,
    check_until_ms: u64,
    outdated: bool,
    incoming: Option<Incoming>,
    ready: Ready,
}

/// Holds what was seen of another replica, and in which incarnation.
#[derive(Debug, Clone, Copy, Default)]
struct Witness {
    incarnation: Incarnation,
    term: Term,
    acknowledged: (Term, LogIndex),
}

/// Holds under which incarnation a replica asks for a place, and when it was last heard.
#[derive(Debug, Clone, Copy)]
struct Asking {
    incarnation: Incarnation,
    heard_at_ms: u64,
}

impl Replica {
    /// Creates a replica from what its storage holds; `seed` spreads its election timeouts.
    #[must_use]
    pub fn new(id: ReplicaId, settings: Settings, recovered: RecoveredState, seed: u64) -> Self {
        let start = recovered.snapshot.index;
        let log = Log::new(recovered.snapshot, recovered.entries);
        let synced = log.last_index();
        Self {
            id,
            incarnation: recovered.incarnation,
            settings,
            first_voters: BTreeSet::new(),
            others: BTreeSet::new(),
            random: SmallRng::seed_from_u64(seed),
            hard_state: recovered.hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit: start,
            handed_over: start,
            synced,
            now_ms: 0,
            started: false,
            promised_until_ms: 0,
            election_at_ms: 0,
            joins: BTreeMap::new(),
            unformed: BTreeMap::new(),
            join_at_ms: 0,
            witnessed: BTreeMap::new(),
            check_until_ms: 0,
            outdated: false,
            incoming: None,
            ready: Ready::default(),
        }
    }

    /// Names the replicas that form the group when none of them has ever taken part in one.
    ///
    /// A replica without a membership asks them for a place in the group instead of voting.
    #[must_use]
    pub fn with_first_voters(mut self, voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        self.first_voters = voters.into_iter().collect();
        self
    }

    /// Names further replicas that are asked for a place in the group.
    #[must_use]
    pub fn with_known_peers(mut self, others: impl IntoIterator<Item = ReplicaId>) -> Self {
        self.others = others.into_iter().collect();
        self
    }

    /// Exchanges the further replicas that are asked for a place in the group.
    pub fn set_known_peers(&mut self, others: impl IntoIterator<Item = ReplicaId>) {
        self.others = others.into_iter().collect();
    }

    /// Returns the replica's own identifier.
    #[must_use]
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the incarnation that the replica's files belong to.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether others have seen more of this replica than its files hold.
    ///
    /// The files are then an older copy: the replica takes no part any more. The caller sets the
    /// folder aside and starts again with an empty one.
    #[must_use]
    pub const fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Returns the current term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader that is followed, or the replica itself when it leads.
    #[must_use]
    pub const fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns whether this replica leads as far as it knows.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the present role.
    #[must_use]
    pub const fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the last index known to be committed.
    #[must_use]
    pub const fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the log as held in memory.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership in force.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Moves the clock on: starts elections, sends heartbeats, gives up a lost leadership.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        if self.outdated {
            return;
        }
        self.ask_to_join();
        if self.is_leader() {
            self.give_up_without_quorum();
            self.send_heartbeats();
        } else if self.now_ms >= self.election_at_ms {
            self.start_pre_vote();
        }
    }

    /// Takes a message from another replica.
    pub fn step(&mut self, now_ms: u64, message: Message) {
        self.advance_clock(now_ms);
        if self.outdated {
            return;
        }
        self.note_sender(&message);
        self.pass_on_to_leader(&message);
        if self.ignores(&message) {
            return self.tell_later_term(&message);
        }
        if message.term > self.hard_state.term && message.body.raises_term() {
            self.follow(message.term, None);
        }
        self.handle(message);
    }

    /// Proposes a command and returns the index that it will have if it is committed.
    ///
    /// The commands proposed between two calls of [`Replica::take_ready`] travel together.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] where this replica does not lead.
    pub fn propose(&mut self, now_ms: u64, command: Vec<u8>) -> Result<LogIndex, NotLeader> {
        self.advance_clock(now_ms);
        if !self.is_leader() {
            return Err(NotLeader {
                leader: self.leader,
            });
        }
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Moves the clock on; the first call is the start, from which an old promise is waited out.
    fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        if self.started {
            return;
        }
        self.started = true;
        self.wait_out_old_promise();
    }

    /// Takes the report that every entry up to `index`, whose term is `term`, is synced.
    pub fn mark_synced(&mut self, index: LogIndex, term: Term) {
        if self.log.term_at(index) == Some(term) {
            self.synced = self.synced.max(index);
        }
        self.advance_commit();
    }

    /// Takes a snapshot of the embedding program, made at an index that was applied.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) -> Option<Snapshot> {
        let term = self
            .log
            .term_at(index)
            .filter(|_| index <= self.handed_over)?;
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

    /// Hands over what has to be stored, sent and applied.
    pub fn take_ready(&mut self) -> Ready {
        self.replicate();
        let mut ready = std::mem::take(&mut self.ready);
        if let Some(snapshot) = &ready.snapshot {
            ready.append = self.log.entries_after(snapshot.index, usize::MAX).to_vec();
        }
        ready.committed = self
            .log
            .entries_between(self.handed_over, self.commit)
            .to_vec();
        self.handed_over = self.commit;
        ready
    }

    fn handle(&mut self, message: Message) {
        let (from, term, incarnation) = (message.from, message.term, message.incarnation);
        let is_current = term == self.hard_state.term;
        let counts = self.membership().contains(from, incarnation);
        match message.body {
            Body::VoteRequest {
                pre,
                last_index,
                last_term,
            } => {
                self.answer_vote_request(from, term, pre, (last_term, last_index));
            }
            Body::VoteReply { pre, granted } => {
                self.count_vote((from, incarnation), term, pre, granted);
            }
            body @ (Body::Append { .. } | Body::SnapshotChunk { .. }) if is_current => {
                self.follow_leader(from);
                self.accept(body);
            }
            body @ (Body::AppendReply { .. } | Body::SnapshotReply { .. })
                if is_current && counts =>
            {
                self.note_reply(from, body);
            }
            Body::Join { unformed, heard } => {
                self.note_asking(from, incarnation);
                // Only what was sent after this incarnation was heard counts: an older message may
                // arrive after its sender has been taken into a group.
                if unformed && heard == self.incarnation {
                    self.note_unformed(from, incarnation);
                }
            }
            Body::Hello => self.answer_hello(from, incarnation),
            Body::ObservedState {
                incarnation,
                term,
                acknowledged,
            } if incarnation == self.incarnation => {
                self.compare_with_witness(term, acknowledged);
            }
            // What is left is of another term, or about another incarnation.
            _ => {}
        }
    }

    /// Takes what the leader of the current term sends.
    fn accept(&mut self, body: Body) {
        match body {
            Body::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                sent_at_ms,
            } => {
                let previous = (previous_index, previous_term);
                self.accept_entries(previous, entries, commit, sent_at_ms);
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
                self.accept_chunk(snapshot, offset_bytes, total_bytes, &data, sent_at_ms);
            }
            _ => {}
        }
    }

    /// Takes the answer of a member to what this leader sent.
    fn note_reply(&mut self, from: ReplicaId, body: Body) {
        match body {
            Body::AppendReply {
                accepted,
                match_index,
                sent_at_ms,
            } => {
                self.note_progress(from, accepted, match_index, sent_at_ms);
            }
            Body::SnapshotReply {
                index,
                received_bytes,
                sent_at_ms,
            } => {
                self.note_received(from, index, received_bytes, sent_at_ms);
            }
            _ => {}
        }
    }

    /// Follows `term`; a later term forgets the vote of the earlier one.
    fn follow(&mut self, term: Term, leader: Option<ReplicaId>) {
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
