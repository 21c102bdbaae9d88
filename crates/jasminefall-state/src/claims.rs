//! Requests that run at most once.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies a request of a caller over all entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The team of the caller.
    pub team: TeamId,
    /// The key that the caller gave.
    pub key: IdempotencyKey,
}

/// Asks for the right to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request.
    pub key: ClaimKey,
    /// The entry that wants to run it.
    pub entry: EntryId,
    /// The entry's own number for this attempt; a resend of a lost claim carries the same.
    pub attempt: u64,
    /// The SHA-256 of operation and body.
    pub digest: [u8; 32],
}

/// Carries what came of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The request.
    pub key: ClaimKey,
    /// The HTTP status; zero where the request may have run without an answer.
    pub status: u16,
    /// The media type of the answer.
    pub content_type: SmolStr,
    /// The body of the answer.
    pub body: Vec<u8>,
}

/// Holds one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The entry that holds the claim.
    pub entry: EntryId,
    /// The entry's number for the attempt.
    pub attempt: u64,
    /// The SHA-256 of operation and body.
    pub digest: [u8; 32],
    /// When the claim was made, in milliseconds since 1970.
    pub at_ms: u64,
    /// The answer, once known.
    pub answer: Option<RecordedAnswer>,
}

/// Says what came of asking for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request may run, once.
    Granted,
    /// Another attempt holds the claim and has no answer yet.
    Held,
    /// The request has run; this is its answer.
    Answered(RecordedAnswer),
    /// The key was used for another request.
    KeyReused,
}

/// Holds every claim.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Claims {
    held: BTreeMap<ClaimKey, Claim>,
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

    /// Judges claims in order.
    pub fn claim(&mut self, now_ms: u64, requests: Vec<ClaimRequest>) -> Vec<ClaimAnswer> {
        requests
            .into_iter()
            .map(|request| self.claim_one(now_ms, request))
            .collect()
    }

    /// Records answers of claimed requests; the first answer of each stays.
    pub fn record(&mut self, _now_ms: u64, answers: Vec<RecordedAnswer>) {
        for answer in answers {
            if let Some(claim) = self.held.get_mut(&answer.key) {
                claim.answer.get_or_insert(answer);
            }
        }
    }

    fn claim_one(&mut self, now_ms: u64, request: ClaimRequest) -> ClaimAnswer {
        let ClaimRequest {
            key,
            entry,
            attempt,
            digest,
        } = request;
        let Some(held) = self.held.get(&key) else {
            self.held.insert(
                key,
                Claim {
                    entry,
                    attempt,
                    digest,
                    at_ms: now_ms,
                    answer: None,
                },
            );
            return ClaimAnswer::Granted;
        };
        if held.digest != digest {
            return ClaimAnswer::KeyReused;
        }
        match &held.answer {
            Some(answer) => ClaimAnswer::Answered(answer.clone()),
            None if held.entry == entry && held.attempt == attempt => ClaimAnswer::Granted,
            None => ClaimAnswer::Held,
        }
    }
}
