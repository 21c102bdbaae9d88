//! Judges a desired state as a whole.

mod budgets;
mod values;
mod waves;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use super::DesiredState;
use super::read::Places;
use crate::ids::PoolId;
use crate::problem::Problems;

/// Adds every fault of the whole.
pub(super) fn check(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    check_pools(desired, places, problems);
    check_services(desired, places, problems);
    check_instances(desired, places, problems);
    check_racks(desired, places, problems);
    check_quotas(desired, places, problems);
    budgets::check(desired, places, problems);
    waves::check(desired, places, problems);
    values::check(desired, places, problems);
}

fn check_pools(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    for (name, pool) in &desired.pools {
        let is_given = places.gives("pool", name, "budget");
        if is_given && !desired.budgets.contains_key(&pool.budget) {
            let message = format!("the budget `{}` is not declared", pool.budget);
            let remedy = format!("add [budget.{}] or name a declared budget", pool.budget);
            problems.add(places.of("pool", name, "budget"), message, remedy);
        }
    }
}

fn check_services(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    for (name, service) in &desired.services {
        if let Some(pool) = &service.pool {
            check_pool_reference(desired, pool, ("service", name, "pool"), places, problems);
        }
    }
}

fn check_instances(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    for (name, instance) in &desired.instances {
        if places.gives("instance", name, "pool") {
            let owner = ("instance", name, "pool");
            check_pool_reference(desired, &instance.pool, owner, places, problems);
        }
    }
}

/// Adds a fault where the key `owner` names a pool that is not declared.
fn check_pool_reference<N: Display>(
    desired: &DesiredState,
    pool: &PoolId,
    (kind, name, key): (&str, N, &str),
    places: &Places,
    problems: &mut Problems,
) {
    if !desired.pools.contains_key(pool) {
        let message = format!("the pool `{pool}` is not declared");
        let remedy = format!("add [pool.{pool}] or name a declared pool");
        problems.add(places.of(kind, name, key), message, remedy);
    }
}

/// A rack stands in one data centre.
fn check_racks(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    let mut first = BTreeMap::new();
    for (name, instance) in &desired.instances {
        let (other, data_centre) = first
            .entry(&instance.rack)
            .or_insert((name, &instance.data_centre));
        if *data_centre != &instance.data_centre {
            let message = format!(
                "the rack `{}` stands in `{data_centre}` by [instance.{other}]",
                instance.rack
            );
            let remedy = "correct the rack or the data centre of one of the two";
            problems.add(places.of("instance", name, "data_centre"), message, remedy);
        }
    }
}

/// What teams may hold at the same time must exist.
fn check_quotas(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    if desired.instances.is_empty() {
        return;
    }
    let capacities = desired.instances.values();
    let capacity_mcores = capacities.fold(0_u64, |sum, instance| {
        sum.saturating_add(instance.cpu_mcores.get())
    });
    let mut promised_mcores = 0_u64;
    for (name, team) in &desired.teams {
        if !places.gives("team", name, "quota") {
            continue;
        }
        promised_mcores = promised_mcores.saturating_add(team.quota_mcores.get());
        if promised_mcores > capacity_mcores {
            let message = format!(
                "the quotas up to this one are {promised_mcores}mcores, the instances have \
                 {capacity_mcores}mcores"
            );
            let remedy = "lower quotas or declare more instances";
            problems.add(places.of("team", name, "quota"), message, remedy);
        }
    }
}

/// Returns the members of each pool.
fn pool_sizes(desired: &DesiredState) -> BTreeMap<&PoolId, u64> {
    let mut sizes = BTreeMap::new();
    for instance in desired.instances.values() {
        *sizes.entry(&instance.pool).or_insert(0) += 1;
    }
    sizes
}

/// Returns the names that stand more than once in a list.
fn repeated<T: Ord>(list: &[T]) -> BTreeSet<&T> {
    let mut seen = BTreeSet::new();
    list.iter().filter(|name| !seen.insert(*name)).collect()
}
