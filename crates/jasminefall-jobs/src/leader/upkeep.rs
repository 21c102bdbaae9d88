//! Maintenance waves.
//!
//! An instance is emptied first: tasks that last are stopped within what their steps may miss and
//! start elsewhere, the others are waited for. Then the instance is sent into maintenance.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use smol_str::SmolStr;

use super::fleet::InstanceAnswer;
use super::{Effect, Leader, RunState, WorkerHandle};
use crate::ids::{StepId, TaskId};
use crate::policy::waves::{WaveLeft, may_wait};
use crate::state::{Command, JobsState, Wave};

/// How often waves are moved on, in milliseconds; a twentieth of what an instance's maintenance takes.
const TEND_INTERVAL_MS: u64 = 100;
/// How long after an order without effect it is given again, in milliseconds.
const ORDER_REPEAT_MS: u64 = 700;
/// How long an instance counts as down beyond its maintenance, in milliseconds, unless it is heard.
const RETURN_MARGIN_MS: u64 = 1_500;
/// How long tasks that end by themselves are waited for, in milliseconds, before they are stopped.
const EMPTYING_PATIENCE_MS: u64 = 4_000;

/// How old a reading of a worker may be for its tasks to count as at work, in milliseconds; longer
/// than a look stays open, and far below the time after which a task counts as away.
const FRESH_READING_MS: u64 = 2_000;

/// Says how far the maintenance of an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its worker is being emptied.
    Emptying { since_ms: u64 },
    /// The order has been given, without an answer yet.
    Ordered { at_ms: u64 },
    /// It is down.
    Down { since_ms: u64 },
}

/// Holds what the leader knows of the maintenance under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct Upkeep {
    phases: BTreeMap<(u64, SmolStr), Phase>,
    busy: BTreeSet<SmolStr>,
    /// The instances of open waves whose maintenance has not begun.
    due: HashSet<SmolStr>,
    tended_at_ms: u64,
}

impl Upkeep {
    /// Returns whether an instance is being emptied or is down for its maintenance.
    pub(crate) fn is_under_way(&self, instance: &str) -> bool {
        self.busy.contains(instance)
    }

    /// Returns whether an instance is to be sent into maintenance, or may be at any moment.
    pub(crate) fn awaits(&self, instance: &str) -> bool {
        let is_down = |phase: &Phase| matches!(phase, Phase::Down { .. });
        let mut phases = self
            .phases
            .iter()
            .filter(|((_, known), _)| known == instance);
        self.busy.contains(instance) && phases.any(|(_, phase)| !is_down(phase))
    }

    /// Returns whether an instance waits for its maintenance.
    pub(crate) fn is_due(&self, instance: Option<&str>) -> bool {
        instance.is_some_and(|instance| self.due.contains(instance))
    }

    /// Notes which instances wait for their maintenance.
    fn note_due<'a>(&mut self, waves: impl Iterator<Item = &'a Wave>) {
        let due = waves.flat_map(|wave| {
            let instances = wave.instances.iter();
            instances.filter(|instance| !wave.maintained.contains(*instance))
        });
        self.due = due.cloned().collect();
    }

    /// Forgets an instance that is gone.
    pub(crate) fn forget(&mut self, wave: u64, instance: &SmolStr) {
        self.phases.remove(&(wave, instance.clone()));
        self.busy.remove(instance);
    }

    fn set(&mut self, key: (u64, SmolStr), phase: Phase) {
        self.busy.insert(key.1.clone());
        self.phases.insert(key, phase);
    }
}

impl Leader {
    /// Moves every wave on.
    pub(super) fn tend_upkeep(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let is_recent = now_ms < self.upkeep.tended_at_ms + TEND_INTERVAL_MS;
        if is_recent || !self.may_order_instances() {
            return;
        }
        self.upkeep.tended_at_ms = now_ms;
        self.note_returned();
        self.upkeep.note_due(state.waves.values());
        for (number, wave) in &state.waves {
            if wave.is_complete() {
                continue;
            }
            self.begin_emptying(*number, wave);
        }
        self.doubt_what_is_down(state);
        let keys: Vec<_> = self.upkeep.phases.keys().cloned().collect();
        for (wave, instance) in keys {
            self.tend_instance(wave, &instance);
        }
    }

    /// Notes instances that are heard again, or have been away for as long as maintenance takes.
    fn note_returned(&mut self) {
        let now_ms = self.now.steady_ms;
        let away_ms = self.settings.maintenance_ms + RETURN_MARGIN_MS;
        let mut back = Vec::new();
        for (key, phase) in &self.upkeep.phases {
            if let Phase::Down { since_ms } = phase {
                let heard = self.worker_on(&key.1).is_some_and(|handle| {
                    self.workers.get(&handle).is_some_and(|worker| {
                        worker.registered && now_ms >= since_ms + self.settings.maintenance_ms
                    })
                });
                if heard || now_ms >= since_ms + away_ms {
                    back.push(key.clone());
                }
            }
        }
        for key in back {
            self.upkeep.forget(key.0, &key.1);
        }
    }

    /// Takes up instances of a wave as long as fewer are away than may be.
    fn begin_emptying(&mut self, number: u64, wave: &Wave) {
        let now_ms = self.now.steady_ms;
        let under_way = self
            .upkeep
            .phases
            .keys()
            .filter(|(of, _)| *of == number)
            .count();
        if self.lets_work_go_first(wave) {
            return;
        }
        let room = (wave.max_down as usize).saturating_sub(under_way);
        let waiting = self.waiting_instances(wave);
        let ready = waiting.filter(|instance| self.is_up(instance));
        let ranked = ready.map(|instance| {
            let worker = self
                .worker_on(instance)
                .and_then(|handle| self.workers.get(&handle));
            let runs = worker.map_or(0, |worker| worker.runs.len());
            // Tasks that last leave one after the other, so their instances begin first.
            let takes_long = worker.is_some_and(|worker| worker.lasting_runs > 0);
            ((!takes_long, runs), instance.clone())
        });
        let mut ranked: Vec<((bool, usize), SmolStr)> = ranked.collect();
        ranked.sort();
        for ((_, runs), instance) in ranked.into_iter().take(room) {
            let handle = self.worker_on(&instance);
            if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
                worker.emptying = true;
            }
            self.note(format!(
                "event=instance_emptying instance={instance} wave={number} runs={runs}"
            ));
            let phase = Phase::Emptying { since_ms: now_ms };
            self.upkeep.set((number, instance), phase);
        }
    }

    /// Returns whether a wave takes up no more instances for now, since the pools lack them and it can
    /// still be in time.
    fn lets_work_go_first(&self, wave: &Wave) -> bool {
        let left = wave.instances.len().saturating_sub(wave.maintained.len());
        let due_ms = wave.accepted_at_ms.saturating_add(wave.duration_ms);
        self.settings.mechanisms.waiting_waves
            && self.pool_plans.is_short()
            && may_wait(&WaveLeft {
                instances: left as u64,
                max_down: u64::from(wave.max_down),
                maintenance_ms: self.settings.maintenance_ms,
                time_ms: due_ms.saturating_sub(self.now.wall_ms),
            })
    }

    /// Returns the instances of a wave that wait for their maintenance to be taken up.
    fn waiting_instances<'a>(&self, wave: &'a Wave) -> impl Iterator<Item = &'a SmolStr> {
        wave.instances.iter().filter(|instance| {
            !wave.maintained.contains(*instance)
                && !self.upkeep.is_under_way(instance)
                && !self.moves.is_moving(instance)
        })
    }

    /// Returns whether an instance is up: the list says so, or its worker has been heard since.
    fn is_up(&self, instance: &SmolStr) -> bool {
        let listed = self.fleet.instances.get(instance);
        let heard = self
            .worker_on(instance)
            .and_then(|handle| self.workers.get(&handle))
            .is_some_and(|worker| worker.registered && !self.is_silent(worker));
        listed.is_some_and(|known| known.up || heard)
    }

    /// Asks for a new list where a wave waits for instances that the last one does not show as up.
    fn doubt_what_is_down(&mut self, state: &JobsState) {
        let mut open = state.waves.values().filter(|wave| !wave.is_complete());
        let is_down = |instance: &SmolStr| !self.is_up(instance);
        if open.any(|wave| self.waiting_instances(wave).any(is_down)) {
            self.fleet.doubt();
        }
    }

    fn tend_instance(&mut self, wave: u64, instance: &SmolStr) {
        let now_ms = self.now.steady_ms;
        let key = (wave, instance.clone());
        let Some(phase) = self.upkeep.phases.get(&key).copied() else {
            return;
        };
        match phase {
            Phase::Emptying { since_ms } => {
                let handle = self.worker_on(instance);
                let patient = now_ms < since_ms + EMPTYING_PATIENCE_MS;
                let is_empty = match handle {
                    Some(handle) => self.empty_worker(handle, patient),
                    None => true,
                };
                if is_empty && self.order_rate.allows(now_ms) {
                    self.order_rate.note();
                    self.order_maintenance(key);
                }
            }
            // The instance may have come up meanwhile, and its worker been given tasks.
            Phase::Ordered { at_ms } if now_ms >= at_ms + ORDER_REPEAT_MS => {
                self.upkeep.set(key, Phase::Emptying { since_ms: now_ms });
            }
            Phase::Ordered { .. } | Phase::Down { .. } => {}
        }
    }

    fn order_maintenance(&mut self, key: (u64, SmolStr)) {
        let at_ms = self.now.steady_ms;
        let (wave, instance) = key.clone();
        self.note(format!(
            "event=maintenance_ordered instance={instance} wave={wave}"
        ));
        self.upkeep.set(key, Phase::Ordered { at_ms });
        self.effects.push(Effect::Maintain { instance, wave });
    }

    /// Empties a worker; returns whether nothing runs on it any more.
    pub(super) fn empty_worker(&mut self, handle: WorkerHandle, patient: bool) -> bool {
        let Some(worker) = self.workers.get_mut(&handle) else {
            return true;
        };
        worker.emptying = true;
        let runs: Vec<_> = worker
            .runs
            .iter()
            .map(|(task, run)| (*task, *run))
            .collect();
        for (task, number) in &runs {
            let step = self.steps.get(&task.step_id());
            let lasts = step.is_some_and(|step| step.step().long_running);
            let may_stop = if lasts {
                self.may_stop_one_more(*task)
            } else {
                !patient
            };
            if may_stop {
                self.stop_run(*task, *number, "maintenance");
            }
        }
        self.workers
            .get(&handle)
            .is_none_or(super::Worker::is_empty)
    }

    /// Returns whether a task may be stopped without more of its step being away than allowed.
    pub(super) fn may_stop_one_more(&self, task: TaskId) -> bool {
        let Some(step) = self.steps.get(&task.step_id()) else {
            return true;
        };
        let max_unavailable = step.step().max_unavailable;
        max_unavailable == 0 || self.away(task.step_id()) < max_unavailable
    }

    /// Returns whether a worker has answered lately, so that what it listed still holds.
    fn is_known_sound(&self, handle: WorkerHandle) -> bool {
        let fresh_since_ms = self.now.steady_ms.saturating_sub(FRESH_READING_MS);
        self.workers.get(&handle).is_some_and(|worker| {
            !worker.doubtful && !worker.heartbeat.draining && worker.read_at_ms >= fresh_since_ms
        })
    }

    /// Returns how many tasks of a step are not at work.
    fn away(&self, id: StepId) -> u32 {
        let Some(step) = self.steps.get(&id) else {
            return 0;
        };
        let is_at_work = |index: &u32| {
            let runs = self.runs.get(&id.task(*index)).into_iter().flatten();
            let mut runs = runs.filter(|run| run.state == RunState::Running);
            runs.any(|run| run.percent >= 100 && self.is_known_sound(run.worker))
        };
        let tasks = 0..step.step().tasks;
        u32::try_from(tasks.filter(|index| !is_at_work(index)).count()).unwrap_or(u32::MAX)
    }

    /// Takes the platform's answer to an order for maintenance.
    pub fn take_maintenance_answer(
        &mut self,
        wave: u64,
        instance: &SmolStr,
        answer: InstanceAnswer,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        let key = (wave, instance.clone());
        self.note(format!(
            "event=maintenance_answer instance={instance} wave={wave} answer={answer:?}"
        ));
        match answer {
            InstanceAnswer::Done => {
                self.counts.maintained += 1;
                self.note_sent_away(instance, "maintenance", state);
                self.upkeep.set(key, Phase::Down { since_ms: now_ms });
                self.propose(Command::NoteMaintained {
                    wave,
                    instance: instance.clone(),
                });
            }
            InstanceAnswer::Busy => {
                self.upkeep.set(key, Phase::Ordered { at_ms: now_ms });
                self.fleet.doubt();
            }
            InstanceAnswer::Impossible => {
                self.upkeep.forget(key.0, &key.1);
                let handle = self.worker_on(instance);
                if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
                    worker.emptying = false;
                }
                self.propose(Command::NoteMaintained {
                    wave,
                    instance: instance.clone(),
                });
            }
            InstanceAnswer::Fenced | InstanceAnswer::Unknown => {}
        }
    }
}
