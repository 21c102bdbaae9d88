//! Changes of the membership, one voter at a time.

use std::fmt;

use super::{NotLeader, Progress, Replica, Role};
use crate::entry::{Membership, Payload};
use crate::types::{Incarnation, LogIndex, ReplicaId};

/// The most entries that a learner may lack when it becomes a voter.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 64;

/// Asks for one change of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Sends the log to a replica without counting it.
    AddLearner(ReplicaId, Incarnation),
    /// Lets a learner that has caught up vote.
    Promote(ReplicaId),
    /// Takes a replica out.
    Remove(ReplicaId),
}

/// Says why a change of the membership was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChangeError {
    /// This replica does not lead.
    NotLeader(NotLeader),
    /// The leader has committed nothing in its term yet.
    NoCommitInTerm,
    /// Another change is under way.
    ChangeInProgress,
    /// The replica is not where the change would take it from.
    UnexpectedMemberState,
    /// The learner has not caught up.
    LearnerBehind,
    /// The leader does not remove itself.
    RemovesLeader,
    /// Too few of the remaining voters answer to go on without this one.
    WouldLoseQuorum,
}

impl fmt::Display for MembershipChangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotLeader(known) => return known.fmt(formatter),
            Self::NoCommitInTerm => "the leader is new; try again shortly",
            Self::ChangeInProgress => "another change is under way; try again when it is committed",
            Self::UnexpectedMemberState => {
                "the replica is not where the change expects it; look at the members"
            }
            Self::LearnerBehind => "the learner has not caught up; try again when it has",
            Self::RemovesLeader => "the leader cannot be removed; stop it and ask the next one",
            Self::WouldLoseQuorum => "too few other voters answer; bring them back first",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for MembershipChangeError {}

/// Describes a member as its leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// The replica.
    pub id: ReplicaId,
    /// The incarnation in which it takes part.
    pub incarnation: Incarnation,
    /// Whether it votes.
    pub is_voter: bool,
    /// How long ago a message was sent that it has answered, in milliseconds.
    pub silent_ms: u64,
    /// How many entries it is known to lack.
    pub lag_entries: u64,
    /// Another incarnation under which it asks for a place, if it does.
    pub newer_incarnation: Option<Incarnation>,
}

impl Replica {
    /// Begins one change of the membership and returns the index at which it is committed.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipChangeError`] where the change would be unsafe or useless now.
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
        if self.log.term_at(self.commit) != Some(self.hard_state.term) {
            return Err(MembershipChangeError::NoCommitInTerm);
        }
        if self.log.membership_index() > self.commit {
            return Err(MembershipChangeError::ChangeInProgress);
        }
        let membership = self.changed(change)?;
        if let MembershipChange::AddLearner(id, _) | MembershipChange::Remove(id) = change {
            self.forget_progress(id);
        }
        Ok(self.append_own(Payload::Membership(membership)))
    }

    /// Returns the members as this leader knows them; none where it does not lead.
    #[must_use]
    pub fn members(&self) -> Vec<MemberStatus> {
        let Role::Leader(progress) = &self.role else {
            return Vec::new();
        };
        let membership = self.membership();
        let ids = membership.voters.union(&membership.learners);
        ids.map(|id| self.member(*id, progress.get(id).copied()))
            .collect()
    }

    /// Returns the replicas that ask this leader for a place, with their incarnations.
    pub fn join_requests(&self) -> impl Iterator<Item = (ReplicaId, Incarnation)> + '_ {
        let membership = self.membership();
        let joins = self.joins.keys();
        let asking = joins.filter_map(|id| Some((*id, self.asks_as(*id)?)));
        asking.filter(|(id, newer_incarnation)| {
            self.is_leader() && !membership.contains(*id, *newer_incarnation)
        })
    }

    fn member(&self, id: ReplicaId, known: Option<Progress>) -> MemberStatus {
        let known = known.unwrap_or_default();
        let (last_contact_at_ms, match_index) = if id == self.id {
            (self.now_ms, self.log.last_index())
        } else {
            (known.last_contact_at_ms, known.match_index)
        };
        let incarnation = self.membership().incarnation(id);
        MemberStatus {
            id,
            incarnation,
            is_voter: self.membership().voters.contains(&id),
            silent_ms: self.now_ms.saturating_sub(last_contact_at_ms),
            lag_entries: self.log.last_index().0.saturating_sub(match_index.0),
            newer_incarnation: self.replaced_by(id),
        }
    }

    /// Returns the later incarnation of a member that has lost its files.
    fn replaced_by(&self, id: ReplicaId) -> Option<Incarnation> {
        let known = self.membership().incarnation(id);
        self.asks_as(id)
            .filter(|newer_incarnation| *newer_incarnation > known)
    }

    /// Returns the membership after a change, if the change may be made now.
    fn changed(&self, change: MembershipChange) -> Result<Membership, MembershipChangeError> {
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
                if !self.is_answered_by_quorum_of(&membership) {
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
                // A voter that still has its files counts, or will when it is back: the rest must be
                // able to lose one more without it. One that lost them never counts again.
                let spare = usize::from(self.replaced_by(id).is_none());
                let needed = membership.quorum() + spare;
                if removed_voter && self.answering(&membership) < needed {
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
        learner.is_some_and(is_near) && self.answers(id)
    }

    fn is_answered_by_quorum_of(&self, membership: &Membership) -> bool {
        self.answering(membership) >= membership.quorum()
    }

    /// Returns how many voters of a membership answer this leader.
    fn answering(&self, membership: &Membership) -> usize {
        let voters = membership.voters.iter();
        voters.filter(|voter| self.answers(**voter)).count()
    }

    /// Returns whether a member answers this leader under the incarnation in which it takes part.
    fn answers(&self, id: ReplicaId) -> bool {
        let members = self.members();
        let member = members.iter().find(|member| member.id == id);
        member.is_some_and(|member| {
            member.newer_incarnation.is_none()
                && member.silent_ms < self.settings.election_timeout_ms
        })
    }

    fn forget_progress(&mut self, of: ReplicaId) {
        if let Role::Leader(progress) = &mut self.role {
            progress.remove(&of);
        }
    }
}
