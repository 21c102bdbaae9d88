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

/// Returns the number of failed runs of the only task of job 1; `None` once the job has ended.
fn failures(harness: &Harness) -> Option<u32> {
    let job = &harness.state.jobs[&JobKey(1)];
    let occurrence = job.occurrences.iter().next()?;
    Some(occurrence.steps[0].tasks[0].failures)
}

/// Cuts off a worker until the leader has removed it, while the others go on.
fn remove_as_silent(harness: &mut Harness, name: &str) {
    harness.cut_off(name);
    for _ in 0..90 {
        harness.advance(100);
        harness.answer_polls();
    }
    assert_eq!(harness.worker_count(), 1);
}

/// Guards against LOST: a leader that didn't know the removed worker counted its failure again, and the job was
/// shown as failed.
#[test]
fn failed_end_listed_after_a_removal_and_a_change_of_the_leader_counts_once() {
    for takes_snapshot in [false, true] {
        let mut harness = Harness::new(2);
        harness.submit(1, harness::job(&[1], 100));
        let start = harness.take_starts().remove(0);
        harness.accept_start(&start);
        harness.advance(100);
        harness.answer_polls();
        let name = harness.worker_name(&start);
        harness.pause_commits();
        harness.end_unreported(&start, EndKind::Failed);
        harness.answer_polls();
        harness.cut_off(&name);
        harness.resume_commits();
        assert_eq!(failures(&harness), Some(1));
        for _ in 0..3 {
            remove_as_silent(&mut harness, &name);
            if takes_snapshot {
                let snapshot = harness.state.to_bytes().unwrap();
                harness.state = JobsState::from_bytes(&snapshot).unwrap();
            }
            harness.change_leader();
            harness.reconnect(&name);
            harness.send_heartbeats();
            harness.answer_polls();
            assert_eq!(harness.worker_count(), 2);
            assert_eq!(failures(&harness), Some(1), "snapshot: {takes_snapshot}");
        }
    }
}
