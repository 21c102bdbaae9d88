//! Random schedules of messages, crashes, restarts, partitions, slow and lost disks.
//!
//! `SCHEDULE_SEED=N` runs one schedule alone; `SCHEDULES=N` changes how many are run.

#[path = "schedules/checks.rs"]
mod checks;
#[path = "schedules/group.rs"]
mod group;
#[path = "schedules/node.rs"]
mod node;

use group::Group;

const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn random_schedules_keep_every_promise() {
    if let Some(seed) = number("SCHEDULE_SEED") {
        return Group::new(seed).run();
    }
    let schedules = number("SCHEDULES").unwrap_or(SCHEDULES);
    let run = |thread| {
        move || {
            (thread..schedules)
                .step_by(THREADS as usize)
                .map(run_one)
                .sum::<u64>()
        }
    };
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| std::thread::spawn(run(thread)))
        .collect();
    let acknowledged: u64 = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .sum();
    println!("schedules={schedules} acknowledged={acknowledged}");
    assert!(
        acknowledged > schedules * 10,
        "the schedules must do real work"
    );
}

/// A replica that was away when it was removed knew no voter that leads, and never came back.
#[test]
fn a_schedule_that_left_a_replica_outside_goes_on() {
    run_one(18_813);
}

/// Runs one schedule, naming its seed if it fails.
fn run_one(seed: u64) -> u64 {
    let run = std::panic::AssertUnwindSafe(|| {
        let mut group = Group::new(seed);
        group.run();
        group.acknowledged()
    });
    std::panic::catch_unwind(run).unwrap_or_else(|_| panic!("run again with SCHEDULE_SEED={seed}"))
}
