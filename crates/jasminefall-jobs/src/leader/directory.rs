//! Finding workers by what they say of themselves.
//!
//! Every heartbeat asks whether an earlier incarnation is known under its name, at its address or
//! on its instance. The fleet may count thousands of workers that each send one a second, so
//! nothing here looks at all of them.

use std::collections::{BTreeSet, HashMap};

use smol_str::SmolStr;

use super::WorkerHandle;
use crate::ids::IncarnationId;
use crate::worker::Heartbeat;

/// Keeps the handles of the workers that are known.
#[derive(Debug, Clone, Default)]
pub(crate) struct Directory {
    incarnations: HashMap<IncarnationId, WorkerHandle>,
    instances: HashMap<SmolStr, WorkerHandle>,
    names: HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    addresses: HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    pools: HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    /// Workers that do not name their instance.
    without_instance: BTreeSet<WorkerHandle>,
}

impl Directory {
    /// Adds a worker.
    pub(crate) fn add(&mut self, handle: WorkerHandle, heartbeat: &Heartbeat) {
        self.incarnations
            .insert(heartbeat.incarnation.clone(), handle);
        match &heartbeat.instance {
            Some(instance) => {
                self.instances.insert(instance.clone(), handle);
            }
            None => {
                self.without_instance.insert(handle);
            }
        }
        let name = heartbeat.incarnation.worker.clone();
        self.names.entry(name).or_default().insert(handle);
        let address = heartbeat.address.clone();
        self.addresses.entry(address).or_default().insert(handle);
        let pool = heartbeat.pool.clone();
        self.pools.entry(pool).or_default().insert(handle);
    }

    /// Removes a worker whose latest heartbeat is this one.
    pub(crate) fn remove(&mut self, handle: WorkerHandle, heartbeat: &Heartbeat) {
        self.incarnations.remove(&heartbeat.incarnation);
        if let Some(instance) = &heartbeat.instance
            && self.instances.get(instance) == Some(&handle)
        {
            self.instances.remove(instance);
        }
        self.without_instance.remove(&handle);
        remove_from(&mut self.names, &heartbeat.incarnation.worker, handle);
        remove_from(&mut self.addresses, &heartbeat.address, handle);
        remove_from(&mut self.pools, &heartbeat.pool, handle);
    }

    /// Records that a worker takes requests at another address than before.
    pub(crate) fn update_address(&mut self, handle: WorkerHandle, from: &SmolStr, to: &SmolStr) {
        remove_from(&mut self.addresses, from, handle);
        self.addresses.entry(to.clone()).or_default().insert(handle);
    }

    /// Returns the worker that is in an incarnation.
    pub(crate) fn by_incarnation(&self, incarnation: &IncarnationId) -> Option<WorkerHandle> {
        self.incarnations.get(incarnation).copied()
    }

    /// Returns the worker that says that it runs on an instance.
    pub(crate) fn on_instance(&self, instance: &str) -> Option<WorkerHandle> {
        self.instances.get(instance).copied()
    }

    /// Returns the workers that do not name their instance.
    pub(crate) fn without_instance(&self) -> impl Iterator<Item = WorkerHandle> {
        self.without_instance.iter().copied()
    }

    /// Returns the workers of a pool.
    pub(crate) fn in_pool(&self, pool: &str) -> impl Iterator<Item = WorkerHandle> {
        self.pools.get(pool).into_iter().flatten().copied()
    }

    /// Returns every incarnation that is known under a name.
    pub(crate) fn by_name(&self, name: &str) -> impl Iterator<Item = WorkerHandle> {
        self.names.get(name).into_iter().flatten().copied()
    }

    /// Returns every incarnation that is known under the name, at the address or on the instance of
    /// a heartbeat.
    pub(crate) fn matching_identity(&self, heartbeat: &Heartbeat) -> BTreeSet<WorkerHandle> {
        let at = self.addresses.get(&heartbeat.address);
        let at = at.into_iter().flatten().copied();
        let instance = heartbeat.instance.as_deref();
        let on = instance.and_then(|instance| self.on_instance(instance));
        let by_name = self.by_name(&heartbeat.incarnation.worker);
        by_name.chain(at).chain(on).collect()
    }
}

fn remove_from(
    sets: &mut HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    key: &SmolStr,
    handle: WorkerHandle,
) {
    if let Some(handles) = sets.get_mut(key) {
        handles.remove(&handle);
        if handles.is_empty() {
            sets.remove(key);
        }
    }
}
