//! Waits of suspects for a worker of their own, and of the tasks that are kept off their workers.

use std::collections::BTreeSet;

use jasminefall_jobs::leader::StartRequest;
use jasminefall_jobs::prelude::*;

use crate::harness::{self, Harness};

/// Time without a run after which a task that could run counts as lost, in milliseconds.
const LOST_AFTER_MS: u64 = 6_000;
/// Time that a crashed worker takes to start again, in milliseconds.
const RESTART_MS: u64 = 600;

/// Advances the clocks, accepts all starts and returns the jobs that were started.
fn run_for(harness: &mut Harness, duration_ms: u64) -> BTreeSet<u64> {
    let mut started = BTreeSet::new();
    for _ in 0..duration_ms / 100 {
        let starts = harness.take_starts();
        harness.accept_starts(&starts);
        started.extend(starts.iter().map(|start| start.task.job.0));
        harness.answer_polls();
        harness.advance(100);
    }
    started
}

/// Crashes the workers of all starts at once, and starts them again.
fn crash_and_restart_all(harness: &mut Harness, starts: &[StartRequest]) {
    let mut names = BTreeSet::new();
    for start in starts {
        let name = harness.worker_name(start);
        if names.insert(name) {
            harness.crash_worker(start);
        }
    }
    for _ in 0..RESTART_MS / 100 {
        harness.advance(100);
        harness.answer_polls();
    }
    for name in &names {
        harness.restart_worker(name);
    }
}

/// Returns a leader with four workers, and twelve jobs whose workers have crashed together.
fn harness_after_a_common_crash() -> Harness {
    let mut harness = Harness::new(4);
    for job in 1..=12 {
        harness.submit(job, harness::job(&[1], 4_000));
    }
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 12);
    harness.accept_starts(&starts);
    harness.answer_polls();
    crash_and_restart_all(&mut harness, &starts);
    harness
}

/// Guards against LOST: one job with suspects after the other was isolated, each as long as it ran.
#[test]
fn suspects_of_many_jobs_start_again_before_they_count_as_lost() {
    let mut harness = harness_after_a_common_crash();
    let started = run_for(&mut harness, LOST_AFTER_MS);
    assert_eq!(started, (1..=12).collect());
}

/// Guards against LOST: each new leader let the suspects wait anew.
#[test]
fn suspects_start_again_before_they_count_as_lost_although_leaders_change() {
    let mut harness = harness_after_a_common_crash();
    let mut started = run_for(&mut harness, 1_000);
    for _ in 0..2 {
        harness.change_leader();
        started.extend(run_for(&mut harness, LOST_AFTER_MS / 2));
    }
    assert_eq!(started, (1..=12).collect());
}

/// Guards against LOST: a worker was closed to other jobs for as long as a suspect ran there.
#[test]
fn long_running_task_starts_beside_a_suspect_that_runs_on() {
    let mut harness = Harness::new(3);
    let small = Resources {
        cpu_millis: 100,
        ..harness::CAPACITY
    };
    for name in ["i-1", "i-2"] {
        harness.set_capacity(name, small);
    }
    harness.send_heartbeats();
    harness.submit(1, harness::long_running_job(1));
    harness.submit(2, harness::job(&[1], 4_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.report_full_progress(&starts[..1]);
    crash_and_restart_all(&mut harness, &starts);
    let started = run_for(&mut harness, LOST_AFTER_MS);
    assert_eq!(started, BTreeSet::from([1, 2]));
}

/// Guards against LOST: a suspected gang waited for workers without any run.
#[test]
fn suspected_gang_starts_again_although_each_worker_has_a_long_running_task() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::long_running_job(2));
    let long_running = harness.take_starts();
    harness.accept_starts(&long_running);
    harness.report_full_progress(&long_running);
    let mut gang = harness::job(&[2], 12_000);
    gang.steps[0].gang = true;
    harness.submit(2, gang);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    harness.accept_starts(&starts);
    harness.answer_polls();
    crash_and_restart_all(&mut harness, &starts[..1]);
    for start in &starts[1..] {
        harness.end_run(start, EndKind::GangBroken);
    }
    let started = run_for(&mut harness, LOST_AFTER_MS);
    assert!(started.contains(&2), "{started:?}");
}

/// Guards against LOST: a long-running task alone on its workers was given up, and its job was never shown as failed.
#[test]
fn long_running_task_starts_again_after_crashes_of_workers_where_it_starts_up_alone() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::long_running_job(1));
    for _ in 0..3 {
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 1);
        harness.accept_starts(&starts);
        harness.answer_polls();
        crash_and_restart_all(&mut harness, &starts);
    }
    assert_eq!(harness.take_starts().len(), 1);
}
