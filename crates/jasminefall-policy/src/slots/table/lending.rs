//! Lending of idle home slots to other entries, and borrowing of theirs.

use jasminefall_core::prelude::*;

use super::{
    BackendRecord, BorrowedSlot, LOAN_ASSIGNMENT_WINDOW_MS, Loan, LoanKey, STOP_GRACE_MS, SlotTable,
};

impl SlotTable {
    /// Applies a borrower's list of held loans and frees the slots of its other loans.
    ///
    /// `start` is the incarnation of the borrower's process and `sequence` the number of its
    /// message. Returns false for a message that is older than the last one applied; it must not be
    /// answered.
    pub fn reconcile(
        &mut self,
        borrower: &EntryId,
        incarnation: Incarnation,
        sequence: u64,
        held: &[u64],
    ) -> bool {
        let returned = self.lent.reconcile(borrower, incarnation, sequence, held);
        let Some(returned) = returned else {
            return false;
        };
        for address in returned {
            self.return_lent_slot(&address);
        }
        true
    }

    /// Lends up to `count` idle slots of a service, but leaves `reserve` idle slots unlent.
    pub fn lend(
        &mut self,
        now_ms: u64,
        borrower: &EntryId,
        incarnation: Incarnation,
        service: &ServiceId,
        count: u32,
        reserve: u32,
    ) -> Vec<Loan> {
        let idle = self.idle_home_slots(now_ms, service);
        let total: u32 = idle.iter().map(|(free, _)| free).sum();
        let count = count.min(total.saturating_sub(reserve));
        let duration_ms = self.longest_request_ms + STOP_GRACE_MS + LOAN_ASSIGNMENT_WINDOW_MS;
        // Round robin over the backend servers, so that the borrower's requests are spread.
        let max_free = idle.iter().map(|(free, _)| *free).max().unwrap_or_default();
        let rounds = (0..max_free).flat_map(|round| {
            let remaining = idle.iter().filter(move |(free, _)| *free > round);
            remaining.map(|(_, address)| address)
        });
        let mut loans = Vec::new();
        for address in rounds.take(count as usize) {
            let number = self
                .lent
                .lend(now_ms, borrower, incarnation, address, duration_ms);
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

    /// Returns how many home slots of a service are idle and can be lent.
    #[must_use]
    pub fn lendable_slots(&self, now_ms: u64, service: &ServiceId) -> u32 {
        let idle = self.idle_home_slots(now_ms, service);
        idle.iter().map(|(free, _)| free).sum()
    }

    /// Adds the loans that a lender granted in response to the request sent at `requested_at_ms`.
    pub fn add_loans(
        &mut self,
        requested_at_ms: u64,
        lender: &EntryId,
        incarnation: Incarnation,
        loans: Vec<Loan>,
    ) {
        for loan in loans {
            let key = LoanKey {
                lender: lender.clone(),
                incarnation,
                number: loan.number,
            };
            // A loan at a backend server without a record here is ignored. The next list of held
            // loans omits it, which returns it to the lender.
            let Some(record) = self.records.get_mut(&loan.address) else {
                continue;
            };
            let borrowed = BorrowedSlot {
                address: loan.address.clone(),
                until_ms: requested_at_ms + loan.duration_ms,
                in_use: false,
                is_recalled: false,
            };
            if self.borrowed.insert(key.clone(), borrowed).is_none() {
                record.idle_loans.push(key);
            }
            self.index_backend(&loan.address);
        }
    }

    /// Marks the loans of `service` from `lender` as recalled, because requests wait at the lender.
    ///
    /// A recalled loan takes no new request and is returned once idle.
    pub fn recall_loans(&mut self, lender: &EntryId, service: &ServiceId) {
        for (_, loan) in self
            .borrowed
            .iter_mut()
            .filter(|(key, _)| key.lender == *lender)
        {
            let record = self.records.get(&loan.address);
            if record.is_some_and(|record| record.service == *service) {
                loan.is_recalled = true;
            }
        }
    }

    /// Removes the idle loans of a lender that are not `needed`, and returns the numbers of those
    /// still held.
    ///
    /// A removed loan is never used again, whether or not the lender receives the new list.
    pub fn retain_needed_loans(
        &mut self,
        now_ms: u64,
        lender: &EntryId,
        incarnation: Incarnation,
        needed: impl Fn(&ServiceId) -> bool,
    ) -> Vec<u64> {
        let longest_ms = self.longest_request_ms + STOP_GRACE_MS;
        let mut removed = Vec::new();
        let mut held = Vec::new();
        for (key, loan) in self
            .borrowed
            .iter()
            .filter(|(key, _)| key.lender == *lender)
        {
            let record = self.records.get(&loan.address);
            let is_needed = record
                .is_some_and(|record| needed(&record.service) && now_ms < record.ready_until_ms);
            let outlasts_requests = now_ms + longest_ms <= loan.until_ms;
            if !loan.in_use
                && (loan.is_recalled
                    || !outlasts_requests
                    || !is_needed
                    || key.incarnation != incarnation)
            {
                removed.push(key.clone());
            } else if key.incarnation == incarnation {
                held.push(key.number);
            }
        }
        removed.iter().for_each(|key| self.remove_loan(key));
        held
    }

    /// Returns how many slots are lent, and how many are borrowed.
    #[must_use]
    pub fn loan_counts(&self) -> (usize, usize) {
        (self.lent.len(), self.borrowed.len())
    }

    /// Removes borrowed slots whose loan has expired, including those that still have a request in
    /// progress.
    pub(super) fn expire_loans(&mut self, now_ms: u64) {
        let expired = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.until_ms <= now_ms);
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        expired.iter().for_each(|key| self.remove_loan(key));
    }

    pub(super) fn return_lent_slot(&mut self, address: &SmolStr) {
        if let Some(record) = self.records.get_mut(address) {
            record.lent = record.lent.saturating_sub(1);
            self.index_backend(address);
        }
    }

    fn remove_loan(&mut self, key: &LoanKey) {
        let Some(loan) = self.borrowed.remove(key) else {
            return;
        };
        if let Some(record) = self.records.get_mut(&loan.address) {
            record.idle_loans.retain(|idle| idle != key);
        }
    }

    fn idle_home_slots(&self, now_ms: u64, service: &ServiceId) -> Vec<(u32, SmolStr)> {
        let lendable = |record: &BackendRecord| {
            let serves = record.service == *service && now_ms < record.ready_until_ms;
            serves.then(|| record.free_home_slots(now_ms, &self.shares))
        };
        let records = self.records.iter();
        let idle =
            records.filter_map(|(address, record)| Some((lendable(record)?, address.clone())));
        let mut idle: Vec<_> = idle.filter(|(free, _)| *free > 0).collect();
        idle.sort_unstable_by(|left, right| right.cmp(left));
        idle
    }
}
