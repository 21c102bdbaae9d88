//! Claims, by which a request runs at most once.
//!
//! An entry claims a request before it sends the first byte of the request to a backend server. It
//! may send that byte only during the lease of the claim. If the lease and a margin pass without
//! a recorded result, the request counts as "may have run". A claim is never granted a second time
//! unless its holder has released it.

mod message;
mod retention;

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use message::{
    ClaimKey, ClaimRelease, ClaimRequest, ClaimResponse, ClaimResult, KeptHeader, KeptResponse,
    RecordedResult,
};
use retention::EvictedKeys;

/// The time added to a lease before the claim counts as expired, because the clocks of the entry and
/// of successive leaders differ.
pub const CLAIM_CLOCK_SKEW_MARGIN_MS: u64 = 5_000;
/// The longest lease of a claim; a longer requested lease is shortened to it.
pub const MAX_LEASE_MS: u64 = 3_600_000;
/// The time for which a claim and its result are kept.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// The most claims that are kept.
pub const MAX_CLAIMS: usize = 100_000;
/// The most bytes of recorded responses that are kept; the oldest claims are evicted beyond it.
pub const MAX_KEPT_RESPONSE_BYTES: usize = 16 << 20;
/// How far a key's time of issue may lie ahead of the time of the state.
pub const MAX_KEY_TIME_AHEAD_MS: u64 = 60_000;

/// Holds one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The entry that holds the claim.
    pub entry: EntryId,
    /// The entry's number for this attempt to run the request.
    pub attempt: u64,
    /// The SHA-256 of the request, to detect a reuse of the key for another request.
    pub digest: [u8; 32],
    /// The time of the claim, in milliseconds since 1970.
    pub at_ms: u64,
    /// The time after the claim during which the first byte may be sent.
    pub lease_ms: DurationMs,
    /// The time at which the key was issued, in milliseconds since 1970, if the caller gave it.
    pub issued_at_ms: Option<u64>,
    /// The result of the request, once recorded.
    pub result: Option<RecordedResult>,
    /// The position of the claim in the order of grants, see `Claims::order`.
    sequence: u64,
}

impl Claim {
    const fn has_expired(&self, now_ms: u64) -> bool {
        let until_ms = self.at_ms.saturating_add(self.lease_ms.get());
        now_ms >= until_ms.saturating_add(CLAIM_CLOCK_SKEW_MARGIN_MS)
    }

    fn kept_bytes(&self) -> usize {
        self.result.as_ref().map_or(0, RecordedResult::kept_bytes)
    }
}

/// Holds the claims, and the keys of evicted claims.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Claims {
    held: BTreeMap<ClaimKey, Claim>,
    /// The keys of the claims in the order in which they were granted.
    order: BTreeMap<u64, ClaimKey>,
    last_sequence: u64,
    kept_bytes: usize,
    #[serde(rename = "forgotten")]
    evicted_keys: EvictedKeys,
}

impl Claims {
    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the size of the recorded responses, in bytes.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Processes claim requests and returns their responses in the same order.
    pub fn claim(&mut self, now_ms: u64, requests: Vec<ClaimRequest>) -> Vec<ClaimResponse> {
        self.evict_old(now_ms);
        let respond = |request| self.claim_one(now_ms, request);
        requests.into_iter().map(respond).collect()
    }

    /// Records results of claimed requests.
    ///
    /// The first result is kept, except that a later one replaces "may have run", because it is more
    /// precise.
    pub fn record(&mut self, now_ms: u64, results: Vec<ClaimResult>) {
        for ClaimResult { key, result } in results {
            let Some(claim) = self.held.get_mut(&key) else {
                continue;
            };
            if claim.result.is_none() || claim.result == Some(RecordedResult::MayHaveRun) {
                self.kept_bytes += result.kept_bytes();
                claim.result = Some(result);
            }
        }
        self.evict_old(now_ms);
    }

    /// Releases claims whose requests did not run.
    ///
    /// A release is ignored unless it comes from the holder and before the claim has expired.
    pub fn release(&mut self, now_ms: u64, releases: &[ClaimRelease]) {
        for release in releases {
            let Some(claim) = self.held.get(&release.key) else {
                continue;
            };
            let is_holder = claim.entry == release.entry && claim.attempt == release.attempt;
            if is_holder && claim.result.is_none() && !claim.has_expired(now_ms) {
                self.order.remove(&claim.sequence);
                self.held.remove(&release.key);
            }
        }
    }

    fn claim_one(&mut self, now_ms: u64, request: ClaimRequest) -> ClaimResponse {
        let Some(held) = self.held.get_mut(&request.key) else {
            return self.claim_new(now_ms, request);
        };
        if held.digest != request.digest {
            return ClaimResponse::KeyReused;
        }
        if held.result.is_none() && held.has_expired(now_ms) {
            held.result = Some(RecordedResult::MayHaveRun);
        }
        match &held.result {
            Some(result) => ClaimResponse::Answered(result.clone()),
            None if held.entry == request.entry && held.attempt == request.attempt => {
                ClaimResponse::Granted
            }
            None => ClaimResponse::Held,
        }
    }

    fn claim_new(&mut self, now_ms: u64, request: ClaimRequest) -> ClaimResponse {
        let issued_at_ms = request.issued_at_ms;
        if issued_at_ms.is_some_and(|issued_ms| issued_ms > now_ms + MAX_KEY_TIME_AHEAD_MS) {
            return ClaimResponse::KeyFromFuture;
        }
        if self.evicted_keys.covers(&request.key, issued_at_ms) {
            return ClaimResponse::NoLongerKnown;
        }
        if self.held.len() >= MAX_CLAIMS || (issued_at_ms.is_none() && self.evicted_keys.is_full())
        {
            return ClaimResponse::Full;
        }
        self.last_sequence += 1;
        self.order.insert(self.last_sequence, request.key.clone());
        let claim = Claim {
            entry: request.entry,
            attempt: request.attempt,
            digest: request.digest,
            at_ms: now_ms,
            lease_ms: DurationMs::new(request.lease_ms.get().min(MAX_LEASE_MS)),
            issued_at_ms,
            result: None,
            sequence: self.last_sequence,
        };
        self.held.insert(request.key, claim);
        ClaimResponse::Granted
    }

    /// Evicts the oldest claims until the limits are met.
    ///
    /// The eviction stops at a claim that has neither a result nor expired, even if later claims
    /// could be evicted.
    fn evict_old(&mut self, now_ms: u64) {
        while let Some((sequence, key)) = self.order.first_key_value() {
            let Some(claim) = self.held.get(key) else {
                return;
            };
            let is_old = now_ms >= claim.at_ms.saturating_add(CLAIM_RETENTION_MS);
            let exceeds_limits =
                self.kept_bytes > MAX_KEPT_RESPONSE_BYTES || self.held.len() >= MAX_CLAIMS;
            let is_settled = claim.result.is_some() || claim.has_expired(now_ms);
            if !is_settled || !(is_old || exceeds_limits) {
                return;
            }
            let (sequence, key) = (*sequence, key.clone());
            self.kept_bytes -= claim.kept_bytes();
            self.evicted_keys.add(&key, claim.issued_at_ms);
            self.order.remove(&sequence);
            self.held.remove(&key);
        }
    }
}
