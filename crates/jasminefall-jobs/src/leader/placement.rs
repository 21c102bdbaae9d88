//! Placement of waiting tasks on workers.

use smol_str::SmolStr;

use super::lease::LeaseGrant;
use super::steps::StepState;
use super::workers::without_clock_drift_ms;
use super::{Effect, Leader, Run, RunState, StartRequest, Worker, WorkerHandle};
use crate::ids::StepId;
use crate::job::{Resources, StepSpec};
use crate::policy::placement::{self, Candidate, TaskRequirements};
use crate::state::JobsState;

/// The time in which a start request must take effect, in milliseconds on the worker's clock;
/// bounds how long an unanswered request delays its task, and gives the first poll enough time to
/// renew the lease that the request grants.
const START_DEADLINE_MS: u64 = 800;
/// The most starts that one pass over a pool requests, so that other inputs of the leader don't wait for a
/// job with many small tasks; the next pass continues.
const MAX_STARTS_PER_PASS: u64 = 2_000;

/// Describes a worker that can be given tasks in one placement pass over its pool.
pub(super) struct EligibleWorker {
    pub(super) handle: WorkerHandle,
    pub(super) free: Resources,
    recent_failures: u32,
    /// Whether the worker gets only tasks that no other worker can run.
    pub(super) quarantined: bool,
    /// Whether long-running tasks run on the worker.
    is_pinned: bool,
    /// Whether the worker's instance will soon be evacuated for maintenance.
    is_maintenance_due: bool,
}

/// The interval of placement passes without an event, in milliseconds. Full, silent and quarantined
/// workers become eligible again after some time; the interval is short compared with each of these
/// times.
const PLACEMENT_RETRY_INTERVAL_MS: u64 = 50;

impl Leader {
    /// Marks every pool with open steps for placement once per
    /// [`PLACEMENT_RETRY_INTERVAL_MS`].
    pub(super) fn retry_placement(&mut self) {
        let now_ms = self.now.steady_ms;
        if now_ms < self.placement_retried_at_ms + PLACEMENT_RETRY_INTERVAL_MS {
            return;
        }
        self.placement_retried_at_ms = now_ms;
        self.dirty_pools.extend(self.open_steps.keys().cloned());
    }

    /// Places waiting tasks in every pool that has changed.
    pub(super) fn place_dirty_pools(&mut self, state: &JobsState) {
        self.refresh_unconfirmed_use();
        for pool in std::mem::take(&mut self.dirty_pools) {
            let standby = state
                .configuration
                .pool(&pool)
                .is_none_or(|known| known.standby);
            if !standby {
                self.place_pool(&pool, state);
            }
        }
        self.request_advice(state);
    }

    fn place_pool(&mut self, pool: &SmolStr, state: &JobsState) {
        self.demote_late_steps(pool);
        self.rank_by_share(pool, state);
        let ids = self.steps_by_priority(pool);
        if ids.is_empty() {
            return;
        }
        let mut eligible_workers = self.eligible_workers(pool, state);
        self.place_suspects(pool, &mut eligible_workers, state);
        let mut unplaceable: Vec<Resources> = Vec::new();
        let max_starts = self.counts.starts + MAX_STARTS_PER_PASS;
        for id in ids {
            if self.counts.starts >= max_starts {
                break;
            }
            let Some(step) = self.steps.get(&id) else {
                continue;
            };
            let needs = step.step().reserved();
            let long_running = step.step().long_running;
            // In a full pool most waiting tasks fit on no worker. A step that needs at least as
            // much as an earlier step that did not fit is skipped, to avoid a search over all
            // workers.
            let is_unplaceable =
                !long_running && unplaceable.iter().any(|needed| needs.can_fit(needed));
            // A task of an inherited step may still run on a worker whose run list is not known
            // yet.
            if is_unplaceable || self.may_have_unknown_runs(step) {
                continue;
            }
            if !long_running
                && !eligible_workers
                    .iter()
                    .any(|eligible| eligible.free.can_fit(&needs))
            {
                unplaceable.retain(|needed| !needed.can_fit(&needs));
                unplaceable.push(needs);
                continue;
            }
            let (is_gang, needs_advice) = (step.step().gang, step.needs_advice);
            if needs_advice {
                self.drop_expired_tickets(id);
            }
            if is_gang {
                if self.is_suspected_gang(id) {
                    self.place_suspected_gang(id, &mut eligible_workers, state);
                } else {
                    self.place_gang(id, &mut eligible_workers, state);
                }
            } else {
                self.place_step(id, &mut eligible_workers, max_starts, state);
            }
            if needs_advice {
                self.note_advice_need(id);
            }
        }
        if self.counts.starts >= max_starts {
            self.dirty_pools.insert(pool.clone());
        }
    }

    /// Returns the open steps of a pool that have waiting tasks, by priority.
    fn steps_by_priority(&self, pool: &SmolStr) -> Vec<StepId> {
        let open = self.open_steps.get(pool).into_iter().flatten();
        let has_waiting_tasks = |id: &StepId| {
            let step = self.steps.get(id);
            step.is_some_and(|step| !step.waiting.is_empty())
        };
        open.map(|(_, id)| *id).filter(has_waiting_tasks).collect()
    }

    /// Returns whether an earlier leader may have started tasks of a step on a worker whose run list has
    /// not been received yet.
    pub(super) fn may_have_unknown_runs(&self, step: &StepState) -> bool {
        step.inherited && step.possible_pools().any(|pool| self.is_unreconciled(pool))
    }

    /// Returns the workers of a pool that can be given tasks.
    fn eligible_workers(&self, pool: &SmolStr, state: &JobsState) -> Vec<EligibleWorker> {
        let configured = state.configuration.pool(pool);
        let refuses_overload = configured.is_some_and(|pool| pool.refuses_overload);
        let quarantined = self.quarantined_workers(pool);
        let workers = self.directory.in_pool(pool);
        let workers = workers.filter_map(|handle| Some((handle, self.workers.get(&handle)?)));
        let eligible = workers.filter(|(_, worker)| self.is_eligible(worker, refuses_overload));
        eligible
            .map(|(handle, worker)| EligibleWorker {
                handle,
                free: worker.free(),
                recent_failures: worker.health.consecutive_failures(),
                quarantined: quarantined.contains(&handle),
                is_pinned: worker.long_running_runs > 0
                    && self.settings.mechanisms.shared_instances,
                is_maintenance_due: self
                    .maintenance
                    .is_due(worker.heartbeat.instance.as_deref()),
            })
            .collect()
    }

    /// Returns whether a worker can be given tasks, if they fit.
    pub(super) const fn is_eligible(&self, worker: &Worker, refuses_overload: bool) -> bool {
        worker.registered
            && worker.reconciled
            && !worker.heartbeat.draining
            && !worker.unresponsive
            && !worker.evacuating
            && worker.doubted_since_ms.is_none()
            && self.now.steady_ms >= worker.backoff_until_ms
            && !self.is_silent(worker)
            && (refuses_overload || self.has_reliable_room(worker))
    }

    /// Returns whether a worker that does not refuse tasks may be given further ones by its free room.
    ///
    /// The needs of all its runs must be known and within its capacity, and a start that is requested
    /// now must take effect before a capacity smaller than that in its latest heartbeat can bind it.
    const fn has_reliable_room(&self, worker: &Worker) -> bool {
        let notice_ms = self.settings.capacity_notice_ms + self.settings.heartbeat_ms;
        let max_age_ms = without_clock_drift_ms(notice_ms.saturating_sub(START_DEADLINE_MS));
        worker.runs_of_unknown_needs == 0
            && worker.heartbeat.capacity.can_fit(&worker.used)
            && worker.heartbeat_age_ms(self.now.steady_ms) <= max_age_ms
    }

    fn place_step(
        &mut self,
        id: StepId,
        eligible_workers: &mut [EligibleWorker],
        max_starts: u64,
        state: &JobsState,
    ) {
        let mut chosen = None;
        while self.counts.starts < max_starts {
            if !self.cap_permits(id, false, state) {
                return;
            }
            let Some(step) = self.steps.get(&id) else {
                return;
            };
            let mut waiting = step.waiting.iter().copied();
            let Some(index) = waiting.find(|index| !self.needs_isolation(id.task(*index))) else {
                return;
            };
            // The worker chosen for the previous task now has less room than before, so that it
            // remains the best fit for further tasks of the step as long as one fits.
            let reused = chosen
                .filter(|position| self.fits_another_task(step, &eligible_workers[*position]));
            let Some(position) = reused.or_else(|| self.best_worker(step, eligible_workers)) else {
                return;
            };
            chosen = Some(position);
            let reserved = step.step().reserved();
            let long_running = step.step().long_running;
            let eligible = &mut eligible_workers[position];
            eligible.free = eligible.free.minus(&reserved);
            if long_running {
                eligible.is_pinned = self.settings.mechanisms.shared_instances;
            }
            let handle = eligible.handle;
            let run = self.next_run_number(id.task(index));
            self.request_start(id, index, run, handle);
        }
    }

    /// Returns whether another task of a step can be placed on a worker.
    fn fits_another_task(&self, step: &StepState, eligible: &EligibleWorker) -> bool {
        let spec = step.step();
        let worker = self.workers.get(&eligible.handle);
        eligible.free.can_fit(&spec.reserved())
            && worker.is_some_and(|worker| candidate(step, spec, eligible, worker).is_some())
    }

    /// Places all tasks of a gang at once, or none.
    pub(super) fn place_gang(
        &mut self,
        id: StepId,
        eligible_workers: &mut [EligibleWorker],
        state: &JobsState,
    ) {
        if !self.cap_permits(id, true, state) {
            return;
        }
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let tasks = step.step().tasks;
        if step.waiting.len() != tasks as usize {
            return;
        }
        let reserved = step.step().reserved();
        let mut free_before: Vec<Resources> = eligible_workers
            .iter()
            .map(|eligible| eligible.free)
            .collect();
        let mut chosen = Vec::new();
        let mut trial = step.clone();
        for index in 0..tasks {
            let Some(position) = self.best_worker(&trial, eligible_workers) else {
                break;
            };
            eligible_workers[position].free = eligible_workers[position].free.minus(&reserved);
            *trial
                .runs_per_worker
                .entry(eligible_workers[position].handle)
                .or_default() += 1;
            chosen.push((index, eligible_workers[position].handle));
        }
        if chosen.len() < tasks as usize {
            for (eligible, free) in eligible_workers.iter_mut().zip(free_before.drain(..)) {
                eligible.free = free;
            }
            return;
        }
        // The tasks share one run number, which exceeds the earlier run numbers of all of them.
        let numbers = (0..tasks).map(|index| self.next_run_number(id.task(index)));
        let run = numbers.collect::<Vec<_>>().into_iter().max().unwrap_or(1);
        for (index, handle) in chosen {
            self.record_run_number(id.task(index), run);
            self.request_start(id, index, run, handle);
        }
    }

    /// Returns the position of the best worker for a task of a step: a quarantined one only if no other
    /// worker could run the task if it were empty.
    fn best_worker(&self, step: &StepState, eligible_workers: &[EligibleWorker]) -> Option<usize> {
        let spec = step.step();
        let mut positions = Vec::with_capacity(eligible_workers.len());
        let mut candidates = Vec::with_capacity(eligible_workers.len());
        let may_use_quarantined = eligible_workers.iter().any(|eligible| eligible.quarantined)
            && !eligible_workers.iter().any(|eligible| {
                let worker = self.workers.get(&eligible.handle);
                !eligible.quarantined
                    && worker.is_some_and(|worker| is_suitable(step, eligible, worker))
            });
        for (position, eligible) in eligible_workers.iter().enumerate() {
            if !eligible.free.can_fit(&spec.reserved())
                || (eligible.quarantined && !may_use_quarantined)
            {
                continue;
            }
            let Some(worker) = self.workers.get(&eligible.handle) else {
                continue;
            };
            if let Some(candidate) = candidate(step, spec, eligible, worker) {
                positions.push(position);
                candidates.push(candidate);
            }
        }
        let needs = TaskRequirements {
            resources: spec.reserved(),
            long_running: spec.long_running,
        };
        let best = placement::best_candidate(&candidates, &needs)?;
        Some(positions[best])
    }

    pub(super) fn request_start(
        &mut self,
        id: StepId,
        index: u32,
        number: u64,
        handle: WorkerHandle,
    ) {
        let now_ms = self.now.steady_ms;
        let task = id.task(index);
        let checkpoint = self.checkpoint(task);
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let (spec, reserved) = (step.spec.clone(), step.step().reserved());
        let (charge, long_running) = (step.charge(), step.step().long_running);
        let successor_until_ms = self.max_successor_lease_until_ms();
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let deadline_ms = worker.estimated_clock_ms(now_ms) + START_DEADLINE_MS;
        worker.lease.extend(deadline_ms, LeaseGrant::Start);
        worker.lease.extend_for_successor(successor_until_ms);
        let incarnation = worker.incarnation().clone();
        let ticket = step.advice.ticket(handle).cloned();
        self.counts.starts += 1;
        self.log_event(format!(
            "event=start_requested task={task} run={number} worker={incarnation} deadline_ms={deadline_ms} checkpoint={checkpoint:?}"
        ));
        self.add_run(Run {
            task,
            number,
            worker: handle,
            state: RunState::Requested,
            listed: false,
            reserved,
            has_unknown_needs: false,
            charge,
            long_running,
            start_deadline_ms: deadline_ms,
            requested_at_ms: now_ms,
            checkpoint: checkpoint.clone(),
            percent: 0,
            gauge: None,
            progressed_at_ms: now_ms,
            pace_percent: 100,
        });
        let request = StartRequest {
            worker: handle,
            task,
            run: number,
            spec,
            deadline_ms,
            checkpoint,
            ticket,
        };
        self.record_start(&request);
        self.effects.push(Effect::Start(request));
    }
}

/// Returns whether a worker could run tasks of a step if it were empty, unless a ticket is refused.
pub(super) fn could_run(step: &StepState, handle: WorkerHandle, worker: &Worker) -> bool {
    let spec = step.step();
    let has_label = |label: &SmolStr| worker.has_label(label);
    spec.needs_label.as_ref().is_none_or(has_label)
        && worker.heartbeat.capacity.can_fit(&spec.reserved())
        && !(step.needs_advice && step.advice.is_denied(handle))
}

/// Returns whether a worker could run tasks of a step if it were empty. One without an answer of the advice
/// service counts if it has room, since it gets an answer soon.
fn is_suitable(step: &StepState, eligible: &EligibleWorker, worker: &Worker) -> bool {
    could_run(step, eligible.handle, worker)
        && (!step.needs_advice
            || step.advice.ticket(eligible.handle).is_some()
            || eligible.free.can_fit(&step.step().reserved()))
}

/// Returns the worker as a placement candidate, or `None` if the step must not run on it.
pub(super) fn candidate(
    step: &StepState,
    spec: &StepSpec,
    eligible: &EligibleWorker,
    worker: &Worker,
) -> Option<Candidate> {
    let satisfies_label =
        |label: &Option<SmolStr>| label.as_ref().is_none_or(|label| worker.has_label(label));
    let same_step = step
        .runs_per_worker
        .get(&eligible.handle)
        .copied()
        .unwrap_or(0);
    let is_at_limit = spec.max_per_worker.is_some_and(|max| same_step >= max);
    if is_at_limit || !satisfies_label(&spec.needs_label) {
        return None;
    }
    let lacks_ticket = step.needs_advice && step.advice.ticket(eligible.handle).is_none();
    (!lacks_ticket).then_some(Candidate {
        free: eligible.free,
        capacity: worker.heartbeat.capacity,
        on_preferred_rack: satisfies_label(&spec.rack_affinity),
        recent_failures: eligible.recent_failures,
        is_pinned: eligible.is_pinned,
        is_maintenance_due: eligible.is_maintenance_due,
    })
}
