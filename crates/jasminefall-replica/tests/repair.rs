//! Which change of the membership comes next.

use std::collections::BTreeMap;

use jasminefall_replica::prelude::*;

const DEAD_MS: u64 = 5_000;
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

/// Data centres of replicas one to five: 2/2/1, and of six to eight: one each.
fn plan(target: usize) -> RepairPolicy {
    let places = ["a", "a", "b", "b", "c", "a", "b", "c"];
    let places = (1..)
        .map(ReplicaId)
        .zip(places.map(|place| DataCentre(place.to_owned())));
    RepairPolicy::new(target, DEAD_MS).with_data_centres(places.collect::<BTreeMap<_, _>>())
}

#[test]
fn a_silent_voter_is_replaced_before_it_is_removed() {
    let plan = plan(3);
    let mut members = voters(&[1, 3, 5]);
    members[1].silent_ms = DEAD_MS;
    assert_eq!(
        plan.next_change(LEADER, &members, &[]),
        None,
        "nobody can replace it"
    );
    members.push(member(7, false, 0));
    let promoted = plan.next_change(LEADER, &members, &[]);
    assert_eq!(promoted, Some(MembershipChange::Promote(ReplicaId(7))));
    members[3].is_voter = true;
    let removed = plan.next_change(LEADER, &members, &[]);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(3))));
}

#[test]
fn a_voter_without_its_files_is_removed_and_taken_in_again() {
    let plan = plan(3);
    let mut members = voters(&[1, 3, 5]);
    members[1].newer_incarnation = Some(Incarnation(9));
    let asking = [(ReplicaId(3), Incarnation(9))];
    let removed = plan.next_change(LEADER, &members, &asking);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(3))));
    members.remove(1);
    let added = plan.next_change(LEADER, &members, &asking);
    assert_eq!(
        added,
        Some(MembershipChange::AddLearner(ReplicaId(3), Incarnation(9)))
    );
    members.push(member(3, false, 0));
    members[2].lag_entries = 1_000;
    assert_eq!(
        plan.next_change(LEADER, &members, &[]),
        None,
        "it has to catch up first"
    );
    members[2].lag_entries = 3;
    let promoted = plan.next_change(LEADER, &members, &[]);
    assert_eq!(promoted, Some(MembershipChange::Promote(ReplicaId(3))));
}

#[test]
fn the_replacement_comes_from_the_emptiest_data_centre() {
    let mut members = voters(&[1, 2, 3, 4, 5]);
    members[4].silent_ms = DEAD_MS;
    members.extend([6, 7, 8].map(|id| member(id, false, 0)));
    let promoted = plan(5).next_change(LEADER, &members, &[]);
    assert_eq!(
        promoted,
        Some(MembershipChange::Promote(ReplicaId(8))),
        "c has lost its only voter"
    );
}

#[test]
fn a_data_centre_with_a_majority_gives_one_up_where_it_can() {
    let mut members = voters(&[1, 2, 6, 3, 5]);
    assert_eq!(
        plan(5).next_change(LEADER, &members, &[]),
        None,
        "no learner elsewhere"
    );
    members.push(member(4, false, 0));
    let promoted = plan(5).next_change(LEADER, &members, &[]);
    assert_eq!(promoted, Some(MembershipChange::Promote(ReplicaId(4))));
    members[5].is_voter = true;
    let removed = plan(5).next_change(LEADER, &members, &[]);
    assert_eq!(
        removed,
        Some(MembershipChange::Remove(ReplicaId(6))),
        "a holds three of six"
    );
}
