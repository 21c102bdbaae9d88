//! The leader's record of heartbeats and task leases of workers.
//!
//! A worker counts its lease from the time at which it sent the heartbeat, and the leader from the
//! later time at which it responded, so that the worker's lease ends first. A new leader has no
//! record of the leases granted by the previous one. It therefore assumes that every worker renewed
//! its lease at the start of the leadership, and waits for the longest lease that may be unknown to
//! it.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::sizing::SizeEstimator;

/// How long a worker may run its tasks, counted from when it sent the heartbeat.
pub(crate) const TASK_LEASE_MS: DurationMs = DurationMs::new(5_000);
/// Extends the lease on the leader, because clocks may run at different rates.
const CLOCK_DRIFT_MARGIN_MS: u64 = 500;
/// A worker without a heartbeat for this long does not count as live.
const LIVENESS_TIMEOUT_MS: u64 = 1_500;
/// A draining instance counts as drained only if it reports no request in progress at least this
/// long after the first request to drain.
const MIN_DRAIN_MS: u64 = 1_000;

/// Holds the latest heartbeat of a worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeartbeatRecord {
    /// The time of the heartbeat, on the monotonic clock.
    pub(crate) at_ms: u64,
    /// The number of requests in progress at its backend server.
    pub(crate) requests_in_progress: u64,
    /// The software version that it reported.
    pub(crate) software: SmolStr,
    /// The time of the first request to drain, if it is draining, on the monotonic clock.
    drain_requested_at_ms: Option<u64>,
}

impl HeartbeatRecord {
    /// Creates the record of a heartbeat at `at_ms` on the monotonic clock.
    pub(crate) fn new(at_ms: u64, requests_in_progress: u64, software: SmolStr) -> Self {
        Self {
            at_ms,
            requests_in_progress,
            software,
            drain_requested_at_ms: None,
        }
    }
}

/// Holds the heartbeats and leases of workers during one leadership.
#[derive(Debug, Default)]
pub(crate) struct WorkerRegistry {
    heartbeats: BTreeMap<WorkerId, HeartbeatRecord>,
    revoked_leases: BTreeSet<WorkerId>,
    leader_since_ms: u64,
    /// The monotonic time of the first preemption of each task, by job and epoch.
    pub(crate) preemption_requested_at_ms: BTreeMap<(JobId, Epoch), u64>,
    /// Estimates of the resource usage of tasks, by kind.
    pub(crate) sizes: SizeEstimator,
    /// The recent task failures of each worker.
    pub(crate) health: jasminefall_policy::worker_health::FailureTracker,
    /// The reason for which each instance of a wave was not cordoned in the latest round.
    pub(crate) wave_hold_reasons: BTreeMap<InstanceId, SmolStr>,
    /// The reason for which each waiting job was not placed in the latest round.
    pub(crate) job_hold_reasons: BTreeMap<JobId, SmolStr>,
}

impl WorkerRegistry {
    /// Creates the registry of a leadership that begins at `now_ms`.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            leader_since_ms: now_ms,
            ..Self::default()
        }
    }

    /// Records a heartbeat and renews the lease; returns false if the lease is revoked.
    pub(crate) fn renew_lease(
        &mut self,
        worker: &WorkerId,
        now_ms: u64,
        heartbeat: HeartbeatRecord,
    ) -> bool {
        if self.revoked_leases.contains(worker) {
            return false;
        }
        let known = self.heartbeats.entry(worker.clone()).or_default();
        *known = HeartbeatRecord {
            at_ms: now_ms,
            drain_requested_at_ms: known.drain_requested_at_ms,
            ..heartbeat
        };
        true
    }

    /// Records whether the current response requests the worker to drain.
    pub(crate) fn record_drain(&mut self, worker: &WorkerId, now_ms: u64, is_draining: bool) {
        if let Some(heartbeat) = self.heartbeats.get_mut(worker) {
            let requested_at_ms = heartbeat.drain_requested_at_ms.unwrap_or(now_ms);
            heartbeat.drain_requested_at_ms = is_draining.then_some(requested_at_ms);
        }
    }

    /// Returns whether an instance has drained for long enough and has no request in progress.
    pub(crate) fn has_drained_requests(&self, worker: &WorkerId) -> bool {
        self.heartbeats.get(worker).is_some_and(|heartbeat| {
            let requested_at_ms = heartbeat.drain_requested_at_ms;
            let waited =
                requested_at_ms.is_some_and(|at_ms| heartbeat.at_ms >= at_ms + MIN_DRAIN_MS);
            waited && heartbeat.requests_in_progress == 0
        })
    }

    /// Returns the latest heartbeat of a worker in this leadership.
    pub(crate) fn last_heartbeat(&self, worker: &WorkerId) -> Option<&HeartbeatRecord> {
        self.heartbeats.get(worker)
    }

    /// Returns whether a worker sent a heartbeat recently and its lease is not revoked.
    pub(crate) fn is_live(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let heartbeat = self.heartbeats.get(worker);
        let live =
            heartbeat.is_some_and(|heartbeat| now_ms < heartbeat.at_ms + LIVENESS_TIMEOUT_MS);
        live && !self.revoked_leases.contains(worker)
    }

    /// Returns whether the lease of a worker has expired, so that it must have stopped its tasks.
    pub(crate) fn has_expired_lease(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let heartbeat = self.heartbeats.get(worker);
        let granted_at_ms = heartbeat.map_or(self.leader_since_ms, |heartbeat| heartbeat.at_ms);
        now_ms >= granted_at_ms + TASK_LEASE_MS.get() + CLOCK_DRIFT_MARGIN_MS
    }

    /// Refuses to renew the lease of a worker until [`WorkerRegistry::remove`].
    pub(crate) fn revoke_lease(&mut self, worker: &WorkerId) {
        self.revoked_leases.insert(worker.clone());
    }

    /// Removes workers whose loss has been committed; they may obtain a new lease.
    pub(crate) fn remove(&mut self, workers: &[WorkerId]) {
        for worker in workers {
            self.revoked_leases.remove(worker);
            self.heartbeats.remove(worker);
        }
    }
}
