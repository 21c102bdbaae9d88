//! What backend servers announced.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_wire::message::{Announcement, BackendState};

/// How long an announcement counts after it was made.
pub(crate) const ANNOUNCEMENT_LIFETIME_MS: u64 = 5_000;

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

/// Holds every backend server by address.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    by_address: BTreeMap<SmolStr, Backend>,
}

impl Backends {
    /// Takes an announcement and returns whether it said anything new.
    ///
    /// An older incarnation changes nothing; within one incarnation "leaving" is final.
    pub(crate) fn announce(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        let announced_at_ms = now_ms.saturating_sub(announcement.age_ms.get());
        let mut backend = Backend {
            service: announcement.service,
            incarnation: announcement.incarnation,
            state: announcement.state,
            slots: announcement.slots,
            connections: announcement.connections,
            announced_at_ms,
        };
        if let Some(held) = self.by_address.get(&announcement.address) {
            if backend.incarnation < held.incarnation {
                return false;
            }
            if backend.incarnation == held.incarnation {
                backend.state = backend.state.max(held.state);
                if announced_at_ms <= held.announced_at_ms && backend.state == held.state {
                    return false;
                }
                backend.announced_at_ms = announced_at_ms.max(held.announced_at_ms);
            }
        }
        self.by_address.insert(announcement.address, backend);
        true
    }

    /// Returns the backend servers of a service that take new work.
    pub(crate) fn ready<'backends>(
        &'backends self,
        service: &'backends ServiceId,
        now_ms: u64,
    ) -> impl Iterator<Item = (&'backends SmolStr, &'backends Backend)> {
        self.by_address.iter().filter(move |(_, backend)| {
            backend.service == *service
                && backend.state == BackendState::Ready
                && now_ms < backend.announced_at_ms + ANNOUNCEMENT_LIFETIME_MS
        })
    }

    /// Returns everything that still counts, for another entry.
    pub(crate) fn news(&self, now_ms: u64) -> Vec<Announcement> {
        let live = self
            .by_address
            .iter()
            .filter(|(_, backend)| now_ms < backend.announced_at_ms + ANNOUNCEMENT_LIFETIME_MS);
        let tell = |(address, backend): (&SmolStr, &Backend)| Announcement {
            service: backend.service.clone(),
            address: address.clone(),
            incarnation: backend.incarnation,
            state: backend.state,
            slots: backend.slots,
            connections: backend.connections,
            age_ms: DurationMs::new(now_ms.saturating_sub(backend.announced_at_ms)),
        };
        live.map(tell).collect()
    }
}
