//! The resources that tasks hold, by worker and by team.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use serde::{Deserialize, Serialize};

/// Holds the resources used by the tasks on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerUsage {
    /// The total resources of the tasks.
    pub held: Resources,
    /// The jobs of the tasks.
    pub jobs: BTreeSet<JobId>,
}

/// Counts the resources that tasks hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    workers: BTreeMap<WorkerId, WorkerUsage>,
    within_quota: BTreeMap<TeamId, MilliCores>,
}

impl Usage {
    /// Returns the usage of a worker, or none if it has no task.
    #[must_use]
    pub fn on_worker(&self, worker: &WorkerId) -> Option<&WorkerUsage> {
        self.workers.get(worker)
    }

    /// Returns the processors that a team holds within its quota.
    #[must_use]
    pub fn within_quota(&self, team: &TeamId) -> MilliCores {
        self.within_quota.get(team).copied().unwrap_or_default()
    }

    /// Adds a task to its worker.
    pub(super) fn add_task(&mut self, job: JobId, worker: &WorkerId, size: &Resources) {
        let usage = self.workers.entry(worker.clone()).or_default();
        usage.held.add(size);
        usage.jobs.insert(job);
    }

    /// Removes a task from its worker.
    pub(super) fn remove_task(&mut self, job: JobId, worker: &WorkerId, size: &Resources) {
        let Some(usage) = self.workers.get_mut(worker) else {
            return;
        };
        usage.held.subtract(size);
        usage.jobs.remove(&job);
        if usage.jobs.is_empty() {
            self.workers.remove(worker);
        }
    }

    /// Adds processors to the used quota of a team.
    pub(super) fn add_quota_use(&mut self, team: &TeamId, cpu_mcores: MilliCores) {
        let held = self.within_quota.entry(team.clone()).or_default();
        *held = held.saturating_add(cpu_mcores);
    }

    /// Removes processors from the used quota of a team.
    pub(super) fn remove_quota_use(&mut self, team: &TeamId, cpu_mcores: MilliCores) {
        if let Some(held) = self.within_quota.get_mut(team) {
            *held = held.saturating_sub(cpu_mcores);
            if *held == MilliCores::ZERO {
                self.within_quota.remove(team);
            }
        }
    }
}
