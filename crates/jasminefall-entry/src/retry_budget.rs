//! The limit on retries of each service.

use std::collections::HashMap;

use jasminefall_core::prelude::*;

/// Ten answered requests allow one retry.
const CREDIT_PER_RESPONSE: u32 = 1;
const CREDIT_PER_RETRY: u32 = 10;
/// Limits the retries that can be saved up.
const MAX_BANKED_RETRIES: u32 = 10;

/// Allows retries in proportion to the requests of a service that were answered recently.
///
/// Only answered requests add to the budget, so retries decrease as failures increase. Each entry
/// counts only its own answered requests, so that all entries together retry at most a tenth of the
/// answered requests, independently of the number of entries.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget(HashMap<ServiceId, u32>);

impl RetryBudget {
    /// Adds the credit of an answered request.
    pub(crate) fn deposit(&mut self, service: &ServiceId) {
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), 0);
        }
        if let Some(credit) = self.0.get_mut(service) {
            *credit = (*credit + CREDIT_PER_RESPONSE).min(MAX_BANKED_RETRIES * CREDIT_PER_RETRY);
        }
    }

    /// Withdraws one retry and returns true, or returns false if the budget is too low.
    pub(crate) fn try_withdraw(&mut self, service: &ServiceId) -> bool {
        let credit = self.0.get_mut(service);
        let Some(credit) = credit.filter(|credit| **credit >= CREDIT_PER_RETRY) else {
            return false;
        };
        *credit -= CREDIT_PER_RETRY;
        true
    }
}
