//! Where every instance is.
//!
//! The platform's list is read when a leader begins and from time to time after that; in between,
//! requests and heartbeats keep it up to date.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::{Effect, Leader, Worker, WorkerHandle};
use crate::state::{Command, JobsState};

/// How often the list of instances is read, in milliseconds; instances come and go within seconds,
/// and a reading costs little beside what an unused instance costs.
const LIST_INTERVAL_MS: u64 = 8_000;
/// How soon the list is read again where something does not fit, in milliseconds.
const LIST_RETRY_MS: u64 = 1_500;

/// Describes an instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: SmolStr,
    /// The pool that it belongs to.
    pub pool: SmolStr,
    /// The worker that it carries, if it is up and its pool is in use.
    pub worker: Option<SmolStr>,
    /// Whether it is up.
    pub up: bool,
    /// Whether it is changing its pool or in maintenance; whatever ran there has ended.
    pub is_unavailable: bool,
}

/// Says what the platform answered to a request about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceResponse {
    /// The request is carried out, or has been before.
    Done,
    /// The instance is not up, or leaving; the request may be sent again.
    Busy,
    /// The request can never be carried out: no such instance, pool or wave.
    Impossible,
    /// Another holder has a later fencing token.
    Fenced,
    /// Nothing is known, or the platform asked to slow down.
    Unknown,
}

/// Holds where every instance is.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    pub(crate) instances: BTreeMap<SmolStr, ListedInstance>,
    requested_at_ms: Option<u64>,
    listed: bool,
    refresh_requested: bool,
}

impl Fleet {
    /// Returns whether the list has been read since this leader began.
    pub(crate) const fn is_listed(&self) -> bool {
        self.listed
    }

    /// Records that an instance is up in a pool: its worker has just begun an incarnation there.
    pub(crate) fn record_up(&mut self, instance: &str, pool: &SmolStr, worker: &SmolStr) {
        if let Some(known) = self.instances.get_mut(instance) {
            known.pool = pool.clone();
            known.worker = Some(worker.clone());
            known.up = true;
            known.is_unavailable = false;
        }
    }

    /// Records that an instance should have come to its pool; where it has not, the next list
    /// tells.
    pub(crate) fn record_arrived(&mut self, instance: &str) {
        if let Some(known) = self.instances.get_mut(instance) {
            known.up = true;
            known.is_unavailable = false;
        }
    }

    /// Asks for another reading, since something does not fit.
    pub(crate) const fn request_refresh(&mut self) {
        self.refresh_requested = true;
    }
}

impl Leader {
    /// Reads the list of instances where it is time.
    pub(super) fn refresh_instance_list(&mut self) {
        let now_ms = self.now.steady_ms;
        let interval_ms = if self.fleet.refresh_requested || !self.fleet.listed {
            LIST_RETRY_MS
        } else {
            LIST_INTERVAL_MS
        };
        let is_recent = |at_ms: u64| now_ms < at_ms + interval_ms;
        if self.fleet.requested_at_ms.is_some_and(is_recent) {
            return;
        }
        self.fleet.requested_at_ms = Some(now_ms);
        self.fleet.refresh_requested = false;
        self.effects.push(Effect::ListInstances);
    }

    /// Returns the worker on an instance.
    pub(super) fn worker_on(&self, instance: &str) -> Option<WorkerHandle> {
        if let Some(handle) = self.directory.on_instance(instance) {
            return Some(handle);
        }
        let listed = self.fleet.instances.get(instance)?.worker.as_ref()?;
        let mut unnamed = self.directory.without_instance();
        unnamed.find(|handle| {
            let worker = self.workers.get(handle);
            worker.is_some_and(|worker| *listed == worker.incarnation().worker)
        })
    }

    /// Ends incarnations of before this leadership whose instance has been sent away, is in another
    /// pool or carries another worker by now: nothing that an earlier leader started there can
    /// still run.
    fn end_replaced_incarnations(&mut self, state: &JobsState) {
        let mut over = Vec::new();
        for incarnation in self.unreconciled.keys() {
            let Some(handle) = self.directory.by_incarnation(incarnation) else {
                continue;
            };
            let worker = self.workers.get(&handle);
            let instance = worker.and_then(|worker| worker.heartbeat.instance.as_ref());
            let listed = instance.and_then(|instance| self.fleet.instances.get(instance));
            let is_over = listed.is_some_and(|listed| {
                let other = listed
                    .worker
                    .as_ref()
                    .is_some_and(|worker| *worker != incarnation.worker);
                // A worker stays in one pool for its whole incarnation.
                let moved = worker.is_some_and(|worker| worker.heartbeat.pool != listed.pool);
                listed.is_unavailable || other || moved
            });
            if is_over {
                over.push(handle);
            }
        }
        for handle in over {
            self.end_incarnation_permanently(handle, "replaced", state);
        }
    }

    /// Corrects what a list shows as it was before a request was carried out, or before a worker
    /// was heard: the list takes some time to arrive.
    fn reapply_newer_changes(&mut self) {
        for (instance, pool) in self.moves.in_transit() {
            if let Some(known) = self.fleet.instances.get_mut(instance) {
                known.pool = pool.clone();
                known.up = false;
            }
        }
        let requested_at_ms = self.fleet.requested_at_ms.unwrap_or(0);
        let has_joined_since = |worker: &&Worker| worker.joined_at_ms >= requested_at_ms;
        for worker in self.workers.values().filter(has_joined_since) {
            if let Some(instance) = &worker.heartbeat.instance {
                let heartbeat = &worker.heartbeat;
                let fleet = &mut self.fleet;
                fleet.record_up(instance, &heartbeat.pool, &heartbeat.incarnation.worker);
            }
        }
    }

    /// Takes the platform's list of instances.
    pub fn on_instance_list(&mut self, listed: &[ListedInstance], state: &JobsState) {
        self.fleet.listed = true;
        let known = listed
            .iter()
            .map(|known| (known.instance.clone(), known.clone()));
        self.fleet.instances = known.collect();
        self.end_replaced_incarnations(state);
        self.reapply_newer_changes();
        let mut gone = Vec::new();
        for (number, wave) in &state.waves {
            for instance in &wave.instances {
                let is_there = self.fleet.instances.contains_key(instance);
                if !is_there && !wave.maintained.contains(instance) {
                    gone.push((*number, instance.clone()));
                }
            }
        }
        for (wave, instance) in gone {
            self.log_event(format!(
                "event=instance_gone instance={instance} wave={wave}"
            ));
            self.maintenance.forget(wave, &instance);
            self.propose(Command::RecordMaintained { wave, instance });
        }
    }
}
