//! No start brings a worker that accepts overload over its capacity, which may shrink and grow.

use jasminefall_jobs::prelude::*;

use crate::harness::{CAPACITY, Harness, job};

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
