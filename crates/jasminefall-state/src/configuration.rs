//! Published versions of the desired state.
//!
//! Publishing is compare-and-set on the version that a text was written against. The text is judged
//! before it is proposed, by the leader alone: what stands here only compares versions and names, so
//! that replicas of different program versions cannot come to different outcomes. The objects are
//! derived from the latest text and never stored.
//!
//! A change is published at most once even after its answer has been forgotten: its base is then an
//! older version for good, because versions only grow.

mod answers;
mod history;

use std::collections::BTreeMap;
use std::sync::Arc;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use self::answers::Answers;
pub use self::answers::MAX_CHANGE_ANSWERS;
use self::history::History;
pub use self::history::{MAX_HISTORY_BYTES, MAX_HISTORY_VERSIONS};
use crate::outcome::{Outcome, Refusal};

/// For how long an entry that is declared no longer is remembered; far longer than any lease.
const RETIRED_ENTRY_RETENTION_MS: u64 = 3_600_000;

/// Asks for a desired state to be published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Names the change, so that a resend gets the first answer again.
    pub change: ChangeId,
    /// Who asks.
    pub operator: SmolStr,
    /// The version that the text was written against.
    pub base: Version,
    /// The INI text.
    pub text: String,
}

impl ApplyRequest {
    /// Returns the hash of what is asked, by which a reuse of the change's name is told from a resend.
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
    /// The version.
    pub version: Version,
    /// Who published it.
    pub operator: SmolStr,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// The INI text.
    pub text: Arc<str>,
    /// The change that published it.
    pub change: ChangeId,
}

/// Holds the published versions and what each change was answered.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    history: History,
    answers: Answers,
    /// The entries that are declared no longer, with the time of their removal.
    retired_entries: BTreeMap<EntryId, u64>,
    /// When the first version was published, in milliseconds since 1970; zero before.
    first_published_at_ms: u64,
    #[serde(skip)]
    desired: Arc<DesiredState>,
}

impl Configuration {
    /// Returns the latest published version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.latest()
            .map(|published| published.version)
            .unwrap_or_default()
    }

    /// Returns the latest published text with its origin.
    #[must_use]
    pub fn latest(&self) -> Option<&PublishedVersion> {
        self.history.latest()
    }

    /// Returns the objects of the latest version.
    #[must_use]
    pub const fn desired(&self) -> &Arc<DesiredState> {
        &self.desired
    }

    /// Returns the versions kept, oldest first.
    #[must_use]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &PublishedVersion> {
        self.history.iter()
    }

    /// Returns a version if it is still kept.
    #[must_use]
    pub fn published(&self, version: Version) -> Option<&PublishedVersion> {
        self.history.get(version)
    }

    /// Returns when the first version was published, in milliseconds since 1970; zero before.
    #[must_use]
    pub const fn first_published_at_ms(&self) -> u64 {
        self.first_published_at_ms
    }

    /// Returns the entries that were declared in the last hour and are declared no longer.
    pub fn retired_entries(&self) -> impl Iterator<Item = &EntryId> {
        self.retired_entries.keys()
    }

    /// Returns what a change was answered, if it is remembered.
    #[must_use]
    pub fn answer_to(&self, request: &ApplyRequest) -> Option<Outcome> {
        self.answers.get(&request.change, &request.digest())
    }

    /// Publishes a judged text if it was written against the latest version.
    pub fn apply(&mut self, now_ms: u64, request: ApplyRequest) -> Outcome {
        if let Some(answer) = self.answer_to(&request) {
            return answer;
        }
        let (change, digest) = (request.change.clone(), request.digest());
        let answer = match self.conflict(&request) {
            Some(refusal) => Outcome::Refused(refusal),
            None => Outcome::Published(self.publish(now_ms, request)),
        };
        self.answers.insert(change, digest, answer.clone());
        answer
    }

    /// Derives the objects from the latest text; called once after the state has been read.
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
