//! Placement, preemption, sizing, capacity and wave decisions, some compared with naive versions.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::capacity::{
    CostWeights, ShortageFilter, SpareDemand, borrow_for_wave, shared_spare, summed_spare,
};
use jasminefall_policy::placement::{CapacityIndex, Resources, WorkerCapacity, place_first_fit};
use jasminefall_policy::preemption::{PreemptionAction, Victim, plan_preemption};
use jasminefall_policy::sizing::{MIN_OBSERVED_TASKS, SizeEstimator};
use jasminefall_policy::waves::{PendingInstance, WaveLimits, select_instances};
use jasminefall_policy::worker_health::FailureTracker;
use proptest::prelude::*;

fn need(cpu: u64, memory: u64) -> Resources {
    Resources {
        cpu_mcores: MilliCores::new(cpu),
        memory_bytes: Bytes::new(memory),
        accelerators: 0,
    }
}

fn worker_capacities(sizes: &[(u64, u64)]) -> Vec<WorkerCapacity> {
    let numbered = sizes.iter().enumerate();
    let capacity = |(number, (cpu, memory)): (usize, &(u64, u64))| WorkerCapacity {
        worker: WorkerId::new(format!("w{number}")),
        rack: RackId::new(format!("r{}", number / 4)),
        data_centre: DataCentreId::new(format!("dc{}", number % 3)),
        free: need(*cpu, *memory),
    };
    numbered.map(capacity).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn placement_succeeds_exactly_when_first_fit_does(
        sizes in prop::collection::vec((0..40u64, 0..40u64), 1..30),
        (cpu, memory) in (0..40u64, 0..40u64),
    ) {
        let mut naive = worker_capacities(&sizes);
        let mut index = CapacityIndex::new(worker_capacities(&sizes));
        let wanted = need(cpu, memory);
        let placed = index.place(&"kind".into(), &wanted, &[]);
        prop_assert_eq!(placed.is_some(), place_first_fit(&mut naive, &wanted).is_some());
        if let Some(worker) = placed {
            let number: usize = worker.as_str()[1..].parse().expect("worker names end in a number");
            prop_assert!(wanted.fits_in(&need(sizes[number].0, sizes[number].1)));
            let mut left = need(sizes[number].0, sizes[number].1);
            left.subtract(&wanted);
            prop_assert_eq!(index.workers()[number].free, left);
        }
    }

    #[test]
    fn wave_selection_stays_within_limits_and_is_empty_only_if_nothing_fits(
        racks in prop::collection::vec((0..5u8, any::<bool>(), any::<bool>()), 1..40),
        headroom in 0..4u64, remaining_parallel in 0..6u64, by_rack in any::<bool>(),
    ) {
        let numbered = racks.iter().enumerate();
        let pending: Vec<PendingInstance> = numbered.map(|(number, (rack, red, held))| PendingInstance {
            instance: InstanceId::new(format!("w{number}")),
            pool: PoolId::new(if *red { "red" } else { "blue" }),
            rack: RackId::new(format!("r{rack}")),
            hold_reason: held.then(|| "a soak trial".into()),
        }).collect();
        let order = if by_rack { WaveOrder::RackByRack } else { WaveOrder::Spread };
        let pools = [PoolId::new("red"), PoolId::new("blue")];
        let headroom: BTreeMap<PoolId, u64> = pools.into_iter().map(|pool| (pool, headroom)).collect();
        let limits = WaveLimits { order, remaining_parallel, headroom: headroom.clone(), active_racks: BTreeSet::new() };
        let selection = select_instances(&pending, limits);
        prop_assert_eq!(selection.selected.len() + selection.held.len(), pending.len());
        prop_assert!(selection.selected.len() as u64 <= remaining_parallel);
        let selected: Vec<&PendingInstance> = pending.iter().filter(|candidate| selection.selected.contains(&candidate.instance)).collect();
        for (pool, most) in &headroom {
            let count = selected.iter().filter(|candidate| candidate.pool == *pool).count() as u64;
            prop_assert!(count <= *most);
        }
        prop_assert!(selected.iter().all(|candidate| candidate.hold_reason.is_none()));
        let selected_racks: BTreeSet<&RackId> = selected.iter().map(|candidate| &candidate.rack).collect();
        prop_assert!(!by_rack || selected_racks.len() <= 1);
        let can_select_any = pending.iter().any(|candidate| candidate.hold_reason.is_none() && headroom[&candidate.pool] > 0 && remaining_parallel > 0);
        prop_assert_eq!(can_select_any, !selected.is_empty());
    }
}

#[test]
fn tasks_of_one_kind_are_spread_over_data_centres_and_racks() {
    let mut index = CapacityIndex::new(worker_capacities(&[(16_000, 32); 12]));
    let placed = (0..12).map(|_| index.place(&"render".into(), &need(1_000, 1), &[]));
    let workers: BTreeSet<Option<WorkerId>> = placed.collect();
    assert_eq!(workers.len(), 12, "one task on each worker");
}

#[test]
fn placement_finds_the_only_worker_with_enough_memory() {
    let mut sizes = vec![(16_000, 1); 2_000];
    sizes.push((1_000, 64));
    let mut index = CapacityIndex::new(worker_capacities(&sizes));
    let placed = index.place(&"render".into(), &need(500, 32), &[]);
    assert_eq!(placed, Some("w2000".into()));
}

fn victim(job: u64, can_checkpoint: bool, idempotent: bool) -> Victim {
    Victim {
        job: JobId::new(job),
        epoch: Epoch::new(job),
        urgency: Urgency::Background,
        borrowed: false,
        size: need(4_000, 8),
        can_checkpoint,
        idempotent,
        throttled: false,
    }
}

#[test]
fn preemption_uses_the_mildest_action_and_spares_non_preemptible_tasks() {
    let non_preemptible = victim(1, false, false);
    let checkpointed = victim(2, true, false);
    let stopped = victim(3, false, true);
    let throttled = Victim {
        throttled: true,
        ..checkpointed.clone()
    };
    let urgent = Victim {
        urgency: Urgency::Urgent,
        ..checkpointed.clone()
    };
    let (cpu, memory) = (need(3_000, 0), need(3_000, 4));
    let cases = [
        (
            vec![non_preemptible.clone(), checkpointed.clone()],
            cpu,
            Some(vec![(1, PreemptionAction::Throttle)]),
        ),
        (
            vec![non_preemptible.clone(), checkpointed],
            memory,
            Some(vec![(1, PreemptionAction::Checkpoint)]),
        ),
        (
            vec![non_preemptible.clone(), throttled],
            cpu,
            Some(vec![(1, PreemptionAction::Checkpoint)]),
        ),
        (
            vec![stopped],
            memory,
            Some(vec![(0, PreemptionAction::Stop)]),
        ),
        (vec![non_preemptible], cpu, None),
        (vec![urgent], cpu, None),
    ];
    for (victims, wanted, expected) in cases {
        let planned = plan_preemption(&wanted, &Resources::default(), &victims);
        assert_eq!(planned, expected, "{victims:?}");
    }
}

#[test]
fn sizes_are_learnt_by_kind_and_memory_covers_the_observed_peak() {
    let mut sizes = SizeEstimator::default();
    let (kind, declared) = (SmolStr::from("render"), need(8_000, 1_000));
    for task in 0..MIN_OBSERVED_TASKS as u64 {
        assert_eq!(
            sizes.estimate(&kind, &declared, false),
            declared,
            "too few tasks observed"
        );
        sizes.record_usage(&kind, JobId::new(task), &need(1_000, 100 + task));
    }
    assert_eq!(sizes.estimate(&kind, &declared, false), need(1_250, 130));
    assert_eq!(
        sizes.estimate(&kind, &declared, true),
        declared,
        "a task failed with the learnt size"
    );
    sizes.record_usage(&kind, JobId::new(0), &need(1_000, 2_000));
    assert!(sizes.estimate(&kind, &declared, false).memory_bytes.get() >= 2_000);
}

#[test]
fn worker_is_faulty_if_different_jobs_fail_only_there() {
    let mut health = FailureTracker::default();
    let (good, bad) = (WorkerId::new("good"), WorkerId::new("bad"));
    for job in 1..=3 {
        health.record_failure(&bad, JobId::new(job), 1);
        health.record_failure(&good, JobId::new(9), 1);
    }
    assert_eq!(health.faulty_workers(2, |_, _| false), vec![bad.clone()]);
    assert!(
        health.faulty_workers(2, |_, _| true).is_empty(),
        "the jobs also fail elsewhere"
    );
    health.record_completion(&bad, 3);
    assert!(health.faulty_workers(4, |_, _| false).is_empty());
}

#[test]
fn spare_is_shared_and_covers_the_loss_of_a_failure_domain() {
    let pool = SpareDemand {
        forecast: 10,
        peak: 50,
        largest_rack: 4,
        largest_data_centre: 20,
        survive_data_centre: false,
    };
    let surviving = SpareDemand {
        survive_data_centre: true,
        ..pool
    };
    assert_eq!(shared_spare(&[pool; 5]), 44);
    assert_eq!(
        summed_spare(&[pool; 5]),
        220,
        "separate spare for each pool"
    );
    assert_eq!(shared_spare(&[pool, surviving]), 60);
}

#[test]
fn only_a_lasting_shortage_causes_a_move() {
    let mut filter = ShortageFilter::new(DurationMs::new(60_000));
    let burst = (0..20).any(|second| filter.update(second * 1_000, 3));
    assert!(!burst);
    assert!(!filter.update(21_000, 0));
    assert!(!filter.update(22_000, 3));
    assert!(filter.update(82_000, 3));
}

#[test]
fn cost_weights_determine_the_instances_borrowed_for_a_wave() {
    let weights = |rollout_time, moves| CostWeights {
        rollout_time,
        moves,
    };
    assert_eq!(borrow_for_wave(50, 2, 8, weights(1, 1_000)), 0);
    assert_eq!(borrow_for_wave(50, 2, 8, weights(1_000, 1)), 8);
    assert_eq!(borrow_for_wave(0, 2, 8, weights(1_000, 1)), 0);
    assert_eq!(
        borrow_for_wave(4, 0, 8, weights(1, 1)),
        1,
        "without a borrowed instance the wave cannot proceed"
    );
}
