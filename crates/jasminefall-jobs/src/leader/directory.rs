//! Index of the workers by incarnation, name, address, instance and pool.
//!
//! Every heartbeat looks up other incarnations with the same name, address or instance. No lookup
//! iterates over all workers, since a fleet may have thousands of workers, and each sends about one
//! heartbeat a second.

use std::collections::{BTreeSet, HashMap};

use smol_str::SmolStr;

use super::WorkerHandle;
use crate::ids::IncarnationId;
use crate::worker::Heartbeat;

/// Holds the handles of all incarnations that have not ended, by each attribute.
#[derive(Debug, Clone, Default)]
pub(crate) struct Directory {
    incarnations: HashMap<IncarnationId, WorkerHandle>,
    instances: HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    names: HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    addresses: HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    pools: HashMap<SmolStr, BTreeSet<WorkerHandle>>,
    /// Workers whose heartbeat names no instance.
    without_instance: BTreeSet<WorkerHandle>,
}

impl Directory {
    pub(crate) fn add(&mut self, handle: WorkerHandle, heartbeat: &Heartbeat) {
        self.incarnations
            .insert(heartbeat.incarnation.clone(), handle);
        match &heartbeat.instance {
            Some(instance) => {
                let on_instance = self.instances.entry(instance.clone()).or_default();
                on_instance.insert(handle);
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

    /// Removes a worker; `heartbeat` is its latest, which has the attributes under which it is
    /// indexed.
    pub(crate) fn remove(&mut self, handle: WorkerHandle, heartbeat: &Heartbeat) {
        self.incarnations.remove(&heartbeat.incarnation);
        if let Some(instance) = &heartbeat.instance {
            remove_handle(&mut self.instances, instance, handle);
        }
        self.without_instance.remove(&handle);
        remove_handle(&mut self.names, &heartbeat.incarnation.worker, handle);
        remove_handle(&mut self.addresses, &heartbeat.address, handle);
        remove_handle(&mut self.pools, &heartbeat.pool, handle);
    }

    /// Updates the index after the address of a worker has changed.
    pub(crate) fn update_address(&mut self, handle: WorkerHandle, from: &SmolStr, to: &SmolStr) {
        remove_handle(&mut self.addresses, from, handle);
        self.addresses.entry(to.clone()).or_default().insert(handle);
    }

    pub(crate) fn by_incarnation(&self, incarnation: &IncarnationId) -> Option<WorkerHandle> {
        self.incarnations.get(incarnation).copied()
    }

    /// Returns the latest worker whose heartbeat names an instance as its own.
    pub(crate) fn on_instance(&self, instance: &str) -> Option<WorkerHandle> {
        self.instances.get(instance)?.last().copied()
    }

    /// Returns the workers whose heartbeat names no instance.
    pub(crate) fn without_instance(&self) -> impl Iterator<Item = WorkerHandle> {
        self.without_instance.iter().copied()
    }

    pub(crate) fn in_pool(&self, pool: &str) -> impl Iterator<Item = WorkerHandle> {
        self.pools.get(pool).into_iter().flatten().copied()
    }

    /// Returns all incarnations of the worker with a name.
    pub(crate) fn by_name(&self, name: &str) -> impl Iterator<Item = WorkerHandle> {
        self.names.get(name).into_iter().flatten().copied()
    }

    /// Returns all incarnations that share the name, address or instance of a heartbeat, its own
    /// included.
    pub(crate) fn matching_identity(&self, heartbeat: &Heartbeat) -> BTreeSet<WorkerHandle> {
        let by_address = self.addresses.get(&heartbeat.address);
        let by_address = by_address.into_iter().flatten().copied();
        let instance = heartbeat.instance.as_deref();
        let by_instance = instance.and_then(|instance| self.instances.get(instance));
        let by_instance = by_instance.into_iter().flatten().copied();
        let by_name = self.by_name(&heartbeat.incarnation.worker);
        by_name.chain(by_address).chain(by_instance).collect()
    }
}

fn remove_handle(
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
