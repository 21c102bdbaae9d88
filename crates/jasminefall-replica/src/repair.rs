//! Which change of the membership a group needs next.
//!
//! The plan decides from what the leader knows; the leader then checks that the change is safe to
//! begin.

use std::collections::BTreeMap;

use crate::replica::{MemberStatus, MembershipChange, Replica};
use crate::types::{Incarnation, ReplicaId};

/// Names the data centre of a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct DataCentre(pub String);

/// Says what a group should look like.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairPolicy {
    /// How many voters there should be.
    pub target_voters: usize,
    /// The silence after which a voter is replaced, in milliseconds.
    pub replace_after_ms: u64,
    /// The most entries that a learner may lack when it becomes a voter.
    pub max_lag_entries: u64,
    /// Where the replicas are.
    pub data_centres: BTreeMap<ReplicaId, DataCentre>,
}

impl RepairPolicy {
    /// Creates the plan of a group of this many voters, all in one data centre.
    #[must_use]
    pub const fn new(target_voters: usize, replace_after_ms: u64) -> Self {
        Self {
            target_voters,
            replace_after_ms,
            max_lag_entries: 32,
            data_centres: BTreeMap::new(),
        }
    }

    /// Sets where the replicas are.
    #[must_use]
    pub fn with_data_centres(mut self, data_centres: BTreeMap<ReplicaId, DataCentre>) -> Self {
        self.data_centres = data_centres;
        self
    }

    /// Begins the change that the group needs next, where the replica leads; returns whether there
    /// was one, and the replica may have something to send.
    pub fn propose_next_change(&self, replica: &mut Replica, now_ms: u64) -> bool {
        if !replica.is_leader() {
            return false;
        }
        let members = replica.members();
        let asking: Vec<_> = replica.join_requests().collect();
        let Some(change) = self.next_change(replica.id(), &members, &asking) else {
            return false;
        };
        match replica.change_membership(now_ms, change) {
            Ok(index) => log::info!("event=membership_change change=\"{change:?}\" index={index}"),
            Err(error) => {
                log::debug!("event=membership_waits change=\"{change:?}\" cause=\"{error}\"");
            }
        }
        true
    }

    /// Returns the change that the group needs next, if any.
    ///
    /// A voter that lost its files is removed at once: it can never count again. One that is only
    /// silent may come back, so its replacement is promoted first, and without a replacement it
    /// stays: a group of fewer voters would be stopped for good by the next loss.
    #[must_use]
    pub fn next_change(
        &self,
        leader: ReplicaId,
        members: &[MemberStatus],
        asking: &[(ReplicaId, Incarnation)],
    ) -> Option<MembershipChange> {
        let voters: Vec<_> = members.iter().filter(|member| member.is_voter).collect();
        if voters.len() > self.target_voters {
            return self
                .superfluous(&voters, leader)
                .map(MembershipChange::Remove);
        }
        let replaced = members
            .iter()
            .find(|member| member.newer_incarnation.is_some());
        if let Some(replaced) = replaced.filter(|member| member.id != leader) {
            return Some(MembershipChange::Remove(replaced.id));
        }
        let learner = self.best_learner(members);
        let has_silent = voters.iter().any(|voter| self.is_lost(voter, leader));
        if let Some(learner) = learner
            && (voters.len() < self.target_voters || has_silent || self.relieves(learner, &voters))
        {
            return Some(MembershipChange::Promote(learner));
        }
        let is_member = |id: ReplicaId| members.iter().any(|member| member.id == id);
        let newcomer = asking.iter().find(|(id, _)| !is_member(*id));
        newcomer.map(|(id, incarnation)| MembershipChange::AddLearner(*id, *incarnation))
    }

    /// Returns whether a voter has lost its files or has been silent for too long.
    fn is_lost(&self, member: &MemberStatus, leader: ReplicaId) -> bool {
        let is_silent = member.silent_ms >= self.replace_after_ms;
        member.id != leader && (member.newer_incarnation.is_some() || is_silent)
    }

    fn place(&self, id: ReplicaId) -> DataCentre {
        self.data_centres.get(&id).cloned().unwrap_or_default()
    }

    /// Returns how many of the voters share a data centre with a replica.
    fn company(&self, id: ReplicaId, voters: &[&MemberStatus]) -> usize {
        let place = self.place(id);
        let shares = |voter: &&&MemberStatus| self.place(voter.id) == place;
        voters.iter().filter(shares).count()
    }

    /// Returns whether one data centre holds a majority that a learner elsewhere would end.
    fn relieves(&self, learner: ReplicaId, voters: &[&MemberStatus]) -> bool {
        let company = |voter: &&MemberStatus| self.company(voter.id, voters);
        let most = voters.iter().map(company).max().unwrap_or_default();
        most > voters.len() / 2 && self.company(learner, voters) + 1 < most
    }

    /// Returns the caught-up learner whose data centre has the fewest live voters.
    fn best_learner(&self, members: &[MemberStatus]) -> Option<ReplicaId> {
        let is_live = |member: &&MemberStatus| {
            member.newer_incarnation.is_none() && member.silent_ms < self.replace_after_ms
        };
        let (voters, learners): (Vec<&MemberStatus>, Vec<&MemberStatus>) = members
            .iter()
            .filter(is_live)
            .partition(|member| member.is_voter);
        let fits = learners
            .into_iter()
            .filter(|learner| learner.lag_entries <= self.max_lag_entries);
        fits.map(|learner| (self.company(learner.id, &voters), learner.id))
            .min()
            .map(|(_, id)| id)
    }

    /// Returns the voter to remove: a lost one first, then one of the most crowded data centre.
    fn superfluous(&self, voters: &[&MemberStatus], leader: ReplicaId) -> Option<ReplicaId> {
        let removable = voters.iter().filter(|voter| voter.id != leader);
        let rank = |voter: &&&MemberStatus| {
            let lost = self.is_lost(voter, leader);
            (
                lost,
                self.company(voter.id, voters),
                voter.silent_ms,
                voter.id,
            )
        };
        removable.max_by_key(rank).map(|voter| voter.id)
    }
}
