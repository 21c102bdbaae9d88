//! Tasks that crash their workers, and tasks that run beside them.

use std::collections::BTreeSet;

use jasminefall_jobs::leader::StartRequest;
use jasminefall_jobs::prelude::*;
use smol_str::{SmolStr, format_smolstr};

use crate::harness::{self, Harness};

/// Crashes the worker that received a start and starts it again while its lease is valid.
pub(crate) fn crash_and_restart(harness: &mut Harness, start: &StartRequest) {
    let name = harness.crash_worker(start);
    for _ in 0..30 {
        harness.advance(100);
        harness.answer_polls();
    }
    harness.restart_worker(&name);
    harness.advance(100);
}

fn starts_of(starts: &[StartRequest], job: u64) -> Vec<StartRequest> {
    let of_job = starts.iter().filter(|start| start.task.job == JobKey(job));
    of_job.cloned().collect()
}

/// Returns a leader with a job of one task and one of two tasks, all on the same worker.
fn harness_with_two_jobs(workers: usize) -> (Harness, Vec<StartRequest>) {
    let mut harness = Harness::new(workers);
    harness.submit(1, harness::job(&[1], 4_000));
    harness.submit(2, harness::job(&[2], 4_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    assert!(starts.iter().all(|start| start.worker == starts[0].worker));
    harness.answer_polls();
    (harness, starts)
}

#[test]
fn task_that_crashes_its_workers_is_given_up_after_two() {
    let mut harness = Harness::new(3);
    harness.submit(1, harness::job(&[1], 100));
    for _ in 0..2 {
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 1);
        harness.accept_starts(&starts);
        crash_and_restart(&mut harness, &starts[0]);
    }
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
}

#[test]
fn crashes_are_counted_across_a_change_of_the_leader() {
    let mut harness = Harness::new(3);
    harness.submit(1, harness::job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    crash_and_restart(&mut harness, &starts[0]);
    harness.change_leader();
    harness.answer_polls();
    harness.advance(100);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    harness.accept_starts(&starts);
    crash_and_restart(&mut harness, &starts[0]);
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
}

#[test]
fn job_that_ran_beside_a_crashing_task_completes() {
    let (mut harness, starts) = harness_with_two_jobs(4);
    crash_and_restart(&mut harness, &starts[0]);
    let again = harness.take_starts();
    harness.accept_starts(&again);
    assert_eq!(again.len(), 3);
    crash_and_restart(&mut harness, &starts_of(&again, 1)[0]);
    let third = harness.take_starts();
    harness.accept_starts(&third);
    crash_and_restart(&mut harness, &third[0]);
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
    for start in starts_of(&again, 2) {
        harness.end_run(&start, EndKind::Done);
    }
    assert_eq!(harness.status(2), Some(JobStatus::Completed));
}

#[test]
fn suspects_share_no_worker_with_other_jobs() {
    let (mut harness, starts) = harness_with_two_jobs(4);
    crash_and_restart(&mut harness, &starts[0]);
    harness.submit(3, harness::job(&[8], 1_000));
    let again = harness.take_starts();
    let workers = |job| -> BTreeSet<_> {
        let starts = starts_of(&again, job);
        starts.iter().map(|start| start.worker).collect()
    };
    assert_eq!(starts_of(&again, 3).len(), 8);
    assert!(workers(1).is_disjoint(&workers(2)));
    assert!(workers(1).is_disjoint(&workers(3)));
    assert!(workers(2).is_disjoint(&workers(3)));
}

#[test]
fn worker_is_emptied_for_suspects_in_a_busy_pool() {
    let mut harness = Harness::new(8);
    harness.submit(1, harness::job(&[1], 8_000));
    harness.submit(2, harness::job(&[1], 8_000));
    harness.submit(3, harness::job(&[100], 8_000));
    let mut starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.answer_polls();
    let crashed = starts[0].clone();
    assert_eq!(crashed.worker, starts[1].worker);
    crash_and_restart(&mut harness, &crashed);
    starts.retain(|start| start.worker != crashed.worker);
    let mut started_suspects = BTreeSet::new();
    for _ in 0..3 {
        for start in std::mem::take(&mut starts) {
            harness.end_run(&start, EndKind::Done);
        }
        harness.advance(100);
        starts = harness.take_starts();
        harness.accept_starts(&starts);
        started_suspects.extend(starts.iter().map(|start| start.task.job));
        starts.retain(|start| start.task.job == JobKey(3));
    }
    assert!(started_suspects.is_superset(&BTreeSet::from([JobKey(1), JobKey(2)])));
}

/// Guards against LOST: a worker that could not run a suspect was emptied for it, and held for good.
#[test]
fn worker_that_is_emptied_for_a_suspect_can_run_it() {
    let mut harness = Harness::new(6);
    let small = Resources {
        cpu_millis: 1_000,
        ..harness::CAPACITY
    };
    for name in ["i-2", "i-3", "i-4", "i-5", "i-0-restarted", "i-1-restarted"] {
        harness.set_capacity(name, small);
    }
    harness.send_heartbeats();
    harness.submit(1, harness::job(&[1], 8_000));
    harness.submit(2, harness::job(&[100], 8_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.answer_polls();
    let crashed = starts_of(&starts, 1).remove(0);
    crash_and_restart(&mut harness, &crashed);
    let mut running = starts_of(&starts, 2);
    running.retain(|start| start.worker != crashed.worker);
    let mut has_started = false;
    for _ in 0..3 {
        for start in std::mem::take(&mut running) {
            harness.end_run(&start, EndKind::Done);
        }
        harness.advance(100);
        let starts = harness.take_starts();
        harness.accept_starts(&starts);
        has_started |= !starts_of(&starts, 1).is_empty();
        running = starts_of(&starts, 2);
    }
    assert!(has_started);
}

#[test]
fn job_on_a_worker_that_was_cut_off_until_its_lease_expired_is_not_given_up() {
    let mut harness = Harness::new(4);
    harness.submit(1, harness::job(&[1], 100));
    for _ in 0..3 {
        let start = harness
            .take_starts()
            .pop()
            .expect("the task starts elsewhere");
        harness.accept_start(&start);
        let name = harness.crash_worker(&start);
        for _ in 0..70 {
            harness.advance(100);
            harness.answer_polls();
        }
        harness.restart_worker(&name);
    }
    assert!(harness.state.crashes.is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Queued));
}

#[test]
fn unanswered_start_is_not_counted_as_a_crash() {
    let mut harness = Harness::new(4);
    harness.submit(1, harness::job(&[1], 100));
    for _ in 0..3 {
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 1);
        harness.lose_start_response(&starts[0]);
        let name = harness.crash_worker(&starts[0]);
        harness.answer_polls();
        harness.restart_worker(&name);
        harness.advance(100);
    }
    assert!(harness.state.crashes.is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Queued));
}

#[test]
fn started_long_running_task_is_no_suspect() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::long_running_job(2));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.report_full_progress(&starts);
    crash_and_restart(&mut harness, &starts[0]);
    assert!(harness.state.crashes.is_empty());
    assert_eq!(harness.take_starts().len(), 2);
}

#[test]
fn crash_of_a_worker_under_evacuation_is_counted() {
    let mut harness = Harness::new(3);
    harness.list_instances();
    harness.submit(1, harness::job(&[1], 100));
    let start = harness.take_starts().remove(0);
    harness.accept_start(&start);
    harness.answer_polls();
    let instance = harness.worker_name(&start).replace('i', "m");
    harness.start_wave(&[&instance]);
    harness.advance(200);
    crash_and_restart(&mut harness, &start);
    assert_eq!(harness.state.crashes_of(start.task), 1);
}

/// Returns a leader that has lost one worker under the only task of a job, and the start of its second run.
fn harness_with_second_run() -> (Harness, StartRequest) {
    let mut harness = Harness::new(3);
    harness.submit(1, harness::job(&[1], 100));
    let start = harness.take_starts().remove(0);
    harness.accept_start(&start);
    crash_and_restart(&mut harness, &start);
    let start = harness.take_starts().remove(0);
    harness.accept_start(&start);
    harness.answer_polls();
    (harness, start)
}

/// Lets the leader remove a crashed worker as silent, and learn then that its instance had started again before.
fn vanish_and_restart(harness: &mut Harness, name: &SmolStr) {
    let restarted_at_ms = harness.wall_ms() + 1_000;
    for _ in 0..80 {
        harness.advance(100);
        harness.answer_polls();
    }
    assert_eq!(harness.worker_count(), 2);
    let restarted = format_smolstr!("{name}-restarted");
    harness.restart_under_name_at(&restarted, restarted_at_ms);
    harness.send_heartbeats();
}

/// Guards against PROGRESS: the ends that give a job up followed a removal of the record that they need, which had been proposed
/// and not applied, so that they had no effect.
#[test]
fn job_is_given_up_although_the_removal_of_the_vanished_worker_is_not_applied_yet() {
    let (mut harness, start) = harness_with_second_run();
    harness.pause_commits();
    let name = harness.crash_worker(&start);
    vanish_and_restart(&mut harness, &name);
    harness.resume_commits();
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
}

/// Guards against PROGRESS: ends without effect, since their numbers are those of ends that have been proposed before.
#[test]
fn job_is_given_up_although_ends_of_the_vanished_worker_are_not_applied_yet() {
    let mut harness = Harness::new(3);
    harness.submit(1, harness::job(&[2], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    crash_and_restart(&mut harness, &starts[0]);
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.answer_polls();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[0].worker, starts[1].worker);
    harness.pause_commits();
    let name = harness.worker_name(&starts[0]);
    harness.end_run(&starts[0], EndKind::Done);
    harness.remove_worker(&name);
    vanish_and_restart(&mut harness, &name);
    harness.resume_commits();
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
}

/// Guards against PROGRESS as above, while the record is kept for the next incarnation of the worker.
#[test]
fn job_is_given_up_although_ends_of_a_replaced_worker_are_not_applied_yet() {
    let mut harness = Harness::new(3);
    harness.submit(1, harness::job(&[2], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    crash_and_restart(&mut harness, &starts[0]);
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.answer_polls();
    harness.pause_commits();
    harness.fail_poll(&starts[0]);
    harness.advance(50);
    harness.answer_polls();
    harness.end_unreported(&starts[0], EndKind::Done);
    let name = harness.worker_name(&starts[0]);
    harness.answer_next_poll();
    harness.cut_off(&name);
    let restarted_at_ms = harness.wall_ms() + 1_000;
    for _ in 0..80 {
        harness.advance(100);
        harness.answer_polls();
        harness.heartbeat_with(1, |_| {});
    }
    harness.reconnect(&name);
    harness.restart_under_name_at(&name, restarted_at_ms);
    for _ in 0..3 {
        harness.advance_by(200);
        harness.answer_polls();
    }
    harness.send_heartbeats();
    harness.resume_commits();
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
}
