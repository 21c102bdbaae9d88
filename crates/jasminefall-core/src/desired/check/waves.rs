//! Validates that maintenance waves can start and finish.

use std::collections::{BTreeMap, BTreeSet};

use super::{check_pool_reference, duplicates};
use crate::desired::read::Places;
use crate::desired::{DesiredState, WaveDeclaration};
use crate::ids::WaveId;
use crate::problem::Problems;

/// Adds a problem for each wave that can never start or never finish.
pub(super) fn check(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    for (name, wave) in &desired.waves {
        check_pools(desired, name, wave, places, problems);
        check_predecessors(desired, name, wave, places, problems);
        if wave.max_parallel == 0 {
            let message = "a wave that stops no instance never finishes";
            let remedy = "write `max_parallel = 1` or more";
            problems.add(places.of_key("wave", name, "max_parallel"), message, remedy);
        }
    }
    for name in blocked_by_cycles(desired) {
        let message = "the wave waits for itself through `after`";
        let remedy = "take one of the waves out of the cycle";
        problems.add(places.of_key("wave", name, "after"), message, remedy);
    }
}

fn check_pools(
    desired: &DesiredState,
    name: &WaveId,
    wave: &WaveDeclaration,
    places: &Places,
    problems: &mut Problems,
) {
    let place = places.of_key("wave", name, "pools");
    if wave.pools.is_empty() {
        let remedy = "write `pools = ` with the pools to go through";
        problems.add(place.clone(), "the wave names no pool", remedy);
    }
    for pool in duplicates(&wave.pools) {
        let message = format!("the pool `{pool}` is named twice");
        problems.add(place.clone(), message, "name each pool once");
    }
    for pool in &wave.pools {
        check_pool_reference(desired, pool, ("wave", name, "pools"), places, problems);
        let declared = desired.pools.get(pool);
        let budget = declared.and_then(|pool| desired.budgets.get(&pool.budget));
        if budget.is_some_and(|budget| budget.max_unavailable == 0) {
            let message = format!("the budget of the pool `{pool}` lets no instance stop");
            let remedy = "raise its max_unavailable or take the pool out of the wave";
            problems.add(place.clone(), message, remedy);
        }
    }
}

fn check_predecessors(
    desired: &DesiredState,
    name: &WaveId,
    wave: &WaveDeclaration,
    places: &Places,
    problems: &mut Problems,
) {
    for other in &wave.after {
        if !desired.waves.contains_key(other) {
            let message = format!("the wave `{other}` is not declared");
            let remedy = format!("add [wave.{other}] or name a declared wave");
            problems.add(places.of_key("wave", name, "after"), message, remedy);
        }
    }
}

/// Returns the waves that are part of an `after` cycle or wait for a wave in one.
fn blocked_by_cycles(desired: &DesiredState) -> Vec<&WaveId> {
    let mut waiting: BTreeMap<&WaveId, BTreeSet<&WaveId>> = BTreeMap::new();
    for (name, wave) in &desired.waves {
        let declared = wave.after.iter();
        let declared = declared.filter(|other| desired.waves.contains_key(*other));
        waiting.insert(name, declared.collect());
    }
    loop {
        let free: Vec<&WaveId> = waiting
            .iter()
            .filter(|(_, after)| after.iter().all(|other| !waiting.contains_key(other)))
            .map(|(name, _)| *name)
            .collect();
        if free.is_empty() {
            return waiting.into_keys().collect();
        }
        for name in free {
            waiting.remove(name);
        }
    }
}
