//! The policy that chooses the next membership change of a group.
//!
//! The policy decides from the member status on the leader; [`Replica::change_membership`] then checks
//! that the change is safe.

use std::collections::BTreeMap;

use crate::replica::{MemberStatus, MembershipChange, Replica};
use crate::types::{Incarnation, ReplicaId};

/// Names the data centre of a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct DataCentre(pub String);

/// Configures the desired membership of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairPolicy {
    /// The desired number of voters.
    pub target_voters: usize,
    /// The time without a response after which a voter is replaced, in milliseconds.
    pub replace_after_ms: u64,
    /// The maximum number of entries that a learner may lag behind when it is promoted.
    pub max_lag_entries: u64,
    /// The data centre of each replica; unlisted replicas share one unnamed data centre.
    pub data_centres: BTreeMap<ReplicaId, DataCentre>,
}

impl RepairPolicy {
    /// Creates a policy without data centres, with a maximum lag of 32 entries for promotion.
    #[must_use]
    pub const fn new(target_voters: usize, replace_after_ms: u64) -> Self {
        Self {
            target_voters,
            replace_after_ms,
            max_lag_entries: 32,
            data_centres: BTreeMap::new(),
        }
    }

    /// Sets the data centre of each replica.
    #[must_use]
    pub fn with_data_centres(mut self, data_centres: BTreeMap<ReplicaId, DataCentre>) -> Self {
        self.data_centres = data_centres;
        self
    }

    /// Proposes the next membership change if the replica is the leader and knows which voters answer it.
    ///
    /// Returns whether a change was due; the caller then calls [`Replica::take_ready`], because the
    /// replica may have messages to send.
    pub fn propose_next_change(&self, replica: &mut Replica, now_ms: u64) -> bool {
        if !replica.has_heard_voters() {
            return false;
        }
        let members = replica.members();
        let join_requests: Vec<_> = replica.join_requests().collect();
        let Some(change) = self.next_change(replica.id(), &members, &join_requests) else {
            return false;
        };
        match replica.change_membership(now_ms, change) {
            Ok(index) => log::info!("event=membership_change change=\"{change:?}\" index={index}"),
            Err(error) => {
                log::debug!(
                    "event=membership_change_deferred change=\"{change:?}\" cause=\"{error}\""
                );
            }
        }
        true
    }

    /// Returns the next membership change, if one is due.
    ///
    /// A voter that lost its files is removed immediately, because it never counts towards a quorum
    /// again. A voter that only stopped answering may return, so its replacement is promoted first.
    /// Without a replacement it stays, because the next loss would stop a smaller group permanently.
    #[must_use]
    pub fn next_change(
        &self,
        leader: ReplicaId,
        members: &[MemberStatus],
        join_requests: &[(ReplicaId, Incarnation)],
    ) -> Option<MembershipChange> {
        let voters: Vec<_> = members.iter().filter(|member| member.is_voter).collect();
        if voters.len() > self.target_voters {
            return self
                .surplus_voter(&voters, leader)
                .map(MembershipChange::Remove);
        }
        let lost = members
            .iter()
            .find(|member| member.newer_incarnation.is_some());
        if let Some(lost) = lost.filter(|member| member.id != leader) {
            return Some(MembershipChange::Remove(lost.id));
        }
        let learner = self.promotable_learner(members);
        let must_replace_voter = voters
            .iter()
            .any(|voter| self.needs_replacement(voter, leader));
        if let Some(learner) = learner
            && (voters.len() < self.target_voters
                || must_replace_voter
                || self.ends_data_centre_majority(learner, &voters))
        {
            return Some(MembershipChange::Promote(learner));
        }
        let is_member = |id: ReplicaId| members.iter().any(|member| member.id == id);
        let new_learner = join_requests.iter().find(|(id, _)| !is_member(*id));
        new_learner.map(|(id, incarnation)| MembershipChange::AddLearner(*id, *incarnation))
    }

    /// Returns whether a voter has lost its files or has not answered for `replace_after_ms`.
    fn needs_replacement(&self, member: &MemberStatus, leader: ReplicaId) -> bool {
        let is_unresponsive = member.silent_ms >= self.replace_after_ms;
        member.id != leader && (member.newer_incarnation.is_some() || is_unresponsive)
    }

    /// Returns whether a voter has been silent for some time, but not for long enough to be replaced.
    fn may_be_lost(&self, member: &MemberStatus, leader: ReplicaId) -> bool {
        let is_quiet = member.silent_ms >= self.replace_after_ms / 2;
        member.id != leader && is_quiet && !self.needs_replacement(member, leader)
    }

    fn data_centre(&self, id: ReplicaId) -> DataCentre {
        self.data_centres.get(&id).cloned().unwrap_or_default()
    }

    /// Returns the number of voters in the data centre of a replica.
    fn colocated_voters(&self, id: ReplicaId, voters: &[&MemberStatus]) -> usize {
        let data_centre = self.data_centre(id);
        let is_colocated = |voter: &&&MemberStatus| self.data_centre(voter.id) == data_centre;
        voters.iter().filter(is_colocated).count()
    }

    /// Returns whether one data centre holds a majority of the voters and the learner's data centre
    /// holds at least two voters fewer.
    ///
    /// The learner is then promoted, because the surplus voter is removed from the larger data
    /// centre and the majority becomes smaller.
    fn ends_data_centre_majority(&self, learner: ReplicaId, voters: &[&MemberStatus]) -> bool {
        let colocated = |voter: &&MemberStatus| self.colocated_voters(voter.id, voters);
        let largest_count = voters.iter().map(colocated).max().unwrap_or_default();
        largest_count > voters.len() / 2
            && self.colocated_voters(learner, voters) + 1 < largest_count
    }

    /// Returns the caught-up learner whose data centre has the fewest live voters.
    fn promotable_learner(&self, members: &[MemberStatus]) -> Option<ReplicaId> {
        let is_live = |member: &&MemberStatus| {
            member.newer_incarnation.is_none() && member.silent_ms < self.replace_after_ms
        };
        let (voters, learners): (Vec<&MemberStatus>, Vec<&MemberStatus>) = members
            .iter()
            .filter(is_live)
            .partition(|member| member.is_voter);
        let caught_up = learners
            .into_iter()
            .filter(|learner| learner.lag_entries <= self.max_lag_entries);
        caught_up
            .map(|learner| (self.colocated_voters(learner.id, &voters), learner.id))
            .min()
            .map(|(_, id)| id)
    }

    /// Returns the voter to remove: first one that needs replacement, then one in the data centre
    /// with the most voters.
    ///
    /// The leader is never chosen. No voter that answers is chosen while another one may be lost, because the
    /// lost one would stay.
    fn surplus_voter(&self, voters: &[&MemberStatus], leader: ReplicaId) -> Option<ReplicaId> {
        let mut others = voters.iter();
        if others.clone().any(|voter| self.may_be_lost(voter, leader))
            && !others.any(|voter| self.needs_replacement(voter, leader))
        {
            return None;
        }
        let removable = voters.iter().filter(|voter| voter.id != leader);
        let rank = |voter: &&&MemberStatus| {
            let needs_replacement = self.needs_replacement(voter, leader);
            (
                needs_replacement,
                self.colocated_voters(voter.id, voters),
                voter.silent_ms,
                voter.id,
            )
        };
        removable.max_by_key(rank).map(|voter| voter.id)
    }
}
