//! How urgent work gets room: by throttle, then checkpoint, then stop.

use jasminefall_core::prelude::*;

use crate::placement::Resources;

/// The part of its processors that a throttled task keeps.
const THROTTLED_DIVISOR: u64 = 4;

/// Says how a task is made to give room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionAction {
    /// It keeps a share of its processors and all of its memory.
    Throttle,
    /// It is checkpointed and carried on elsewhere.
    Checkpoint,
    /// It is stopped and run again later.
    Stop,
}

/// Describes a task that might give room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    /// Its job.
    pub job: JobId,
    /// Its epoch.
    pub epoch: Epoch,
    /// How urgent its job is.
    pub urgency: Urgency,
    /// Whether it holds processors beyond its team's quota.
    pub borrowed: bool,
    /// What it holds.
    pub size: Resources,
    /// Whether it can be checkpointed.
    pub can_checkpoint: bool,
    /// Whether its job may be run again.
    pub idempotent: bool,
    /// Whether it is throttled already.
    pub throttled: bool,
}

impl Victim {
    const fn may_be_disturbed(&self) -> bool {
        self.can_checkpoint || self.idempotent
    }

    fn freed_by(&self, measure: PreemptionAction) -> Option<Resources> {
        match measure {
            PreemptionAction::Throttle if !self.throttled => {
                let kept = self.size.cpu_mcores.get() / THROTTLED_DIVISOR;
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

/// Returns the measures that make room for `need` on a worker with `left`, or none where they cannot.
///
/// Borrowed tasks go first, then the least urgent. A task that can be neither checkpointed nor run
/// again is never touched. The mildest kind of measure that suffices is taken.
#[must_use]
pub fn plan_preemption(
    need: &Resources,
    left: &Resources,
    victims: &[Victim],
) -> Option<Vec<(usize, PreemptionAction)>> {
    let mut order: Vec<usize> = (0..victims.len())
        .filter(|position| victims[*position].may_be_disturbed())
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
    let ladder: [&[PreemptionAction]; 3] = [
        &[PreemptionAction::Throttle],
        &[PreemptionAction::Throttle, PreemptionAction::Checkpoint],
        &[
            PreemptionAction::Throttle,
            PreemptionAction::Checkpoint,
            PreemptionAction::Stop,
        ],
    ];
    ladder
        .into_iter()
        .find_map(|allowed| with_measures(need, left, victims, &order, allowed))
}

fn with_measures(
    need: &Resources,
    left: &Resources,
    victims: &[Victim],
    order: &[usize],
    allowed: &[PreemptionAction],
) -> Option<Vec<(usize, PreemptionAction)>> {
    let mut room = *left;
    let mut taken = Vec::new();
    for position in order {
        if need.fits_in(&room) {
            break;
        }
        let strongest = allowed.iter().rev();
        let mut measures = strongest.filter_map(|measure| {
            let freed = victims[*position].freed_by(*measure)?;
            Some((*measure, freed))
        });
        if let Some((measure, freed)) = measures.next() {
            room.add(&freed);
            taken.push((*position, measure));
        }
    }
    need.fits_in(&room).then_some(taken)
}
