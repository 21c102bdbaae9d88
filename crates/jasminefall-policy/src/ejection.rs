//! Which backend servers are left out because they fail what they are given.
//!
//! A backend server is ejected after failures in a row, unless too large a part of its pool is
//! ejected already: what fails everywhere is not the fault of one. After a pause a single request
//! probes it; the entries take turns, so that one probe serves all where they hear of each other.

use std::collections::HashMap;

use jasminefall_core::prelude::*;

const FAILURES_IN_A_ROW: u32 = 5;
const FIRST_PAUSE_MS: u64 = 2_000;
const LONGEST_PAUSE_MS: u64 = 60_000;
/// How much later each further entry in turn probes.
const TURN_MS: u64 = 1_000;
/// How long a probe may stay without outcome before another one may go out.
const PROBE_LIMIT_MS: u64 = 30_000;
/// At most one in this many of a pool's backend servers is ejected.
const EJECTED_DIVISOR: usize = 3;

/// Says what came of a request at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendOutcome {
    /// It answered as it should.
    Succeeded,
    /// It failed: refused connection, broken exchange, silence or a server error.
    Failed,
    /// Nothing is known.
    Unknown,
}

/// Says whether a backend server may be given a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// It may be given one, as a probe.
    Probe,
    /// It may not.
    Ejected,
}

/// Tells other entries of one ejection, or of its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionUpdate {
    /// The address of the backend server.
    pub address: SmolStr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The ejections in a row, zero where it is back.
    pub consecutive_ejections: u32,
    /// How long ago this was decided.
    pub age_ms: u64,
}

#[derive(Debug, Default, Clone)]
struct Health {
    incarnation: Incarnation,
    failures: u32,
    consecutive_ejections: u32,
    changed_at_ms: u64,
    probing_since_ms: Option<u64>,
}

/// Holds the health of the backend servers of one service.
#[derive(Debug, Default)]
pub struct Ejections {
    by_address: HashMap<SmolStr, Health>,
}

impl Ejections {
    /// Returns whether a backend server may be given a request by the entry whose turn is `turn`.
    #[must_use]
    pub fn eligibility(&self, now_ms: u64, address: &str, turn: u32) -> Eligibility {
        let Some(health) = self
            .by_address
            .get(address)
            .filter(|held| held.consecutive_ejections > 0)
        else {
            return Eligibility::Eligible;
        };
        let probe_at_ms = health.changed_at_ms
            + pause_ms(health.consecutive_ejections)
            + u64::from(turn) * TURN_MS;
        let is_probing = health
            .probing_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + PROBE_LIMIT_MS);
        if now_ms < probe_at_ms || is_probing {
            Eligibility::Ejected
        } else {
            Eligibility::Probe
        }
    }

    /// Notes that a request was given out as a probe.
    pub fn start_probe(&mut self, now_ms: u64, address: &str) {
        if let Some(health) = self.by_address.get_mut(address) {
            health.probing_since_ms = Some(now_ms);
        }
    }

    /// Returns whether anything but success is on record for a backend server.
    #[must_use]
    pub fn has_failures(&self, address: &str) -> bool {
        let health = self.by_address.get(address);
        health.is_some_and(|health| health.failures > 0 || health.consecutive_ejections > 0)
    }

    /// Takes an outcome; `pool` is the number of ready backend servers of the service.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        address: &SmolStr,
        outcome: BackendOutcome,
        pool: usize,
    ) {
        match outcome {
            BackendOutcome::Succeeded => self.succeed(now_ms, address),
            BackendOutcome::Failed => self.fail(now_ms, address, pool),
            BackendOutcome::Unknown => {
                if let Some(health) = self.by_address.get_mut(address) {
                    health.probing_since_ms = None;
                }
            }
        }
    }

    fn succeed(&mut self, now_ms: u64, address: &SmolStr) {
        let Some(health) = self.by_address.get_mut(address) else {
            return;
        };
        health.failures = 0;
        let was_probed = health.probing_since_ms.take().is_some();
        // An answer to a request from before the ejection proves nothing new.
        if health.consecutive_ejections > 0 && was_probed {
            health.consecutive_ejections = 0;
            health.changed_at_ms = now_ms;
        }
    }

    fn fail(&mut self, now_ms: u64, address: &SmolStr, pool: usize) {
        let has_room = self.ejected_count() < pool / EJECTED_DIVISOR;
        let health = self.by_address.entry(address.clone()).or_default();
        health.failures = health.failures.saturating_add(1);
        let was_probed = health.probing_since_ms.take().is_some();
        let is_due =
            health.consecutive_ejections == 0 && health.failures >= FAILURES_IN_A_ROW && has_room;
        if is_due || (health.consecutive_ejections > 0 && was_probed) {
            health.consecutive_ejections = health.consecutive_ejections.saturating_add(1);
            health.changed_at_ms = now_ms;
        }
    }

    /// Takes the incarnation of a backend server; a new one starts with a clean record.
    pub fn observe_incarnation(&mut self, address: &SmolStr, incarnation: Incarnation) {
        let health = self.by_address.entry(address.clone()).or_default();
        if incarnation > health.incarnation {
            *health = Health {
                incarnation,
                ..Health::default()
            };
        }
    }

    /// Takes what another entry decided; the later decision on an incarnation counts.
    pub fn apply_update(&mut self, now_ms: u64, news: &EjectionUpdate, pool: usize) {
        let has_room = self.ejected_count() < pool / EJECTED_DIVISOR;
        let Some(health) = self.by_address.get_mut(&news.address) else {
            return;
        };
        let changed_at_ms = now_ms.saturating_sub(news.age_ms);
        let is_later = changed_at_ms > health.changed_at_ms;
        let may_eject =
            news.consecutive_ejections == 0 || health.consecutive_ejections > 0 || has_room;
        if news.incarnation == health.incarnation && is_later && may_eject {
            health.consecutive_ejections = news.consecutive_ejections;
            health.changed_at_ms = changed_at_ms;
            health.failures = 0;
        }
    }

    /// Returns what other entries should hear.
    pub fn updates(&self, now_ms: u64) -> impl Iterator<Item = EjectionUpdate> + '_ {
        let decided = self.by_address.iter().filter(move |(_, health)| {
            health.consecutive_ejections > 0 || now_ms < health.changed_at_ms + LONGEST_PAUSE_MS
        });
        let decided = decided.filter(|(_, health)| health.changed_at_ms > 0);
        decided.map(move |(address, health)| EjectionUpdate {
            address: address.clone(),
            incarnation: health.incarnation,
            consecutive_ejections: health.consecutive_ejections,
            age_ms: now_ms.saturating_sub(health.changed_at_ms),
        })
    }

    /// Forgets the backend servers that `is_known` does not accept.
    pub fn retain(&mut self, is_known: impl Fn(&SmolStr) -> bool) {
        self.by_address.retain(|address, _| is_known(address));
    }

    /// Returns how many backend servers are ejected.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        let all = self.by_address.values();
        all.filter(|health| health.consecutive_ejections > 0)
            .count()
    }
}

fn pause_ms(consecutive_ejections: u32) -> u64 {
    let doublings = consecutive_ejections.saturating_sub(1).min(16);
    (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS)
}
