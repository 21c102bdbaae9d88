//! No start brings a worker that accepts overload over its capacity, which may shrink and grow.

use jasminefall_jobs::prelude::*;

use crate::harness::{CAPACITY, Harness, job, long_running_job};

const WORKER: &str = "i-0";

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1_000,
        ..CAPACITY
    }
}

/// Returns a site with workers of 16 cores that start whatever they are told to.
fn accepting_overload(workers: usize) -> Harness {
    let mut harness = Harness::new(workers);
    harness.accept_overload();
    harness.send_heartbeats();
    harness
}

#[test]
fn shrunk_capacity_applies_from_the_next_heartbeat() {
    let mut harness = accepting_overload(1);
    harness.set_capacity(WORKER, cores(4));
    harness.send_heartbeats();
    harness.submit(1, job(&[10], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// Waiting tasks start with the heartbeat that reports the growth, not with a later tick.
#[test]
fn grown_capacity_is_used_at_once() {
    let mut harness = accepting_overload(1);
    harness.set_capacity(WORKER, Resources::default());
    harness.send_heartbeats();
    harness.submit(1, job(&[10], 1_000));
    assert!(harness.take_starts().is_empty());
    harness.set_capacity(WORKER, cores(6));
    harness.send_heartbeats();
    assert_eq!(harness.take_starts().len(), 6);
}

/// The stored heartbeat of a new leader does not show that the worker has shrunk since.
#[test]
fn new_leader_awaits_a_heartbeat_before_it_relies_on_a_capacity() {
    let mut harness = accepting_overload(1);
    harness.set_capacity(WORKER, cores(4));
    harness.change_leader();
    harness.answer_polls();
    harness.submit(1, job(&[10], 1_000));
    assert!(harness.take_starts().is_empty());
    harness.send_heartbeats();
    harness.advance(100);
    assert_eq!(harness.take_starts().len(), 4);
}

#[test]
fn new_leader_knows_the_capacity_that_its_predecessor_was_told_last() {
    let mut harness = Harness::new(1);
    harness.set_capacity(WORKER, cores(4));
    harness.advance(1_000);
    harness.change_leader();
    harness.answer_polls();
    harness.submit(1, job(&[10], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// The worker may have shrunk right after its last heartbeat; the start takes effect within 0.8 s.
#[test]
fn capacity_from_before_missed_heartbeats_is_not_relied_on() {
    let mut harness = accepting_overload(1);
    harness.stop_heartbeats(WORKER);
    harness.advance(3_500);
    harness.submit(1, job(&[1], 1_000));
    assert_eq!(harness.take_starts().len(), 1, "two heartbeats are missing");
    harness.advance(200);
    harness.submit(2, job(&[1], 1_000));
    assert!(harness.take_starts().is_empty());
    harness.resume_heartbeats(WORKER);
    harness.advance(100);
    assert_eq!(harness.take_starts().len(), 1);
}

/// A delayed heartbeat shows that the worker was there, but not what its capacity is now.
#[test]
fn delayed_heartbeat_does_not_confirm_the_capacity() {
    let mut harness = accepting_overload(1);
    let sent_at_ms = harness.worker_clock_ms();
    harness.stop_heartbeats(WORKER);
    harness.advance(4_000);
    harness.heartbeat_with(0, |heartbeat| {
        heartbeat.clock_ms = sent_at_ms + 50;
        heartbeat.sequence = sent_at_ms + 50;
    });
    harness.submit(1, job(&[1], 1_000));
    assert!(harness.take_starts().is_empty());
}

/// Guards against a capacity that a later heartbeat has replaced.
#[test]
fn overtaken_heartbeat_does_not_restore_the_capacity() {
    let mut harness = accepting_overload(1);
    let sent_at_ms = harness.worker_clock_ms();
    harness.set_capacity(WORKER, cores(4));
    harness.advance(100);
    harness.send_heartbeats();
    harness.heartbeat_with(0, |heartbeat| {
        heartbeat.capacity = CAPACITY;
        heartbeat.sequence = sent_at_ms + 50;
    });
    harness.submit(1, job(&[10], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// The replicated state does not tell what the tasks of an ended job need.
#[test]
fn nothing_is_placed_beside_a_run_of_unknown_needs() {
    let mut harness = accepting_overload(1);
    harness.submit(1, job(&[1], 12_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.state.apply(Command::Cancel(JobKey(1)));
    harness.change_leader();
    harness.send_heartbeats();
    harness.answer_polls();
    harness.submit(2, job(&[1], 8_000));
    assert!(harness.take_starts().is_empty());
    harness.end_run(&starts[0], EndKind::Stopped);
    assert_eq!(harness.take_starts().len(), 1);
}

/// The record of a workspace's job bounds what its runs need, so that the rest of the worker is used.
#[test]
fn run_of_an_ended_job_of_a_workspace_counts_as_its_largest_task() {
    let mut harness = Harness::new(1);
    let workspace = Workspace {
        name: WorkspaceName::new("first"),
        keys: vec![ApiKeyDigest::of("key")],
        weight: "100".parse().unwrap(),
        cap: ResourceCap::default(),
    };
    harness.configure_workspaces(2, vec![workspace]);
    harness.submit_with_key(1, "key", job(&[1], 12_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.state.apply(Command::Cancel(JobKey(1)));
    harness.change_leader();
    harness.send_heartbeats();
    harness.answer_polls();
    harness.submit_with_key(2, "key", job(&[6], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// A best-effort task needs memory only, which is free, but the worker has less processor time than its
/// runs need.
#[test]
fn nothing_is_placed_on_a_worker_whose_runs_exceed_its_capacity() {
    let mut harness = accepting_overload(1);
    harness.submit(1, job(&[8], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.set_capacity(WORKER, cores(4));
    harness.send_heartbeats();
    let mut best_effort = job(&[1], 1_000);
    best_effort.steps[0].best_effort = true;
    harness.submit(2, best_effort);
    assert!(harness.take_starts().is_empty());
    for start in &starts[..4] {
        harness.end_run(start, EndKind::Done);
    }
    assert_eq!(harness.take_starts().len(), 1);
}

/// Work that has begun is not thrown away, and tasks that last stay available.
#[test]
fn shrink_below_what_runs_stops_nothing() {
    let mut harness = accepting_overload(1);
    harness.submit(1, long_running_job(4));
    harness.submit(2, job(&[4], 1_000));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 8);
    harness.accept_starts(&starts);
    harness.set_capacity(WORKER, cores(1));
    harness.advance(5_000);
    assert!(harness.take_stops().is_empty());
    assert!(harness.take_starts().is_empty());
}

/// A shrunk worker has no room for the job now, but may have it later.
#[test]
fn job_that_fits_no_worker_any_more_starts_once_one_has_grown() {
    let mut harness = accepting_overload(1);
    harness.submit(1, job(&[1], 8_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.set_capacity(WORKER, cores(4));
    harness.send_heartbeats();
    harness.end_run(&starts[0], EndKind::Failed);
    harness.advance(10_000);
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Running));
    harness.set_capacity(WORKER, cores(8));
    harness.send_heartbeats();
    assert_eq!(harness.take_starts().len(), 1);
}
