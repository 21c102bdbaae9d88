//! Placing jobs, and making room for urgent ones.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::{CapacityIndex, Resources, WorkerCapacity};
use jasminefall_policy::preemption::{PreemptionAction, Victim, plan_preemption};
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::jobs::capacity;
use jasminefall_state::prelude::*;

use crate::node::{NodeHandle, View};

const MAX_PLACEMENTS: usize = 500;
const MAX_JOB_HOLDS: usize = 1_000;
/// How many needs that fitted nowhere are remembered in a round.
const MAX_UNPLACED: usize = 32;
/// The share of the processors that the least urgent work keeps, in percent.
const FLOOR_PERCENT: u64 = 5;
/// For how many urgent jobs room is made in one round.
const MAX_ROOM_MADE: usize = 50;
/// After how long a stronger measure is taken where a milder one has not helped.
const STRONGER_AFTER_MS: u64 = 400;

/// Places waiting jobs.
pub(crate) async fn place(handle: &NodeHandle) {
    let decided = handle.decide(|view| {
        let placements = plan(view);
        (!placements.is_empty()).then_some(Command::Place(placements))
    });
    // A failed proposal is planned anew from the state in the next round.
    let _ = decided.await;
}

/// Holds what one round of placing works on.
struct Round<'view> {
    view: &'view View,
    rooms: CapacityIndex,
    quota_left: BTreeMap<TeamId, MilliCores>,
    unplaced: Vec<Resources>,
    placements: Vec<Placement>,
    holds: BTreeMap<JobId, SmolStr>,
}

fn plan(view: &mut View) -> Vec<Placement> {
    if view.state.jobs.waiting().next().is_none() {
        view.workers.job_holds.clear();
        return Vec::new();
    }
    let (rooms, background) = rooms(view);
    let mut round = Round {
        view,
        rooms,
        quota_left: quotas(view),
        unplaced: Vec::new(),
        placements: Vec::new(),
        holds: BTreeMap::new(),
    };
    let floor = floor(view).saturating_sub(background);
    round.place_floor(floor);
    round.unplaced.clear();
    for borrowed in [false, true] {
        for job in view.state.jobs.waiting() {
            round.try_place(job, borrowed);
        }
    }
    let Round {
        placements, holds, ..
    } = round;
    view.workers.job_holds = holds;
    placements
}

impl Round<'_> {
    /// Places the least urgent jobs until they hold their floor.
    fn place_floor(&mut self, mut floor: MilliCores) {
        let jobs = self
            .view
            .state
            .jobs
            .waiting_with_urgency(Urgency::Background);
        for job in jobs.take(MAX_PLACEMENTS) {
            if floor == MilliCores::ZERO {
                return;
            }
            if self.try_place(job, false) {
                floor = floor.saturating_sub(job.request.cpu_mcores);
            }
        }
    }

    fn try_place(&mut self, job: &Job, borrowed: bool) -> bool {
        let full = self.placements.len() >= MAX_PLACEMENTS;
        if full || self.placements.iter().any(|placed| placed.job == job.id) {
            return false;
        }
        let size = self.size(job);
        let quota_left = self.quota_left.get(&job.request.team).copied();
        let quota_left = quota_left.unwrap_or_default();
        let may_borrow = job.request.urgency != Urgency::Urgent && job.request.is_preemptible();
        if !borrowed && size.cpu_mcores > quota_left {
            let team = &job.request.team;
            let message = format!(
                "the quota of team `{team}` has {quota_left} left; it waits until a job of the team ends"
            );
            return self.hold(job, message);
        }
        if borrowed && (!may_borrow || size.cpu_mcores <= quota_left) {
            return false;
        }
        if self.unplaced.iter().any(|unplaced| unplaced.fits_in(&size)) {
            return self.hold_for_room(job, &size);
        }
        let kind = &job.request.kind;
        let Some(worker) = self.rooms.place(kind, &size, &job.failed_on) else {
            if self.unplaced.len() < MAX_UNPLACED {
                self.unplaced.push(size);
            }
            return self.hold_for_room(job, &size);
        };
        if !borrowed {
            let left = quota_left.saturating_sub(size.cpu_mcores);
            self.quota_left.insert(job.request.team.clone(), left);
        }
        self.holds.remove(&job.id);
        self.placements.push(Placement {
            job: job.id,
            worker,
            size,
            borrowed,
        });
        true
    }

    /// Returns the size learnt for the kind, at most the largest instance and the team's quota.
    fn size(&self, job: &Job) -> Resources {
        size(self.view, job)
    }

    fn hold_for_room(&mut self, job: &Job, size: &Resources) -> bool {
        let message = format!(
            "no live worker in service has {size} left; a task that ends or a worker that returns frees it"
        );
        self.hold(job, message)
    }

    fn hold(&mut self, job: &Job, message: String) -> bool {
        if self.holds.len() < MAX_JOB_HOLDS {
            self.holds.insert(job.id, message.into());
        }
        false
    }
}

fn size(view: &View, job: &Job) -> Resources {
    let declared = job.request.need();
    let has_failed = !job.failed_on.is_empty();
    let sizes = &view.workers.sizes;
    let learnt = sizes.estimate(&job.request.kind, &declared, has_failed);
    let desired = view.state.configuration.desired();
    let quota = desired.teams.get(&job.request.team);
    let quota_mcores = quota.map_or(MilliCores::ZERO, |team| team.quota_mcores);
    let within_quota = learnt.cpu_mcores <= quota_mcores;
    let mut instances = desired.instances.values();
    let fits = within_quota && instances.any(|one| learnt.fits_in(&capacity(one)));
    if fits { learnt } else { declared }
}

fn quotas(view: &View) -> BTreeMap<TeamId, MilliCores> {
    let teams = view.state.configuration.desired().teams.iter();
    let left = teams.map(|(team, declared)| {
        let held = view.state.jobs.cpu_within_quota(team);
        (team.clone(), declared.quota_mcores.saturating_sub(held))
    });
    left.collect()
}

fn floor(view: &View) -> MilliCores {
    let instances = view.state.configuration.desired().instances.values();
    let all: u64 = instances.map(|declared| declared.cpu_mcores.get()).sum();
    MilliCores::new(all * FLOOR_PERCENT / 100)
}

/// Returns the workers that take work with what is left on each, and what background work holds.
fn rooms(view: &View) -> (CapacityIndex, MilliCores) {
    let now_ms = monotonic_ms();
    let state = &view.state;
    let mut rooms = Vec::new();
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
        let takes_work = state.instances.schedulable_incarnation(id).is_some();
        if !takes_work || !view.workers.is_live(&worker, now_ms) {
            continue;
        }
        let mut left = capacity(declared);
        left.subtract(&state.jobs.allocated_on(&worker));
        rooms.push(WorkerCapacity {
            worker,
            rack: declared.rack.clone(),
            data_centre: declared.data_centre.clone(),
            free: left,
        });
    }
    let mut rooms = CapacityIndex::new(rooms);
    for (kind, rack, data_centre) in running {
        rooms.record_task(kind, rack, data_centre);
    }
    (rooms, background)
}

/// Makes room for urgent jobs within quota that still wait.
pub(crate) async fn make_room(handle: &NodeHandle) {
    let decided = handle.decide(|view| {
        let changes = changes(view);
        (!changes.is_empty()).then_some(Command::SetDirectives(changes))
    });
    let _ = decided.await;
}

fn changes(view: &mut View) -> Vec<DirectiveChange> {
    let now_ms = monotonic_ms();
    let mut needs: Vec<Resources> = Vec::new();
    let mut quota_left = quotas(view);
    for job in view.state.jobs.waiting_with_urgency(Urgency::Urgent) {
        let need = view
            .workers
            .sizes
            .estimate(&job.request.kind, &job.request.need(), false);
        let Some(left) = quota_left.get_mut(&job.request.team) else {
            continue;
        };
        if need.cpu_mcores <= *left && needs.len() < MAX_ROOM_MADE {
            *left = left.saturating_sub(need.cpu_mcores);
            needs.push(need);
        }
    }
    if needs.is_empty() {
        view.workers.wished_at_ms.clear();
        return Vec::new();
    }
    let (rooms, background) = rooms(view);
    let mut spare_background = background.saturating_sub(floor(view));
    let mut changes = Vec::new();
    let mut rooms = rooms.workers().to_vec();
    for need in needs {
        if rooms.iter().any(|room| need.fits_in(&room.free)) {
            continue;
        }
        for position in 0..rooms.len() {
            let room = &rooms[position];
            let victims = victims(view, &room.worker, spare_background, now_ms);
            let Some(measures) = plan_preemption(&need, &room.free, &victims) else {
                continue;
            };
            for (victim, measure) in measures {
                let victim = &victims[victim];
                if victim.urgency == Urgency::Background {
                    spare_background = spare_background.saturating_sub(victim.size.cpu_mcores);
                }
                let directive = directive_for(measure);
                changes.push(DirectiveChange {
                    job: victim.job,
                    epoch: victim.epoch,
                    directive,
                });
                let wished = (victim.job, victim.epoch);
                view.workers.wished_at_ms.entry(wished).or_insert(now_ms);
            }
            rooms.swap_remove(position);
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

const fn directive_for(measure: PreemptionAction) -> TaskDirective {
    match measure {
        PreemptionAction::Throttle => TaskDirective::Throttle,
        PreemptionAction::Checkpoint => TaskDirective::Checkpoint,
        PreemptionAction::Stop => TaskDirective::Stop,
    }
}

/// Returns the tasks on a worker that may give room; background tasks keep their floor.
fn victims(
    view: &View,
    worker: &WorkerId,
    spare_background: MilliCores,
    now_ms: u64,
) -> Vec<Victim> {
    let victim = |job: &Job| {
        let task = job.task()?;
        let in_floor =
            job.request.urgency == Urgency::Background && task.size.cpu_mcores > spare_background;
        if in_floor || task.directive == TaskDirective::Cancel {
            return None;
        }
        let wished_at_ms = view.workers.wished_at_ms.get(&(job.id, task.epoch));
        let slow = wished_at_ms.is_some_and(|at_ms| now_ms >= at_ms + STRONGER_AFTER_MS);
        let has_shrunk = task.size.cpu_mcores < job.request.cpu_mcores;
        Some(Victim {
            job: job.id,
            epoch: task.epoch,
            urgency: job.request.urgency,
            borrowed: task.borrowed,
            size: task.size,
            can_checkpoint: job.request.can_checkpoint,
            idempotent: job.request.idempotent,
            throttled: task.directive == TaskDirective::Throttle && (has_shrunk || slow),
        })
    };
    view.state
        .jobs
        .on_worker(worker)
        .filter_map(victim)
        .collect()
}
