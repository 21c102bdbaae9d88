//! Whether a worker or its jobs are at fault.
//!
//! A job that fails on several healthy workers is at fault; the state counts those. A worker is at
//! fault where several different jobs failed there and none completed. A rack that goes produces lost
//! leases, not failures, and blames neither.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;

/// How many different jobs must have failed on a worker, with none completed since.
pub const MIN_FAILED_JOBS: usize = 3;
const FORGET_AFTER_MS: u64 = 10 * 60_000;
const MAX_FAILED_JOBS: usize = 64;

#[derive(Debug, Clone, Default)]
struct Record {
    failed: BTreeSet<JobId>,
    latest_ms: u64,
}

/// Remembers the failures of each worker since its latest completed task.
#[derive(Debug, Clone, Default)]
pub struct WorkerHealth {
    records: BTreeMap<WorkerId, Record>,
}

impl WorkerHealth {
    /// Notes a completed task.
    pub fn record_completion(&mut self, worker: &WorkerId, _now_ms: u64) {
        self.records.remove(worker);
    }

    /// Notes a failed task.
    pub fn record_failure(&mut self, worker: &WorkerId, job: JobId, now_ms: u64) {
        let record = self.records.entry(worker.clone()).or_default();
        record.latest_ms = now_ms;
        if record.failed.len() < MAX_FAILED_JOBS {
            record.failed.insert(job);
        }
    }

    /// Returns the workers at fault, the worst first; `failed_elsewhere` names jobs at fault.
    pub fn faulty_workers(
        &mut self,
        now_ms: u64,
        failed_elsewhere: impl Fn(JobId, &WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        let fresh = |record: &Record| now_ms < record.latest_ms + FORGET_AFTER_MS;
        self.records.retain(|_, record| fresh(record));
        let own = self.records.iter().map(|(worker, record)| {
            let own = record.failed.iter();
            let own = own.filter(|job| !failed_elsewhere(**job, worker)).count();
            (own, worker.clone())
        });
        let mut faulty: Vec<(usize, WorkerId)> =
            own.filter(|(own, _)| *own >= MIN_FAILED_JOBS).collect();
        faulty.sort_by(|left, right| right.cmp(left));
        faulty.into_iter().map(|(_, worker)| worker).collect()
    }

    /// Forgets a worker that is tried again.
    pub fn reset(&mut self, worker: &WorkerId) {
        self.records.remove(worker);
    }
}
