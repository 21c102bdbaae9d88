//! Preemption of tasks to place urgent jobs: throttling, then checkpointing, then stopping.

use jasminefall_core::prelude::*;

use crate::placement::Resources;

/// The divisor of a task's processors that gives the share it keeps while throttled.
const THROTTLED_CPU_DIVISOR: u64 = 4;

/// Lists the ways to take resources from a task, mildest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionAction {
    /// Reduces its processors to a share; it keeps all of its memory.
    Throttle,
    /// Checkpoints it, so that it can resume on another worker.
    Checkpoint,
    /// Stops it, so that it runs again from the start later.
    Stop,
}

/// Describes a task that may be preempted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    /// The job of the task.
    pub job: JobId,
    /// The epoch of the task.
    pub epoch: Epoch,
    /// The urgency of its job.
    pub urgency: Urgency,
    /// Whether it holds processors beyond its team's quota.
    pub borrowed: bool,
    /// The resources that it holds.
    pub size: Resources,
    /// Whether it can be checkpointed.
    pub can_checkpoint: bool,
    /// Whether its job may run more than once.
    pub idempotent: bool,
    /// Whether it is already throttled.
    pub throttled: bool,
}

impl Victim {
    const fn is_preemptible(&self) -> bool {
        self.can_checkpoint || self.idempotent
    }

    fn freed_by(&self, action: PreemptionAction) -> Option<Resources> {
        match action {
            PreemptionAction::Throttle if !self.throttled => {
                let kept = self.size.cpu_mcores.get() / THROTTLED_CPU_DIVISOR;
                Some(Resources {
                    cpu_mcores: MilliCores::new(self.size.cpu_mcores.get() - kept),
                    ..Resources::default()
                })
            }
            PreemptionAction::Checkpoint if self.can_checkpoint => Some(self.size),
            PreemptionAction::Stop if self.idempotent && !self.can_checkpoint => Some(self.size),
            PreemptionAction::Throttle | PreemptionAction::Checkpoint | PreemptionAction::Stop => {
                None
            }
        }
    }
}

/// Returns the actions that free enough resources for `need` on a worker with `free` resources, as
/// positions in `victims`, or `None` if that is impossible.
///
/// Tasks beyond their team's quota are preempted first, then the least urgent ones. Urgent tasks
/// and tasks that can be neither checkpointed nor run again are never preempted. Stronger actions
/// are used only if the milder ones cannot free enough.
#[must_use]
pub fn plan_preemption(
    need: &Resources,
    free: &Resources,
    victims: &[Victim],
) -> Option<Vec<(usize, PreemptionAction)>> {
    let mut order: Vec<usize> = (0..victims.len())
        .filter(|position| victims[*position].is_preemptible())
        .filter(|position| victims[*position].urgency != Urgency::Urgent)
        .collect();
    order.sort_by_key(|position| {
        let victim = &victims[*position];
        (
            !victim.borrowed,
            std::cmp::Reverse(victim.urgency),
            victim.epoch,
        )
    });
    let action_sets: [&[PreemptionAction]; 3] = [
        &[PreemptionAction::Throttle],
        &[PreemptionAction::Throttle, PreemptionAction::Checkpoint],
        &[
            PreemptionAction::Throttle,
            PreemptionAction::Checkpoint,
            PreemptionAction::Stop,
        ],
    ];
    action_sets
        .into_iter()
        .find_map(|allowed| plan_with_actions(need, free, victims, &order, allowed))
}

/// Takes the strongest allowed action on each victim in `order` until `need` fits.
fn plan_with_actions(
    need: &Resources,
    free: &Resources,
    victims: &[Victim],
    order: &[usize],
    allowed: &[PreemptionAction],
) -> Option<Vec<(usize, PreemptionAction)>> {
    let mut available = *free;
    let mut planned = Vec::new();
    for position in order {
        if need.fits_in(&available) {
            break;
        }
        let strongest_first = allowed.iter().rev();
        let mut actions = strongest_first.filter_map(|action| {
            let freed = victims[*position].freed_by(*action)?;
            Some((*action, freed))
        });
        if let Some((action, freed)) = actions.next() {
            available.add(&freed);
            planned.push((*position, action));
        }
    }
    need.fits_in(&available).then_some(planned)
}
