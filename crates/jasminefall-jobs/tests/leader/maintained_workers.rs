//! Workers on instances whose maintenance an earlier leader may have requested, as in review/8 (LOST).

use jasminefall_jobs::leader::{Effect, InstanceResponse, ListedInstance};
use jasminefall_jobs::prelude::{Command, Wave};

use crate::harness::{self, Harness};

/// Returns a new leader that has requested the maintenance of the only instance, for a wave that was
/// accepted under an earlier leader.
fn harness_with_repeated_request() -> Harness {
    let mut harness = Harness::new(1);
    harness.list_instances();
    harness.start_wave(&["m-0"]);
    harness.advance(500);
    assert_eq!(harness.take_maintenance(), ["m-0"]);
    harness.change_leader();
    harness.send_heartbeats();
    harness.answer_polls();
    harness.list_instances();
    harness.advance(4_000);
    assert_eq!(harness.take_maintenance(), ["m-0"]);
    harness
}

/// Guards against LOST: the earlier leader's request had been carried out, so that the response ended the
/// incarnation that began after the maintenance, and it got no tasks any more.
#[test]
fn worker_back_from_maintenance_gets_tasks_after_a_change_of_the_leader() {
    let mut harness = harness_with_repeated_request();
    harness.respond_to_maintenance(&"m-0".into(), InstanceResponse::Done);
    harness.submit(1, harness::job(&[1], 100));
    assert_eq!(
        harness.take_starts(),
        [],
        "the request may have ended the worker just now"
    );
    harness.advance(100);
    harness.answer_polls();
    harness.advance(100);
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(harness.take_maintenance(), Vec::<&str>::new());
}

/// Guards against LOST if the worker's first heartbeat under the new leader comes after the response.
#[test]
fn worker_that_joins_after_the_response_gets_tasks() {
    let mut harness = harness_with_repeated_request();
    harness.stop_heartbeats("i-0");
    harness.respond_to_maintenance(&"m-0".into(), InstanceResponse::Done);
    harness.resume_heartbeats("i-0");
    harness.send_heartbeats();
    harness.advance(100);
    harness.answer_polls();
    harness.submit(1, harness::job(&[1], 100));
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against a start on a worker that the repeated request really has taken down: neither a heartbeat
/// nor a run list from before proves that it goes on.
#[test]
fn worker_taken_down_by_the_repeated_request_gets_no_tasks_by_a_late_heartbeat() {
    let mut harness = harness_with_repeated_request();
    harness.cut_off("i-0");
    harness.respond_to_maintenance(&"m-0".into(), InstanceResponse::Done);
    harness.heartbeat_with(0, |_| {});
    harness.submit(1, harness::job(&[1], 100));
    for _ in 0..200 {
        harness.answer_polls();
        harness.advance(50);
    }
    assert_eq!(harness.take_starts(), []);
    // The next incarnation on the instance replaces it.
    harness.reconnect("i-0");
    harness.restart_under_name(&"i-0".into());
    harness.send_heartbeats();
    harness.answer_polls();
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against an instance that goes down while `max_down` others are: the maintenance of one whose worker
/// isn't confirmed takes its full time.
#[test]
fn instance_with_an_unconfirmed_worker_counts_as_down_for_its_maintenance() {
    let mut harness = Harness::new(2);
    harness.list_instances();
    harness.start_wave(&["m-0", "m-1"]);
    harness.change_leader();
    harness.send_heartbeats();
    harness.answer_polls();
    harness.list_instances();
    harness.advance(4_000);
    let first = harness.take_maintenance();
    assert_eq!(first, ["m-0"]);
    let worker = first[0].replace('m', "i");
    harness.cut_off(&worker);
    harness.respond_to_maintenance(&first[0], InstanceResponse::Done);
    harness.advance(2_400);
    assert_eq!(harness.take_maintenance(), Vec::<&str>::new());
    harness.advance(2_000);
    assert_eq!(
        harness.take_maintenance().first().map(|name| &**name),
        Some("m-1")
    );
}

/// Guards against LOST if an earlier leader had moved the instance: a move that is already done ended the
/// incarnation that began after it. One in another pool has ended with the move.
#[test]
fn worker_that_has_arrived_in_its_pool_outlives_a_repeated_move() {
    for has_arrived in [true, false] {
        let mut harness = Harness::new(1);
        let worker_pool = if has_arrived {
            harness::POOL
        } else {
            harness::STANDBY
        };
        assert!(harness.heartbeat_with(9, |heartbeat| heartbeat.pool = worker_pool.into()));
        harness.add_run_list("i-9", 1);
        harness.submit(1, harness::job(&[5], 17_000));
        harness.change_leader();
        harness.answer_polls();
        harness.report_moves_as_done();
        harness.stop_heartbeats("i-9");
        harness.take_effects();
        // The list was made before the instance moved.
        harness.deliver_instance_list(&[
            harness::up_instance("m-0", harness::POOL),
            harness::up_instance("m-9", harness::STANDBY),
        ]);
        harness.advance(500);
        let effects = harness.take_effects().into_iter();
        let moves = effects.filter(|effect| matches!(effect, Effect::Move { .. }));
        assert_eq!(moves.count(), 1);
        assert_eq!(harness.worker_count(), 1 + usize::from(has_arrived));
    }
}

/// Returns a new leader that has ended the only worker, which it couldn't poll yet, by a list that names
/// another worker on its instance.
fn harness_with_mistaken_end() -> Harness {
    let mut harness = Harness::new(1);
    harness.change_leader();
    harness.cut_off("i-0");
    harness.deliver_instance_list(&[ListedInstance {
        worker: Some("i-7".into()),
        ..harness::up_instance("m-0", harness::POOL)
    }]);
    assert_eq!(harness.worker_count(), 0);
    harness
}

/// Guards against LOST after any mistaken end: heartbeats of a worker that went on were ignored for the
/// retention time.
#[test]
fn worker_that_was_ended_by_mistake_joins_again() {
    let mut harness = harness_with_mistaken_end();
    harness.reconnect("i-0");
    harness.advance(4_500);
    harness.answer_each_poll();
    assert_eq!(harness.worker_count(), 1);
    harness.submit(1, harness::job(&[1], 100));
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against the return of a worker that has ended: heartbeats that a cut held up arrive together.
#[test]
fn heartbeats_held_up_until_after_the_end_dont_readmit_a_worker() {
    let mut harness = harness_with_mistaken_end();
    let first_clock_ms = harness.worker_clock_ms();
    harness.advance(9_000);
    for sent_ms in [0, 1_500, 3_000, 4_500] {
        let clock_ms = first_clock_ms + sent_ms;
        assert!(!harness.heartbeat_with(0, |heartbeat| heartbeat.clock_ms = clock_ms));
    }
    assert_eq!(harness.worker_count(), 0);
}

fn in_maintenance(instance: &str) -> ListedInstance {
    ListedInstance {
        up: false,
        is_unavailable: true,
        in_maintenance: true,
        ..harness::up_instance(instance, harness::POOL)
    }
}

/// Returns a new leader after its predecessor has sent an instance into maintenance, with a wave of two
/// instances of which one may be down; `response` is what the predecessor received.
fn harness_with_instance_down(response: Option<InstanceResponse>) -> Harness {
    let mut harness = Harness::new(2);
    harness.list_instances();
    harness.start_wave(&["m-0", "m-1"]);
    harness.advance(500);
    assert_eq!(harness.take_maintenance(), ["m-0"]);
    if let Some(response) = response {
        harness.respond_to_maintenance(&"m-0".into(), response);
    }
    harness.cut_off("i-0");
    harness.change_leader();
    harness.send_heartbeats();
    harness.answer_polls();
    harness
}

/// Guards against LIMIT: a new leader sent another instance into maintenance while `max_down` were down.
#[test]
fn new_leader_counts_the_instances_that_are_listed_in_maintenance() {
    for response in [None, Some(InstanceResponse::Done)] {
        let mut harness = harness_with_instance_down(response);
        let up = harness::up_instance("m-1", harness::POOL);
        harness.deliver_instance_list(&[in_maintenance("m-0"), up.clone()]);
        harness.advance(9_000);
        assert_eq!(harness.take_maintenance(), Vec::<&str>::new());
        harness.deliver_instance_list(&[harness::up_instance("m-0", harness::POOL), up]);
        harness.advance(500);
        assert_eq!(harness.take_maintenance(), ["m-1"], "after {response:?}");
    }
}

/// Guards against a second stop of the tasks on an instance whose maintenance an earlier leader has begun.
#[test]
fn maintenance_begun_by_an_earlier_leader_is_not_requested_again() {
    let mut harness = harness_with_instance_down(None);
    let up = harness::up_instance("m-1", harness::POOL);
    harness.deliver_instance_list(&[in_maintenance("m-0"), up]);
    let wave = &harness.state.waves[&1];
    assert!(wave.maintained.contains("m-0"));
    assert!(!wave.is_complete());
}

/// Guards against MIXED: the maintenance on the list may be that of another wave.
#[test]
fn listed_maintenance_of_an_instance_in_two_waves_is_not_attributed() {
    let mut harness = Harness::new(2);
    harness.list_instances();
    harness.start_wave(&["m-0", "m-1"]);
    harness.apply(Command::StartWave {
        wave: 2,
        plan: Wave {
            instances: vec!["m-0".into()],
            max_down: 1,
            ..Wave::default()
        },
    });
    harness.change_leader();
    harness.deliver_instance_list(&[in_maintenance("m-0"), in_maintenance("m-1")]);
    let maintained = |wave| harness.state.waves[&wave].maintained.iter().cloned();
    assert_eq!(maintained(1).collect::<Vec<_>>(), ["m-1"]);
    assert_eq!(maintained(2).count(), 0);
}
