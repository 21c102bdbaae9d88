//! Selection of the next instances of a maintenance wave.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;

/// Describes an instance of a wave that is not maintained yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingInstance {
    /// The identifier of the instance.
    pub instance: InstanceId,
    /// The pool of the instance.
    pub pool: PoolId,
    /// The rack of the instance.
    pub rack: RackId,
    /// Why it cannot be selected now, independent of the budget; `None` if it can.
    pub hold_reason: Option<SmolStr>,
}

/// Holds the selected instances and the reasons for not selecting the others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WaveSelection {
    /// The instances to take out of service now.
    pub selected: Vec<InstanceId>,
    /// The other instances, each with the reason and when it can be selected.
    pub held: Vec<(InstanceId, SmolStr)>,
}

/// Holds the limits of a wave for one selection.
#[derive(Debug, Clone, Default)]
pub struct WaveLimits {
    /// The order in which instances are selected.
    pub order: WaveOrder,
    /// How many more instances the wave may take out of service.
    pub remaining_parallel: u64,
    /// How many more instances of each pool may be taken out of service within its budget.
    pub headroom: BTreeMap<PoolId, u64>,
    /// The racks in which the wave has instances out of service.
    pub active_racks: BTreeSet<RackId>,
}

/// Selects the instances of a wave to take out of service now.
///
/// [`WaveOrder::RackByRack`] selects from one rack until it has no selectable instance, then
/// continues with the rack that has the most of them. [`WaveOrder::Spread`] selects from all racks
/// in turn. An instance with a hold reason (for example, it runs a soak trial) is skipped.
#[must_use]
pub fn select_instances(pending: &[PendingInstance], mut limits: WaveLimits) -> WaveSelection {
    let mut selection = WaveSelection::default();
    let mut by_rack: BTreeMap<&RackId, Vec<&PendingInstance>> = BTreeMap::new();
    for candidate in pending {
        match &candidate.hold_reason {
            Some(reason) => selection
                .held
                .push((candidate.instance.clone(), reason.clone())),
            None => by_rack.entry(&candidate.rack).or_default().push(candidate),
        }
    }
    for candidate in ordered_candidates(&by_rack, &limits) {
        let headroom = limits.headroom.get(&candidate.pool).copied().unwrap_or(0);
        let is_other_rack = limits.order == WaveOrder::RackByRack
            && !limits.active_racks.is_empty()
            && !limits.active_racks.contains(&candidate.rack);
        let reason: Option<SmolStr> = if headroom == 0 {
            let pool = &candidate.pool;
            Some(
                format!(
                    "the budget of pool `{pool}` is used up; it frees up when an instance returns"
                )
                .into(),
            )
        } else if limits.remaining_parallel == 0 {
            Some("max_parallel of the wave is reached; wait until an instance returns".into())
        } else if is_other_rack {
            Some("the wave is in another rack; it continues here when that rack is done".into())
        } else {
            None
        };
        if let Some(reason) = reason {
            selection.held.push((candidate.instance.clone(), reason));
            continue;
        }
        limits.headroom.insert(candidate.pool.clone(), headroom - 1);
        limits.remaining_parallel -= 1;
        limits.active_racks.insert(candidate.rack.clone());
        selection.selected.push(candidate.instance.clone());
    }
    selection
}

fn ordered_candidates<'pending>(
    by_rack: &BTreeMap<&RackId, Vec<&'pending PendingInstance>>,
    limits: &WaveLimits,
) -> Vec<&'pending PendingInstance> {
    let mut racks: Vec<(&RackId, &Vec<&PendingInstance>)> = by_rack
        .iter()
        .map(|(rack, pending)| (*rack, pending))
        .collect();
    racks.sort_by_key(|(rack, pending)| {
        let is_active = limits.active_racks.contains(*rack);
        (!is_active, std::cmp::Reverse(pending.len()))
    });
    match limits.order {
        WaveOrder::RackByRack => racks
            .into_iter()
            .flat_map(|(_, all)| all.iter().copied())
            .collect(),
        WaveOrder::Spread => {
            let largest_rack = racks.iter().map(|(_, all)| all.len()).max().unwrap_or(0);
            (0..largest_rack)
                .flat_map(|turn| {
                    racks
                        .iter()
                        .filter_map(move |(_, all)| all.get(turn).copied())
                })
                .collect()
        }
    }
}
