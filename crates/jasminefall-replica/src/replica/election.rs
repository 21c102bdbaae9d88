//! Pre-votes, votes and the loss of leadership.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::{HardState, Progress, Replica, Role};
use crate::entry::Payload;
use crate::message::{Body, Message};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

impl Body {
    /// Returns whether the message raises the receiver's term to its own.
    ///
    /// A pre-vote does not, nor does the promise of a vote: their term is only asked for.
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
    /// Returns whether a message is from an older term, or would disturb a live leader.
    pub(super) fn ignores(&self, message: &Message) -> bool {
        let is_old = message.term < self.hard_state.term;
        match message.body {
            Body::VoteRequest { .. } => is_old || self.keeps_promise(),
            Body::VoteReply { pre: true, .. } | Body::Join { .. } | Body::Hello => false,
            Body::ObservedState { .. } => false,
            _ => is_old,
        }
    }

    /// Tells a candidate or leader of an older term, which would otherwise never end it, the term.
    pub(super) fn tell_later_term(&mut self, message: &Message) {
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

    /// Returns whether the lease of a leader that was heard, perhaps before a restart, may still run.
    fn keeps_promise(&self) -> bool {
        self.is_leader() || self.now_ms < self.promised_until_ms
    }

    /// Waits as if a leader had been heard at the start: the promise given to it was not stored.
    pub(super) fn wait_out_old_promise(&mut self) {
        self.reset_election_timer();
        let is_alone = self.membership().voters.len() == 1 && self.is_voter();
        if is_alone {
            self.election_at_ms = self.now_ms;
        } else if !self.is_unformed() {
            self.promised_until_ms = self.now_ms + self.settings.election_timeout_ms;
            self.check_until_ms = self.promised_until_ms;
        }
    }

    /// Returns whether this replica, in its incarnation, is a voter.
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
        // The own vote counts once it is stored, like any other.
        let own = self.message(
            self.id,
            Body::VoteReply {
                pre: false,
                granted: true,
            },
        );
        self.ready.messages_after_sync.push(own);
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

    pub(super) fn answer_vote_request(
        &mut self,
        from: ReplicaId,
        term: Term,
        pre: bool,
        last: (Term, LogIndex),
    ) {
        let as_new = last >= (self.log.last_term(), self.log.last_index());
        let free = pre || self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = as_new && free && (!pre || term > self.hard_state.term);
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
            self.lead();
        }
    }

    fn is_quorum(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        let membership = self.membership();
        votes.intersection(&membership.voters).count() >= membership.quorum()
    }

    fn lead(&mut self) {
        let progress = Progress {
            sent_index: self.log.last_index(),
            last_contact_at_ms: self.now_ms,
            ..Progress::default()
        };
        let others: BTreeMap<_, _> = self
            .membership()
            .members_except(self.id)
            .map(|other| (other, progress))
            .collect();
        self.role = Role::Leader(others);
        self.leader = Some(self.id);
        self.append_own(Payload::Noop);
    }

    /// Steps down where no majority has answered for a whole election timeout.
    pub(super) fn give_up_without_quorum(&mut self) {
        let silence_ms = self.now_ms.saturating_sub(self.quorum_answered_at_ms());
        if silence_ms > self.settings.election_timeout_ms {
            self.follow(self.hard_state.term, None);
        }
    }
}
