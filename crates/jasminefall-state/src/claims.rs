//! Requests that run at most once.
//!
//! A claim is held from before the first byte of its request leaves until it is forgotten. Its holder
//! may send that byte only within the claim's lease; once the lease and a margin have passed without
//! a record, the request counts as one that may have run. A claim is never granted a second time
//! unless its holder has given it back.

mod message;
mod retention;

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use message::{
    ClaimAnswer, ClaimKey, ClaimRelease, ClaimRequest, KeptAnswer, KeptHeader, RecordedAnswer,
    RecordedResult,
};
use retention::ForgottenKeys;

/// What is added to a lease before its claim is given up, against clocks that differ.
pub const LEASE_CLOCK_MARGIN_MS: u64 = 5_000;
/// The longest lease that a claim can have.
pub const MAX_LEASE_MS: u64 = 3_600_000;
/// How long an outcome is kept.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// How many claims are kept at most.
pub const MAX_CLAIMS: usize = 100_000;
/// How many bytes of recorded answers are kept at most.
pub const MAX_KEPT_ANSWER_BYTES: usize = 16 << 20;
/// How far a key's time of issue may lie ahead of the cluster's clock.
pub const MAX_KEY_TIME_AHEAD_MS: u64 = 60_000;

/// Holds one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The entry that holds the claim.
    pub entry: EntryId,
    /// The entry's number for the attempt.
    pub attempt: u64,
    /// The SHA-256 of the request.
    pub digest: [u8; 32],
    /// When the claim was made, in milliseconds since 1970.
    pub at_ms: u64,
    /// How long after the claim the first byte may leave.
    pub lease_ms: DurationMs,
    /// When the key was issued, in milliseconds since 1970, where it says so.
    pub issued_at_ms: Option<u64>,
    /// The result, once known.
    pub result: Option<RecordedResult>,
    sequence: u64,
}

impl Claim {
    const fn is_given_up(&self, now_ms: u64) -> bool {
        let until_ms = self.at_ms.saturating_add(self.lease_ms.get());
        now_ms >= until_ms.saturating_add(LEASE_CLOCK_MARGIN_MS)
    }

    fn kept_bytes(&self) -> usize {
        self.result.as_ref().map_or(0, RecordedResult::kept_bytes)
    }
}

/// Holds every claim, and what must outlast the claims that were forgotten.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Claims {
    held: BTreeMap<ClaimKey, Claim>,
    order: BTreeMap<u64, ClaimKey>,
    last_sequence: u64,
    kept_bytes: usize,
    forgotten: ForgottenKeys,
}

impl Claims {
    /// Returns how many claims are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the bytes of the recorded answers.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Judges claims in order.
    pub fn claim(&mut self, now_ms: u64, requests: Vec<ClaimRequest>) -> Vec<ClaimAnswer> {
        self.forget_old(now_ms);
        let judge = |request| self.claim_one(now_ms, request);
        requests.into_iter().map(judge).collect()
    }

    /// Records results of claimed requests.
    ///
    /// The first answer stays; an answer that comes after "may have run" replaces it, as the better
    /// knowledge.
    pub fn record(&mut self, now_ms: u64, answers: Vec<RecordedAnswer>) {
        for RecordedAnswer { key, result } in answers {
            let Some(claim) = self.held.get_mut(&key) else {
                continue;
            };
            if claim.result.is_none() || claim.result == Some(RecordedResult::MayHaveRun) {
                self.kept_bytes += result.kept_bytes();
                claim.result = Some(result);
            }
        }
        self.forget_old(now_ms);
    }

    /// Gives back claims whose requests did not run; only the holder can, and only in time.
    pub fn release(&mut self, now_ms: u64, releases: &[ClaimRelease]) {
        for release in releases {
            let Some(claim) = self.held.get(&release.key) else {
                continue;
            };
            let is_holder = claim.entry == release.entry && claim.attempt == release.attempt;
            if is_holder && claim.result.is_none() && !claim.is_given_up(now_ms) {
                self.order.remove(&claim.sequence);
                self.held.remove(&release.key);
            }
        }
    }

    fn claim_one(&mut self, now_ms: u64, request: ClaimRequest) -> ClaimAnswer {
        let Some(held) = self.held.get_mut(&request.key) else {
            return self.claim_new(now_ms, request);
        };
        if held.digest != request.digest {
            return ClaimAnswer::KeyReused;
        }
        if held.result.is_none() && held.is_given_up(now_ms) {
            held.result = Some(RecordedResult::MayHaveRun);
        }
        match &held.result {
            Some(result) => ClaimAnswer::Answered(result.clone()),
            None if held.entry == request.entry && held.attempt == request.attempt => {
                ClaimAnswer::Granted
            }
            None => ClaimAnswer::Held,
        }
    }

    fn claim_new(&mut self, now_ms: u64, request: ClaimRequest) -> ClaimAnswer {
        let issued_at_ms = request.issued_at_ms;
        if issued_at_ms.is_some_and(|issued_ms| issued_ms > now_ms + MAX_KEY_TIME_AHEAD_MS) {
            return ClaimAnswer::KeyFromFuture;
        }
        if self.forgotten.covers(&request.key, issued_at_ms) {
            return ClaimAnswer::NoLongerKnown;
        }
        if self.held.len() >= MAX_CLAIMS || (issued_at_ms.is_none() && self.forgotten.is_full()) {
            return ClaimAnswer::Full;
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
        ClaimAnswer::Granted
    }

    /// Forgets the oldest settled claims until the limits hold again.
    fn forget_old(&mut self, now_ms: u64) {
        while let Some((sequence, key)) = self.order.first_key_value() {
            let Some(claim) = self.held.get(key) else {
                return;
            };
            let is_old = now_ms >= claim.at_ms.saturating_add(CLAIM_RETENTION_MS);
            let is_over = self.kept_bytes > MAX_KEPT_ANSWER_BYTES || self.held.len() >= MAX_CLAIMS;
            let is_settled = claim.result.is_some() || claim.is_given_up(now_ms);
            if !is_settled || !(is_old || is_over) {
                return;
            }
            let (sequence, key) = (*sequence, key.clone());
            self.kept_bytes -= claim.kept_bytes();
            self.forgotten.add(&key, claim.issued_at_ms);
            self.order.remove(&sequence);
            self.held.remove(&key);
        }
    }
}
