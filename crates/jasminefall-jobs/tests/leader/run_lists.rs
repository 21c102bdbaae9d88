//! What a run list proves about the runs that it does not name.

use jasminefall_jobs::prelude::*;

use crate::harness::{self, Harness};

/// Returns a leader with one worker, on which more runs have ended as done than one list has room for.
fn harness_with_more_ends_than_one_list_holds() -> Harness {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[600], 10));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 600);
    harness.accept_starts(&starts);
    harness.advance(1_000);
    for start in &starts {
        harness.end_unreported(start, EndKind::Done);
    }
    harness
}

#[test]
fn run_whose_end_has_no_room_in_the_list_is_not_restarted() {
    let mut harness = harness_with_more_ends_than_one_list_holds();
    harness.answer_polls();
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Completed));
}

#[test]
fn new_leader_restarts_no_task_whose_end_has_no_room_in_the_first_list() {
    let mut harness = harness_with_more_ends_than_one_list_holds();
    harness.change_leader();
    harness.answer_polls();
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Completed));
}
