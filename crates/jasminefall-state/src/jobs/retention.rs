//! The retention of ended jobs and of idempotency keys.

use std::collections::{BTreeMap, VecDeque};

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The most ended jobs that are kept with all their data.
pub const MAX_ENDED_JOBS: usize = 20_000;
/// The most keys that are kept; beyond it new jobs are refused, because a key evicted early would
/// let a resent job run twice.
pub const MAX_JOB_KEYS: usize = 300_000;
/// The time for which the key of an ended job is kept.
pub const JOB_KEY_RETENTION_MS: u64 = 7 * 86_400_000;

/// Holds the keys of jobs and the order in which jobs ended.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Retention {
    keys: BTreeMap<TeamId, BTreeMap<IdempotencyKey, JobId>>,
    key_count: usize,
    ended: VecDeque<JobId>,
    /// The keys of ended jobs with the time at which each expires, oldest first.
    expiring: VecDeque<(u64, TeamId, IdempotencyKey)>,
}

impl Retention {
    /// Returns the job that was submitted with a key.
    #[must_use]
    pub fn job_for_key(&self, team: &TeamId, key: &IdempotencyKey) -> Option<JobId> {
        self.keys.get(team)?.get(key).copied()
    }

    /// Returns whether another key can be kept.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.key_count < MAX_JOB_KEYS
    }

    /// Returns the time at which the next key expires, in milliseconds since 1970.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.expiring.front().map(|(at_ms, _, _)| *at_ms)
    }

    /// Adds the key of a job.
    pub(super) fn insert_key(&mut self, team: &TeamId, key: &IdempotencyKey, job: JobId) {
        let keys = self.keys.entry(team.clone()).or_default();
        keys.insert(key.clone(), job);
        self.key_count += 1;
    }

    /// Records that a job has ended; returns the job whose data is evicted, if any.
    pub(super) fn record_ended(
        &mut self,
        now_ms: u64,
        job: JobId,
        team: &TeamId,
        key: &IdempotencyKey,
    ) -> Option<JobId> {
        let until_ms = now_ms + JOB_KEY_RETENTION_MS;
        self.expiring
            .push_back((until_ms, team.clone(), key.clone()));
        self.ended.push_back(job);
        if self.ended.len() > MAX_ENDED_JOBS {
            return self.ended.pop_front();
        }
        None
    }

    /// Removes the expired keys.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while self.next_expiry_ms().is_some_and(|at_ms| at_ms <= now_ms) {
            let Some((_, team, key)) = self.expiring.pop_front() else {
                return;
            };
            let Some(keys) = self.keys.get_mut(&team) else {
                continue;
            };
            if keys.remove(&key).is_some() {
                self.key_count -= 1;
            }
            if keys.is_empty() {
                self.keys.remove(&team);
            }
        }
    }
}
