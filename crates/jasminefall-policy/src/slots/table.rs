//! Every slot that an entry may use, and who uses it.

mod lending;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use jasminefall_core::prelude::*;

use super::lent::LentSlots;
use super::rotation_of;
use super::shares::{Division, Shares};

/// How long after the deadline of a request its slot may still be held, because the backend server
/// has not stopped it.
pub const STOP_GRACE_MS: u64 = 4_000;
/// How long a loan can be given to new requests, beyond the longest request.
pub const LOAN_ASSIGNMENT_WINDOW_MS: u64 = 4_000;
/// How long an entry may act on a superseded version, with the margin for clocks.
pub const MAX_CONFIGURATION_LEASE_MS: u64 = 3_000;
/// How long an unused record is kept after its backend server was last ready.
const UNUSED_RECORD_RETENTION_MS: u64 = 60_000;

/// Identifies a loan at its borrower.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanKey {
    /// The entry that is the home of the slot.
    pub lender: EntryId,
    /// The start of the lender's process.
    pub start: Incarnation,
    /// The lender's number of the loan.
    pub number: u64,
}

/// Describes a slot that another entry lends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loan {
    /// The lender's number of the loan.
    pub number: u64,
    /// The address of the backend server.
    pub address: SmolStr,
    /// How long the loan lasts, counted from when the borrower asked.
    pub duration_ms: u64,
}

/// Describes a backend server as announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedBackend {
    /// The service that it runs.
    pub service: ServiceId,
    /// Its address.
    pub address: SmolStr,
    /// The requests that it takes at once.
    pub slots: u32,
    /// The connections that it takes at once.
    pub connections: u32,
    /// Until when it may be given new work.
    pub ready_until_ms: u64,
}

/// Holds one slot in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldSlot {
    /// The address of the backend server.
    pub address: SmolStr,
    /// The loan, where the slot is borrowed.
    pub loan: Option<LoanKey>,
}

#[derive(Debug)]
struct Record {
    service: ServiceId,
    slots: u32,
    connections: u32,
    rotation: u64,
    ready_until_ms: u64,
    in_progress: u32,
    home_in_use: u32,
    lent: u32,
    idle_loans: Vec<LoanKey>,
    last_used: u64,
}

#[derive(Debug)]
struct Borrowed {
    address: SmolStr,
    until_ms: u64,
    in_use: bool,
    wanted_back: bool,
}

/// Counts the slots of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotCounts {
    /// The slots that this entry may use at ready backend servers.
    pub usable: u32,
    /// The slots in use.
    pub in_progress: u32,
}

type Place = (u32, u64, SmolStr);

/// Holds every slot that an entry may use.
#[derive(Debug, Default)]
pub struct SlotTable {
    shares: Shares,
    longest_request_ms: u64,
    records: HashMap<SmolStr, Record>,
    /// By service, the backend servers that may have a free slot, the least loaded first.
    available: BTreeMap<ServiceId, BTreeSet<Place>>,
    counts: BTreeMap<ServiceId, SlotCounts>,
    lent: LentSlots,
    borrowed: BTreeMap<LoanKey, Borrowed>,
    uses: u64,
}

impl SlotTable {
    /// Returns how long an entry waits until what it knows nothing of must have ended.
    #[must_use]
    pub const fn settle_ms(longest_request_ms: u64) -> u64 {
        longest_request_ms + STOP_GRACE_MS + LOAN_ASSIGNMENT_WINDOW_MS + MAX_CONFIGURATION_LEASE_MS
    }

    /// Takes the version that the entry acts on; `longest_request_ms` is the longest request that
    /// this version allows.
    pub fn configure(
        &mut self,
        now_ms: u64,
        version: Version,
        division: Division,
        longest_request_ms: u64,
        has_no_past: bool,
    ) {
        let longest_ms = longest_request_ms.max(self.longest_request_ms);
        let settle_ms = Self::settle_ms(longest_ms);
        self.shares
            .observe(now_ms, version, division, settle_ms, has_no_past);
        self.longest_request_ms = longest_request_ms;
        self.refresh(now_ms);
    }

    /// Takes what a backend server announced; one that takes no new work has `ready_until_ms` zero.
    pub fn record_announcement(&mut self, now_ms: u64, announced: AnnouncedBackend) {
        let address = announced.address;
        let is_new = !self.records.contains_key(&address);
        let record = self
            .records
            .entry(address.clone())
            .or_insert_with(|| Record {
                service: announced.service.clone(),
                slots: 0,
                connections: 0,
                rotation: rotation_of(&address),
                ready_until_ms: 0,
                in_progress: 0,
                home_in_use: 0,
                lent: 0,
                idle_loans: Vec::new(),
                last_used: 0,
            });
        if record.service != announced.service {
            let place = (record.in_progress, record.last_used, address.clone());
            if let Some(places) = self.available.get_mut(&record.service) {
                places.remove(&place);
            }
            record.service = announced.service;
        }
        record.slots = announced.slots;
        record.connections = announced.connections;
        record.ready_until_ms = announced.ready_until_ms;
        self.offer(&address);
        if is_new {
            self.count(now_ms);
        }
    }

    /// Takes a slot of the least loaded backend server of a service that `allows` accepts.
    ///
    /// A borrowed slot is given only to a request that ends before its loan does.
    pub fn acquire(
        &mut self,
        now_ms: u64,
        service: &ServiceId,
        deadline_ms: u64,
        allows: impl Fn(&SmolStr) -> bool,
    ) -> Option<HeldSlot> {
        let places = self.available.get_mut(service)?;
        let mut chosen = None;
        while let Some(place) = places.pop_first() {
            let record = self.records.get_mut(&place.2)?;
            // One that cannot be used now is offered again with the next refresh.
            if !allows(&place.2) {
                continue;
            }
            let loan = fitting_loan(record, &self.borrowed, deadline_ms);
            if record.is_usable(now_ms, &self.shares)
                && (loan.is_some() || record.home_free(now_ms, &self.shares) > 0)
            {
                chosen = Some((place.2, loan));
                break;
            }
        }
        let (address, loan) = chosen?;
        Some(self.hold(address, loan))
    }

    fn hold(&mut self, address: SmolStr, loan: Option<usize>) -> HeldSlot {
        self.uses += 1;
        let Some(record) = self.records.get_mut(&address) else {
            return HeldSlot {
                address,
                loan: None,
            };
        };
        record.in_progress += 1;
        record.last_used = self.uses;
        if let Some(counts) = self.counts.get_mut(&record.service) {
            counts.in_progress += 1;
        }
        let loan = loan.map(|position| record.idle_loans.swap_remove(position));
        match &loan {
            Some(key) => {
                if let Some(borrowed) = self.borrowed.get_mut(key) {
                    borrowed.in_use = true;
                }
            }
            None => record.home_in_use += 1,
        }
        self.offer(&address);
        HeldSlot { address, loan }
    }

    /// Gives a slot back once the exchange with the backend server has ended.
    pub fn release(&mut self, held: &HeldSlot) {
        let Some(record) = self.records.get_mut(&held.address) else {
            return;
        };
        let place = (record.in_progress, record.last_used, held.address.clone());
        if let Some(places) = self.available.get_mut(&record.service) {
            places.remove(&place);
        }
        record.in_progress = record.in_progress.saturating_sub(1);
        if let Some(counts) = self.counts.get_mut(&record.service) {
            counts.in_progress = counts.in_progress.saturating_sub(1);
        }
        match &held.loan {
            Some(key) => {
                if let Some(borrowed) = self.borrowed.get_mut(key) {
                    borrowed.in_use = false;
                    record.idle_loans.push(key.clone());
                }
            }
            None => record.home_in_use = record.home_in_use.saturating_sub(1),
        }
        self.offer(&held.address);
    }

    /// Returns the slots of a service that this entry may use, and those in use, as of the last
    /// refresh.
    #[must_use]
    pub fn counts(&self, service: &ServiceId) -> SlotCounts {
        self.counts.get(service).copied().unwrap_or_default()
    }

    /// Returns the backend servers of a service that take new work.
    #[must_use]
    pub fn ready_backend_count(&self, now_ms: u64, service: &ServiceId) -> usize {
        let mine = self
            .records
            .values()
            .filter(|held| held.service == *service);
        mine.filter(|record| now_ms < record.ready_until_ms).count()
    }

    /// Returns the longest request that the version in force allows.
    #[must_use]
    pub const fn longest_request_ms(&self) -> u64 {
        self.longest_request_ms
    }

    /// Returns the services that have backend servers.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.available.keys()
    }

    /// Returns whether anything is known of the backend server at an address.
    #[must_use]
    pub fn contains_backend(&self, address: &str) -> bool {
        self.records.contains_key(address)
    }

    /// Returns whether nothing is in progress or lent and only one version matters.
    #[must_use]
    pub fn is_settled(&self, now_ms: u64) -> bool {
        let is_idle = self.records.values().all(|record| record.in_progress == 0);
        is_idle && self.lent.is_empty() && self.shares.is_settled(now_ms)
    }

    /// Ends what has lapsed, forgets what is gone and offers every backend server again.
    pub fn refresh(&mut self, now_ms: u64) {
        for address in self.lent.expire(now_ms) {
            self.come_back(&address);
        }
        self.end_lapsed_loans(now_ms);
        self.records.retain(|_, record| !record.is_gone(now_ms));
        self.count(now_ms);
        let addresses: Vec<_> = self.records.keys().cloned().collect();
        self.available.clear();
        addresses.iter().for_each(|address| self.offer(address));
    }

    fn count(&mut self, now_ms: u64) {
        self.counts.clear();
        for record in self.records.values() {
            let counts = self.counts.entry(record.service.clone()).or_default();
            counts.in_progress += record.in_progress;
            if record.is_usable(now_ms, &self.shares) {
                counts.usable += record.usable(now_ms, &self.shares);
            }
        }
    }

    fn offer(&mut self, address: &SmolStr) {
        if let Some(record) = self.records.get(address) {
            let place = (record.in_progress, record.last_used, address.clone());
            match self.available.get_mut(&record.service) {
                Some(places) => _ = places.insert(place),
                None => {
                    let places = BTreeSet::from([place]);
                    self.available.insert(record.service.clone(), places);
                }
            }
        }
    }
}

impl Record {
    fn home_free(&self, now_ms: u64, shares: &Shares) -> u32 {
        let share = shares.share(now_ms, self.slots, self.rotation);
        share.saturating_sub(self.home_in_use + self.lent)
    }

    fn is_usable(&self, now_ms: u64, shares: &Shares) -> bool {
        now_ms < self.ready_until_ms
            && self.in_progress < shares.connections(now_ms, self.connections)
    }

    fn usable(&self, now_ms: u64, shares: &Shares) -> u32 {
        let idle_loans = u32::try_from(self.idle_loans.len()).unwrap_or(u32::MAX);
        self.in_progress + self.home_free(now_ms, shares) + idle_loans
    }

    const fn is_gone(&self, now_ms: u64) -> bool {
        let is_idle = self.in_progress == 0 && self.lent == 0 && self.idle_loans.is_empty();
        is_idle && self.ready_until_ms + UNUSED_RECORD_RETENTION_MS <= now_ms
    }
}

/// Returns the position of an idle loan that outlasts a request.
fn fitting_loan(
    record: &Record,
    borrowed: &BTreeMap<LoanKey, Borrowed>,
    deadline_ms: u64,
) -> Option<usize> {
    record.idle_loans.iter().position(|key| {
        borrowed
            .get(key)
            .is_some_and(|loan| !loan.wanted_back && deadline_ms + STOP_GRACE_MS <= loan.until_ms)
    })
}
