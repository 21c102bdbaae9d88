//! Lending idle slots to other entries and borrowing theirs.

use jasminefall_core::prelude::*;

use super::{Borrowed, LOAN_ASSIGNMENT_WINDOW_MS, Loan, LoanKey, Record, STOP_GRACE_MS, SlotTable};

impl SlotTable {
    /// Takes which loans a borrower still holds; returns whether the message is to be answered.
    pub fn reconcile(
        &mut self,
        borrower: &EntryId,
        start: Incarnation,
        sequence: u64,
        held: &[u64],
    ) -> bool {
        let returned = self.lent.reconcile(borrower, start, sequence, held);
        let Some(returned) = returned else {
            return false;
        };
        for address in returned {
            self.come_back(&address);
        }
        true
    }

    /// Lends up to `count` idle slots of a service, keeping `reserve` of them back.
    pub fn lend(
        &mut self,
        now_ms: u64,
        borrower: &EntryId,
        start: Incarnation,
        service: &ServiceId,
        count: u32,
        reserve: u32,
    ) -> Vec<Loan> {
        let idle = self.idle_home_slots(now_ms, service);
        let total: u32 = idle.iter().map(|(free, _)| free).sum();
        let count = count.min(total.saturating_sub(reserve));
        let duration_ms = self.longest_request_ms + STOP_GRACE_MS + LOAN_ASSIGNMENT_WINDOW_MS;
        // One slot of each backend server in turn, so that the borrower's work is spread.
        let deepest = idle.iter().map(|(free, _)| *free).max().unwrap_or_default();
        let rounds = (0..deepest).flat_map(|round| {
            let with_more = idle.iter().filter(move |(free, _)| *free > round);
            with_more.map(|(_, address)| address)
        });
        let mut loans = Vec::new();
        for address in rounds.take(count as usize) {
            let number = self
                .lent
                .lend(now_ms, borrower, start, address, duration_ms);
            if let Some(record) = self.records.get_mut(address) {
                record.lent += 1;
            }
            loans.push(Loan {
                number,
                address: address.clone(),
                duration_ms,
            });
        }
        loans
    }

    /// Returns how many slots of a service could be lent.
    #[must_use]
    pub fn lendable_slots(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let idle = self.idle_home_slots(now_ms, service);
        idle.iter().map(|(free, _)| free).sum()
    }

    /// Takes loans that another entry gave in answer to what was asked at `asked_at_ms`.
    pub fn add_loans(
        &mut self,
        asked_at_ms: u64,
        lender: &EntryId,
        start: Incarnation,
        loans: Vec<Loan>,
    ) {
        for loan in loans {
            let key = LoanKey {
                lender: lender.clone(),
                start,
                number: loan.number,
            };
            // A loan of a backend server that is not known here is not taken up: it is not named as
            // held and so goes back.
            let Some(record) = self.records.get_mut(&loan.address) else {
                continue;
            };
            let borrowed = Borrowed {
                address: loan.address.clone(),
                until_ms: asked_at_ms + loan.duration_ms,
                in_use: false,
                wanted_back: false,
            };
            if self.borrowed.insert(key.clone(), borrowed).is_none() {
                record.idle_loans.push(key);
            }
            self.offer(&loan.address);
        }
    }

    /// Marks the loans of a lender that waits for slots of a service itself: they go back once idle.
    pub fn recall_loans(&mut self, lender: &EntryId, service: &ServiceId) {
        for (_, loan) in self
            .borrowed
            .iter_mut()
            .filter(|(key, _)| key.lender == *lender)
        {
            let record = self.records.get(&loan.address);
            if record.is_some_and(|record| record.service == *service) {
                loan.wanted_back = true;
            }
        }
    }

    /// Gives up the idle loans of a lender that are not `needed`, and returns those still held.
    ///
    /// A loan given up is never used again, whether or not the lender learns of it.
    pub fn retain_needed_loans(
        &mut self,
        now_ms: u64,
        lender: &EntryId,
        start: Incarnation,
        needed: impl Fn(&ServiceId) -> bool,
    ) -> Vec<u64> {
        let longest_ms = self.longest_request_ms + STOP_GRACE_MS;
        let mut given_up = Vec::new();
        let mut held = Vec::new();
        for (key, loan) in self
            .borrowed
            .iter()
            .filter(|(key, _)| key.lender == *lender)
        {
            let record = self.records.get(&loan.address);
            let is_needed = record
                .is_some_and(|record| needed(&record.service) && now_ms < record.ready_until_ms);
            let fits = now_ms + longest_ms <= loan.until_ms;
            if !loan.in_use && (loan.wanted_back || !fits || !is_needed || key.start != start) {
                given_up.push(key.clone());
            } else if key.start == start {
                held.push(key.number);
            }
        }
        given_up.iter().for_each(|key| self.give_up(key));
        held
    }

    /// Returns how many slots are lent and how many are borrowed.
    #[must_use]
    pub fn loan_counts(&self) -> (usize, usize) {
        (self.lent.len(), self.borrowed.len())
    }

    /// Ends the loans that have lapsed here; a request that still runs on one no longer counts on it.
    pub(super) fn end_lapsed_loans(&mut self, now_ms: u64) {
        let lapsed = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.until_ms <= now_ms);
        let lapsed: Vec<_> = lapsed.map(|(key, _)| key.clone()).collect();
        lapsed.iter().for_each(|key| self.give_up(key));
    }

    pub(super) fn come_back(&mut self, address: &SmolStr) {
        if let Some(record) = self.records.get_mut(address) {
            record.lent = record.lent.saturating_sub(1);
            self.offer(address);
        }
    }

    fn give_up(&mut self, key: &LoanKey) {
        let Some(loan) = self.borrowed.remove(key) else {
            return;
        };
        if let Some(record) = self.records.get_mut(&loan.address) {
            record.idle_loans.retain(|idle| idle != key);
        }
    }

    fn idle_home_slots(&self, now_ms: u64, service: &ServiceId) -> Vec<(u32, SmolStr)> {
        let lendable = |record: &Record| {
            let serves = record.service == *service && now_ms < record.ready_until_ms;
            serves.then(|| record.home_free(now_ms, &self.shares))
        };
        let records = self.records.iter();
        let idle =
            records.filter_map(|(address, record)| Some((lendable(record)?, address.clone())));
        let mut idle: Vec<_> = idle.filter(|(free, _)| *free > 0).collect();
        idle.sort_unstable_by(|left, right| right.cmp(left));
        idle
    }
}
