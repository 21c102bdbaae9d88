//! Quarantine of workers on which tasks keep failing.
//!
//! A worker can send heartbeats in time while every task placed on it fails or stalls. Without a
//! quarantine such a worker receives the most tasks, since failing tasks free its capacity fastest.

/// The number of consecutive failures after which a worker is quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 3;
/// The duration of a worker's first quarantine; each further quarantine lasts twice as long, up to
/// [`MAX_QUARANTINE_MS`].
const MIN_QUARANTINE_MS: u64 = 2_000;
const MAX_QUARANTINE_MS: u64 = 16_000;

/// Tracks consecutive failures and quarantines of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkerHealth {
    consecutive_failures: u32,
    quarantines: u32,
    quarantined_until_ms: u64,
}

impl WorkerHealth {
    /// Records a successful run, which resets the failures and the quarantine backoff.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.quarantines = 0;
    }

    /// Records a failed run or a request that the worker refused as unhealthy, and returns whether
    /// this starts a quarantine.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < QUARANTINE_AFTER_FAILURES {
            return false;
        }
        let quarantine_ms = MIN_QUARANTINE_MS << self.quarantines.min(3);
        self.quarantines += 1;
        // A single failure after the quarantine starts the next one.
        self.consecutive_failures = QUARANTINE_AFTER_FAILURES - 1;
        self.quarantined_until_ms = now_ms + quarantine_ms.min(MAX_QUARANTINE_MS);
        true
    }

    /// Returns whether the worker is quarantined.
    #[must_use]
    pub const fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    /// Returns the number of consecutive failures; each quarantine resets it to one below the
    /// limit.
    #[must_use]
    pub const fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}
