//! Validates that pools can satisfy their availability budgets.

use std::collections::{BTreeMap, BTreeSet};

use super::pool_sizes;
use crate::desired::read::Places;
use crate::desired::{Budget, DesiredState};
use crate::ids::{PoolId, RackId};
use crate::problem::Problems;

/// Adds a problem for each pool that cannot satisfy its budget.
pub(super) fn check(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    let sizes = pool_sizes(desired);
    for (name, pool) in &desired.pools {
        let Some(budget) = desired.budgets.get(&pool.budget) else {
            continue;
        };
        let size = sizes.get(name).copied().unwrap_or_default();
        let place = places.of_key("pool", name, "budget");
        // A pool of one instance cannot be maintained without stopping that instance, so it may
        // have a budget of one.
        if size > 1 && budget.max_unavailable >= size {
            let message = format!(
                "the budget lets all {size} instances be unavailable at once (max_unavailable is {})",
                budget.max_unavailable
            );
            let remedy = "lower max_unavailable below the size of the pool";
            problems.add(place.clone(), message, remedy);
        }
        if let Some((message, remedy)) = survival_problem(desired, name, budget) {
            problems.add(place, message, remedy);
        }
    }
}

/// Returns the message and remedy if the pool cannot survive a loss that its budget requires it to
/// survive.
fn survival_problem(
    desired: &DesiredState,
    pool: &PoolId,
    budget: &Budget,
) -> Option<(String, &'static str)> {
    let members = || {
        let instances = desired.instances.values();
        instances.filter(|instance| instance.pool == *pool)
    };
    let data_centres: BTreeSet<_> = members().map(|instance| &instance.data_centre).collect();
    if budget.survive_data_centre && data_centres.len() == 1 {
        let message =
            "the pool must survive the loss of a data centre but is in one only".to_owned();
        return Some((
            message,
            "spread its instances over two data centres or more",
        ));
    }
    let mut racks: BTreeMap<&RackId, u64> = BTreeMap::new();
    members().for_each(|instance| *racks.entry(&instance.rack).or_insert(0) += 1);
    let (rack, count) = racks.into_iter().max_by_key(|(_, count)| *count)?;
    (budget.survive_rack && count > budget.max_unavailable).then(|| {
        let message = format!(
            "the rack `{rack}` holds {count} instances of the pool, but the budget allows the loss \
             of {}",
            budget.max_unavailable
        );
        (
            message,
            "spread the pool over more racks or raise max_unavailable",
        )
    })
}
