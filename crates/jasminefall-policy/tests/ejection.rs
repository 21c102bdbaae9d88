//! Ejection of failing backend servers, its limit per pool, and reinstatement by a single probe.

use jasminefall_core::prelude::*;
use jasminefall_policy::ejection::{BackendOutcome, Ejections, Eligibility};

const POOL: usize = 9;
const FAILED_AT_MS: u64 = 1_000;
const AFTER_EJECTION_MS: u64 = 100_000;

fn address(number: usize) -> SmolStr {
    format!("10.0.0.{number}:80").into()
}

fn with_failed_backends(numbers: impl Iterator<Item = usize>) -> Ejections {
    let mut ejections = Ejections::default();
    for number in numbers {
        ejections.observe_incarnation(&address(number), Incarnation::new(1));
        for _ in 0..5 {
            ejections.record_outcome(FAILED_AT_MS, &address(number), BackendOutcome::Failed, POOL);
        }
    }
    ejections
}

#[test]
fn failing_backend_server_stays_ejected_until_a_probe_succeeds() {
    let mut ejections = with_failed_backends(0..1);
    let failed = address(0);
    assert_eq!(
        ejections.eligibility(FAILED_AT_MS, &failed, 0),
        Eligibility::Ejected
    );
    ejections.record_outcome(FAILED_AT_MS, &failed, BackendOutcome::Succeeded, POOL);
    assert_eq!(
        ejections.eligibility(FAILED_AT_MS, &failed, 0),
        Eligibility::Ejected,
        "a success without a probe does not end the ejection"
    );
    assert_eq!(
        ejections.eligibility(AFTER_EJECTION_MS, &failed, 0),
        Eligibility::Probe
    );
    ejections.start_probe(AFTER_EJECTION_MS, &failed);
    assert_eq!(
        ejections.eligibility(AFTER_EJECTION_MS, &failed, 0),
        Eligibility::Ejected,
        "one probe at a time"
    );
    ejections.record_outcome(AFTER_EJECTION_MS, &failed, BackendOutcome::Succeeded, POOL);
    assert_eq!(
        ejections.eligibility(AFTER_EJECTION_MS, &failed, 0),
        Eligibility::Eligible
    );
}

#[test]
fn failed_probe_extends_the_ejection() {
    let mut ejections = with_failed_backends(0..1);
    let failed = address(0);
    ejections.start_probe(AFTER_EJECTION_MS, &failed);
    ejections.record_outcome(AFTER_EJECTION_MS, &failed, BackendOutcome::Failed, POOL);
    let paused_ms = |from_ms: u64| {
        let due = |ms: &u64| ejections.eligibility(from_ms + ms, &failed, 0) == Eligibility::Probe;
        (0..100_000).find(due).unwrap()
    };
    assert_eq!(paused_ms(AFTER_EJECTION_MS), 4_000);
}

#[test]
fn ejections_are_limited_when_the_whole_pool_fails() {
    let ejections = with_failed_backends(0..POOL);
    assert_eq!(ejections.ejected_count(), POOL / 3);
}

#[test]
fn entries_stagger_probes_and_apply_each_others_decisions() {
    let mut first = with_failed_backends(0..1);
    let mut second = with_failed_backends(1..1);
    second.observe_incarnation(&address(0), Incarnation::new(1));
    for update in first.updates(FAILED_AT_MS).collect::<Vec<_>>() {
        second.apply_update(FAILED_AT_MS, &update, POOL);
    }
    let due_ms = FAILED_AT_MS + 2_000;
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
    for update in first.updates(due_ms).collect::<Vec<_>>() {
        second.apply_update(due_ms, &update, POOL);
    }
    assert_eq!(
        second.eligibility(due_ms, &address(0), 1),
        Eligibility::Eligible
    );
}

#[test]
fn new_incarnation_clears_failures() {
    let mut ejections = with_failed_backends(0..1);
    ejections.observe_incarnation(&address(0), Incarnation::new(2));
    assert_eq!(
        ejections.eligibility(FAILED_AT_MS, &address(0), 0),
        Eligibility::Eligible
    );
}
