//! Membership changes, one voter at a time.

use std::fmt;

use super::{NotLeader, Progress, Replica, Role};
use crate::entry::{Membership, Payload};
use crate::types::{Incarnation, LogIndex, ReplicaId};

/// Maximum entries that a learner may lag behind the leader when it is promoted to voter.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 64;

/// Requests one change of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica in this incarnation as a learner.
    AddLearner(ReplicaId, Incarnation),
    /// Promotes a learner that has caught up to voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

/// Explains why a membership change was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChangeError {
    /// This replica is not the leader.
    NotLeader(NotLeader),
    /// The leader has not committed an entry of its own term yet.
    NoCommitInTerm,
    /// An earlier membership change is not committed yet.
    ChangeInProgress,
    /// The replica's current role does not fit the change: for example, it is already a member.
    UnexpectedMemberState,
    /// The learner lags too far behind, or does not respond.
    LearnerBehind,
    /// The change would remove the leader itself.
    RemovesLeader,
    /// Too few of the other voters respond for the group to keep a quorum after the change.
    WouldLoseQuorum,
}

impl fmt::Display for MembershipChangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotLeader(not_leader) => return not_leader.fmt(formatter),
            Self::NoCommitInTerm => {
                "the leader has not committed an entry in its term yet; try again shortly"
            }
            Self::ChangeInProgress => {
                "another membership change is in progress; try again when it is committed"
            }
            Self::UnexpectedMemberState => {
                "the replica's current role in the group does not fit the change; check the list of members"
            }
            Self::LearnerBehind => {
                "the learner has not caught up with the log; try again when it has"
            }
            Self::RemovesLeader => {
                "the leader cannot be removed; stop it and send the request to the next leader"
            }
            Self::WouldLoseQuorum => {
                "too few other voters answer to keep a quorum; restore them first"
            }
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for MembershipChangeError {}

/// Describes a member from the leader's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// The identifier of the member.
    pub id: ReplicaId,
    /// The incarnation that is a member.
    pub incarnation: Incarnation,
    /// Whether it is a voter rather than a learner.
    pub is_voter: bool,
    /// The time since the leader sent the latest message that it has answered, in milliseconds. If it has
    /// not answered this leader, the time since this replica last heard it, under any leader.
    pub silent_ms: u64,
    /// The number of the leader's entries that it has not acknowledged.
    pub lag_entries: u64,
    /// A later incarnation that requests to join; it shows that the member has lost its files.
    pub newer_incarnation: Option<Incarnation>,
}

impl Replica {
    /// Appends a membership change to the log and returns its index.
    ///
    /// The change takes effect at once, and is complete when the index is committed.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipChangeError`] if the change is currently unsafe or does not apply.
    pub fn change_membership(
        &mut self,
        now_ms: u64,
        change: MembershipChange,
    ) -> Result<LogIndex, MembershipChangeError> {
        self.advance_clock(now_ms);
        if !self.is_leader() {
            let leader = self.leader;
            return Err(MembershipChangeError::NotLeader(NotLeader { leader }));
        }
        if self.log.term_at(self.commit_index) != Some(self.hard_state.term) {
            return Err(MembershipChangeError::NoCommitInTerm);
        }
        if self.log.membership_index() > self.commit_index {
            return Err(MembershipChangeError::ChangeInProgress);
        }
        let membership = self.membership_after(change)?;
        if let MembershipChange::AddLearner(id, _) | MembershipChange::Remove(id) = change {
            self.remove_progress(id);
        }
        Ok(self.append_new_entry(Payload::Membership(membership)))
    }

    /// Returns the status of all members, or nothing if this replica is not the leader.
    #[must_use]
    pub fn members(&self) -> Vec<MemberStatus> {
        let Role::Leader(progress) = &self.role else {
            return Vec::new();
        };
        let membership = self.membership();
        let ids = membership.voters.union(&membership.learners);
        ids.map(|id| self.member_status(*id, progress.get(id).copied()))
            .collect()
    }

    /// Returns the replicas that requested to join, with their incarnations.
    ///
    /// Returns nothing if this replica is not the leader.
    pub fn join_requests(&self) -> impl Iterator<Item = (ReplicaId, Incarnation)> + '_ {
        let membership = self.membership();
        let requests = self.join_requests.keys();
        let recent = requests.filter_map(|id| Some((*id, self.requested_incarnation(*id)?)));
        recent
            .filter(|(id, incarnation)| self.is_leader() && !membership.contains(*id, *incarnation))
    }

    fn member_status(&self, id: ReplicaId, progress: Option<Progress>) -> MemberStatus {
        let progress = progress.unwrap_or_default();
        let (responded_at_ms, match_index) = if id == self.id {
            (self.now_ms, self.log.last_index())
        } else {
            (progress.responded_at_ms, progress.match_index)
        };
        let incarnation = self.membership().incarnation(id);
        MemberStatus {
            id,
            incarnation,
            is_voter: self.membership().voters.contains(&id),
            silent_ms: self.now_ms.saturating_sub(responded_at_ms),
            lag_entries: self.log.last_index().0.saturating_sub(match_index.0),
            newer_incarnation: self.newer_incarnation_of(id),
        }
    }

    /// Returns the later incarnation of a member that requests to join after losing its files.
    fn newer_incarnation_of(&self, id: ReplicaId) -> Option<Incarnation> {
        let current = self.membership().incarnation(id);
        self.requested_incarnation(id)
            .filter(|requested| *requested > current)
    }

    /// Returns the membership after a change, or the reason why the change must not be made now.
    fn membership_after(
        &self,
        change: MembershipChange,
    ) -> Result<Membership, MembershipChangeError> {
        let mut membership = self.membership().clone();
        match change {
            MembershipChange::AddLearner(id, incarnation) => {
                if membership.voters.contains(&id) || membership.learners.contains(&id) {
                    return Err(MembershipChangeError::UnexpectedMemberState);
                }
                membership.learners.insert(id);
                membership.incarnations.insert(id, incarnation);
            }
            MembershipChange::Promote(id) => {
                if !membership.learners.remove(&id) {
                    return Err(MembershipChangeError::UnexpectedMemberState);
                }
                if !self.has_caught_up(id) {
                    return Err(MembershipChangeError::LearnerBehind);
                }
                membership.voters.insert(id);
                if !self.has_reachable_quorum(&membership) {
                    return Err(MembershipChangeError::WouldLoseQuorum);
                }
            }
            MembershipChange::Remove(id) if id == self.id => {
                return Err(MembershipChangeError::RemovesLeader);
            }
            MembershipChange::Remove(id) => {
                let removed_voter = membership.voters.remove(&id);
                if !removed_voter && !membership.learners.remove(&id) {
                    return Err(MembershipChangeError::UnexpectedMemberState);
                }
                membership.incarnations.remove(&id);
                // Removing a voter that still has its files, even if it is down, reduces the number of
                // failures that the group tolerates, so the remaining voters must be able to lose one
                // more. A voter that lost its files no longer counts anyway.
                let spare_voters = usize::from(self.newer_incarnation_of(id).is_none());
                let needed_voters = membership.quorum() + spare_voters;
                if removed_voter && self.reachable_voters(&membership) < needed_voters {
                    return Err(MembershipChangeError::WouldLoseQuorum);
                }
            }
        }
        Ok(membership)
    }

    fn has_caught_up(&self, id: ReplicaId) -> bool {
        let members = self.members();
        let is_near = |member: &MemberStatus| member.lag_entries <= MAX_PROMOTION_LAG_ENTRIES;
        let learner = members.iter().find(|member| member.id == id);
        learner.is_some_and(is_near) && self.is_reachable(id)
    }

    fn has_reachable_quorum(&self, membership: &Membership) -> bool {
        self.reachable_voters(membership) >= membership.quorum()
    }

    /// Returns the number of voters of a membership that respond to this leader.
    fn reachable_voters(&self, membership: &Membership) -> usize {
        let voters = membership.voters.iter();
        voters.filter(|voter| self.is_reachable(**voter)).count()
    }

    /// Returns whether a member has answered this leader within an election timeout, and has not lost
    /// its files.
    fn is_reachable(&self, id: ReplicaId) -> bool {
        let members = self.members();
        let member = members.iter().find(|member| member.id == id);
        member.is_some_and(|member| {
            member.newer_incarnation.is_none()
                && member.silent_ms < self.settings.election_timeout_ms
        })
    }

    fn remove_progress(&mut self, of: ReplicaId) {
        if let Role::Leader(progress) = &mut self.role {
            progress.remove(&of);
        }
    }
}
