//! Pre-votes, votes and stepping down.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::{HardState, Progress, Replica, Role};
use crate::entry::Payload;
use crate::message::{Body, Message};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

impl Body {
    /// Returns whether a higher term in the message raises the receiver's term.
    ///
    /// Pre-vote requests and granted pre-votes do not, because they carry the term of an election that
    /// has not started.
    pub(super) const fn raises_term(&self) -> bool {
        match self {
            Self::VoteRequest { pre, .. } => !*pre,
            Self::VoteReply { pre, granted } => !(*pre && *granted),
            Self::Join { .. } | Self::Hello | Self::ObservedState { .. } => false,
            Self::Append { .. }
            | Self::AppendReply { .. }
            | Self::SnapshotChunk { .. }
            | Self::SnapshotReply { .. } => true,
        }
    }
}

impl Replica {
    /// Returns whether a message is from an older term, or is a vote request while votes are withheld.
    ///
    /// Pre-vote replies, `Join`, `Hello` and `ObservedState` are never ignored because of their
    /// term.
    pub(super) fn should_ignore(&self, message: &Message) -> bool {
        let is_stale = message.term < self.hard_state.term;
        match message.body {
            Body::VoteRequest { .. } => is_stale || self.withholds_votes(),
            Body::VoteReply { pre: true, .. } | Body::Join { .. } | Body::Hello => false,
            Body::ObservedState { .. } => false,
            _ => is_stale,
        }
    }

    /// Rejects a request of an older term with the current term.
    ///
    /// A candidate or leader that is behind would otherwise never leave its term.
    pub(super) fn reply_with_current_term(&mut self, message: &Message) {
        if message.term >= self.hard_state.term {
            return;
        }
        let body = match message.body {
            Body::VoteRequest { pre, .. } => Body::VoteReply {
                pre,
                granted: false,
            },
            Body::Append { sent_at_ms, .. } | Body::SnapshotChunk { sent_at_ms, .. } => {
                Body::AppendReply {
                    accepted: false,
                    match_index: LogIndex(0),
                    sent_at_ms,
                }
            }
            _ => return,
        };
        self.send_after_sync(message.from, body);
    }

    /// Returns whether a leader's lease may still run, including one granted before a restart.
    fn withholds_votes(&self) -> bool {
        self.is_leader() || self.now_ms < self.withhold_votes_until_ms
    }

    /// Withholds votes for one election timeout after the start.
    ///
    /// This replica may have acknowledged a leader's lease before a restart, and leases are not stored.
    /// A single voter does not wait, because no other leader can exist.
    pub(super) fn withhold_votes_after_start(&mut self) {
        self.reset_election_timer();
        let is_single_voter = self.membership().voters.len() == 1 && self.is_voter();
        if is_single_voter {
            self.election_at_ms = self.now_ms;
        } else if !self.is_unformed() {
            self.withhold_votes_until_ms = self.now_ms + self.settings.election_timeout_ms;
            self.state_check_until_ms = self.withhold_votes_until_ms;
        }
    }

    /// Returns whether this replica is a voter in its current incarnation.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        self.membership().has_voter(self.id, self.incarnation)
    }

    pub(super) fn reset_election_timer(&mut self) {
        let timeout_ms = self.settings.election_timeout_ms;
        let wait_ms = self.random.random_range(timeout_ms..timeout_ms * 2);
        self.election_at_ms = self.now_ms + wait_ms;
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        self.role = Role::Follower;
        if !self.is_voter() {
            return;
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        self.ask_for_votes(true);
        self.finish_pre_vote();
    }

    fn start_election(&mut self) {
        let term = self.hard_state.term.next();
        self.store_hard_state(HardState {
            term,
            voted_for: Some(self.id),
        });
        self.role = Role::Candidate(BTreeSet::new());
        self.ask_for_votes(false);
        // The vote for itself counts only once it is stored, like any other vote.
        let own_vote = self.message(
            self.id,
            Body::VoteReply {
                pre: false,
                granted: true,
            },
        );
        self.ready.messages_after_sync.push(own_vote);
    }

    fn ask_for_votes(&mut self, pre: bool) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let term = if pre {
            self.hard_state.term.next()
        } else {
            self.hard_state.term
        };
        let voters: Vec<_> = self.membership().voters.iter().copied().collect();
        for to in voters.into_iter().filter(|voter| *voter != self.id) {
            let body = Body::VoteRequest {
                pre,
                last_index,
                last_term,
            };
            self.ready.messages_after_sync.push(Message {
                from: self.id,
                incarnation: self.incarnation,
                to,
                term,
                body,
            });
        }
    }

    pub(super) fn reply_to_vote_request(
        &mut self,
        from: ReplicaId,
        term: Term,
        pre: bool,
        last: (Term, LogIndex),
    ) {
        let is_up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let can_vote = pre || self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = is_up_to_date && can_vote && (!pre || term > self.hard_state.term);
        if granted && !pre {
            self.store_hard_state(HardState {
                term,
                voted_for: Some(from),
            });
            self.reset_election_timer();
        }
        let reply_term = if granted { term } else { self.hard_state.term };
        let body = Body::VoteReply { pre, granted };
        let reply = Message {
            from: self.id,
            incarnation: self.incarnation,
            to: from,
            term: reply_term,
            body,
        };
        self.ready.messages_after_sync.push(reply);
    }

    pub(super) fn count_vote(
        &mut self,
        voter: (ReplicaId, Incarnation),
        term: Term,
        pre: bool,
        granted: bool,
    ) {
        let (from, incarnation) = voter;
        let asked_term = if pre {
            self.hard_state.term.next()
        } else {
            self.hard_state.term
        };
        if term != asked_term || !self.membership().has_voter(from, incarnation) {
            return;
        }
        let votes = match (&mut self.role, pre) {
            (Role::PreCandidate(votes), true) | (Role::Candidate(votes), false) => votes,
            _ => return,
        };
        if granted {
            votes.insert(from);
        }
        if pre {
            self.finish_pre_vote();
        } else {
            self.finish_election();
        }
    }

    fn finish_pre_vote(&mut self) {
        if let Role::PreCandidate(votes) = &self.role
            && self.is_quorum(votes)
        {
            self.start_election();
        }
    }

    fn finish_election(&mut self) {
        if let Role::Candidate(votes) = &self.role
            && self.is_quorum(votes)
        {
            self.become_leader();
        }
    }

    fn is_quorum(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        let membership = self.membership();
        votes.intersection(&membership.voters).count() >= membership.quorum()
    }

    fn become_leader(&mut self) {
        let progress = |other| Progress {
            sent_index: self.log.last_index(),
            last_contact_at_ms: self.now_ms,
            responded_at_ms: self.heard_at_ms(other),
            ..Progress::default()
        };
        let others: BTreeMap<_, _> = self
            .membership()
            .members_except(self.id)
            .map(|other| (other, progress(other)))
            .collect();
        self.role = Role::Leader(others);
        self.leader = Some(self.id);
        self.elected_at_ms = self.now_ms;
        self.append_new_entry(Payload::Noop);
    }

    /// Steps down if no majority has answered within an election timeout.
    pub(super) fn step_down_without_quorum(&mut self) {
        let elapsed_ms = self.now_ms.saturating_sub(self.quorum_contact_at_ms());
        if elapsed_ms > self.settings.election_timeout_ms {
            self.become_follower(self.hard_state.term, None);
        }
    }
}
