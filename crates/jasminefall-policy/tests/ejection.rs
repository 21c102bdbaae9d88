//! Failing backend servers are left out, never too many of them, and probed back once.

use jasminefall_core::prelude::*;
use jasminefall_policy::ejection::{Ejections, SlotOutcome, Verdict};

const POOL: usize = 9;
const SOON_MS: u64 = 1_000;
const LATER_MS: u64 = 100_000;

fn address(number: usize) -> SmolStr {
    format!("10.0.0.{number}:80").into()
}

fn failing(numbers: impl Iterator<Item = usize>) -> Ejections {
    let mut ejections = Ejections::default();
    for number in numbers {
        ejections.observe(&address(number), Incarnation::new(1));
        for _ in 0..5 {
            ejections.note(SOON_MS, &address(number), SlotOutcome::Failed, POOL);
        }
    }
    ejections
}

#[test]
fn a_failing_backend_server_is_left_out_until_one_probe_succeeds() {
    let mut ejections = failing(0..1);
    let failed = address(0);
    assert_eq!(ejections.verdict(SOON_MS, &failed, 0), Verdict::Leave);
    ejections.note(SOON_MS, &failed, SlotOutcome::Succeeded, POOL);
    assert_eq!(
        ejections.verdict(SOON_MS, &failed, 0),
        Verdict::Leave,
        "an old answer"
    );
    assert_eq!(ejections.verdict(LATER_MS, &failed, 0), Verdict::Probe);
    ejections.probe(LATER_MS, &failed);
    assert_eq!(
        ejections.verdict(LATER_MS, &failed, 0),
        Verdict::Leave,
        "one probe at a time"
    );
    ejections.note(LATER_MS, &failed, SlotOutcome::Succeeded, POOL);
    assert_eq!(ejections.verdict(LATER_MS, &failed, 0), Verdict::Use);
}

#[test]
fn a_failed_probe_makes_the_pause_longer() {
    let mut ejections = failing(0..1);
    let failed = address(0);
    ejections.probe(LATER_MS, &failed);
    ejections.note(LATER_MS, &failed, SlotOutcome::Failed, POOL);
    let paused_ms = |from_ms: u64| {
        let due = |ms: &u64| ejections.verdict(from_ms + ms, &failed, 0) == Verdict::Probe;
        (0..100_000).find(due).unwrap()
    };
    assert_eq!(paused_ms(LATER_MS), 4_000);
}

#[test]
fn a_failure_of_everything_leaves_most_of_the_pool_in_use() {
    let ejections = failing(0..POOL);
    assert_eq!(ejections.ejected(), POOL / 3);
}

#[test]
fn the_entries_probe_in_turn_and_believe_each_other() {
    let mut first = failing(0..1);
    let mut second = failing(1..1);
    second.observe(&address(0), Incarnation::new(1));
    for news in first.news(SOON_MS).collect::<Vec<_>>() {
        second.take_news(SOON_MS, &news, POOL);
    }
    let due_ms = SOON_MS + 2_000;
    assert_eq!(first.verdict(due_ms, &address(0), 0), Verdict::Probe);
    assert_eq!(second.verdict(due_ms, &address(0), 1), Verdict::Leave);
    first.probe(due_ms, &address(0));
    first.note(due_ms, &address(0), SlotOutcome::Succeeded, POOL);
    for news in first.news(due_ms).collect::<Vec<_>>() {
        second.take_news(due_ms, &news, POOL);
    }
    assert_eq!(second.verdict(due_ms, &address(0), 1), Verdict::Use);
}

#[test]
fn a_restart_starts_with_a_clean_record() {
    let mut ejections = failing(0..1);
    ejections.observe(&address(0), Incarnation::new(2));
    assert_eq!(ejections.verdict(SOON_MS, &address(0), 0), Verdict::Use);
}
