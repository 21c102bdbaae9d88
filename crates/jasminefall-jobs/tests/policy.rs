//! Decisions as pure functions.

use jasminefall_jobs::job::{JobSpec, Resources, StepSpec, Work};
use jasminefall_jobs::policy::admission::{Admission, Asked, PoolLoad, admit};
use jasminefall_jobs::policy::durations::{Durations, StepKind};
use jasminefall_jobs::policy::health::Health;
use jasminefall_jobs::policy::mechanisms::Mechanisms;
use jasminefall_jobs::policy::order::longest_chain_ms;
use jasminefall_jobs::policy::pace::next_percent;
use jasminefall_jobs::policy::placement::{Candidate, Needs, choose};
use jasminefall_jobs::policy::pools::{InstanceUse, PoolDemand, divide};
use jasminefall_jobs::policy::waves::{WaveLeft, may_wait};
use jasminefall_jobs::prelude::QueueKey;

const fn cores(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mb: 0,
        gpus: 0,
    }
}

const fn core_ms(core_ms: u64) -> Work {
    Work {
        core_ms,
        memory_mb_s: 0,
    }
}

const fn load(backlog_core_ms: u64) -> PoolLoad {
    PoolLoad {
        capacity: cores(100_000),
        free: cores(0),
        reserve: cores(0),
        reserve_after_ms: 1_500,
        backlog: core_ms(backlog_core_ms),
    }
}

const ASKED: Asked = Asked {
    work: core_ms(8_000),
    first: cores(4_000),
    slack_ms: 1_000,
};

#[test]
fn a_job_is_refused_only_when_it_would_be_late() {
    assert_eq!(admit(&load(90_000), &ASKED), Admission::Accept);
    let refused = admit(&load(450_000), &ASKED);
    assert_eq!(refused, Admission::ComeBack { after_ms: 3_500 });
}

#[test]
fn room_that_is_free_or_can_be_lent_counts() {
    let free = PoolLoad {
        free: cores(4_000),
        ..load(450_000)
    };
    assert_eq!(admit(&free, &ASKED), Admission::Accept);
    let lent = PoolLoad {
        reserve: cores(1_000_000_000),
        reserve_after_ms: 1_000,
        ..load(450_000)
    };
    assert_eq!(admit(&lent, &ASKED), Admission::Accept);
}

#[test]
fn durations_are_learnt_also_where_estimates_tell_nothing() {
    let step = StepSpec::default();
    let kind = StepKind::new(&QueueKey::default(), &step);
    let mut durations = Durations::default();
    assert_eq!(durations.expect_ms(&kind, 500), 500);
    for round in 0..400 {
        durations.note(&kind, 100 + 1_800 * (round % 2), 1_000);
    }
    let expected = durations.expect_ms(&kind, 100);
    assert!((950..=1_050).contains(&expected), "{expected}");
}

#[test]
fn durations_follow_estimates_that_tell() {
    let kind = StepKind::new(&QueueKey::default(), &StepSpec::default());
    let mut durations = Durations::default();
    for round in 0..400 {
        let estimated = 500 + 1_000 * (round % 2);
        durations.note(&kind, estimated, estimated);
    }
    let expected = durations.expect_ms(&kind, 1_500);
    assert!((1_450..=1_550).contains(&expected), "{expected}");
}

#[test]
fn a_worker_that_fails_what_it_is_given_is_set_aside_and_tried_again() {
    let mut health = Health::default();
    assert!(!health.note_failure(0));
    assert!(!health.note_failure(0));
    assert!(health.note_failure(0));
    assert!(health.is_aside(1_999));
    assert!(!health.is_aside(2_000));
    assert!(health.note_failure(2_000), "one more failure is enough");
    health.note_done();
    assert!(!health.note_failure(9_000));
}

#[test]
fn the_longest_chain_follows_what_waits() {
    let step = |estimated_ms, after: &[u16]| StepSpec {
        estimated_ms,
        after: after.to_vec(),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: vec![
            step(100, &[]),
            step(300, &[]),
            step(50, &[0, 1]),
            step(10, &[0]),
        ],
        ..JobSpec::default()
    };
    assert_eq!(longest_chain_ms(&spec, |step| step.estimated_ms), 350);
}

#[test]
fn a_tail_over_its_target_halves_the_pace_and_room_gives_it_back() {
    assert_eq!(next_percent(100, 120), 50);
    assert_eq!(next_percent(12, 120), 0);
    assert_eq!(next_percent(50, 80), 50);
    assert_eq!(next_percent(0, 10), 15);
    assert_eq!(next_percent(95, 10), 100);
}

const fn candidate(cpu_millis: u64) -> Candidate {
    Candidate {
        free: Resources {
            cpu_millis,
            memory_mb: 1_000,
            gpus: 0,
        },
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mb: 32_000,
            gpus: 0,
        },
        near: true,
        recent_failures: 0,
        is_pinned: false,
        is_leaving: false,
    }
}

#[test]
fn tasks_go_where_the_least_room_is_left() {
    let needs = needs(1_000, 0);
    let candidates = [candidate(16_000), candidate(2_000), candidate(900)];
    assert_eq!(choose(&candidates, &needs), Some(1));
    let far = Candidate {
        near: false,
        ..candidate(1_000)
    };
    assert_eq!(choose(&[far, candidate(9_000)], &needs), Some(1));
    let failing = Candidate {
        recent_failures: 2,
        ..candidate(1_000)
    };
    assert_eq!(choose(&[failing, candidate(9_000)], &needs), Some(1));
    assert_eq!(choose(&[candidate(10)], &needs), None);
}

const fn needs(cpu_millis: u64, memory_mb: u64) -> Needs {
    Needs {
        room: Resources {
            cpu_millis,
            memory_mb,
            gpus: 0,
        },
        lasts: false,
    }
}

/// A task that takes more memory than processor time goes where the least memory is left.
#[test]
fn the_least_room_is_of_what_the_task_needs_most() {
    let with_memory = |cpu_millis, memory_mb| Candidate {
        free: needs(cpu_millis, memory_mb).room,
        ..candidate(0)
    };
    let candidates = [with_memory(4_000, 30_000), with_memory(12_000, 16_000)];
    assert_eq!(choose(&candidates, &needs(1_000, 16_000)), Some(1));
    assert_eq!(choose(&candidates, &needs(4_000, 1_000)), Some(0));
}

#[test]
fn tasks_that_last_share_instances_and_leave_room_for_each_other() {
    let lasting = Needs {
        lasts: true,
        ..needs(1_000, 0)
    };
    let pinned = |cpu_millis| Candidate {
        is_pinned: true,
        ..candidate(cpu_millis)
    };
    let leaving = |cpu_millis| Candidate {
        is_leaving: true,
        ..candidate(cpu_millis)
    };
    let shared = [candidate(16_000), pinned(3_000), pinned(2_000)];
    assert_eq!(choose(&shared, &lasting), Some(2));
    let alone = [candidate(1_000), candidate(16_000), pinned(500)];
    assert_eq!(choose(&alone, &lasting), Some(1));
    let in_a_wave = [leaving(16_000), candidate(9_000)];
    assert_eq!(choose(&in_a_wave, &lasting), Some(1));
    assert_eq!(choose(&in_a_wave[..1], &lasting), Some(0));
}

#[test]
fn tasks_that_last_and_fit_nowhere_ask_for_instances_by_how_many_one_holds() {
    let mut demand = PoolDemand {
        instances: 1,
        pinned: 1,
        instance: needs(16_000, 64_000).room,
        ..PoolDemand::default()
    };
    let step = StepSpec {
        tasks: 24,
        needs: needs(2_000, 40_000).room,
        long_running: true,
        ..StepSpec::default()
    };
    demand.add_waiting(&step, 24);
    assert_eq!(demand.needed(), 25, "one instance holds one of them");
}

#[test]
fn a_pool_is_sized_by_what_is_there_or_what_arrives() {
    let demand = PoolDemand {
        lasting_to_come: 0,
        instances: 4,
        pinned: 2,
        instance: cores(16_000),
        lasting: cores(10_000),
        ready: cores(60_000),
        arriving: cores(200_000),
    };
    assert_eq!(demand.needed(), 16);
    let idle = PoolDemand {
        ready: cores(0),
        arriving: cores(0),
        ..demand
    };
    assert_eq!(idle.needed(), 2, "tasks that last hold their instances");
}

#[test]
fn memory_counts_like_processors_where_it_is_what_lacks() {
    let memory = |memory_mb| Resources {
        memory_mb,
        ..cores(1_000)
    };
    let demand = PoolDemand {
        instance: Resources {
            memory_mb: 32_000,
            ..cores(16_000)
        },
        ready: memory(272_000),
        ..PoolDemand::default()
    };
    assert_eq!(demand.needed(), 10);
    let full = PoolLoad {
        capacity: memory(100_000),
        backlog: Work {
            core_ms: 0,
            memory_mb_s: 450_000,
        },
        ..load(0)
    };
    let asked = Asked {
        first: memory(1_000),
        ..ASKED
    };
    assert_eq!(
        admit(&full, &asked),
        Admission::ComeBack { after_ms: 3_500 }
    );
}

#[test]
fn too_few_instances_are_divided_by_what_is_lacking() {
    assert_eq!(divide(&[10, 2, 4], 20), [10, 2, 4]);
    let given = divide(&[30, 10, 0], 20);
    assert_eq!(given.iter().sum::<usize>(), 20);
    assert_eq!(given[0], 15);
}

#[test]
fn each_instance_of_a_pool_is_counted_for_one_use() {
    let demand = PoolDemand {
        instances: 20,
        pinned: 6,
        instance: needs(16_000, 64_000).room,
        ready: needs(4 * 13_600, 0).room,
        ..PoolDemand::default()
    };
    let uses = demand.uses(9);
    let expected = InstanceUse {
        working: 4,
        held: 2,
        expected: 3,
        idle: 11,
    };
    assert_eq!(uses, expected);
    let few = PoolDemand {
        instances: 5,
        ..demand
    };
    let expected = InstanceUse {
        working: 4,
        held: 1,
        ..InstanceUse::default()
    };
    assert_eq!(few.uses(9), expected);
}

/// A wave of 186 instances in 26 s, 72 at once, beside a rise that asks for more than there is.
#[test]
fn a_wave_waits_for_work_only_while_it_can_still_be_in_time() {
    let left = WaveLeft {
        instances: 186,
        max_down: 72,
        maintenance_ms: 2_000,
        time_ms: 27_000,
    };
    assert!(may_wait(&left), "three rounds of 4.5 s, twice over");
    let late = WaveLeft {
        time_ms: 26_999,
        ..left
    };
    assert!(!may_wait(&late));
    let one_by_one = WaveLeft {
        max_down: 1,
        ..left
    };
    assert!(!may_wait(&one_by_one));
}

#[test]
fn mechanisms_are_switched_off_by_name() {
    assert_eq!("".parse(), Ok(Mechanisms::ALL));
    let off: Mechanisms = "admission, moves".parse().expect("both are known");
    assert!(!off.admission && !off.moves && off.noted_rises);
    assert_eq!(off.to_string(), "moves,admission");
    for name in Mechanisms::names() {
        let off: Mechanisms = name.parse().expect("the name is known");
        assert_eq!(off.to_string(), name, "each name switches off one");
    }
    let error = "moves,luck".parse::<Mechanisms>().expect_err("unknown");
    assert!(
        error
            .to_string()
            .starts_with("`luck` is no mechanism; known are moves,")
    );
}
