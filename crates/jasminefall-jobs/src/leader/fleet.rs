//! Where every instance is.
//!
//! The platform's list is read when a leader begins and from time to time after that; in between,
//! orders and heartbeats keep it up to date.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::{Effect, Leader, Worker, WorkerHandle};
use crate::state::{Command, JobsState};

/// How often the list of instances is read, in milliseconds; instances come and go within seconds,
/// and a reading costs little beside what an unused instance costs.
const LIST_INTERVAL_MS: u64 = 8_000;
/// How soon the list is read again where something does not fit, in milliseconds.
const LIST_AGAIN_MS: u64 = 1_500;

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
    pub is_away: bool,
}

/// Says what the platform answered to an order about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceAnswer {
    /// The order is carried out, or has been before.
    Done,
    /// The instance is not up, or leaving; the order may be given again.
    Busy,
    /// The order can never be carried out: no such instance, pool or wave.
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
    asked_at_ms: Option<u64>,
    listed: bool,
    wanted: bool,
}

impl Fleet {
    /// Returns whether the list has been read since this leader began.
    pub(crate) const fn is_listed(&self) -> bool {
        self.listed
    }

    /// Notes that an instance is up in a pool: its worker has just begun a life there.
    pub(crate) fn note_up(&mut self, instance: &str, pool: &SmolStr, worker: &SmolStr) {
        if let Some(known) = self.instances.get_mut(instance) {
            known.pool = pool.clone();
            known.worker = Some(worker.clone());
            known.up = true;
            known.is_away = false;
        }
    }

    /// Notes that an instance should have come to its pool; where it has not, the next list tells.
    pub(crate) fn note_arrived(&mut self, instance: &str) {
        if let Some(known) = self.instances.get_mut(instance) {
            known.up = true;
            known.is_away = false;
        }
    }

    /// Asks for another reading, since something does not fit.
    pub(crate) const fn doubt(&mut self) {
        self.wanted = true;
    }
}

impl Leader {
    /// Reads the list of instances where it is time.
    pub(super) fn tend_fleet(&mut self) {
        let now_ms = self.now.steady_ms;
        let interval_ms = if self.fleet.wanted || !self.fleet.listed {
            LIST_AGAIN_MS
        } else {
            LIST_INTERVAL_MS
        };
        let is_recent = |at_ms: u64| now_ms < at_ms + interval_ms;
        if self.fleet.asked_at_ms.is_some_and(is_recent) {
            return;
        }
        self.fleet.asked_at_ms = Some(now_ms);
        self.fleet.wanted = false;
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
            worker.is_some_and(|worker| *listed == worker.life().worker)
        })
    }

    /// Ends lives of before this leadership whose instance has been sent away, is in another pool or
    /// carries another worker by now: nothing that an earlier leader started there can still run.
    fn end_replaced_lives(&mut self, state: &JobsState) {
        let mut over = Vec::new();
        for life in self.unsettled.keys() {
            let Some(handle) = self.directory.of_life(life) else {
                continue;
            };
            let worker = self.workers.get(&handle);
            let instance = worker.and_then(|worker| worker.heartbeat.instance.as_ref());
            let listed = instance.and_then(|instance| self.fleet.instances.get(instance));
            let is_over = listed.is_some_and(|listed| {
                let other = listed
                    .worker
                    .as_ref()
                    .is_some_and(|worker| *worker != life.worker);
                // A worker stays in one pool for its whole life.
                let moved = worker.is_some_and(|worker| worker.heartbeat.pool != listed.pool);
                listed.is_away || other || moved
            });
            if is_over {
                over.push(handle);
            }
        }
        for handle in over {
            self.end_life_for_good(handle, "replaced", state);
        }
    }

    /// Corrects what a list shows as it was before an order was carried out, or before a worker was
    /// heard: the list takes some time to arrive.
    fn keep_what_is_newer_than_the_list(&mut self) {
        for (instance, pool) in self.moves.on_their_way() {
            if let Some(known) = self.fleet.instances.get_mut(instance) {
                known.pool = pool.clone();
                known.up = false;
            }
        }
        let asked_at_ms = self.fleet.asked_at_ms.unwrap_or(0);
        let has_joined_since = |worker: &&Worker| worker.joined_at_ms >= asked_at_ms;
        for worker in self.workers.values().filter(has_joined_since) {
            if let Some(instance) = &worker.heartbeat.instance {
                let heartbeat = &worker.heartbeat;
                let fleet = &mut self.fleet;
                fleet.note_up(instance, &heartbeat.pool, &heartbeat.life.worker);
            }
        }
    }

    /// Takes the platform's list of instances.
    pub fn take_instances(&mut self, listed: &[ListedInstance], state: &JobsState) {
        self.fleet.listed = true;
        let known = listed
            .iter()
            .map(|known| (known.instance.clone(), known.clone()));
        self.fleet.instances = known.collect();
        self.end_replaced_lives(state);
        self.keep_what_is_newer_than_the_list();
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
            self.note(format!(
                "event=instance_gone instance={instance} wave={wave}"
            ));
            self.upkeep.forget(wave, &instance);
            self.propose(Command::NoteMaintained { wave, instance });
        }
    }
}
