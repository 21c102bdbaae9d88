//! The platform is slow; while a list of its machines is under way, a machine is added and a wave names it.

use std::time::{Duration, Instant};

use super::{World, done_after};
use crate::Verdict;
use crate::record::line;

/// How long the platform usually takes to answer a request for its list.
const LIST_TIME: Duration = Duration::from_millis(20);
/// How much longer it takes while it is slow; the bench's factor.
const SLOWNESS: u32 = 50;
/// One more is added, which is within the share of 0.305 that the pages name.
const MACHINES: u8 = 8;

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    play(world, trouble).unwrap_or_else(|verdict| verdict)
}

fn play(world: &mut World, trouble: bool) -> Result<Verdict, Verdict> {
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    world.start(3)?;
    for number in 1..=MACHINES {
        let worker = world.worker(number, |_, _, _| done_after(1_000));
        world.platform.add_machine(&worker);
    }
    world
        .platform
        .set_list_delay(LIST_TIME * if trouble { SLOWNESS } else { 1 });
    world.settle()?;
    if !world.platform.wait_for_list(Duration::from_secs(20)) {
        return Err(Verdict::CouldNotRun(
            "the list was not requested".to_owned(),
        ));
    }
    sleep(150);
    let new = world.worker(MACHINES + 1, |_, _, _| done_after(1_000));
    world.platform.add_machine(&new);
    sleep(200);
    let machines = ["m-1", "m-9"];
    world.platform.add_wave(1, &machines);
    if !world.site.start_wave(1, &machines, 26, 1) {
        return Err(Verdict::CouldNotRun("the wave was not accepted".to_owned()));
    }
    let end = Instant::now() + Duration::from_secs(35);
    let is_kept = |machine: &str| world.platform.has_begun(machine, 1);
    while Instant::now() < end {
        sleep(500);
        if world.site.wave_state(1).as_deref() == Some("completed") {
            let missing: Vec<_> = machines
                .iter()
                .filter(|machine| !is_kept(machine))
                .collect();
            if missing.is_empty() {
                return Ok(Verdict::Held);
            }
            sleep(10_000);
            let missing: Vec<_> = machines
                .iter()
                .filter(|machine| !is_kept(machine))
                .collect();
            line(format_args!("10 s later without upkeep: {missing:?}"));
            return Ok(Verdict::Broken(format!(
                "MIXED: wave 1 is said to be completed, and {missing:?}, which stay, haven't begun their upkeep"
            )));
        }
    }
    Err(Verdict::CouldNotRun(
        "the wave was not completed in time".to_owned(),
    ))
}
