//! Ejection of backend servers whose requests fail.
//!
//! A backend server is ejected after consecutive failures, unless too many servers of its pool are
//! ejected already, because failures at most servers have a common cause. After a pause a single
//! request probes the server. The entries probe at staggered times, so that one probe is enough as
//! long as the entries exchange their decisions.

use std::collections::HashMap;

use jasminefall_core::prelude::*;

const MIN_CONSECUTIVE_FAILURES: u32 = 5;
/// The duration of a first ejection; each consecutive one lasts twice as long, up to the maximum.
const MIN_EJECTION_MS: u64 = 2_000;
const MAX_EJECTION_MS: u64 = 60_000;
/// The delay between the probe times of successive entries.
const PROBE_STAGGER_MS: u64 = 1_000;
/// How long a probe may go without an outcome before another probe may start.
const PROBE_TIMEOUT_MS: u64 = 30_000;
/// The divisor of the pool size that gives the most backend servers that may be ejected.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Describes the outcome of a request at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendOutcome {
    /// The backend server responded without a server error.
    Succeeded,
    /// The connection was refused or broken, no response arrived, or the response was a server error.
    Failed,
    /// The outcome says nothing about the backend server.
    Unknown,
}

/// Describes whether a backend server may receive a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may receive requests.
    Eligible,
    /// It is ejected, but may receive a single request as a probe.
    Probe,
    /// It is ejected and may not receive a request.
    Ejected,
}

/// Informs other entries of an ejection or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionUpdate {
    /// The address of the backend server.
    pub address: SmolStr,
    /// The incarnation of the backend server to which the decision applies.
    pub incarnation: Incarnation,
    /// How often the backend server was ejected without a successful probe, zero after one
    /// succeeded.
    pub consecutive_ejections: u32,
    /// The age of the decision.
    pub age_ms: u64,
}

#[derive(Debug, Default, Clone)]
struct BackendHealth {
    incarnation: Incarnation,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    /// The time of the latest ejection or its end; zero if there was none.
    changed_at_ms: u64,
    probing_since_ms: Option<u64>,
}

/// Holds the failure counts and ejections of the backend servers of one service.
#[derive(Debug, Default)]
pub struct Ejections {
    by_address: HashMap<SmolStr, BackendHealth>,
}

impl Ejections {
    /// Returns whether a backend server may receive a request from this entry.
    ///
    /// `turn` is the position of this entry in the order in which the entries probe the server.
    #[must_use]
    pub fn eligibility(&self, now_ms: u64, address: &str, turn: u32) -> Eligibility {
        let Some(health) = self
            .by_address
            .get(address)
            .filter(|health| health.consecutive_ejections > 0)
        else {
            return Eligibility::Eligible;
        };
        let probe_at_ms = health.changed_at_ms
            + ejection_ms(health.consecutive_ejections)
            + u64::from(turn) * PROBE_STAGGER_MS;
        let is_probing = health
            .probing_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + PROBE_TIMEOUT_MS);
        if now_ms < probe_at_ms || is_probing {
            Eligibility::Ejected
        } else {
            Eligibility::Probe
        }
    }

    /// Records that a request was sent as a probe at `now_ms`.
    pub fn start_probe(&mut self, now_ms: u64, address: &str) {
        if let Some(health) = self.by_address.get_mut(address) {
            health.probing_since_ms = Some(now_ms);
        }
    }

    /// Returns whether a backend server has consecutive failures or is ejected.
    #[must_use]
    pub fn has_failures(&self, address: &str) -> bool {
        let health = self.by_address.get(address);
        health.is_some_and(|health| {
            health.consecutive_failures > 0 || health.consecutive_ejections > 0
        })
    }

    /// Records the outcome of a request; `pool_size` is the number of ready backend servers of
    /// the service.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        address: &SmolStr,
        outcome: BackendOutcome,
        pool_size: usize,
    ) {
        match outcome {
            BackendOutcome::Succeeded => self.record_success(now_ms, address),
            BackendOutcome::Failed => self.record_failure(now_ms, address, pool_size),
            BackendOutcome::Unknown => {
                if let Some(health) = self.by_address.get_mut(address) {
                    health.probing_since_ms = None;
                }
            }
        }
    }

    fn record_success(&mut self, now_ms: u64, address: &SmolStr) {
        let Some(health) = self.by_address.get_mut(address) else {
            return;
        };
        health.consecutive_failures = 0;
        let was_probed = health.probing_since_ms.take().is_some();
        // A success without a probe does not end an ejection, because its request was sent before
        // the ejection.
        if health.consecutive_ejections > 0 && was_probed {
            health.consecutive_ejections = 0;
            health.changed_at_ms = now_ms;
        }
    }

    fn record_failure(&mut self, now_ms: u64, address: &SmolStr, pool_size: usize) {
        let can_eject_more = self.ejected_count() < pool_size / MAX_EJECTED_DIVISOR;
        let health = self.by_address.entry(address.clone()).or_default();
        health.consecutive_failures = health.consecutive_failures.saturating_add(1);
        let was_probed = health.probing_since_ms.take().is_some();
        let is_due = health.consecutive_ejections == 0
            && health.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
            && can_eject_more;
        if is_due || (health.consecutive_ejections > 0 && was_probed) {
            health.consecutive_ejections = health.consecutive_ejections.saturating_add(1);
            health.changed_at_ms = now_ms;
        }
    }

    /// Records the incarnation of a backend server; a newer one clears its failures and ejection.
    pub fn observe_incarnation(&mut self, address: &SmolStr, incarnation: Incarnation) {
        let health = self.by_address.entry(address.clone()).or_default();
        if incarnation > health.incarnation {
            *health = BackendHealth {
                incarnation,
                ..BackendHealth::default()
            };
        }
    }

    /// Applies a decision of another entry, if it is later than the local one for the same
    /// incarnation.
    pub fn apply_update(&mut self, now_ms: u64, update: &EjectionUpdate, pool_size: usize) {
        let can_eject_more = self.ejected_count() < pool_size / MAX_EJECTED_DIVISOR;
        let Some(health) = self.by_address.get_mut(&update.address) else {
            return;
        };
        let changed_at_ms = now_ms.saturating_sub(update.age_ms);
        let is_newer = changed_at_ms > health.changed_at_ms;
        let may_eject =
            update.consecutive_ejections == 0 || health.consecutive_ejections > 0 || can_eject_more;
        if update.incarnation == health.incarnation && is_newer && may_eject {
            health.consecutive_ejections = update.consecutive_ejections;
            health.changed_at_ms = changed_at_ms;
            health.consecutive_failures = 0;
        }
    }

    /// Returns the current ejections and the changes within `MAX_EJECTION_MS`, for other entries.
    pub fn updates(&self, now_ms: u64) -> impl Iterator<Item = EjectionUpdate> + '_ {
        let recent = self.by_address.iter().filter(move |(_, health)| {
            health.consecutive_ejections > 0 || now_ms < health.changed_at_ms + MAX_EJECTION_MS
        });
        let recent = recent.filter(|(_, health)| health.changed_at_ms > 0);
        recent.map(move |(address, health)| EjectionUpdate {
            address: address.clone(),
            incarnation: health.incarnation,
            consecutive_ejections: health.consecutive_ejections,
            age_ms: now_ms.saturating_sub(health.changed_at_ms),
        })
    }

    /// Drops the backend servers for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&SmolStr) -> bool) {
        self.by_address.retain(|address, _| is_known(address));
    }

    /// Returns how many backend servers are currently ejected.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        let all = self.by_address.values();
        all.filter(|health| health.consecutive_ejections > 0)
            .count()
    }
}

fn ejection_ms(consecutive_ejections: u32) -> u64 {
    let doublings = consecutive_ejections.saturating_sub(1).min(16);
    (MIN_EJECTION_MS << doublings).min(MAX_EJECTION_MS)
}
