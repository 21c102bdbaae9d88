//! Lists of the platform's instances that arrive late or out of order, as in review/14 (MIXED).

use jasminefall_jobs::leader::ListedInstance;
use smol_str::SmolStr;

use crate::harness::{self, Harness};

fn listed(instances: &[&str]) -> Vec<ListedInstance> {
    let listed = instances.iter();
    listed
        .map(|name| harness::up_instance(name, harness::POOL))
        .collect()
}

fn maintained(harness: &Harness) -> Vec<SmolStr> {
    harness.state.waves[&1].maintained.iter().cloned().collect()
}

/// Guards against MIXED: an instance was recorded as maintained by a list that was requested before it was added.
#[test]
fn instance_added_while_a_list_is_under_way_is_maintained() {
    let mut harness = Harness::new(2);
    harness.list_instances();
    let requested_at_ms = harness.steady_ms();
    harness.advance(1_000);
    harness.start_wave(&["m-0", "m-9"]);
    harness.deliver_instance_list_requested_at(requested_at_ms, &listed(&["m-0", "m-1"]));
    assert_eq!(maintained(&harness), Vec::<SmolStr>::new());
    harness.deliver_instance_list(&listed(&["m-0", "m-1", "m-9"]));
    harness.advance(500);
    assert_eq!(maintained(&harness), Vec::<SmolStr>::new());
}

/// Guards against MIXED: a list that arrived after a later one replaced it, so that an instance was missing.
#[test]
fn list_that_a_later_one_has_overtaken_is_ignored() {
    let mut harness = Harness::new(1);
    harness.start_wave(&["m-0", "m-9"]);
    harness.advance(100);
    let first_requested_at_ms = harness.steady_ms();
    harness.advance(2_000);
    harness.deliver_instance_list(&listed(&["m-0", "m-9"]));
    harness.deliver_instance_list_requested_at(first_requested_at_ms, &listed(&["m-0"]));
    assert_eq!(maintained(&harness), Vec::<SmolStr>::new());
}

/// Guards against a wave that an instance that is gone holds up, under the leader that accepted the wave and
/// under the next one.
#[test]
fn instance_that_is_gone_holds_up_no_wave() {
    for has_new_leader in [false, true] {
        let mut harness = Harness::new(1);
        harness.list_instances();
        harness.start_wave(&["m-9"]);
        if has_new_leader {
            harness.change_leader();
        }
        harness.advance(100);
        harness.deliver_instance_list(&listed(&["m-0"]));
        assert_eq!(maintained(&harness), ["m-9"]);
    }
}

/// Guards against TWICE: the next incarnation of a worker, which had taken over what earlier leaders may have
/// started, was ended by a list from before it began, although it went on.
#[test]
fn list_from_before_an_incarnation_joined_does_not_end_it() {
    let mut harness = Harness::new(1);
    harness.list_instances();
    harness.change_leader();
    let requested_at_ms = harness.steady_ms();
    harness.advance_by(1_000);
    harness.restart_under_name(&"i-0".into());
    harness.send_heartbeats();
    assert_eq!(harness.worker_count(), 1);
    let in_maintenance = ListedInstance {
        up: false,
        is_unavailable: true,
        in_maintenance: true,
        ..harness::up_instance("m-0", harness::POOL)
    };
    let list = [in_maintenance];
    harness.deliver_instance_list_requested_at(requested_at_ms, &list);
    assert_eq!(harness.worker_count(), 1);
    harness.advance_by(1_000);
    harness.deliver_instance_list(&list);
    assert_eq!(harness.worker_count(), 0, "this list shows its end");
}
