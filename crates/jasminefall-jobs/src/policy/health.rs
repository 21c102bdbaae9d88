//! Quarantine of workers on which tasks keep failing.
//!
//! A worker can send heartbeats in time while every task placed on it fails or stalls. Without a
//! quarantine such a worker receives the most tasks, since failing tasks free its capacity fastest.
//!
//! A failed run may as well be the fault of its task. A task that has failed on two workers speaks against
//! itself, so its failures no longer count against workers. Until then they may, so only a part of a pool is
//! quarantined at once.

use crate::ids::TaskId;

/// The number of consecutive failures after which a worker is quarantined.
const QUARANTINE_AFTER_FAILURES: usize = 3;
/// The duration of a worker's first quarantine; each further quarantine lasts twice as long, up to
/// [`MAX_QUARANTINE_MS`].
const MIN_QUARANTINE_MS: u64 = 2_000;
const MAX_QUARANTINE_MS: u64 = 16_000;
/// The most failures that are kept for one worker.
const MAX_FAILURES: usize = 64;
/// The part of a pool's workers that may be quarantined at once, as a divisor; one worker may be in any case
/// if there is another one.
const QUARANTINE_DIVISOR: usize = 3;

/// Tracks consecutive failures and quarantines of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WorkerHealth {
    /// The consecutive failures, oldest first: the task that failed, or `None` for a request that the worker
    /// refused as unhealthy.
    failures: Vec<Option<TaskId>>,
    quarantines: u32,
    quarantined_until_ms: u64,
}

impl WorkerHealth {
    /// Records a successful run, which resets the failures and the quarantine backoff.
    pub fn record_success(&mut self) {
        self.failures.clear();
        self.quarantines = 0;
    }

    /// Records a failed run of a task, and returns whether this starts a quarantine.
    pub fn record_failure(&mut self, task: TaskId, now_ms: u64) -> bool {
        self.record(Some(task), now_ms)
    }

    /// Records a request that the worker refused as unhealthy, and returns whether this starts a quarantine.
    pub fn record_refusal(&mut self, now_ms: u64) -> bool {
        self.record(None, now_ms)
    }

    fn record(&mut self, failure: Option<TaskId>, now_ms: u64) -> bool {
        if self.failures.len() >= MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(failure);
        // No run begins during a quarantine, so a failure then adds nothing to what has led to it.
        if self.failures.len() < QUARANTINE_AFTER_FAILURES || self.is_quarantined(now_ms) {
            return false;
        }
        let quarantine_ms = MIN_QUARANTINE_MS << self.quarantines.min(3);
        self.quarantines += 1;
        self.quarantined_until_ms = now_ms + quarantine_ms.min(MAX_QUARANTINE_MS);
        true
    }

    /// Withdraws the failures of a task that has failed elsewhere too. Ends a quarantine for which too few
    /// failures are left, and returns whether it did.
    pub fn withdraw(&mut self, task: TaskId, now_ms: u64) -> bool {
        let was_quarantined = self.is_quarantined(now_ms);
        self.failures.retain(|failed| *failed != Some(task));
        if self.failures.len() >= QUARANTINE_AFTER_FAILURES || !was_quarantined {
            return false;
        }
        self.quarantines = self.quarantines.saturating_sub(1);
        self.quarantined_until_ms = now_ms;
        true
    }

    /// Returns whether the worker is quarantined.
    #[must_use]
    pub const fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    /// Returns the number of consecutive failures, at most one below the number that leads to a quarantine.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        let count = self.failures.len().min(QUARANTINE_AFTER_FAILURES - 1);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns what orders quarantined workers by the weight of what speaks against them.
    #[must_use]
    pub const fn severity(&self) -> (u32, u64) {
        (self.quarantines, self.quarantined_until_ms)
    }
}

/// Returns how many workers of a pool may be quarantined at once.
#[must_use]
pub const fn quarantine_limit(workers: usize) -> usize {
    let limit = workers / QUARANTINE_DIVISOR;
    if limit == 0 && workers > 1 { 1 } else { limit }
}
