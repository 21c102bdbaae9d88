//! How many requests about instances may be sent.
//!
//! The load that this answers: when a surge ends, hundreds of instances could leave their pool at
//! the same moment, while the platform accepts a limited number of requests in a second. A request
//! beyond that is turned away, and its instance has been evacuated for nothing; so it is not
//! decided at all until its turn has come.

/// The part of the platform's limit that is used, in per cent; our second and the platform's do not
/// begin together, and an earlier leader may have sent requests just before.
const USED_LIMIT_PERCENT: u64 = 90;
/// For how long requests may be saved up, in milliseconds; a part of the second over which the
/// platform counts.
const MAX_SAVED_MS: u64 = 500;
/// Thousandths of a request, in which the bucket is counted.
const MILLITOKENS_PER_REQUEST: u64 = 1_000;

/// Allows requests at a steady rate, and a few at once after a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceRequestLimiter {
    tokens_per_s: Option<u64>,
    millitokens: u64,
    refilled_at_ms: u64,
}

impl InstanceRequestLimiter {
    /// Creates the rate for a platform that accepts so many requests in a second; without a limit
    /// where it names none.
    #[must_use]
    pub const fn new(accepted_per_s: Option<u64>, now_ms: u64) -> Self {
        Self {
            tokens_per_s: match accepted_per_s {
                Some(0) | None => None,
                Some(accepted) => Some(accepted * USED_LIMIT_PERCENT / 100 + 1),
            },
            millitokens: 0,
            refilled_at_ms: now_ms,
        }
    }

    /// Returns whether a request may be sent now.
    pub fn has_token(&mut self, now_ms: u64) -> bool {
        let Some(tokens_per_s) = self.tokens_per_s else {
            return true;
        };
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let max_millitokens = (tokens_per_s * MAX_SAVED_MS).max(MILLITOKENS_PER_REQUEST);
        self.millitokens = (self.millitokens + tokens_per_s * passed_ms).min(max_millitokens);
        self.refilled_at_ms = now_ms;
        self.millitokens >= MILLITOKENS_PER_REQUEST
    }

    /// Records that a request is sent.
    pub const fn consume(&mut self) {
        if self.tokens_per_s.is_some() {
            self.millitokens = self.millitokens.saturating_sub(MILLITOKENS_PER_REQUEST);
        }
    }
}
