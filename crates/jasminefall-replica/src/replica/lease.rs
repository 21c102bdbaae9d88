//! Reads that are served as fresh under the leader's lease.

use super::{NotLeader, ReadError, Replica, Role};
use crate::types::LogIndex;

impl Replica {
    /// Returns the index that must be applied before a read is served as fresh.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] where this replica does not lead or cannot know that it still does.
    pub fn read_index(&self, now_ms: u64) -> Result<LogIndex, ReadError> {
        if !self.is_leader() {
            return Err(ReadError::NotLeader(NotLeader {
                leader: self.leader,
            }));
        }
        let own_term_committed = self.log.term_at(self.commit) == Some(self.hard_state.term);
        if own_term_committed && now_ms < self.lease_until_ms() {
            Ok(self.commit)
        } else {
            Err(ReadError::NoLease)
        }
    }

    /// Returns until when no other replica can have been elected.
    fn lease_until_ms(&self) -> u64 {
        let kept_percent = 100 - self.settings.clock_drift_percent;
        let lease_ms = self.settings.election_timeout_ms * kept_percent / 100;
        self.quorum_answered_at_ms() + lease_ms
    }

    /// Returns the latest sending time that a majority of voters has answered.
    pub(super) fn quorum_answered_at_ms(&self) -> u64 {
        let Role::Leader(progress) = &self.role else {
            return 0;
        };
        let membership = self.membership();
        let mut times: Vec<u64> = membership
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.id {
                    self.now_ms
                } else {
                    progress
                        .get(voter)
                        .map_or(0, |known| known.last_contact_at_ms)
                }
            })
            .collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times
            .get(membership.quorum() - 1)
            .copied()
            .unwrap_or_default()
    }
}
