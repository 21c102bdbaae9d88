//! Maintenance waves.
//!
//! An instance is emptied first: tasks that last are stopped within what their steps may miss and
//! start elsewhere, the others are waited for. Then the instance is sent into maintenance.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::{Effect, Leader, RunState, WorkerHandle};
use crate::ids::{StepId, TaskId};
use crate::state::{Command, JobsState, Wave};

/// How long a leader waits before its first order to an instance, in milliseconds: an earlier leader
/// may have ordered just before, and two holders must not take turns within their lease.
const FIRST_ORDER_AFTER_MS: u64 = 3_500;
/// How long after an order without effect it is given again, in milliseconds.
const ORDER_REPEAT_MS: u64 = 700;
/// How long an instance counts as down beyond its maintenance, in milliseconds, unless it is heard.
const RETURN_MARGIN_MS: u64 = 1_500;
/// How long tasks that end by themselves are waited for, in milliseconds, before they are stopped.
const EMPTYING_PATIENCE_MS: u64 = 4_000;
/// How often the list of instances is read while an instance cannot be found, in milliseconds.
const LIST_INTERVAL_MS: u64 = 3_000;

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
    /// Which worker an instance carries, from the list of instances.
    listed: BTreeMap<SmolStr, SmolStr>,
    listed_at_ms: Option<u64>,
    list_asked_at_ms: Option<u64>,
}

/// Describes an instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: SmolStr,
    /// The pool that it belongs to.
    pub pool: SmolStr,
    /// The worker that it carries, if it is up.
    pub worker: Option<SmolStr>,
    /// Whether it is up.
    pub up: bool,
}

/// Says what the platform answered to an order about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceAnswer {
    /// The order is carried out, or has been before.
    Done,
    /// The instance is not up, or leaving; the order may be given again.
    Busy,
    /// The order can never be carried out: no such instance, pool or wave.
    Impossible,
    /// Another holder has a later fencing token.
    Fenced,
    /// Nothing is known, or the platform asked to slow down.
    Unknown,
}

impl Leader {
    /// Moves every wave on.
    pub(super) fn tend_upkeep(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        if now_ms < self.leads_since_ms + FIRST_ORDER_AFTER_MS {
            return;
        }
        self.note_returned();
        for (number, wave) in &state.waves {
            if wave.is_complete() {
                continue;
            }
            self.begin_emptying(*number, wave);
        }
        let keys: Vec<_> = self.upkeep.phases.keys().cloned().collect();
        for (wave, instance) in keys {
            self.tend_instance(wave, &instance);
        }
    }

    /// Returns the worker on an instance.
    pub(super) fn worker_on(&self, instance: &str) -> Option<WorkerHandle> {
        let listed = self.upkeep.listed.get(instance);
        let is_there = |worker: &super::Worker| match &worker.heartbeat.instance {
            Some(named) => named == instance,
            None => listed.is_some_and(|id| *id == worker.life().worker),
        };
        let found = self.workers.iter().find(|(_, worker)| is_there(worker));
        found.map(|(handle, _)| *handle)
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
            self.upkeep.phases.remove(&key);
        }
    }

    /// Takes up instances of a wave as long as fewer are away than may be.
    fn begin_emptying(&mut self, number: u64, wave: &Wave) {
        let now_ms = self.now.steady_ms;
        let under_way = self.upkeep.phases.keys().filter(|(of, _)| *of == number).count();
        let room = (wave.max_down as usize).saturating_sub(under_way);
        let waits = |instance: &&SmolStr| {
            !wave.maintained.contains(*instance)
                && !self.upkeep.phases.keys().any(|(_, known)| known == *instance)
        };
        let mut waiting: Vec<(usize, SmolStr, Option<WorkerHandle>)> = wave
            .instances
            .iter()
            .filter(waits)
            .map(|instance| {
                let handle = self.worker_on(instance);
                let runs = handle.and_then(|handle| self.workers.get(&handle));
                (runs.map_or(usize::MAX, |worker| worker.runs.len()), instance.clone(), handle)
            })
            .collect();
        waiting.sort_by(|left, right| (left.0, &left.1).cmp(&(right.0, &right.1)));
        if waiting.iter().any(|(_, _, handle)| handle.is_none()) {
            self.list_instances();
        }
        let found = waiting.into_iter().filter_map(|(_, instance, handle)| Some((instance, handle?)));
        for (instance, handle) in found.take(room) {
            if let Some(worker) = self.workers.get_mut(&handle) {
                worker.emptying = true;
                let line = format!(
                    "event=instance_emptying instance={instance} wave={number} worker={} runs={}",
                    worker.life(),
                    worker.runs.len()
                );
                self.note(line);
            }
            let phase = Phase::Emptying { since_ms: now_ms };
            self.upkeep.phases.insert((number, instance), phase);
        }
    }

    fn list_instances(&mut self) {
        let now_ms = self.now.steady_ms;
        let is_recent = |at_ms: Option<u64>| at_ms.is_some_and(|at| now_ms < at + LIST_INTERVAL_MS);
        if !is_recent(self.upkeep.list_asked_at_ms) {
            self.upkeep.list_asked_at_ms = Some(now_ms);
            self.effects.push(Effect::ListInstances);
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
                if is_empty {
                    self.order_maintenance(key);
                }
            }
            Phase::Ordered { at_ms } if now_ms >= at_ms + ORDER_REPEAT_MS => {
                self.order_maintenance(key);
            }
            Phase::Ordered { .. } | Phase::Down { .. } => {}
        }
    }

    fn order_maintenance(&mut self, key: (u64, SmolStr)) {
        let at_ms = self.now.steady_ms;
        let (wave, instance) = key.clone();
        self.note(format!("event=maintenance_ordered instance={instance} wave={wave}"));
        self.upkeep.phases.insert(key, Phase::Ordered { at_ms });
        self.effects.push(Effect::Maintain { instance, wave });
    }

    /// Empties a worker; returns whether nothing runs on it any more.
    pub(super) fn empty_worker(&mut self, handle: WorkerHandle, patient: bool) -> bool {
        let Some(worker) = self.workers.get(&handle) else {
            return true;
        };
        let runs: Vec<_> = worker.runs.iter().map(|(task, run)| (*task, *run)).collect();
        for (task, number) in &runs {
            let step = self.steps.get(&task.step_id());
            let lasts = step.is_some_and(|step| step.step().long_running);
            let may_stop = if lasts { self.may_miss_one_more(*task) } else { !patient };
            if may_stop {
                self.stop_run(*task, *number, false);
            }
        }
        runs.is_empty()
    }

    /// Returns whether a task may be stopped without more of its step being away than allowed.
    pub(super) fn may_miss_one_more(&self, task: TaskId) -> bool {
        let Some(step) = self.steps.get(&task.step_id()) else {
            return true;
        };
        let may_miss = step.step().may_miss;
        may_miss == 0 || self.away(task.step_id()) < may_miss
    }

    /// Returns how many tasks of a step are not at work.
    fn away(&self, id: StepId) -> u32 {
        let Some(step) = self.steps.get(&id) else {
            return 0;
        };
        let is_at_work = |index: &u32| {
            let runs = self.runs.get(&id.task(*index)).into_iter().flatten();
            let mut runs = runs.filter(|run| run.state == RunState::Running);
            runs.any(|run| run.percent >= 100)
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
                if let Some(handle) = self.worker_on(instance) {
                    self.end_life(handle, "maintenance", state);
                }
                self.upkeep.listed.remove(instance);
                self.upkeep.phases.insert(key, Phase::Down { since_ms: now_ms });
                self.propose(Command::NoteMaintained {
                    wave,
                    instance: instance.clone(),
                });
            }
            InstanceAnswer::Busy => {
                self.upkeep.phases.insert(key, Phase::Ordered { at_ms: now_ms });
                self.list_instances();
            }
            InstanceAnswer::Impossible => {
                self.upkeep.phases.remove(&key);
                self.propose(Command::NoteMaintained {
                    wave,
                    instance: instance.clone(),
                });
            }
            InstanceAnswer::Fenced | InstanceAnswer::Unknown => {}
        }
    }

    /// Takes the platform's list of instances.
    pub fn take_instances(&mut self, listed: &[ListedInstance], state: &JobsState) {
        self.upkeep.listed_at_ms = Some(self.now.steady_ms);
        self.upkeep.listed.clear();
        for known in listed {
            if let Some(worker) = &known.worker {
                self.upkeep.listed.insert(known.instance.clone(), worker.clone());
            }
        }
        let there: BTreeSet<&SmolStr> = listed.iter().map(|known| &known.instance).collect();
        let mut gone = Vec::new();
        for (number, wave) in &state.waves {
            for instance in &wave.instances {
                if !there.contains(instance) && !wave.maintained.contains(instance) {
                    gone.push((*number, instance.clone()));
                }
            }
        }
        for (wave, instance) in gone {
            self.note(format!("event=instance_gone instance={instance} wave={wave}"));
            self.upkeep.phases.remove(&(wave, instance.clone()));
            self.propose(Command::NoteMaintained { wave, instance });
        }
    }
}
