//! The slots that an entry has lent to other entries.
//!
//! The home entry does not use a lent slot until the borrower omits it from its list of held loans,
//! or the loan expires. The borrower numbers its messages, and a message that arrives late frees no
//! slot.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;

/// How much longer a loan lasts at the lender than at the borrower, since their clocks may run at
/// different rates.
pub const LOAN_CLOCK_DRIFT_MARGIN_MS: u64 = 250;

#[derive(Debug)]
struct LentSlot {
    borrower: EntryId,
    /// The incarnation of the borrower's process.
    incarnation: Incarnation,
    address: SmolStr,
    until_ms: u64,
}

/// Holds the loans that this entry granted to other entries.
#[derive(Debug, Default)]
pub struct LentSlots {
    last_number: u64,
    loans: BTreeMap<u64, LentSlot>,
    last_messages: BTreeMap<EntryId, (Incarnation, u64)>,
}

impl LentSlots {
    /// Applies a borrower's list of held loans and returns the backend server address of each
    /// returned slot.
    ///
    /// `start` is the incarnation of the borrower's process and `sequence` the number of its
    /// message. Returns `None` for a message that is older than one already applied; it must be
    /// ignored.
    pub fn reconcile(
        &mut self,
        borrower: &EntryId,
        incarnation: Incarnation,
        sequence: u64,
        held: &[u64],
    ) -> Option<Vec<SmolStr>> {
        if self
            .last_messages
            .get(borrower)
            .is_some_and(|last| (incarnation, sequence) <= *last)
        {
            return None;
        }
        self.last_messages
            .insert(borrower.clone(), (incarnation, sequence));
        // Loans to an earlier process of the borrower may still be in use, so they stay until they
        // expire.
        Some(self.remove_where(|number, loan| {
            loan.borrower == *borrower && loan.incarnation == incarnation && !held.contains(&number)
        }))
    }

    /// Adds a loan that the borrower may use for `duration_ms` from now, and returns its number.
    pub fn lend(
        &mut self,
        now_ms: u64,
        borrower: &EntryId,
        incarnation: Incarnation,
        address: &SmolStr,
        duration_ms: u64,
    ) -> u64 {
        self.last_number += 1;
        let loan = LentSlot {
            borrower: borrower.clone(),
            incarnation,
            address: address.clone(),
            until_ms: now_ms + duration_ms + LOAN_CLOCK_DRIFT_MARGIN_MS,
        };
        self.loans.insert(self.last_number, loan);
        self.last_number
    }

    /// Removes the expired loans and returns the backend server address of each returned slot.
    pub fn expire(&mut self, now_ms: u64) -> Vec<SmolStr> {
        self.remove_where(|_, loan| loan.until_ms <= now_ms)
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

    fn remove_where(&mut self, matches: impl Fn(u64, &LentSlot) -> bool) -> Vec<SmolStr> {
        let ended = self
            .loans
            .extract_if(.., |number, loan| matches(*number, loan));
        ended.map(|(_, loan)| loan.address).collect()
    }
}
