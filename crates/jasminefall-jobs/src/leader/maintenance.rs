//! Maintenance waves.
//!
//! An instance is evacuated first: long-running tasks are stopped within what their steps may miss
//! and start elsewhere, the others are waited for. Then the instance is sent into maintenance.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use smol_str::SmolStr;

use super::fleet::InstanceResponse;
use super::{Effect, Leader, RunState, WorkerHandle};
use crate::ids::{StepId, TaskId};
use crate::policy::waves::{RemainingWave, may_defer};
use crate::state::{Command, JobsState, Wave};

/// How often waves are moved on, in milliseconds; a twentieth of what an instance's maintenance takes.
const ADVANCE_INTERVAL_MS: u64 = 100;
/// How long after a request without effect it is sent again, in milliseconds.
const REQUEST_RETRY_MS: u64 = 700;
/// How long an instance counts as down beyond its maintenance, in milliseconds, unless it is heard.
const RETURN_MARGIN_MS: u64 = 1_500;
/// How long tasks that end by themselves are waited for, in milliseconds, before they are stopped.
const EVACUATION_TIMEOUT_MS: u64 = 4_000;

/// How old a reading of a worker may be for its tasks to count as at work, in milliseconds; longer
/// than a poll stays open, and far below the time after which a task counts as away.
const MAX_LIST_AGE_MS: u64 = 2_000;

/// Says how far the maintenance of an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its worker is being evacuated.
    Evacuating { since_ms: u64 },
    /// The request has been sent, without a response yet.
    Requested { at_ms: u64 },
    /// It is down.
    Down { since_ms: u64 },
}

/// Holds what the leader knows of the maintenance under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct MaintenanceTracker {
    phases: BTreeMap<(u64, SmolStr), Phase>,
    busy: BTreeSet<SmolStr>,
    /// The instances of open waves whose maintenance has not begun.
    due: HashSet<SmolStr>,
    advanced_at_ms: u64,
}

impl MaintenanceTracker {
    /// Returns whether an instance is being evacuated or is down for its maintenance.
    pub(crate) fn is_under_way(&self, instance: &str) -> bool {
        self.busy.contains(instance)
    }

    /// Returns whether an instance is to be sent into maintenance, or may be at any moment.
    pub(crate) fn is_pending(&self, instance: &str) -> bool {
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

    /// Records which instances wait for their maintenance.
    fn record_due<'a>(&mut self, waves: impl Iterator<Item = &'a Wave>) {
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

    fn set_phase(&mut self, key: (u64, SmolStr), phase: Phase) {
        self.busy.insert(key.1.clone());
        self.phases.insert(key, phase);
    }
}

impl Leader {
    /// Moves every wave on.
    pub(super) fn advance_maintenance(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let is_recent = now_ms < self.maintenance.advanced_at_ms + ADVANCE_INTERVAL_MS;
        if is_recent || !self.may_request_instance_changes() {
            return;
        }
        self.maintenance.advanced_at_ms = now_ms;
        self.release_returned();
        self.maintenance.record_due(state.waves.values());
        for (number, wave) in &state.waves {
            if wave.is_complete() {
                continue;
            }
            self.begin_evacuations(*number, wave);
        }
        self.refresh_list_if_instances_down(state);
        let keys: Vec<_> = self.maintenance.phases.keys().cloned().collect();
        for (wave, instance) in keys {
            self.advance_instance(wave, &instance);
        }
    }

    /// Records instances that are heard again, or have been away for as long as maintenance takes.
    fn release_returned(&mut self) {
        let now_ms = self.now.steady_ms;
        let down_ms = self.settings.maintenance_ms + RETURN_MARGIN_MS;
        let mut back = Vec::new();
        for (key, phase) in &self.maintenance.phases {
            if let Phase::Down { since_ms } = phase {
                let heard = self.worker_on(&key.1).is_some_and(|handle| {
                    self.workers.get(&handle).is_some_and(|worker| {
                        worker.registered && now_ms >= since_ms + self.settings.maintenance_ms
                    })
                });
                if heard || now_ms >= since_ms + down_ms {
                    back.push(key.clone());
                }
            }
        }
        for key in back {
            self.maintenance.forget(key.0, &key.1);
        }
    }

    /// Takes up instances of a wave as long as fewer are away than may be.
    fn begin_evacuations(&mut self, number: u64, wave: &Wave) {
        let now_ms = self.now.steady_ms;
        let under_way = self
            .maintenance
            .phases
            .keys()
            .filter(|(of, _)| *of == number)
            .count();
        if self.is_deferred(wave) {
            return;
        }
        let available = (wave.max_down as usize).saturating_sub(under_way);
        let waiting = self.waiting_instances(wave);
        let ready = waiting.filter(|instance| self.is_up(instance));
        let ranked = ready.map(|instance| {
            let worker = self
                .worker_on(instance)
                .and_then(|handle| self.workers.get(&handle));
            let runs = worker.map_or(0, |worker| worker.runs.len());
            // Long-running tasks leave one after the other, so their instances begin first.
            let has_long_running = worker.is_some_and(|worker| worker.long_running_runs > 0);
            ((!has_long_running, runs), instance.clone())
        });
        let mut ranked: Vec<((bool, usize), SmolStr)> = ranked.collect();
        ranked.sort();
        for ((_, runs), instance) in ranked.into_iter().take(available) {
            let handle = self.worker_on(&instance);
            if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
                worker.evacuating = true;
            }
            self.log_event(format!(
                "event=instance_emptying instance={instance} wave={number} runs={runs}"
            ));
            let phase = Phase::Evacuating { since_ms: now_ms };
            self.maintenance.set_phase((number, instance), phase);
        }
    }

    /// Returns whether a wave takes up no more instances for now, since the pools lack them and it can
    /// still be in time.
    fn is_deferred(&self, wave: &Wave) -> bool {
        let left = wave.instances.len().saturating_sub(wave.maintained.len());
        let due_ms = wave.accepted_at_ms.saturating_add(wave.duration_ms);
        self.settings.mechanisms.wave_deferral
            && self.pool_planner.has_shortage()
            && may_defer(&RemainingWave {
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
                && !self.maintenance.is_under_way(instance)
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
    fn refresh_list_if_instances_down(&mut self, state: &JobsState) {
        let mut open = state.waves.values().filter(|wave| !wave.is_complete());
        let is_down = |instance: &SmolStr| !self.is_up(instance);
        if open.any(|wave| self.waiting_instances(wave).any(is_down)) {
            self.fleet.request_refresh();
        }
    }

    fn advance_instance(&mut self, wave: u64, instance: &SmolStr) {
        let now_ms = self.now.steady_ms;
        let key = (wave, instance.clone());
        let Some(phase) = self.maintenance.phases.get(&key).copied() else {
            return;
        };
        match phase {
            Phase::Evacuating { since_ms } => {
                let handle = self.worker_on(instance);
                let within_timeout = now_ms < since_ms + EVACUATION_TIMEOUT_MS;
                let is_empty = match handle {
                    Some(handle) => self.evacuate_worker(handle, within_timeout),
                    None => true,
                };
                if is_empty && self.request_limiter.has_token(now_ms) {
                    self.request_limiter.consume();
                    self.request_maintenance(key);
                }
            }
            // The instance may have come up meanwhile, and its worker been given tasks.
            Phase::Requested { at_ms } if now_ms >= at_ms + REQUEST_RETRY_MS => {
                self.maintenance
                    .set_phase(key, Phase::Evacuating { since_ms: now_ms });
            }
            Phase::Requested { .. } | Phase::Down { .. } => {}
        }
    }

    fn request_maintenance(&mut self, key: (u64, SmolStr)) {
        let at_ms = self.now.steady_ms;
        let (wave, instance) = key.clone();
        self.log_event(format!(
            "event=maintenance_ordered instance={instance} wave={wave}"
        ));
        self.maintenance.set_phase(key, Phase::Requested { at_ms });
        self.effects.push(Effect::Maintain { instance, wave });
    }

    /// Empties a worker; returns whether nothing runs on it any more.
    pub(super) fn evacuate_worker(&mut self, handle: WorkerHandle, within_timeout: bool) -> bool {
        let Some(worker) = self.workers.get_mut(&handle) else {
            return true;
        };
        worker.evacuating = true;
        let runs: Vec<_> = worker
            .runs
            .iter()
            .map(|(task, run)| (*task, *run))
            .collect();
        for (task, number) in &runs {
            let step = self.steps.get(&task.step_id());
            let long_running = step.is_some_and(|step| step.step().long_running);
            let may_stop = if long_running {
                self.may_stop_one_more(*task)
            } else {
                !within_timeout
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
        max_unavailable == 0 || self.unavailable_tasks(task.step_id()) < max_unavailable
    }

    /// Returns whether a worker has answered lately, so that what it listed still holds.
    fn is_responsive(&self, handle: WorkerHandle) -> bool {
        let fresh_since_ms = self.now.steady_ms.saturating_sub(MAX_LIST_AGE_MS);
        self.workers.get(&handle).is_some_and(|worker| {
            !worker.unresponsive
                && !worker.heartbeat.draining
                && worker.listed_at_ms >= fresh_since_ms
        })
    }

    /// Returns how many tasks of a step are not at work.
    fn unavailable_tasks(&self, id: StepId) -> u32 {
        let Some(step) = self.steps.get(&id) else {
            return 0;
        };
        let is_at_work = |index: &u32| {
            let runs = self.runs.get(&id.task(*index)).into_iter().flatten();
            let mut runs = runs.filter(|run| run.state == RunState::Running);
            runs.any(|run| run.percent >= 100 && self.is_responsive(run.worker))
        };
        let tasks = 0..step.step().tasks;
        u32::try_from(tasks.filter(|index| !is_at_work(index)).count()).unwrap_or(u32::MAX)
    }

    /// Takes the platform's response to a request for maintenance.
    pub fn on_maintenance_response(
        &mut self,
        wave: u64,
        instance: &SmolStr,
        response: InstanceResponse,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        let key = (wave, instance.clone());
        self.log_event(format!(
            "event=maintenance_answer instance={instance} wave={wave} answer={response:?}"
        ));
        match response {
            InstanceResponse::Done => {
                self.counts.maintained += 1;
                self.on_instance_sent_away(instance, "maintenance", state);
                self.maintenance
                    .set_phase(key, Phase::Down { since_ms: now_ms });
                self.propose(Command::RecordMaintained {
                    wave,
                    instance: instance.clone(),
                });
            }
            InstanceResponse::Busy => {
                self.maintenance
                    .set_phase(key, Phase::Requested { at_ms: now_ms });
                self.fleet.request_refresh();
            }
            InstanceResponse::Impossible => {
                self.maintenance.forget(key.0, &key.1);
                let handle = self.worker_on(instance);
                if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
                    worker.evacuating = false;
                }
                self.propose(Command::RecordMaintained {
                    wave,
                    instance: instance.clone(),
                });
            }
            InstanceResponse::Fenced | InstanceResponse::Unknown => {}
        }
    }
}
