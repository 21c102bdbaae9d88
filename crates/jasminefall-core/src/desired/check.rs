//! Judges a desired state as a whole.

use super::DesiredState;
use super::read::Places;
use crate::problem::Problems;

/// Adds every fault of the whole: references to objects that are not declared.
pub(super) fn check(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    check_pools(desired, places, problems);
    check_services(desired, places, problems);
    check_instances(desired, places, problems);
}

fn check_pools(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    for (name, pool) in &desired.pools {
        if !desired.budgets.contains_key(&pool.budget) {
            let message = format!("the budget `{}` is not declared", pool.budget);
            let remedy = format!("add [budget.{}] or name a declared budget", pool.budget);
            problems.add(places.of("pool", name, "budget"), message, remedy);
        }
    }
}

fn check_services(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    for (name, service) in &desired.services {
        let Some(pool) = service
            .pool
            .as_ref()
            .filter(|pool| !desired.pools.contains_key(pool))
        else {
            continue;
        };
        let message = format!("the pool `{pool}` is not declared");
        let remedy = format!("add [pool.{pool}] or name a declared pool");
        problems.add(places.of("service", name, "pool"), message, remedy);
    }
}

fn check_instances(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    for (name, instance) in &desired.instances {
        if !desired.pools.contains_key(&instance.pool) {
            let message = format!("the pool `{}` is not declared", instance.pool);
            let remedy = format!("add [pool.{}] or name a declared pool", instance.pool);
            problems.add(places.of("instance", name, "pool"), message, remedy);
        }
    }
}
