//! The counts of callers' requests by result, service and team, over time.
//!
//! Entries store nothing on disk, so each one reports its counts for a short period at a time. The
//! counts are kept here in levels of increasingly long buckets. A bucket also records how much time
//! of each entry it covers, so that a reader can distinguish an idle entry from a missing one.

mod bucket;

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use bucket::{Bucket, RequestCounts};

/// The levels of buckets: the length of a bucket in milliseconds, and the number of buckets kept.
pub const BUCKET_LEVELS: [(u64, usize); 3] = [(300_000, 72), (3_600_000, 72), (21_600_000, 120)];

/// Holds the counts of one service and team in a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The service that the requests were for.
    pub service: ServiceId,
    /// The team of the callers.
    pub team: TeamId,
    /// The counts of the requests by result.
    pub counts: RequestCounts,
}

/// Carries the counts of one entry since its previous batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationBatch {
    /// The entry that counted the requests.
    pub entry: EntryId,
    /// The time at which the entry started, in milliseconds since 1970.
    pub started_at_ms: u64,
    /// The number of the batch since the start of the entry; a resend carries the same number.
    pub sequence: u64,
    /// The period that the counts cover.
    pub period_ms: DurationMs,
    /// The counts by service and team.
    pub observations: Vec<Observation>,
}

/// Identifies a batch of an entry; ordered by the start of the entry, then by the sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
struct BatchNumber {
    started_at_ms: u64,
    sequence: u64,
}

/// Holds the buckets of every level.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceLevels {
    levels: [BTreeMap<u64, Bucket>; BUCKET_LEVELS.len()],
    latest: BTreeMap<EntryId, BatchNumber>,
}

impl ServiceLevels {
    /// Adds a batch; a batch that is not newer than the latest one of its entry is ignored.
    pub fn record_batch(&mut self, now_ms: u64, batch: ObservationBatch) {
        let ObservationBatch {
            entry,
            started_at_ms,
            sequence,
            period_ms,
            observations,
        } = batch;
        let number = BatchNumber {
            started_at_ms,
            sequence,
        };
        if self
            .latest
            .get(&entry)
            .is_some_and(|latest| *latest >= number)
        {
            return;
        }
        self.latest.insert(entry.clone(), number);
        for (buckets, (length_ms, kept)) in self.levels.iter_mut().zip(BUCKET_LEVELS) {
            let bucket = buckets.entry(now_ms - now_ms % length_ms).or_default();
            bucket.add(&entry, period_ms, &observations);
            while buckets.len() > kept {
                buckets.pop_first();
            }
        }
    }

    /// Returns the buckets of the finest level that reaches back `window_ms` from `now_ms`, or of
    /// the coarsest level if none does.
    ///
    /// Each bucket comes with its start in milliseconds since 1970.
    pub fn buckets_within(
        &self,
        now_ms: u64,
        window_ms: u64,
    ) -> impl Iterator<Item = (u64, &Bucket)> {
        let reaches = |(length_ms, kept): &(u64, usize)| length_ms * *kept as u64 >= window_ms;
        let level = BUCKET_LEVELS
            .iter()
            .position(reaches)
            .unwrap_or(BUCKET_LEVELS.len() - 1);
        let from_ms = now_ms.saturating_sub(window_ms);
        let first_ms = from_ms - from_ms % BUCKET_LEVELS[level].0;
        self.levels[level]
            .range(first_ms..)
            .map(|(start_ms, bucket)| (*start_ms, bucket))
    }

    /// Returns the sum of the buckets that [`Self::buckets_within`] returns.
    #[must_use]
    pub fn sum(&self, now_ms: u64, window_ms: u64) -> Bucket {
        let mut sum = Bucket::default();
        self.buckets_within(now_ms, window_ms)
            .for_each(|(_, bucket)| sum.merge(bucket));
        sum
    }
}
