//! Claim requests, their responses and the results of claimed requests.

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies a request of a caller across all entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The team of the caller.
    pub team: TeamId,
    /// The idempotency key that the caller sent.
    pub key: IdempotencyKey,
}

/// Requests the right to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Identifies the request.
    pub key: ClaimKey,
    /// The entry that wants to run it.
    pub entry: EntryId,
    /// The entry's number for this attempt, never reused, not even after a restart.
    pub attempt: u64,
    /// The SHA-256 of the request, to detect a reuse of the key for another request.
    pub digest: [u8; 32],
    /// The period during which the first byte may be sent; the entry measures it from before it
    /// sends this claim request.
    pub lease_ms: DurationMs,
    /// The time at which the key was issued, in milliseconds since 1970, if the caller gave it.
    pub issued_at_ms: Option<u64>,
}

/// Releases a claim whose request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// Identifies the request.
    pub key: ClaimKey,
    /// The entry that held the claim.
    pub entry: EntryId,
    /// The entry's number for the attempt.
    pub attempt: u64,
}

/// Carries the result of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimResult {
    /// Identifies the request.
    pub key: ClaimKey,
    /// The result of the request.
    pub result: RecordedResult,
}

/// Describes the result of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedResult {
    /// The request ran; this is the complete response.
    Kept(KeptResponse),
    /// The request ran; its response is too large to be kept.
    TooLarge {
        /// The HTTP status of the response.
        status: u16,
    },
    /// The request may have run; no complete response was received.
    MayHaveRun,
}

impl RecordedResult {
    /// Returns the size of the kept response, in bytes; zero if none is kept.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        match self {
            Self::Kept(response) => response.kept_bytes(),
            Self::TooLarge { .. } | Self::MayHaveRun => 0,
        }
    }
}

/// Holds a complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptResponse {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<KeptHeader>,
    /// The whole body of the response.
    pub body: Vec<u8>,
}

impl KeptResponse {
    /// Returns the size of the headers and the body, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        let header_bytes = |header: &KeptHeader| header.name.len() + header.value.len();
        self.body.len() + self.headers.iter().map(header_bytes).sum::<usize>()
    }
}

/// Holds one header of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptHeader {
    /// The name of the header, in lower case.
    pub name: SmolStr,
    /// The value, which may not be valid text.
    pub value: Vec<u8>,
}

/// Describes the response to a claim request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The claim is granted: the request may run, once.
    Granted,
    /// Another attempt holds the claim and has recorded no result yet.
    Held,
    /// The request has this result.
    Answered(RecordedResult),
    /// The key was used for another request.
    KeyReused,
    /// The claim of the key may have been evicted; whether the request ran is no longer known.
    NoLongerKnown,
    /// The key's time of issue lies too far ahead of the time of the state.
    KeyFromFuture,
    /// The bound on claims is reached.
    Full,
}
