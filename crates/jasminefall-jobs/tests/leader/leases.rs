//! Leases of workers across changes of the leader.

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
    harness.carry_out_without_response(&starts[0]);
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
