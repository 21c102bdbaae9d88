//! What must outlast forgotten claims, so that none of them is granted again.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::ClaimKey;

/// How many undated keys are remembered after their claims were forgotten.
pub(super) const MAX_UNDATED_KEYS: usize = 250_000;
const DIGEST_BYTES: usize = 16;

/// Remembers which keys were used by claims that are no longer held.
///
/// Keys that carry their time of issue need one number: the latest such time among the forgotten.
/// Of other keys a digest each is kept, without end; once there is no room left for more, new claims
/// with such keys are refused.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(super) struct ForgottenKeys {
    issued_until_ms: Option<u64>,
    undated: BTreeSet<[u8; DIGEST_BYTES]>,
}

impl ForgottenKeys {
    /// Remembers that a claim with this key was held.
    pub(super) fn add(&mut self, key: &ClaimKey, issued_at_ms: Option<u64>) {
        match issued_at_ms {
            Some(issued_at_ms) => {
                self.issued_until_ms = self.issued_until_ms.max(Some(issued_at_ms));
            }
            None => {
                self.undated.insert(digest(key));
            }
        }
    }

    /// Returns whether a claim with this key may have been held.
    pub(super) fn covers(&self, key: &ClaimKey, issued_at_ms: Option<u64>) -> bool {
        match issued_at_ms {
            Some(issued_at_ms) => self
                .issued_until_ms
                .is_some_and(|until_ms| issued_at_ms <= until_ms),
            None => !self.undated.is_empty() && self.undated.contains(&digest(key)),
        }
    }

    /// Returns whether no further undated key can be remembered.
    pub(super) fn is_full(&self) -> bool {
        self.undated.len() >= MAX_UNDATED_KEYS
    }
}

fn digest(key: &ClaimKey) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    let team = key.team.as_str();
    hasher.update((team.len() as u64).to_be_bytes());
    hasher.update(team.as_bytes());
    hasher.update(key.key.as_str().as_bytes());
    let whole: [u8; 32] = hasher.finalize().into();
    let mut short = [0; DIGEST_BYTES];
    short.copy_from_slice(&whole[..DIGEST_BYTES]);
    short
}
