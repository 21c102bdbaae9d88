//! Table of the slots that an entry may use, and of their current use.

mod lending;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use jasminefall_core::prelude::*;

use super::lent::LentSlots;
use super::rotation_of;
use super::shares::{Division, Shares};

/// How long a request may hold its slot past its deadline, because the backend server has not
/// stopped it yet.
pub const STOP_GRACE_MS: u64 = 4_000;
/// How long a loan can be assigned to new requests; its duration also covers the longest request.
pub const LOAN_ASSIGNMENT_WINDOW_MS: u64 = 4_000;
/// How long an entry may act on a superseded configuration version, including the margin for clock
/// differences.
pub const MAX_CONFIGURATION_LEASE_MS: u64 = 3_000;
/// How long the record of an unused backend server is kept after it was last ready.
const UNUSED_RECORD_RETENTION_MS: u64 = 60_000;

/// Identifies a loan at its borrower.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanKey {
    /// The entry that is the home of the slot.
    pub lender: EntryId,
    /// The incarnation of the lender's process.
    pub incarnation: Incarnation,
    /// The loan number, unique within the lender's process.
    pub number: u64,
}

/// Describes a slot that an entry lends to another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loan {
    /// The loan number, unique within the lender's process.
    pub number: u64,
    /// The address of the backend server.
    pub address: SmolStr,
    /// How long the loan lasts, measured from the borrower's request.
    pub duration_ms: u64,
}

/// Describes a backend server by its latest announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedBackend {
    /// The service that it runs.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SmolStr,
    /// The most concurrent requests that it accepts.
    pub slots: u32,
    /// The most concurrent connections that it accepts.
    pub connections: u32,
    /// The time until which it accepts new requests.
    pub ready_until_ms: u64,
}

/// Identifies a slot in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldSlot {
    /// The address of the backend server.
    pub address: SmolStr,
    /// The loan if the slot is borrowed, `None` for a home slot.
    pub loan: Option<LoanKey>,
}

#[derive(Debug)]
struct BackendRecord {
    service: ServiceId,
    slots: u32,
    connections: u32,
    rotation: u64,
    ready_until_ms: u64,
    in_progress: u32,
    home_in_use: u32,
    lent: u32,
    idle_loans: Vec<LoanKey>,
    /// The value of `SlotTable::use_count` at the latest use.
    last_used: u64,
}

#[derive(Debug)]
struct BorrowedSlot {
    address: SmolStr,
    until_ms: u64,
    in_use: bool,
    is_recalled: bool,
}

/// Counts the slots of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotCounts {
    /// The slots of ready backend servers that this entry may use, including those in use.
    pub usable: u32,
    /// The slots in use.
    pub in_progress: u32,
}

/// Orders backend servers by requests in progress, then by last use, then by address.
type LoadKey = (u32, u64, SmolStr);

/// Holds the slots that an entry may use: its home slots and the slots borrowed from other entries.
#[derive(Debug, Default)]
pub struct SlotTable {
    shares: Shares,
    longest_request_ms: u64,
    records: HashMap<SmolStr, BackendRecord>,
    /// The backend servers of each service that may have a free slot, least loaded first.
    available: BTreeMap<ServiceId, BTreeSet<LoadKey>>,
    counts: BTreeMap<ServiceId, SlotCounts>,
    lent: LentSlots,
    borrowed: BTreeMap<LoanKey, BorrowedSlot>,
    /// The number of slots acquired so far, which orders backend servers by their latest use.
    use_count: u64,
}

impl SlotTable {
    /// Returns the time after which the requests and loans of an earlier process or configuration
    /// version must have ended.
    #[must_use]
    pub const fn settle_ms(longest_request_ms: u64) -> u64 {
        longest_request_ms + STOP_GRACE_MS + LOAN_ASSIGNMENT_WINDOW_MS + MAX_CONFIGURATION_LEASE_MS
    }

    /// Applies the configuration version that the entry acts on from `now_ms`.
    ///
    /// `longest_request_ms` is the longest request timeout of that version. `is_clean_start` states
    /// that no earlier process of this entry left requests or loans behind.
    pub fn configure(
        &mut self,
        now_ms: u64,
        version: Version,
        division: Division,
        longest_request_ms: u64,
        is_clean_start: bool,
    ) {
        let longest_ms = longest_request_ms.max(self.longest_request_ms);
        let settle_ms = Self::settle_ms(longest_ms);
        self.shares
            .observe(now_ms, version, division, settle_ms, is_clean_start);
        self.longest_request_ms = longest_request_ms;
        self.refresh(now_ms);
    }

    /// Records an announcement of a backend server; `ready_until_ms` is zero if it accepts no new
    /// requests.
    pub fn record_announcement(&mut self, now_ms: u64, announced: AnnouncedBackend) {
        let address = announced.address;
        let is_new = !self.records.contains_key(&address);
        let record = self
            .records
            .entry(address.clone())
            .or_insert_with(|| BackendRecord {
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
            let key = (record.in_progress, record.last_used, address.clone());
            if let Some(backends) = self.available.get_mut(&record.service) {
                backends.remove(&key);
            }
            record.service = announced.service;
        }
        record.slots = announced.slots;
        record.connections = announced.connections;
        record.ready_until_ms = announced.ready_until_ms;
        self.index_backend(&address);
        if is_new {
            self.recount(now_ms);
        }
    }

    /// Acquires a slot at the least loaded backend server of a service for which `is_allowed`
    /// returns true.
    ///
    /// A borrowed slot is used only if the request ends before the loan.
    pub fn acquire(
        &mut self,
        now_ms: u64,
        service: &ServiceId,
        deadline_ms: u64,
        is_allowed: impl Fn(&SmolStr) -> bool,
    ) -> Option<HeldSlot> {
        let backends = self.available.get_mut(service)?;
        let mut chosen = None;
        while let Some(key) = backends.pop_first() {
            let record = self.records.get_mut(&key.2)?;
            // A backend server that cannot be used now is skipped until the next refresh indexes it
            // again.
            if !is_allowed(&key.2) {
                continue;
            }
            let loan = find_loan_until(record, &self.borrowed, deadline_ms);
            if record.can_accept(now_ms, &self.shares)
                && (loan.is_some() || record.free_home_slots(now_ms, &self.shares) > 0)
            {
                chosen = Some((key.2, loan));
                break;
            }
        }
        let (address, loan) = chosen?;
        Some(self.occupy(address, loan))
    }

    fn occupy(&mut self, address: SmolStr, loan: Option<usize>) -> HeldSlot {
        self.use_count += 1;
        let Some(record) = self.records.get_mut(&address) else {
            return HeldSlot {
                address,
                loan: None,
            };
        };
        record.in_progress += 1;
        record.last_used = self.use_count;
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
        self.index_backend(&address);
        HeldSlot { address, loan }
    }

    /// Releases a slot after the exchange with the backend server has ended.
    pub fn release(&mut self, held: &HeldSlot) {
        let Some(record) = self.records.get_mut(&held.address) else {
            return;
        };
        let key = (record.in_progress, record.last_used, held.address.clone());
        if let Some(backends) = self.available.get_mut(&record.service) {
            backends.remove(&key);
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
        self.index_backend(&held.address);
    }

    /// Returns the usable slots of a service as of the last refresh, and its slots in use.
    #[must_use]
    pub fn counts(&self, service: &ServiceId) -> SlotCounts {
        self.counts.get(service).copied().unwrap_or_default()
    }

    /// Returns how many backend servers of a service accept new requests.
    #[must_use]
    pub fn ready_backend_count(&self, now_ms: u64, service: &ServiceId) -> usize {
        let of_service = self
            .records
            .values()
            .filter(|record| record.service == *service);
        of_service
            .filter(|record| now_ms < record.ready_until_ms)
            .count()
    }

    /// Returns the longest request timeout of the configuration version in force.
    #[must_use]
    pub const fn longest_request_ms(&self) -> u64 {
        self.longest_request_ms
    }

    /// Returns the services with an indexed backend server.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.available.keys()
    }

    /// Returns whether the table has a record of the backend server at `address`.
    #[must_use]
    pub fn contains_backend(&self, address: &str) -> bool {
        self.records.contains_key(address)
    }

    /// Returns whether no request is in progress, no slot is lent and no older configuration
    /// version can still be in force.
    #[must_use]
    pub fn is_settled(&self, now_ms: u64) -> bool {
        let is_idle = self.records.values().all(|record| record.in_progress == 0);
        is_idle && self.lent.is_empty() && self.shares.is_settled(now_ms)
    }

    /// Expires loans, drops records of departed backend servers and rebuilds the index of available
    /// ones.
    pub fn refresh(&mut self, now_ms: u64) {
        for address in self.lent.expire(now_ms) {
            self.return_lent_slot(&address);
        }
        self.expire_loans(now_ms);
        self.records.retain(|_, record| !record.is_expired(now_ms));
        self.recount(now_ms);
        let addresses: Vec<_> = self.records.keys().cloned().collect();
        self.available.clear();
        addresses
            .iter()
            .for_each(|address| self.index_backend(address));
    }

    fn recount(&mut self, now_ms: u64) {
        self.counts.clear();
        for record in self.records.values() {
            let counts = self.counts.entry(record.service.clone()).or_default();
            counts.in_progress += record.in_progress;
            if record.can_accept(now_ms, &self.shares) {
                counts.usable += record.usable_slots(now_ms, &self.shares);
            }
        }
    }

    fn index_backend(&mut self, address: &SmolStr) {
        if let Some(record) = self.records.get(address) {
            let key = (record.in_progress, record.last_used, address.clone());
            match self.available.get_mut(&record.service) {
                Some(backends) => _ = backends.insert(key),
                None => {
                    let backends = BTreeSet::from([key]);
                    self.available.insert(record.service.clone(), backends);
                }
            }
        }
    }
}

impl BackendRecord {
    fn free_home_slots(&self, now_ms: u64, shares: &Shares) -> u32 {
        let share = shares.share(now_ms, self.slots, self.rotation);
        share.saturating_sub(self.home_in_use + self.lent)
    }

    fn can_accept(&self, now_ms: u64, shares: &Shares) -> bool {
        now_ms < self.ready_until_ms
            && self.in_progress < shares.connections(now_ms, self.connections)
    }

    fn usable_slots(&self, now_ms: u64, shares: &Shares) -> u32 {
        let idle_loans = u32::try_from(self.idle_loans.len()).unwrap_or(u32::MAX);
        self.in_progress + self.free_home_slots(now_ms, shares) + idle_loans
    }

    const fn is_expired(&self, now_ms: u64) -> bool {
        let is_idle = self.in_progress == 0 && self.lent == 0 && self.idle_loans.is_empty();
        is_idle && self.ready_until_ms + UNUSED_RECORD_RETENTION_MS <= now_ms
    }
}

/// Returns the position of an idle loan that lasts until the request must have ended.
fn find_loan_until(
    record: &BackendRecord,
    borrowed: &BTreeMap<LoanKey, BorrowedSlot>,
    deadline_ms: u64,
) -> Option<usize> {
    record.idle_loans.iter().position(|key| {
        borrowed
            .get(key)
            .is_some_and(|loan| !loan.is_recalled && deadline_ms + STOP_GRACE_MS <= loan.until_ms)
    })
}
