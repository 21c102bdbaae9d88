//! How jobs end: losses, failures, cancellations, refusals and resends.

#[path = "support/fleet_site.rs"]
mod fleet_site;

use fleet_site::*;
use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use jasminefall_state::jobs::retention::{JOB_KEY_RETENTION_MS, MAX_ENDED_JOBS};
use jasminefall_state::prelude::*;

#[test]
fn a_lost_worker_requeues_only_idempotent_jobs() {
    for (idempotent, expected) in [(true, JobState::Waiting), (false, JobState::MayHaveRun)] {
        let mut state = started_state();
        let job = submit(&mut state, request("a", idempotent));
        let epoch = place(&mut state, job, "w1");
        mark_lost(&mut state, "w1", true);
        assert_eq!(job_state(&state, job), expected);
        report(&mut state, job, epoch, TaskResult::Completed);
        assert_eq!(job_state(&state, job), expected, "a late report is ignored");
    }
}

#[test]
fn a_new_incarnation_ends_only_the_tasks_of_earlier_ones() {
    let mut state = started_state();
    let job = submit(&mut state, request("a", false));
    place(&mut state, job, "w1");
    record_incarnation(&mut state, "w1", 1);
    assert!(matches!(job_state(&state, job), JobState::Placed(_)));
    record_incarnation(&mut state, "w1", 2);
    assert_eq!(job_state(&state, job), JobState::MayHaveRun);
}

#[test]
fn a_cancelled_task_holds_its_resources_until_it_stops_and_completion_wins() {
    let cases = [
        (TaskResult::Completed, JobState::Completed),
        (TaskResult::Stopped, JobState::Cancelled),
        (TaskResult::Failed, JobState::Cancelled),
        (TaskResult::NotStarted, JobState::Cancelled),
    ];
    for (result, expected) in cases {
        let mut state = started_state();
        let job = submit(&mut state, request("a", true));
        let epoch = place(&mut state, job, "w1");
        apply(&mut state, Command::Cancel(vec![job]));
        assert_ne!(state.jobs.allocated_on(&"w1".into()), Resources::default());
        report(&mut state, job, epoch, result);
        assert_eq!(job_state(&state, job), expected, "{result:?}");
        assert_eq!(state.jobs.allocated_on(&"w1".into()), Resources::default());
    }
}

#[test]
fn a_cancelled_task_ends_when_its_worker_is_lost() {
    for (idempotent, expected) in [(true, JobState::Cancelled), (false, JobState::MayHaveRun)] {
        let mut state = started_state();
        let job = submit(&mut state, request("a", idempotent));
        place(&mut state, job, "w1");
        apply(&mut state, Command::Cancel(vec![job]));
        mark_lost(&mut state, "w1", true);
        assert_eq!(job_state(&state, job), expected);
    }
}

#[test]
fn a_job_fails_after_failures_on_three_workers_but_not_on_one() {
    let mut state = started_state();
    let job = submit(&mut state, request("a", true));
    for _ in 0..4 {
        let epoch = place(&mut state, job, "w1");
        report(&mut state, job, epoch, TaskResult::Failed);
    }
    assert_eq!(job_state(&state, job), JobState::Waiting);
    for worker in ["w2", "w3"] {
        let epoch = place(&mut state, job, worker);
        report(&mut state, job, epoch, TaskResult::Failed);
    }
    assert_eq!(job_state(&state, job), JobState::Failed);
}

#[test]
fn losses_of_whole_racks_do_not_fail_a_job() {
    let mut state = started_state();
    let job = submit(&mut state, request("a", true));
    for round in 0..10 {
        for worker in ["w1", "w2", "w3"] {
            place(&mut state, job, worker);
            mark_lost(&mut state, worker, false);
            record_incarnation(&mut state, worker, 2 + round);
        }
    }
    assert_eq!(job_state(&state, job), JobState::Waiting);
}

#[test]
fn quarantine_clears_failures_and_is_limited_to_a_share_of_the_fleet() {
    let mut state = started_state();
    let job = submit(&mut state, request("a", true));
    let epoch = place(&mut state, job, "w1");
    report(&mut state, job, epoch, TaskResult::Failed);
    assert_eq!(quarantine_worker(&mut state, "w1"), Outcome::Done);
    assert!(
        state
            .jobs
            .get(job)
            .expect("the job is kept")
            .failed_on
            .is_empty()
    );
    let outcome = quarantine_worker(&mut state, "w2");
    assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
}

#[test]
fn jobs_that_can_never_fit_are_refused_with_the_reason() {
    type Change = fn(&mut JobRequest);
    let cases: [(Change, &str); 5] = [
        (
            |job| job.cpu_mcores = MilliCores::new(17_000),
            "no instance",
        ),
        (|job| job.memory_bytes = Bytes::new(33 << 30), "no instance"),
        (|job| job.accelerators = 1, "no instance"),
        (|job| job.cpu_mcores = MilliCores::new(9_000), "quota"),
        (|job| job.team = "nobody".into(), "not declared"),
    ];
    for (change, reason) in cases {
        let mut wanted = request("a", false);
        change(&mut wanted);
        let outcome = apply(&mut started_state(), Command::Submit(wanted));
        let Outcome::Refused(refusal) = outcome else {
            panic!("accepted: {outcome:?}");
        };
        assert!(refusal.to_string().contains(reason), "{refusal}");
    }
}

#[test]
fn the_key_of_an_evicted_job_does_not_start_a_second_job() {
    let mut state = started_state();
    let first = submit(&mut state, request("first", false));
    apply(&mut state, Command::Cancel(vec![first]));
    for number in 0..MAX_ENDED_JOBS {
        let job = submit(&mut state, request(&format!("k{number}"), false));
        apply(&mut state, Command::Cancel(vec![job]));
    }
    assert!(
        state.jobs.get(first).is_none(),
        "the data of the job is evicted"
    );
    state.now_ms += JOB_KEY_RETENTION_MS - 1;
    assert_eq!(submit(&mut state, request("first", false)), first);
    assert_eq!(state.jobs.waiting().count(), 0);
}

#[test]
fn ten_thousand_jobs_are_cancelled_at_once() {
    let mut state = started_state();
    let numbers = 0..10_000;
    let jobs: Vec<JobId> = numbers
        .map(|number| submit(&mut state, request(&format!("k{number}"), true)))
        .collect();
    let epoch = place(&mut state, jobs[0], "w1");
    apply(&mut state, Command::Cancel(jobs.clone()));
    assert_eq!(state.jobs.waiting().count(), 0);
    report(&mut state, jobs[0], epoch, TaskResult::Stopped);
    let cancelled = |job: &JobId| job_state(&state, *job) == JobState::Cancelled;
    assert!(jobs.iter().all(cancelled));
}
