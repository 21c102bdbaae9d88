//! An entry's share while several versions of the configuration may be in force.
//!
//! Two entries may act on different versions for as long as a lease lasts, and what they started
//! goes on for as long as a request lasts. An entry therefore uses no more than the least of its
//! shares under every version that may still matter: a share shrinks at once and grows late.

use jasminefall_core::prelude::*;

use super::home_slots;

/// How many entries may be newly declared before the older ones have settled.
pub const MAX_UNSETTLED_ENTRIES: u32 = 2;

/// Says which part of every backend server one version gives to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    /// The position of this entry among the declared ones, if it is declared.
    pub position: Option<u32>,
    /// The number of declared entries.
    pub entries: u32,
}

impl Division {
    /// Returns the division that a desired state makes for an entry.
    #[must_use]
    pub fn of(desired: &DesiredState, name: &EntryId) -> Self {
        let position = desired.entries.keys().position(|entry| entry == name);
        Self {
            position: position.and_then(|position| u32::try_from(position).ok()),
            entries: u32::try_from(desired.entries.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns this entry's share of a number of slots or connections.
    #[must_use]
    pub const fn share(self, units: u32, rotation: u64) -> u32 {
        match self.position {
            Some(position) => home_slots(units, position, self.entries, rotation),
            None => 0,
        }
    }
}

/// Holds the divisions that may still be in force at some entry.
#[derive(Debug, Default)]
pub struct Shares {
    held: Option<(Version, Division)>,
    older: Vec<(Division, u64)>,
    nothing_until_ms: u64,
}

impl Shares {
    /// Takes the version that the entry acts on from now.
    ///
    /// `settle_ms` is how long an older version, and what was started under it, may go on at another
    /// entry. The first version ever seen leaves the entry without a share for that long, because an
    /// earlier process of the same name may have left requests and loans behind; `has_no_past` says
    /// that there is nothing of the kind. A version that was skipped is not known, so it counts as one
    /// that gave this entry nothing.
    pub fn observe(
        &mut self,
        now_ms: u64,
        version: Version,
        division: Division,
        settle_ms: u64,
        has_no_past: bool,
    ) {
        let until_ms = now_ms + settle_ms;
        match self.held {
            Some((held, _)) if version <= held => return,
            None if has_no_past => {}
            None => self.nothing_until_ms = until_ms,
            Some((held, older)) => {
                if version != held.next() {
                    self.nothing_until_ms = until_ms;
                }
                if older != division {
                    self.older.push((older, until_ms));
                }
            }
        }
        self.older.retain(|(_, until_ms)| now_ms < *until_ms);
        self.held = Some((version, division));
    }

    /// Returns whether only the version held matters and the entry has its share of it.
    #[must_use]
    pub fn is_settled(&self, now_ms: u64) -> bool {
        let is_over = |until_ms: u64| until_ms <= now_ms;
        self.held.is_some()
            && is_over(self.nothing_until_ms)
            && self.older.iter().all(|(_, until_ms)| is_over(*until_ms))
    }

    /// Returns how many of a backend server's slots are this entry's own.
    #[must_use]
    pub fn share(&self, now_ms: u64, units: u32, rotation: u64) -> u32 {
        let Some((_, division)) = self.held.filter(|_| self.nothing_until_ms <= now_ms) else {
            return 0;
        };
        self.least(now_ms, division, units, rotation)
    }

    /// Returns how many connections this entry may have open to a backend server.
    ///
    /// Connections of an earlier process ended with it, so nothing is held back after a start. The
    /// shares leave room for [`MAX_UNSETTLED_ENTRIES`] entries, so that one that is newly declared can use
    /// borrowed slots before the others have settled on their smaller shares.
    #[must_use]
    pub fn connections(&self, now_ms: u64, units: u32) -> u32 {
        let Some((_, division)) = self.held.filter(|(_, held)| held.position.is_some()) else {
            return 0;
        };
        let older = self.older.iter().filter(|(_, until_ms)| now_ms < *until_ms);
        let entries = older.map(|(older, _)| older.entries);
        units
            / entries
                .fold(division.entries, u32::max)
                .saturating_add(MAX_UNSETTLED_ENTRIES)
    }

    fn least(&self, now_ms: u64, division: Division, units: u32, rotation: u64) -> u32 {
        let older = self.older.iter().filter(|(_, until_ms)| now_ms < *until_ms);
        older
            .map(|(older, _)| older.share(units, rotation))
            .fold(division.share(units, rotation), u32::min)
    }
}
