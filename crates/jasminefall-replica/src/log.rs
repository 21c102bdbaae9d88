//! The entries held in memory: those after the last snapshot.

use crate::entry::{Entry, Membership, Payload, Snapshot};
use crate::types::{LogIndex, Term};

/// Holds the latest snapshot and the entries after it.
#[derive(Debug, Clone, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log from a snapshot and the entries that follow it.
    #[must_use]
    pub const fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self { snapshot, entries }
    }

    /// Returns the latest snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns how many entries are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the term at an index, if it is still known.
    #[must_use]
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.position(index)
            .map(|position| self.entries[position].term)
    }

    /// Returns up to `limit` entries that follow `index`.
    #[must_use]
    pub fn after(&self, index: LogIndex, limit: usize) -> &[Entry] {
        let skipped = usize::try_from(index.0.saturating_sub(self.snapshot.index.0));
        let start = skipped.unwrap_or(usize::MAX).min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Returns the entries in `(from, to]`.
    #[must_use]
    pub fn between(&self, from: LogIndex, to: LogIndex) -> &[Entry] {
        let count = usize::try_from(to.0.saturating_sub(from.0)).unwrap_or(usize::MAX);
        self.after(from, count)
    }

    /// Appends an entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.entries.push(entry);
    }

    /// Removes every entry from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Puts a snapshot in place of the entries that it covers.
    ///
    /// Entries after it stay where they agree with it; otherwise all are dropped.
    pub fn install(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.snapshot.index {
            return;
        }
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// Returns the newest membership that the log holds.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.membership_at(self.last_index())
    }

    /// Returns the newest membership at or before `index`.
    #[must_use]
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        let newest = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index)
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some(membership),
                Payload::Noop | Payload::Command(_) => None,
            });
        newest.unwrap_or(&self.snapshot.membership)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        usize::try_from(offset)
            .ok()
            .filter(|offset| *offset < self.entries.len())
    }
}
