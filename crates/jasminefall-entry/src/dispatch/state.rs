//! The queues, slots and ejections of one entry.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_policy::admission::{
    AdmissionRequest, FairQueue, Grant, QueueLimits, Refused, RefusedReason, Ticket,
};
use jasminefall_policy::ejection::{BackendOutcome, Ejections, Eligibility};
use jasminefall_policy::slots::rotation_of;
use jasminefall_policy::slots::shares::Division;
use jasminefall_policy::slots::table::{AnnouncedBackend, HeldSlot, SlotTable};
use jasminefall_runtime::clock::wall_ms;
use tokio::sync::oneshot;

use super::lending::Peer;
use super::{SlotRequest, SlotResult};

/// Limits the queued requests of all services together.
const MAX_QUEUED_REQUESTS: usize = 20_000;
/// Limits the queued bytes of all services together.
const MAX_QUEUED_BYTES: usize = 128 << 20;
/// The memory of a queued request besides its body.
const REQUEST_OVERHEAD_BYTES: usize = 1 << 10;
/// The weight of a declared team with `weight = 1`; all undeclared teams together have weight 1.
const DECLARED_TEAM_WEIGHT_FACTOR: u64 = 4;
/// Limits the slots granted in one call, so that the lock is held only briefly.
const MAX_GRANTS_PER_ROUND: usize = 256;
/// The time for which a service keeps borrowed slots after it last had queued requests.
const LOAN_LINGER_MS: u64 = 500;

pub(super) type Sender = oneshot::Sender<SlotResult>;

/// Holds the queues and slots of this entry.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(super) slot_table: SlotTable,
    pub(super) services: BTreeMap<ServiceId, ServiceState>,
    pub(super) peers: BTreeMap<EntryId, Peer>,
    /// The incarnation of this process.
    pub(super) incarnation: Incarnation,
    /// The version of the configuration by which the slots are divided.
    version: Version,
    division: Division,
    /// The version at which the previous process of this entry stopped cleanly, if it did.
    clean_stop_version: Option<Version>,
    /// Whether this entry has stopped lending slots.
    pub(super) is_stopped: bool,
}

/// Holds the queue and the ejections of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) queue: FairQueue<Sender>,
    pub(super) ejections: Ejections,
    last_queued_ms: u64,
    /// The end of the reservation of one slot for another entry that has too few.
    pub(super) slot_reserved_until_ms: u64,
}

/// Holds the ticket of a queued request and the requests evicted to make room for it.
pub(super) struct Pushed {
    pub(super) ticket: Ticket,
    pub(super) evicted: Vec<(Sender, Refused)>,
}

/// Holds a slot granted to one request.
pub(super) struct Granted {
    pub(super) sender: Sender,
    pub(super) held: HeldSlot,
    pub(super) grant: Grant,
}

/// Holds the results of granting slots to one queue.
#[derive(Default)]
pub(super) struct GrantRound {
    pub(super) granted: Vec<Granted>,
    pub(super) rejected: Vec<(Sender, Refused)>,
    /// Whether requests remain queued for which another entry could lend slots.
    pub(super) loans_needed: bool,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            slot_table: SlotTable::default(),
            services: BTreeMap::new(),
            peers: BTreeMap::new(),
            incarnation: Incarnation::new(wall_ms()),
            version: Version::default(),
            division: Division {
                position: None,
                entries: 0,
            },
            clean_stop_version: None,
            is_stopped: false,
        }
    }
}

impl ServiceState {
    fn new(limits: QueueLimits) -> Self {
        Self {
            queue: FairQueue::new(limits),
            ejections: Ejections::default(),
            last_queued_ms: 0,
            slot_reserved_until_ms: 0,
        }
    }

    /// Returns whether the service still needs its borrowed slots.
    pub(super) fn needs_loans(&self, now_ms: u64) -> bool {
        !self.queue.is_empty() || now_ms < self.last_queued_ms + LOAN_LINGER_MS
    }
}

impl Dispatcher {
    /// Returns the number of queued requests of each service.
    pub(crate) fn queue_lengths(&self) -> Vec<(ServiceId, usize)> {
        let services = self.services.iter();
        services
            .map(|(name, service)| (name.clone(), service.queue.len()))
            .collect()
    }

    /// Divides the slots by a newer version of the configuration; an older one changes nothing.
    pub(super) fn configure(
        &mut self,
        now_ms: u64,
        name: &EntryId,
        version: Version,
        published_at_ms: u64,
        desired: &DesiredState,
    ) {
        if version <= self.version {
            return;
        }
        // No request can have run before the first version was published, so no earlier process can
        // have left one in progress.
        let is_fresh_site = version == Version::new(1) && published_at_ms >= self.incarnation.get();
        let is_clean_start = is_fresh_site || self.clean_stop_version == Some(version);
        let timeouts = desired.services.values().map(|service| service.timeout_ms);
        let longest_ms = timeouts.max().unwrap_or_default().get();
        self.division = Division::of(desired, name);
        self.version = version;
        self.slot_table
            .configure(now_ms, version, self.division, longest_ms, is_clean_start);
        log::info!("event=shares_divided version={version} clean_start={is_clean_start}");
    }

    /// Sets the version at which the previous process of this entry stopped cleanly.
    pub(super) const fn set_clean_stop_version(&mut self, clean_stop_version: Option<Version>) {
        self.clean_stop_version = clean_stop_version;
    }

    /// Stops lending, and returns the version in force if nothing is in progress or lent.
    pub(super) fn stop(&mut self, now_ms: u64) -> Option<Version> {
        self.is_stopped = true;
        self.slot_table.refresh(now_ms);
        self.slot_table.is_settled(now_ms).then_some(self.version)
    }

    /// Applies the merged announcements of a backend server.
    pub(super) fn announce(
        &mut self,
        now_ms: u64,
        announced: AnnouncedBackend,
        incarnation: Incarnation,
    ) {
        if let Some(service) = self.services.get_mut(&announced.service) {
            service
                .ejections
                .observe_incarnation(&announced.address, incarnation);
        }
        self.slot_table.record_announcement(now_ms, announced);
    }

    /// Queues a request.
    pub(super) fn push(
        &mut self,
        now_ms: u64,
        desired: &DesiredState,
        slot_request: &SlotRequest,
        sender: Sender,
    ) -> Result<Pushed, Refused> {
        let slots = self.reachable_slots(now_ms, &slot_request.service);
        let service = self
            .services
            .entry(slot_request.service.clone())
            .or_insert_with(|| ServiceState::new(queue_limits(desired)));
        let pushed = service.queue.push(
            now_ms,
            slots,
            admission_request(now_ms, desired, slot_request),
            sender,
        )?;
        let (ticket, evicted) = pushed;
        let refused = Refused {
            reason: RefusedReason::Full,
            wait_ms: service.queue.service_time().mean_ms(),
        };
        let evicted = evicted.into_iter().map(|sender| (sender, refused));
        Ok(Pushed {
            ticket,
            evicted: evicted.collect(),
        })
    }

    /// Removes a request from its queue.
    pub(super) fn cancel(&mut self, service: &ServiceId, ticket: &Ticket) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.cancel(ticket);
        }
    }

    /// Grants free slots of a service to its queued requests.
    pub(super) fn grant_slots(&mut self, now_ms: u64, name: &ServiceId) -> GrantRound {
        let mut round = GrantRound::default();
        let reachable = self.reachable_slots(now_ms, name);
        let longest_ms = self.slot_table.longest_request_ms();
        let Some(service) = self.services.get_mut(name) else {
            return round;
        };
        let mut rejected = Vec::new();
        while !service.queue.is_empty() && round.granted.len() < MAX_GRANTS_PER_ROUND {
            let counts = self.slot_table.counts(name);
            if now_ms < service.slot_reserved_until_ms && counts.usable <= counts.in_progress + 1 {
                break;
            }
            let (ejections, division) = (&service.ejections, self.division);
            let allows = |address: &SmolStr| {
                ejections.eligibility(now_ms, address, probe_order(division, address))
                    != Eligibility::Ejected
            };
            let held = self
                .slot_table
                .acquire(now_ms, name, now_ms + longest_ms, allows);
            let Some(held) = held else { break };
            let free = counts.usable.saturating_sub(counts.in_progress).max(1);
            let popped = service.queue.pop(now_ms, reachable, free, &mut rejected);
            let Some((grant, _, sender)) = popped else {
                self.slot_table.release(&held);
                break;
            };
            let order = probe_order(division, &held.address);
            if service.ejections.eligibility(now_ms, &held.address, order) == Eligibility::Probe {
                service.ejections.start_probe(now_ms, &held.address);
            }
            let granted = Granted {
                sender,
                held,
                grant,
            };
            round.granted.push(granted);
        }
        let refused = Refused {
            reason: RefusedReason::TooLate,
            wait_ms: service.queue.service_time().mean_ms(),
        };
        let rejected = rejected.into_iter().map(|sender| (sender, refused));
        round.rejected = rejected.collect();
        if !service.queue.is_empty() {
            service.last_queued_ms = now_ms;
            round.loans_needed = self.idle_at_peers(now_ms, name) > 0;
        }
        round
    }

    /// Releases a slot and records the outcome of the request.
    pub(super) fn release(
        &mut self,
        now_ms: u64,
        name: &ServiceId,
        held: &HeldSlot,
        grant: &Grant,
        held_ms: u64,
        outcome: BackendOutcome,
    ) {
        self.slot_table.release(held);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        // A fast failure must not lower the estimated service time, so only successes count for it.
        match outcome {
            BackendOutcome::Succeeded => service.queue.release(grant, held_ms),
            BackendOutcome::Failed | BackendOutcome::Unknown => {
                service.queue.release_unsampled(grant, held_ms);
            }
        }
        if outcome != BackendOutcome::Succeeded || service.ejections.has_failures(&held.address) {
            let ready_backends = self.slot_table.ready_backend_count(now_ms, name);
            service
                .ejections
                .record_outcome(now_ms, &held.address, outcome, ready_backends);
        }
    }

    /// Ends expired loans and removes the ejection records of unknown backend servers.
    pub(super) fn refresh(&mut self, now_ms: u64) {
        self.slot_table.refresh(now_ms);
        for service in self.services.values_mut() {
            let slot_table = &self.slot_table;
            service
                .ejections
                .retain(|address| slot_table.contains_backend(address));
        }
    }

    /// Returns the services that have queued requests.
    pub(super) fn services_with_queued(&self) -> Vec<ServiceId> {
        let queued = self.services.iter();
        let queued = queued.filter(|(_, service)| !service.queue.is_empty());
        queued.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the slots that this entry may use now or could borrow.
    fn reachable_slots(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let own = self.slot_table.counts(service).usable;
        own.saturating_add(self.idle_at_peers(now_ms, service))
    }
}

fn admission_request(
    now_ms: u64,
    desired: &DesiredState,
    slot_request: &SlotRequest,
) -> AdmissionRequest {
    let declared = desired.teams.get(&slot_request.team);
    let remaining = slot_request
        .deadline
        .saturating_duration_since(std::time::Instant::now());
    AdmissionRequest {
        team: declared.map_or_else(TeamId::default, |_| slot_request.team.clone()),
        weight: declared.map_or(1, |team| {
            team.weight.saturating_mul(DECLARED_TEAM_WEIGHT_FACTOR)
        }),
        urgency: slot_request.urgency,
        bytes: slot_request.body_bytes + REQUEST_OVERHEAD_BYTES,
        deadline_ms: now_ms + u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX / 2),
    }
}

fn queue_limits(desired: &DesiredState) -> QueueLimits {
    let services = desired.services.len().max(1);
    QueueLimits {
        requests: MAX_QUEUED_REQUESTS / services,
        bytes: MAX_QUEUED_BYTES / services,
    }
}

/// Returns the position of this entry in the order in which entries probe a backend server.
fn probe_order(division: Division, address: &str) -> u32 {
    let entries = u64::from(division.entries.max(1));
    let position = u64::from(division.position.unwrap_or_default());
    let order = (position + rotation_of(address) % entries) % entries;
    u32::try_from(order).unwrap_or_default()
}
