//! Which instances of a maintenance wave are taken next.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;

/// Describes an instance that a wave still has to maintain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its pool.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Why it cannot be taken now, whatever the budget.
    pub hold_reason: Option<SmolStr>,
}

/// Says which instances are taken and what holds the others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WaveSelection {
    /// The instances to take out of service now.
    pub selected: Vec<InstanceId>,
    /// What holds each of the others, and what would free it.
    pub held: Vec<(InstanceId, SmolStr)>,
}

/// Holds what a wave has to respect.
#[derive(Debug, Clone, Default)]
pub struct WaveLimits {
    /// In which order the instances are taken.
    pub order: WaveOrder,
    /// How many more the wave may have out of service.
    pub remaining_parallel: u64,
    /// How many more of each pool may be taken out of service within its budget.
    pub headroom: BTreeMap<PoolId, u64>,
    /// The racks in which the wave has instances out of service.
    pub active_racks: BTreeSet<RackId>,
}

/// Chooses the instances of a wave to take out of service now.
///
/// Rack by rack, the wave stays in a rack until nothing is left to take there, then goes to the one
/// with the most left. Spread, it takes from all racks in turn. An instance that is held (a soak trial
/// runs there, say) is gone around.
#[must_use]
pub fn select_instances(pending: &[PendingInstance], mut limits: WaveLimits) -> WaveSelection {
    let mut selection = WaveSelection::default();
    let mut by_rack: BTreeMap<&RackId, Vec<&PendingInstance>> = BTreeMap::new();
    for one in pending {
        match &one.hold_reason {
            Some(reason) => selection.held.push((one.instance.clone(), reason.clone())),
            None => by_rack.entry(&one.rack).or_default().push(one),
        }
    }
    for one in in_order(&by_rack, &limits) {
        let headroom = limits.headroom.get(&one.pool).copied().unwrap_or(0);
        let elsewhere = limits.order == WaveOrder::RackByRack
            && !limits.active_racks.is_empty()
            && !limits.active_racks.contains(&one.rack);
        let hold: Option<SmolStr> = if headroom == 0 {
            let pool = &one.pool;
            Some(
                format!(
                    "the budget of pool `{pool}` is used up; an instance that returns frees it"
                )
                .into(),
            )
        } else if limits.remaining_parallel == 0 {
            Some("max_parallel of the wave is reached; an instance that returns frees it".into())
        } else if elsewhere {
            Some("the wave is in another rack; it comes here once that is done".into())
        } else {
            None
        };
        if let Some(hold) = hold {
            selection.held.push((one.instance.clone(), hold));
            continue;
        }
        limits.headroom.insert(one.pool.clone(), headroom - 1);
        limits.remaining_parallel -= 1;
        limits.active_racks.insert(one.rack.clone());
        selection.selected.push(one.instance.clone());
    }
    selection
}

fn in_order<'pending>(
    by_rack: &BTreeMap<&RackId, Vec<&'pending PendingInstance>>,
    limits: &WaveLimits,
) -> Vec<&'pending PendingInstance> {
    let mut racks: Vec<(&RackId, &Vec<&PendingInstance>)> = by_rack
        .iter()
        .map(|(rack, pending)| (*rack, pending))
        .collect();
    racks.sort_by_key(|(rack, pending)| {
        let open = limits.active_racks.contains(*rack);
        (!open, std::cmp::Reverse(pending.len()))
    });
    match limits.order {
        WaveOrder::RackByRack => racks
            .into_iter()
            .flat_map(|(_, all)| all.iter().copied())
            .collect(),
        WaveOrder::Spread => {
            let longest = racks.iter().map(|(_, all)| all.len()).max().unwrap_or(0);
            (0..longest)
                .flat_map(|turn| {
                    racks
                        .iter()
                        .filter_map(move |(_, all)| all.get(turn).copied())
                })
                .collect()
        }
    }
}
