//! The in-memory log: the latest snapshot and the entries after it.

use std::collections::BTreeMap;

use crate::entry::{Entry, Membership, Payload, Snapshot};
use crate::types::{LogIndex, Term};

/// Holds the latest snapshot and the entries after it.
#[derive(Debug, Clone, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    memberships: BTreeMap<LogIndex, Membership>,
    size_bytes: usize,
}

impl Log {
    /// Creates a log from a snapshot and the consecutive entries after it.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            ..Self::default()
        };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// Returns the latest snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry, or of the snapshot if no entry follows it.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the last entry, or of the snapshot if no entry follows it.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the number of entries after the snapshot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry follows the snapshot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the term at an index, or `None` if it is before the snapshot or after the last entry.
    #[must_use]
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.position(index)
            .map(|position| self.entries[position].term)
    }

    /// Returns at most `limit` entries after `index`.
    #[must_use]
    pub fn entries_after(&self, index: LogIndex, limit: usize) -> &[Entry] {
        let skipped = usize::try_from(index.0.saturating_sub(self.snapshot.index.0));
        let start = skipped.unwrap_or(usize::MAX).min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Returns at most `limit` entries after `index` whose commands total at most `limit_bytes`.
    ///
    /// The first entry is returned even if it alone exceeds `limit_bytes`.
    #[must_use]
    pub fn batch_after(&self, index: LogIndex, limit: usize, limit_bytes: usize) -> &[Entry] {
        let entries = self.entries_after(index, limit);
        let mut total_bytes = 0;
        let fitting = entries.iter().position(|entry| {
            total_bytes += entry.payload.size_bytes();
            total_bytes > limit_bytes
        });
        &entries[..fitting.map_or(entries.len(), |count| count.max(1))]
    }

    /// Returns the total size of the commands after the snapshot, in bytes.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Returns the index of the latest membership entry, or of the snapshot if there is none.
    #[must_use]
    pub fn membership_index(&self) -> LogIndex {
        self.memberships
            .last_key_value()
            .map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// Returns the entries in the half-open range `(from, to]`.
    #[must_use]
    pub fn entries_between(&self, from: LogIndex, to: LogIndex) -> &[Entry] {
        let count = usize::try_from(to.0.saturating_sub(from.0)).unwrap_or(usize::MAX);
        self.entries_after(from, count)
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.size_bytes += entry.payload.size_bytes();
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.insert(entry.index, membership.clone());
        }
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all later entries.
    pub fn truncate_from(&mut self, index: LogIndex) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
            self.memberships.split_off(&index);
            self.update_size();
        }
    }

    /// Replaces the entries that a snapshot covers; ignores a snapshot that is not newer.
    ///
    /// Later entries are kept if the log matches the snapshot; otherwise all entries are dropped.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.snapshot.index {
            return;
        }
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            let covered_count = self.position(snapshot.index).map_or(0, |last| last + 1);
            self.entries.drain(..covered_count);
            self.memberships = self.memberships.split_off(&snapshot.index.next());
        } else {
            self.entries.clear();
            self.memberships.clear();
        }
        self.snapshot = snapshot;
        self.update_size();
    }

    /// Returns the membership in effect: the latest one in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.membership_at(self.last_index())
    }

    /// Returns the membership in effect at `index`.
    #[must_use]
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        let newest = self.memberships.range(..=index).next_back();
        newest.map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    fn update_size(&mut self) {
        let sizes = self.entries.iter().map(|entry| entry.payload.size_bytes());
        self.size_bytes = sizes.sum();
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        usize::try_from(offset)
            .ok()
            .filter(|offset| *offset < self.entries.len())
    }
}
