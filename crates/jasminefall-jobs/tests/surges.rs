//! Tests of the surge forecast, some with a simulated load whose queues surge in turn.

use jasminefall_jobs::policy::surges::{ArrivalSample, SurgeEvent, SurgeForecast};
use smol_str::SmolStr;

/// The time between two samples.
const STEP_MS: u64 = 150;
/// The time that an instance takes to move to another pool.
const MOVE_MS: u64 = 1_500;
/// The time before the next surge at which its pool is prepared.
const LEAD_MS: u64 = 2_000;
/// The duration of each surge, and the interval between the starts of two surges.
const SURGE_MS: u64 = 8_500;
/// The time in which the demand rises to its peak at the start of a surge.
const RAMP_MS: u64 = 1_500;
/// The peak demand of a surge, in thousandths of an instance.
const PEAK_MILLIS: u64 = 100_000;
/// The value of an instance's work divided by its price while idle, from the sites' prices and the
/// value of their jobs.
const WORK_TO_IDLE_VALUE_RATIO: u64 = 15;

fn pools() -> Vec<SmolStr> {
    ["a", "b", "c", "d"].map(SmolStr::new).to_vec()
}

/// Returns the demand on a pool in thousandths of an instance; the four pools surge one at a time.
fn arriving(pool: usize, at_ms: u64) -> u64 {
    let starts_at_ms = SURGE_MS * pool as u64;
    let since_ms = (at_ms + 4 * SURGE_MS - starts_at_ms) % (4 * SURGE_MS);
    if since_ms < RAMP_MS {
        PEAK_MILLIS * since_ms / RAMP_MS
    } else if since_ms < SURGE_MS {
        PEAK_MILLIS
    } else {
        PEAK_MILLIS / 100
    }
}

fn sample(jobs: u32, demand_millis: u64, steady_demand_millis: u64) -> ArrivalSample {
    ArrivalSample {
        within_ms: STEP_MS,
        jobs,
        demand_millis,
        steady_demand_millis,
        total_instances: 300,
        pools: 4,
    }
}

/// Holds sums over a simulation, in thousandths of an instance times [`STEP_MS`].
#[derive(Debug, Default)]
struct SimulationResult {
    late_millis: u64,
    arrived_millis: u64,
    idle_millis: u64,
}

/// Simulates two surges of each pool; instances arrive [`MOVE_MS`] after their request.
fn simulate(use_forecast: bool) -> SimulationResult {
    let pools = pools();
    let mut surges = SurgeForecast::default();
    let mut steady_millis = [0_u64; 4];
    let mut requested_millis = vec![[1_000_u64; 4]];
    let mut backlog_millis = [0_u64; 4];
    let mut result = SimulationResult::default();
    for step in 0..(8 * SURGE_MS / STEP_MS) {
        let now_ms = step * STEP_MS;
        let mut wanted = [1_000; 4];
        for (position, pool) in pools.iter().enumerate() {
            let millis = arriving(position, now_ms);
            steady_millis[position] = (steady_millis[position] * 9 + millis) / 10;
            let jobs = u32::from(millis > PEAK_MILLIS / 10);
            surges.record(now_ms, pool, &sample(jobs, millis, steady_millis[position]));
            let forecast = surges.ramp_up_millis(now_ms, pool).unwrap_or(0);
            let forecast = if use_forecast { forecast } else { 0 };
            wanted[position] = steady_millis[position]
                .max(backlog_millis[position])
                .max(forecast);
        }
        if use_forecast {
            let expected = surges.expected_pools(now_ms, LEAD_MS, &pools);
            for (position, pool) in pools.iter().enumerate() {
                if expected.contains(pool) {
                    let peak = surges.peak_millis(pool).unwrap_or(0);
                    wanted[position] = wanted[position].max(peak / expected.len() as u64);
                }
            }
        }
        requested_millis.push(wanted);
        let available_millis = requested_millis[requested_millis
            .len()
            .saturating_sub((MOVE_MS / STEP_MS) as usize + 1)];
        for position in 0..4 {
            let millis = arriving(position, now_ms);
            result.arrived_millis += millis;
            let waiting = backlog_millis[position] + millis;
            // Work that waits longer than one second is late.
            let processed_within_1s = available_millis[position] * 1_000 / STEP_MS;
            result.late_millis += waiting.saturating_sub(processed_within_1s).min(millis);
            result.idle_millis += available_millis[position].saturating_sub(waiting);
            backlog_millis[position] = waiting.saturating_sub(available_millis[position]);
        }
    }
    result
}

#[test]
fn prediction_halves_late_work_for_rotating_surges() {
    let (reactive, predictive) = (simulate(false), simulate(true));
    assert!(
        predictive.late_millis * 2 <= reactive.late_millis,
        "{predictive:?} against {reactive:?}"
    );
    let saved = reactive.late_millis - predictive.late_millis;
    let idle = predictive.idle_millis.saturating_sub(reactive.idle_millis);
    assert!(
        idle <= saved * WORK_TO_IDLE_VALUE_RATIO,
        "predicted instances cost less than they save: {predictive:?} against {reactive:?}"
    );
}

#[test]
fn next_surge_is_expected_after_the_usual_interval() {
    let pools = pools();
    let mut surges = SurgeForecast::default();
    let mut expected_at_ms = None;
    for step in 0..(3 * SURGE_MS / STEP_MS) {
        let now_ms = step * STEP_MS;
        for (position, pool) in pools.iter().enumerate() {
            let millis = arriving(position, now_ms);
            let jobs = u32::from(millis > PEAK_MILLIS / 10);
            surges.record(now_ms, pool, &sample(jobs, millis, millis));
        }
        let expected = surges.expected_pools(now_ms, LEAD_MS, &pools);
        if !expected.is_empty() && expected_at_ms.is_none() {
            assert_eq!(expected, pools[2..], "any pool without a surge may be next");
            expected_at_ms = Some(now_ms);
        }
    }
    let third_starts_at_ms = 2 * SURGE_MS;
    let expected_at_ms = expected_at_ms.expect("a surge is expected");
    assert!(
        (third_starts_at_ms - LEAD_MS..=third_starts_at_ms).contains(&expected_at_ms),
        "{expected_at_ms}"
    );
}

#[test]
fn surge_needs_two_jobs_and_ends_when_arrivals_fall() {
    let pool = SmolStr::new("a");
    let mut surges = SurgeForecast::default();
    assert_eq!(
        surges.record(0, &pool, &sample(1, 90_000, 9_000)),
        None,
        "a single job starts no surge"
    );
    let second = surges.record(STEP_MS, &pool, &sample(1, 90_000, 17_000));
    assert_eq!(second, Some(SurgeEvent::Started));
    let mut events = Vec::new();
    for step in 2..40 {
        let sample = sample(0, 0, 17_000 / step);
        events.extend(surges.record(step * STEP_MS, &pool, &sample));
    }
    assert_eq!(events, [SurgeEvent::Ended]);
}

#[test]
fn short_burst_does_not_change_the_expected_pool() {
    let pools = pools();
    let mut surges = SurgeForecast::default();
    let mut expected = Vec::new();
    for step in 0..(5 * SURGE_MS / STEP_MS) {
        let now_ms = step * STEP_MS;
        for (position, pool) in pools.iter().enumerate() {
            let is_burst = position == 3 && (20..24).contains(&step);
            let millis = arriving(position, now_ms).max(if is_burst { 20_000 } else { 0 });
            let jobs = u32::from(millis > PEAK_MILLIS / 10);
            surges.record(now_ms, pool, &sample(jobs, millis, millis));
        }
        if now_ms + 500 >= 3 * SURGE_MS && expected.is_empty() {
            expected = surges.expected_pools(now_ms, LEAD_MS, &pools);
        }
    }
    assert_eq!(expected, pools[3..], "the last pool has not surged yet");
    assert!(surges.peak_millis("d") > Some(PEAK_MILLIS / 2));
}

/// After a leader change, clients submit the backlog of the outage within about a second.
/// These arrivals must neither raise a peak nor start a new surge.
#[test]
fn resumed_forecast_keeps_peaks_despite_failover_backlog() {
    let pools = pools();
    let recorded = [
        (pools[0].clone(), 1_000, 90_000),
        (pools[1].clone(), 9_000, 110_000),
    ];
    let mut surges = SurgeForecast::resumed(14_000, recorded);
    assert_eq!(surges.peak_millis(&pools[1]), Some(110_000));
    let mut events = Vec::new();
    for step in 0..40 {
        let now_ms = 14_000 + step * STEP_MS;
        let backlog_millis = if step < 8 { 400_000 } else { 100_000 };
        let event = surges.record(
            now_ms,
            &pools[1],
            &sample(9, backlog_millis, backlog_millis),
        );
        events.extend(event);
    }
    assert_eq!(
        events,
        [SurgeEvent::Started],
        "the surge from before the leader change continues"
    );
    let first = surges.peak_millis(&pools[0]);
    assert_eq!(
        first,
        Some(90_000),
        "a partially observed surge sets no peak"
    );
    assert_eq!(surges.latest_surge(&pools[1]), Some((9_000, 110_000)));
    let expected = surges.expected_pools(16_000, 2_000, &pools);
    assert_eq!(
        expected,
        pools[2..],
        "due eight seconds after the latest surge"
    );
}

#[test]
fn first_surge_peak_defaults_above_an_even_share() {
    let pools = pools();
    let mut surges = SurgeForecast::default();
    let mut ramp_up = None;
    for step in 0..4 {
        let now_ms = step * STEP_MS;
        surges.record(now_ms, &pools[0], &sample(2, 30_000, 10_000));
        ramp_up = surges.ramp_up_millis(now_ms, &pools[0]);
    }
    assert_eq!(ramp_up, Some(99_750), "133 % of a quarter of 300 instances");
}

/// A burst during the surge of another pool must not change the expected order of surges.
#[test]
fn burst_during_a_surge_keeps_the_order_and_gets_its_demand() {
    let pools = pools();
    let mut surges = SurgeForecast::default();
    for step in 0..20 {
        surges.record(step * STEP_MS, &pools[0], &sample(5, 90_000, 90_000));
    }
    let mut ramp_up = None;
    for step in 20..26 {
        let now_ms = step * STEP_MS;
        surges.record(now_ms, &pools[0], &sample(5, 90_000, 90_000));
        surges.record(now_ms, &pools[1], &sample(2, 40_000, 30_000));
        ramp_up = ramp_up.max(surges.ramp_up_millis(now_ms, &pools[1]));
    }
    assert_eq!(ramp_up, Some(40_000));
    assert_eq!(surges.latest_surge(&pools[1]), None);
    assert!(surges.expected_pools(6_000, LEAD_MS, &pools).is_empty());
}

/// If the leader fails during the first surge, no peak is recorded, and the next leader observes
/// only the second half of the surge.
#[test]
fn partially_observed_surge_sets_no_peak() {
    let pools = pools();
    let mut surges = SurgeForecast::resumed(14_000, [(pools[0].clone(), 9_000, 0)]);
    for step in 0..60 {
        let now_ms = 14_000 + step * STEP_MS;
        let arriving_millis = if step < 40 { 40_000 } else { 1_000 };
        surges.record(
            now_ms,
            &pools[0],
            &sample(5, arriving_millis, arriving_millis),
        );
    }
    assert_eq!(surges.peak_millis(&pools[0]), None);
}

/// Returns a forecast after surges of the pools in the given order, eight seconds apart.
fn forecast_after_surges(order: &[usize]) -> SurgeForecast {
    let pools = pools();
    let mut surges = SurgeForecast::default();
    for (round, surging_pool) in order.iter().enumerate() {
        for step in 0..(8_000 / STEP_MS) {
            let now_ms = round as u64 * 8_000 + step * STEP_MS;
            for (position, pool) in pools.iter().enumerate() {
                let millis = if position == *surging_pool {
                    PEAK_MILLIS
                } else {
                    0
                };
                surges.record(
                    now_ms,
                    pool,
                    &sample(u32::from(millis > 0) * 3, millis, millis),
                );
            }
        }
    }
    surges
}

/// With four queues that surge in turn, the first is expected after the fourth, even before any
/// queue has surged twice.
#[test]
fn longest_waiting_pool_is_expected_until_a_surge_out_of_order() {
    let pools = pools();
    let surges = forecast_after_surges(&[0, 1, 2, 3]);
    assert_eq!(surges.expected_pools(31_000, LEAD_MS, &pools), pools[..1]);
    let surges = forecast_after_surges(&[0, 1, 2, 3, 0]);
    assert_eq!(surges.expected_pools(39_000, LEAD_MS, &pools), pools[1..2]);
    let surges = forecast_after_surges(&[0, 1, 2, 3, 2]);
    assert!(surges.expected_pools(39_000, LEAD_MS, &pools).is_empty());
    let surges = forecast_after_surges(&[0, 1, 2, 3, 2, 0]);
    assert_eq!(
        surges.expected_pools(55_000, LEAD_MS, &pools),
        pools[1..2],
        "in order again, due after the longest interval so far"
    );
}
