//! Which entry holds which configuration.
//!
//! An entry acts on a configuration only while its lease runs. A version is in force everywhere once
//! every declared entry holds it or its lease must have run out.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;

/// How long an entry may act on a configuration, counted from when it asked.
pub(crate) const LEASE_MS: DurationMs = DurationMs::new(2_500);
/// What is added to the lease here, against clocks that run at different rates.
const LEASE_MARGIN_MS: u64 = 250;

#[derive(Debug, Clone, Copy)]
struct Holding {
    version: Version,
    renewed_at_ms: u64,
}

/// Remembers the renewals that this leader has granted.
#[derive(Debug, Default)]
pub(crate) struct EntryLeases {
    holdings: BTreeMap<EntryId, Holding>,
    leading_since_ms: u64,
}

impl EntryLeases {
    /// Forgets everything at the start of a leadership.
    pub(crate) fn start_over(&mut self, now_ms: u64) {
        *self = Self {
            holdings: BTreeMap::new(),
            leading_since_ms: now_ms,
        };
    }

    /// Notes that an entry holds a version and asked for a lease.
    pub(crate) fn note(&mut self, entry: EntryId, version: Version, now_ms: u64) {
        self.holdings.insert(
            entry,
            Holding {
                version,
                renewed_at_ms: now_ms,
            },
        );
    }

    /// Returns the entries that may still act on an older version.
    pub(crate) fn lagging<'desired>(
        &self,
        desired: &'desired DesiredState,
        version: Version,
        now_ms: u64,
    ) -> Vec<&'desired EntryId> {
        let lags = |entry: &&EntryId| {
            let holding = self.holdings.get(*entry);
            let renewed_at_ms = holding.map_or(self.leading_since_ms, |held| held.renewed_at_ms);
            let lease_runs = now_ms < renewed_at_ms + LEASE_MS.get() + LEASE_MARGIN_MS;
            lease_runs && holding.is_none_or(|held| held.version < version)
        };
        desired.entries.keys().filter(lags).collect()
    }
}
