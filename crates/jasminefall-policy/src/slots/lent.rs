//! The slots that an entry has lent to others.
//!
//! The home of a slot does not use it until the borrower no longer names it as held, or the loan has
//! lapsed. A borrower's messages are numbered: one that arrives late frees nothing.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;

/// What is added to a loan at its home, against clocks that run at different rates.
pub const LENDER_CLOCK_MARGIN_MS: u64 = 250;

#[derive(Debug)]
struct Lending {
    borrower: EntryId,
    start: Incarnation,
    address: SmolStr,
    until_ms: u64,
}

/// Holds the loans of one lender.
#[derive(Debug, Default)]
pub struct LentSlots {
    last: u64,
    loans: BTreeMap<u64, Lending>,
    heard: BTreeMap<EntryId, (Incarnation, u64)>,
}

impl LentSlots {
    /// Takes which loans a borrower still holds and returns the addresses whose slots came back.
    ///
    /// Returns `None` where the message is older than one already taken: it must be ignored.
    pub fn reconcile(
        &mut self,
        borrower: &EntryId,
        start: Incarnation,
        sequence: u64,
        held: &[u64],
    ) -> Option<Vec<SmolStr>> {
        if self
            .heard
            .get(borrower)
            .is_some_and(|heard| (start, sequence) <= *heard)
        {
            return None;
        }
        self.heard.insert(borrower.clone(), (start, sequence));
        // What an earlier process of the borrower held may still run: that must lapse.
        Some(self.remove(|number, loan| {
            loan.borrower == *borrower && loan.start == start && !held.contains(&number)
        }))
    }

    /// Notes a loan that ends `duration_ms` from now and returns its number.
    pub fn lend(
        &mut self,
        now_ms: u64,
        borrower: &EntryId,
        start: Incarnation,
        address: &SmolStr,
        duration_ms: u64,
    ) -> u64 {
        self.last += 1;
        let loan = Lending {
            borrower: borrower.clone(),
            start,
            address: address.clone(),
            until_ms: now_ms + duration_ms + LENDER_CLOCK_MARGIN_MS,
        };
        self.loans.insert(self.last, loan);
        self.last
    }

    /// Ends the loans that have lapsed and returns the addresses whose slots came back.
    pub fn expire(&mut self, now_ms: u64) -> Vec<SmolStr> {
        self.remove(|_, loan| loan.until_ms <= now_ms)
    }

    /// Returns how many slots are lent.
    #[must_use]
    pub fn len(&self) -> usize {
        self.loans.len()
    }

    /// Returns whether no slot is lent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    fn remove(&mut self, ends: impl Fn(u64, &Lending) -> bool) -> Vec<SmolStr> {
        let ended = self
            .loans
            .extract_if(.., |number, loan| ends(*number, loan));
        ended.map(|(_, loan)| loan.address).collect()
    }
}
