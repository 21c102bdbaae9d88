//! Target sizes of the pools, and the moves that reach them.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use super::moves::MovableInstances;
use super::{Leader, Now};
use crate::ids::JobKey;
use crate::job::{Resources, Work};
use crate::policy::pools::{PoolDemand, divide_instances};
use crate::policy::surges::{ArrivalSample, SurgeEvent, SurgeForecast};
use crate::state::{Command, JobsState, SurgeRecord};

/// Interval at which the pool sizes are planned, in milliseconds; a tenth of the default duration
/// of a move.
const PLAN_INTERVAL_MS: u64 = 150;
/// Time that an instance must be unneeded before it may move to another pool that is short, in
/// milliseconds, since jobs arrive in bursts and a move back would end too late for the next burst.
const MIN_IDLE_BEFORE_MOVE_MS: u64 = 800;
/// Weight of the newest interval in the arrival rate, in percent; averages over 1.5 s, since jobs
/// differ much in size. The first seconds of a surge are forecast instead.
const NEWEST_WEIGHT_PERCENT: u64 = 10;
/// Time before an expected surge at which its pool is prepared, in milliseconds, in addition to the
/// time of a move, since an instance may have to be evacuated first.
const SURGE_LEAD_MARGIN_MS: u64 = 500;
/// Idle time that costs as much as the move to the standby pool and back, in milliseconds; during a
/// surge an unneeded instance is kept for this time before it moves there. By the prices of the
/// sites, a move with its request costs as much as 1.35 s in a pool.
const BREAK_EVEN_IDLE_MS: u64 = 2_700;
/// Interval at which the pool sizes are logged, in milliseconds.
const POOL_LOG_INTERVAL_MS: u64 = 1_000;
/// Time for which a refused job is recorded, in milliseconds, so that a retry of its client doesn't
/// count as additional work; longer than clients retry.
const REFUSAL_RETENTION_MS: u64 = 10_000;

/// Holds the work that arrives for a pool.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    /// Jobs since the last plan.
    jobs: u32,
    /// Work since the last plan.
    since_last_plan: Work,
    /// The moving average of the resources that the arriving work occupies.
    rate: Resources,
}

/// Holds the observations from which the pool sizes are planned.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolPlanner {
    arrivals: BTreeMap<SmolStr, Arrivals>,
    /// The time of each recent plan and the number of instances that the pool then needed.
    recent_needs: BTreeMap<SmolStr, Vec<(u64, usize)>>,
    surges: SurgeForecast,
    /// Jobs that were refused, and when.
    refused: HashMap<JobKey, u64>,
    planned_at_ms: u64,
    logged_at_ms: u64,
    /// Whether the pools together need more instances than exist.
    has_shortage: bool,
}

impl PoolPlanner {
    /// Creates the planner of a new leader with the surges that earlier leaders have recorded.
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

    /// Returns whether the pools together need more instances than exist.
    pub(crate) const fn has_shortage(&self) -> bool {
        self.has_shortage
    }

    /// Records the work of a submitted job, accepted or not; ignores retries of a refused one.
    pub(crate) fn record_arrival(&mut self, key: JobKey, pool: &SmolStr, work: &Work) {
        if self.refused.contains_key(&key) {
            return;
        }
        let arrivals = self.arrivals.entry(pool.clone()).or_default();
        arrivals.jobs += 1;
        arrivals.since_last_plan = arrivals.since_last_plan.plus(work);
    }

    /// Records that a job was refused, so that its retries are ignored for a time.
    pub(crate) fn record_refusal(&mut self, key: JobKey, now_ms: u64) {
        self.refused.insert(key, now_ms);
    }
}

impl Leader {
    /// Plans the pool sizes, at intervals, and moves instances accordingly.
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

    /// Adds the work that has arrived for a pool since the last plan to its arrival rate, its
    /// demand and the surge forecast.
    fn record_arrivals(
        &mut self,
        pool: &SmolStr,
        demand: &mut PoolDemand,
        (passed_ms, pool_count): (u64, usize),
    ) {
        let arrivals = self.pool_planner.arrivals.entry(pool.clone()).or_default();
        let jobs = std::mem::take(&mut arrivals.jobs);
        let newest = std::mem::take(&mut arrivals.since_last_plan).rate(passed_ms);
        let weigh = |earlier: u64, newest: u64| {
            (earlier * (100 - NEWEST_WEIGHT_PERCENT) + newest * NEWEST_WEIGHT_PERCENT) / 100
        };
        arrivals.rate = Resources {
            cpu_millis: weigh(arrivals.rate.cpu_millis, newest.cpu_millis),
            memory_mb: weigh(arrivals.rate.memory_mb, newest.memory_mb),
            gpus: 0,
        };
        demand.arriving = arrivals.rate;
        let steady_demand_millis = demand.millis_for(&demand.arriving);
        let sample = ArrivalSample {
            within_ms: passed_ms,
            jobs,
            demand_millis: demand.millis_for(&newest),
            steady_demand_millis,
            total_instances: self.fleet.instances.len(),
            pools: pool_count,
        };
        let surges = &mut self.pool_planner.surges;
        if let Some(surge_event) = surges.record(self.now.steady_ms, pool, &sample) {
            let peak_millis = surges.peak_millis(pool).unwrap_or(0);
            let event = match surge_event {
                SurgeEvent::Started => "rise_began",
                SurgeEvent::Ended => "rise_ended",
            };
            self.log_event(format!(
                "event={event} pool={pool} arriving_millis={steady_demand_millis} \
                 height_millis={peak_millis}"
            ));
            self.persist_surge(pool);
        }
    }

    /// Records the latest surge of a pool in the replicated state, for later leaders.
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
        let mut needed_before_standby = Vec::with_capacity(pools.len());
        for (pool, demand) in pools.iter().zip(demands) {
            let (min_before_move, min_before_standby) = self.needed_instances(pool, demand);
            needed.push(min_before_move);
            needed_before_standby.push(min_before_standby);
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
        // Shortly before the next surge no instance moves to the standby pool, since an instance
        // that stays reaches the pool of the surge in one move instead of two.
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
            let unneeded = demands[position]
                .instances
                .saturating_sub(needed_before_standby[position]);
            for _ in 0..unneeded.min(surplus[position]) {
                if !self.start_move(&mut movable, (pool, false), &standby, false) {
                    break;
                }
            }
        }
    }

    /// Returns the candidates for the next surge, if it is expected within `lead_ms`.
    fn surges_expected_within(&self, lead_ms: u64, pools: &[SmolStr]) -> Vec<SmolStr> {
        if !self.settings.mechanisms.surge_prediction {
            return Vec::new();
        }
        let surges = &self.pool_planner.surges;
        surges.expected_pools(self.now.steady_ms, lead_ms, pools)
    }

    /// Adds the use of the instances for the time until the next plan to the counters.
    fn count_instance_use(&mut self, demands: &[PoolDemand], wanted: &[usize]) {
        for (demand, wanted) in demands.iter().zip(wanted) {
            let uses = demand.instance_use(*wanted).times(PLAN_INTERVAL_MS);
            self.counts.instance_ms = self.counts.instance_ms.plus(&uses);
        }
    }

    /// Moves instances to the pools that are short; returns the surplus that each pool still has.
    fn fill_shortfalls(
        &mut self,
        pools: &[SmolStr],
        demands: &[PoolDemand],
        wanted: &[usize],
        (standby, movable): (&SmolStr, &mut MovableInstances),
    ) -> Vec<usize> {
        let current = demands.iter().map(|demand| demand.instances);
        let sizes: Vec<(usize, usize)> = current.zip(wanted.iter().copied()).collect();
        let surplus = sizes
            .iter()
            .map(|(current, wanted)| current.saturating_sub(*wanted));
        let mut surplus: Vec<usize> = surplus.collect();
        for (to, (current, wanted)) in pools.iter().zip(sizes) {
            for _ in 0..wanted.saturating_sub(current) {
                // Idle instances of other pools come first, since they need one move instead of
                // two.
                let moved_idle = self.move_surplus((pools, &mut surplus), movable, to, true);
                if !moved_idle
                    && !self.start_move(movable, (standby, true), to, false)
                    && !self.move_surplus((pools, &mut surplus), movable, to, false)
                {
                    break;
                }
            }
        }
        surplus
    }

    /// Moves an instance to a pool from the pool with the largest surplus that has a movable one;
    /// returns whether a move was begun.
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
            .find(|position| self.start_move(movable, (&pools[*position], false), to, only_idle));
        if let Some(position) = donor {
            surplus[position] -= 1;
        }
        donor.is_some()
    }

    /// Returns two numbers of instances that a pool needs for its present, arriving and forecast
    /// work.
    ///
    /// The first number decides on moves to other pools, the second on moves to the standby pool.
    /// During a surge the second covers [`BREAK_EVEN_IDLE_MS`], so that instances stay longer.
    fn needed_instances(&mut self, pool: &SmolStr, demand: &PoolDemand) -> (usize, usize) {
        let now_ms = self.now.steady_ms;
        let ramp_up_millis = self.pool_planner.surges.ramp_up_millis(now_ms, pool);
        let ramp_up_millis = ramp_up_millis.filter(|_| self.settings.mechanisms.surge_peaks);
        let forecast =
            ramp_up_millis.map_or(0, |millis| demand.instances_with_demand_millis(millis));
        let recent = self.pool_planner.recent_needs.entry(pool.clone());
        let recent = recent.or_default();
        recent.retain(|(at_ms, _)| now_ms < at_ms + BREAK_EVEN_IDLE_MS);
        recent.push((now_ms, demand.needed_instances().max(forecast)));
        let max_needed_within = |window_ms: u64| {
            let within = recent
                .iter()
                .filter(|(at_ms, _)| now_ms < at_ms + window_ms);
            within.map(|(_, needed)| *needed).max().unwrap_or(0)
        };
        let min_before_move = max_needed_within(MIN_IDLE_BEFORE_MOVE_MS);
        if self.pool_planner.surges.is_surging(pool) {
            (min_before_move, max_needed_within(BREAK_EVEN_IDLE_MS))
        } else {
            // Between surges idle instances are not kept, since no further work is expected soon.
            (min_before_move, min_before_move)
        }
    }

    /// Raises the wanted sizes of the candidates for the next surge towards their expected peaks,
    /// each by at most an even share of the instances that no pool needs.
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
                    .instances_with_demand_millis(peak_millis)
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
             long_running_millis={} ready_millis={} arriving_millis={} rise_expected={expected} moved={}",
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

    /// Returns the instances of a pool and the resources that its tasks need; arriving work is
    /// added by [`Self::record_arrivals`].
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
        let isolated = self.jobs_awaiting_isolation(pool) as u64;
        demand.ready = demand.ready.plus(&demand.instance.times(isolated));
        demand
    }
}
