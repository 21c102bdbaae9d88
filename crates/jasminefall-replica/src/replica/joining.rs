//! Forming a group, asking for a place in it, and telling old files from current ones.
//!
//! A replica with empty files has no membership: it votes for nobody in the name of an earlier
//! incarnation, and asks for a place. Only when all first voters ask does the lowest of them form
//! the group, so a replica that lost its files can never form a second one beside the others.

use super::{Asking, HardState, Replica, Role, Witness};
use crate::entry::{Membership, Payload};
use crate::message::{Body, Message};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

impl Replica {
    /// Returns whether this replica has never taken part in a group.
    #[must_use]
    pub fn is_unformed(&self) -> bool {
        self.membership().voters.is_empty()
    }

    /// Asks for a place in the group, or, after a start, what the others have seen.
    pub(super) fn ask_to_join(&mut self) {
        let asks_what_was_seen = self.now_ms < self.check_until_ms;
        let seeks_place = self.leader.is_none() && !self.is_voter();
        if self.now_ms < self.join_at_ms || !(asks_what_was_seen || seeks_place) {
            return;
        }
        self.join_at_ms = self.now_ms + self.settings.heartbeat_ms;
        let mut receivers = self.first_voters.clone();
        receivers.extend(self.others.iter().copied());
        receivers.extend(self.membership().members_except(self.id));
        receivers.remove(&self.id);
        for to in receivers {
            let witness = self.witnessed.get(&to).copied().unwrap_or_default();
            let (unformed, heard) = (self.is_unformed(), witness.incarnation);
            let body = if seeks_place {
                Body::Join { unformed, heard }
            } else {
                Body::Hello
            };
            self.send(to, body);
        }
        if seeks_place {
            self.form_group();
        }
    }

    /// Lets the leader hear of a replica that stands for election though it has no place any more.
    ///
    /// It was away when it was removed, and asks those that it knows as voters; the leader may be none
    /// of them.
    pub(super) fn pass_on_to_leader(&mut self, message: &Message) {
        let is_asked = matches!(message.body, Body::VoteRequest { .. });
        let leader = self.leader.filter(|leader| *leader != self.id);
        let Some(to) = leader.filter(|_| is_asked) else {
            return;
        };
        if message.from != to
            && !self
                .membership()
                .contains(message.from, message.incarnation)
        {
            let passed_on = Message {
                to,
                ..message.clone()
            };
            self.ready.messages.push(passed_on);
        }
    }

    /// Notes that another replica has never taken part in a group.
    pub(super) fn note_unformed(&mut self, from: ReplicaId, incarnation: Incarnation) {
        if self.is_unformed() {
            self.unformed.insert(from, incarnation);
            self.form_group();
        }
    }

    /// Notes that another replica asks for a place.
    pub(super) fn note_asking(&mut self, id: ReplicaId, incarnation: Incarnation) {
        let is_old = |known: &Asking| known.incarnation > incarnation;
        if self.joins.get(&id).is_some_and(is_old) {
            return;
        }
        let heard_at_ms = self.now_ms;
        let asking = Asking {
            incarnation,
            heard_at_ms,
        };
        self.joins.insert(id, asking);
    }

    /// Returns under which incarnation a replica asks for a place, if it was heard lately.
    pub(super) fn asks_as(&self, id: ReplicaId) -> Option<Incarnation> {
        let asking = self.joins.get(&id)?;
        let silence_ms = self.now_ms.saturating_sub(asking.heard_at_ms);
        (silence_ms < self.settings.election_timeout_ms).then_some(asking.incarnation)
    }

    /// Forms the group once every first voter is here and none has ever taken part in one.
    fn form_group(&mut self) {
        let decides = self.first_voters.first() == Some(&self.id);
        let asking = |voter: &ReplicaId| *voter == self.id || self.unformed.contains_key(voter);
        let untouched = self.is_unformed() && self.log.last_index() == LogIndex(0);
        if !decides || !untouched || !self.first_voters.iter().all(asking) {
            return;
        }
        let mut membership = Membership::with_voters(self.first_voters.iter().copied());
        membership.incarnations = std::mem::take(&mut self.unformed);
        membership.incarnations.insert(self.id, self.incarnation);
        let voters = membership.voters.clone();
        membership.incarnations.retain(|id, _| voters.contains(id));
        // A decider that loses its files while it forms the group forms it again, and messages of the
        // first attempt may still arrive: its terms begin at its incarnation, so none is used twice.
        self.store_hard_state(HardState {
            term: self.hard_state.term.max(Term(self.incarnation.0)),
            voted_for: None,
        });
        self.append_own(Payload::Membership(membership));
        self.start_pre_vote();
    }

    /// Notes who speaks: what it has stored, or that it has no place in the group.
    pub(super) fn note_sender(&mut self, message: &Message) {
        let (from, incarnation) = (message.from, message.incarnation);
        if from == self.id {
            return;
        }
        if self.is_leader() && !self.membership().contains(from, incarnation) {
            self.note_asking(from, incarnation);
        }
        let witness = self.witnessed.entry(from).or_default();
        if witness.incarnation != incarnation {
            *witness = Witness {
                incarnation,
                ..Witness::default()
            };
        }
        let stored_term = match message.body {
            Body::VoteRequest { pre: true, .. } => message.term.previous(),
            Body::VoteReply { pre: true, .. } | Body::Join { .. } | Body::Hello => Term(0),
            Body::ObservedState { .. } => Term(0),
            _ => message.term,
        };
        witness.term = witness.term.max(stored_term);
        if let Body::AppendReply {
            accepted: true,
            match_index,
            ..
        } = message.body
        {
            witness.acknowledged = witness.acknowledged.max((message.term, match_index));
        }
    }

    /// Tells a replica that has started what it was seen to have stored.
    pub(super) fn answer_hello(&mut self, from: ReplicaId, incarnation: Incarnation) {
        let witness = self.witnessed.get(&from).copied().unwrap_or_default();
        if witness.incarnation == incarnation {
            let (term, acknowledged) = (witness.term, witness.acknowledged);
            let body = Body::ObservedState {
                incarnation,
                term,
                acknowledged,
            };
            self.send(from, body);
        }
    }

    /// Compares the own files with what another replica has seen of this incarnation.
    ///
    /// A log grows within a term; a later leader may replace what was acknowledged in an earlier one,
    /// so indexes are compared within the same term alone.
    pub(super) fn compare_with_witness(&mut self, term: Term, acknowledged: (Term, LogIndex)) {
        let own_term = self.hard_state.term;
        let lacks_entries = acknowledged.0 == own_term && self.log.last_index() < acknowledged.1;
        if own_term < term || lacks_entries {
            self.outdated = true;
            self.role = Role::Follower;
            self.leader = None;
        }
    }
}
