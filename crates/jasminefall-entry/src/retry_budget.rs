//! How many retries are allowed.

use std::collections::HashMap;

use jasminefall_core::prelude::*;

/// The parts of a retry that one answered request earns: ten answers allow one retry.
const CREDIT_PER_RESPONSE: u32 = 1;
const CREDIT_PER_RETRY: u32 = 10;
/// How many retries can be saved up.
const MAX_BANKED_RETRIES: u32 = 10;

/// Allows retries in proportion to the requests of a service that were answered of late.
///
/// Answers earn retries and failures do not: the more fails, the fewer retries follow. As each entry
/// earns from its own answers alone, all entries together retry a tenth of what is answered, however
/// many entries there are.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget(HashMap<ServiceId, u32>);

impl RetryBudget {
    /// Notes a request that was answered at its first attempt.
    pub(crate) fn deposit(&mut self, service: &ServiceId) {
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), 0);
        }
        if let Some(credit) = self.0.get_mut(service) {
            *credit = (*credit + CREDIT_PER_RESPONSE).min(MAX_BANKED_RETRIES * CREDIT_PER_RETRY);
        }
    }

    /// Spends one retry, if there is one.
    pub(crate) fn try_withdraw(&mut self, service: &ServiceId) -> bool {
        let credit = self.0.get_mut(service);
        let Some(credit) = credit.filter(|credit| **credit >= CREDIT_PER_RETRY) else {
            return false;
        };
        *credit -= CREDIT_PER_RETRY;
        true
    }
}
