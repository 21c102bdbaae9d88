//! Published versions of the desired state.
//!
//! Publishing is a compare-and-set on the version that a text was written against. Only the leader
//! validates a text, before it proposes the change. This module compares only versions and
//! identifiers, so that replicas of different program versions cannot reach different outcomes. The
//! objects are parsed from the latest text and never stored.
//!
//! A change is published at most once even after its outcome has been evicted, because versions only
//! increase: the base of the change then stays older than the latest version.

mod history;
mod outcomes;

use std::collections::BTreeMap;
use std::sync::Arc;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use self::history::History;
pub use self::history::{MAX_HISTORY_BYTES, MAX_HISTORY_VERSIONS};
use self::outcomes::ChangeOutcomes;
pub use self::outcomes::MAX_CHANGE_OUTCOMES;
use crate::outcome::{Outcome, Refusal};

/// The least time for which an entry removed from the desired state is kept; far longer than any
/// lease.
const RETIRED_ENTRY_RETENTION_MS: u64 = 3_600_000;

/// Requests the publication of a desired state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies the change, so that a resend gets the first outcome again.
    pub change: ChangeId,
    /// The operator who requests it.
    pub operator: SmolStr,
    /// The version that the text was written against.
    pub base: Version,
    /// The INI text.
    pub text: String,
}

impl ApplyRequest {
    /// Returns the hash of base and text, which distinguishes a resend from another change with the
    /// same identifier.
    fn digest(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        hash.update(self.base.get().to_le_bytes());
        hash.update(self.text.as_bytes());
        hash.finalize().into()
    }
}

/// Holds one published version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// The number of the version.
    pub version: Version,
    /// The operator who published it.
    pub operator: SmolStr,
    /// The time of publication, in milliseconds since 1970.
    pub at_ms: u64,
    /// The INI text.
    pub text: Arc<str>,
    /// The change that published it.
    pub change: ChangeId,
}

/// Holds the published versions and the outcomes of the latest changes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    history: History,
    answers: ChangeOutcomes,
    /// The entries removed from the desired state, with the time of removal in ms since 1970.
    retired_entries: BTreeMap<EntryId, u64>,
    /// The time of the first publication, in milliseconds since 1970; zero before it.
    first_published_at_ms: u64,
    #[serde(skip)]
    desired: Arc<DesiredState>,
}

impl Configuration {
    /// Returns the number of the latest published version; zero before the first publication.
    #[must_use]
    pub fn version(&self) -> Version {
        self.latest()
            .map(|published| published.version)
            .unwrap_or_default()
    }

    /// Returns the latest published version with its text and origin.
    #[must_use]
    pub fn latest(&self) -> Option<&PublishedVersion> {
        self.history.latest()
    }

    /// Returns the objects of the latest version.
    #[must_use]
    pub const fn desired(&self) -> &Arc<DesiredState> {
        &self.desired
    }

    /// Returns the kept versions, oldest first.
    #[must_use]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &PublishedVersion> {
        self.history.iter()
    }

    /// Returns a version if it is still kept.
    #[must_use]
    pub fn published(&self, version: Version) -> Option<&PublishedVersion> {
        self.history.get(version)
    }

    /// Returns the time of the first publication, in milliseconds since 1970; zero before it.
    #[must_use]
    pub const fn first_published_at_ms(&self) -> u64 {
        self.first_published_at_ms
    }

    /// Returns the entries that were removed from the desired state.
    ///
    /// Each is kept for at least an hour, until a later publication.
    pub fn retired_entries(&self) -> impl Iterator<Item = &EntryId> {
        self.retired_entries.keys()
    }

    /// Returns the recorded outcome of the change, if it is still kept.
    #[must_use]
    pub fn recorded_outcome(&self, request: &ApplyRequest) -> Option<Outcome> {
        self.answers.get(&request.change, &request.digest())
    }

    /// Publishes a validated text if it was written against the latest version.
    pub fn apply(&mut self, now_ms: u64, request: ApplyRequest) -> Outcome {
        if let Some(outcome) = self.recorded_outcome(&request) {
            return outcome;
        }
        let (change, digest) = (request.change.clone(), request.digest());
        let outcome = match self.conflict(&request) {
            Some(refusal) => Outcome::Refused(refusal),
            None => Outcome::Published(self.publish(now_ms, request)),
        };
        self.answers.insert(change, digest, outcome.clone());
        outcome
    }

    /// Parses the objects from the latest text; also called once after a snapshot has been decoded.
    pub(crate) fn parse_latest(&mut self) {
        let text = self.latest().map(|published| published.text.clone());
        let text = text.unwrap_or_default();
        self.desired = Arc::new(DesiredState::read_published(&text));
    }

    fn conflict(&self, request: &ApplyRequest) -> Option<Refusal> {
        let current = self.version();
        if current == request.base {
            return None;
        }
        let latest = self.latest().cloned().unwrap_or_default();
        Some(Refusal::Conflict {
            current,
            operator: latest.operator,
            at_ms: latest.at_ms,
        })
    }

    fn publish(&mut self, now_ms: u64, request: ApplyRequest) -> Version {
        let version = self.version().next();
        if version == Version::default().next() {
            self.first_published_at_ms = now_ms;
        }
        let before = self.desired.clone();
        self.history.push(PublishedVersion {
            version,
            operator: request.operator,
            at_ms: now_ms,
            text: request.text.into(),
            change: request.change,
        });
        self.parse_latest();
        self.retire_entries(now_ms, &before);
        version
    }

    fn retire_entries(&mut self, now_ms: u64, before: &DesiredState) {
        let declared = &self.desired.entries;
        self.retired_entries.retain(|entry, retired_at_ms| {
            !declared.contains_key(entry)
                && now_ms < retired_at_ms.saturating_add(RETIRED_ENTRY_RETENTION_MS)
        });
        for entry in before.entries.keys() {
            if !declared.contains_key(entry) {
                self.retired_entries.insert(entry.clone(), now_ms);
            }
        }
    }
}
