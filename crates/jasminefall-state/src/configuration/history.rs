//! The published versions that are kept.

use std::collections::VecDeque;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::PublishedVersion;

/// The most versions that are kept.
pub const MAX_HISTORY_VERSIONS: usize = 500;
/// The most bytes of text that are kept in addition to the latest version.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;

/// Holds a bounded number of versions, oldest first.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(super) struct History {
    versions: VecDeque<PublishedVersion>,
    /// The total size of the texts, in bytes.
    text_bytes: usize,
}

impl History {
    pub(super) fn latest(&self) -> Option<&PublishedVersion> {
        self.versions.back()
    }

    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &PublishedVersion> {
        self.versions.iter()
    }

    pub(super) fn get(&self, version: Version) -> Option<&PublishedVersion> {
        let first = self.versions.front()?.version;
        let position = version.get().checked_sub(first.get())?;
        self.versions.get(usize::try_from(position).ok()?)
    }

    /// Adds the next version and evicts the oldest ones while a bound is exceeded.
    pub(super) fn push(&mut self, published: PublishedVersion) {
        let latest_bytes = published.text.len();
        self.text_bytes += latest_bytes;
        self.versions.push_back(published);
        while self.versions.len() > 1
            && (self.versions.len() > MAX_HISTORY_VERSIONS
                || self.text_bytes - latest_bytes > MAX_HISTORY_BYTES)
        {
            if let Some(oldest) = self.versions.pop_front() {
                self.text_bytes -= oldest.text.len();
            }
        }
    }
}
