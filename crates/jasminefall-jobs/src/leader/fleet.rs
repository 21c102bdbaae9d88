//! The pool, worker and state of every instance.
//!
//! A new leader requests the platform's instance list at once and then at intervals. Between two
//! lists, the leader's own requests and the heartbeats of workers keep the data up to date.
//!
//! A list shows some moment between its request and its arrival, which can be seconds apart, and lists can
//! overtake one another. Whatever is concluded from a list about a fact therefore needs one that was
//! requested after the fact was known ([`Fleet::covers`]).

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::handovers::Successor;
use super::{Effect, Leader, WorkerHandle};
use crate::state::{Command, JobsState};

/// Interval at which the instance list is requested, in milliseconds; instances are added and
/// removed within seconds, and a request costs little compared with an unused instance.
const LIST_INTERVAL_MS: u64 = 8_000;
/// Interval at which the list is requested before the first one has arrived, or when the data
/// appears out of date, in milliseconds.
const LIST_RETRY_MS: u64 = 1_500;

/// Describes an instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The name of the instance on the platform.
    pub instance: SmolStr,
    /// The pool that it belongs to; empty if the entry can't be read in full.
    pub pool: SmolStr,
    /// The name of the worker on it, if the instance is up and its pool is in use.
    pub worker: Option<SmolStr>,
    /// Whether it is up.
    pub up: bool,
    /// Whether it is moving to another pool or in maintenance; all runs on it have ended.
    pub is_unavailable: bool,
    /// Whether it is in maintenance.
    pub in_maintenance: bool,
}

/// Holds the platform's list of all instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceList {
    /// When the first page was requested, on the leader's steady clock in milliseconds.
    pub requested_at_ms: u64,
    /// The instances.
    pub instances: Vec<ListedInstance>,
}

/// Classifies the platform's response to a maintenance or move request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceResponse {
    /// The request has been carried out, now or by an earlier attempt.
    Done,
    /// The instance is not up or is shutting down; the request may be retried.
    Busy,
    /// The request can never succeed: the instance, pool or wave does not exist or does not permit
    /// it.
    Impossible,
    /// The request was rejected, since another leader has a later fencing token.
    Fenced,
    /// The outcome is unknown, or the platform throttled the request.
    Unknown,
}

/// Holds the latest instance list, updated by later requests and heartbeats.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    pub(crate) instances: BTreeMap<SmolStr, ListedInstance>,
    /// When the latest list that has arrived was requested; `None` before the first one.
    as_of_ms: Option<u64>,
    /// When a list was requested last.
    requested_at_ms: Option<u64>,
    refresh_requested: bool,
}

impl Fleet {
    /// Returns whether this leader has received an instance list.
    pub(crate) const fn is_listed(&self) -> bool {
        self.as_of_ms.is_some()
    }

    /// Returns whether the latest list was requested at a time on the steady clock or later, so that it shows
    /// what was so by then.
    pub(crate) fn covers(&self, at_ms: u64) -> bool {
        self.as_of_ms.is_some_and(|as_of_ms| as_of_ms >= at_ms)
    }

    /// Returns whether an instance that may have existed at a time on the steady clock is known to be gone.
    pub(crate) fn lacks(&self, instance: &str, at_ms: u64) -> bool {
        self.covers(at_ms) && !self.instances.contains_key(instance)
    }

    /// Returns whether the platform lists an instance as in maintenance.
    pub(crate) fn is_in_maintenance(&self, instance: &str) -> bool {
        let listed = self.instances.get(instance);
        listed.is_some_and(|listed| listed.in_maintenance)
    }

    /// Records that an instance is up in a pool, since a worker has begun an incarnation on it.
    pub(crate) fn record_up(&mut self, instance: &str, pool: &SmolStr, worker: &SmolStr) {
        if let Some(listed) = self.instances.get_mut(instance) {
            listed.pool = pool.clone();
            listed.worker = Some(worker.clone());
            listed.up = true;
            listed.is_unavailable = false;
            listed.in_maintenance = false;
        }
    }

    /// Records that the move of an instance should be complete; the next list corrects this if it
    /// is not.
    pub(crate) fn record_arrived(&mut self, instance: &str) {
        if let Some(listed) = self.instances.get_mut(instance) {
            listed.up = true;
            listed.is_unavailable = false;
            listed.in_maintenance = false;
        }
    }

    /// Makes the next request for the instance list due after the short interval, since the data
    /// appears out of date.
    pub(crate) const fn request_refresh(&mut self) {
        self.refresh_requested = true;
    }
}

impl Leader {
    /// Requests the instance list if it is due.
    pub(super) fn refresh_instance_list(&mut self) {
        let now_ms = self.now.steady_ms;
        let interval_ms = if self.fleet.refresh_requested || !self.fleet.is_listed() {
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
        self.effects.push(Effect::ListInstances {
            requested_at_ms: now_ms,
        });
    }

    /// Returns the worker on an instance: the one that names the instance in its heartbeat,
    /// otherwise the one that the instance list names.
    pub(super) fn worker_on(&self, instance: &str) -> Option<WorkerHandle> {
        if let Some(handle) = self.directory.on_instance(instance) {
            return Some(handle);
        }
        let listed = self.fleet.instances.get(instance)?.worker.as_ref()?;
        let mut without_instance = self.directory.without_instance();
        without_instance.find(|handle| {
            let worker = self.workers.get(handle);
            worker.is_some_and(|worker| *listed == worker.incarnation().worker)
        })
    }

    /// Ends unreconciled incarnations whose instance is moving or in maintenance, is in another
    /// pool or has another worker. No run that an earlier leader started there can still be active. One that
    /// joined after the list was requested isn't concerned.
    fn end_replaced_incarnations(&mut self, state: &JobsState) {
        let mut ended = Vec::new();
        for incarnation in self.unreconciled.keys() {
            let Some(handle) = self.directory.by_incarnation(incarnation) else {
                continue;
            };
            let worker = self.workers.get(&handle);
            let worker = worker.filter(|worker| self.fleet.covers(worker.joined_at_ms));
            let instance = worker.and_then(|worker| worker.heartbeat.instance.as_ref());
            let listed = instance.and_then(|instance| self.fleet.instances.get(instance));
            // An entry of an unknown pool says nothing about the worker.
            let listed = listed.filter(|listed| state.configuration.pool(&listed.pool).is_some());
            let has_ended = listed.is_some_and(|listed| {
                let has_other_worker = listed
                    .worker
                    .as_ref()
                    .is_some_and(|worker| *worker != incarnation.worker);
                // A worker stays in one pool for its whole incarnation.
                let has_moved = worker.is_some_and(|worker| worker.heartbeat.pool != listed.pool);
                listed.is_unavailable || has_other_worker || has_moved
            });
            if has_ended {
                ended.push(handle);
            }
        }
        for handle in ended {
            self.end_incarnation_permanently(handle, "replaced", Successor::None, state);
        }
    }

    /// Reapplies moves and worker registrations that are newer than the list that has just arrived,
    /// since the list may show the state before them.
    fn reapply_newer_changes(&mut self) {
        for (instance, pool) in self.moves.in_transit() {
            if let Some(listed) = self.fleet.instances.get_mut(instance) {
                listed.pool = pool.clone();
                listed.up = false;
            }
        }
        for worker in self.workers.values() {
            let heartbeat = &worker.heartbeat;
            if let Some(instance) = &heartbeat.instance
                && !self.fleet.covers(worker.joined_at_ms)
            {
                let fleet = &mut self.fleet;
                fleet.record_up(instance, &heartbeat.pool, &heartbeat.incarnation.worker);
            }
        }
    }

    /// Replaces the known instances by the platform's list, and records instances of a wave that
    /// the list lacks as maintained, since their maintenance can never start. Ignores a list that a later one
    /// has overtaken.
    pub fn on_instance_list(&mut self, list: &InstanceList, state: &JobsState) {
        let requested_ms_ago = self.now.steady_ms.saturating_sub(list.requested_at_ms);
        if self.fleet.covers(list.requested_at_ms + 1) {
            return self.log_event(format!(
                "event=instance_list_overtaken requested_ms_ago={requested_ms_ago}"
            ));
        }
        self.fleet.as_of_ms = Some(list.requested_at_ms);
        // An entry of an unknown pool, or without one, doesn't replace another entry of its instance.
        let is_of_known_pool =
            |entry: &&ListedInstance| state.configuration.pool(&entry.pool).is_some();
        let (known, odd): (Vec<_>, Vec<_>) = list.instances.iter().partition(is_of_known_pool);
        let by_name = odd
            .into_iter()
            .chain(known)
            .map(|entry| (entry.instance.clone(), entry.clone()));
        self.fleet.instances = by_name.collect();
        self.end_replaced_incarnations(state);
        self.reapply_newer_changes();
        self.record_listed_maintenance(state);
        let mut missing = Vec::new();
        for (number, wave) in &state.waves {
            let known_since_ms = self.maintenance.known_since_ms(*number);
            for instance in &wave.instances {
                if self.fleet.lacks(instance, known_since_ms) && !wave.maintained.contains(instance)
                {
                    missing.push((*number, instance.clone()));
                }
            }
        }
        for (wave, instance) in missing {
            self.log_event(format!(
                "event=instance_missing instance={instance} wave={wave} requested_ms_ago={requested_ms_ago}"
            ));
            self.maintenance.remove(wave, &instance);
            self.propose(Command::RecordMaintained { wave, instance });
        }
    }
}
