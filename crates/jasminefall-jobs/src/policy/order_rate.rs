//! How many orders about instances may be given.
//!
//! The load that this answers: when a rise ends, hundreds of instances could leave their pool at the
//! same moment, while the platform accepts a limited number of orders in a second. An order beyond
//! that is turned away, and its instance has been emptied for nothing; so it is not decided at all
//! until its turn has come.

/// The part of the platform's limit that is used, in per cent; our second and the platform's do not
/// begin together, and an earlier leader may have given orders just before.
const USED_PERCENT: u64 = 90;
/// For how long orders may be saved up, in milliseconds; a part of the second over which the platform
/// counts.
const SAVED_FOR_MS: u64 = 500;
/// Thousandths of an order, in which the bucket is counted.
const ORDER: u64 = 1_000;

/// Allows orders at a steady rate, and a few at once after a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderRate {
    per_s: Option<u64>,
    saved: u64,
    counted_at_ms: u64,
}

impl OrderRate {
    /// Creates the rate for a platform that accepts so many orders in a second; without a limit where
    /// it names none.
    #[must_use]
    pub const fn new(accepted_per_s: Option<u64>, now_ms: u64) -> Self {
        Self {
            per_s: match accepted_per_s {
                Some(0) | None => None,
                Some(accepted) => Some(accepted * USED_PERCENT / 100 + 1),
            },
            saved: 0,
            counted_at_ms: now_ms,
        }
    }

    /// Returns whether an order may be given now.
    pub fn allows(&mut self, now_ms: u64) -> bool {
        let Some(per_s) = self.per_s else {
            return true;
        };
        let passed_ms = now_ms.saturating_sub(self.counted_at_ms);
        let most = (per_s * SAVED_FOR_MS).max(ORDER);
        self.saved = (self.saved + per_s * passed_ms).min(most);
        self.counted_at_ms = now_ms;
        self.saved >= ORDER
    }

    /// Notes that an order is given.
    pub const fn note(&mut self) {
        if self.per_s.is_some() {
            self.saved = self.saved.saturating_sub(ORDER);
        }
    }
}
