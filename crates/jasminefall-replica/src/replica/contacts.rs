//! When each member was last heard, which every replica observes for itself.
//!
//! Followers exchange no messages in normal operation, so they greet voters that they have not heard
//! lately. A new leader therefore knows since when a voter has been silent, also if that voter was lost
//! under an earlier leader.

use super::{Replica, Role};
use crate::message::Body;
use crate::types::ReplicaId;

/// The number of heartbeat intervals in which the members can answer a new leader.
const ANSWER_HEARTBEATS: u64 = 2;

impl Replica {
    /// Returns when the latest message of a member arrived, in its current incarnation; the start of
    /// this replica if it has not heard the member.
    pub(super) fn heard_at_ms(&self, id: ReplicaId) -> u64 {
        let incarnation = self.membership().incarnation(id);
        let observed = self.observed.get(&id);
        let heard = observed.filter(|observed| observed.incarnation == incarnation);
        heard
            .map_or(0, |observed| observed.heard_at_ms)
            .max(self.started_at_ms.unwrap_or(0))
    }

    /// Sends [`Body::Hello`], which is answered at once, to the voters that this voter has not heard for
    /// half an election timeout.
    ///
    /// A voter that hears a greeting does not send one itself, so that each pair exchanges two messages.
    pub(super) fn greet_quiet_voters(&mut self) {
        if self.now_ms < self.next_greeting_at_ms || !self.is_voter() {
            return;
        }
        self.next_greeting_at_ms = self.now_ms + self.settings.heartbeat_ms;
        let quiet_ms = self.settings.election_timeout_ms / 2;
        let is_quiet = |id: &ReplicaId| self.now_ms >= self.heard_at_ms(*id) + quiet_ms;
        let voters = self.membership().voters.iter().copied();
        let quiet: Vec<_> = voters.filter(|id| *id != self.id && is_quiet(id)).collect();
        for to in quiet {
            self.send(to, Body::Hello);
        }
    }

    /// Returns whether this replica leads and every voter has answered it, or has had the time to.
    ///
    /// Until then the silence of a voter may only be that of a link that has just been restored.
    #[must_use]
    pub fn has_heard_voters(&self) -> bool {
        let Role::Leader(progress) = &self.role else {
            return false;
        };
        let answer_ms = self.settings.heartbeat_ms * ANSWER_HEARTBEATS;
        let has_answered = |id: &ReplicaId| {
            *id == self.id
                || progress
                    .get(id)
                    .is_some_and(|progress| progress.has_answered)
        };
        self.now_ms >= self.elected_at_ms + answer_ms
            || self.membership().voters.iter().all(has_answered)
    }
}
