//! Moving instances from one pool to another.
//!
//! An instance is emptied first, then the platform is told to move it; it comes to its new pool some
//! time after that. Which instances move where is decided in [`pools`](super::pools).

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use super::fleet::InstanceAnswer;
use super::{Effect, Leader, WorkerHandle};
use crate::state::JobsState;

/// How long a leader waits before its first order to an instance that an earlier leader may have
/// ordered just before, in milliseconds: two holders must not take turns within their lease, 3 s.
const FIRST_ORDER_AFTER_MS: u64 = 3_500;
/// How long an order without an answer is taken as under way, in milliseconds.
const ORDER_PATIENCE_MS: u64 = 4_000;
/// How long an instance is given to end what runs on it, in milliseconds.
const EMPTYING_PATIENCE_MS: u64 = 4_000;
/// How long a pair of pools that cannot exchange instances is left alone, in milliseconds.
const FORBIDDEN_FOR_MS: u64 = 60_000;

/// Says how far a move is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The worker is being emptied.
    Emptying { since_ms: u64 },
    /// The order has been given.
    Ordered { at_ms: u64 },
    /// The instance is on its way.
    UnderWay { since_ms: u64 },
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
pub(super) struct Movable(HashMap<SmolStr, Vec<MovableInstance>>);

/// Holds the moves that have been decided.
#[derive(Debug, Clone, Default)]
pub(crate) struct Moves {
    under_way: BTreeMap<SmolStr, Move>,
    /// Pairs of pools that cannot exchange instances, and until when they are left alone.
    forbidden: BTreeMap<(SmolStr, SmolStr), u64>,
}

impl Moves {
    /// Returns whether an instance is about to change its pool.
    pub(crate) fn is_moving(&self, instance: &str) -> bool {
        self.under_way.contains_key(instance)
    }

    /// Returns whether an instance is to be moved, or may be at any moment.
    pub(crate) fn awaits(&self, instance: &str) -> bool {
        let planned = self.under_way.get(instance);
        planned.is_some_and(|planned| !matches!(planned.phase, Phase::UnderWay { .. }))
    }

    /// Returns the instances that are on their way, with the pools that they go to.
    pub(crate) fn on_their_way(&self) -> impl Iterator<Item = (&SmolStr, &SmolStr)> {
        let under_way = |planned: &Move| matches!(planned.phase, Phase::UnderWay { .. });
        let moves = self.under_way.iter();
        let moves = moves.filter(move |(_, planned)| under_way(planned));
        moves.map(|(instance, planned)| (instance, &planned.to))
    }

    /// Returns how many instances are on their way to a pool.
    pub(crate) fn coming(&self, pool: &str) -> usize {
        self.under_way
            .values()
            .filter(|known| known.to == pool)
            .count()
    }
}

impl Leader {
    /// Returns whether no order of an earlier leader about any instance can be recent.
    pub(super) const fn may_order_instances(&self) -> bool {
        self.first_run == 0 || self.now.steady_ms >= self.leads_since_ms + FIRST_ORDER_AFTER_MS
    }

    /// Returns the instances of a pool that are up and stay there.
    pub(super) fn staying(&self, pool: &str) -> impl Iterator<Item = &SmolStr> {
        let staying = self.fleet.instances.values().filter(move |known| {
            known.pool == pool
                && known.up
                && !self.moves.is_moving(&known.instance)
                && !self.upkeep.is_under_way(&known.instance)
        });
        staying.map(|known| &known.instance)
    }

    /// Returns how many instances wait in the standby pools.
    pub(super) fn standby_instances(&self, state: &JobsState) -> usize {
        let standby = state.configuration.pools.iter().filter(|pool| pool.standby);
        standby.map(|pool| self.staying(&pool.name).count()).sum()
    }

    /// Returns the instances of a pool that may be moved, the one with the least work last.
    fn movable(&self, from: &SmolStr, is_standby: bool) -> Vec<MovableInstance> {
        let settled = self.may_order_instances();
        let ranked = self.staying(from).filter_map(|instance| {
            let worker = self.worker_on(instance);
            if !settled && !self.is_left_alone(worker, is_standby) {
                return None;
            }
            let used_cpu_millis = match worker.and_then(|handle| self.workers.get(&handle)) {
                Some(worker) if worker.heartbeat.draining || worker.emptying => return None,
                Some(worker) if worker.lasting_runs > 0 => return None,
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
        movable: &mut Movable,
        (from, is_standby): (&SmolStr, bool),
        to: &SmolStr,
        only_idle: bool,
    ) -> bool {
        let now_ms = self.now.steady_ms;
        let pair = (from.clone(), to.clone());
        let forbidden = self.moves.forbidden.get(&pair);
        if forbidden.is_some_and(|until_ms| now_ms < *until_ms) {
            return false;
        }
        if !self.order_rate.allows(now_ms) {
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
            worker.emptying = true;
        }
        self.order_rate.note();
        self.note(format!(
            "event=move_decided instance={instance} from={from} to={to} used_cpu_millis={used_cpu_millis}"
        ));
        let planned = Move {
            from: from.clone(),
            to: to.clone(),
            phase: Phase::Emptying { since_ms: now_ms },
        };
        self.moves.under_way.insert(instance.clone(), planned);
        self.tend_move(&instance);
        true
    }

    pub(super) fn tend_moves(&mut self) {
        let instances: Vec<_> = self.moves.under_way.keys().cloned().collect();
        for instance in instances {
            self.tend_move(&instance);
        }
    }

    fn tend_move(&mut self, instance: &SmolStr) {
        let now_ms = self.now.steady_ms;
        let Some(planned) = self.moves.under_way.get(instance).cloned() else {
            return;
        };
        match planned.phase {
            Phase::Emptying { since_ms } => {
                let handle = self.worker_on(instance);
                if handle.is_none_or(|handle| self.is_empty(handle)) {
                    self.order_move(instance, planned);
                } else if now_ms >= since_ms + EMPTYING_PATIENCE_MS {
                    self.give_up_move(instance, "not-empty");
                }
            }
            Phase::Ordered { at_ms } if now_ms >= at_ms + ORDER_PATIENCE_MS => {
                self.give_up_move(instance, "no-answer");
            }
            Phase::UnderWay { since_ms } if now_ms >= since_ms + self.settings.move_ms => {
                let arrived = self.worker_on(instance).is_some();
                let late = now_ms >= since_ms + self.settings.move_ms + self.settings.heartbeat_ms;
                if arrived || late {
                    self.moves.under_way.remove(instance);
                    self.fleet.note_arrived(instance);
                }
            }
            Phase::Ordered { .. } | Phase::UnderWay { .. } => {}
        }
    }

    /// Returns whether an earlier leader cannot just have ordered an instance: it waits in a standby
    /// pool, or its worker has been read and has lived for some time.
    fn is_left_alone(&self, worker: Option<WorkerHandle>, is_standby: bool) -> bool {
        let Some(worker) = worker.and_then(|handle| self.workers.get(&handle)) else {
            return is_standby;
        };
        let lived_ms = self.now.wall_ms.saturating_sub(worker.life().born_ms);
        worker.adopted && lived_ms >= FIRST_ORDER_AFTER_MS
    }

    fn is_empty(&self, handle: WorkerHandle) -> bool {
        self.workers
            .get(&handle)
            .is_none_or(super::Worker::is_empty)
    }

    fn order_move(&mut self, instance: &SmolStr, planned: Move) {
        let at_ms = self.now.steady_ms;
        self.effects.push(Effect::Move {
            instance: instance.clone(),
            pool: planned.to.clone(),
        });
        let phase = Phase::Ordered { at_ms };
        self.moves
            .under_way
            .insert(instance.clone(), Move { phase, ..planned });
    }

    fn give_up_move(&mut self, instance: &SmolStr, cause: &str) {
        self.note(format!(
            "event=move_given_up instance={instance} cause={cause}"
        ));
        self.moves.under_way.remove(instance);
        self.fleet.doubt();
        let handle = self.worker_on(instance);
        if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
            worker.emptying = false;
            let pool = worker.heartbeat.pool.clone();
            self.dirty_pools.insert(pool);
        }
    }

    /// Takes the platform's answer to an order to move an instance.
    pub fn take_move_answer(
        &mut self,
        instance: &SmolStr,
        pool: &SmolStr,
        answer: InstanceAnswer,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        self.note(format!(
            "event=move_answer instance={instance} pool={pool} answer={answer:?}"
        ));
        let Some(planned) = self.moves.under_way.get(instance).cloned() else {
            self.fleet.doubt();
            return;
        };
        match answer {
            InstanceAnswer::Done => {
                self.counts.moved += 1;
                self.note_sent_away(instance, "moved", state);
                if let Some(known) = self.fleet.instances.get_mut(instance) {
                    known.pool = pool.clone();
                }
                let phase = Phase::UnderWay { since_ms: now_ms };
                self.moves
                    .under_way
                    .insert(instance.clone(), Move { phase, ..planned });
            }
            InstanceAnswer::Impossible => {
                let pair = (planned.from, planned.to);
                self.moves.forbidden.insert(pair, now_ms + FORBIDDEN_FOR_MS);
                self.give_up_move(instance, "impossible");
            }
            InstanceAnswer::Busy | InstanceAnswer::Fenced => self.give_up_move(instance, "busy"),
            // The order may have been carried out; the list will tell.
            InstanceAnswer::Unknown => self.fleet.doubt(),
        }
    }
}
