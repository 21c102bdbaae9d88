//! Commands that change instances, jobs and waves together.

use jasminefall_core::prelude::*;

use crate::cluster::ClusterState;
use crate::command::LostWorker;
use crate::configuration::ApplyRequest;
use crate::outcome::{Outcome, Refusal};
use crate::pools::{InstanceAction, InstanceCondition, InstanceStep, Purpose};
use crate::waves::{WaveMemberState, WaveRequest};

/// The share of the fleet that may be quarantined at once, in percent, but at least one worker.
///
/// A quarantined worker is cordoned because jobs fail on it that do not fail elsewhere.
const MAX_QUARANTINED_PERCENT: u64 = 10;
/// The holder recorded for quarantined workers.
const QUARANTINE_HOLDER: &str = "worker-health";

impl ClusterState {
    /// Publishes a desired state and applies it to instances and waves.
    ///
    /// Jobs on instances that it no longer declares are cancelled.
    pub(crate) fn publish(&mut self, now_ms: u64, request: ApplyRequest) -> Outcome {
        let before = self.configuration.version();
        let outcome = self.configuration.apply(now_ms, request);
        if self.configuration.version() != before {
            let desired = self.configuration.desired().clone();
            let undeclared = self.instances.iter();
            let undeclared: Vec<WorkerId> = undeclared
                .filter(|(id, _)| !desired.instances.contains_key(*id))
                .map(|(id, _)| WorkerId::new(id.as_str()))
                .collect();
            for worker in undeclared {
                let jobs: Vec<JobId> = self.jobs.on_worker(&worker).map(|job| job.id).collect();
                self.jobs.cancel(now_ms, &jobs);
            }
            self.instances.apply_desired_state(now_ms, &desired);
            self.waves.apply_desired_state(now_ms, &desired);
        }
        outcome
    }

    /// Marks workers as lost and ends the tasks on them.
    pub(crate) fn mark_workers_lost(&mut self, now_ms: u64, workers: &[LostWorker]) -> Outcome {
        for lost in workers {
            self.jobs.mark_worker_lost(now_ms, &lost.worker, lost.alone);
            let instance = InstanceId::new(lost.worker.as_str());
            self.instances.mark_lost(now_ms, &instance);
        }
        Outcome::Done
    }

    /// Records the incarnation of an instance's process; a new one ends the tasks of earlier ones.
    pub(crate) fn record_incarnation(
        &mut self,
        now_ms: u64,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> Outcome {
        if self
            .instances
            .record_incarnation(now_ms, instance, incarnation)
        {
            let worker = WorkerId::new(instance.as_str());
            self.jobs
                .mark_earlier_incarnations_lost(now_ms, &worker, incarnation);
        }
        Outcome::Done
    }

    /// Takes a step of an instance if no constraint forbids it now.
    pub(crate) fn step_instance(&mut self, now_ms: u64, step: &InstanceStep) -> Outcome {
        match self.try_step(now_ms, step) {
            Ok(()) => Outcome::Done,
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    fn try_step(&mut self, now_ms: u64, step: &InstanceStep) -> Result<(), Refusal> {
        let before = self.instances.get(&step.instance).cloned();
        let before = before.unwrap_or_default();
        let is_maintenance = match &step.action {
            InstanceAction::Cordon(purpose) => *purpose == Purpose::Maintenance,
            InstanceAction::Reboot => true,
            _ => false,
        };
        if is_maintenance {
            self.waves.require_running_wave(&step.instance)?;
        }
        let worker = WorkerId::new(step.instance.as_str());
        let is_idle = self.jobs.is_idle(&worker);
        let desired = self.configuration.desired().clone();
        self.instances.step(now_ms, &desired, step, is_idle)?;
        let was_verifying = before.condition == InstanceCondition::Verifying;
        match step.action {
            InstanceAction::Return if was_verifying => {
                self.waves
                    .record_result(now_ms, &step.instance, WaveMemberState::Done);
            }
            InstanceAction::GiveUp => {
                self.waves
                    .record_result(now_ms, &step.instance, WaveMemberState::Failed);
            }
            _ => {}
        }
        Ok(())
    }

    /// Applies a request to a wave.
    pub(crate) fn change_wave(&mut self, now_ms: u64, request: &WaveRequest) -> Outcome {
        let desired = self.configuration.desired();
        match self.waves.request(now_ms, desired, request) {
            Ok(()) => Outcome::Done,
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    /// Quarantines a worker within its pool's budget and the allowed share of the fleet.
    ///
    /// Waiting jobs no longer count their failures on it, because the worker was at fault.
    pub(crate) fn quarantine_worker(&mut self, now_ms: u64, step: &InstanceStep) -> Outcome {
        let purpose = Purpose::Held(QUARANTINE_HOLDER.into());
        let quarantined = self.instances.out_of_service();
        let quarantined = quarantined
            .filter(|(_, instance)| instance.purpose == purpose)
            .count() as u64;
        let fleet = self.instances.iter().count() as u64;
        let allowed = (fleet * MAX_QUARANTINED_PERCENT / 100).max(1);
        if quarantined >= allowed {
            let message = format!(
                "{quarantined} workers are quarantined and at most {allowed} may be; repair one"
            );
            return Outcome::Refused(Refusal::Held(message.into()));
        }
        let cordon = InstanceStep {
            action: InstanceAction::Cordon(purpose),
            ..step.clone()
        };
        let outcome = self.step_instance(now_ms, &cordon);
        if outcome == Outcome::Done {
            let worker = WorkerId::new(step.instance.as_str());
            self.jobs.clear_failures_on(&worker);
        }
        outcome
    }
}
