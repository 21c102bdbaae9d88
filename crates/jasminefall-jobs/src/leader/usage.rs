//! Resources that the tasks of each workspace use, and the caps on them.
//!
//! A cap must hold for everything that may run. Besides the runs that the leader knows, these are the runs
//! that an earlier leader may have started on workers whose run list has not been received yet. Until it is,
//! every waiting task of a job that the leader inherited counts as running.

use std::collections::{BTreeSet, HashMap, HashSet};

use smol_str::SmolStr;

use super::steps::StepState;
use super::{Leader, Run};
use crate::ids::{JobKey, StepId};
use crate::job::Resources;
use crate::policy::shares::{PoolShares, RateMeter};
use crate::state::{JobOwner, JobsState};
use crate::workspace::{Workspace, WorkspaceName};

/// The interval at which the unconfirmed use is computed, in milliseconds; it only decreases between two
/// computations, so an older value is never too low.
const UNCONFIRMED_INTERVAL_MS: u64 = 50;
/// The interval of log lines about a workspace that waits for its cap, in milliseconds.
const CAP_LOG_INTERVAL_MS: u64 = 1_000;
/// The age at which no run of a job that was cancelled or failed can be left, in milliseconds; far above
/// the longest lease, since it is measured on a wall clock that may be adjusted.
const ENDED_JOB_RUNS_MS: u64 = 60_000;

/// Describes the use of resources that is attributed to a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Charge {
    pub(crate) workspace: WorkspaceName,
    /// The pool of the worker; empty for a run that an earlier leader started for a job that has ended.
    pub(crate) pool: SmolStr,
    pub(crate) needs: Resources,
}

/// Holds the resources that a workspace uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkspaceUse {
    /// The needs of its runs, from the request to start them until they cannot be active any more.
    pub running: Resources,
    /// The needs of tasks that may run on workers whose run list has not been received yet.
    pub unconfirmed: Resources,
    /// The submissions that this leader has refused.
    pub refused: u64,
}

impl WorkspaceUse {
    /// Returns all that the workspace may use.
    #[must_use]
    pub const fn total(&self) -> Resources {
        self.running.plus(&self.unconfirmed)
    }
}

/// Tracks the use of each workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct UsageTracker {
    running: HashMap<WorkspaceName, Resources>,
    running_in_pool: HashMap<(SmolStr, WorkspaceName), Resources>,
    unconfirmed: HashMap<WorkspaceName, Resources>,
    unconfirmed_computed_at_ms: Option<u64>,
    /// Jobs that have ended while runs of them may be active on workers whose run list has not been
    /// received yet.
    ended_jobs: HashMap<JobKey, JobOwner>,
    cap_logged_at_ms: HashMap<WorkspaceName, u64>,
    rates: HashMap<WorkspaceName, RateMeter>,
    refused: HashMap<WorkspaceName, u64>,
    /// Accepted jobs that were submitted beyond the rate of their workspace and are not committed yet.
    pub(super) beyond_rate: HashSet<JobKey>,
}

impl UsageTracker {
    /// Creates the tracker of a new leader, which knows no run yet.
    pub(crate) fn resumed(wall_ms: u64, state: &JobsState) -> Self {
        let may_have_runs = |(key, owner): &(&JobKey, &JobOwner)| {
            let ended_at_ms = state.jobs.get(key).and_then(|job| job.ended_at_ms);
            let is_recent =
                ended_at_ms.is_none_or(|ended_at_ms| wall_ms < ended_at_ms + ENDED_JOB_RUNS_MS);
            owner.unfinished != Resources::default() && is_recent
        };
        let ended = state.owners.iter().filter(may_have_runs);
        Self {
            ended_jobs: ended.map(|(key, owner)| (*key, owner.clone())).collect(),
            ..Self::default()
        }
    }

    /// Adds the use of a new run.
    pub(super) fn add(&mut self, run: &Run) {
        if let Some(charge) = &run.charge {
            let used = self.running.entry(charge.workspace.clone()).or_default();
            *used = used.plus(&charge.needs);
            let key = (charge.pool.clone(), charge.workspace.clone());
            let used = self.running_in_pool.entry(key).or_default();
            *used = used.plus(&charge.needs);
        }
    }

    /// Removes the use of a run that has ended.
    pub(super) fn remove(&mut self, run: &Run) {
        let Some(charge) = &run.charge else {
            return;
        };
        if let Some(used) = self.running.get_mut(&charge.workspace) {
            *used = used.minus(&charge.needs);
            if *used == Resources::default() {
                self.running.remove(&charge.workspace);
            }
        }
        let key = (charge.pool.clone(), charge.workspace.clone());
        if let Some(used) = self.running_in_pool.get_mut(&key) {
            *used = used.minus(&charge.needs);
        }
    }

    /// Records a submission; returns `None` if it is within the rate of its workspace, and otherwise the
    /// time until one is, in milliseconds.
    pub(super) fn record_submission(&mut self, workspace: &Workspace, now_ms: u64) -> Option<u64> {
        let meter = self.rates.entry(workspace.name.clone()).or_default();
        let is_within = meter.record(now_ms, workspace.weight);
        (!is_within).then(|| meter.wait_ms(workspace.weight))
    }

    /// Counts a refused submission.
    pub(super) fn record_refusal(&mut self, workspace: &Workspace) {
        *self.refused.entry(workspace.name.clone()).or_default() += 1;
    }

    /// Returns the use of a workspace.
    pub(super) fn of(&self, workspace: &WorkspaceName) -> WorkspaceUse {
        let known = |uses: &HashMap<_, Resources>| uses.get(workspace).copied().unwrap_or_default();
        WorkspaceUse {
            running: known(&self.running),
            unconfirmed: known(&self.unconfirmed),
            refused: self.refused.get(workspace).copied().unwrap_or(0),
        }
    }

    /// Returns the charge for a run that an earlier leader started, of a job that has ended. The step of
    /// the run is not known any more, so its largest task counts.
    pub(super) fn charge_of_ended_job(&self, job: JobKey) -> Option<Charge> {
        self.ended_jobs.get(&job).map(|owner| Charge {
            workspace: owner.workspace.clone(),
            pool: SmolStr::default(),
            needs: owner.largest_task,
        })
    }
}

impl StepState {
    /// Returns the charge for one run of the step; `None` if its job belongs to no workspace.
    pub(super) fn charge(&self) -> Option<Charge> {
        self.workspace.as_ref().map(|workspace| Charge {
            workspace: workspace.clone(),
            pool: self.pool.clone(),
            needs: self.step().needs,
        })
    }
}

impl Leader {
    /// Returns the use of every workspace that uses anything or was refused, by name.
    pub fn workspace_uses(&self) -> impl Iterator<Item = (&WorkspaceName, WorkspaceUse)> {
        let known = self.usage.running.keys();
        let known = known.chain(self.usage.unconfirmed.keys());
        let names: BTreeSet<_> = known.chain(self.usage.refused.keys()).collect();
        names.into_iter().map(|name| (name, self.usage.of(name)))
    }

    /// Returns whether the cap of a step's workspace permits starting one more task of the step, or all
    /// its tasks at once.
    pub(super) fn cap_permits(&mut self, id: StepId, all_tasks: bool, state: &JobsState) -> bool {
        let Some(step) = self.steps.get(&id) else {
            return true;
        };
        let Some((workspace, needs)) = self.exceeded_cap(step, all_tasks, state) else {
            return true;
        };
        let name = &workspace.name;
        let uses = self.usage.of(name);
        let now_ms = self.now.steady_ms;
        let logged_at_ms = self.usage.cap_logged_at_ms.entry(name.clone()).or_default();
        if now_ms >= *logged_at_ms + CAP_LOG_INTERVAL_MS {
            *logged_at_ms = now_ms;
            let line = format!(
                "event=cap_reached workspace={name} step_cpu_millis={} step_memory_mb={} \
                 running_cpu_millis={} running_memory_mb={} unconfirmed_cpu_millis={} \
                 unconfirmed_memory_mb={} leader_since_ms_ago={} version={} {}",
                needs.cpu_millis,
                needs.memory_mb,
                uses.running.cpu_millis,
                uses.running.memory_mb,
                uses.unconfirmed.cpu_millis,
                uses.unconfirmed.memory_mb,
                now_ms.saturating_sub(self.leader_since_ms),
                state.configuration.version,
                workspace.cap
            );
            self.log_event(line);
        }
        false
    }

    /// Returns the workspace whose cap does not permit one more task of a step, or all its tasks at once, and
    /// what these need.
    pub(super) fn exceeded_cap<'a>(
        &self,
        step: &StepState,
        all_tasks: bool,
        state: &'a JobsState,
    ) -> Option<(&'a Workspace, Resources)> {
        let name = step.workspace.as_ref()?;
        let workspace = state.configuration.access.workspace(name)?;
        let tasks = if all_tasks { step.step().tasks } else { 1 };
        let needs = step.step().needs.times(u64::from(tasks));
        let used = self.usage.of(name).total();
        let is_permitted = workspace.cap.permits(&used, &needs, tasks == 1);
        (!is_permitted).then_some((workspace, needs))
    }

    /// Returns the shares of the workspaces that have work in a pool.
    pub(super) fn pool_shares(&self, pool: &SmolStr, state: &JobsState) -> PoolShares {
        let workers = self.directory.in_pool(pool);
        let workers = workers.filter_map(|handle| self.workers.get(&handle));
        let capacity = workers.fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.heartbeat.capacity)
        });
        let mut shares = PoolShares::new(capacity);
        for (_, id) in self.open_steps.get(pool).into_iter().flatten() {
            let step = self.steps.get(id);
            let Some(name) = step.and_then(|step| step.workspace.as_ref()) else {
                continue;
            };
            if let Some(workspace) = state.configuration.access.workspace(name) {
                let key = (pool.clone(), name.clone());
                let used = self.usage.running_in_pool.get(&key);
                shares.add(name, workspace.weight, used.copied().unwrap_or_default());
            }
        }
        shares
    }

    /// Computes the use that earlier leaders may have caused on workers whose run list has not been
    /// received yet.
    pub(super) fn refresh_unconfirmed_use(&mut self) {
        if self.unreconciled.is_empty() {
            self.usage.unconfirmed.clear();
            self.usage.ended_jobs.clear();
            return;
        }
        let now_ms = self.now.steady_ms;
        let is_recent = |at_ms: u64| now_ms < at_ms + UNCONFIRMED_INTERVAL_MS;
        if self.usage.unconfirmed_computed_at_ms.is_some_and(is_recent) {
            return;
        }
        self.usage.unconfirmed_computed_at_ms = Some(now_ms);
        let pools: BTreeSet<&SmolStr> = self.unreconciled.values().flatten().collect();
        let mut unconfirmed: HashMap<WorkspaceName, Resources> = HashMap::new();
        let mut add = |workspace: &WorkspaceName, needs: &Resources| {
            let uses = unconfirmed.entry(workspace.clone()).or_default();
            *uses = uses.plus(needs);
        };
        for step in self.steps.values() {
            if let Some(workspace) = &step.workspace
                && step.inherited
                && step.possible_pools().any(|pool| pools.contains(pool))
            {
                let waiting = step.waiting.len() as u64;
                add(workspace, &step.step().needs.times(waiting));
            }
        }
        for owner in self.usage.ended_jobs.values() {
            add(&owner.workspace, &owner.unfinished);
        }
        self.usage.unconfirmed = unconfirmed;
    }

    /// Keeps the use of a job that ends, if runs of it may be active on workers whose run list has not
    /// been received yet.
    pub(super) fn retain_unconfirmed_use(&mut self, step: &StepState, job: JobKey) {
        let Some(workspace) = &step.workspace else {
            return;
        };
        let mut pools = step.possible_pools();
        if !step.inherited || !pools.any(|pool| self.is_unreconciled(pool)) {
            return;
        }
        let owner = self.usage.ended_jobs.entry(job).or_default();
        owner.workspace = workspace.clone();
        let waiting = step.step().needs.times(step.waiting.len() as u64);
        owner.unfinished = owner.unfinished.plus(&waiting);
        owner.largest_task = step.spec.largest_task();
    }
}
