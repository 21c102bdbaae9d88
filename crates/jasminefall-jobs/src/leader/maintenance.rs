//! Maintenance waves.
//!
//! Each instance is first evacuated: long-running tasks are stopped, within the `max_unavailable`
//! of their steps, and restart elsewhere; other tasks may finish within a timeout. The leader then
//! requests the maintenance from the platform.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use smol_str::SmolStr;

use super::fleet::InstanceResponse;
use super::{Effect, Leader, RunState, Worker, WorkerHandle};
use crate::ids::{StepId, TaskId};
use crate::policy::waves::{RemainingWave, may_defer};
use crate::state::{Command, JobsState, Wave};

/// Interval at which waves are advanced, in milliseconds; a twentieth of the default duration of an
/// instance's maintenance.
const ADVANCE_INTERVAL_MS: u64 = 100;
/// Delay after which a maintenance request without effect is repeated, in milliseconds.
const REQUEST_RETRY_MS: u64 = 700;
/// Time beyond its maintenance for which an instance counts as down, in milliseconds, unless a
/// worker has registered on it.
const RETURN_MARGIN_MS: u64 = 1_500;
/// Time after the start of an evacuation at which tasks that are not long-running are stopped, in
/// milliseconds; until then they may finish.
const EVACUATION_TIMEOUT_MS: u64 = 4_000;
/// Time after which an evacuation is abandoned, in milliseconds, if tasks remain that must not be stopped, so
/// that other instances of the wave get their turn and the worker gets tasks again.
const EVACUATION_LIMIT_MS: u64 = 8_000;
/// Time after which an abandoned evacuation is repeated, in milliseconds; longer than the placement of the
/// tasks that were missing takes.
const EVACUATION_BACKOFF_MS: u64 = 1_000;
/// Maximum age of a worker's run list at which its tasks count as available, in milliseconds;
/// longer than a long poll stays open, and far below the time after which a task counts as
/// unavailable.
const MAX_RUN_LIST_AGE_MS: u64 = 2_000;

/// Describes the stage of an instance's maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The worker of the instance is being evacuated.
    Evacuating { since_ms: u64 },
    /// The maintenance has been requested and has not begun.
    Requested { at_ms: u64 },
    /// The platform has begun the maintenance.
    Down { since_ms: u64 },
}

/// Tracks the instances of maintenance waves.
#[derive(Debug, Clone, Default)]
pub(crate) struct MaintenanceTracker {
    /// The phase of each instance in progress, by wave and instance.
    phases: BTreeMap<(u64, SmolStr), Phase>,
    /// When the maintenance of each instance in `phases` was requested first, on the steady clock.
    first_requested_at_ms: BTreeMap<(u64, SmolStr), u64>,
    /// When the evacuation of instances was abandoned, on the steady clock.
    abandoned_at_ms: BTreeMap<SmolStr, u64>,
    /// The instances in `phases`.
    in_progress: BTreeSet<SmolStr>,
    /// The instances of all waves whose maintenance has not begun.
    due: HashSet<SmolStr>,
    /// The waves that an earlier leader may have requested maintenance for.
    inherited_waves: BTreeSet<u64>,
    /// When waves were accepted under this leader, on the steady clock.
    accepted_at_ms: BTreeMap<u64, u64>,
    advanced_at_ms: u64,
}

impl MaintenanceTracker {
    /// Creates the tracker of a new leader.
    pub(crate) fn resumed(state: &JobsState) -> Self {
        let waves = state.waves.iter();
        let incomplete = waves.filter(|(_, wave)| !wave.is_complete());
        Self {
            inherited_waves: incomplete.map(|(number, _)| *number).collect(),
            ..Self::default()
        }
    }

    /// Returns since when this leader has known a wave, on the steady clock; zero for a wave that an earlier
    /// leader accepted, since this one has requested no list before it knew it.
    pub(crate) fn known_since_ms(&self, wave: u64) -> u64 {
        self.accepted_at_ms.get(&wave).copied().unwrap_or(0)
    }

    /// Returns whether an instance is being evacuated or is down for its maintenance.
    pub(crate) fn is_in_progress(&self, instance: &str) -> bool {
        self.in_progress.contains(instance)
    }

    /// Returns whether an instance is being evacuated, or its maintenance has been requested and
    /// may begin at any moment.
    pub(crate) fn is_pending(&self, instance: &str) -> bool {
        let is_down = |phase: &Phase| matches!(phase, Phase::Down { .. });
        let mut phases = self
            .phases
            .iter()
            .filter(|((_, phase_instance), _)| phase_instance == instance);
        self.in_progress.contains(instance) && phases.any(|(_, phase)| !is_down(phase))
    }

    /// Returns whether the platform may have begun the maintenance of an instance.
    pub(crate) fn is_requested(&self, instance: &str) -> bool {
        let mut phases = self.phases.iter();
        self.in_progress.contains(instance)
            && phases.any(|((_, known), phase)| {
                known == instance && !matches!(phase, Phase::Evacuating { .. })
            })
    }

    /// Returns whether an instance belongs to a wave and its maintenance has not begun.
    pub(crate) fn is_due(&self, instance: Option<&str>) -> bool {
        instance.is_some_and(|instance| self.due.contains(instance))
    }

    /// Records the instances whose maintenance has not begun.
    fn record_due<'a>(&mut self, waves: impl Iterator<Item = &'a Wave>) {
        let due = waves.flat_map(|wave| {
            let instances = wave.instances.iter();
            instances.filter(|instance| !wave.maintained.contains(*instance))
        });
        self.due = due.cloned().collect();
        let due = &self.due;
        self.abandoned_at_ms
            .retain(|instance, _| due.contains(instance));
    }

    /// Removes an instance that has returned, does not exist or cannot be maintained.
    pub(crate) fn remove(&mut self, wave: u64, instance: &SmolStr) {
        let key = (wave, instance.clone());
        self.phases.remove(&key);
        self.first_requested_at_ms.remove(&key);
        self.in_progress.remove(instance);
    }

    fn set_phase(&mut self, key: (u64, SmolStr), phase: Phase) {
        self.in_progress.insert(key.1.clone());
        self.phases.insert(key, phase);
    }
}

impl Leader {
    /// Records that a wave was accepted, now or by an earlier request.
    pub(super) fn record_wave(&mut self, wave: u64) {
        let now_ms = self.now.steady_ms;
        if !self.maintenance.inherited_waves.contains(&wave) {
            let accepted_at_ms = &mut self.maintenance.accepted_at_ms;
            accepted_at_ms.entry(wave).or_insert(now_ms);
        }
        self.log_event(format!("event=wave_accepted wave={wave}"));
    }

    /// Advances every wave, at intervals.
    pub(super) fn advance_maintenance(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let is_recent = now_ms < self.maintenance.advanced_at_ms + ADVANCE_INTERVAL_MS;
        if is_recent || !self.may_request_instance_changes() {
            return;
        }
        self.maintenance.advanced_at_ms = now_ms;
        self.remove_returned();
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

    /// Removes instances whose maintenance is over: its time has passed and a worker is registered
    /// on them, or a margin has passed as well.
    fn remove_returned(&mut self) {
        let now_ms = self.now.steady_ms;
        let down_ms = self.settings.maintenance_ms + RETURN_MARGIN_MS;
        let mut returned = Vec::new();
        for (key, phase) in &self.maintenance.phases {
            if let Phase::Down { since_ms } = phase {
                let is_up = self.worker_on(&key.1).is_some_and(|handle| {
                    self.workers.get(&handle).is_some_and(|worker| {
                        worker.registered
                            && worker.doubted_since_ms.is_none()
                            && now_ms >= since_ms + self.settings.maintenance_ms
                    })
                });
                if is_up || now_ms >= since_ms + down_ms {
                    returned.push(key.clone());
                }
            }
        }
        for key in returned {
            self.maintenance.remove(key.0, &key.1);
            self.stop_evacuation(&key.1);
        }
    }

    /// Begins to evacuate instances of a wave, so that at most its `max_down` are under way at
    /// once.
    fn begin_evacuations(&mut self, number: u64, wave: &Wave) {
        let now_ms = self.now.steady_ms;
        let in_progress = self
            .maintenance
            .phases
            .keys()
            .filter(|(phase_wave, _)| *phase_wave == number)
            .count();
        if self.is_deferred(wave) {
            return;
        }
        // Those that an earlier leader has sent into maintenance are down as well.
        let listed_down = wave.instances.iter().filter(|instance| {
            self.fleet.is_in_maintenance(instance) && !self.maintenance.is_in_progress(instance)
        });
        let unavailable = in_progress + listed_down.count();
        let available = (wave.max_down as usize).saturating_sub(unavailable);
        let waiting = self.waiting_instances(wave);
        let abandoned = &self.maintenance.abandoned_at_ms;
        let is_abandoned = |instance: &&SmolStr| {
            abandoned
                .get(*instance)
                .is_some_and(|at_ms| now_ms < at_ms + EVACUATION_BACKOFF_MS)
        };
        let waiting = waiting.filter(|instance| !is_abandoned(instance));
        let ready = waiting.filter(|instance| self.is_up(instance));
        let ranked = ready.map(|instance| {
            let worker = self
                .worker_on(instance)
                .and_then(|handle| self.workers.get(&handle));
            let runs = worker.map_or(0, |worker| worker.runs.len());
            // Instances with long-running tasks go first, since `max_unavailable` makes these tasks
            // leave one after the other.
            let has_long_running = worker.is_some_and(|worker| worker.long_running_runs > 0);
            // Those whose evacuation was abandoned come last, the earliest first.
            let abandoned_at_ms = abandoned.get(instance).copied();
            ((abandoned_at_ms, !has_long_running, runs), instance.clone())
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort();
        for ((_, _, runs), instance) in ranked.into_iter().take(available) {
            let handle = self.worker_on(&instance);
            if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
                worker.evacuating = true;
            }
            self.log_event(format!(
                "event=instance_evacuating instance={instance} wave={number} runs={runs}"
            ));
            let phase = Phase::Evacuating { since_ms: now_ms };
            self.maintenance.set_phase((number, instance), phase);
        }
    }

    /// Returns whether a wave begins no further evacuations for now, since the pools are short of
    /// instances and the wave can still be completed in time.
    fn is_deferred(&self, wave: &Wave) -> bool {
        let remaining = wave.instances.len().saturating_sub(wave.maintained.len());
        let due_ms = wave.accepted_at_ms.saturating_add(wave.duration_ms);
        self.settings.mechanisms.wave_deferral
            && self.pool_planner.has_shortage()
            && may_defer(&RemainingWave {
                instances: remaining as u64,
                max_down: u64::from(wave.max_down),
                maintenance_ms: self.settings.maintenance_ms,
                time_ms: due_ms.saturating_sub(self.now.wall_ms),
            })
    }

    /// Returns the instances of a wave that are not maintained, being maintained or moving.
    fn waiting_instances<'a>(&self, wave: &'a Wave) -> impl Iterator<Item = &'a SmolStr> {
        wave.instances.iter().filter(|instance| {
            !wave.maintained.contains(*instance)
                && !self.maintenance.is_in_progress(instance)
                && !self.moves.is_moving(instance)
        })
    }

    /// Returns whether an instance is up, by the instance list or by recent heartbeats of its
    /// worker.
    fn is_up(&self, instance: &SmolStr) -> bool {
        let listed = self.fleet.instances.get(instance);
        let has_heartbeats = self
            .worker_on(instance)
            .and_then(|handle| self.workers.get(&handle))
            .is_some_and(|worker| worker.registered && !self.is_silent(worker));
        listed.is_some_and(|known| known.up || has_heartbeats)
    }

    /// Requests a new instance list if a wave waits for instances that are not up, or until others are back.
    fn refresh_list_if_instances_down(&mut self, state: &JobsState) {
        let mut open = state.waves.values().filter(|wave| !wave.is_complete());
        let is_down = |instance: &SmolStr| !self.is_up(instance);
        let is_awaited = |instance: &SmolStr| {
            self.fleet.is_in_maintenance(instance) && !self.maintenance.is_in_progress(instance)
        };
        if open.any(|wave| {
            self.waiting_instances(wave).any(is_down) || wave.instances.iter().any(is_awaited)
        }) {
            self.fleet.request_refresh();
        }
    }

    /// Records the maintenance that an earlier leader has begun, so that it isn't requested again, if no other
    /// wave can be its cause.
    pub(super) fn record_listed_maintenance(&mut self, state: &JobsState) {
        let waves = state.waves.iter();
        let inherited =
            waves.filter(|(number, _)| self.maintenance.inherited_waves.contains(number));
        let begun = inherited.flat_map(|(number, wave)| {
            let waiting = self.waiting_instances(wave);
            let begun = waiting.filter(|instance| {
                let mut waves = state.waves.values();
                self.fleet.is_in_maintenance(instance)
                    && waves.all(|other| {
                        std::ptr::eq(other, wave) || !other.instances.contains(instance)
                    })
            });
            begun.map(|instance| (*number, instance.clone()))
        });
        let begun: Vec<_> = begun.collect();
        for (wave, instance) in begun {
            self.log_event(format!(
                "event=maintenance_listed instance={instance} wave={wave}"
            ));
            self.propose(Command::RecordMaintained { wave, instance });
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
                if !is_empty && now_ms >= since_ms + EVACUATION_LIMIT_MS {
                    self.abandon_evacuation(key);
                } else if is_empty && self.request_limiter.has_token(now_ms) {
                    self.request_limiter.consume();
                    self.request_maintenance(key);
                }
            }
            // Evacuates again before the retry, since the instance may have come up meanwhile and
            // its worker may have been given tasks.
            Phase::Requested { at_ms } if now_ms >= at_ms + REQUEST_RETRY_MS => {
                self.maintenance
                    .set_phase(key, Phase::Evacuating { since_ms: now_ms });
            }
            Phase::Requested { .. } | Phase::Down { .. } => {}
        }
    }

    /// Gives the place of an instance in its wave to another one, unless its runs are only waiting for their
    /// stop, and makes its worker available again.
    fn abandon_evacuation(&mut self, (wave, instance): (u64, SmolStr)) {
        let worker = self.worker_on(&instance);
        let worker = worker.and_then(|handle| self.workers.get(&handle));
        let is_blocked = worker.is_some_and(|worker| {
            let mut tasks = worker.runs.keys();
            tasks.any(|task| !self.may_stop_task(*task))
        });
        if !is_blocked {
            return;
        }
        self.log_event(format!(
            "event=evacuation_abandoned instance={instance} wave={wave}"
        ));
        self.maintenance.remove(wave, &instance);
        self.stop_evacuation(&instance);
        let at_ms = self.now.steady_ms;
        self.maintenance.abandoned_at_ms.insert(instance, at_ms);
    }

    fn request_maintenance(&mut self, key: (u64, SmolStr)) {
        let at_ms = self.now.steady_ms;
        let (wave, instance) = key.clone();
        self.log_event(format!(
            "event=maintenance_requested instance={instance} wave={wave}"
        ));
        let first_requested = self.maintenance.first_requested_at_ms.entry(key.clone());
        first_requested.or_insert(at_ms);
        self.maintenance.set_phase(key, Phase::Requested { at_ms });
        self.effects.push(Effect::Maintain { instance, wave });
    }

    /// Stops the runs on a worker that may be stopped now; returns whether it has no runs left and
    /// all ends are durable.
    ///
    /// Tasks that are not long-running may continue while `within_timeout` is set.
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
                self.may_stop_task(*task)
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

    /// Returns whether a task may be stopped without exceeding the `max_unavailable` of its step;
    /// zero means no limit.
    pub(super) fn may_stop_task(&self, task: TaskId) -> bool {
        let Some(step) = self.steps.get(&task.step_id()) else {
            return true;
        };
        let max_unavailable = step.step().max_unavailable;
        max_unavailable == 0 || self.unavailable_tasks(task.step_id()) < max_unavailable
    }

    /// Returns whether a worker has responded recently, so that its run list is still valid.
    fn is_responsive(&self, handle: WorkerHandle) -> bool {
        let min_listed_at_ms = self.now.steady_ms.saturating_sub(MAX_RUN_LIST_AGE_MS);
        self.workers.get(&handle).is_some_and(|worker| {
            !worker.unresponsive
                && !worker.heartbeat.draining
                && worker.listed_at_ms >= min_listed_at_ms
        })
    }

    /// Returns the number of tasks of a step that are unavailable: those without a run that has
    /// reached 100 percent progress on a responsive worker.
    fn unavailable_tasks(&self, id: StepId) -> u32 {
        let Some(step) = self.steps.get(&id) else {
            return 0;
        };
        let is_available = |index: &u32| {
            let runs = self.runs.get(&id.task(*index)).into_iter().flatten();
            let mut runs = runs.filter(|run| run.state == RunState::Running);
            runs.any(|run| run.percent >= 100 && self.is_responsive(run.worker))
        };
        let tasks = 0..step.step().tasks;
        u32::try_from(tasks.filter(|index| !is_available(index)).count()).unwrap_or(u32::MAX)
    }

    /// Ends the incarnation on an instance whose maintenance has been carried out, if it is known to have begun
    /// before. One that may have begun afterwards is kept, without tasks until it proves that it goes on.
    fn end_maintained_incarnation(&mut self, key: &(u64, SmolStr), state: &JobsState) {
        let (wave, instance) = key;
        let is_inherited = self.maintenance.inherited_waves.contains(wave);
        let requested_at_ms = self.maintenance.first_requested_at_ms.get(key).copied();
        let may_outlive = |worker: &Worker| {
            is_inherited || requested_at_ms.is_none_or(|at_ms| worker.joined_at_ms > at_ms)
        };
        let kept = self.end_incarnation_on(instance, "maintenance", may_outlive, state);
        if let Some(worker) = kept.and_then(|handle| self.workers.get_mut(&handle)) {
            worker.doubted_since_ms = Some(self.now.steady_ms);
            let line = format!(
                "event=worker_doubted worker={} wave={wave} inherited={is_inherited}",
                worker.incarnation()
            );
            self.log_event(line);
        }
    }

    /// Processes the response to a poll that was sent at `polled_at_ms`: if the platform had confirmed the
    /// maintenance of the worker's instance before, the worker began after it, and the maintenance is over.
    pub(super) fn confirm_worker(&mut self, handle: WorkerHandle, polled_at_ms: u64) {
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let confirmed = worker
            .doubted_since_ms
            .take_if(|since_ms| polled_at_ms > *since_ms);
        if confirmed.is_none() {
            return;
        }
        let line = format!("event=worker_confirmed worker={}", worker.incarnation());
        self.log_event(line);
        let phases = self.maintenance.phases.iter();
        let down = phases.filter(|(_, phase)| matches!(phase, Phase::Down { .. }));
        let over = down.map(|(key, _)| key.clone());
        let over: Vec<_> = over
            .filter(|(_, instance)| self.worker_on(instance) == Some(handle))
            .collect();
        for (wave, instance) in over {
            self.maintenance.remove(wave, &instance);
            self.stop_evacuation(&instance);
        }
    }

    /// Handles the platform's response to a maintenance request.
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
            "event=maintenance_response instance={instance} wave={wave} response={response:?}"
        ));
        match response {
            InstanceResponse::Done => {
                self.counts.maintained += 1;
                self.end_maintained_incarnation(&key, state);
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
                self.maintenance.remove(key.0, &key.1);
                let handle = self.worker_on(instance);
                if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
                    worker.evacuating = false;
                }
                self.propose(Command::RecordMaintained {
                    wave,
                    instance: instance.clone(),
                });
            }
            // The phase stays `Requested`, so that the request is repeated after a delay.
            InstanceResponse::Fenced | InstanceResponse::Unknown => {}
        }
    }
}
