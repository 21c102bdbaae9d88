//! How many instances each pool should have, and where they come from.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use super::moves::MovableInstances;
use super::{Leader, Now};
use crate::ids::JobKey;
use crate::job::{Resources, Work};
use crate::policy::pools::{PoolDemand, divide_instances};
use crate::policy::surges::{ArrivalSample, SurgeEvent, SurgeForecast};
use crate::state::{Command, JobsState, SurgeRecord};

/// How often pools are compared, in milliseconds; a tenth of what a move takes.
const PLAN_INTERVAL_MS: u64 = 150;
/// How long an instance stays idle before it may go to another pool that lacks it, in milliseconds;
/// jobs come in bunches, and a move back takes longer than the next bunch.
const MIN_IDLE_BEFORE_MOVE_MS: u64 = 800;
/// The weight of the newest interval in the rate at which work arrives; averages over a second and
/// a half, since jobs differ much in size. The first seconds of a surge are forecast instead.
const NEWEST_WEIGHT_PERCENT: u64 = 10;
/// How long before a surge is expected its pool is made ready, in milliseconds beyond what a move
/// takes; an instance on its way may first have to end what it runs.
const SURGE_LEAD_MARGIN_MS: u64 = 500;
/// How long an instance may idle at the price of the two moves that bring it back, in milliseconds,
/// which is how long it stays before it goes to the standby pool; from the prices of the sites,
/// where a move with its call costs as much as 1.35 s in a pool.
const BREAK_EVEN_IDLE_MS: u64 = 2_700;
/// How often the sizes of the pools are logged, in milliseconds.
const POOL_LOG_INTERVAL_MS: u64 = 1_000;

/// How long a job that was refused is remembered, in milliseconds, so that its client's next attempt
/// doesn't count as more work; longer than clients keep trying.
const REFUSAL_RETENTION_MS: u64 = 10_000;

/// Follows how much work arrives for a pool.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    jobs: u32,
    since_last: Work,
    rate: Resources,
}

/// Holds what moves are decided by.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolPlanner {
    arrivals: BTreeMap<SmolStr, Arrivals>,
    recent_needs: BTreeMap<SmolStr, Vec<(u64, usize)>>,
    surges: SurgeForecast,
    /// Jobs that have arrived and were refused, and when.
    refused: HashMap<JobKey, u64>,
    planned_at_ms: u64,
    logged_at_ms: u64,
    /// Whether the pools need more instances than there are.
    has_shortage: bool,
}

impl PoolPlanner {
    /// Creates the plans of a new leader, which knows the surges that an earlier one has recorded.
    pub(crate) fn resumed(now: Now, state: &JobsState) -> Self {
        if state.leaderships <= 1 {
            return Self::default();
        }
        let recorded = state.surges.iter().map(|(pool, surge)| {
            let ago_ms = now.wall_ms.saturating_sub(surge.began_at_ms);
            let began_at_ms = now.steady_ms.saturating_sub(ago_ms);
            (pool.clone(), began_at_ms, surge.peak_millis)
        });
        Self {
            surges: SurgeForecast::resumed(now.steady_ms, recorded),
            ..Self::default()
        }
    }

    /// Returns whether the pools need more instances than there are.
    pub(crate) const fn has_shortage(&self) -> bool {
        self.has_shortage
    }

    /// Records work that a client has asked for, accepted or not, at its first attempt.
    pub(crate) fn record_arrival(&mut self, key: JobKey, pool: &SmolStr, work: &Work) {
        if self.refused.contains_key(&key) {
            return;
        }
        let arrivals = self.arrivals.entry(pool.clone()).or_default();
        arrivals.jobs += 1;
        arrivals.since_last = arrivals.since_last.plus(work);
    }

    /// Records that a job was refused for now.
    pub(crate) fn record_refusal(&mut self, key: JobKey, now_ms: u64) {
        self.refused.insert(key, now_ms);
    }
}

impl Leader {
    /// Compares the pools and moves instances to where they are needed.
    pub(super) fn rebalance_pools(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        self.advance_moves();
        let passed_ms = now_ms.saturating_sub(self.pool_planner.planned_at_ms);
        if passed_ms < PLAN_INTERVAL_MS {
            return;
        }
        self.pool_planner.planned_at_ms = now_ms;
        let refused = &mut self.pool_planner.refused;
        refused.retain(|_, at_ms| now_ms < *at_ms + REFUSAL_RETENTION_MS);
        let pools = self.pools_in_use(state);
        let mut demands: Vec<PoolDemand> = pools.iter().map(|pool| self.demand(pool)).collect();
        for (pool, demand) in pools.iter().zip(&mut demands) {
            self.record_arrivals(pool, demand, (passed_ms, pools.len()));
        }
        if self.fleet.is_listed() && self.settings.mechanisms.moves {
            self.plan_moves(&pools, &demands, state);
        }
    }

    /// Takes up what has arrived for a pool since the last call.
    fn record_arrivals(
        &mut self,
        pool: &SmolStr,
        demand: &mut PoolDemand,
        (passed_ms, pools): (u64, usize),
    ) {
        let arrivals = self.pool_planner.arrivals.entry(pool.clone()).or_default();
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
        let sample = ArrivalSample {
            within_ms: passed_ms,
            jobs,
            millis: demand.millis_for(&newest),
            steady_millis,
            total_instances: self.fleet.instances.len(),
            pools,
        };
        let surges = &mut self.pool_planner.surges;
        if let Some(surge_event) = surges.record(self.now.steady_ms, pool, &sample) {
            let peak_millis = surges.peak_millis(pool).unwrap_or(0);
            let event = match surge_event {
                SurgeEvent::Started => "rise_began",
                SurgeEvent::Ended => "rise_ended",
            };
            self.log_event(format!(
                "event={event} pool={pool} arriving_millis={steady_millis} \
                 height_millis={peak_millis}"
            ));
            self.persist_surge(pool);
        }
    }

    /// Lets a new leader know of the latest surge of a pool.
    fn persist_surge(&mut self, pool: &SmolStr) {
        let Some((began_at_ms, peak_millis)) = self.pool_planner.surges.latest_surge(pool) else {
            return;
        };
        let ago_ms = self.now.steady_ms.saturating_sub(began_at_ms);
        self.propose(Command::RecordSurge {
            pool: pool.clone(),
            rise: SurgeRecord {
                began_at_ms: self.now.wall_ms.saturating_sub(ago_ms),
                peak_millis,
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
            let (min_before_move, min_before_standby) = self.needed_instances(pool, demand);
            needed.push(min_before_move);
            kept.push(min_before_standby);
        }
        let standby_count = self.stable_instances(&standby).count();
        let total = standby_count + demands.iter().map(|demand| demand.instances).sum::<usize>();
        let mut wanted = divide_instances(&needed, total);
        self.pool_planner.has_shortage = needed.iter().sum::<usize>() > total;
        let lead_ms = self.settings.move_ms + SURGE_LEAD_MARGIN_MS;
        let expected = self.surges_expected_within(lead_ms, pools);
        self.prepare_for_surges(pools, demands, &expected, total, &mut wanted);
        if now_ms >= self.pool_planner.logged_at_ms + POOL_LOG_INTERVAL_MS {
            self.pool_planner.logged_at_ms = now_ms;
            for ((pool, demand), wanted) in pools.iter().zip(demands).zip(&wanted) {
                self.log_pool(pool, demand, *wanted, expected.contains(pool));
            }
        }
        // An instance that waits a little goes to the next surge in one move instead of two.
        let near_ms = lead_ms + BREAK_EVEN_IDLE_MS / 2;
        let is_surge_near = self.pool_planner.surges.is_before_next_surge(now_ms)
            && !self.surges_expected_within(near_ms, pools).is_empty();
        self.count_instance_use(demands, &wanted);
        let mut movable = MovableInstances::default();
        let surplus = self.fill_shortfalls(pools, demands, &wanted, (&standby, &mut movable));
        if is_surge_near {
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

    /// Returns the pools of which one is expected to surge within `lead_ms`.
    fn surges_expected_within(&self, lead_ms: u64, pools: &[SmolStr]) -> Vec<SmolStr> {
        if !self.settings.mechanisms.surge_prediction {
            return Vec::new();
        }
        let surges = &self.pool_planner.surges;
        surges.expected_pools(self.now.steady_ms, lead_ms, pools)
    }

    /// Counts what the instances of the pools are there for until the next plan.
    fn count_instance_use(&mut self, demands: &[PoolDemand], wanted: &[usize]) {
        for (demand, wanted) in demands.iter().zip(wanted) {
            let uses = demand.instance_use(*wanted).times(PLAN_INTERVAL_MS);
            self.counts.instance_ms = self.counts.instance_ms.plus(&uses);
        }
    }

    /// Moves instances to the pools that lack some; returns how many each pool still has over.
    fn fill_shortfalls(
        &mut self,
        pools: &[SmolStr],
        demands: &[PoolDemand],
        wanted: &[usize],
        (standby, movable): (&SmolStr, &mut MovableInstances),
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
                let idle = self.move_surplus((pools, &mut surplus), movable, to, true);
                if !idle
                    && !self.move_one(movable, (standby, true), to, false)
                    && !self.move_surplus((pools, &mut surplus), movable, to, false)
                {
                    break;
                }
            }
        }
        surplus
    }

    /// Moves an instance to a pool from the one that has most over; returns whether there was one.
    fn move_surplus(
        &mut self,
        (pools, surplus): (&[SmolStr], &mut [usize]),
        movable: &mut MovableInstances,
        to: &SmolStr,
        only_idle: bool,
    ) -> bool {
        if !self.settings.mechanisms.direct_moves {
            return false;
        }
        let mut donors: Vec<usize> = (0..pools.len())
            .filter(|position| surplus[*position] > 0 && pools[*position] != *to)
            .collect();
        donors.sort_by_key(|position| std::cmp::Reverse(surplus[*position]));
        let donor = donors
            .into_iter()
            .find(|position| self.move_one(movable, (&pools[*position], false), to, only_idle));
        if let Some(position) = donor {
            surplus[position] -= 1;
        }
        donor.is_some()
    }

    /// Returns how many instances a pool needs for what is there, arrives and is forecast: below
    /// which it lends none, and below which it sends none to the standby pool.
    fn needed_instances(&mut self, pool: &SmolStr, demand: &PoolDemand) -> (usize, usize) {
        let now_ms = self.now.steady_ms;
        let ramp_up = self.pool_planner.surges.ramp_up_millis(now_ms, pool);
        let ramp_up = ramp_up.filter(|_| self.settings.mechanisms.surge_peaks);
        let forecast = ramp_up.map_or(0, |millis| demand.instances_with_millis(millis));
        let recent = self.pool_planner.recent_needs.entry(pool.clone());
        let recent = recent.or_default();
        recent.retain(|(at_ms, _)| now_ms < at_ms + BREAK_EVEN_IDLE_MS);
        recent.push((now_ms, demand.needed_instances().max(forecast)));
        let most_within = |within_ms: u64| {
            let within = recent
                .iter()
                .filter(|(at_ms, _)| now_ms < at_ms + within_ms);
            within.map(|(_, needed)| *needed).max().unwrap_or(0)
        };
        let min_before_move = most_within(MIN_IDLE_BEFORE_MOVE_MS);
        if self.pool_planner.surges.is_surging(pool) {
            (min_before_move, most_within(BREAK_EVEN_IDLE_MS))
        } else {
            // Between surges nothing is expected that instances could wait for.
            (min_before_move, min_before_move)
        }
    }

    /// Gives what no pool needs to those of which one is expected to surge.
    fn prepare_for_surges(
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
            let peak_millis = self.pool_planner.surges.peak_millis(pool);
            if let Some(peak_millis) = peak_millis.filter(|_| expected.contains(pool)) {
                let shortfall = demand
                    .instances_with_millis(peak_millis)
                    .saturating_sub(*wanted);
                *wanted += shortfall.min(share);
            }
        }
    }

    fn log_pool(&mut self, pool: &SmolStr, demand: &PoolDemand, wanted: usize, expected: bool) {
        let uses = demand.instance_use(wanted);
        self.log_event(format!(
            "event=pool_sized pool={pool} instances={} wanted={wanted} needed={} pinned={} \
             working={} held={} expected={} idle={} \
             lasting_millis={} ready_millis={} arriving_millis={} rise_expected={expected} moved={}",
            demand.instances,
            demand.needed_instances(),
            demand.pinned,
            uses.working,
            uses.held,
            uses.expected,
            uses.idle,
            demand.millis_for(&demand.long_running),
            demand.millis_for(&demand.ready),
            demand.millis_for(&demand.arriving),
            self.counts.moved,
        ));
    }

    /// Returns what a pool holds and what takes it up; what arrives is taken up afterwards.
    fn demand(&self, pool: &SmolStr) -> PoolDemand {
        let mut demand = PoolDemand {
            instances: self.stable_instances(pool).count() + self.moves.incoming(pool),
            ..PoolDemand::default()
        };
        for handle in self.directory.in_pool(pool) {
            let Some(worker) = self.workers.get(&handle) else {
                continue;
            };
            demand.pinned += usize::from(worker.long_running_runs > 0);
            demand.instance = demand.instance.component_max(&worker.heartbeat.capacity);
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
