//! Requests to the advice service: which workers one names, and how long to wait for its response.
//!
//! The service responds after a fixed time and a time for each worker named, and handles the requests
//! of one instance sequentially. A request therefore names first the workers on which a ticket is the
//! most useful, and only as many as are expected to suffice.

use std::cmp::Reverse;

use crate::policy::placement::FULL_MILLIS;

/// Maximum number of workers in one request; the limit of the advice interface.
pub const MAX_WORKERS_PER_REQUEST: usize = 100;
/// The number of workers that the first request for a step names if there are as many, unless earlier steps of
/// the queue tell which are permitted; each further request names twice as many as the one before.
const FIRST_REQUEST_WORKERS: usize = 32;
/// The number of responses from which on the share of permitted steps is relied on.
const MIN_RESPONSES: u32 = 2;
/// How many times the room that a step needs should be covered by the expected tickets, since other
/// tasks may use the room until they arrive.
const ROOM_FACTOR: u64 = 2;
/// The share of earlier steps, in thousandths, below which a ticket on a worker is unlikely.
const UNLIKELY_MILLIS: u64 = 250;

/// Describes a worker without a valid ticket on which a step could run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AdviceCandidate {
    /// Whether the step is known to be permitted on the worker, so that only its ticket has expired.
    pub is_permitted: bool,
    /// The number of tasks of the step that fit on the worker now.
    pub room_tasks: u64,
    /// How often earlier steps of the queue were permitted on the worker.
    pub earlier: GrantCount,
    /// Whether tasks keep failing on the worker.
    pub is_quarantined: bool,
    /// Whether the worker is on the step's preferred rack; true for a step without one.
    pub on_preferred_rack: bool,
    /// The number of consecutive failed runs on the worker.
    pub recent_failures: u32,
}

/// Counts the steps for which the service was asked about a worker, and those that it permitted there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GrantCount {
    /// The number of steps that were permitted on the worker.
    pub granted: u32,
    /// The number of steps for which the service has responded.
    pub asked: u32,
}

impl GrantCount {
    /// Adds the response for one step.
    pub const fn record(&mut self, is_granted: bool) {
        self.asked = self.asked.saturating_add(1);
        if is_granted {
            self.granted = self.granted.saturating_add(1);
        }
    }

    /// Returns the estimated probability that a further step is permitted, in thousandths; half if nothing
    /// is known.
    #[must_use]
    pub const fn share_millis(self) -> u64 {
        (self.granted as u64 + 1) * FULL_MILLIS / (self.asked as u64 + 2)
    }
}

/// Returns the positions of the workers that the next request names, in order: those with room before the
/// others, and among these the ones where a ticket is likely and useful.
///
/// `needed_tasks` is the number of tasks that wait, and `requests` the number of requests for the step
/// after which it still waits.
#[must_use]
pub fn choose_workers(
    candidates: &[AdviceCandidate],
    needed_tasks: u64,
    requests: u32,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|position| {
        let candidate = &candidates[*position];
        let share_millis = candidate.earlier.share_millis();
        (
            candidate.room_tasks == 0,
            !candidate.is_permitted,
            candidate.is_quarantined,
            share_millis < UNLIKELY_MILLIS,
            !candidate.on_preferred_rack,
            candidate.recent_failures,
            Reverse(share_millis),
        )
    });
    let min_workers = FIRST_REQUEST_WORKERS
        .checked_shl(requests)
        .unwrap_or(MAX_WORKERS_PER_REQUEST)
        .clamp(FIRST_REQUEST_WORKERS, MAX_WORKERS_PER_REQUEST);
    let wanted_millis = needed_tasks.saturating_mul(ROOM_FACTOR * FULL_MILLIS);
    let mut expected_millis: u64 = 0;
    // The part of `expected_millis` on workers about which something is known.
    let mut known_millis: u64 = 0;
    let mut chosen = Vec::new();
    for position in order {
        let is_covered = chosen.len() >= min_workers && expected_millis >= wanted_millis;
        let is_known = requests == 0 && known_millis >= wanted_millis;
        if is_covered || is_known || chosen.len() >= MAX_WORKERS_PER_REQUEST {
            break;
        }
        let candidate = &candidates[position];
        let share_millis = if candidate.is_permitted {
            FULL_MILLIS
        } else {
            candidate.earlier.share_millis()
        };
        let room_tasks = candidate.room_tasks.min(needed_tasks);
        let room_millis = room_tasks.saturating_mul(share_millis);
        expected_millis = expected_millis.saturating_add(room_millis);
        if candidate.is_permitted || candidate.earlier.asked >= MIN_RESPONSES {
            known_millis = known_millis.saturating_add(room_millis);
        }
        chosen.push(position);
    }
    chosen
}

/// Derives the time limit of a request from the time that earlier ones took, since the terms of the service
/// vary and an open channel can become silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimeout {
    timeout_ms: u64,
}

/// The least time limit in milliseconds, so that a short delay in the network loses no response.
const MIN_TIMEOUT_MS: u64 = 1_000;
/// The greatest time limit in milliseconds.
const MAX_TIMEOUT_MS: u64 = 5_000;
/// How many times the duration of a response the limit of later requests must be.
const TIMEOUT_FACTOR: u64 = 4;

impl Default for ResponseTimeout {
    fn default() -> Self {
        Self {
            timeout_ms: MIN_TIMEOUT_MS,
        }
    }
}

impl ResponseTimeout {
    /// Returns the time limit in milliseconds.
    #[must_use]
    pub const fn timeout_ms(self) -> u64 {
        self.timeout_ms
    }

    /// Records the time that a response took; the limit decreases slowly.
    pub fn record_response(&mut self, took_ms: u64) {
        let wanted_ms = took_ms.saturating_mul(TIMEOUT_FACTOR);
        let decreased_ms = self.timeout_ms - self.timeout_ms / 8;
        self.timeout_ms = wanted_ms
            .max(decreased_ms)
            .clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }

    /// Records that a request got no response within the limit.
    pub fn record_timeout(&mut self) {
        self.timeout_ms = (self.timeout_ms * 2).min(MAX_TIMEOUT_MS);
    }
}
