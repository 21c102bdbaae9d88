//! Tests of snapshots of the replicated state.

use std::collections::BTreeSet;
use std::sync::Arc;

use jasminefall_jobs::prelude::*;
use jasminefall_jobs::state::{FormerPools, MAX_RETIRED_INCARNATIONS, SurgeRecord};
use smol_str::SmolStr;

fn state_with_surge() -> JobsState {
    let mut state = JobsState::default();
    state.apply(Command::Lead);
    state.apply(Command::RecordSurge {
        pool: "render".into(),
        rise: SurgeRecord {
            began_at_ms: 5_000,
            peak_millis: 90_000,
        },
    });
    state
}

#[test]
fn snapshot_round_trip_preserves_state() {
    let state = state_with_surge();
    let bytes = state.to_bytes().expect("the state can be encoded");
    assert_eq!(
        JobsState::from_bytes(&bytes).expect("the snapshot is valid"),
        state
    );
}

/// Earlier versions recorded no surges, so their snapshots end with the waves.
#[test]
fn snapshot_without_surges_is_decoded() {
    let state = state_with_surge();
    let without_surges = postcard::to_stdvec(&state).expect("the state can be encoded");
    let read = JobsState::from_bytes(&without_surges).expect("the snapshot is valid");
    assert!(read.surges.is_empty());
    assert_eq!(read.leaderships, state.leaderships);
}

fn configuration(version: u64, queue_pool: Option<&str>) -> Arc<Configuration> {
    let pool = |name: &str| Pool {
        name: name.into(),
        ..Pool::default()
    };
    let queue = queue_pool.map(|pool| Queue {
        key: queue_key(),
        pool: pool.into(),
        ..Queue::default()
    });
    Arc::new(Configuration {
        version,
        queues: queue.into_iter().collect(),
        pools: vec![pool("render"), pool("encode")],
        ..Configuration::default()
    })
}

fn queue_key() -> QueueKey {
    QueueKey {
        host: "layouts.example".into(),
        path_prefix: "/builds/".into(),
    }
}

/// Returns a state with an active job of a queue in the pool `render`, and a worker in this pool.
fn state_with_job() -> JobsState {
    let mut state = JobsState::default();
    state.apply(Command::Configure(configuration(1, Some("render"))));
    state.apply(Command::Register(Box::new(Heartbeat {
        pool: "render".into(),
        ..Heartbeat::default()
    })));
    state.apply(Command::Submit {
        job: JobKey(1),
        queue: queue_key(),
        spec: Arc::new(JobSpec::default()),
        at_ms: 5_000,
    });
    state
}

fn former_pools(names: &[&str]) -> FormerPools {
    let pools: BTreeSet<SmolStr> = names.iter().map(SmolStr::new).collect();
    if pools.is_empty() {
        FormerPools::new()
    } else {
        FormerPools::from([(queue_key(), pools)])
    }
}

#[test]
fn former_pools_are_kept_while_their_queue_has_an_active_job() {
    let mut state = state_with_job();
    for (version, pool) in [(2, Some("encode")), (3, None), (4, Some("render"))] {
        state.apply(Command::Configure(configuration(version, pool)));
    }
    assert_eq!(state.former_pools, former_pools(&["encode", "render"]));
    state.apply(Command::Cancel(JobKey(1)));
    state.apply(Command::Configure(configuration(5, Some("render"))));
    assert_eq!(state.former_pools, former_pools(&[]));
}

/// A pool that isn't declared and has no workers has no runs, so many changes don't let the state grow.
#[test]
fn former_pools_without_workers_are_dropped_with_their_declaration() {
    let mut state = state_with_job();
    for version in 2..100 {
        let name = format!("render-{version}");
        let mut changed = Configuration::clone(&configuration(version, Some(&name)));
        changed.pools[1].name = name.into();
        state.apply(Command::Configure(Arc::new(changed)));
    }
    assert_eq!(state.former_pools, former_pools(&["render"]));
}

/// A snapshot of an earlier version doesn't hold the former pools, so each pool with workers may be one.
#[test]
fn every_pool_with_workers_may_be_a_former_one_after_a_snapshot_of_an_earlier_version() {
    let mut state = state_with_job();
    state.apply(Command::Configure(configuration(2, Some("encode"))));
    let bytes = state.to_bytes().expect("the state can be encoded");
    assert_eq!(
        JobsState::from_bytes(&bytes).expect("the snapshot is valid"),
        state
    );
    let sections = postcard::to_stdvec(&(&state.former_pools, &state.retired));
    let sections = sections.expect("the sections can be encoded");
    let earlier = &bytes[..bytes.len() - sections.len()];
    let read = JobsState::from_bytes(earlier).expect("the snapshot is valid");
    assert_eq!(read.former_pools, former_pools(&["render"]));
}

/// A snapshot may be cut only where those of earlier versions end.
#[test]
fn truncated_snapshot_is_rejected() {
    let state = state_with_surge();
    let bytes = state.to_bytes().expect("the state can be encoded");
    let length = |bytes: Result<Vec<u8>, _>| bytes.expect("the state can be encoded").len();
    // Maps without an entry, and without removals.
    let (long_jobs, former_pools, retired) = (1, 1, 2);
    let latest = bytes.len() - retired;
    let earlier = latest - former_pools;
    let earlier_lengths = [
        latest,
        length(postcard::to_stdvec(&state)),
        length(postcard::to_stdvec(&(&state, &state.surges))),
        earlier - long_jobs - length(postcard::to_stdvec(&state.crashes)),
        earlier - long_jobs,
        earlier,
    ];
    for cut in 0..bytes.len() {
        let is_decoded = JobsState::from_bytes(&bytes[..cut]).is_ok();
        assert_eq!(is_decoded, earlier_lengths.contains(&cut), "{cut} bytes");
    }
}

fn incarnation(number: usize) -> IncarnationId {
    IncarnationId {
        worker: smol_str::format_smolstr!("i-{number}"),
        started_at_ms: 1,
    }
}

/// Registers an incarnation, records one end of it and removes it.
fn retire(state: &mut JobsState, number: usize, end_number: u64) {
    state.apply(Command::Register(Box::new(Heartbeat {
        incarnation: incarnation(number),
        ..Heartbeat::default()
    })));
    let end = RunEnd {
        number: end_number,
        task: TaskId {
            job: JobKey(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        kind: EndKind::Done,
        checkpoint: SmolStr::default(),
    };
    state.apply(Command::RecordRunEnds {
        life: incarnation(number),
        ends: vec![end],
    });
    state.apply(Command::Retire(incarnation(number)));
}

/// Guards against an end that is recorded twice: what was recorded of a removed incarnation was lost with it.
#[test]
fn recorded_ends_of_removed_incarnations_are_kept_over_snapshots_and_returns() {
    let mut state = JobsState::default();
    retire(&mut state, 1, 7);
    let bytes = state.to_bytes().expect("the state can be encoded");
    let mut state = JobsState::from_bytes(&bytes).expect("the snapshot is valid");
    assert_eq!(state.ends_recorded_upto(&incarnation(1)), 7);
    state.apply(Command::Register(Box::new(Heartbeat {
        incarnation: incarnation(1),
        ..Heartbeat::default()
    })));
    state.apply(Command::Retire(incarnation(1)));
    assert_eq!(
        state.ends_recorded_upto(&incarnation(1)),
        7,
        "it returned without an end"
    );
    retire(&mut state, 1, 9);
    assert_eq!(state.ends_recorded_upto(&incarnation(1)), 9);
    assert_eq!(state.ends_recorded_upto(&incarnation(2)), 0);
}

/// Guards against a state that grows with each worker that never comes back.
#[test]
fn removed_incarnations_are_bounded_and_the_first_ones_are_dropped() {
    let mut state = JobsState::default();
    for number in 0..MAX_RETIRED_INCARNATIONS {
        retire(&mut state, number, 1);
    }
    retire(&mut state, 0, 2);
    retire(&mut state, MAX_RETIRED_INCARNATIONS, 1);
    assert_eq!(state.retired.len(), MAX_RETIRED_INCARNATIONS);
    assert_eq!(
        state.ends_recorded_upto(&incarnation(0)),
        2,
        "it was removed again"
    );
    assert_eq!(state.ends_recorded_upto(&incarnation(1)), 0);
    assert_eq!(
        state.ends_recorded_upto(&incarnation(MAX_RETIRED_INCARNATIONS)),
        1
    );
}
