//! A worker crashes under a gang that reports checkpoints; the gang has to go on from one of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::json;

use super::World;
use crate::Verdict;
use crate::record::line;
use crate::site::wait_until;
use crate::worker::{Event, Work};

const JOB: &str = "7d1f8b32e05c47a9";
const WORK_MS: u64 = 6_000;
const MEMBERS: usize = 2;
/// One of them crashes, which is within the share of 0.14 that the pages name.
const WORKERS: u8 = 8;
const DOWN_MS: u64 = 3_000;
/// `stability_window_ms` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    play(world, trouble).unwrap_or_else(|verdict| verdict)
}

fn play(world: &mut World, trouble: bool) -> Result<Verdict, Verdict> {
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    world.start(4)?;
    let work = |_: &str, _: u64, _: &str| Work {
        duration_ms: WORK_MS,
        end: "done",
        gang: MEMBERS,
        checkpoints: true,
    };
    let workers: Vec<_> = (1..=WORKERS)
        .map(|number| world.worker(number, work))
        .collect();
    for worker in &workers {
        world.platform.add_machine(worker);
    }
    world.settle()?;
    // One member fits on a worker.
    let steps = json!([{ "count": MEMBERS, "cpu": 9000, "mem_mb": 1024, "estimated_ms": WORK_MS,
        "gang": true, "checkpointing": true }]);
    if !world.site.submit(JOB, &steps) {
        return Err(Verdict::CouldNotRun("the job was not accepted".to_owned()));
    }
    let started = |events: &[Event]| events.iter().filter(|event| event.kind == "start").count();
    if !wait_until(Duration::from_secs(5), || {
        started(&world.fleet.events()) >= MEMBERS
    }) {
        return Err(Verdict::CouldNotRun("the gang was not started".to_owned()));
    }
    let mut calm_since = Instant::now();
    if trouble {
        sleep(2_700);
        let events = world.fleet.events();
        let member = events.iter().rfind(|event| event.kind == "start").unwrap();
        let worker = workers
            .iter()
            .find(|worker| worker.name == member.worker)
            .unwrap();
        worker.crash();
        sleep(DOWN_MS);
        worker.start();
        calm_since = Instant::now() + STABILITY_WINDOW;
    }
    let mut checked = Instant::now();
    let is_completed = wait_until(Duration::from_secs(40), || {
        if checked.elapsed() < Duration::from_secs(1) {
            return false;
        }
        checked = Instant::now();
        world.site.job_state(JOB).as_deref() == Some("completed")
    });
    let events = world.fleet.events();
    let mut given: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
    for event in events.iter().filter(|event| event.kind == "start") {
        given.entry(event.run).or_default().push(&event.saved);
    }
    for (run, saved) in &given {
        line(format_args!("run {run}: the members were given {saved:?}"));
    }
    let alone = events
        .iter()
        .filter(|event| event.kind == "alone" && event.at > calm_since + STABILITY_WINDOW);
    let alone: Vec<_> = alone
        .map(|event| format!("{} run {}", event.task, event.run))
        .collect();
    if alone.is_empty() {
        if is_completed {
            return Ok(Verdict::Held);
        }
        return Err(Verdict::CouldNotRun(
            "the gang was not completed".to_owned(),
        ));
    }
    Ok(Verdict::Broken(format!(
        "GANG: runs end alone in the calm: {}; job completed: {is_completed}",
        alone.join(", ")
    )))
}
