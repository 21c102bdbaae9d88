//! Attribution of task failures to a worker or to its jobs.
//!
//! A job that fails on several healthy workers is faulty; the cluster state counts those failures.
//! A worker is faulty if several different jobs failed on it and none completed since. The loss of
//! a rack causes expired leases, not failures, and is attributed to neither.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;

/// How many different jobs must have failed on a worker since its latest completed task for the
/// worker to be faulty.
pub const MIN_FAILED_JOBS: usize = 3;
/// How long after its latest failure the failures of a worker count.
const FAILURE_RETENTION_MS: u64 = 10 * 60_000;
const MAX_FAILED_JOBS_PER_WORKER: usize = 64;

#[derive(Debug, Clone, Default)]
struct FailureRecord {
    failed: BTreeSet<JobId>,
    latest_ms: u64,
}

/// Holds the failed jobs of each worker since its latest completed task.
#[derive(Debug, Clone, Default)]
pub struct FailureTracker {
    records: BTreeMap<WorkerId, FailureRecord>,
}

impl FailureTracker {
    /// Records a completed task, which clears the failures of the worker.
    pub fn record_completion(&mut self, worker: &WorkerId, _now_ms: u64) {
        self.records.remove(worker);
    }

    /// Records a failed task.
    pub fn record_failure(&mut self, worker: &WorkerId, job: JobId, now_ms: u64) {
        let record = self.records.entry(worker.clone()).or_default();
        record.latest_ms = now_ms;
        if record.failed.len() < MAX_FAILED_JOBS_PER_WORKER {
            record.failed.insert(job);
        }
    }

    /// Returns the faulty workers, most failures first.
    ///
    /// A failure is not counted against the worker if `failed_elsewhere` returns true for its job.
    pub fn faulty_workers(
        &mut self,
        now_ms: u64,
        failed_elsewhere: impl Fn(JobId, &WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        let is_recent = |record: &FailureRecord| now_ms < record.latest_ms + FAILURE_RETENTION_MS;
        self.records.retain(|_, record| is_recent(record));
        let failures = self.records.iter().map(|(worker, record)| {
            let jobs = record.failed.iter();
            let count = jobs.filter(|job| !failed_elsewhere(**job, worker)).count();
            (count, worker.clone())
        });
        let mut faulty: Vec<(usize, WorkerId)> = failures
            .filter(|(count, _)| *count >= MIN_FAILED_JOBS)
            .collect();
        faulty.sort_by(|left, right| right.cmp(left));
        faulty.into_iter().map(|(_, worker)| worker).collect()
    }

    /// Clears the failures of a worker that returns to service.
    pub fn reset(&mut self, worker: &WorkerId) {
        self.records.remove(worker);
    }
}
