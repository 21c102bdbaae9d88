//! Whether a worker fails what it is given.
//!
//! The load that this answers: a worker whose heartbeats are good fails or stalls the tasks that
//! land on it, and since it empties fastest it draws the most.

/// The failures in a row after which a worker is quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 3;
/// How long a worker is quarantined at first, in milliseconds; doubles each time.
const MIN_QUARANTINE_MS: u64 = 2_000;
/// The longest that a worker is quarantined, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 16_000;

/// Follows the outcomes of a worker's runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkerHealth {
    consecutive_failures: u32,
    quarantines: u32,
    quarantined_until_ms: u64,
}

impl WorkerHealth {
    /// Records a run that ended as done.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.quarantines = 0;
    }

    /// Records a run that failed or stalled; returns whether the worker is quarantined from now on.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < QUARANTINE_AFTER_FAILURES {
            return false;
        }
        let quarantine_ms = MIN_QUARANTINE_MS << self.quarantines.min(3);
        self.quarantines += 1;
        // One more failure after the pause quarantines it again.
        self.consecutive_failures = QUARANTINE_AFTER_FAILURES - 1;
        self.quarantined_until_ms = now_ms + quarantine_ms.min(MAX_QUARANTINE_MS);
        true
    }

    /// Returns whether the worker is quarantined.
    #[must_use]
    pub const fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    /// Returns how many of the last runs failed in a row.
    #[must_use]
    pub const fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}
