//! Whether a worker fails what it is given.
//!
//! The load that this answers: a worker whose heartbeats are good fails or stalls the tasks that
//! land on it, and since it empties fastest it draws the most.

/// The failures in a row after which a worker is set aside.
const FAILURES_IN_A_ROW: u32 = 3;
/// How long a worker is set aside at first, in milliseconds; doubles each time.
const FIRST_PAUSE_MS: u64 = 2_000;
/// The longest that a worker is set aside, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 16_000;

/// Follows the outcomes of a worker's runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    failures_in_a_row: u32,
    pauses: u32,
    aside_until_ms: u64,
}

impl Health {
    /// Notes a run that ended as done.
    pub const fn note_done(&mut self) {
        self.failures_in_a_row = 0;
        self.pauses = 0;
    }

    /// Notes a run that failed or stalled; returns whether the worker is set aside from now on.
    pub fn note_failure(&mut self, now_ms: u64) -> bool {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row < FAILURES_IN_A_ROW {
            return false;
        }
        let pause_ms = FIRST_PAUSE_MS << self.pauses.min(3);
        self.pauses += 1;
        // One more failure after the pause sets it aside again.
        self.failures_in_a_row = FAILURES_IN_A_ROW - 1;
        self.aside_until_ms = now_ms + pause_ms.min(LONGEST_PAUSE_MS);
        true
    }

    /// Returns whether the worker is set aside.
    #[must_use]
    pub const fn is_aside(&self, now_ms: u64) -> bool {
        now_ms < self.aside_until_ms
    }

    /// Returns how many of the last runs failed in a row.
    #[must_use]
    pub const fn failures_in_a_row(&self) -> u32 {
        self.failures_in_a_row
    }
}
