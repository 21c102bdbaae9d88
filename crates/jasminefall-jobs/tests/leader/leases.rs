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

/// Returns a harness with a run in the first pool, a ready worker in the other pool, and the run's start.
fn harness_with_run_and_other_pool(job: JobSpec) -> (Harness, StartRequest) {
    let mut harness = Harness::new(1);
    harness.set_queue_pool(2, harness::POOL);
    harness.start_ready_worker_in_other_pool();
    harness.submit(1, job);
    let start = harness.take_starts().remove(0);
    harness.accept_start(&start);
    (harness, start)
}

/// Lets a new leader read the run list of the worker in the other pool first, then that of the first one;
/// asserts that the run goes on and isn't started a second time.
fn assert_run_goes_on_under_a_new_leader(harness: &mut Harness, start: &StartRequest) {
    harness.cut_off("i-0");
    harness.change_leader();
    harness.send_heartbeats();
    for _ in 0..20 {
        harness.answer_polls();
        harness.advance(100);
    }
    assert_eq!(harness.take_starts(), []);
    harness.reconnect("i-0");
    for _ in 0..20 {
        harness.answer_polls();
        harness.advance(100);
    }
    assert_eq!(harness.take_starts(), []);
    assert!(!harness.is_idle("i-0"));
    harness.end_on_worker("i-0", start, EndKind::Done);
    harness.answer_polls();
    assert_eq!(harness.status(1), Some(JobStatus::Completed));
}

/// Guards against TWICE, as in review/7: the pool had changed under an earlier leader, and the new one
/// started the task in the new pool while it ran in the former one.
#[test]
fn new_leader_restarts_no_run_in_a_pool_that_the_queue_got_under_an_earlier_leader() {
    let (mut harness, start) = harness_with_run_and_other_pool(harness::job(&[1], 100));
    harness.set_queue_pool(3, harness::OTHER_POOL);
    assert_run_goes_on_under_a_new_leader(&mut harness, &start);
}

/// Guards against TWICE after several changes of the pool and of the leader, a queue that was removed in
/// between, and a snapshot.
#[test]
fn former_pools_outlive_further_changes_leaders_and_snapshots() {
    let (mut harness, start) = harness_with_run_and_other_pool(harness::job(&[1], 100));
    harness.remove_queue(3);
    harness.change_leader();
    harness.set_queue_pool(4, harness::POOL);
    harness.change_leader();
    harness.set_queue_pool(5, harness::OTHER_POOL);
    let bytes = harness.state.to_bytes().expect("the state can be encoded");
    harness.state = JobsState::from_bytes(&bytes).expect("the snapshot is valid");
    assert_run_goes_on_under_a_new_leader(&mut harness, &start);
}

/// Guards against LOST: a worker out of reach must not hold up steps that cannot run there, nor others for
/// longer than its lease.
#[test]
fn worker_out_of_reach_in_another_pool_holds_up_only_queues_that_had_this_pool() {
    for had_other_pool in [false, true] {
        let mut harness = Harness::new(1);
        harness.set_queue_pool(2, harness::OTHER_POOL);
        harness.start_ready_worker_in_other_pool();
        harness.cut_off("i-1");
        if !had_other_pool {
            harness.set_queue_pool(3, harness::POOL);
        }
        // Fits on no worker yet.
        harness.submit(1, harness::job(&[1], 17_000));
        harness.set_queue_pool(4, harness::POOL);
        harness.set_capacity("i-0", harness::CAPACITY.times(2));
        harness.change_leader();
        harness.send_heartbeats();
        for _ in 0..10 {
            harness.answer_polls();
            harness.advance(100);
        }
        let starts = harness.take_starts();
        assert_eq!(starts.is_empty(), had_other_pool);
        harness.accept_starts(&starts);
        for _ in 0..60 {
            harness.answer_polls();
            harness.advance(100);
        }
        assert_eq!(harness.take_starts().is_empty(), !had_other_pool);
    }
}
