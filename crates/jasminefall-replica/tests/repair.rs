//! Tests of the choice of the next membership change.

use std::collections::BTreeMap;

use jasminefall_replica::prelude::*;

const REPLACE_AFTER_MS: u64 = 5_000;
const LEADER: ReplicaId = ReplicaId(1);

fn member(id: u64, is_voter: bool, silent_ms: u64) -> MemberStatus {
    MemberStatus {
        id: ReplicaId(id),
        incarnation: Incarnation(id),
        is_voter,
        silent_ms,
        lag_entries: 0,
        newer_incarnation: None,
    }
}

fn voters(ids: &[u64]) -> Vec<MemberStatus> {
    ids.iter().map(|id| member(*id, true, 0)).collect()
}

/// Creates a policy with replicas 1 to 5 in data centres a, a, b, b, c, and 6 to 8 in a, b, c.
fn policy(target: usize) -> RepairPolicy {
    let data_centres = ["a", "a", "b", "b", "c", "a", "b", "c"];
    let data_centres = (1..)
        .map(ReplicaId)
        .zip(data_centres.map(|name| DataCentre(name.to_owned())));
    RepairPolicy::new(target, REPLACE_AFTER_MS)
        .with_data_centres(data_centres.collect::<BTreeMap<_, _>>())
}

#[test]
fn unresponsive_voter_is_removed_only_after_its_replacement_is_promoted() {
    let policy = policy(3);
    let mut members = voters(&[1, 3, 5]);
    members[1].silent_ms = REPLACE_AFTER_MS;
    assert_eq!(
        policy.next_change(LEADER, &members, &[]),
        None,
        "no learner can replace it"
    );
    members.push(member(7, false, 0));
    let promoted = policy.next_change(LEADER, &members, &[]);
    assert_eq!(promoted, Some(MembershipChange::Promote(ReplicaId(7))));
    members[3].is_voter = true;
    let removed = policy.next_change(LEADER, &members, &[]);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(3))));
}

#[test]
fn voter_that_lost_its_files_is_removed_and_rejoins_as_a_learner() {
    let policy = policy(3);
    let mut members = voters(&[1, 3, 5]);
    members[1].newer_incarnation = Some(Incarnation(9));
    let join_requests = [(ReplicaId(3), Incarnation(9))];
    let removed = policy.next_change(LEADER, &members, &join_requests);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(3))));
    members.remove(1);
    let added = policy.next_change(LEADER, &members, &join_requests);
    assert_eq!(
        added,
        Some(MembershipChange::AddLearner(ReplicaId(3), Incarnation(9)))
    );
    members.push(member(3, false, 0));
    members[2].lag_entries = 1_000;
    assert_eq!(
        policy.next_change(LEADER, &members, &[]),
        None,
        "the learner must catch up first"
    );
    members[2].lag_entries = 3;
    let promoted = policy.next_change(LEADER, &members, &[]);
    assert_eq!(promoted, Some(MembershipChange::Promote(ReplicaId(3))));
}

#[test]
fn replacement_is_promoted_in_the_data_centre_with_fewest_live_voters() {
    let mut members = voters(&[1, 2, 3, 4, 5]);
    members[4].silent_ms = REPLACE_AFTER_MS;
    members.extend([6, 7, 8].map(|id| member(id, false, 0)));
    let promoted = policy(5).next_change(LEADER, &members, &[]);
    assert_eq!(
        promoted,
        Some(MembershipChange::Promote(ReplicaId(8))),
        "data centre c has no live voter"
    );
}

#[test]
fn voter_moves_out_of_a_data_centre_that_holds_a_majority() {
    let mut members = voters(&[1, 2, 6, 3, 5]);
    assert_eq!(
        policy(5).next_change(LEADER, &members, &[]),
        None,
        "there is no learner in another data centre"
    );
    members.push(member(4, false, 0));
    let promoted = policy(5).next_change(LEADER, &members, &[]);
    assert_eq!(promoted, Some(MembershipChange::Promote(ReplicaId(4))));
    members[5].is_voter = true;
    let removed = policy(5).next_change(LEADER, &members, &[]);
    assert_eq!(
        removed,
        Some(MembershipChange::Remove(ReplicaId(6))),
        "data centre a holds three of six voters"
    );
}

/// Guards against a group that keeps a lost voter: a new leader removed one that answers from a group of six.
#[test]
fn surplus_voter_that_answers_stays_while_another_one_may_be_lost() {
    let policy = policy(3);
    let mut members = voters(&[1, 2, 3, 5]);
    members[3].silent_ms = REPLACE_AFTER_MS / 2;
    assert_eq!(policy.next_change(LEADER, &members, &[]), None);
    members[3].silent_ms = REPLACE_AFTER_MS;
    let removed = policy.next_change(LEADER, &members, &[]);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(5))));
    members[3].silent_ms = 0;
    let removed = policy.next_change(LEADER, &members, &[]);
    assert_eq!(
        removed,
        Some(MembershipChange::Remove(ReplicaId(2))),
        "data centre a holds two of four voters"
    );
}
