//! Measures the fleet decisions against naive ones: `cargo run --release -p jasminefall-policy --example fleet-costs`.
//!
//! Placement is timed at three fleet sizes. The other tables call the decision functions with the
//! generated demand of two sites.

use std::collections::BTreeMap;
use std::time::Instant;

use jasminefall_core::prelude::*;
use jasminefall_policy::capacity::{
    CostWeights, ShortageFilter, SpareDemand, borrow_for_wave, shared_spare, summed_spare,
};
use jasminefall_policy::placement::{CapacityIndex, Resources, WorkerCapacity, place_first_fit};
use jasminefall_policy::waves::{PendingInstance, WaveLimits, select_instances};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const ROUNDS: usize = 41;
const JOBS_PER_ROUND: usize = 500;
const RACK_SIZE: usize = 4;
const POOLS: usize = 5;
const INSTANCES_PER_POOL: u64 = 10;
const DAY_S: u64 = 86_400;

fn main() {
    placement();
    buffers();
    waves();
    schedule();
}

fn worker_capacities(count: usize) -> Vec<WorkerCapacity> {
    let capacity = |number: usize| WorkerCapacity {
        worker: WorkerId::new(format!("w{number}")),
        rack: RackId::new(format!("r{}", number / RACK_SIZE)),
        data_centre: DataCentreId::new(format!("dc{}", number % 3)),
        free: Resources {
            cpu_mcores: MilliCores::new(64_000),
            memory_bytes: Bytes::new(256 << 30),
            accelerators: 2,
        },
    };
    (0..count).map(capacity).collect()
}

fn needs(random: &mut ChaCha8Rng) -> Vec<Resources> {
    let need = |_| Resources {
        cpu_mcores: MilliCores::new(500 + u64::from(random.next_u32() % 4_000)),
        memory_bytes: Bytes::new(u64::from(1 + random.next_u32() % 12) << 30),
        accelerators: u64::from(random.next_u32().is_multiple_of(20)),
    };
    (0..JOBS_PER_ROUND).map(need).collect()
}

/// Times both placement functions alternately in one run.
fn placement() {
    println!(
        "| workers | decision | median ns a job | p95 ns a job | most tasks on one worker | racks used by one kind |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut random = ChaCha8Rng::seed_from_u64(6);
    for workers in [50, 500, 5_700] {
        let (mut indexed, mut naive, mut build) = (Vec::new(), Vec::new(), Vec::new());
        let (mut indexed_spread, mut naive_spread) = ((0, 0), (0, 0));
        for _ in 0..ROUNDS {
            let needs = needs(&mut random);
            let fresh = worker_capacities(workers);
            let start = Instant::now();
            let mut index = CapacityIndex::new(fresh);
            build.push(start.elapsed().as_nanos() / JOBS_PER_ROUND as u128);
            let kind = SmolStr::from("render");
            let start = Instant::now();
            let placed: Vec<_> = needs
                .iter()
                .filter_map(|need| index.place(&kind, need, &[]))
                .collect();
            indexed.push(start.elapsed().as_nanos() / JOBS_PER_ROUND as u128);
            indexed_spread = spread(&placed);
            let mut plain = worker_capacities(workers);
            let start = Instant::now();
            let placed: Vec<_> = needs
                .iter()
                .filter_map(|need| place_first_fit(&mut plain, need))
                .collect();
            naive.push(start.elapsed().as_nanos() / JOBS_PER_ROUND as u128);
            naive_spread = spread(&placed);
        }
        for (name, times, (most, racks)) in [
            ("ordered rooms", &mut indexed, indexed_spread),
            ("first fit", &mut naive, naive_spread),
            (
                "building the order, a job of a round of 500",
                &mut build,
                (0, 0),
            ),
        ] {
            times.sort_unstable();
            let (median, high) = (times[ROUNDS / 2], times[ROUNDS * 95 / 100]);
            println!("| {workers} | {name} | {median} | {high} | {most} | {racks} |");
        }
    }
}

fn spread(placed: &[WorkerId]) -> (usize, usize) {
    let mut tasks: BTreeMap<&WorkerId, usize> = BTreeMap::new();
    let mut racks: BTreeMap<usize, usize> = BTreeMap::new();
    for worker in placed {
        *tasks.entry(worker).or_default() += 1;
        let number: usize = worker.as_str()[1..].parse().unwrap_or(0);
        *racks.entry(number / RACK_SIZE).or_default() += 1;
    }
    (tasks.values().copied().max().unwrap_or(0), racks.len())
}

/// Returns the mean and the current demand of a pool in instances, at a second of the day.
///
/// The pools peak in turn, each for 20 s at five times its mean, and need a twentieth of the mean
/// in between. The mean doubles in the evening.
fn demand(pool: usize, second: u64) -> (u64, u64) {
    let evening = (64_800..75_600).contains(&second);
    let mean = INSTANCES_PER_POOL * if evening { 2 } else { 1 } / 2;
    let turn = second / 20 % POOLS as u64 == pool as u64;
    let now = if turn { 5 * mean } else { mean.div_ceil(20) };
    (mean, now)
}

fn buffers() {
    println!(
        "\n| site | provisioning | instances held | of them buffer | moves a day | seconds short of the mean |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (site, survives) in [("Mauritius", false), ("Sfax", true)] {
        let demands: Vec<SpareDemand> = (0..POOLS)
            .map(|_| SpareDemand {
                forecast: INSTANCES_PER_POOL,
                peak: 5 * INSTANCES_PER_POOL,
                largest_rack: RACK_SIZE as u64,
                largest_data_centre: INSTANCES_PER_POOL.div_ceil(3),
                survive_data_centre: survives,
            })
            .collect();
        let base = INSTANCES_PER_POOL * POOLS as u64;
        for (name, spare, min_duration_ms) in [
            ("peak, each pool for itself", summed_spare(&demands), 0),
            (
                "shared spare, moves after 60 s",
                shared_spare(&demands),
                60_000,
            ),
            ("shared spare, moves at once", shared_spare(&demands), 0),
        ] {
            let (moves, short) = day(spare, min_duration_ms, name.starts_with("peak"));
            println!(
                "| {site} | {name} | {} | {spare} | {moves} | {short} |",
                base + spare
            );
        }
    }
}

/// Runs the move decision over a day unless each pool has its own spare instances, and returns the
/// moves and the seconds in which a pool had fewer instances than its mean demand.
fn day(spare: u64, min_duration_ms: u64, has_own_spare: bool) -> (u64, u64) {
    let mut lent = [0u64; POOLS];
    let mut filters = [ShortageFilter::new(DurationMs::new(min_duration_ms)); POOLS];
    let (mut moves, mut short) = (0, 0);
    for second in 0..DAY_S {
        for pool in 0..POOLS {
            let (mean, now) = demand(pool, second);
            if has_own_spare {
                continue;
            }
            let held = INSTANCES_PER_POOL + lent[pool];
            let missing = now.saturating_sub(held);
            let free = spare - lent.iter().sum::<u64>();
            if filters[pool].update(second * 1_000, missing) && free > 0 {
                let taken = missing.min(free);
                lent[pool] += taken;
                moves += taken;
            }
            if missing == 0 && lent[pool] > 0 && now < INSTANCES_PER_POOL {
                moves += lent[pool];
                lent[pool] = 0;
            }
            short += u64::from(INSTANCES_PER_POOL + lent[pool] < mean);
        }
    }
    (moves, short)
}

/// Returns how many rounds a wave over one pool takes.
fn rounds(instances: u64, at_once: u64, order: WaveOrder) -> u64 {
    let mut pending: Vec<PendingInstance> = (0..instances)
        .map(|number| PendingInstance {
            instance: InstanceId::new(format!("w{number}")),
            pool: "general".into(),
            rack: RackId::new(format!("r{}", number / RACK_SIZE as u64)),
            hold_reason: None,
        })
        .collect();
    let mut rounds = 0;
    while !pending.is_empty() {
        let limits = WaveLimits {
            order,
            remaining_parallel: u64::MAX,
            headroom: BTreeMap::from([("general".into(), at_once)]),
            ..WaveLimits::default()
        };
        let taken = select_instances(&pending, limits).selected;
        pending.retain(|candidate| !taken.contains(&candidate.instance));
        rounds += 1;
    }
    rounds
}

fn waves() {
    println!(
        "\n| wave over 50 instances | weights (roll-out : moves) | borrowed | rounds | moves |"
    );
    println!("| --- | --- | --- | --- | --- |");
    println!(
        "| one instance at a time | - | 0 | {} | 0 |",
        rounds(50, 1, WaveOrder::Spread)
    );
    for (name, rollout_time, moves) in [("Mauritius", 8, 1), ("balanced", 2, 1), ("Sfax", 1, 4)] {
        let borrowed = borrow_for_wave(
            50,
            2,
            8,
            CostWeights {
                rollout_time,
                moves,
            },
        );
        let spread = rounds(50, 2 + borrowed, WaveOrder::Spread);
        let racks = rounds(50, 2 + borrowed, WaveOrder::RackByRack);
        println!(
            "| {name}, spread | {rollout_time} : {moves} | {borrowed} | {spread} | {} |",
            2 * borrowed
        );
        println!(
            "| {name}, rack by rack | {rollout_time} : {moves} | {borrowed} | {racks} | {} |",
            2 * borrowed
        );
    }
}

/// Computes the three-week schedule of a wave over the fleet from the rounds of one pool.
fn schedule() {
    let per_pool = 5_700_u64.div_ceil(55);
    println!("\n| instances a pool | at once | rounds | days at 15 min a round |");
    println!("| --- | --- | --- | --- |");
    for at_once in [1, 2, 4] {
        let rounds = rounds(per_pool, at_once, WaveOrder::Spread);
        let minutes = rounds * 15;
        println!(
            "| {per_pool} | {at_once} | {rounds} | {}.{} |",
            minutes / 1_440,
            minutes % 1_440 * 10 / 1_440
        );
    }
}
