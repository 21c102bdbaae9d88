//! Leases of entries on the configuration.
//!
//! A proxy entry uses a configuration only while its lease is valid. A version is in force
//! everywhere once every entry either holds it or cannot have a valid lease on an older version.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::RenewRequest;

/// How long an entry may use a configuration, counted from when it requested the lease.
pub(crate) const LEASE_MS: DurationMs = DurationMs::new(2_500);
/// Extends the lease on the leader, because clocks may run at different rates.
const CLOCK_DRIFT_MARGIN_MS: u64 = 250;

/// Identifies one process of an entry, because a paused process and its replacement may coexist.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct EntryProcess {
    entry: EntryId,
    incarnation: Incarnation,
}

#[derive(Debug, Clone, Copy)]
struct GrantedLease {
    /// The version that the entry held when it requested the lease.
    version: Version,
    renewed_at_ms: u64,
}

impl GrantedLease {
    const fn is_valid(self, now_ms: u64) -> bool {
        is_lease_valid(self.renewed_at_ms, now_ms)
    }
}

const fn is_lease_valid(since_ms: u64, now_ms: u64) -> bool {
    now_ms < since_ms + LEASE_MS.get() + CLOCK_DRIFT_MARGIN_MS
}

/// Holds the leases that this leader has granted.
#[derive(Debug, Default)]
pub(crate) struct EntryLeases {
    leases: BTreeMap<EntryProcess, GrantedLease>,
    leader_since_ms: u64,
}

impl EntryLeases {
    /// Removes all leases at the start of a leadership.
    pub(crate) fn reset(&mut self, now_ms: u64) {
        *self = Self {
            leases: BTreeMap::new(),
            leader_since_ms: now_ms,
        };
    }

    /// Renews the lease of an entry that the configuration declares, and returns its duration.
    ///
    /// An undeclared entry receives no lease. Its earlier lease is removed once it reports that it
    /// uses no configuration.
    pub(crate) fn renew(
        &mut self,
        configuration: &Configuration,
        request: &RenewRequest,
        now_ms: u64,
    ) -> Option<DurationMs> {
        let process = EntryProcess {
            entry: request.entry.clone(),
            incarnation: request.incarnation,
        };
        self.leases.retain(|_, lease| lease.is_valid(now_ms));
        let is_declared = configuration.desired().entries.contains_key(&process.entry);
        // Before the first version no entry can be declared, and there is no configuration to use.
        if !is_declared && configuration.version() > Version::default() {
            if request.holds == Version::default() {
                self.leases.remove(&process);
            }
            return None;
        }
        let lease = GrantedLease {
            version: request.holds,
            renewed_at_ms: now_ms,
        };
        self.leases.insert(process, lease);
        Some(LEASE_MS)
    }

    /// Returns the entries that may still use a version older than `version`.
    pub(crate) fn lagging_entries(
        &self,
        configuration: &Configuration,
        version: Version,
        now_ms: u64,
    ) -> Vec<EntryId> {
        let granted = self.leases.iter();
        let outdated =
            granted.filter(|(_, lease)| lease.version < version && lease.is_valid(now_ms));
        let mut lagging: Vec<EntryId> =
            outdated.map(|(process, _)| process.entry.clone()).collect();
        if is_lease_valid(self.leader_since_ms, now_ms) {
            // The previous leader may have granted leases of which this leader has no record.
            let declared = configuration.desired().entries.keys();
            let retired = configuration.retired_entries();
            let is_unknown =
                |entry: &&EntryId| !self.leases.keys().any(|process| process.entry == **entry);
            lagging.extend(declared.chain(retired).filter(is_unknown).cloned());
        }
        lagging.sort();
        lagging.dedup();
        lagging
    }

    /// Returns the version used by each entry process with a valid lease.
    pub(crate) fn leases(&self, now_ms: u64) -> impl Iterator<Item = (&EntryId, Version)> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.is_valid(now_ms))
            .map(|(process, lease)| (&process.entry, lease.version))
    }
}

#[cfg(test)]
mod tests;
