//! Deduplication, coverage and eviction of the request counts.

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use jasminefall_state::service_levels::BUCKET_LEVELS;

fn batch(entry: &str, started_at_ms: u64, sequence: u64, answered: u64) -> ObservationBatch {
    let counts = RequestCounts {
        answered,
        ..RequestCounts::default()
    };
    ObservationBatch {
        entry: entry.into(),
        started_at_ms,
        sequence,
        period_ms: DurationMs::new(10_000),
        observations: vec![Observation {
            service: "render".into(),
            team: "guild".into(),
            counts,
        }],
    }
}

fn answered(levels: &ServiceLevels, now_ms: u64, window_ms: u64) -> u64 {
    let sum = levels.sum(now_ms, window_ms);
    sum.counts()
        .values()
        .flat_map(|teams| teams.values())
        .map(|counts| counts.answered)
        .sum()
}

#[test]
fn a_resent_batch_counts_once() {
    let mut levels = ServiceLevels::default();
    for (sequence, sum) in [(1, 5), (1, 5), (2, 10), (1, 10), (2, 10), (3, 15)] {
        levels.record_batch(1_000_000, batch("e1", 7, sequence, 5));
        assert_eq!(
            answered(&levels, 1_000_000, 300_000),
            sum,
            "after batch {sequence}"
        );
    }
}

#[test]
fn batches_of_an_earlier_start_are_ignored_after_a_restart() {
    let mut levels = ServiceLevels::default();
    levels.record_batch(1_000_000, batch("e1", 7, 9, 5));
    levels.record_batch(1_000_000, batch("e1", 8, 1, 5));
    levels.record_batch(1_000_000, batch("e1", 7, 10, 5));
    assert_eq!(answered(&levels, 1_000_000, 300_000), 10);
}

#[test]
fn a_bucket_records_the_covered_time_of_each_entry() {
    let mut levels = ServiceLevels::default();
    levels.record_batch(1_000_000, batch("e1", 7, 1, 0));
    levels.record_batch(1_000_000, batch("e1", 7, 2, 0));
    let sum = levels.sum(1_000_000, 300_000);
    assert_eq!(sum.covered(&"e1".into()), DurationMs::new(20_000));
    assert_eq!(sum.covered(&"e2".into()), DurationMs::ZERO);
}

#[test]
fn old_buckets_are_evicted_and_long_windows_read_coarse_levels() {
    let mut levels = ServiceLevels::default();
    let hours = 24 * 40;
    for hour in 0..hours {
        levels.record_batch(hour * 3_600_000, batch("e1", 7, hour + 1, 1));
    }
    let now_ms = (hours - 1) * 3_600_000;
    for (length_ms, kept) in BUCKET_LEVELS {
        let window_ms = length_ms * kept as u64;
        let seen = levels.buckets_within(now_ms, window_ms).count();
        assert!(seen <= kept + 1, "{seen} buckets of {length_ms} ms");
    }
    assert_eq!(answered(&levels, now_ms, 3_600_000), 2);
    assert!(answered(&levels, now_ms, u64::MAX) >= 24 * 30);
}
