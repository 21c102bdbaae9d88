//! A worker leaves a start unanswered and crashes; the start is carried out once the worker has started again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::json;

use super::{World, done_after};
use crate::Verdict;
use crate::record::line;
use crate::site::wait_until;
use crate::worker::Event;

const JOB: &str = "5c0e7a21d94b36f8";
/// One of them crashes, which is within the share of 0.14 that the pages name.
const WORKERS: u8 = 8;
const WORK_MS: u64 = 15_000;
/// When the unanswered start is carried out, after its arrival; the pages name 2 to 12 s.
const LATE_MS: u64 = 5_500;
/// The time for which the site's own days let orders be late.
const DISRUPTION: Duration = Duration::from_millis(6_100);
const CRASH_AFTER_MS: u64 = 1_500;
const DOWN_MS: u64 = 3_000;

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    match play(world, trouble) {
        Ok(()) => judge(&world.fleet.events()),
        Err(verdict) => verdict,
    }
}

fn play(world: &mut World, trouble: bool) -> Result<(), Verdict> {
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    world.start(3)?;
    let workers: Vec<_> = (1..=WORKERS)
        .map(|number| world.worker(number, |_, _, _| done_after(WORK_MS)))
        .collect();
    for worker in &workers {
        world.platform.add_machine(worker);
    }
    world.settle()?;
    if trouble {
        *world.fleet.late_start_ms.lock().unwrap() = Some(LATE_MS);
    }
    let began_at = Instant::now();
    let steps = json!([{ "count": 1, "cpu": 2000, "mem_mb": 512, "estimated_ms": WORK_MS }]);
    if !world.site.submit(JOB, &steps) {
        return Err(Verdict::CouldNotRun("the job was not accepted".to_owned()));
    }
    if trouble {
        sleep(CRASH_AFTER_MS);
        let late = world.fleet.late_worker.lock().unwrap().clone();
        let worker = workers
            .iter()
            .find(|worker| Some(&worker.name) == late.as_ref());
        let worker = worker.ok_or(Verdict::CouldNotRun("no start was sent".to_owned()))?;
        worker.crash();
        sleep(DOWN_MS);
        worker.start();
    }
    let is_over = || {
        world
            .site
            .job_state(JOB)
            .is_some_and(|state| state == "completed")
    };
    let mut checked = Instant::now();
    wait_until(Duration::from_secs(45), || {
        if checked.elapsed() < Duration::from_secs(1) {
            return false;
        }
        checked = Instant::now();
        is_over()
    });
    let orders = world.fleet.orders.lock().unwrap();
    let within = orders
        .iter()
        .filter(|at| (began_at..began_at + DISRUPTION).contains(at));
    line(format_args!(
        "{} orders to workers within {DISRUPTION:?} from the submission on, one of them late",
        within.count()
    ));
    Ok(())
}

/// TWICE: two runs of one work item at the same time, on workers that are up.
fn judge(events: &[Event]) -> Verdict {
    let mut running: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
    let mut broken = Vec::new();
    let mut starts = 0;
    for event in events {
        let runs = running.entry(&event.task).or_default();
        match event.kind.as_str() {
            "start" => {
                starts += 1;
                for other in runs.iter() {
                    broken.push(format!(
                        "{} run {} starts on {} while run {} is at work on {}",
                        event.task, event.run, event.worker, other.run, other.worker
                    ));
                }
                runs.push(event);
            }
            "noted" => {}
            _ => runs.retain(|run| run.run != event.run || run.worker != event.worker),
        }
    }
    if starts == 0 {
        Verdict::CouldNotRun("no task was started".to_owned())
    } else if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("TWICE: {}", broken.join("; ")))
    }
}
