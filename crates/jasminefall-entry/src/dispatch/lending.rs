//! Messages to and from other entries, and loans of slots.

use jasminefall_core::prelude::*;
use jasminefall_policy::ejection::EjectionUpdate;
use jasminefall_policy::slots::table::Loan;
use jasminefall_wire::message::{Ejection, ExchangeMessage, ServiceCount, SlotLoan};

use super::state::Dispatcher;

/// The time for which another entry's report of idle slots is used.
const IDLE_REPORT_LIFETIME_MS: u64 = 600;
/// An entry with queued requests lends only to an entry that has at least this many fewer slots.
const MIN_SLOT_SURPLUS: u32 = 2;
/// The time for which a slot is kept free for another entry that has too few.
const SLOT_RESERVATION_MS: u64 = 400;
/// A lender keeps one in this many of its idle slots for itself.
const IDLE_RESERVE_DIVISOR: u32 = 4;

/// Holds the last reply of another entry and the state of the queries to it.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// The incarnation of its process.
    incarnation: Incarnation,
    /// The sequence number of the last query to it.
    sequence: u64,
    /// The slots that it could lend.
    idle: Vec<ServiceCount>,
    /// The time at which the query was sent that it answered last.
    queried_at_ms: u64,
}

impl Peer {
    fn idle(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let reported = self.idle.iter().find(|idle| idle.service == *service);
        let reported = reported.filter(|_| now_ms < self.queried_at_ms + IDLE_REPORT_LIFETIME_MS);
        reported.map_or(0, |idle| idle.count)
    }
}

impl Dispatcher {
    /// Returns the part of a message that is the same for every other entry.
    pub(crate) fn peer_message(&self, now_ms: u64, name: EntryId) -> ExchangeMessage {
        ExchangeMessage {
            entry: name,
            start: self.incarnation,
            idle: self.lendable_slots(now_ms),
            ejections: self.ejections(now_ms),
            ..ExchangeMessage::default()
        }
    }

    /// Adds the loan request for one other entry to a message.
    pub(crate) fn add_loan_request(
        &mut self,
        now_ms: u64,
        name: &EntryId,
        message: &mut ExchangeMessage,
    ) {
        let wants = self.wanted_slots(now_ms, name);
        let peer = self.peers.entry(name.clone()).or_default();
        peer.sequence += 1;
        message.sequence = peer.sequence;
        message.held_of = peer.incarnation;
        let services = &self.services;
        let needed = |service: &ServiceId| {
            let service = services.get(service);
            service.is_some_and(|service| service.needs_loans(now_ms))
        };
        message.held = self
            .slot_table
            .retain_needed_loans(now_ms, name, peer.incarnation, needed);
        message.has = self.usable_slots(&wants);
        message.wants = wants;
    }

    /// Grants loans to another entry on request; without `may_lend`, only reconciles and returns
    /// earlier loans.
    pub(crate) fn process_loan_request(
        &mut self,
        now_ms: u64,
        message: &ExchangeMessage,
        may_lend: bool,
    ) -> Vec<SlotLoan> {
        let is_own_incarnation = message.held_of == self.incarnation;
        let held: &[u64] = if is_own_incarnation {
            &message.held
        } else {
            &[]
        };
        if !self
            .slot_table
            .reconcile(&message.entry, message.start, message.sequence, held)
        {
            return Vec::new();
        }
        let mut loans = Vec::new();
        for want in &message.wants {
            let has = message.has.iter().find(|has| has.service == want.service);
            let has = has.map_or(0, |has| has.count);
            let has_surplus =
                self.slot_table.counts(&want.service).usable >= has + MIN_SLOT_SURPLUS;
            let has_backlog = self.has_backlog(&want.service);
            if has_surplus || !has_backlog {
                self.slot_table.recall_loans(&message.entry, &want.service);
            }
            if may_lend && !self.is_stopped && is_own_incarnation && (has_surplus || !has_backlog) {
                loans.extend(self.lend(now_ms, message, want, has_backlog));
            }
        }
        loans.into_iter().map(to_wire).collect()
    }

    /// Lends idle slots; if requests are queued here too, lends one slot or reserves the next free
    /// one.
    fn lend(
        &mut self,
        now_ms: u64,
        message: &ExchangeMessage,
        want: &ServiceCount,
        has_backlog: bool,
    ) -> Vec<Loan> {
        let idle = self.slot_table.lendable_slots(now_ms, &want.service);
        let (count, reserve) = if has_backlog {
            (1, 0)
        } else {
            (want.count, idle / IDLE_RESERVE_DIVISOR)
        };
        let (entry, incarnation) = (&message.entry, message.start);
        let loans = self
            .slot_table
            .lend(now_ms, entry, incarnation, &want.service, count, reserve);
        if let Some(service) = self.services.get_mut(&want.service) {
            let must_reserve = has_backlog && loans.is_empty();
            service.slot_reserved_until_ms = if must_reserve {
                now_ms + SLOT_RESERVATION_MS
            } else {
                0
            };
        }
        loans
    }

    /// Applies another entry's response to the query sent at `sent_at_ms`, which bounds its age.
    pub(crate) fn apply_response(&mut self, sent_at_ms: u64, response: ExchangeMessage) {
        let peer = self.peers.entry(response.entry.clone()).or_default();
        peer.incarnation = response.start;
        peer.idle = response.idle;
        peer.queried_at_ms = sent_at_ms;
        let loans = response.loans.into_iter().map(from_wire).collect();
        self.slot_table
            .add_loans(sent_at_ms, &response.entry, response.start, loans);
    }

    /// Applies the ejections and reinstatements of backend servers reported by another entry.
    pub(crate) fn apply_ejections(&mut self, now_ms: u64, ejections: &[Ejection]) {
        for ejection in ejections {
            let ready_backends = self
                .slot_table
                .ready_backend_count(now_ms, &ejection.service);
            if let Some(service) = self.services.get_mut(&ejection.service) {
                let update = EjectionUpdate {
                    address: ejection.address.clone(),
                    incarnation: ejection.incarnation,
                    consecutive_ejections: ejection.strikes,
                    age_ms: ejection.age_ms.get(),
                };
                service
                    .ejections
                    .apply_update(now_ms, &update, ready_backends);
            }
        }
    }

    /// Returns the slots of a service that other entries reported as idle.
    pub(super) fn idle_at_peers(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let peers = self.peers.values();
        peers.map(|peer| peer.idle(now_ms, service)).sum()
    }

    fn has_backlog(&self, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| !service.queue.is_empty())
    }

    /// Returns the slots to request from an entry, in proportion to its share of all idle slots.
    ///
    /// A count of zero is also sent, because it makes the entry return the slots that it borrowed
    /// from this one.
    fn wanted_slots(&self, now_ms: u64, name: &EntryId) -> Vec<ServiceCount> {
        let backlogged = self.services.iter();
        let backlogged = backlogged.filter(|(_, service)| !service.queue.is_empty());
        let want = |(service, state): (&ServiceId, &super::state::ServiceState)| {
            let idle = self
                .peers
                .get(name)
                .map_or(0, |peer| peer.idle(now_ms, service));
            let all_idle = self.idle_at_peers(now_ms, service).max(1);
            let queued = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
            let share = (u64::from(queued) * u64::from(idle)).div_ceil(u64::from(all_idle));
            ServiceCount {
                service: service.clone(),
                count: u32::try_from(share).unwrap_or(u32::MAX),
            }
        };
        backlogged.map(want).collect()
    }

    fn usable_slots(&self, wants: &[ServiceCount]) -> Vec<ServiceCount> {
        let has = wants.iter().map(|want| ServiceCount {
            service: want.service.clone(),
            count: self.slot_table.counts(&want.service).usable,
        });
        has.collect()
    }

    fn lendable_slots(&self, now_ms: u64) -> Vec<ServiceCount> {
        let services = self.slot_table.services();
        let without_backlog = services.filter(|service| !self.has_backlog(service));
        let idle = without_backlog.map(|service| {
            let idle = self.slot_table.lendable_slots(now_ms, service);
            ServiceCount {
                service: service.clone(),
                count: idle - idle / IDLE_RESERVE_DIVISOR,
            }
        });
        idle.filter(|idle| idle.count > 0).collect()
    }

    fn ejections(&self, now_ms: u64) -> Vec<Ejection> {
        let services = self.services.iter();
        let all = services.flat_map(|(name, service)| {
            let updates = service.ejections.updates(now_ms);
            updates.map(move |update| Ejection {
                service: name.clone(),
                address: update.address,
                incarnation: update.incarnation,
                strikes: update.consecutive_ejections,
                age_ms: DurationMs::new(update.age_ms),
            })
        });
        all.collect()
    }
}

fn to_wire(loan: Loan) -> SlotLoan {
    SlotLoan {
        number: loan.number,
        address: loan.address,
        duration_ms: DurationMs::new(loan.duration_ms),
    }
}

fn from_wire(loan: SlotLoan) -> Loan {
    Loan {
        number: loan.number,
        address: loan.address,
        duration_ms: loan.duration_ms.get(),
    }
}
