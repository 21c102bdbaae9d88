//! Moving instances from one pool to another.
//!
//! An instance is evacuated first, then the platform is told to move it; it comes to its new pool
//! some time after that. Which instances move where is decided in [`pools`](super::pools).

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use super::fleet::InstanceResponse;
use super::{Effect, Leader, WorkerHandle};
use crate::state::JobsState;

/// How long a leader waits before its first request to an instance that an earlier leader may have
/// requested just before, in milliseconds: two holders must not take turns within their lease, 3 s.
const FIRST_REQUEST_DELAY_MS: u64 = 3_500;
/// How long a request without a response is taken as under way, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 4_000;
/// How long an instance is given to end what runs on it, in milliseconds.
const EVACUATION_TIMEOUT_MS: u64 = 4_000;
/// How long a pair of pools that cannot exchange instances is left alone, in milliseconds.
const INCOMPATIBLE_PAIR_BACKOFF_MS: u64 = 60_000;

/// Says how far a move is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The worker is being evacuated.
    Evacuating { since_ms: u64 },
    /// The request has been sent.
    Requested { at_ms: u64 },
    /// The instance is on its way.
    InTransit { since_ms: u64 },
}

#[derive(Debug, Clone)]
struct Move {
    from: SmolStr,
    to: SmolStr,
    phase: Phase,
}

/// Describes an instance that may be moved; the least has the least work to end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MovableInstance {
    used_cpu_millis: u64,
    instance: SmolStr,
    worker: Option<WorkerHandle>,
}

/// Holds the instances of each pool that may be moved, as long as moves are planned; finding them
/// takes a pass over the whole fleet.
#[derive(Debug, Default)]
pub(super) struct MovableInstances(HashMap<SmolStr, Vec<MovableInstance>>);

/// Holds the moves that have been decided.
#[derive(Debug, Clone, Default)]
pub(crate) struct MoveTracker {
    by_instance: BTreeMap<SmolStr, Move>,
    /// Pairs of pools that cannot exchange instances, and until when they are left alone.
    incompatible: BTreeMap<(SmolStr, SmolStr), u64>,
}

impl MoveTracker {
    /// Returns whether an instance is about to change its pool.
    pub(crate) fn is_moving(&self, instance: &str) -> bool {
        self.by_instance.contains_key(instance)
    }

    /// Returns whether an instance is to be moved, or may be at any moment.
    pub(crate) fn is_pending(&self, instance: &str) -> bool {
        let planned = self.by_instance.get(instance);
        planned.is_some_and(|planned| !matches!(planned.phase, Phase::InTransit { .. }))
    }

    /// Returns the instances that are on their way, with the pools that they go to.
    pub(crate) fn in_transit(&self) -> impl Iterator<Item = (&SmolStr, &SmolStr)> {
        let under_way = |planned: &Move| matches!(planned.phase, Phase::InTransit { .. });
        let moves = self.by_instance.iter();
        let moves = moves.filter(move |(_, planned)| under_way(planned));
        moves.map(|(instance, planned)| (instance, &planned.to))
    }

    /// Returns how many instances are on their way to a pool.
    pub(crate) fn incoming(&self, pool: &str) -> usize {
        self.by_instance
            .values()
            .filter(|known| known.to == pool)
            .count()
    }
}

impl Leader {
    /// Returns whether no request of an earlier leader about any instance can be recent.
    pub(super) const fn may_request_instance_changes(&self) -> bool {
        self.first_run_number == 0
            || self.now.steady_ms >= self.leader_since_ms + FIRST_REQUEST_DELAY_MS
    }

    /// Returns the instances of a pool that are up and stay there.
    pub(super) fn stable_instances(&self, pool: &str) -> impl Iterator<Item = &SmolStr> {
        let stable_instances = self.fleet.instances.values().filter(move |known| {
            known.pool == pool
                && known.up
                && !self.moves.is_moving(&known.instance)
                && !self.maintenance.is_under_way(&known.instance)
        });
        stable_instances.map(|known| &known.instance)
    }

    /// Returns how many instances wait in the standby pools.
    pub(super) fn standby_instances(&self, state: &JobsState) -> usize {
        let standby = state.configuration.pools.iter().filter(|pool| pool.standby);
        standby
            .map(|pool| self.stable_instances(&pool.name).count())
            .sum()
    }

    /// Returns the instances of a pool that may be moved, the one with the least work last.
    fn movable(&self, from: &SmolStr, is_standby: bool) -> Vec<MovableInstance> {
        let may_request = self.may_request_instance_changes();
        let ranked = self.stable_instances(from).filter_map(|instance| {
            let worker = self.worker_on(instance);
            if !may_request && !self.is_untouched_by_earlier_leader(worker, is_standby) {
                return None;
            }
            let used_cpu_millis = match worker.and_then(|handle| self.workers.get(&handle)) {
                Some(worker) if worker.heartbeat.draining || worker.evacuating => return None,
                Some(worker) if worker.long_running_runs > 0 => return None,
                Some(worker) => worker.used.cpu_millis,
                None => 0,
            };
            Some(MovableInstance {
                used_cpu_millis,
                instance: instance.clone(),
                worker,
            })
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked
    }

    /// Begins to move one instance; returns whether there was one to move.
    pub(super) fn move_one(
        &mut self,
        movable: &mut MovableInstances,
        (from, is_standby): (&SmolStr, bool),
        to: &SmolStr,
        only_idle: bool,
    ) -> bool {
        let now_ms = self.now.steady_ms;
        let pair = (from.clone(), to.clone());
        let incompatible = self.moves.incompatible.get(&pair);
        if incompatible.is_some_and(|until_ms| now_ms < *until_ms) {
            return false;
        }
        if !self.request_limiter.has_token(now_ms) {
            return false;
        }
        let of_pool = movable.0.entry(from.clone());
        let of_pool = of_pool.or_insert_with(|| self.movable(from, is_standby));
        let fits = |least: &mut MovableInstance| !only_idle || least.used_cpu_millis == 0;
        let Some(MovableInstance {
            used_cpu_millis,
            instance,
            worker,
        }) = of_pool.pop_if(fits)
        else {
            return false;
        };
        if let Some(worker) = worker.and_then(|handle| self.workers.get_mut(&handle)) {
            worker.evacuating = true;
        }
        self.request_limiter.consume();
        self.log_event(format!(
            "event=move_decided instance={instance} from={from} to={to} used_cpu_millis={used_cpu_millis}"
        ));
        let planned = Move {
            from: from.clone(),
            to: to.clone(),
            phase: Phase::Evacuating { since_ms: now_ms },
        };
        self.moves.by_instance.insert(instance.clone(), planned);
        self.advance_move(&instance);
        true
    }

    pub(super) fn advance_moves(&mut self) {
        let instances: Vec<_> = self.moves.by_instance.keys().cloned().collect();
        for instance in instances {
            self.advance_move(&instance);
        }
    }

    fn advance_move(&mut self, instance: &SmolStr) {
        let now_ms = self.now.steady_ms;
        let Some(planned) = self.moves.by_instance.get(instance).cloned() else {
            return;
        };
        match planned.phase {
            Phase::Evacuating { since_ms } => {
                let handle = self.worker_on(instance);
                if handle.is_none_or(|handle| self.is_empty(handle)) {
                    self.request_move(instance, planned);
                } else if now_ms >= since_ms + EVACUATION_TIMEOUT_MS {
                    self.abandon_move(instance, "not-empty");
                }
            }
            Phase::Requested { at_ms } if now_ms >= at_ms + REQUEST_TIMEOUT_MS => {
                self.abandon_move(instance, "no-answer");
            }
            Phase::InTransit { since_ms } if now_ms >= since_ms + self.settings.move_ms => {
                let arrived = self.worker_on(instance).is_some();
                let late = now_ms >= since_ms + self.settings.move_ms + self.settings.heartbeat_ms;
                if arrived || late {
                    self.moves.by_instance.remove(instance);
                    self.fleet.record_arrived(instance);
                }
            }
            Phase::Requested { .. } | Phase::InTransit { .. } => {}
        }
    }

    /// Returns whether an earlier leader cannot just have requested an instance: it waits in a
    /// standby pool, or its worker has been read and has lived for some time.
    fn is_untouched_by_earlier_leader(
        &self,
        worker: Option<WorkerHandle>,
        is_standby: bool,
    ) -> bool {
        let Some(worker) = worker.and_then(|handle| self.workers.get(&handle)) else {
            return is_standby;
        };
        let lived_ms = self
            .now
            .wall_ms
            .saturating_sub(worker.incarnation().started_at_ms);
        worker.reconciled && lived_ms >= FIRST_REQUEST_DELAY_MS
    }

    fn is_empty(&self, handle: WorkerHandle) -> bool {
        self.workers
            .get(&handle)
            .is_none_or(super::Worker::is_empty)
    }

    fn request_move(&mut self, instance: &SmolStr, planned: Move) {
        let at_ms = self.now.steady_ms;
        self.effects.push(Effect::Move {
            instance: instance.clone(),
            pool: planned.to.clone(),
        });
        let phase = Phase::Requested { at_ms };
        self.moves
            .by_instance
            .insert(instance.clone(), Move { phase, ..planned });
    }

    fn abandon_move(&mut self, instance: &SmolStr, cause: &str) {
        self.log_event(format!(
            "event=move_given_up instance={instance} cause={cause}"
        ));
        self.moves.by_instance.remove(instance);
        self.fleet.request_refresh();
        let handle = self.worker_on(instance);
        if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
            worker.evacuating = false;
            let pool = worker.heartbeat.pool.clone();
            self.dirty_pools.insert(pool);
        }
    }

    /// Takes the platform's response to a request to move an instance.
    pub fn on_move_response(
        &mut self,
        instance: &SmolStr,
        pool: &SmolStr,
        response: InstanceResponse,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        self.log_event(format!(
            "event=move_answer instance={instance} pool={pool} answer={response:?}"
        ));
        let Some(planned) = self.moves.by_instance.get(instance).cloned() else {
            self.fleet.request_refresh();
            return;
        };
        match response {
            InstanceResponse::Done => {
                self.counts.moved += 1;
                self.on_instance_sent_away(instance, "moved", state);
                if let Some(known) = self.fleet.instances.get_mut(instance) {
                    known.pool = pool.clone();
                }
                let phase = Phase::InTransit { since_ms: now_ms };
                self.moves
                    .by_instance
                    .insert(instance.clone(), Move { phase, ..planned });
            }
            InstanceResponse::Impossible => {
                let pair = (planned.from, planned.to);
                self.moves
                    .incompatible
                    .insert(pair, now_ms + INCOMPATIBLE_PAIR_BACKOFF_MS);
                self.abandon_move(instance, "impossible");
            }
            InstanceResponse::Busy | InstanceResponse::Fenced => {
                self.abandon_move(instance, "busy");
            }
            // The request may have been carried out; the list will tell.
            InstanceResponse::Unknown => self.fleet.request_refresh(),
        }
    }
}
