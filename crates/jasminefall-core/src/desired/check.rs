//! Validates a desired state across its objects.

mod budgets;
mod values;
mod waves;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use super::DesiredState;
use super::read::Places;
use crate::ids::PoolId;
use crate::problem::Problems;

/// Adds a problem for each reference, value or combination of objects that is not valid.
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
        let has_budget = places.has_key("pool", name, "budget");
        if has_budget && !desired.budgets.contains_key(&pool.budget) {
            let message = format!("the budget `{}` is not declared", pool.budget);
            let remedy = format!("add [budget.{}] or name a declared budget", pool.budget);
            problems.add(places.of_key("pool", name, "budget"), message, remedy);
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
        if places.has_key("instance", name, "pool") {
            let owner = ("instance", name, "pool");
            check_pool_reference(desired, &instance.pool, owner, places, problems);
        }
    }
}

/// Adds a problem if the pool that a key refers to is not declared.
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
        problems.add(places.of_key(kind, name, key), message, remedy);
    }
}

/// Adds a problem for each instance whose rack another instance declares in another data centre.
fn check_racks(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    let mut first = BTreeMap::new();
    for (name, instance) in &desired.instances {
        let (other, data_centre) = first
            .entry(&instance.rack)
            .or_insert((name, &instance.data_centre));
        if *data_centre != &instance.data_centre {
            let message = format!(
                "the rack `{}` is in the data centre `{data_centre}` according to \
                 [instance.{other}]",
                instance.rack
            );
            let remedy = "correct the rack or the data centre of one of the two instances";
            problems.add(
                places.of_key("instance", name, "data_centre"),
                message,
                remedy,
            );
        }
    }
}

/// Adds a problem for each team whose quota raises the sum of quotas above the capacity.
fn check_quotas(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    if desired.instances.is_empty() {
        return;
    }
    let capacities = desired.instances.values();
    let capacity_mcores = capacities.fold(0_u64, |sum, instance| {
        sum.saturating_add(instance.cpu_mcores.get())
    });
    let mut quota_sum_mcores = 0_u64;
    for (name, team) in &desired.teams {
        if !places.has_key("team", name, "quota") {
            continue;
        }
        quota_sum_mcores = quota_sum_mcores.saturating_add(team.quota_mcores.get());
        if quota_sum_mcores > capacity_mcores {
            let message = format!(
                "the quotas up to this team add up to {quota_sum_mcores}mcores, but the instances \
                 have only {capacity_mcores}mcores"
            );
            let remedy = "lower quotas or declare more instances";
            problems.add(places.of_key("team", name, "quota"), message, remedy);
        }
    }
}

/// Returns the number of instances declared in each pool.
fn pool_sizes(desired: &DesiredState) -> BTreeMap<&PoolId, u64> {
    let mut sizes = BTreeMap::new();
    for instance in desired.instances.values() {
        *sizes.entry(&instance.pool).or_insert(0) += 1;
    }
    sizes
}

/// Returns the members that a list contains more than once.
fn duplicates<T: Ord>(list: &[T]) -> BTreeSet<&T> {
    let mut seen = BTreeSet::new();
    list.iter().filter(|name| !seen.insert(*name)).collect()
}
