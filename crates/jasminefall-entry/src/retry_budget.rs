//! How many retries are allowed.

use std::collections::HashMap;

use jasminefall_core::prelude::*;

/// The parts of a retry that one answered request earns: ten answers allow one retry.
const EARNED_PARTS: u32 = 1;
const PARTS_PER_RETRY: u32 = 10;
/// How many retries can be saved up.
const MAX_SAVED_RETRIES: u32 = 10;

/// Allows retries in proportion to the requests of a service that were answered of late.
///
/// Answers earn retries and failures do not: the more fails, the fewer retries follow. As each entry
/// earns from its own answers alone, all entries together retry a tenth of what is answered, however
/// many entries there are.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget(HashMap<ServiceId, u32>);

impl RetryBudget {
    /// Notes a request that was answered at its first attempt.
    pub(crate) fn earn(&mut self, service: &ServiceId) {
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), 0);
        }
        if let Some(parts) = self.0.get_mut(service) {
            *parts = (*parts + EARNED_PARTS).min(MAX_SAVED_RETRIES * PARTS_PER_RETRY);
        }
    }

    /// Spends one retry, if there is one.
    pub(crate) fn spend(&mut self, service: &ServiceId) -> bool {
        let parts = self.0.get_mut(service);
        let Some(parts) = parts.filter(|parts| **parts >= PARTS_PER_RETRY) else {
            return false;
        };
        *parts -= PARTS_PER_RETRY;
        true
    }
}
