//! What is asked of the claims, and what they answer.

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
    /// The entry's own number for this attempt, never used again, also not after a restart.
    pub attempt: u64,
    /// The SHA-256 of the request.
    pub digest: [u8; 32],
    /// How long, counted from before the claim was sent, the first byte may leave.
    pub lease_ms: DurationMs,
    /// When the key was issued, in milliseconds since 1970, where it says so.
    pub issued_at_ms: Option<u64>,
}

/// Gives back a claim whose request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The request.
    pub key: ClaimKey,
    /// The entry that held the claim.
    pub entry: EntryId,
    /// The entry's number for the attempt.
    pub attempt: u64,
}

/// Carries what came of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The request.
    pub key: ClaimKey,
    /// What came of it.
    pub result: RecordedResult,
}

/// Says what came of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedResult {
    /// It ran and this is the whole answer.
    Kept(KeptAnswer),
    /// It ran and was answered; the answer is too large to be kept.
    TooLarge {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// It may have run; no whole answer came.
    MayHaveRun,
}

impl RecordedResult {
    /// Returns the bytes that the result takes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        match self {
            Self::Kept(answer) => answer.kept_bytes(),
            Self::TooLarge { .. } | Self::MayHaveRun => 0,
        }
    }
}

/// Holds a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<KeptHeader>,
    /// The body.
    pub body: Vec<u8>,
}

impl KeptAnswer {
    /// Returns the bytes of headers and body.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        let header_bytes = |header: &KeptHeader| header.name.len() + header.value.len();
        self.body.len() + self.headers.iter().map(header_bytes).sum::<usize>()
    }
}

/// Holds one header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptHeader {
    /// The name.
    pub name: SmolStr,
    /// The value, which need not be text.
    pub value: Vec<u8>,
}

/// Says what came of asking for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request may run, once.
    Granted,
    /// Another attempt holds the claim and has no result yet.
    Held,
    /// This has come of the request.
    Answered(RecordedResult),
    /// The key was used for another request.
    KeyReused,
    /// The key is older than what is remembered; whether the request ran is no longer known.
    NoLongerKnown,
    /// The key claims to be issued in the future.
    KeyFromFuture,
    /// No more claims can be remembered now.
    Full,
}
