//! Which entry holds which configuration.
//!
//! An entry acts on a configuration only while its lease runs. A version is in force everywhere once
//! every declared entry holds it or its lease must have run out.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::RenewRequest;

/// How long an entry may act on a configuration, counted from when it asked.
pub(crate) const LEASE_MS: DurationMs = DurationMs::new(2_500);
/// What is added to the lease here, against clocks that run at different rates.
const LEASE_MARGIN_MS: u64 = 250;

/// Names one process of an entry: a paused one and its replacement may live side by side.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Holder {
    entry: EntryId,
    incarnation: Incarnation,
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    version: Version,
    renewed_at_ms: u64,
}

impl Holding {
    const fn lease_runs(self, now_ms: u64) -> bool {
        lease_runs(self.renewed_at_ms, now_ms)
    }
}

const fn lease_runs(since_ms: u64, now_ms: u64) -> bool {
    now_ms < since_ms + LEASE_MS.get() + LEASE_MARGIN_MS
}

/// Remembers the renewals that this leader has granted.
#[derive(Debug, Default)]
pub(crate) struct EntryLeases {
    holdings: BTreeMap<Holder, Holding>,
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

    /// Grants a lease to an entry that the configuration declares; returns its length.
    ///
    /// An entry that is not declared gets none, and is forgotten once it says that it acts on nothing.
    pub(crate) fn renew(
        &mut self,
        configuration: &Configuration,
        request: &RenewRequest,
        now_ms: u64,
    ) -> Option<DurationMs> {
        let holder = Holder {
            entry: request.entry.clone(),
            incarnation: request.incarnation,
        };
        self.holdings
            .retain(|_, holding| holding.lease_runs(now_ms));
        let is_declared = configuration.desired().entries.contains_key(&holder.entry);
        // Before the first version there is nothing that an entry could act on.
        if !is_declared && configuration.version() > Version::default() {
            if request.holds == Version::default() {
                self.holdings.remove(&holder);
            }
            return None;
        }
        let holding = Holding {
            version: request.holds,
            renewed_at_ms: now_ms,
        };
        self.holdings.insert(holder, holding);
        Some(LEASE_MS)
    }

    /// Returns the entries that may still act on a version older than this one.
    pub(crate) fn lagging(
        &self,
        configuration: &Configuration,
        version: Version,
        now_ms: u64,
    ) -> Vec<EntryId> {
        let known = self.holdings.iter();
        let lags = known.filter(|(_, held)| held.version < version && held.lease_runs(now_ms));
        let mut lagging: Vec<EntryId> = lags.map(|(holder, _)| holder.entry.clone()).collect();
        if lease_runs(self.leading_since_ms, now_ms) {
            // The previous leader may have granted leases that are not known here.
            let declared = configuration.desired().entries.keys();
            let retired = configuration.retired_entries();
            let unheard =
                |entry: &&EntryId| !self.holdings.keys().any(|held| held.entry == **entry);
            lagging.extend(declared.chain(retired).filter(unheard).cloned());
        }
        lagging.sort();
        lagging.dedup();
        lagging
    }

    /// Returns what each live process of an entry holds.
    pub(crate) fn holdings(&self, now_ms: u64) -> impl Iterator<Item = (&EntryId, Version)> {
        self.holdings
            .iter()
            .filter(move |(_, held)| held.lease_runs(now_ms))
            .map(|(holder, held)| (&holder.entry, held.version))
    }
}

#[cfg(test)]
mod tests;
