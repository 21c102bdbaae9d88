//! Starting what waits.

use smol_str::SmolStr;

use super::steps::StepState;
use super::{Effect, Leader, Run, RunState, StartRequest, Worker, WorkerHandle};
use crate::ids::StepId;
use crate::job::{Resources, StepSpec};
use crate::policy::placement::{self, Candidate, TaskRequirements};
use crate::state::JobsState;

/// How long a request to start may take until it has effect, in milliseconds on the worker's clock;
/// bounds how long an unanswered request holds up its task, and leaves a poll that renews the lease
/// time to come.
const START_DEADLINE_MS: u64 = 800;

/// Holds a worker that may be given tasks, while a pool is placed.
struct EligibleWorker {
    handle: WorkerHandle,
    worker: SmolStr,
    free: Resources,
    recent_failures: u32,
    /// Whether long-running tasks run there.
    is_pinned: bool,
    /// Whether its instance is soon to be evacuated for its maintenance.
    is_maintenance_due: bool,
}

/// How often what waits is looked at again without an event, in milliseconds: workers that were
/// full, silent or quarantined may be given tasks again after some time. Short beside each of
/// these.
const PLACEMENT_RETRY_INTERVAL_MS: u64 = 50;

impl Leader {
    /// Looks again at every pool in which steps are open, from time to time.
    pub(super) fn retry_placement(&mut self) {
        let now_ms = self.now.steady_ms;
        if now_ms < self.placement_retried_at_ms + PLACEMENT_RETRY_INTERVAL_MS {
            return;
        }
        self.placement_retried_at_ms = now_ms;
        self.dirty_pools.extend(self.open_steps.keys().cloned());
    }

    /// Places what waits in every pool where something has changed.
    pub(super) fn place_dirty_pools(&mut self, state: &JobsState) {
        for pool in std::mem::take(&mut self.dirty_pools) {
            let standby = state
                .configuration
                .pool(&pool)
                .is_none_or(|known| known.standby);
            if !standby {
                self.place_pool(&pool);
            }
        }
    }

    fn place_pool(&mut self, pool: &SmolStr) {
        let ids = self.steps_by_priority(pool);
        if ids.is_empty() {
            return;
        }
        let mut eligible_workers = self.eligible_workers(pool);
        let unreconciled = self.is_unreconciled(pool);
        let mut too_large: Vec<Resources> = Vec::new();
        for id in ids {
            let Some(step) = self.steps.get(&id) else {
                continue;
            };
            let needs = step.step().reserved();
            let long_running = step.step().long_running;
            // While a pool is full most of what waits fits nowhere, and is not looked at in detail.
            let is_too_large =
                !long_running && too_large.iter().any(|refused| needs.can_fit(refused));
            if is_too_large || (step.inherited && unreconciled) {
                continue;
            }
            if !long_running
                && !eligible_workers
                    .iter()
                    .any(|eligible| eligible.free.can_fit(&needs))
            {
                too_large.retain(|refused| !refused.can_fit(&needs));
                too_large.push(needs);
                continue;
            }
            let (is_gang, needs_advice) = (step.step().gang, step.needs_advice);
            if needs_advice {
                self.refresh_tickets(id);
            }
            if is_gang {
                self.place_gang(id, &mut eligible_workers);
            } else {
                self.place_step(id, &mut eligible_workers);
            }
        }
    }

    /// Returns the open steps of a pool that have tasks to place, in their order.
    fn steps_by_priority(&self, pool: &SmolStr) -> Vec<StepId> {
        let open = self.open_steps.get(pool).into_iter().flatten();
        let waits = |id: &StepId| {
            let step = self.steps.get(id);
            step.is_some_and(|step| !step.waiting.is_empty())
        };
        open.map(|(_, id)| *id).filter(waits).collect()
    }

    /// Returns the workers of a pool that may be given tasks.
    fn eligible_workers(&self, pool: &SmolStr) -> Vec<EligibleWorker> {
        let now_ms = self.now.steady_ms;
        let may_start = |worker: &Worker| {
            worker.registered
                && worker.reconciled
                && !worker.heartbeat.draining
                && !worker.unresponsive
                && !worker.evacuating
                && now_ms >= worker.backoff_until_ms
                && !worker.health.is_quarantined(now_ms)
                && !self.is_silent(worker)
        };
        let of_pool = self.directory.in_pool(pool);
        let of_pool = of_pool.filter_map(|handle| Some((handle, self.workers.get(&handle)?)));
        let fit = of_pool.filter(|(_, worker)| may_start(worker));
        fit.map(|(handle, worker)| EligibleWorker {
            handle,
            worker: worker.incarnation().worker.clone(),
            free: worker.free(),
            recent_failures: worker.health.consecutive_failures(),
            is_pinned: worker.long_running_runs > 0 && self.settings.mechanisms.shared_instances,
            is_maintenance_due: self
                .maintenance
                .is_due(worker.heartbeat.instance.as_deref()),
        })
        .collect()
    }

    fn place_step(&mut self, id: StepId, eligible_workers: &mut [EligibleWorker]) {
        let mut chosen = None;
        loop {
            let Some(step) = self.steps.get(&id) else {
                return;
            };
            let Some(index) = step.waiting.first().copied() else {
                return;
            };
            // The place that was best has less room left than before, so that it stays the best
            // for the next task of the same size as long as that fits.
            let again =
                chosen.filter(|position| self.still_fits(step, &eligible_workers[*position]));
            let Some(position) = again.or_else(|| self.best_worker(step, eligible_workers)) else {
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
            self.start(id, index, run, handle);
        }
    }

    /// Returns whether another task of a step fits at a place.
    fn still_fits(&self, step: &StepState, eligible: &EligibleWorker) -> bool {
        let spec = step.step();
        let worker = self.workers.get(&eligible.handle);
        eligible.free.can_fit(&spec.reserved())
            && worker.is_some_and(|worker| candidate(step, spec, eligible, worker).is_some())
    }

    /// Places all members of a gang at once, or none.
    fn place_gang(&mut self, id: StepId, eligible_workers: &mut [EligibleWorker]) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let tasks = step.step().tasks;
        if step.waiting.len() != tasks as usize {
            return;
        }
        let reserved = step.step().reserved();
        let mut left: Vec<Resources> = eligible_workers
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
            for (eligible, free) in eligible_workers.iter_mut().zip(left.drain(..)) {
                eligible.free = free;
            }
            return;
        }
        // The members share one run number, above all that any of them has had.
        let numbers = (0..tasks).map(|index| self.next_run_number(id.task(index)));
        let run = numbers.collect::<Vec<_>>().into_iter().max().unwrap_or(1);
        for (index, handle) in chosen {
            self.record_run_number(id.task(index), run);
            self.start(id, index, run, handle);
        }
    }

    fn best_worker(&self, step: &StepState, eligible_workers: &[EligibleWorker]) -> Option<usize> {
        let spec = step.step();
        let mut positions = Vec::with_capacity(eligible_workers.len());
        let mut candidates = Vec::with_capacity(eligible_workers.len());
        for (position, eligible) in eligible_workers.iter().enumerate() {
            if !eligible.free.can_fit(&spec.reserved()) {
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

    fn start(&mut self, id: StepId, index: u32, number: u64, handle: WorkerHandle) {
        let now_ms = self.now.steady_ms;
        let task = id.task(index);
        let checkpoint = self.checkpoint(task);
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let (spec, reserved) = (step.spec.clone(), step.step().reserved());
        let long_running = step.step().long_running;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let deadline_ms = worker.estimated_clock_ms(now_ms) + START_DEADLINE_MS;
        worker.lease_until_ms = worker.lease_until_ms.max(deadline_ms);
        let incarnation = worker.incarnation().clone();
        let ticket = step
            .tickets
            .get(&incarnation.worker)
            .map(|(ticket, _)| ticket.clone());
        self.counts.starts += 1;
        self.log_event(format!(
            "event=start_ordered task={task} run={number} worker={incarnation} deadline_ms={deadline_ms} checkpoint={checkpoint:?}"
        ));
        self.add_run(Run {
            task,
            number,
            worker: handle,
            state: RunState::Requested,
            reserved,
            long_running,
            start_deadline_ms: deadline_ms,
            requested_at_ms: now_ms,
            checkpoint: checkpoint.clone(),
            percent: 0,
            gauge: None,
            progressed_at_ms: now_ms,
            pace_percent: 100,
        });
        self.effects.push(Effect::Start(StartRequest {
            worker: handle,
            task,
            run: number,
            spec,
            deadline_ms,
            checkpoint,
            ticket,
        }));
    }
}

/// Describes a worker for the choice, or nothing where the step must not run there.
fn candidate(
    step: &StepState,
    spec: &StepSpec,
    eligible: &EligibleWorker,
    worker: &Worker,
) -> Option<Candidate> {
    let has = |label: &Option<SmolStr>| label.as_ref().is_none_or(|label| worker.has_label(label));
    let same_step = step
        .runs_per_worker
        .get(&eligible.handle)
        .copied()
        .unwrap_or(0);
    let is_full = spec.max_per_worker.is_some_and(|most| same_step >= most);
    if is_full || !has(&spec.needs_label) {
        return None;
    }
    let lacks_ticket = step.needs_advice && !step.tickets.contains_key(&eligible.worker);
    (!lacks_ticket).then_some(Candidate {
        free: eligible.free,
        capacity: worker.heartbeat.capacity,
        on_preferred_rack: has(&spec.rack_affinity),
        recent_failures: eligible.recent_failures,
        is_pinned: eligible.is_pinned,
        is_maintenance_due: eligible.is_maintenance_due,
    })
}
