//! Leases of workers across changes of the leader.

use jasminefall_jobs::leader::StartRequest;
use jasminefall_jobs::prelude::*;

use crate::harness::{self, Harness};

/// Returns a new leader with two workers, one of which holds a lease of the earlier leader and has
/// carried out a start without a response.
fn harness_with_unanswered_start() -> Harness {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[2], 9_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.advance(100);
    harness.answer_polls();
    for start in &starts {
        harness.end_run(start, EndKind::Done);
    }
    harness.change_leader();
    harness.answer_polls();
    harness.submit(2, harness::job(&[1], 100));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    harness.accept_start_unanswered(&starts[0]);
    harness.silence_worker(&starts[0]);
    harness
}

fn advance_without_responses(harness: &mut Harness, duration_ms: u64) {
    for _ in 0..duration_ms / 100 {
        harness.fail_polls_of_silent_workers();
        harness.advance(100);
    }
}

#[test]
fn new_leader_restarts_no_run_while_the_lease_of_its_predecessor_may_hold() {
    let mut harness = harness_with_unanswered_start();
    advance_without_responses(&mut harness, 5_000);
    assert!(
        harness.take_starts().is_empty(),
        "the run may still be active"
    );
}

#[test]
fn new_leader_restarts_runs_once_every_lease_has_expired() {
    let mut harness = harness_with_unanswered_start();
    advance_without_responses(&mut harness, 8_000);
    assert_eq!(harness.take_starts().len(), 1);
}

/// Returns a leader with two workers, the start of a task on one of them, and the worker's number.
fn harness_with_run(spec: JobSpec) -> (Harness, StartRequest, usize) {
    let mut harness = Harness::new(2);
    harness.submit(1, spec);
    let start = harness.take_starts().remove(0);
    harness.accept_start(&start);
    harness.advance(100);
    harness.answer_polls();
    let number = usize::from(harness.worker_name(&start) == "i-1");
    (harness, start, number)
}

#[test]
fn run_on_a_departing_worker_is_not_restarted_before_the_worker_has_ended() {
    let (mut harness, start, number) = harness_with_run(harness::job(&[1], 100));
    harness.heartbeat_with(number, |heartbeat| heartbeat.draining = true);
    let name = harness.worker_name(&start);
    harness.depart(&name);
    advance_without_responses(&mut harness, 5_000);
    assert!(
        harness.take_starts().is_empty(),
        "the worker ends only once it has received the acknowledgement"
    );
    advance_without_responses(&mut harness, 3_000);
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(harness.worker_count(), 1);
}

#[test]
fn new_leader_restarts_no_run_of_a_worker_that_departs_before_its_first_run_list() {
    let (mut harness, start, number) = harness_with_run(harness::job(&[1], 100));
    harness.heartbeat_with(number, |heartbeat| heartbeat.draining = true);
    let name = harness.worker_name(&start);
    harness.change_leader();
    harness.depart(&name);
    advance_without_responses(&mut harness, 5_000);
    harness.answer_polls();
    assert!(harness.take_starts().is_empty());
    advance_without_responses(&mut harness, 3_000);
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn long_running_task_leaves_a_draining_worker_before_it_departs() {
    let (mut harness, start, number) = harness_with_run(harness::long_running_job(1));
    harness.heartbeat_with(number, |heartbeat| heartbeat.draining = true);
    harness.silence_worker(&start);
    harness.advance(100);
    assert_eq!(harness.take_stops(), [start.task]);
    harness.end_run(&start, EndKind::Stopped);
    let again = harness.take_starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].worker, start.worker);
}

#[test]
fn departed_worker_without_runs_is_removed_at_once() {
    let (mut harness, start, number) = harness_with_run(harness::job(&[1], 100));
    harness.end_run(&start, EndKind::Done);
    harness.heartbeat_with(number, |heartbeat| heartbeat.draining = true);
    let name = harness.worker_name(&start);
    harness.depart(&name);
    assert_eq!(harness.worker_count(), 1);
}

/// Returns a new leader with a worker whose run list it cannot read, on which a task runs, and a
/// worker in another pool, to which the queue moves.
fn harness_with_unreadable_run_and_moved_queue() -> Harness {
    let mut harness = Harness::new(1);
    harness.set_queue_pool(2, harness::POOL);
    harness.start_ready_worker_in_other_pool();
    harness.submit(1, harness::job(&[1], 100));
    let start = harness.take_starts().remove(0);
    assert_eq!(harness.worker_name(&start), "i-0");
    harness.accept_start(&start);
    harness.silence_worker(&start);
    harness.change_leader();
    harness.fail_polls_of_silent_workers();
    harness.answer_polls();
    harness.set_queue_pool(3, harness::OTHER_POOL);
    harness
}

fn advance_with_responses_of_the_rest(harness: &mut Harness, duration_ms: u64) {
    for _ in 0..duration_ms / 100 {
        harness.fail_polls_of_silent_workers();
        harness.answer_polls();
        harness.advance(100);
    }
}

#[test]
fn new_leader_restarts_no_run_in_the_new_pool_of_a_queue_before_the_previous_pool_is_reconciled() {
    let mut harness = harness_with_unreadable_run_and_moved_queue();
    advance_with_responses_of_the_rest(&mut harness, 5_000);
    assert!(
        harness.take_starts().is_empty(),
        "the run may still be active in the previous pool"
    );
    advance_with_responses_of_the_rest(&mut harness, 2_000);
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn heartbeat_with_an_unknown_pool_ends_no_incarnation() {
    let (mut harness, _, number) = harness_with_run(harness::job(&[1], 100));
    let is_accepted = harness.heartbeat_with(number, |heartbeat| {
        heartbeat.pool = "unknown".into();
        heartbeat.incarnation.started_at_ms += 1;
    });
    assert!(!is_accepted);
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.worker_count(), 2);
}
