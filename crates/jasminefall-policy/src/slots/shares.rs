//! An entry's share while entries may act on different configuration versions.
//!
//! Two entries may act on different versions for the length of a lease, and the requests that they
//! started may run for the length of a request. An entry therefore uses the smallest of its shares
//! under all versions that may still be in force: a share shrinks immediately and grows after a
//! delay.

use jasminefall_core::prelude::*;

use super::home_slots;

/// How many entries may be added to the configuration before the existing ones have applied it.
pub const MAX_UNSETTLED_ENTRIES: u32 = 2;

/// Describes how a configuration version divides every backend server, as seen by this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    /// The position of this entry among the declared entries, `None` if it is not declared.
    pub position: Option<u32>,
    /// The number of declared entries.
    pub entries: u32,
}

impl Division {
    /// Returns the division that `desired` defines for the entry `name`.
    #[must_use]
    pub fn of(desired: &DesiredState, name: &EntryId) -> Self {
        let position = desired.entries.keys().position(|entry| entry == name);
        Self {
            position: position.and_then(|position| u32::try_from(position).ok()),
            entries: u32::try_from(desired.entries.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns this entry's share of the slots of a backend server.
    #[must_use]
    pub const fn share(self, slots: u32, rotation: u64) -> u32 {
        match self.position {
            Some(position) => home_slots(slots, position, self.entries, rotation),
            None => 0,
        }
    }
}

/// Holds the divisions that may still be in force at any entry.
#[derive(Debug, Default)]
pub struct Shares {
    current: Option<(Version, Division)>,
    superseded: Vec<(Division, u64)>,
    no_share_until_ms: u64,
}

impl Shares {
    /// Applies the configuration version that the entry acts on from `now_ms`.
    ///
    /// `settle_ms` is how long other entries may act on an older version or run requests started
    /// under it. After the first version the entry has no share for that time, because an earlier
    /// process of the same name may have left requests and loans behind; `is_clean_start` states
    /// that it did not. The content of a skipped version is unknown, so it counts as giving this
    /// entry no share.
    pub fn observe(
        &mut self,
        now_ms: u64,
        version: Version,
        division: Division,
        settle_ms: u64,
        is_clean_start: bool,
    ) {
        let until_ms = now_ms + settle_ms;
        match self.current {
            Some((current, _)) if version <= current => return,
            None if is_clean_start => {}
            None => self.no_share_until_ms = until_ms,
            Some((current, older)) => {
                if version != current.next() {
                    self.no_share_until_ms = until_ms;
                }
                if older != division {
                    self.superseded.push((older, until_ms));
                }
            }
        }
        self.superseded.retain(|(_, until_ms)| now_ms < *until_ms);
        self.current = Some((version, division));
    }

    /// Returns whether only the current version can be in force and the entry has its full share
    /// under it.
    #[must_use]
    pub fn is_settled(&self, now_ms: u64) -> bool {
        let has_passed = |until_ms: u64| until_ms <= now_ms;
        self.current.is_some()
            && has_passed(self.no_share_until_ms)
            && self
                .superseded
                .iter()
                .all(|(_, until_ms)| has_passed(*until_ms))
    }

    /// Returns how many of a backend server's slots this entry may use as their home.
    #[must_use]
    pub fn share(&self, now_ms: u64, slots: u32, rotation: u64) -> u32 {
        let Some((_, division)) = self.current.filter(|_| self.no_share_until_ms <= now_ms) else {
            return 0;
        };
        self.smallest_share(now_ms, division, slots, rotation)
    }

    /// Returns how many connections this entry may have open to a backend server that accepts
    /// `max_connections`.
    ///
    /// The connections of an earlier process closed when it ended, so the full share is available
    /// right after a start. The shares leave room for [`MAX_UNSETTLED_ENTRIES`] more entries,
    /// so that a newly declared entry can use borrowed slots before the others have reduced their
    /// shares.
    #[must_use]
    pub fn connections(&self, now_ms: u64, max_connections: u32) -> u32 {
        let Some((_, division)) = self
            .current
            .filter(|(_, division)| division.position.is_some())
        else {
            return 0;
        };
        let superseded = self
            .superseded
            .iter()
            .filter(|(_, until_ms)| now_ms < *until_ms);
        let entries = superseded.map(|(older, _)| older.entries);
        max_connections
            / entries
                .fold(division.entries, u32::max)
                .saturating_add(MAX_UNSETTLED_ENTRIES)
    }

    fn smallest_share(&self, now_ms: u64, division: Division, slots: u32, rotation: u64) -> u32 {
        let superseded = self
            .superseded
            .iter()
            .filter(|(_, until_ms)| now_ms < *until_ms);
        superseded
            .map(|(older, _)| older.share(slots, rotation))
            .fold(division.share(slots, rotation), u32::min)
    }
}
