//! Failed runs, which speak against their task or against their worker.

use std::collections::{BTreeSet, HashMap};

use smol_str::SmolStr;

use super::{Leader, WorkerHandle};
use crate::ids::TaskId;
use crate::policy::health::quarantine_limit;

/// The number of workers on which a task has to fail for its failures not to count against workers.
const TASK_AT_FAULT_AFTER_WORKERS: usize = 2;

/// Holds the names of the workers on which each task that is not done has failed.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailedTasks {
    workers: HashMap<TaskId, BTreeSet<SmolStr>>,
}

impl FailedTasks {
    /// Removes a task that is done or no longer needed.
    pub(super) fn remove(&mut self, task: TaskId) {
        self.workers.remove(&task);
    }
}

impl Leader {
    /// Processes a run that has failed through the fault of its task or of its worker.
    pub(super) fn record_failed_run(&mut self, handle: WorkerHandle, task: TaskId) {
        let now_ms = self.now.steady_ms;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let incarnation = worker.incarnation().clone();
        let failed_on = self.failed_tasks.workers.entry(task).or_default();
        failed_on.insert(incarnation.worker.clone());
        if failed_on.len() < TASK_AT_FAULT_AFTER_WORKERS {
            if worker.health.record_failure(task, now_ms) {
                self.log_event(format!("event=worker_quarantined worker={incarnation}"));
            }
            return;
        }
        let names: Vec<_> = failed_on.iter().cloned().collect();
        for name in names {
            self.withdraw_failures(&name, task);
        }
    }

    /// Withdraws the failures of a task from the incarnations of a worker.
    fn withdraw_failures(&mut self, name: &str, task: TaskId) {
        let now_ms = self.now.steady_ms;
        let handles: Vec<_> = self.directory.by_name(name).collect();
        for handle in handles {
            let Some(worker) = self.workers.get_mut(&handle) else {
                continue;
            };
            if worker.health.withdraw(task, now_ms) {
                let line = format!(
                    "event=quarantine_ended worker={} cause=task-at-fault task={task}",
                    worker.incarnation()
                );
                self.dirty_pools.insert(worker.heartbeat.pool.clone());
                self.log_event(line);
            }
        }
    }

    /// Returns the workers of a pool that get no tasks because tasks keep failing there: as many as the limit
    /// permits, those first against which most speaks.
    pub(super) fn quarantined_workers(&self, pool: &str) -> BTreeSet<WorkerHandle> {
        let now_ms = self.now.steady_ms;
        let mut count = 0;
        let mut quarantined = Vec::new();
        for handle in self.directory.in_pool(pool) {
            count += 1;
            if let Some(worker) = self.workers.get(&handle)
                && worker.health.is_quarantined(now_ms)
            {
                quarantined.push((std::cmp::Reverse(worker.health.severity()), handle));
            }
        }
        quarantined.sort_unstable();
        let kept = quarantined.into_iter().take(quarantine_limit(count));
        kept.map(|(_, handle)| handle).collect()
    }
}
