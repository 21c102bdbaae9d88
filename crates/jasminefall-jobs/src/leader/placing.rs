//! Starting what waits.

use smol_str::SmolStr;

use super::steps::StepRun;
use super::{Effect, Leader, Run, RunState, StartOrder, Worker, WorkerHandle};
use crate::ids::StepId;
use crate::job::{Resources, StepSpec};
use crate::policy::placement::{self, Candidate, Needs};
use crate::state::JobsState;

/// How long an order to start may take until it has effect, in milliseconds on the worker's clock;
/// bounds how long an unanswered order holds up its task, and leaves a look that renews the lease
/// time to come.
const START_WINDOW_MS: u64 = 800;

/// Holds a worker that may be given tasks, while a pool is placed.
struct Place {
    handle: WorkerHandle,
    worker: SmolStr,
    free: Resources,
    recent_failures: u32,
    /// Whether tasks that last run there.
    is_pinned: bool,
    /// Whether its instance is soon to be emptied for its maintenance.
    is_leaving: bool,
}

/// How often what waits is looked at again without an event, in milliseconds: workers that were full,
/// silent or set aside may be given tasks again after some time. Short beside each of these.
const RETRY_INTERVAL_MS: u64 = 50;

impl Leader {
    /// Looks again at every pool in which steps are open, from time to time.
    pub(super) fn retry_placing(&mut self) {
        let now_ms = self.now.steady_ms;
        if now_ms < self.placing_retried_at_ms + RETRY_INTERVAL_MS {
            return;
        }
        self.placing_retried_at_ms = now_ms;
        self.dirty_pools.extend(self.open_steps.keys().cloned());
    }

    /// Places what waits in every pool where something has changed.
    pub(super) fn place_all(&mut self, state: &JobsState) {
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
        let ids = self.in_order(pool);
        if ids.is_empty() {
            return;
        }
        let mut places = self.places(pool);
        let unsettled = self.is_unsettled(pool);
        let mut too_large: Vec<Resources> = Vec::new();
        for id in ids {
            let Some(step) = self.steps.get(&id) else {
                continue;
            };
            let needs = step.step().counted();
            let lasts = step.step().long_running;
            // While a pool is full most of what waits fits nowhere, and is not looked at in detail.
            let is_too_large = !lasts && too_large.iter().any(|refused| needs.holds(refused));
            if is_too_large || (step.inherited && unsettled) {
                continue;
            }
            if !lasts && !places.iter().any(|place| place.free.holds(&needs)) {
                too_large.retain(|refused| !refused.holds(&needs));
                too_large.push(needs);
                continue;
            }
            let (is_gang, needs_advice) = (step.step().gang, step.needs_advice);
            if needs_advice {
                self.tend_advice(id);
            }
            if is_gang {
                self.place_gang(id, &mut places);
            } else {
                self.place_step(id, &mut places);
            }
        }
    }

    /// Returns the open steps of a pool that have tasks to place, in their order.
    fn in_order(&self, pool: &SmolStr) -> Vec<StepId> {
        let open = self.open_steps.get(pool).into_iter().flatten();
        let waits = |id: &StepId| {
            let step = self.steps.get(id);
            step.is_some_and(|step| !step.waiting.is_empty())
        };
        open.map(|(_, id)| *id).filter(waits).collect()
    }

    /// Returns the workers of a pool that may be given tasks.
    fn places(&self, pool: &SmolStr) -> Vec<Place> {
        let now_ms = self.now.steady_ms;
        let may_start = |worker: &Worker| {
            worker.registered
                && worker.adopted
                && !worker.heartbeat.draining
                && !worker.doubtful
                && !worker.emptying
                && now_ms >= worker.full_until_ms
                && !worker.health.is_aside(now_ms)
                && !self.is_silent(worker)
        };
        let of_pool = self.directory.in_pool(pool);
        let of_pool = of_pool.filter_map(|handle| Some((handle, self.workers.get(&handle)?)));
        let fit = of_pool.filter(|(_, worker)| may_start(worker));
        fit.map(|(handle, worker)| Place {
            handle,
            worker: worker.life().worker.clone(),
            free: worker.free(),
            recent_failures: worker.health.failures_in_a_row(),
            is_pinned: worker.lasting_runs > 0 && self.settings.mechanisms.shared_instances,
            is_leaving: self.upkeep.is_due(worker.heartbeat.instance.as_deref()),
        })
        .collect()
    }

    fn place_step(&mut self, id: StepId, places: &mut [Place]) {
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
            let again = chosen.filter(|position| self.still_fits(step, &places[*position]));
            let Some(position) = again.or_else(|| self.choose(step, places)) else {
                return;
            };
            chosen = Some(position);
            let counted = step.step().counted();
            let lasts = step.step().long_running;
            let place = &mut places[position];
            place.free = place.free.minus(&counted);
            if lasts {
                place.is_pinned = self.settings.mechanisms.shared_instances;
            }
            let handle = place.handle;
            let run = self.next_run(id.task(index));
            self.start(id, index, run, handle);
        }
    }

    /// Returns whether another task of a step fits at a place.
    fn still_fits(&self, step: &StepRun, place: &Place) -> bool {
        let spec = step.step();
        let worker = self.workers.get(&place.handle);
        place.free.holds(&spec.counted())
            && worker.is_some_and(|worker| candidate(step, spec, place, worker).is_some())
    }

    /// Places all members of a gang at once, or none.
    fn place_gang(&mut self, id: StepId, places: &mut [Place]) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let tasks = step.step().tasks;
        if step.waiting.len() != tasks as usize {
            return;
        }
        let counted = step.step().counted();
        let mut left: Vec<Resources> = places.iter().map(|place| place.free).collect();
        let mut chosen = Vec::new();
        let mut trial = step.clone();
        for index in 0..tasks {
            let Some(position) = self.choose(&trial, places) else {
                break;
            };
            places[position].free = places[position].free.minus(&counted);
            *trial.per_worker.entry(places[position].handle).or_default() += 1;
            chosen.push((index, places[position].handle));
        }
        if chosen.len() < tasks as usize {
            for (place, free) in places.iter_mut().zip(left.drain(..)) {
                place.free = free;
            }
            return;
        }
        // The members share one run number, above all that any of them has had.
        let numbers = (0..tasks).map(|index| self.next_run(id.task(index)));
        let run = numbers.collect::<Vec<_>>().into_iter().max().unwrap_or(1);
        for (index, handle) in chosen {
            self.note_run(id.task(index), run);
            self.start(id, index, run, handle);
        }
    }

    fn choose(&self, step: &StepRun, places: &[Place]) -> Option<usize> {
        let spec = step.step();
        let mut positions = Vec::with_capacity(places.len());
        let mut candidates = Vec::with_capacity(places.len());
        for (position, place) in places.iter().enumerate() {
            if !place.free.holds(&spec.counted()) {
                continue;
            }
            let Some(worker) = self.workers.get(&place.handle) else {
                continue;
            };
            if let Some(candidate) = candidate(step, spec, place, worker) {
                positions.push(position);
                candidates.push(candidate);
            }
        }
        let needs = Needs {
            room: spec.counted(),
            lasts: spec.long_running,
        };
        let best = placement::choose(&candidates, &needs)?;
        Some(positions[best])
    }

    fn start(&mut self, id: StepId, index: u32, number: u64, handle: WorkerHandle) {
        let now_ms = self.now.steady_ms;
        let task = id.task(index);
        let checkpoint = self.checkpoint(task);
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let (spec, counted) = (step.spec.clone(), step.step().counted());
        let lasts = step.step().long_running;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let deadline_ms = worker.clock_now(now_ms) + START_WINDOW_MS;
        worker.lease_until_ms = worker.lease_until_ms.max(deadline_ms);
        let life = worker.life().clone();
        let ticket = step
            .tickets
            .get(&life.worker)
            .map(|(ticket, _)| ticket.clone());
        self.counts.starts += 1;
        self.note(format!(
            "event=start_ordered task={task} run={number} worker={life} deadline_ms={deadline_ms} checkpoint={checkpoint:?}"
        ));
        self.add_run(Run {
            task,
            number,
            worker: handle,
            state: RunState::Sending,
            counted,
            lasts,
            start_deadline_ms: deadline_ms,
            ordered_at_ms: now_ms,
            checkpoint: checkpoint.clone(),
            percent: 0,
            gauge: None,
            moved_at_ms: now_ms,
            pace_percent: 100,
        });
        self.effects.push(Effect::Start(StartOrder {
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
fn candidate(step: &StepRun, spec: &StepSpec, place: &Place, worker: &Worker) -> Option<Candidate> {
    let has = |label: &Option<SmolStr>| label.as_ref().is_none_or(|label| worker.has_label(label));
    let same_step = step.per_worker.get(&place.handle).copied().unwrap_or(0);
    let is_full = spec.max_per_worker.is_some_and(|most| same_step >= most);
    if is_full || !has(&spec.needs_label) {
        return None;
    }
    let lacks_ticket = step.needs_advice && !step.tickets.contains_key(&place.worker);
    (!lacks_ticket).then_some(Candidate {
        free: place.free,
        capacity: worker.heartbeat.capacity,
        near: has(&spec.rack_affinity),
        recent_failures: place.recent_failures,
        is_pinned: place.is_pinned,
        is_leaving: place.is_leaving,
    })
}
