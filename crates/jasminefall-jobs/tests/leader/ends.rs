//! Run ends that a worker lists more than once.

use jasminefall_jobs::prelude::*;

use crate::harness::{self, Harness};

#[test]
fn failed_end_that_a_returning_worker_lists_again_counts_once() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[1], 100));
    let start = harness.take_starts().remove(0);
    harness.accept_start(&start);
    harness.advance(100);
    harness.answer_polls();
    harness.end_unreported(&start, EndKind::Failed);
    harness.answer_next_poll();
    let again = harness.take_starts();
    assert_eq!(again.len(), 1);
    harness.lose_start_response(&again[0]);
    harness.silence_worker(&start);
    for _ in 0..90 {
        harness.fail_polls_of_silent_workers();
        harness.advance(100);
    }
    assert_eq!(harness.worker_count(), 0);
    harness.end_silence();
    harness.send_heartbeats();
    harness.answer_polls();
    let job = &harness.state.jobs[&JobKey(1)];
    assert_eq!(job.occurrences[0].steps[0].tasks[0].failures, 1);
}
