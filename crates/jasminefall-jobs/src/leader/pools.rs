//! Which instances change their pool.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::fleet::InstanceAnswer;
use super::{Effect, Leader, WorkerHandle};
use crate::policy::pools::{PoolDemand, divide};
use crate::state::JobsState;

/// How often pools are compared, in milliseconds; a tenth of what a move takes.
const PLAN_INTERVAL_MS: u64 = 150;
/// How long a leader waits before its first order to an instance, in milliseconds: an earlier leader
/// may have ordered just before, and two holders must not take turns within their lease.
const FIRST_ORDER_AFTER_MS: u64 = 3_500;
/// How long an instance may stay idle before it leaves its pool, in milliseconds; at the price of an
/// instance this costs less than the two moves that it saves if it is needed again.
const IDLE_BEFORE_LEAVING_MS: u64 = 800;
/// The weight of the newest interval in the rate at which work arrives.
const NEWEST_WEIGHT_PERCENT: u64 = 25;
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

/// Follows how much work arrives for a pool.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    since_last_core_ms: u64,
    rate_cpu_millis: u64,
}

/// Holds the moves that are under way, and what they are decided by.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolPlans {
    moves: BTreeMap<SmolStr, Move>,
    arrivals: BTreeMap<SmolStr, Arrivals>,
    needed_lately: BTreeMap<SmolStr, Vec<(u64, usize)>>,
    forbidden: BTreeMap<(SmolStr, SmolStr), u64>,
    planned_at_ms: u64,
}

impl PoolPlans {
    /// Returns whether an instance is about to change its pool.
    pub(crate) fn is_moving(&self, instance: &str) -> bool {
        self.moves.contains_key(instance)
    }

    /// Returns whether an instance is to be moved, or may be at any moment.
    pub(crate) fn awaits(&self, instance: &str) -> bool {
        let planned = self.moves.get(instance);
        planned.is_some_and(|planned| !matches!(planned.phase, Phase::UnderWay { .. }))
    }

    /// Notes work that a client has asked for, accepted or not.
    pub(crate) fn note_arrival(&mut self, pool: &SmolStr, work_core_ms: u64) {
        self.arrivals
            .entry(pool.clone())
            .or_default()
            .since_last_core_ms += work_core_ms;
    }

    /// Returns how many instances are on their way to a pool.
    pub(crate) fn coming(&self, pool: &str) -> usize {
        self.moves.values().filter(|known| known.to == pool).count()
    }
}

impl Leader {
    /// Compares the pools and moves instances to where they are needed.
    pub(super) fn tend_pools(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        self.tend_moves();
        let passed_ms = now_ms.saturating_sub(self.pool_plans.planned_at_ms);
        if passed_ms < PLAN_INTERVAL_MS {
            return;
        }
        self.pool_plans.planned_at_ms = now_ms;
        for arrivals in self.pool_plans.arrivals.values_mut() {
            let newest =
                std::mem::take(&mut arrivals.since_last_core_ms) * 1_000 / passed_ms.max(1);
            let kept = arrivals.rate_cpu_millis * (100 - NEWEST_WEIGHT_PERCENT);
            arrivals.rate_cpu_millis = (kept + newest * NEWEST_WEIGHT_PERCENT) / 100;
        }
        if self.may_order_instances() && self.fleet.is_listed() {
            self.plan_moves(state);
        }
    }

    /// Returns whether no order of an earlier leader about an instance can be under way.
    pub(super) const fn may_order_instances(&self) -> bool {
        self.first_run == 0 || self.now.steady_ms >= self.leads_since_ms + FIRST_ORDER_AFTER_MS
    }

    fn plan_moves(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let pools = state
            .configuration
            .pools
            .iter()
            .filter(|pool| !pool.standby);
        let pools: Vec<SmolStr> = pools.map(|pool| pool.name.clone()).collect();
        let standby = state.configuration.pools.iter().find(|pool| pool.standby);
        let Some(standby) = standby.map(|pool| pool.name.clone()) else {
            return;
        };
        let demands: Vec<PoolDemand> = pools.iter().map(|pool| self.demand(pool)).collect();
        let mut needed = Vec::with_capacity(pools.len());
        for (pool, demand) in pools.iter().zip(&demands) {
            let lately = self
                .pool_plans
                .needed_lately
                .entry(pool.clone())
                .or_default();
            lately.retain(|(at_ms, _)| now_ms < at_ms + IDLE_BEFORE_LEAVING_MS);
            lately.push((now_ms, demand.needed()));
            needed.push(lately.iter().map(|(_, needed)| *needed).max().unwrap_or(0));
        }
        let spare = self.instances_in(&standby).len();
        let total = spare + demands.iter().map(|demand| demand.instances).sum::<usize>();
        let wanted = divide(&needed, total);
        let lacking =
            |position: usize| wanted[position].saturating_sub(demands[position].instances);
        let mut surplus: Vec<(SmolStr, usize)> = Vec::new();
        for (position, pool) in pools.iter().enumerate() {
            let over = demands[position].instances.saturating_sub(wanted[position]);
            surplus.push((pool.clone(), over));
        }
        for (position, pool) in pools.iter().enumerate() {
            for _ in 0..lacking(position) {
                if self.move_one(&standby, pool) {
                    continue;
                }
                let giver = surplus
                    .iter_mut()
                    .filter(|(from, over)| *over > 0 && from != pool);
                let Some((from, over)) = giver.max_by_key(|(_, over)| *over) else {
                    break;
                };
                *over -= 1;
                let from = from.clone();
                self.move_one(&from, pool);
            }
        }
        for (pool, over) in surplus {
            for _ in 0..over {
                if !self.move_one(&pool, &standby) {
                    break;
                }
            }
        }
    }

    /// Returns the instances of a pool that are up and stay there.
    fn instances_in(&self, pool: &str) -> Vec<SmolStr> {
        let staying = self.fleet.instances.values().filter(|known| {
            known.pool == pool
                && known.up
                && !self.pool_plans.is_moving(&known.instance)
                && !self.upkeep.is_under_way(&known.instance)
        });
        staying.map(|known| known.instance.clone()).collect()
    }

    /// Returns how many instances wait in the standby pools.
    pub(super) fn standby_instances(&self, state: &JobsState) -> usize {
        let standby = state.configuration.pools.iter().filter(|pool| pool.standby);
        standby
            .map(|pool| self.instances_in(&pool.name).len())
            .sum()
    }

    fn demand(&self, pool: &SmolStr) -> PoolDemand {
        let staying = self.instances_in(pool);
        let mut demand = PoolDemand {
            instances: staying.len() + self.pool_plans.coming(pool),
            ..PoolDemand::default()
        };
        for handle in self.by_pool.get(pool).into_iter().flatten() {
            let Some(worker) = self.workers.get(handle) else {
                continue;
            };
            demand.pinned += usize::from(worker.lasting_runs > 0);
            let capacity = worker.heartbeat.capacity.cpu_millis;
            demand.instance_cpu_millis = demand.instance_cpu_millis.max(capacity);
            for task in worker.runs.keys() {
                let Some(step) = self.steps.get(&task.step_id()) else {
                    continue;
                };
                let cpu_millis = step.step().counted().cpu_millis;
                if step.step().long_running {
                    demand.lasting_cpu_millis += cpu_millis;
                } else {
                    demand.ready_cpu_millis += cpu_millis;
                }
            }
        }
        for (_, id) in self.open_steps.get(pool).into_iter().flatten() {
            if let Some(step) = self.steps.get(id) {
                let waiting = step.waiting.len() as u64 * step.step().counted().cpu_millis;
                if step.step().long_running {
                    demand.lasting_cpu_millis += waiting;
                } else {
                    demand.ready_cpu_millis += waiting;
                }
            }
        }
        let arrivals = self
            .pool_plans
            .arrivals
            .get(pool)
            .copied()
            .unwrap_or_default();
        demand.arriving_cpu_millis = arrivals.rate_cpu_millis;
        demand
    }

    /// Begins to move one instance; returns whether there was one to move.
    fn move_one(&mut self, from: &SmolStr, to: &SmolStr) -> bool {
        let now_ms = self.now.steady_ms;
        let pair = (from.clone(), to.clone());
        let forbidden = self.pool_plans.forbidden.get(&pair);
        if forbidden.is_some_and(|until_ms| now_ms < *until_ms) {
            return false;
        }
        let ranked = self.instances_in(from).into_iter().filter_map(|instance| {
            let worker = self.worker_on(&instance);
            let rank = match worker.and_then(|handle| self.workers.get(&handle)) {
                Some(worker) if worker.heartbeat.draining || worker.emptying => return None,
                Some(worker) if worker.lasting_runs > 0 => return None,
                Some(worker) => worker.used.cpu_millis,
                None => 0,
            };
            Some((rank, instance, worker))
        });
        let Some((used_cpu_millis, instance, worker)) = ranked.min() else {
            return false;
        };
        if let Some(worker) = worker.and_then(|handle| self.workers.get_mut(&handle)) {
            worker.emptying = true;
        }
        self.note(format!(
            "event=move_decided instance={instance} from={from} to={to} used_cpu_millis={used_cpu_millis}"
        ));
        let planned = Move {
            from: from.clone(),
            to: to.clone(),
            phase: Phase::Emptying { since_ms: now_ms },
        };
        self.pool_plans.moves.insert(instance.clone(), planned);
        self.tend_move(&instance);
        true
    }

    fn tend_moves(&mut self) {
        let instances: Vec<_> = self.pool_plans.moves.keys().cloned().collect();
        for instance in instances {
            self.tend_move(&instance);
        }
    }

    fn tend_move(&mut self, instance: &SmolStr) {
        let now_ms = self.now.steady_ms;
        let Some(planned) = self.pool_plans.moves.get(instance).cloned() else {
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
                    self.pool_plans.moves.remove(instance);
                }
            }
            Phase::Ordered { .. } | Phase::UnderWay { .. } => {}
        }
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
        self.pool_plans
            .moves
            .insert(instance.clone(), Move { phase, ..planned });
    }

    fn give_up_move(&mut self, instance: &SmolStr, cause: &str) {
        self.note(format!(
            "event=move_given_up instance={instance} cause={cause}"
        ));
        self.pool_plans.moves.remove(instance);
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
        let Some(planned) = self.pool_plans.moves.get(instance).cloned() else {
            self.fleet.doubt();
            return;
        };
        match answer {
            InstanceAnswer::Done => {
                self.counts.moved += 1;
                if let Some(handle) = self.worker_on(instance) {
                    self.end_life(handle, "moved", state);
                }
                if let Some(known) = self.fleet.instances.get_mut(instance) {
                    known.pool = pool.clone();
                    known.worker = None;
                }
                let phase = Phase::UnderWay { since_ms: now_ms };
                self.pool_plans
                    .moves
                    .insert(instance.clone(), Move { phase, ..planned });
            }
            InstanceAnswer::Impossible => {
                let pair = (planned.from, planned.to);
                self.pool_plans
                    .forbidden
                    .insert(pair, now_ms + FORBIDDEN_FOR_MS);
                self.give_up_move(instance, "impossible");
            }
            InstanceAnswer::Busy | InstanceAnswer::Fenced => self.give_up_move(instance, "busy"),
            // The order may have been carried out; the list will tell.
            InstanceAnswer::Unknown => self.fleet.doubt(),
        }
    }
}
