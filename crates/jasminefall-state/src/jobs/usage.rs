//! What tasks hold, by worker and by team.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use serde::{Deserialize, Serialize};

/// Holds what the tasks on one worker take together.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerUsage {
    /// What the tasks hold.
    pub held: Resources,
    /// The jobs whose tasks are there.
    pub jobs: BTreeSet<JobId>,
}

/// Counts what the tasks hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    workers: BTreeMap<WorkerId, WorkerUsage>,
    within_quota: BTreeMap<TeamId, MilliCores>,
}

impl Usage {
    /// Returns what is held on a worker.
    #[must_use]
    pub fn on_worker(&self, worker: &WorkerId) -> Option<&WorkerUsage> {
        self.workers.get(worker)
    }

    /// Returns the processors that a team holds within its quota.
    #[must_use]
    pub fn within_quota(&self, team: &TeamId) -> MilliCores {
        self.within_quota.get(team).copied().unwrap_or_default()
    }

    /// Counts a task.
    pub(super) fn add(&mut self, job: JobId, worker: &WorkerId, size: &Resources) {
        let usage = self.workers.entry(worker.clone()).or_default();
        usage.held.add(size);
        usage.jobs.insert(job);
    }

    /// Counts a task no more.
    pub(super) fn remove(&mut self, job: JobId, worker: &WorkerId, size: &Resources) {
        let Some(usage) = self.workers.get_mut(worker) else {
            return;
        };
        usage.held.subtract(size);
        usage.jobs.remove(&job);
        if usage.jobs.is_empty() {
            self.workers.remove(worker);
        }
    }

    /// Counts processors towards a team's quota.
    pub(super) fn add_team(&mut self, team: &TeamId, cpu_mcores: MilliCores) {
        let held = self.within_quota.entry(team.clone()).or_default();
        *held = held.saturating_add(cpu_mcores);
    }

    /// Counts processors towards a team's quota no more.
    pub(super) fn remove_team(&mut self, team: &TeamId, cpu_mcores: MilliCores) {
        if let Some(held) = self.within_quota.get_mut(team) {
            *held = held.saturating_sub(cpu_mcores);
            if *held == MilliCores::ZERO {
                self.within_quota.remove(team);
            }
        }
    }
}
