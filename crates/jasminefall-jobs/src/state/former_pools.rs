//! The pools in which runs of a queue's jobs may still be active.
//!
//! Runs go on where they are when a configuration gives their queue another pool. A new leader has to know
//! all pools in which earlier leaders may have started a task, before it starts the task again.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::JobsState;
use crate::configuration::Configuration;
use crate::ids::QueueKey;

/// Holds the pools that queues with active jobs had in earlier configurations.
pub type FormerPools = BTreeMap<QueueKey, BTreeSet<SmolStr>>;

impl JobsState {
    /// Returns the pools that a queue had in earlier configurations, if it has active jobs since then.
    pub(crate) fn former_pools_of(&self, queue: &QueueKey) -> BTreeSet<SmolStr> {
        self.former_pools.get(queue).cloned().unwrap_or_default()
    }

    /// Records the pools of the queues that `next` removes or gives another pool.
    pub(super) fn record_former_pools(&mut self, next: &Configuration) {
        for queue in &self.configuration.queues {
            let next_pool = next.queue(&queue.key).map(|queue| &queue.pool);
            if next_pool != Some(&queue.pool) {
                let pools = self.former_pools.entry(queue.key.clone()).or_default();
                pools.insert(queue.pool.clone());
            }
        }
        let active = self.active_queues();
        let used = self.pools_of_incarnations();
        self.former_pools.retain(|queue, pools| {
            pools.retain(|pool| used.contains(pool) || next.pool(pool).is_some());
            active.contains(queue) && !pools.is_empty()
        });
    }

    /// Assumes that every queue with active jobs had every pool, since a snapshot of an earlier version
    /// doesn't tell.
    pub(super) fn assume_former_pools(&mut self) {
        let used = self.pools_of_incarnations();
        if !used.is_empty() {
            let active = self.active_queues().into_iter();
            self.former_pools = active.map(|queue| (queue, used.clone())).collect();
        }
    }

    fn active_queues(&self) -> BTreeSet<QueueKey> {
        let active = self.jobs.values().filter(|job| job.ended.is_none());
        active.map(|job| job.queue.clone()).collect()
    }

    fn pools_of_incarnations(&self) -> BTreeSet<SmolStr> {
        let records = self.incarnations.values();
        records
            .map(|record| record.heartbeat.pool.clone())
            .collect()
    }
}
