//! The keys of evicted claims, kept so that no such claim is granted again.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::ClaimKey;

/// The most keys without a time of issue that are kept after their claims were evicted.
pub(super) const MAX_UNDATED_KEYS: usize = 250_000;
const DIGEST_BYTES: usize = 16;

/// Holds the keys of evicted claims.
///
/// For keys that carry their time of issue, the latest such time of any evicted claim suffices. For
/// each other key a digest is kept forever; once [`MAX_UNDATED_KEYS`] are kept, new claims with
/// such keys are refused.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(super) struct EvictedKeys {
    issued_until_ms: Option<u64>,
    undated: BTreeSet<[u8; DIGEST_BYTES]>,
}

impl EvictedKeys {
    /// Adds the key of an evicted claim.
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

    /// Returns whether a claim with this key may have been evicted.
    pub(super) fn covers(&self, key: &ClaimKey, issued_at_ms: Option<u64>) -> bool {
        match issued_at_ms {
            Some(issued_at_ms) => self
                .issued_until_ms
                .is_some_and(|until_ms| issued_at_ms <= until_ms),
            None => !self.undated.is_empty() && self.undated.contains(&digest(key)),
        }
    }

    /// Returns whether no further key without a time of issue can be kept.
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
