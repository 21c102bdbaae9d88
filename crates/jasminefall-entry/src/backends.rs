//! What backend servers announced.
//!
//! Announcements come late, twice, out of order and from several entries. What is held of an address
//! is the join of everything heard of it, so that neither order nor repetition matters: the latest
//! incarnation counts; within it "leaving" is final, and the latest announcement gives the rest.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_policy::slots::book::Announced;
use jasminefall_wire::message::{Announcement, BackendState};

/// How long an announcement counts after it was made.
///
/// An entry that hears neither of a backend server nor from other entries stops using it after this
/// time, so it bounds how long one that has left through another entry is given new work.
pub(crate) const ANNOUNCEMENT_LIFETIME_MS: u64 = 1_800;
/// How often a backend server is asked to announce itself.
pub(crate) const ANNOUNCEMENT_INTERVAL_MS: u64 = 500;
/// How long what was heard of an address is remembered against late messages.
const RETENTION_MS: u64 = 600_000;
/// How long other entries are told that a backend server is leaving.
const LEAVING_REPORT_MS: u64 = 60_000;
/// The most addresses that are remembered.
const MAX_ADDRESSES: usize = 8_192;

/// Holds one backend server as announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Backend {
    /// The service that it runs.
    pub(crate) service: ServiceId,
    /// The number of its start.
    pub(crate) incarnation: Incarnation,
    /// Whether it takes new work.
    pub(crate) state: BackendState,
    /// The requests that it takes at once.
    pub(crate) slots: u32,
    /// The connections that it takes at once.
    pub(crate) connections: u32,
    /// When it said so, by this entry's clock.
    pub(crate) announced_at_ms: u64,
}

impl Backend {
    fn merge(&self, other: &Self) -> Self {
        if self.incarnation != other.incarnation {
            let latest = if self.incarnation > other.incarnation {
                self
            } else {
                other
            };
            return latest.clone();
        }
        let mut merged = if self.rank() >= other.rank() {
            self.clone()
        } else {
            other.clone()
        };
        merged.state = self.state.max(other.state);
        merged
    }

    /// Orders the announcements of one incarnation; only the first field ever differs in practice.
    fn rank(&self) -> (u64, u32, u32, &ServiceId) {
        (
            self.announced_at_ms,
            self.slots,
            self.connections,
            &self.service,
        )
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.announced_at_ms)
    }

    const fn ready_until_ms(&self) -> u64 {
        match self.state {
            BackendState::Ready => self.announced_at_ms + ANNOUNCEMENT_LIFETIME_MS,
            BackendState::Leaving => 0,
        }
    }
}

/// Holds every backend server by address.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    by_address: BTreeMap<SmolStr, Backend>,
}

impl Backends {
    /// Takes an announcement and returns the backend server as now held, if that changed.
    pub(crate) fn announce(
        &mut self,
        now_ms: u64,
        announcement: Announcement,
    ) -> Option<(Announced, Incarnation)> {
        let address = announcement.address.clone();
        let received = Backend {
            service: announcement.service,
            incarnation: announcement.incarnation,
            state: announcement.state,
            slots: announcement.slots,
            connections: announcement.connections,
            announced_at_ms: now_ms.saturating_sub(announcement.age_ms.get()),
        };
        let held = self.by_address.get(&address);
        if held.is_none() && self.by_address.len() >= MAX_ADDRESSES {
            return None;
        }
        let merged = held.map_or_else(|| received.clone(), |held| held.merge(&received));
        if held == Some(&merged) {
            return None;
        }
        self.by_address.insert(address.clone(), merged.clone());
        let announced = Announced {
            service: merged.service.clone(),
            address,
            slots: merged.slots,
            connections: merged.connections,
            ready_until_ms: merged.ready_until_ms(),
        };
        Some((announced, merged.incarnation))
    }

    /// Returns the addresses of the backend servers of a service that take new work.
    #[cfg(test)]
    pub(crate) fn ready(&self, service: &ServiceId, now_ms: u64) -> Vec<SmolStr> {
        let all = self.by_address.iter();
        let ready = all.filter(|(_, backend)| {
            backend.service == *service && now_ms < backend.ready_until_ms()
        });
        ready.map(|(address, _)| address.clone()).collect()
    }

    /// Forgets what was last heard of so long ago that no message of it can still come.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.by_address
            .retain(|_, backend| backend.age_ms(now_ms) < RETENTION_MS);
    }

    /// Returns everything that still counts, for another entry.
    pub(crate) fn live_announcements(&self, now_ms: u64) -> Vec<Announcement> {
        let live = self.by_address.iter().filter(|(_, backend)| {
            let report_ms = match backend.state {
                BackendState::Ready => ANNOUNCEMENT_LIFETIME_MS,
                BackendState::Leaving => LEAVING_REPORT_MS,
            };
            backend.age_ms(now_ms) < report_ms
        });
        let to_announcement = |(address, backend): (&SmolStr, &Backend)| Announcement {
            service: backend.service.clone(),
            address: address.clone(),
            incarnation: backend.incarnation,
            state: backend.state,
            slots: backend.slots,
            connections: backend.connections,
            age_ms: DurationMs::new(backend.age_ms(now_ms)),
        };
        live.map(to_announcement).collect()
    }
}
