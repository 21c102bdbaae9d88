//! What other entries are told and asked.

use jasminefall_core::prelude::*;
use jasminefall_policy::ejection::EjectionNews;
use jasminefall_policy::slots::book::Loan;
use jasminefall_wire::message::{Ejection, News, ServiceCount, SlotLoan};

use super::state::Dispatcher;

/// How long the idle slots that another entry told of are believed.
const IDLE_REPORT_LIFETIME_MS: u64 = 600;
/// An entry with requests waiting lends only to one that has this many slots less.
const MIN_SLOT_SURPLUS: u32 = 2;
/// How long a slot is kept free for another entry that has too few.
const SLOT_RESERVATION_MS: u64 = 400;
/// A lender keeps back one in this many of its idle slots.
const RESERVE_DIVISOR: u32 = 4;

/// Holds what is known of another entry.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    start: Incarnation,
    sequence: u64,
    idle: Vec<ServiceCount>,
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
    /// Returns what every other entry is told.
    pub(crate) fn peer_message(&self, now_ms: u64, name: EntryId) -> News {
        News {
            entry: name,
            start: self.start,
            idle: self.lendable_slots(now_ms),
            ejections: self.ejections(now_ms),
            ..News::default()
        }
    }

    /// Adds to a message what is asked of one other entry.
    pub(crate) fn add_loan_request(&mut self, now_ms: u64, name: &EntryId, news: &mut News) {
        let wants = self.wanted_slots(now_ms, name);
        let peer = self.peers.entry(name.clone()).or_default();
        peer.sequence += 1;
        news.sequence = peer.sequence;
        news.held_of = peer.start;
        let services = &self.services;
        let needed = |service: &ServiceId| {
            let service = services.get(service);
            service.is_some_and(|service| service.needs_loans(now_ms))
        };
        news.held = self.book.hold_on(now_ms, name, peer.start, needed);
        news.has = self.usable_slots(&wants);
        news.wants = wants;
    }

    /// Answers another entry's question with loans; without `may_lend` only takes back.
    pub(crate) fn process_loan_request(
        &mut self,
        now_ms: u64,
        news: &News,
        may_lend: bool,
    ) -> Vec<SlotLoan> {
        let is_own_start = news.held_of == self.start;
        let held: &[u64] = if is_own_start { &news.held } else { &[] };
        if !self
            .book
            .reconcile(&news.entry, news.start, news.sequence, held)
        {
            return Vec::new();
        }
        let mut loans = Vec::new();
        for want in &news.wants {
            let has = news.has.iter().find(|has| has.service == want.service);
            let has = has.map_or(0, |has| has.count);
            let is_ahead = self.book.counts(&want.service).usable >= has + MIN_SLOT_SURPLUS;
            let is_waiting = self.has_queued(&want.service);
            if is_ahead || !is_waiting {
                self.book.want_back(&news.entry, &want.service);
            }
            if may_lend && !self.is_stopped && is_own_start && (is_ahead || !is_waiting) {
                loans.extend(self.lend(now_ms, news, want, is_waiting));
            }
        }
        loans.into_iter().map(to_wire).collect()
    }

    /// Lends idle slots; where requests wait here too, one slot, which may have to be kept free first.
    fn lend(
        &mut self,
        now_ms: u64,
        news: &News,
        want: &ServiceCount,
        is_waiting: bool,
    ) -> Vec<Loan> {
        let idle = self.book.idle(now_ms, &want.service);
        let (count, reserve) = if is_waiting {
            (1, 0)
        } else {
            (want.count, idle / RESERVE_DIVISOR)
        };
        let (entry, start) = (&news.entry, news.start);
        let loans = self
            .book
            .lend(now_ms, entry, start, &want.service, count, reserve);
        if let Some(service) = self.services.get_mut(&want.service) {
            let reserves = is_waiting && loans.is_empty();
            service.slot_reserved_until_ms = if reserves {
                now_ms + SLOT_RESERVATION_MS
            } else {
                0
            };
        }
        loans
    }

    /// Takes another entry's answer to what was asked at `sent_at_ms`.
    pub(crate) fn apply_reply(&mut self, sent_at_ms: u64, reply: News) {
        let peer = self.peers.entry(reply.entry.clone()).or_default();
        peer.start = reply.start;
        peer.idle = reply.idle;
        peer.queried_at_ms = sent_at_ms;
        let loans = reply.loans.into_iter().map(from_wire).collect();
        self.book
            .borrow(sent_at_ms, &reply.entry, reply.start, loans);
    }

    /// Takes which backend servers other entries have ejected or taken back.
    pub(crate) fn apply_ejections(&mut self, now_ms: u64, ejections: &[Ejection]) {
        for ejection in ejections {
            let pool = self.book.ready_backends(now_ms, &ejection.service);
            if let Some(service) = self.services.get_mut(&ejection.service) {
                let news = EjectionNews {
                    address: ejection.address.clone(),
                    incarnation: ejection.incarnation,
                    strikes: ejection.strikes,
                    age_ms: ejection.age_ms.get(),
                };
                service.ejections.take_news(now_ms, &news, pool);
            }
        }
    }

    /// Returns the slots of a service that other entries could lend.
    pub(super) fn idle_at_peers(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let peers = self.peers.values();
        peers.map(|peer| peer.idle(now_ms, service)).sum()
    }

    fn has_queued(&self, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| !service.queue.is_empty())
    }

    /// Asks each entry for its part, by what it has idle; a want of none still calls loans back.
    fn wanted_slots(&self, now_ms: u64, name: &EntryId) -> Vec<ServiceCount> {
        let waiting = self.services.iter();
        let waiting = waiting.filter(|(_, service)| !service.queue.is_empty());
        let want = |(service, held): (&ServiceId, &super::state::ServiceState)| {
            let idle = self
                .peers
                .get(name)
                .map_or(0, |peer| peer.idle(now_ms, service));
            let all = self.idle_at_peers(now_ms, service).max(1);
            let waiting = u32::try_from(held.queue.len()).unwrap_or(u32::MAX);
            let part = (u64::from(waiting) * u64::from(idle)).div_ceil(u64::from(all));
            ServiceCount {
                service: service.clone(),
                count: u32::try_from(part).unwrap_or(u32::MAX),
            }
        };
        waiting.map(want).collect()
    }

    fn usable_slots(&self, wants: &[ServiceCount]) -> Vec<ServiceCount> {
        let has = wants.iter().map(|want| ServiceCount {
            service: want.service.clone(),
            count: self.book.counts(&want.service).usable,
        });
        has.collect()
    }

    fn lendable_slots(&self, now_ms: u64) -> Vec<ServiceCount> {
        let services = self.book.services();
        let quiet = services.filter(|service| !self.has_queued(service));
        let idle = quiet.map(|service| {
            let idle = self.book.idle(now_ms, service);
            ServiceCount {
                service: service.clone(),
                count: idle - idle / RESERVE_DIVISOR,
            }
        });
        idle.filter(|idle| idle.count > 0).collect()
    }

    fn ejections(&self, now_ms: u64) -> Vec<Ejection> {
        let services = self.services.iter();
        let all = services.flat_map(|(name, service)| {
            let news = service.ejections.news(now_ms);
            news.map(move |news| Ejection {
                service: name.clone(),
                address: news.address,
                incarnation: news.incarnation,
                strikes: news.strikes,
                age_ms: DurationMs::new(news.age_ms),
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
