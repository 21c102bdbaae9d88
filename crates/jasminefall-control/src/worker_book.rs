//! What workers said of themselves to this leader, and which leases it has granted.
//!
//! A worker counts its lease from when it asked, this leader from when it answered, which is later. A
//! new leader does not know the grants of the one before: every worker counts as granted at the start
//! of the leadership, so the longest unknown lease is waited out.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::sizing::SizeEstimator;

/// How long a worker may go on with its tasks, counted from when it asked.
pub(crate) const TASK_LEASE_MS: DurationMs = DurationMs::new(5_000);
/// What is added to the lease here, against clocks that run at different rates.
const LEASE_MARGIN_MS: u64 = 500;
/// How long a worker counts as live after its latest heartbeat.
const LIVE_MS: u64 = 1_500;
/// How long a drained instance must have been without requests before it is rebooted.
const DRAIN_QUIET_MS: u64 = 1_000;

/// Holds what one worker said last.
#[derive(Debug, Clone, Default)]
pub(crate) struct Heard {
    /// When it was heard, on the monotonic clock.
    pub(crate) at_ms: u64,
    /// The requests that its backend server has in progress.
    pub(crate) requests_in_progress: u64,
    /// The software that it runs.
    pub(crate) software: SmolStr,
    /// When it was first told to drain.
    drain_told_at_ms: Option<u64>,
}

impl Heard {
    /// Creates the record of a heartbeat.
    pub(crate) fn new(at_ms: u64, requests_in_progress: u64, software: SmolStr) -> Self {
        Self {
            at_ms,
            requests_in_progress,
            software,
            drain_told_at_ms: None,
        }
    }
}

/// Remembers workers and leases; starts over with each leadership.
#[derive(Debug, Default)]
pub(crate) struct WorkerBook {
    heard: BTreeMap<WorkerId, Heard>,
    revoked: BTreeSet<WorkerId>,
    leading_since_ms: u64,
    /// When a wish for a task was first made, by job and epoch.
    pub(crate) wished_at_ms: BTreeMap<(JobId, Epoch), u64>,
    /// What tasks of each kind were seen to use.
    pub(crate) sizes: SizeEstimator,
    /// How the tasks of each worker ended.
    pub(crate) health: jasminefall_policy::worker_health::WorkerHealth,
    /// Why each instance of a wave was not taken in the latest round.
    pub(crate) wave_holds: BTreeMap<InstanceId, SmolStr>,
    /// Why each waiting job was not placed in the latest round.
    pub(crate) job_holds: BTreeMap<JobId, SmolStr>,
}

impl WorkerBook {
    /// Creates the book of a leadership that begins now.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            leading_since_ms: now_ms,
            ..Self::default()
        }
    }

    /// Notes a heartbeat and grants a lease; returns false where the lease is being revoked.
    pub(crate) fn grant(&mut self, worker: &WorkerId, now_ms: u64, heard: Heard) -> bool {
        if self.revoked.contains(worker) {
            return false;
        }
        let known = self.heard.entry(worker.clone()).or_default();
        *known = Heard {
            at_ms: now_ms,
            drain_told_at_ms: known.drain_told_at_ms,
            ..heard
        };
        true
    }

    /// Notes whether a worker has now been told to drain.
    pub(crate) fn note_drain(&mut self, worker: &WorkerId, now_ms: u64, drains: bool) {
        if let Some(heard) = self.heard.get_mut(worker) {
            let told_at_ms = heard.drain_told_at_ms.unwrap_or(now_ms);
            heard.drain_told_at_ms = drains.then_some(told_at_ms);
        }
    }

    /// Returns whether a draining instance has had no request for long enough.
    pub(crate) fn is_quiet(&self, worker: &WorkerId) -> bool {
        self.heard.get(worker).is_some_and(|heard| {
            let told_at_ms = heard.drain_told_at_ms;
            let quiet = told_at_ms.is_some_and(|at_ms| heard.at_ms >= at_ms + DRAIN_QUIET_MS);
            quiet && heard.requests_in_progress == 0
        })
    }

    /// Returns what a worker said last.
    pub(crate) fn heard(&self, worker: &WorkerId) -> Option<&Heard> {
        self.heard.get(worker)
    }

    /// Returns whether a worker was heard lately.
    pub(crate) fn is_live(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let heard = self.heard.get(worker);
        let live = heard.is_some_and(|heard| now_ms < heard.at_ms + LIVE_MS);
        live && !self.revoked.contains(worker)
    }

    /// Returns whether a worker must have stopped its tasks by itself.
    pub(crate) fn has_expired(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let heard = self.heard.get(worker);
        let granted_at_ms = heard.map_or(self.leading_since_ms, |heard| heard.at_ms);
        now_ms >= granted_at_ms + TASK_LEASE_MS.get() + LEASE_MARGIN_MS
    }

    /// Grants no lease to a worker until [`WorkerBook::forget`].
    pub(crate) fn revoke(&mut self, worker: &WorkerId) {
        self.revoked.insert(worker.clone());
    }

    /// Forgets workers whose loss has been committed; they may ask again.
    pub(crate) fn forget(&mut self, workers: &[WorkerId]) {
        for worker in workers {
            self.revoked.remove(worker);
            self.heard.remove(worker);
        }
    }
}
