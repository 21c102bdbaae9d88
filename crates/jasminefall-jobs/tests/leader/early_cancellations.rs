//! Cancellations of jobs whose submission arrives later, as in review/10 (UNASKED).

use jasminefall_jobs::leader::{CancelDecision, QueryResponse, SubmitDecision};
use jasminefall_jobs::prelude::*;
use jasminefall_jobs::state::MAX_EARLY_CANCELLATIONS;

use crate::harness::{self, Harness};

/// Guards against UNASKED: the client was told that there is no such job, and the job ran.
#[test]
fn submission_that_arrives_after_its_cancellation_never_runs() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.cancel(1), CancelDecision::NoJob);
    assert_eq!(
        harness.submit_decided(1, harness::job(&[1], 100)),
        SubmitDecision::CancelledEarlier
    );
    assert_eq!(harness.take_starts(), []);
    assert_eq!(harness.query(1), QueryResponse::NoJob);
    assert_eq!(harness.waiting_jobs(), QueryResponse::Waiting(0));
}

/// Guards against UNASKED if the submission was proposed before the cancellation was applied.
#[test]
fn submission_committed_after_its_cancellation_never_runs() {
    let mut harness = Harness::new(1);
    harness.cancel(1);
    assert_eq!(
        harness.commit_submission(1, harness::job(&[1], 100)),
        Outcome::CancelledEarlier
    );
    assert_eq!(harness.take_starts(), []);
}

/// Guards against UNASKED if the submission is committed between the two decisions on its cancellation.
#[test]
fn submission_committed_before_its_early_cancellation_is_cancelled() {
    let mut harness = Harness::new(1);
    let queue = harness.queue();
    let CancelDecision::CancelEarly(command) = harness.decide_cancellation(1) else {
        panic!("the job isn't known");
    };
    harness.submit(1, harness::job(&[1], 100));
    harness.apply(command);
    assert_eq!(harness.decide_cancellation(1), CancelDecision::Cancel);
    harness.apply(Command::Cancel(JobKey(1)));
    assert_eq!(harness.status(1), Some(JobStatus::Cancelled));
    assert_eq!(harness.state.jobs[&JobKey(1)].queue, queue);
}

/// Guards against UNASKED after a change of the leader, or a start from a snapshot.
#[test]
fn early_cancellation_outlives_the_leader_and_a_snapshot() {
    let mut harness = Harness::new(1);
    harness.cancel(1);
    let bytes = harness.state.to_bytes().expect("the state can be encoded");
    harness.state = JobsState::from_bytes(&bytes).expect("the snapshot is valid");
    harness.change_leader();
    assert_eq!(harness.cancel(1), CancelDecision::NoJob);
    assert_eq!(
        harness.submit_decided(1, harness::job(&[1], 100)),
        SubmitDecision::CancelledEarlier
    );
}

/// Guards against a record that is never removed: the leader is lost before it has ended the job.
#[test]
fn early_cancellation_is_removed_after_the_retention_time() {
    for leader_is_lost in [false, true] {
        let mut harness = Harness::new(1);
        if leader_is_lost {
            harness.pause_commits();
            harness.apply(Command::cancel_early(JobKey(1), harness.queue()));
            harness.change_leader();
            harness.resume_commits();
        } else {
            harness.cancel(1);
        }
        // The times at which ended jobs are recorded and removed, and the retention time between them.
        for duration_ms in [20_000, 600_000, 20_000] {
            harness.advance_by(duration_ms);
        }
        assert_eq!(harness.status(1), None, "leader is lost: {leader_is_lost}");
        assert_eq!(
            harness.submit_decided(1, harness::job(&[1], 100)),
            SubmitDecision::Propose
        );
    }
}

/// Guards against a flood of cancellations of unknown jobs, and against a promise that isn't kept: the
/// client is told to cancel again.
#[test]
fn early_cancellations_are_limited_without_forgetting_one() {
    let mut harness = Harness::new(1);
    let most = u64::try_from(MAX_EARLY_CANCELLATIONS).expect("the limit fits");
    for key in 0..most {
        harness.commit(Command::cancel_early(JobKey(key), harness.queue()));
    }
    let further = harness.decide_cancellation(most);
    assert!(matches!(further, CancelDecision::RetryAfter { .. }));
    assert_eq!(harness.decide_cancellation(0), CancelDecision::NoJob);
    harness.submit(most, harness::job(&[1], 100));
    assert_eq!(harness.cancel(most), CancelDecision::Cancel);
}
