//! Linearizable reads under the leader's lease.

use super::{NotLeader, ReadError, Replica, Role};
use crate::types::LogIndex;

impl Replica {
    /// Returns the index that must be applied before a linearizable read is served.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if this replica is not the leader, if its lease has expired, or if it
    /// has not committed an entry of its own term yet.
    pub fn read_index(&self, now_ms: u64) -> Result<LogIndex, ReadError> {
        if !self.is_leader() {
            return Err(ReadError::NotLeader(NotLeader {
                leader: self.leader,
            }));
        }
        let has_committed_in_term =
            self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        if has_committed_in_term && now_ms < self.lease_until_ms() {
            Ok(self.commit_index)
        } else {
            Err(ReadError::NoLease)
        }
    }

    /// Returns the time until which no other replica can have been elected.
    ///
    /// The lease starts when the answered messages were sent, so that it ends before the voters
    /// that answered grant a vote again.
    fn lease_until_ms(&self) -> u64 {
        let kept_percent = 100 - self.settings.clock_drift_percent;
        let lease_ms = self.settings.election_timeout_ms * kept_percent / 100;
        self.quorum_contact_at_ms() + lease_ms
    }

    /// Returns the latest time for which a majority of the voters has answered a message that was
    /// sent at that time or later.
    pub(super) fn quorum_contact_at_ms(&self) -> u64 {
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
                        .map_or(0, |progress| progress.last_contact_at_ms)
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
