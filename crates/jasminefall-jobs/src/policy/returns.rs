//! Which refused jobs are about to come back, and what they will ask for.
//!
//! The load that this answers: for some seconds a pool is asked for several times what it holds, and
//! refuses what would be late. The clients come back when they were told to; a pool that is sized by
//! what it has accepted then has no more room than before, and refuses them again. Instances that are
//! ordered while the clients wait are there when they return.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::JobKey;
use crate::job::Resources;

/// How long a client may take to come back beyond the time that it was told, in milliseconds; clients
/// add a pause of their own, and their calls may first find an entry that has no leader.
const MAY_BE_LATE_MS: u64 = 1_500;
/// How long a refused job is remembered, in milliseconds, so that its client's next attempt does not
/// count as more work; longer than clients keep trying.
const REMEMBERED_MS: u64 = 10_000;

/// Describes a job that was refused.
#[derive(Debug, Clone)]
struct Refusal {
    at_ms: u64,
    returns_at_ms: u64,
    pool: SmolStr,
    /// What its first tasks take up; nothing once its client has come back.
    first: Resources,
}

/// Remembers the jobs that were refused.
#[derive(Debug, Clone, Default)]
pub struct Returns(HashMap<JobKey, Refusal>);

impl Returns {
    /// Notes that a job was refused and told to come back after some time.
    ///
    /// `first` is what those of its tasks take up that can start at once.
    pub fn note_refusal(
        &mut self,
        (key, pool): (JobKey, &SmolStr),
        first: Resources,
        (now_ms, after_ms): (u64, u64),
    ) {
        let refusal = Refusal {
            at_ms: now_ms,
            returns_at_ms: now_ms + after_ms,
            pool: pool.clone(),
            first,
        };
        self.0.insert(key, refusal);
    }

    /// Notes that a client asks for a job; returns whether the job was refused before.
    pub fn note_attempt(&mut self, key: JobKey) -> bool {
        let Some(refusal) = self.0.get_mut(&key) else {
            return false;
        };
        refusal.first = Resources::default();
        true
    }

    /// Returns what the jobs of a pool will ask for that return within `lead_ms` or are late to.
    #[must_use]
    pub fn due(&self, now_ms: u64, lead_ms: u64, pool: &str) -> Resources {
        let is_due = |refusal: &&Refusal| {
            refusal.pool == pool
                && now_ms + lead_ms >= refusal.returns_at_ms
                && now_ms < refusal.returns_at_ms + MAY_BE_LATE_MS
        };
        let due = self.0.values().filter(is_due);
        due.fold(Resources::default(), |sum, refusal| {
            sum.plus(&refusal.first)
        })
    }

    /// Forgets the jobs whose clients have given up by now.
    pub fn forget(&mut self, now_ms: u64) {
        self.0
            .retain(|_, refusal| now_ms < refusal.at_ms + REMEMBERED_MS);
    }
}
