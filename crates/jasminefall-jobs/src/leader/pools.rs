//! How many instances each pool should have, and where they come from.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use super::moves::Movable;
use super::{Leader, Now};
use crate::ids::JobKey;
use crate::job::{Resources, Work};
use crate::policy::pools::{PoolDemand, divide};
use crate::policy::rises::{Arrived, Rises, Turn};
use crate::state::{Command, JobsState, RiseNote};

/// How often pools are compared, in milliseconds; a tenth of what a move takes.
const PLAN_INTERVAL_MS: u64 = 150;
/// How long an instance stays idle before it may go to another pool that lacks it, in milliseconds;
/// jobs come in bunches, and a move back takes longer than the next bunch.
const IDLE_BEFORE_LENDING_MS: u64 = 800;
/// The weight of the newest interval in the rate at which work arrives; averages over a second and a
/// half, since jobs differ much in size. The first seconds of a rise are forecast instead.
const NEWEST_WEIGHT_PERCENT: u64 = 10;
/// How long before a rise is expected its pool is made ready, in milliseconds beyond what a move
/// takes; an instance on its way may first have to end what it runs.
const READY_BEFORE_MS: u64 = 500;
/// How long an instance may idle at the price of the two moves that bring it back, in milliseconds,
/// which is how long it stays before it goes to the standby pool; from the prices of the sites,
/// where a move with its call costs as much as 1.35 s in a pool.
const IDLE_WORTH_MOVES_MS: u64 = 2_700;
/// How often the sizes of the pools are logged, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// How long a job that was refused is remembered, in milliseconds, so that its client's next attempt
/// doesn't count as more work; longer than clients keep trying.
const REFUSED_FOR_MS: u64 = 10_000;

/// Follows how much work arrives for a pool.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    jobs: u32,
    since_last: Work,
    rate: Resources,
}

/// Holds what moves are decided by.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolPlans {
    arrivals: BTreeMap<SmolStr, Arrivals>,
    needed_lately: BTreeMap<SmolStr, Vec<(u64, usize)>>,
    rises: Rises,
    /// Jobs that have arrived and were refused, and when.
    refused: HashMap<JobKey, u64>,
    planned_at_ms: u64,
    logged_at_ms: u64,
    /// Whether the pools need more instances than there are.
    short: bool,
}

impl PoolPlans {
    /// Creates the plans of a new leader, which knows the rises that an earlier one has noted.
    pub(crate) fn resumed(now: Now, state: &JobsState) -> Self {
        if state.leaderships <= 1 {
            return Self::default();
        }
        let noted = state.rises.iter().map(|(pool, rise)| {
            let ago_ms = now.wall_ms.saturating_sub(rise.began_at_ms);
            let began_at_ms = now.steady_ms.saturating_sub(ago_ms);
            (pool.clone(), began_at_ms, rise.height_millis)
        });
        Self {
            rises: Rises::resumed(now.steady_ms, noted),
            ..Self::default()
        }
    }

    /// Returns whether the pools need more instances than there are.
    pub(crate) const fn is_short(&self) -> bool {
        self.short
    }

    /// Notes work that a client has asked for, accepted or not, at its first attempt.
    pub(crate) fn note_arrival(&mut self, key: JobKey, pool: &SmolStr, work: &Work) {
        if self.refused.contains_key(&key) {
            return;
        }
        let arrivals = self.arrivals.entry(pool.clone()).or_default();
        arrivals.jobs += 1;
        arrivals.since_last = arrivals.since_last.plus(work);
    }

    /// Notes that a job was refused for now.
    pub(crate) fn note_refusal(&mut self, key: JobKey, now_ms: u64) {
        self.refused.insert(key, now_ms);
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
        let refused = &mut self.pool_plans.refused;
        refused.retain(|_, at_ms| now_ms < *at_ms + REFUSED_FOR_MS);
        let pools = self.pools_in_use(state);
        let mut demands: Vec<PoolDemand> = pools.iter().map(|pool| self.demand(pool)).collect();
        for (pool, demand) in pools.iter().zip(&mut demands) {
            self.follow_arrivals(pool, demand, (passed_ms, pools.len()));
        }
        if self.fleet.is_listed() && self.settings.mechanisms.moves {
            self.plan_moves(&pools, &demands, state);
        }
    }

    /// Takes up what has arrived for a pool since the last call.
    fn follow_arrivals(
        &mut self,
        pool: &SmolStr,
        demand: &mut PoolDemand,
        (passed_ms, pools): (u64, usize),
    ) {
        let arrivals = self.pool_plans.arrivals.entry(pool.clone()).or_default();
        let jobs = std::mem::take(&mut arrivals.jobs);
        let newest = std::mem::take(&mut arrivals.since_last).rate(passed_ms);
        let weigh = |kept: u64, newest: u64| {
            (kept * (100 - NEWEST_WEIGHT_PERCENT) + newest * NEWEST_WEIGHT_PERCENT) / 100
        };
        arrivals.rate = Resources {
            cpu_millis: weigh(arrivals.rate.cpu_millis, newest.cpu_millis),
            memory_mb: weigh(arrivals.rate.memory_mb, newest.memory_mb),
            gpus: 0,
        };
        demand.arriving = arrivals.rate;
        let steady_millis = demand.millis_for(&demand.arriving);
        let arrived = Arrived {
            within_ms: passed_ms,
            jobs,
            millis: demand.millis_for(&newest),
            steady_millis,
            total_instances: self.fleet.instances.len(),
            pools,
        };
        let rises = &mut self.pool_plans.rises;
        if let Some(turn) = rises.note(self.now.steady_ms, pool, &arrived) {
            let height_millis = rises.height_millis(pool).unwrap_or(0);
            let event = match turn {
                Turn::Rise => "rise_began",
                Turn::Fall => "rise_ended",
            };
            self.note(format!(
                "event={event} pool={pool} arriving_millis={steady_millis} \
                 height_millis={height_millis}"
            ));
            self.note_rise(pool);
        }
    }

    /// Lets a new leader know of the latest rise of a pool.
    fn note_rise(&mut self, pool: &SmolStr) {
        let Some((began_at_ms, height_millis)) = self.pool_plans.rises.latest(pool) else {
            return;
        };
        let ago_ms = self.now.steady_ms.saturating_sub(began_at_ms);
        self.propose(Command::NoteRise {
            pool: pool.clone(),
            rise: RiseNote {
                began_at_ms: self.now.wall_ms.saturating_sub(ago_ms),
                height_millis,
            },
        });
    }

    fn pools_in_use(&self, state: &JobsState) -> Vec<SmolStr> {
        let pools = state.configuration.pools.iter();
        let in_use = pools.filter(|pool| !pool.standby);
        in_use.map(|pool| pool.name.clone()).collect()
    }

    fn plan_moves(&mut self, pools: &[SmolStr], demands: &[PoolDemand], state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let standby = state.configuration.pools.iter().find(|pool| pool.standby);
        let Some(standby) = standby.map(|pool| pool.name.clone()) else {
            return;
        };
        let mut needed = Vec::with_capacity(pools.len());
        let mut kept = Vec::with_capacity(pools.len());
        for (pool, demand) in pools.iter().zip(demands) {
            let (lending, leaving) = self.needed(pool, demand);
            needed.push(lending);
            kept.push(leaving);
        }
        let spare = self.staying(&standby).count();
        let total = spare + demands.iter().map(|demand| demand.instances).sum::<usize>();
        let mut wanted = divide(&needed, total);
        self.pool_plans.short = needed.iter().sum::<usize>() > total;
        let lead_ms = self.settings.move_ms + READY_BEFORE_MS;
        let expected = self.rises_within(lead_ms, pools);
        self.make_ready(pools, demands, &expected, total, &mut wanted);
        if now_ms >= self.pool_plans.logged_at_ms + LOG_INTERVAL_MS {
            self.pool_plans.logged_at_ms = now_ms;
            for ((pool, demand), wanted) in pools.iter().zip(demands).zip(&wanted) {
                self.log_pool(pool, demand, *wanted, expected.contains(pool));
            }
        }
        // An instance that waits a little goes to the next rise in one move instead of two.
        let near_ms = lead_ms + IDLE_WORTH_MOVES_MS / 2;
        let is_rise_near = self.pool_plans.rises.is_before_next(now_ms)
            && !self.rises_within(near_ms, pools).is_empty();
        self.count_uses(demands, &wanted);
        let mut movable = Movable::default();
        let surplus = self.supply(pools, demands, &wanted, (&standby, &mut movable));
        if is_rise_near {
            return;
        }
        for (position, pool) in pools.iter().enumerate() {
            let unneeded = demands[position].instances.saturating_sub(kept[position]);
            for _ in 0..unneeded.min(surplus[position]) {
                if !self.move_one(&mut movable, (pool, false), &standby, false) {
                    break;
                }
            }
        }
    }

    /// Returns the pools of which one is expected to rise within `lead_ms`.
    fn rises_within(&self, lead_ms: u64, pools: &[SmolStr]) -> Vec<SmolStr> {
        if !self.settings.mechanisms.expected_rises {
            return Vec::new();
        }
        let rises = &self.pool_plans.rises;
        rises.expected(self.now.steady_ms, lead_ms, pools)
    }

    /// Counts what the instances of the pools are there for until the next plan.
    fn count_uses(&mut self, demands: &[PoolDemand], wanted: &[usize]) {
        for (demand, wanted) in demands.iter().zip(wanted) {
            let uses = demand.uses(*wanted).times(PLAN_INTERVAL_MS);
            self.counts.instance_ms = self.counts.instance_ms.plus(&uses);
        }
    }

    /// Moves instances to the pools that lack some; returns how many each pool still has over.
    fn supply(
        &mut self,
        pools: &[SmolStr],
        demands: &[PoolDemand],
        wanted: &[usize],
        (standby, movable): (&SmolStr, &mut Movable),
    ) -> Vec<usize> {
        let held = demands.iter().map(|demand| demand.instances);
        let compared: Vec<(usize, usize)> = held.zip(wanted.iter().copied()).collect();
        let over = compared
            .iter()
            .map(|(held, wanted)| held.saturating_sub(*wanted));
        let mut surplus: Vec<usize> = over.collect();
        for (to, (held, wanted)) in pools.iter().zip(compared) {
            for _ in 0..wanted.saturating_sub(held) {
                // One move instead of two, where an instance has nothing to do.
                let idle = self.lend((pools, &mut surplus), movable, to, true);
                if !idle
                    && !self.move_one(movable, (standby, true), to, false)
                    && !self.lend((pools, &mut surplus), movable, to, false)
                {
                    break;
                }
            }
        }
        surplus
    }

    /// Moves an instance to a pool from the one that has most over; returns whether there was one.
    fn lend(
        &mut self,
        (pools, surplus): (&[SmolStr], &mut [usize]),
        movable: &mut Movable,
        to: &SmolStr,
        only_idle: bool,
    ) -> bool {
        if !self.settings.mechanisms.direct_moves {
            return false;
        }
        let mut givers: Vec<usize> = (0..pools.len())
            .filter(|position| surplus[*position] > 0 && pools[*position] != *to)
            .collect();
        givers.sort_by_key(|position| std::cmp::Reverse(surplus[*position]));
        let lent = givers
            .into_iter()
            .find(|position| self.move_one(movable, (&pools[*position], false), to, only_idle));
        if let Some(position) = lent {
            surplus[position] -= 1;
        }
        lent.is_some()
    }

    /// Returns how many instances a pool needs for what is there, arrives and is forecast: below
    /// which it lends none, and below which it sends none to the standby pool.
    fn needed(&mut self, pool: &SmolStr, demand: &PoolDemand) -> (usize, usize) {
        let now_ms = self.now.steady_ms;
        let building_up = self.pool_plans.rises.building_up_millis(now_ms, pool);
        let building_up = building_up.filter(|_| self.settings.mechanisms.rise_heights);
        let forecast = building_up.map_or(0, |millis| demand.with_millis(millis));
        let lately = self.pool_plans.needed_lately.entry(pool.clone());
        let lately = lately.or_default();
        lately.retain(|(at_ms, _)| now_ms < at_ms + IDLE_WORTH_MOVES_MS);
        lately.push((now_ms, demand.needed().max(forecast)));
        let most_within = |within_ms: u64| {
            let within = lately
                .iter()
                .filter(|(at_ms, _)| now_ms < at_ms + within_ms);
            within.map(|(_, needed)| *needed).max().unwrap_or(0)
        };
        let lends_below = most_within(IDLE_BEFORE_LENDING_MS);
        if self.pool_plans.rises.is_risen(pool) {
            (lends_below, most_within(IDLE_WORTH_MOVES_MS))
        } else {
            // Between rises nothing is expected that instances could wait for.
            (lends_below, lends_below)
        }
    }

    /// Gives what no pool needs to those of which one is expected to rise.
    fn make_ready(
        &self,
        pools: &[SmolStr],
        demands: &[PoolDemand],
        expected: &[SmolStr],
        total: usize,
        wanted: &mut [usize],
    ) {
        let free = total.saturating_sub(wanted.iter().sum());
        let share = free / expected.len().max(1);
        for ((pool, demand), wanted) in pools.iter().zip(demands).zip(wanted) {
            let height_millis = self.pool_plans.rises.height_millis(pool);
            if let Some(height_millis) = height_millis.filter(|_| expected.contains(pool)) {
                let lacks = demand.with_millis(height_millis).saturating_sub(*wanted);
                *wanted += lacks.min(share);
            }
        }
    }

    fn log_pool(&mut self, pool: &SmolStr, demand: &PoolDemand, wanted: usize, expected: bool) {
        let uses = demand.uses(wanted);
        self.note(format!(
            "event=pool_sized pool={pool} instances={} wanted={wanted} needed={} pinned={} \
             working={} held={} expected={} idle={} \
             lasting_millis={} ready_millis={} arriving_millis={} rise_expected={expected} moved={}",
            demand.instances,
            demand.needed(),
            demand.pinned,
            uses.working,
            uses.held,
            uses.expected,
            uses.idle,
            demand.millis_for(&demand.lasting),
            demand.millis_for(&demand.ready),
            demand.millis_for(&demand.arriving),
            self.counts.moved,
        ));
    }

    /// Returns what a pool holds and what takes it up; what arrives is taken up afterwards.
    fn demand(&self, pool: &SmolStr) -> PoolDemand {
        let mut demand = PoolDemand {
            instances: self.staying(pool).count() + self.moves.coming(pool),
            ..PoolDemand::default()
        };
        for handle in self.directory.in_pool(pool) {
            let Some(worker) = self.workers.get(&handle) else {
                continue;
            };
            demand.pinned += usize::from(worker.lasting_runs > 0);
            demand.instance = demand.instance.most(&worker.heartbeat.capacity);
            for task in worker.runs.keys() {
                let Some(step) = self.steps.get(&task.step_id()) else {
                    continue;
                };
                demand.add(step.step(), 1);
            }
        }
        for (_, id) in self.open_steps.get(pool).into_iter().flatten() {
            if let Some(step) = self.steps.get(id) {
                demand.add_waiting(step.step(), step.waiting.len() as u64);
            }
        }
        demand
    }
}
