//! Job placement and preemption for urgent jobs.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::{CapacityIndex, Resources, WorkerCapacity};
use jasminefall_policy::preemption::{PreemptionAction, Victim, plan_preemption};
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::jobs::capacity;
use jasminefall_state::prelude::*;

use crate::node::{NodeHandle, View};

/// Limits the jobs that one round places.
const MAX_PLACEMENTS: usize = 500;
const MAX_JOB_HOLD_REASONS: usize = 1_000;
/// Limits the sizes that a round records as fitting on no worker; a job of at least such a size is
/// held without a search.
const MAX_UNPLACED_SIZES: usize = 32;
/// The share of the fleet's processors that is reserved for background jobs.
const BACKGROUND_RESERVE_PERCENT: u64 = 5;
/// Limits the urgent jobs for which one round preempts tasks.
const MAX_PREEMPTING_JOBS: usize = 50;
/// Throttling without effect after this time is followed by a stronger preemption action.
const ESCALATE_AFTER_MS: u64 = 400;

/// Places waiting jobs.
pub(crate) async fn place(handle: &NodeHandle) {
    let proposal = handle.propose_from_view(|view| {
        let placements = plan_placements(view);
        (!placements.is_empty()).then_some(Command::Place(placements))
    });
    // The next round plans a failed proposal again from the state.
    let _ = proposal.await;
}

/// Holds the working data of one round of placement.
struct PlacementRound<'view> {
    view: &'view View,
    capacity_index: CapacityIndex,
    quota_left: BTreeMap<TeamId, MilliCores>,
    unplaced_sizes: Vec<Resources>,
    placements: Vec<Placement>,
    hold_reasons: BTreeMap<JobId, SmolStr>,
}

fn plan_placements(view: &mut View) -> Vec<Placement> {
    if view.state.jobs.waiting().next().is_none() {
        view.workers.job_hold_reasons.clear();
        return Vec::new();
    }
    let (capacity_index, background) = free_capacity(view);
    let mut round = PlacementRound {
        view,
        capacity_index,
        quota_left: remaining_quotas(view),
        unplaced_sizes: Vec::new(),
        placements: Vec::new(),
        hold_reasons: BTreeMap::new(),
    };
    let reserve = background_reserve(view).saturating_sub(background);
    round.place_background_reserve(reserve);
    round.unplaced_sizes.clear();
    // Places jobs within the quota of their team first, then those that borrow beyond it.
    for borrowed in [false, true] {
        for job in view.state.jobs.waiting() {
            round.try_place(job, borrowed);
        }
    }
    let PlacementRound {
        placements,
        hold_reasons,
        ..
    } = round;
    view.workers.job_hold_reasons = hold_reasons;
    placements
}

impl PlacementRound<'_> {
    /// Places background jobs until the reserve is used up.
    fn place_background_reserve(&mut self, mut reserve: MilliCores) {
        let jobs = self
            .view
            .state
            .jobs
            .waiting_with_urgency(Urgency::Background);
        for job in jobs.take(MAX_PLACEMENTS) {
            if reserve == MilliCores::ZERO {
                return;
            }
            if self.try_place(job, false) {
                reserve = reserve.saturating_sub(job.request.cpu_mcores);
            }
        }
    }

    /// Places a job and returns whether it did; a job without quota or fitting worker is held, and
    /// the reason recorded.
    ///
    /// `borrowed` selects jobs that hold processors beyond the quota of their team, which only
    /// preemptible jobs may do.
    fn try_place(&mut self, job: &Job, borrowed: bool) -> bool {
        let full = self.placements.len() >= MAX_PLACEMENTS;
        if full || self.placements.iter().any(|placed| placed.job == job.id) {
            return false;
        }
        let size = placement_size(self.view, job);
        let quota_left = self.quota_left.get(&job.request.team).copied();
        let quota_left = quota_left.unwrap_or_default();
        let may_borrow = job.request.urgency != Urgency::Urgent && job.request.is_preemptible();
        if !borrowed && size.cpu_mcores > quota_left {
            let team = &job.request.team;
            let message = format!(
                "the quota of team `{team}` has {quota_left} left; \
                 the job waits until a job of the team ends"
            );
            return self.record_hold(job, message);
        }
        if borrowed && (!may_borrow || size.cpu_mcores <= quota_left) {
            return false;
        }
        if self
            .unplaced_sizes
            .iter()
            .any(|unplaced| unplaced.fits_in(&size))
        {
            return self.hold_for_capacity(job, &size);
        }
        let kind = &job.request.kind;
        let Some(worker) = self.capacity_index.place(kind, &size, &job.failed_on) else {
            if self.unplaced_sizes.len() < MAX_UNPLACED_SIZES {
                self.unplaced_sizes.push(size);
            }
            return self.hold_for_capacity(job, &size);
        };
        if !borrowed {
            let left = quota_left.saturating_sub(size.cpu_mcores);
            self.quota_left.insert(job.request.team.clone(), left);
        }
        self.hold_reasons.remove(&job.id);
        self.placements.push(Placement {
            job: job.id,
            worker,
            size,
            borrowed,
        });
        true
    }

    fn hold_for_capacity(&mut self, job: &Job, size: &Resources) -> bool {
        let message = format!(
            "no live worker in service has {size} left; \
             the job waits until a task ends or a worker returns"
        );
        self.record_hold(job, message)
    }

    /// Records why a job is not placed, and returns false.
    fn record_hold(&mut self, job: &Job, message: String) -> bool {
        if self.hold_reasons.len() < MAX_JOB_HOLD_REASONS {
            self.hold_reasons.insert(job.id, message.into());
        }
        false
    }
}

/// Returns the size estimated for the kind of a job if it is within the team's quota and fits on an
/// instance, otherwise the declared size.
fn placement_size(view: &View, job: &Job) -> Resources {
    let declared = job.request.need();
    let has_failed = !job.failed_on.is_empty();
    let sizes = &view.workers.sizes;
    let estimated = sizes.estimate(&job.request.kind, &declared, has_failed);
    let desired = view.state.configuration.desired();
    let quota = desired.teams.get(&job.request.team);
    let quota_mcores = quota.map_or(MilliCores::ZERO, |team| team.quota_mcores);
    let within_quota = estimated.cpu_mcores <= quota_mcores;
    let mut instances = desired.instances.values();
    let fits = within_quota && instances.any(|instance| estimated.fits_in(&capacity(instance)));
    if fits { estimated } else { declared }
}

fn remaining_quotas(view: &View) -> BTreeMap<TeamId, MilliCores> {
    let teams = view.state.configuration.desired().teams.iter();
    let left = teams.map(|(team, declared)| {
        let used = view.state.jobs.cpu_within_quota(team);
        (team.clone(), declared.quota_mcores.saturating_sub(used))
    });
    left.collect()
}

/// Returns the processors that are reserved for background jobs.
fn background_reserve(view: &View) -> MilliCores {
    let instances = view.state.configuration.desired().instances.values();
    let fleet_mcores: u64 = instances.map(|declared| declared.cpu_mcores.get()).sum();
    MilliCores::new(fleet_mcores * BACKGROUND_RESERVE_PERCENT / 100)
}

/// Returns the free capacity of the workers that accept work, and the processors held by background
/// tasks.
fn free_capacity(view: &View) -> (CapacityIndex, MilliCores) {
    let now_ms = monotonic_ms();
    let state = &view.state;
    let mut workers = Vec::new();
    let mut background = MilliCores::ZERO;
    let mut running = Vec::new();
    for (id, declared) in &state.configuration.desired().instances {
        let worker = WorkerId::new(id.as_str());
        for job in state.jobs.on_worker(&worker) {
            if job.request.urgency == Urgency::Background {
                let held = job.task().map(|task| task.size.cpu_mcores);
                background = background.saturating_add(held.unwrap_or_default());
            }
            running.push((&job.request.kind, &declared.rack, &declared.data_centre));
        }
        let accepts_work = state.instances.schedulable_incarnation(id).is_some();
        if !accepts_work || !view.workers.is_live(&worker, now_ms) {
            continue;
        }
        let mut free = capacity(declared);
        free.subtract(&state.jobs.allocated_on(&worker));
        workers.push(WorkerCapacity {
            worker,
            rack: declared.rack.clone(),
            data_centre: declared.data_centre.clone(),
            free,
        });
    }
    let mut capacity_index = CapacityIndex::new(workers);
    for (kind, rack, data_centre) in running {
        capacity_index.record_task(kind, rack, data_centre);
    }
    (capacity_index, background)
}

/// Preempts tasks for waiting urgent jobs that are within the quota of their team.
pub(crate) async fn preempt_for_urgent_jobs(handle: &NodeHandle) {
    let proposal = handle.propose_from_view(|view| {
        let changes = plan_preemptions(view);
        (!changes.is_empty()).then_some(Command::SetDirectives(changes))
    });
    let _ = proposal.await;
}

fn plan_preemptions(view: &mut View) -> Vec<DirectiveChange> {
    let now_ms = monotonic_ms();
    let mut needs: Vec<Resources> = Vec::new();
    let mut quota_left = remaining_quotas(view);
    for job in view.state.jobs.waiting_with_urgency(Urgency::Urgent) {
        let need = view
            .workers
            .sizes
            .estimate(&job.request.kind, &job.request.need(), false);
        let Some(left) = quota_left.get_mut(&job.request.team) else {
            continue;
        };
        if need.cpu_mcores <= *left && needs.len() < MAX_PREEMPTING_JOBS {
            *left = left.saturating_sub(need.cpu_mcores);
            needs.push(need);
        }
    }
    if needs.is_empty() {
        view.workers.preemption_requested_at_ms.clear();
        return Vec::new();
    }
    let (capacity_index, background) = free_capacity(view);
    let mut spare_background = background.saturating_sub(background_reserve(view));
    let mut changes = Vec::new();
    let mut workers = capacity_index.workers().to_vec();
    for need in needs {
        if workers
            .iter()
            .any(|worker_capacity| need.fits_in(&worker_capacity.free))
        {
            continue;
        }
        for position in 0..workers.len() {
            let worker_capacity = &workers[position];
            let victims =
                preemptible_tasks(view, &worker_capacity.worker, spare_background, now_ms);
            let Some(actions) = plan_preemption(&need, &worker_capacity.free, &victims) else {
                continue;
            };
            for (victim, action) in actions {
                let victim = &victims[victim];
                if victim.urgency == Urgency::Background {
                    spare_background = spare_background.saturating_sub(victim.size.cpu_mcores);
                }
                let directive = directive_for(action);
                changes.push(DirectiveChange {
                    job: victim.job,
                    epoch: victim.epoch,
                    directive,
                });
                let task_key = (victim.job, victim.epoch);
                view.workers
                    .preemption_requested_at_ms
                    .entry(task_key)
                    .or_insert(now_ms);
            }
            workers.swap_remove(position);
            break;
        }
    }
    changes.retain(|change| {
        let job = view.state.jobs.get(change.job);
        job.and_then(Job::task)
            .is_some_and(|task| task.directive != change.directive)
    });
    changes
}

const fn directive_for(action: PreemptionAction) -> TaskDirective {
    match action {
        PreemptionAction::Throttle => TaskDirective::Throttle,
        PreemptionAction::Checkpoint => TaskDirective::Checkpoint,
        PreemptionAction::Stop => TaskDirective::Stop,
    }
}

/// Returns the tasks on a worker as victims, without background tasks that are within the reserve
/// and tasks that are being cancelled.
fn preemptible_tasks(
    view: &View,
    worker: &WorkerId,
    spare_background: MilliCores,
    now_ms: u64,
) -> Vec<Victim> {
    let victim = |job: &Job| {
        let task = job.task()?;
        let is_in_reserve =
            job.request.urgency == Urgency::Background && task.size.cpu_mcores > spare_background;
        if is_in_reserve || task.directive == TaskDirective::Cancel {
            return None;
        }
        let preemption_requested_at_ms = view
            .workers
            .preemption_requested_at_ms
            .get(&(job.id, task.epoch));
        let escalation_due =
            preemption_requested_at_ms.is_some_and(|at_ms| now_ms >= at_ms + ESCALATE_AFTER_MS);
        let has_shrunk = task.size.cpu_mcores < job.request.cpu_mcores;
        Some(Victim {
            job: job.id,
            epoch: task.epoch,
            urgency: job.request.urgency,
            borrowed: task.borrowed,
            size: task.size,
            can_checkpoint: job.request.can_checkpoint,
            idempotent: job.request.idempotent,
            throttled: task.directive == TaskDirective::Throttle && (has_shrunk || escalation_due),
        })
    };
    view.state
        .jobs
        .on_worker(worker)
        .filter_map(victim)
        .collect()
}
