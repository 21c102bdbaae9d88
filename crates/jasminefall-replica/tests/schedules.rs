//! Random schedules of messages, crashes, restarts, partitions, slow disks and lost disks.
//!
//! `SCHEDULE_SEED=N` runs only the schedule with seed N; `SCHEDULES=N` sets the number of schedules.

#[path = "schedules/checks.rs"]
mod checks;
#[path = "schedules/group.rs"]
mod group;
#[path = "schedules/node.rs"]
mod node;

use group::Group;

const DEFAULT_SCHEDULE_COUNT: u64 = 10_000;
const DEFAULT_REPLACEMENT_SCHEDULE_COUNT: u64 = 3_000;
const THREAD_COUNT: u64 = 4;

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn random_schedules_are_safe_and_recover_without_faults() {
    run_schedules(Group::new, DEFAULT_SCHEDULE_COUNT);
}

/// Guards against the loss of an acknowledged entry, or of the quorum, by replaced machines beside crashes, of
/// one or of all, that lose unsynced data, and membership changes at any step.
#[test]
fn random_schedules_with_replaced_machines_are_safe_and_recover() {
    run_schedules(Group::with_replacements, DEFAULT_REPLACEMENT_SCHEDULE_COUNT);
}

/// Runs the schedules of the groups that `create` returns for each seed.
fn run_schedules(create: fn(u64) -> Group, default_count: u64) {
    if let Some(seed) = number_from_env("SCHEDULE_SEED") {
        return create(seed).run();
    }
    let schedules = number_from_env("SCHEDULES").unwrap_or(default_count);
    let run = |thread| {
        move || {
            (thread..schedules)
                .step_by(THREAD_COUNT as usize)
                .map(|seed| run_one(create, seed))
                .sum::<u64>()
        }
    };
    let threads: Vec<_> = (0..THREAD_COUNT)
        .map(|thread| std::thread::spawn(run(thread)))
        .collect();
    let acknowledged: u64 = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .sum();
    println!("schedules={schedules} acknowledged={acknowledged}");
    assert!(
        acknowledged > schedules * 10,
        "the schedules must acknowledge more than 10 proposals on average"
    );
}

/// Guards against a replica that never rejoins after its removal.
///
/// It was down when it was removed, and its stale membership did not include the leader.
#[test]
fn replica_removed_while_down_rejoins_when_its_voters_exclude_the_leader() {
    run_one(Group::new, 18_813);
}

/// Runs one schedule and returns the number of acknowledged proposals; panics with the seed.
fn run_one(create: fn(u64) -> Group, seed: u64) -> u64 {
    let run = std::panic::AssertUnwindSafe(|| {
        let mut group = create(seed);
        group.run();
        group.acknowledged_count()
    });
    std::panic::catch_unwind(run).unwrap_or_else(|_| panic!("run again with SCHEDULE_SEED={seed}"))
}
