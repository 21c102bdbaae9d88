//! Failing backend servers are left out, never too many of them, and probed back once.

use jasminefall_core::prelude::*;
use jasminefall_policy::ejection::{BackendOutcome, Ejections, Eligibility};

const POOL: usize = 9;
const SOON_MS: u64 = 1_000;
const LATER_MS: u64 = 100_000;

fn address(number: usize) -> SmolStr {
    format!("10.0.0.{number}:80").into()
}

fn failing(numbers: impl Iterator<Item = usize>) -> Ejections {
    let mut ejections = Ejections::default();
    for number in numbers {
        ejections.observe_incarnation(&address(number), Incarnation::new(1));
        for _ in 0..5 {
            ejections.record_outcome(SOON_MS, &address(number), BackendOutcome::Failed, POOL);
        }
    }
    ejections
}

#[test]
fn a_failing_backend_server_is_left_out_until_one_probe_succeeds() {
    let mut ejections = failing(0..1);
    let failed = address(0);
    assert_eq!(
        ejections.eligibility(SOON_MS, &failed, 0),
        Eligibility::Ejected
    );
    ejections.record_outcome(SOON_MS, &failed, BackendOutcome::Succeeded, POOL);
    assert_eq!(
        ejections.eligibility(SOON_MS, &failed, 0),
        Eligibility::Ejected,
        "an old answer"
    );
    assert_eq!(
        ejections.eligibility(LATER_MS, &failed, 0),
        Eligibility::Probe
    );
    ejections.start_probe(LATER_MS, &failed);
    assert_eq!(
        ejections.eligibility(LATER_MS, &failed, 0),
        Eligibility::Ejected,
        "one probe at a time"
    );
    ejections.record_outcome(LATER_MS, &failed, BackendOutcome::Succeeded, POOL);
    assert_eq!(
        ejections.eligibility(LATER_MS, &failed, 0),
        Eligibility::Eligible
    );
}

#[test]
fn a_failed_probe_makes_the_pause_longer() {
    let mut ejections = failing(0..1);
    let failed = address(0);
    ejections.start_probe(LATER_MS, &failed);
    ejections.record_outcome(LATER_MS, &failed, BackendOutcome::Failed, POOL);
    let paused_ms = |from_ms: u64| {
        let due = |ms: &u64| ejections.eligibility(from_ms + ms, &failed, 0) == Eligibility::Probe;
        (0..100_000).find(due).unwrap()
    };
    assert_eq!(paused_ms(LATER_MS), 4_000);
}

#[test]
fn a_failure_of_everything_leaves_most_of_the_pool_in_use() {
    let ejections = failing(0..POOL);
    assert_eq!(ejections.ejected_count(), POOL / 3);
}

#[test]
fn the_entries_probe_in_turn_and_believe_each_other() {
    let mut first = failing(0..1);
    let mut second = failing(1..1);
    second.observe_incarnation(&address(0), Incarnation::new(1));
    for news in first.updates(SOON_MS).collect::<Vec<_>>() {
        second.apply_update(SOON_MS, &news, POOL);
    }
    let due_ms = SOON_MS + 2_000;
    assert_eq!(
        first.eligibility(due_ms, &address(0), 0),
        Eligibility::Probe
    );
    assert_eq!(
        second.eligibility(due_ms, &address(0), 1),
        Eligibility::Ejected
    );
    first.start_probe(due_ms, &address(0));
    first.record_outcome(due_ms, &address(0), BackendOutcome::Succeeded, POOL);
    for news in first.updates(due_ms).collect::<Vec<_>>() {
        second.apply_update(due_ms, &news, POOL);
    }
    assert_eq!(
        second.eligibility(due_ms, &address(0), 1),
        Eligibility::Eligible
    );
}

#[test]
fn a_restart_starts_with_a_clean_record() {
    let mut ejections = failing(0..1);
    ejections.observe_incarnation(&address(0), Incarnation::new(2));
    assert_eq!(
        ejections.eligibility(SOON_MS, &address(0), 0),
        Eligibility::Eligible
    );
}
