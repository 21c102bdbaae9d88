//! The membership of the control group and its repair.

use jasminefall_replica::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;

use super::Node;

/// Describes the members as seen by the leader.
#[derive(Debug, Clone, serde::Serialize)]
pub(crate) struct MembersBody {
    leader: ReplicaId,
    members: Vec<MemberBody>,
    /// The replicas that request to join.
    asking: Vec<ReplicaId>,
}

#[derive(Debug, Clone, serde::Serialize)]
struct MemberBody {
    replica: ReplicaId,
    incarnation: Incarnation,
    voter: bool,
    data_centre: String,
    /// The time since the leader sent the latest message that the member has answered.
    silent_ms: u64,
    /// The number of the leader's log entries that the member has not acknowledged.
    lag_entries: u64,
    /// Whether the replica has restarted without the files of this member.
    files_lost: bool,
}

impl Node {
    /// Returns the status of the members; valid on the leader only.
    pub(super) fn members_body(&self) -> MembersBody {
        let members = self.replica.members();
        let asking = self.replica.join_requests().map(|(id, _)| id).collect();
        MembersBody {
            leader: self.replica.id(),
            members: members
                .iter()
                .map(|member| self.member_body(member))
                .collect(),
            asking,
        }
    }

    fn member_body(&self, member: &MemberStatus) -> MemberBody {
        let addresses = self.addresses.get(&member.id);
        MemberBody {
            replica: member.id,
            incarnation: member.incarnation,
            voter: member.is_voter,
            data_centre: addresses
                .map_or_else(String::new, |addresses| addresses.data_centre.0.clone()),
            silent_ms: member.silent_ms,
            lag_entries: member.lag_entries,
            files_lost: member.newer_incarnation.is_some(),
        }
    }

    /// Proposes the next membership change that is due, if this replica is the leader.
    pub(super) fn repair(&mut self) {
        if self
            .repair_policy
            .propose_next_change(&mut self.replica, monotonic_ms())
        {
            self.process_ready();
        }
    }
}
