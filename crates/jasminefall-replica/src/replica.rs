//! The consensus algorithm.
//!
//! A replica is a deterministic state machine: [`Replica::tick`], [`Replica::step`] and
//! [`Replica::propose`] take the caller's monotonic clock in milliseconds, and
//! [`Replica::take_ready`] hands over what is to be stored, sent and applied. The caller stores in
//! the order given, then reports with [`Replica::synced`].

mod election;
mod lease;
mod replication;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Membership, Payload, Snapshot};
use crate::log::Log;
use crate::message::{Body, Message};
use crate::types::{LogIndex, ReplicaId, Term};

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
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout_ms: 1_000,
            heartbeat_ms: 150,
            clock_drift_percent: 10,
            max_batch_entries: 512,
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
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    /// The stored term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Creates the start of a new group of voters.
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
    pub answered_at_ms: u64,
    /// The leader's clock at the latest sending.
    pub sent_at_ms: u64,
}

/// Holds what the caller has to carry out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// The term and vote to store first, if changed.
    pub hard_state: Option<HardState>,
    /// The snapshot to store and to load into the embedding program, if one came.
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

/// Runs the algorithm for one replica.
#[derive(Debug, Clone)]
pub struct Replica {
    id: ReplicaId,
    settings: Settings,
    random: SmallRng,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    commit: LogIndex,
    handed_over: LogIndex,
    synced: LogIndex,
    now_ms: u64,
    heard_at_ms: u64,
    election_at_ms: u64,
    ready: Ready,
}

impl Replica {
    /// Creates a replica from what its storage holds; `seed` spreads its election timeouts.
    #[must_use]
    pub fn new(id: ReplicaId, settings: Settings, recovered: Recovered, seed: u64) -> Self {
        let start = recovered.snapshot.index;
        let log = Log::new(recovered.snapshot, recovered.entries);
        let synced = log.last_index();
        let mut replica = Self {
            id,
            settings,
            random: SmallRng::seed_from_u64(seed),
            hard_state: recovered.hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit: start,
            handed_over: start,
            synced,
            now_ms: 0,
            heard_at_ms: 0,
            election_at_ms: 0,
            ready: Ready::default(),
        };
        replica.reset_election_timer();
        replica
    }

    /// Returns the replica's own identifier.
    #[must_use]
    pub const fn id(&self) -> ReplicaId {
        self.id
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
        self.now_ms = self.now_ms.max(now_ms);
        if self.is_leader() {
            self.give_up_without_quorum();
            self.send_heartbeats();
        } else if self.now_ms >= self.election_at_ms {
            self.start_pre_vote();
        }
    }

    /// Takes a message from another replica.
    pub fn step(&mut self, now_ms: u64, message: Message) {
        self.now_ms = self.now_ms.max(now_ms);
        if self.ignores(&message) {
            return;
        }
        if message.term > self.hard_state.term && !message.body.is_pre_vote() {
            self.follow(message.term, None);
        }
        self.handle(message);
    }

    /// Proposes a payload and returns the index that it will have if it is committed.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] where this replica does not lead.
    pub fn propose(&mut self, now_ms: u64, payload: Payload) -> Result<LogIndex, NotLeader> {
        self.now_ms = self.now_ms.max(now_ms);
        if !self.is_leader() {
            return Err(NotLeader {
                leader: self.leader,
            });
        }
        let index = self.append_own(payload);
        self.replicate();
        Ok(index)
    }

    /// Takes the report that every entry up to `index`, whose term is `term`, is synced.
    pub fn synced(&mut self, index: LogIndex, term: Term) {
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
        self.log.install(snapshot.clone());
        Some(snapshot)
    }

    /// Hands over what has to be stored, sent and applied.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        ready.committed = self.log.between(self.handed_over, self.commit).to_vec();
        self.handed_over = self.commit;
        ready
    }

    fn handle(&mut self, message: Message) {
        let (from, term) = (message.from, message.term);
        match message.body {
            Body::VoteRequest {
                pre,
                last_index,
                last_term,
            } => {
                self.answer_vote_request(from, term, pre, (last_term, last_index));
            }
            Body::VoteReply { pre, granted } => self.count_vote(from, pre, granted),
            Body::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                sent_at_ms,
            } => {
                if term == self.hard_state.term {
                    self.follow_leader(from);
                    self.accept_entries(
                        (previous_index, previous_term),
                        entries,
                        commit,
                        sent_at_ms,
                    );
                }
            }
            Body::AppendReply {
                accepted,
                match_index,
                sent_at_ms,
            } => {
                if term == self.hard_state.term {
                    self.note_progress(from, accepted, match_index, sent_at_ms);
                }
            }
            Body::InstallSnapshot {
                snapshot,
                sent_at_ms,
            } => {
                if term == self.hard_state.term {
                    self.follow_leader(from);
                    self.accept_snapshot(snapshot, sent_at_ms);
                }
            }
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
