//! Moves of instances from one pool to another.
//!
//! An instance is first evacuated, then the platform is requested to move it; it arrives in its new
//! pool some time later. [`pools`](super::pools) decides how many instances move where.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use super::fleet::InstanceResponse;
use super::{Effect, Leader, Worker, WorkerHandle};
use crate::state::JobsState;

/// Delay before a new leader's first request about an instance for which an earlier leader may have
/// just sent one, in milliseconds; longer than the leader's lease of 3 s, since the platform must
/// not get requests of two leaders in turn within a lease.
const FIRST_REQUEST_DELAY_MS: u64 = 3_500;
/// Time after which a move whose request has no response is abandoned, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 4_000;
/// Time limit for the evacuation of an instance, in milliseconds; its move is abandoned after it.
const EVACUATION_TIMEOUT_MS: u64 = 4_000;
/// Time for which an instance whose move was abandoned comes after the others, in milliseconds; the platform
/// rejects moves of an instance for as long as it is down or leaving.
const ABANDONED_BACKOFF_MS: u64 = 5_000;
/// Time for which no moves between two pools are tried after the platform has rejected one as
/// impossible, in milliseconds.
const INCOMPATIBLE_PAIR_BACKOFF_MS: u64 = 60_000;

/// Describes the stage of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The worker of the instance is being evacuated.
    Evacuating { since_ms: u64 },
    /// The move has been requested and has not begun.
    Requested { at_ms: u64 },
    /// The platform has begun the move.
    InTransit { since_ms: u64 },
}

#[derive(Debug, Clone)]
struct Move {
    from: SmolStr,
    to: SmolStr,
    phase: Phase,
}

/// Describes an instance that may be moved; ordered by its load, the least loaded first, behind which come those
/// whose move was abandoned recently.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MovableInstance {
    /// When the latest move of the instance was abandoned, on the steady clock, unless that is long ago.
    abandoned_at_ms: Option<u64>,
    used_cpu_millis: u64,
    instance: SmolStr,
    worker: Option<WorkerHandle>,
}

/// Caches the instances of each pool that may be moved, for one planning pass, since finding them
/// iterates over the whole fleet.
#[derive(Debug, Default)]
pub(super) struct MovableInstances(HashMap<SmolStr, Vec<MovableInstance>>);

/// Tracks the moves that have been decided.
#[derive(Debug, Clone, Default)]
pub(crate) struct MoveTracker {
    by_instance: BTreeMap<SmolStr, Move>,
    /// Pairs of source and destination pool between which the platform rejects moves, and until
    /// when no further one is tried.
    incompatible_pairs: BTreeMap<(SmolStr, SmolStr), u64>,
    /// When the latest move of each instance was abandoned, on the steady clock.
    abandoned_at_ms: BTreeMap<SmolStr, u64>,
}

impl MoveTracker {
    /// Returns whether a move of an instance is planned or in progress.
    pub(crate) fn is_moving(&self, instance: &str) -> bool {
        self.by_instance.contains_key(instance)
    }

    /// Returns whether an instance is being evacuated for a move, or its move has been requested
    /// and may begin at any moment.
    pub(crate) fn is_pending(&self, instance: &str) -> bool {
        let planned = self.by_instance.get(instance);
        planned.is_some_and(|planned| !matches!(planned.phase, Phase::InTransit { .. }))
    }

    /// Returns whether the platform may have begun the move of an instance.
    pub(crate) fn is_requested(&self, instance: &str) -> bool {
        let planned = self.by_instance.get(instance);
        planned.is_some_and(|planned| !matches!(planned.phase, Phase::Evacuating { .. }))
    }

    /// Returns the instances in transit, with their destination pools.
    pub(crate) fn in_transit(&self) -> impl Iterator<Item = (&SmolStr, &SmolStr)> {
        let is_in_transit = |planned: &Move| matches!(planned.phase, Phase::InTransit { .. });
        let moves = self.by_instance.iter();
        let moves = moves.filter(move |(_, planned)| is_in_transit(planned));
        moves.map(|(instance, planned)| (instance, &planned.to))
    }

    /// Returns the number of planned moves, of any stage, to a pool.
    pub(crate) fn incoming(&self, pool: &str) -> usize {
        self.by_instance
            .values()
            .filter(|planned| planned.to == pool)
            .count()
    }
}

impl Leader {
    /// Returns whether every request that an earlier leader may have sent about an instance is old
    /// enough for this leader to send its own.
    pub(super) const fn may_request_instance_changes(&self) -> bool {
        self.first_run_number == 0
            || self.now.steady_ms >= self.leader_since_ms + FIRST_REQUEST_DELAY_MS
    }

    /// Returns the instances of a pool that are up and neither moving nor in maintenance.
    pub(super) fn stable_instances(&self, pool: &str) -> impl Iterator<Item = &SmolStr> {
        let stable = self.fleet.instances.values().filter(move |listed| {
            listed.pool == pool
                && listed.up
                && !self.moves.is_moving(&listed.instance)
                && !self.maintenance.is_in_progress(&listed.instance)
        });
        stable.map(|listed| &listed.instance)
    }

    /// Returns the number of instances that are available in the standby pools.
    pub(super) fn standby_instance_count(&self, state: &JobsState) -> usize {
        let standby = state.configuration.pools.iter().filter(|pool| pool.standby);
        standby
            .map(|pool| self.stable_instances(&pool.name).count())
            .sum()
    }

    /// Returns the instances of a pool that may be moved, the least loaded last.
    fn movable_instances(&self, from: &SmolStr, is_standby: bool) -> Vec<MovableInstance> {
        let may_request = self.may_request_instance_changes();
        let ranked = self.stable_instances(from).filter_map(|instance| {
            let worker = self.worker_on(instance);
            if worker.is_some_and(|handle| self.is_held_by_suspects(handle)) {
                return None;
            }
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
                abandoned_at_ms: self.moves.abandoned_at_ms.get(instance).copied(),
                used_cpu_millis,
                instance: instance.clone(),
                worker,
            })
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked
    }

    /// Begins to move the least loaded movable instance of the pool `from`; returns whether a move
    /// was begun.
    ///
    /// With `only_idle`, an instance moves only if no run reserves processor time on it.
    pub(super) fn start_move(
        &mut self,
        movable: &mut MovableInstances,
        (from, is_standby): (&SmolStr, bool),
        to: &SmolStr,
        only_idle: bool,
    ) -> bool {
        let now_ms = self.now.steady_ms;
        let pair = (from.clone(), to.clone());
        let incompatible = self.moves.incompatible_pairs.get(&pair);
        if incompatible.is_some_and(|until_ms| now_ms < *until_ms) {
            return false;
        }
        if !self.request_limiter.has_token(now_ms) {
            return false;
        }
        let candidates = movable.0.entry(from.clone());
        let candidates = candidates.or_insert_with(|| self.movable_instances(from, is_standby));
        let is_eligible =
            |candidate: &mut MovableInstance| !only_idle || candidate.used_cpu_millis == 0;
        let Some(MovableInstance {
            used_cpu_millis,
            instance,
            worker,
            ..
        }) = candidates.pop_if(is_eligible)
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
        let now_ms = self.now.steady_ms;
        let abandoned = &mut self.moves.abandoned_at_ms;
        abandoned.retain(|_, at_ms| now_ms < *at_ms + ABANDONED_BACKOFF_MS);
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
                let has_arrived = self.worker_on(instance).is_some();
                let is_overdue =
                    now_ms >= since_ms + self.settings.move_ms + self.settings.heartbeat_ms;
                if has_arrived || is_overdue {
                    self.moves.by_instance.remove(instance);
                    self.fleet.record_arrived(instance);
                    self.stop_evacuation(instance);
                }
            }
            Phase::Requested { .. } | Phase::InTransit { .. } => {}
        }
    }

    /// Returns whether an earlier leader cannot have sent a recent request about an instance: it is
    /// in a standby pool without a worker, or its worker began long enough ago and its run list has
    /// been read.
    fn is_untouched_by_earlier_leader(
        &self,
        worker: Option<WorkerHandle>,
        is_standby: bool,
    ) -> bool {
        let Some(worker) = worker.and_then(|handle| self.workers.get(&handle)) else {
            return is_standby;
        };
        let worker_age_ms = self
            .now
            .wall_ms
            .saturating_sub(worker.incarnation().started_at_ms);
        worker.reconciled && worker_age_ms >= FIRST_REQUEST_DELAY_MS
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
            "event=move_abandoned instance={instance} cause={cause}"
        ));
        self.moves.by_instance.remove(instance);
        self.moves
            .abandoned_at_ms
            .insert(instance.clone(), self.now.steady_ms);
        self.fleet.request_refresh();
        self.stop_evacuation(instance);
    }

    /// Handles the platform's response to a request to move an instance.
    pub fn on_move_response(
        &mut self,
        instance: &SmolStr,
        pool: &SmolStr,
        response: InstanceResponse,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        self.log_event(format!(
            "event=move_response instance={instance} pool={pool} response={response:?}"
        ));
        let planned = self.moves.by_instance.get(instance).cloned();
        // The response to an earlier move doesn't concern the one that is planned now.
        let Some(planned) = planned.filter(|planned| planned.to == *pool) else {
            self.fleet.request_refresh();
            return;
        };
        match response {
            InstanceResponse::Done => {
                self.counts.moved += 1;
                // A worker stays in one pool for its whole incarnation, so one in the destination pool began
                // after the move.
                let has_arrived = |worker: &Worker| worker.heartbeat.pool == *pool;
                self.end_incarnation_on(instance, "moved", has_arrived, state);
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
                    .incompatible_pairs
                    .insert(pair, now_ms + INCOMPATIBLE_PAIR_BACKOFF_MS);
                self.abandon_move(instance, "impossible");
            }
            InstanceResponse::Busy | InstanceResponse::Fenced => {
                self.abandon_move(instance, "busy");
            }
            // The request may have been carried out; the next instance list shows whether it was.
            InstanceResponse::Unknown => self.fleet.request_refresh(),
        }
    }
}
