//! What other entries are told and asked.

use jasminefall_core::prelude::*;
use jasminefall_policy::ejection::EjectionNews;
use jasminefall_policy::slots::book::Loan;
use jasminefall_wire::message::{Ejection, News, ServiceCount, SlotLoan};

use super::state::Dispatch;

/// How long the idle slots that another entry told of are believed.
const IDLE_LIFETIME_MS: u64 = 600;
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
        news.held = self.book.hold_on(now_ms, name, peer.start, needed);
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
            self.book.want_back(&news.entry, &want.service);
            if may_lend && is_own_start && !self.is_waited_for(&want.service) {
                let idle = self.book.idle(now_ms, &want.service);
                let reserve = idle / RESERVE_DIVISOR;
                loans.extend(self.book.lend(
                    now_ms,
                    &news.entry,
                    news.start,
                    &want.service,
                    want.count,
                    reserve,
                ));
            }
        }
        loans.into_iter().map(to_wire).collect()
    }

    /// Takes another entry's answer to what was asked at `asked_at_ms`.
    pub(crate) fn take_answer(&mut self, asked_at_ms: u64, answer: News) {
        let peer = self.peers.entry(answer.entry.clone()).or_default();
        peer.start = answer.start;
        peer.idle = answer.idle;
        peer.heard_at_ms = asked_at_ms;
        let loans = answer.loans.into_iter().map(from_wire).collect();
        self.book
            .borrow(asked_at_ms, &answer.entry, answer.start, loans);
    }

    /// Takes which backend servers other entries have ejected or taken back.
    pub(crate) fn take_ejections(&mut self, now_ms: u64, ejections: &[Ejection]) {
        for told in ejections {
            let pool = self.book.ready_backends(now_ms, &told.service);
            if let Some(service) = self.services.get_mut(&told.service) {
                let news = EjectionNews {
                    address: told.address.clone(),
                    incarnation: told.incarnation,
                    strikes: told.strikes,
                    age_ms: told.age_ms.get(),
                };
                service.ejections.take_news(now_ms, &news, pool);
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

    fn idle_here(&self, now_ms: u64) -> Vec<ServiceCount> {
        let services = self.book.services();
        let quiet = services.filter(|service| !self.is_waited_for(service));
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
