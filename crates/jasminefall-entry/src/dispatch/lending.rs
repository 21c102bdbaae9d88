//! What other entries are told and asked.

use jasminefall_core::prelude::*;
use jasminefall_policy::ejection::EjectionUpdate;
use jasminefall_policy::slots::table::Loan;
use jasminefall_wire::message::{Ejection, News, ServiceCount, SlotLoan};

use super::state::Dispatch;

/// How long the idle slots that another entry told of are believed.
const IDLE_LIFETIME_MS: u64 = 600;
/// An entry with requests waiting lends only to one that has this many slots less.
const LEVEL_MARGIN: u32 = 2;
/// How long a slot is kept free for another entry that has too few.
const OWED_MS: u64 = 400;
/// A lender keeps back one in this many of its idle slots.
const RESERVE_DIVISOR: u32 = 4;

/// Holds what is known of another entry.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    start: Incarnation,
    sequence: u64,
    idle: Vec<ServiceCount>,
    heard_at_ms: u64,
}

impl Peer {
    fn idle(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let told = self.idle.iter().find(|idle| idle.service == *service);
        let told = told.filter(|_| now_ms < self.heard_at_ms + IDLE_LIFETIME_MS);
        told.map_or(0, |idle| idle.count)
    }
}

impl Dispatch {
    /// Returns what every other entry is told.
    pub(crate) fn news(&self, now_ms: u64, name: EntryId) -> News {
        News {
            entry: name,
            start: self.start,
            idle: self.idle_here(now_ms),
            ejections: self.ejections(now_ms),
            ..News::default()
        }
    }

    /// Adds to a message what is asked of one other entry.
    pub(crate) fn ask(&mut self, now_ms: u64, name: &EntryId, news: &mut News) {
        let wants = self.wants(now_ms, name);
        let peer = self.peers.entry(name.clone()).or_default();
        peer.sequence += 1;
        news.sequence = peer.sequence;
        news.held_of = peer.start;
        let services = &self.services;
        let needed = |service: &ServiceId| {
            let service = services.get(service);
            service.is_some_and(|service| service.needs_loans(now_ms))
        };
        news.held = self
            .book
            .retain_needed_loans(now_ms, name, peer.start, needed);
        news.has = self.has(&wants);
        news.wants = wants;
    }

    /// Answers another entry's question with loans; without `may_lend` only takes back.
    pub(crate) fn answer(&mut self, now_ms: u64, news: &News, may_lend: bool) -> Vec<SlotLoan> {
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
            let is_ahead = self.book.counts(&want.service).usable >= has + LEVEL_MARGIN;
            let is_waiting = self.is_waited_for(&want.service);
            if is_ahead || !is_waiting {
                self.book.recall_loans(&news.entry, &want.service);
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
        let idle = self.book.lendable_slots(now_ms, &want.service);
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
            let owes = is_waiting && loans.is_empty();
            service.owes_until_ms = if owes { now_ms + OWED_MS } else { 0 };
        }
        loans
    }

    /// Takes another entry's answer to what was asked at `asked_at_ms`.
    pub(crate) fn take_answer(&mut self, asked_at_ms: u64, answer: News) {
        let peer = self.peers.entry(answer.entry.clone()).or_default();
        peer.start = answer.start;
        peer.idle = answer.idle;
        peer.heard_at_ms = asked_at_ms;
        let loans = answer.loans.into_iter().map(from_wire).collect();
        self.book
            .add_loans(asked_at_ms, &answer.entry, answer.start, loans);
    }

    /// Takes which backend servers other entries have ejected or taken back.
    pub(crate) fn take_ejections(&mut self, now_ms: u64, ejections: &[Ejection]) {
        for told in ejections {
            let pool = self.book.ready_backend_count(now_ms, &told.service);
            if let Some(service) = self.services.get_mut(&told.service) {
                let news = EjectionUpdate {
                    address: told.address.clone(),
                    incarnation: told.incarnation,
                    consecutive_ejections: told.strikes,
                    age_ms: told.age_ms.get(),
                };
                service.ejections.apply_update(now_ms, &news, pool);
            }
        }
    }

    /// Returns the slots of a service that other entries could lend.
    pub(super) fn idle_elsewhere(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let peers = self.peers.values();
        peers.map(|peer| peer.idle(now_ms, service)).sum()
    }

    fn is_waited_for(&self, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| !service.queue.is_empty())
    }

    /// Asks each entry for its part, by what it has idle; a want of none still calls loans back.
    fn wants(&self, now_ms: u64, name: &EntryId) -> Vec<ServiceCount> {
        let waiting = self.services.iter();
        let waiting = waiting.filter(|(_, service)| !service.queue.is_empty());
        let want = |(service, held): (&ServiceId, &super::state::Service)| {
            let idle = self
                .peers
                .get(name)
                .map_or(0, |peer| peer.idle(now_ms, service));
            let all = self.idle_elsewhere(now_ms, service).max(1);
            let waiting = u32::try_from(held.queue.len()).unwrap_or(u32::MAX);
            let part = (u64::from(waiting) * u64::from(idle)).div_ceil(u64::from(all));
            ServiceCount {
                service: service.clone(),
                count: u32::try_from(part).unwrap_or(u32::MAX),
            }
        };
        waiting.map(want).collect()
    }

    fn has(&self, wants: &[ServiceCount]) -> Vec<ServiceCount> {
        let has = wants.iter().map(|want| ServiceCount {
            service: want.service.clone(),
            count: self.book.counts(&want.service).usable,
        });
        has.collect()
    }

    fn idle_here(&self, now_ms: u64) -> Vec<ServiceCount> {
        let services = self.book.services();
        let quiet = services.filter(|service| !self.is_waited_for(service));
        let idle = quiet.map(|service| {
            let idle = self.book.lendable_slots(now_ms, service);
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
            let news = service.ejections.updates(now_ms);
            news.map(move |news| Ejection {
                service: name.clone(),
                address: news.address,
                incarnation: news.incarnation,
                strikes: news.consecutive_ejections,
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
