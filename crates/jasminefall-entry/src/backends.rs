//! The backend servers, by their announcements.
//!
//! Announcements may be late, duplicated, reordered and relayed by several entries. The state of an
//! address is the merge of all announcements received for it, so that neither order nor repetition
//! matters: the latest incarnation wins; within it, "leaving" is final and the latest announcement
//! sets the other fields.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_policy::slots::table::AnnouncedBackend;
use jasminefall_wire::message::{Announcement, BackendState};

/// The validity of an announcement, from the time at which it was made.
///
/// An entry that receives no announcement of a backend server stops using it after this time. This
/// bounds how long an isolated entry still sends requests to a backend server that has announced to
/// another entry that it is leaving.
pub(crate) const ANNOUNCEMENT_LIFETIME_MS: u64 = 1_800;
/// Returned to backend servers as the interval at which to announce themselves.
pub(crate) const ANNOUNCEMENT_INTERVAL_MS: u64 = 500;
/// The time for which the last announcement of an address is kept, to guard against late messages.
const RETENTION_MS: u64 = 600_000;
/// The time for which an entry reports to other entries that a backend server is leaving.
const LEAVING_REPORT_MS: u64 = 60_000;
const MAX_BACKEND_ADDRESSES: usize = 8_192;

/// Holds the merged announcements of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Backend {
    pub(crate) service: ServiceId,
    /// Identifies the start of the process; a later start has a larger number.
    pub(crate) incarnation: Incarnation,
    /// Whether the backend server accepts new requests.
    pub(crate) state: BackendState,
    /// The limit on concurrent requests.
    pub(crate) slots: u32,
    /// The limit on concurrent connections.
    pub(crate) connections: u32,
    /// The time of the latest announcement, by this entry's clock.
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

    /// Orders the announcements of one incarnation; in practice only the first field differs.
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

/// Holds the backend servers by address.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    by_address: BTreeMap<SmolStr, Backend>,
}

impl Backends {
    /// Merges an announcement and returns the resulting backend server if it changed.
    pub(crate) fn announce(
        &mut self,
        now_ms: u64,
        announcement: Announcement,
    ) -> Option<(AnnouncedBackend, Incarnation)> {
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
        if held.is_none() && self.by_address.len() >= MAX_BACKEND_ADDRESSES {
            return None;
        }
        let merged = held.map_or_else(|| received.clone(), |held| held.merge(&received));
        if held == Some(&merged) {
            return None;
        }
        self.by_address.insert(address.clone(), merged.clone());
        let announced = AnnouncedBackend {
            service: merged.service.clone(),
            address,
            slots: merged.slots,
            connections: merged.connections,
            ready_until_ms: merged.ready_until_ms(),
        };
        Some((announced, merged.incarnation))
    }

    /// Returns the addresses of the backend servers of a service that accept new requests.
    #[cfg(test)]
    pub(crate) fn ready(&self, service: &ServiceId, now_ms: u64) -> Vec<SmolStr> {
        let all = self.by_address.iter();
        let ready = all.filter(|(_, backend)| {
            backend.service == *service && now_ms < backend.ready_until_ms()
        });
        ready.map(|(address, _)| address.clone()).collect()
    }

    /// Removes the backend servers announced so long ago that no late message can still arrive.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.by_address
            .retain(|_, backend| backend.age_ms(now_ms) < RETENTION_MS);
    }

    /// Returns the announcements that are still valid, to be sent to another entry.
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
