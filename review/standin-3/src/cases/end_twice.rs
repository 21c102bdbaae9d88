//! A worker is cut off as it has listed a failed run, and the leader is killed before the worker is back.

use std::time::{Duration, Instant};

use serde_json::json;

use super::{World, done_after};
use crate::Verdict;
use crate::record::line;
use crate::site::wait_until;
use crate::worker::Work;

const JOB: &str = "4b9d07e1a62f83c5";
const ATTEMPTS: u32 = 2;
/// One of them is cut off, which is within the share of 0.12 that the pages name.
const WORKERS: u8 = 9;
const CUT_MS: u64 = 6_000;
const KILL_AFTER_CUT: Duration = Duration::from_millis(5_650);
const DOWN: Duration = Duration::from_secs(3);

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    play(world, trouble).unwrap_or_else(|verdict| verdict)
}

fn play(world: &mut World, trouble: bool) -> Result<Verdict, Verdict> {
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    world.start(ATTEMPTS)?;
    for number in 1..=WORKERS {
        let worker = world.worker(number, |_, run, _| match run {
            1 => Work {
                end: "failed",
                ..done_after(900)
            },
            _ => done_after(25_000),
        });
        world.platform.add_machine(&worker);
    }
    world.settle()?;
    // Some time before the next heartbeats.
    let is_just_acknowledged = || {
        let at = *world.fleet.acknowledged_at.lock().unwrap();
        at.is_some_and(|at| (60..120).contains(&at.elapsed().as_millis()))
    };
    wait_until(Duration::from_secs(5), is_just_acknowledged);
    if trouble {
        *world.fleet.cut_after_failure_ms.lock().unwrap() = Some(CUT_MS);
    }
    let steps = json!([{ "count": 1, "cpu": 2000, "mem_mb": 512, "estimated_ms": 2000 }]);
    if !world.site.submit(JOB, &steps) {
        return Err(Verdict::CouldNotRun("the job was not accepted".to_owned()));
    }
    if trouble {
        let cut_at = || {
            world
                .fleet
                .cut_worker
                .lock()
                .unwrap()
                .as_ref()
                .map(|(_, at)| *at)
        };
        if !wait_until(Duration::from_secs(5), || cut_at().is_some()) {
            return Err(Verdict::CouldNotRun("no run has failed".to_owned()));
        }
        let leader = world
            .fleet
            .receiver
            .lock()
            .unwrap()
            .expect("the leader is known");
        let kill_at = cut_at().unwrap() + KILL_AFTER_CUT;
        std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        world.site.restart_control(leader, DOWN);
    }
    let mut state = None;
    let end = Instant::now() + Duration::from_secs(45);
    while Instant::now() < end {
        sleep(1_000);
        state = world.site.job_state(JOB);
        if matches!(state.as_deref(), Some("completed" | "failed")) {
            break;
        }
    }
    let events = world.fleet.events();
    let failed = events.iter().filter(|event| event.kind == "failed").count();
    line(format_args!(
        "failed ends {failed}, attempts {ATTEMPTS}, state {state:?}"
    ));
    match state.as_deref() {
        Some("failed") if failed < ATTEMPTS as usize => Ok(Verdict::Broken(format!(
            "LOST: the job is shown as failed after {failed} failed run of {ATTEMPTS}"
        ))),
        Some("completed") => Ok(Verdict::Held),
        _ => Err(Verdict::CouldNotRun(format!(
            "the job is shown as {state:?}"
        ))),
    }
}
