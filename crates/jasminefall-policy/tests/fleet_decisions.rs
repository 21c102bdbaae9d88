//! The fleet's decisions against naive versions.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::capacity::{
    CostWeights, PoolDemand, ShortageFilter, borrow_for_wave, shared_spare, summed_spare,
};
use jasminefall_policy::placement::{CapacityIndex, Resources, WorkerCapacity, place_first_fit};
use jasminefall_policy::preemption::{PreemptionAction, Victim, plan_preemption};
use jasminefall_policy::sizing::{MIN_OBSERVED_TASKS, SizeEstimator};
use jasminefall_policy::waves::{PendingInstance, WaveLimits, select_instances};
use jasminefall_policy::worker_health::WorkerHealth;
use proptest::prelude::*;

fn need(cpu: u64, memory: u64) -> Resources {
    Resources {
        cpu_mcores: MilliCores::new(cpu),
        memory_bytes: Bytes::new(memory),
        accelerators: 0,
    }
}

fn rooms(sizes: &[(u64, u64)]) -> Vec<WorkerCapacity> {
    let numbered = sizes.iter().enumerate();
    let room = |(number, (cpu, memory)): (usize, &(u64, u64))| WorkerCapacity {
        worker: WorkerId::new(format!("w{number}")),
        rack: RackId::new(format!("r{}", number / 4)),
        data_centre: DataCentreId::new(format!("dc{}", number % 3)),
        free: need(*cpu, *memory),
    };
    numbered.map(room).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_job_is_placed_exactly_where_first_fit_finds_a_place_too(
        sizes in prop::collection::vec((0..40u64, 0..40u64), 1..30),
        (cpu, memory) in (0..40u64, 0..40u64),
    ) {
        let mut naive = rooms(&sizes);
        let mut ours = CapacityIndex::new(rooms(&sizes));
        let wanted = need(cpu, memory);
        let placed = ours.place(&"kind".into(), &wanted, &[]);
        prop_assert_eq!(placed.is_some(), place_first_fit(&mut naive, &wanted).is_some());
        if let Some(worker) = placed {
            let number: usize = worker.as_str()[1..].parse().expect("a number");
            prop_assert!(wanted.fits_in(&need(sizes[number].0, sizes[number].1)));
            let mut left = need(sizes[number].0, sizes[number].1);
            left.subtract(&wanted);
            prop_assert_eq!(ours.workers()[number].free, left);
        }
    }

    #[test]
    fn a_wave_never_takes_more_than_the_budgets_and_takes_all_that_one_at_a_time_would(
        racks in prop::collection::vec((0..5u8, any::<bool>(), any::<bool>()), 1..40),
        headroom in 0..4u64, at_once in 0..6u64, by_rack in any::<bool>(),
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
        let limits = WaveLimits { order, remaining_parallel: at_once, headroom: headroom.clone(), active_racks: BTreeSet::new() };
        let selection = select_instances(&pending, limits);
        prop_assert_eq!(selection.selected.len() + selection.held.len(), pending.len());
        prop_assert!(selection.selected.len() as u64 <= at_once);
        let taken: Vec<&PendingInstance> = pending.iter().filter(|one| selection.selected.contains(&one.instance)).collect();
        for (pool, most) in &headroom {
            let count = taken.iter().filter(|one| one.pool == *pool).count() as u64;
            prop_assert!(count <= *most);
        }
        prop_assert!(taken.iter().all(|one| one.hold_reason.is_none()));
        let opened: BTreeSet<&RackId> = taken.iter().map(|one| &one.rack).collect();
        prop_assert!(!by_rack || opened.len() <= 1);
        let one_at_a_time = pending.iter().any(|one| one.hold_reason.is_none() && headroom[&one.pool] > 0 && at_once > 0);
        prop_assert_eq!(one_at_a_time, !taken.is_empty());
    }
}

#[test]
fn tasks_of_one_kind_are_spread_over_data_centres_and_racks() {
    let mut ours = CapacityIndex::new(rooms(&[(16_000, 32); 12]));
    let placed = (0..12).map(|_| ours.place(&"render".into(), &need(1_000, 1), &[]));
    let workers: BTreeSet<Option<WorkerId>> = placed.collect();
    assert_eq!(workers.len(), 12, "one on each worker");
}

#[test]
fn a_place_is_found_on_the_last_of_many_workers() {
    let mut sizes = vec![(16_000, 1); 2_000];
    sizes.push((1_000, 64));
    let mut ours = CapacityIndex::new(rooms(&sizes));
    let placed = ours.place(&"render".into(), &need(500, 32), &[]);
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
fn room_is_made_by_the_mildest_measure_and_never_from_a_soak_trial() {
    let soak = victim(1, false, false);
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
            vec![soak.clone(), checkpointed.clone()],
            cpu,
            Some(vec![(1, PreemptionAction::Throttle)]),
        ),
        (
            vec![soak.clone(), checkpointed],
            memory,
            Some(vec![(1, PreemptionAction::Checkpoint)]),
        ),
        (
            vec![soak.clone(), throttled],
            cpu,
            Some(vec![(1, PreemptionAction::Checkpoint)]),
        ),
        (
            vec![stopped],
            memory,
            Some(vec![(0, PreemptionAction::Stop)]),
        ),
        (vec![soak], cpu, None),
        (vec![urgent], cpu, None),
    ];
    for (victims, wanted, expected) in cases {
        let made = plan_preemption(&wanted, &Resources::default(), &victims);
        assert_eq!(made, expected, "{victims:?}");
    }
}

#[test]
fn sizes_are_learnt_by_kind_and_memory_is_never_below_what_was_seen() {
    let mut sizes = SizeEstimator::default();
    let (kind, declared) = (SmolStr::from("render"), need(8_000, 1_000));
    for task in 0..MIN_OBSERVED_TASKS as u64 {
        assert_eq!(
            sizes.estimate(&kind, &declared, false),
            declared,
            "too few seen"
        );
        sizes.record_usage(&kind, JobId::new(task), &need(1_000, 100 + task));
    }
    assert_eq!(sizes.estimate(&kind, &declared, false), need(1_250, 130));
    assert_eq!(
        sizes.estimate(&kind, &declared, true),
        declared,
        "it failed with less"
    );
    sizes.record_usage(&kind, JobId::new(0), &need(1_000, 2_000));
    assert!(sizes.estimate(&kind, &declared, false).memory_bytes.get() >= 2_000);
}

#[test]
fn a_worker_is_at_fault_where_different_jobs_fail_that_fail_nowhere_else() {
    let mut health = WorkerHealth::default();
    let (good, bad) = (WorkerId::new("good"), WorkerId::new("bad"));
    for job in 1..=3 {
        health.record_failure(&bad, JobId::new(job), 1);
        health.record_failure(&good, JobId::new(9), 1);
    }
    assert_eq!(health.faulty_workers(2, |_, _| false), vec![bad.clone()]);
    assert!(
        health.faulty_workers(2, |_, _| true).is_empty(),
        "the jobs are at fault"
    );
    health.record_completion(&bad, 3);
    assert!(health.faulty_workers(4, |_, _| false).is_empty());
}

#[test]
fn spare_is_shared_and_outlasts_the_loss_of_a_domain() {
    let pool = PoolDemand {
        forecast: 10,
        peak: 50,
        largest_rack: 4,
        largest_data_centre: 20,
        survive_data_centre: false,
    };
    let surviving = PoolDemand {
        survive_data_centre: true,
        ..pool
    };
    assert_eq!(shared_spare(&[pool; 5]), 44);
    assert_eq!(summed_spare(&[pool; 5]), 220, "the naive sum");
    assert_eq!(shared_spare(&[pool, surviving]), 60);
}

#[test]
fn a_burst_of_seconds_causes_no_move_and_a_lasting_lack_does() {
    let mut filter = ShortageFilter::new(DurationMs::new(60_000));
    let burst = (0..20).any(|second| filter.update(second * 1_000, 3));
    assert!(!burst);
    assert!(!filter.update(21_000, 0));
    assert!(!filter.update(22_000, 3));
    assert!(filter.update(82_000, 3));
}

#[test]
fn weights_decide_what_a_wave_borrows() {
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
        "nothing moves without"
    );
}
