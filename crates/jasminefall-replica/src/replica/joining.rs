//! Forming a group, joining a group, and detecting outdated files.
//!
//! A replica with empty files has no membership, so it cannot vote as its earlier incarnation; it
//! requests to join the group. Of the replicas given to [`Replica::with_first_voters`], the one
//! with the lowest identifier is the founder. It forms the group only after all of them have sent
//! such a request, which prevents a replica that lost its files from forming a second group.

use super::{HardState, JoinRequest, ObservedState, Replica, Role};
use crate::entry::{Membership, Payload};
use crate::message::{Body, Message};
use crate::types::{Incarnation, LogIndex, ReplicaId, Term};

impl Replica {
    /// Returns whether this replica has never been a member of a group.
    #[must_use]
    pub fn is_unformed(&self) -> bool {
        self.membership().voters.is_empty()
    }

    /// Sends requests to join the group, or, for a time after the start, requests for the state
    /// that others have observed of this replica.
    ///
    /// At most one round is sent per heartbeat interval.
    pub(super) fn send_join_or_hello(&mut self) {
        let is_checking_state = self.now_ms < self.state_check_until_ms;
        let wants_to_join = self.leader.is_none() && !self.is_voter();
        if self.now_ms < self.next_join_at_ms || !(is_checking_state || wants_to_join) {
            return;
        }
        self.next_join_at_ms = self.now_ms + self.settings.heartbeat_ms;
        let mut receivers = self.first_voters.clone();
        receivers.extend(self.known_peers.iter().copied());
        receivers.extend(self.membership().members_except(self.id));
        receivers.remove(&self.id);
        for to in receivers {
            let observed = self.observed.get(&to).copied().unwrap_or_default();
            let (unformed, heard) = (self.is_unformed(), observed.incarnation);
            let body = if wants_to_join {
                Body::Join { unformed, heard }
            } else {
                Body::Hello
            };
            self.send(to, body);
        }
        if wants_to_join {
            self.form_group();
        }
    }

    /// Forwards the vote request of a non-member to the leader, so that the leader can add it again.
    ///
    /// A replica that was down during its removal requests votes from the voters of its stale
    /// membership, which may not include the current leader.
    pub(super) fn forward_to_leader(&mut self, message: &Message) {
        let is_vote_request = matches!(message.body, Body::VoteRequest { .. });
        let leader = self.leader.filter(|leader| *leader != self.id);
        let Some(to) = leader.filter(|_| is_vote_request) else {
            return;
        };
        if message.from != to
            && !self
                .membership()
                .contains(message.from, message.incarnation)
        {
            let forwarded = Message {
                to,
                ..message.clone()
            };
            self.ready.messages.push(forwarded);
        }
    }

    /// Records that another replica has never been a member of a group.
    pub(super) fn record_unformed(&mut self, from: ReplicaId, incarnation: Incarnation) {
        if self.is_unformed() {
            self.unformed_replicas.insert(from, incarnation);
            self.form_group();
        }
    }

    /// Records that another replica requests to join, unless a later incarnation already did.
    pub(super) fn record_join_request(&mut self, id: ReplicaId, incarnation: Incarnation) {
        let is_newer = |known: &JoinRequest| known.incarnation > incarnation;
        if self.join_requests.get(&id).is_some_and(is_newer) {
            return;
        }
        let received_at_ms = self.now_ms;
        let request = JoinRequest {
            incarnation,
            received_at_ms,
        };
        self.join_requests.insert(id, request);
    }

    /// Returns the incarnation in which a replica requested to join within the last election
    /// timeout.
    pub(super) fn requested_incarnation(&self, id: ReplicaId) -> Option<Incarnation> {
        let request = self.join_requests.get(&id)?;
        let age_ms = self.now_ms.saturating_sub(request.received_at_ms);
        (age_ms < self.settings.election_timeout_ms).then_some(request.incarnation)
    }

    /// Forms the group once all first voters have reported that they were never members of one.
    ///
    /// Only the founder, the first voter with the lowest identifier, does so.
    fn form_group(&mut self) {
        let is_founder = self.first_voters.first() == Some(&self.id);
        let is_ready =
            |voter: &ReplicaId| *voter == self.id || self.unformed_replicas.contains_key(voter);
        let has_empty_log = self.is_unformed() && self.log.last_index() == LogIndex(0);
        if !is_founder || !has_empty_log || !self.first_voters.iter().all(is_ready) {
            return;
        }
        let mut membership = Membership::with_voters(self.first_voters.iter().copied());
        membership.incarnations = std::mem::take(&mut self.unformed_replicas);
        membership.incarnations.insert(self.id, self.incarnation);
        let voters = membership.voters.clone();
        membership.incarnations.retain(|id, _| voters.contains(id));
        // If this replica loses its files while forming the group, it forms the group again while
        // messages of the first attempt may still arrive. Terms start at the incarnation, to avoid
        // reusing a term of that attempt.
        self.store_hard_state(HardState {
            term: self.hard_state.term.max(Term(self.incarnation.0)),
            voted_for: None,
        });
        self.append_new_entry(Payload::Membership(membership));
        self.start_pre_vote();
    }

    /// Records the state that the sender of a message must have stored, and that it was heard.
    ///
    /// The leader treats any message of a non-member as a request to join.
    pub(super) fn observe_sender(&mut self, message: &Message) {
        let (from, incarnation) = (message.from, message.incarnation);
        if from == self.id {
            return;
        }
        if self.is_leader() && !self.membership().contains(from, incarnation) {
            self.record_join_request(from, incarnation);
        }
        let observed = self.observed.entry(from).or_default();
        if observed.incarnation != incarnation {
            *observed = ObservedState {
                incarnation,
                ..ObservedState::default()
            };
        }
        observed.heard_at_ms = self.now_ms;
        let stored_term = match message.body {
            // A pre-vote request carries the next term, which its sender has not stored yet.
            Body::VoteRequest { pre: true, .. } => message.term.previous(),
            Body::VoteReply { pre: true, .. } | Body::Join { .. } | Body::Hello => Term(0),
            Body::ObservedState { .. } => Term(0),
            _ => message.term,
        };
        observed.term = observed.term.max(stored_term);
        if let Body::AppendReply {
            accepted: true,
            match_index,
            ..
        } = message.body
        {
            observed.acknowledged = observed.acknowledged.max((message.term, match_index));
        }
    }

    /// Sends a restarted replica its observed state, if its latest message had this incarnation.
    pub(super) fn reply_to_hello(&mut self, from: ReplicaId, incarnation: Incarnation) {
        let observed = self.observed.get(&from).copied().unwrap_or_default();
        if observed.incarnation == incarnation {
            let (term, acknowledged) = (observed.term, observed.acknowledged);
            let body = Body::ObservedState {
                incarnation,
                term,
                acknowledged,
            };
            self.send(from, body);
        }
    }

    /// Marks the files as outdated if they hold less than another replica has observed.
    ///
    /// The acknowledged index is compared only within the current term, because a leader of a later
    /// term may have replaced entries that were acknowledged in an earlier one.
    pub(super) fn compare_with_observed_state(
        &mut self,
        term: Term,
        acknowledged: (Term, LogIndex),
    ) {
        let own_term = self.hard_state.term;
        let lacks_entries = acknowledged.0 == own_term && self.log.last_index() < acknowledged.1;
        if own_term < term || lacks_entries {
            self.outdated = true;
            self.role = Role::Follower;
            self.leader = None;
        }
    }
}
