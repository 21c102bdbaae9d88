//! A route is dropped by mistake and restored; meanwhile a task fails for the last permitted time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::json;

use super::{World, done_after};
use crate::Verdict;
use crate::record::line;
use crate::site::wait_until;
use crate::worker::Work;

const JOB: &str = "6e2a9c43f16d58b0";
const ATTEMPTS: u32 = 2;

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    play(world, trouble).unwrap_or_else(|verdict| verdict)
}

fn play(world: &mut World, trouble: bool) -> Result<Verdict, Verdict> {
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    world.start(ATTEMPTS)?;
    // The first run fails soon, the second one later, and a third one would succeed.
    let count = Arc::new(AtomicU64::new(0));
    for number in 1..=2 {
        let count = count.clone();
        let worker = world.worker(number, move |_, _, _| {
            match count.fetch_add(1, Ordering::SeqCst) {
                0 => Work {
                    end: "failed",
                    ..done_after(500)
                },
                1 => Work {
                    end: "failed",
                    ..done_after(4_000)
                },
                _ => done_after(1_000),
            }
        });
        world.platform.add_machine(&worker);
    }
    world.settle()?;
    let steps = json!([{ "count": 1, "cpu": 2000, "mem_mb": 512, "estimated_ms": 2000 }]);
    if !world.site.submit(JOB, &steps) {
        return Err(Verdict::CouldNotRun("the job was not accepted".to_owned()));
    }
    let count_of = |kind: &str| {
        let events = world.fleet.events();
        events.iter().filter(|event| event.kind == kind).count()
    };
    if !wait_until(Duration::from_secs(10), || count_of("start") == 2) {
        return Err(Verdict::CouldNotRun(
            "the task was not started again".to_owned(),
        ));
    }
    if trouble && !world.site.put_configuration(2, ATTEMPTS, false) {
        return Err(Verdict::CouldNotRun(
            "the configuration was not accepted".to_owned(),
        ));
    }
    let is_noted = wait_until(Duration::from_secs(10), || {
        count_of("failed") == 2 && count_of("noted") == 2
    });
    if !is_noted {
        return Err(Verdict::CouldNotRun(
            "the second failure was not noted".to_owned(),
        ));
    }
    sleep(4_000);
    if trouble && !world.site.put_configuration(3, ATTEMPTS, true) {
        return Err(Verdict::CouldNotRun(
            "the configuration was not accepted".to_owned(),
        ));
    }
    sleep(6_000);
    let state = world.site.job_state(JOB);
    line(format_args!(
        "starts {}, failed ends {}, state {state:?}",
        count_of("start"),
        count_of("failed")
    ));
    let starts = count_of("start");
    if starts > ATTEMPTS as usize {
        return Ok(Verdict::Broken(format!(
            "BUDGET: start {starts} after {ATTEMPTS} runs have ended as failed and been noted; the job is shown as {state:?}"
        )));
    }
    Ok(Verdict::Held)
}
