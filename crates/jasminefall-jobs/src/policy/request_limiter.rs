//! Rate limit of requests that move or maintain instances.
//!
//! When a surge ends, hundreds of instances could leave their pool at once, but the platform
//! accepts a limited number of requests per second and refuses further ones. An instance whose
//! request is refused has been evacuated for nothing. A decision that needs a request is therefore
//! delayed until the limit allows the request.

/// The part of the platform's limit that is used, in percent. It is below 100, since the platform's
/// one-second windows are not aligned with ours and an earlier leader may just have sent requests.
const USED_LIMIT_PERCENT: u64 = 90;
/// The time for which unused tokens accumulate; shorter than the second over which the platform
/// counts requests.
const MAX_ACCUMULATION_MS: u64 = 500;
const MILLITOKENS_PER_REQUEST: u64 = 1_000;

/// Limits requests by a token bucket, which allows a short burst after a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceRequestLimiter {
    tokens_per_s: Option<u64>,
    millitokens: u64,
    refilled_at_ms: u64,
}

impl InstanceRequestLimiter {
    /// Creates a limiter for a platform that accepts `accepted_per_s` requests per second; `None`
    /// and zero mean no limit.
    #[must_use]
    pub const fn new(accepted_per_s: Option<u64>, now_ms: u64) -> Self {
        Self {
            tokens_per_s: match accepted_per_s {
                Some(0) | None => None,
                Some(accepted_per_s) => Some(accepted_per_s * USED_LIMIT_PERCENT / 100 + 1),
            },
            millitokens: 0,
            refilled_at_ms: now_ms,
        }
    }

    /// Refills the bucket and returns whether a request may be sent now.
    pub fn has_token(&mut self, now_ms: u64) -> bool {
        let Some(tokens_per_s) = self.tokens_per_s else {
            return true;
        };
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let max_millitokens = (tokens_per_s * MAX_ACCUMULATION_MS).max(MILLITOKENS_PER_REQUEST);
        self.millitokens = (self.millitokens + tokens_per_s * elapsed_ms).min(max_millitokens);
        self.refilled_at_ms = now_ms;
        self.millitokens >= MILLITOKENS_PER_REQUEST
    }

    /// Takes the token of one sent request.
    pub const fn consume(&mut self) {
        if self.tokens_per_s.is_some() {
            self.millitokens = self.millitokens.saturating_sub(MILLITOKENS_PER_REQUEST);
        }
    }
}
