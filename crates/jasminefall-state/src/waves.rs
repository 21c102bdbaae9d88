//! Maintenance waves and their progress.
//!
//! A wave lists instances. The steps of maintenance belong to the instance: if two waves list the
//! same instance, it is rebooted once and the result is recorded in both.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::Refusal;

/// The number of failed instances at which a running wave is paused.
pub const PAUSE_AFTER_FAILED_INSTANCES: usize = 2;
/// The most ended waves that are kept.
pub const MAX_ENDED_WAVES: usize = 100;

/// Describes the state of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// It takes the next instances out of service for maintenance.
    Running,
    /// It takes no further step until it is resumed.
    Paused {
        /// The operator who paused it, or the reason for an automatic pause.
        cause: SmolStr,
    },
    /// Every instance has been maintained or has failed.
    Completed,
    /// It was aborted.
    Aborted,
}

/// Describes the state of an instance in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveMemberState {
    /// It has not been maintained yet.
    Pending,
    /// It has been rebooted and is back in service.
    Done,
    /// It was not verified after its reboot.
    Failed,
}

/// Requests an action on a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRequest {
    /// The wave that the action applies to.
    pub wave: WaveId,
    /// The operator who requests it.
    pub operator: SmolStr,
    /// The requested action.
    pub action: WaveAction,
}

/// Names the action on a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveAction {
    /// Starts the wave; it has no effect on a wave that has not ended.
    Start,
    /// Pauses the wave, which then takes no further step.
    Pause,
    /// Resumes the wave.
    Resume,
    /// Ends the wave; instances that have not been rebooted return to service.
    Abort,
}

/// Holds one wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The operator who started it.
    pub operator: SmolStr,
    /// The current state.
    pub state: WaveState,
    /// The time at which it started, in milliseconds since 1970.
    pub started_at_ms: u64,
    /// The time at which it ended, in milliseconds since 1970.
    pub ended_at_ms: Option<u64>,
    /// The instances of the wave with their states.
    pub members: BTreeMap<InstanceId, WaveMemberState>,
}

impl Wave {
    /// Returns whether the wave has ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.state, WaveState::Completed | WaveState::Aborted)
    }

    /// Returns whether the wave is running and the instance is pending in it.
    #[must_use]
    pub fn requires_maintenance_of(&self, instance: &InstanceId) -> bool {
        self.state == WaveState::Running
            && self.members.get(instance) == Some(&WaveMemberState::Pending)
    }

    /// Returns the number of instances in `state`.
    #[must_use]
    pub fn count(&self, state: WaveMemberState) -> usize {
        self.members
            .values()
            .filter(|member| **member == state)
            .count()
    }

    fn record_result(&mut self, now_ms: u64, instance: &InstanceId, state: WaveMemberState) {
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        if *member != WaveMemberState::Pending {
            return;
        }
        *member = state;
        let running = self.state == WaveState::Running;
        if running
            && state == WaveMemberState::Failed
            && self.count(state) >= PAUSE_AFTER_FAILED_INSTANCES
        {
            let cause = format!("{} instances did not come back", self.count(state));
            self.state = WaveState::Paused {
                cause: cause.into(),
            };
        }
        self.complete_if_done(now_ms);
    }

    fn complete_if_done(&mut self, now_ms: u64) {
        if !self.has_ended() && self.count(WaveMemberState::Pending) == 0 {
            self.state = WaveState::Completed;
            self.ended_at_ms = Some(now_ms);
        }
    }
}

/// Holds every wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Waves {
    by_id: BTreeMap<WaveId, Wave>,
}

impl Waves {
    /// Returns a wave, if it is kept.
    #[must_use]
    pub fn get(&self, wave: &WaveId) -> Option<&Wave> {
        self.by_id.get(wave)
    }

    /// Returns every wave in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&WaveId, &Wave)> {
        self.by_id.iter()
    }

    /// Returns whether the instance is pending in a running wave.
    #[must_use]
    pub fn requires_maintenance(&self, instance: &InstanceId) -> bool {
        self.by_id
            .values()
            .any(|wave| wave.requires_maintenance_of(instance))
    }

    /// Applies a request to a wave.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the reason and the remedy.
    pub fn request(
        &mut self,
        now_ms: u64,
        desired: &DesiredState,
        request: &WaveRequest,
    ) -> Result<(), Refusal> {
        if request.action == WaveAction::Start {
            return self.start(now_ms, desired, request);
        }
        let wave = self
            .by_id
            .get_mut(&request.wave)
            .filter(|wave| !wave.has_ended());
        let Some(wave) = wave else {
            let message = format!("the wave `{}` is not in progress; start it", request.wave);
            return Err(Refusal::Held(message.into()));
        };
        match request.action {
            WaveAction::Start => {}
            WaveAction::Pause => {
                let cause = request.operator.clone();
                wave.state = WaveState::Paused { cause };
            }
            WaveAction::Resume => wave.state = WaveState::Running,
            WaveAction::Abort => {
                wave.state = WaveState::Aborted;
                wave.ended_at_ms = Some(now_ms);
            }
        }
        Ok(())
    }

    fn start(
        &mut self,
        now_ms: u64,
        desired: &DesiredState,
        request: &WaveRequest,
    ) -> Result<(), Refusal> {
        if self
            .by_id
            .get(&request.wave)
            .is_some_and(|wave| !wave.has_ended())
        {
            return Ok(());
        }
        let Some(members) = declared_members(desired, &request.wave) else {
            let message = format!(
                "the wave `{0}` is not declared; add [wave.{0}]",
                request.wave
            );
            return Err(Refusal::Held(message.into()));
        };
        self.require_complete(desired, &request.wave)?;
        let mut wave = Wave {
            operator: request.operator.clone(),
            state: WaveState::Running,
            started_at_ms: now_ms,
            ended_at_ms: None,
            members: members
                .map(|id| (id.clone(), WaveMemberState::Pending))
                .collect(),
        };
        wave.complete_if_done(now_ms);
        self.by_id.insert(request.wave.clone(), wave);
        self.evict_oldest_ended();
        Ok(())
    }

    /// Refuses a wave until every wave that it is declared to come after is complete.
    fn require_complete(&self, desired: &DesiredState, wave: &WaveId) -> Result<(), Refusal> {
        let after = desired
            .waves
            .get(wave)
            .into_iter()
            .flat_map(|wave| &wave.after);
        for other in after {
            let state = self.by_id.get(other).map(|other| &other.state);
            if state != Some(&WaveState::Completed) {
                let message = format!(
                    "the wave `{wave}` comes after the wave `{other}`; complete `{other}` first"
                );
                return Err(Refusal::Held(message.into()));
            }
        }
        Ok(())
    }

    /// Updates the waves that have not ended to a new desired state.
    ///
    /// Added instances are pending, instances no longer listed are dropped, and waves no longer
    /// declared are aborted.
    pub fn apply_desired_state(&mut self, now_ms: u64, desired: &DesiredState) {
        for (id, wave) in self.by_id.iter_mut().filter(|(_, wave)| !wave.has_ended()) {
            let Some(wanted) = declared_members(desired, id) else {
                wave.state = WaveState::Aborted;
                wave.ended_at_ms = Some(now_ms);
                continue;
            };
            let old = std::mem::take(&mut wave.members);
            let state = |id| old.get(id).copied().unwrap_or(WaveMemberState::Pending);
            wave.members = wanted.map(|id| (id.clone(), state(id))).collect();
            wave.complete_if_done(now_ms);
        }
    }

    /// Records the result of the maintenance of an instance in every wave that has not ended.
    pub fn record_result(&mut self, now_ms: u64, instance: &InstanceId, state: WaveMemberState) {
        for wave in self.by_id.values_mut().filter(|wave| !wave.has_ended()) {
            wave.record_result(now_ms, instance, state);
        }
    }

    /// Refuses a step of maintenance unless the instance is pending in a running wave.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no such wave.
    pub fn require_running_wave(&self, instance: &InstanceId) -> Result<(), Refusal> {
        if self.requires_maintenance(instance) {
            return Ok(());
        }
        let message = format!(
            "no running wave has yet to maintain the instance `{instance}`; \
             start or resume a wave that lists it"
        );
        Err(Refusal::Held(message.into()))
    }

    fn evict_oldest_ended(&mut self) {
        let ended = self.by_id.iter().filter(|(_, wave)| wave.has_ended());
        let mut ended: Vec<(u64, WaveId)> = ended
            .map(|(id, wave)| (wave.ended_at_ms.unwrap_or_default(), id.clone()))
            .collect();
        ended.sort();
        let surplus = ended.len().saturating_sub(MAX_ENDED_WAVES);
        for (_, id) in ended.into_iter().take(surplus) {
            self.by_id.remove(&id);
        }
    }
}

/// Returns the instances that a wave lists, or none if the wave is not declared.
fn declared_members<'desired>(
    desired: &'desired DesiredState,
    wave: &WaveId,
) -> Option<impl Iterator<Item = &'desired InstanceId>> {
    let declared = desired.waves.get(wave)?;
    let is_listed = |(id, instance): &(&InstanceId, &InstanceDeclaration)| {
        let by_rack = declared.racks.is_empty() || declared.racks.contains(&instance.rack);
        let by_pool = declared.pools.is_empty() || declared.pools.contains(&instance.pool);
        let by_name = declared.instances.is_empty() || declared.instances.contains(*id);
        by_rack && by_pool && by_name
    };
    Some(desired.instances.iter().filter(is_listed).map(|(id, _)| id))
}
