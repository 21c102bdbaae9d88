//! The cases.

mod budget;
mod end_twice;
mod late_start;
mod missing_machine;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::platform::Platform;
use crate::site::{Site, wait_until};
use crate::worker::{Fleet, Work, Worker};

/// Runs a case.
pub fn run(case: &str, root: &Path, folder: &Path, trouble: bool) -> Verdict {
    let run = match case {
        "late-start" => late_start::run,
        "missing-machine" => missing_machine::run,
        "end-twice" => end_twice::run,
        "budget" => budget::run,
        _ => return Verdict::CouldNotRun("no such case".to_owned()),
    };
    let mut world = World::new(root, folder);
    let verdict = run(&mut world, trouble);
    world.platform.stop();
    let ended = world
        .site
        .processes
        .iter_mut()
        .any(|process| process.has_ended());
    match verdict {
        Verdict::Held if ended => Verdict::CouldNotRun("a program has ended by itself".to_owned()),
        verdict => verdict,
    }
}

/// A site with three control instances and its stand-ins.
struct World {
    site: Site,
    fleet: Arc<Fleet>,
    platform: Arc<Platform>,
}

impl World {
    fn new(root: &Path, folder: &Path) -> Self {
        let site = Site::new(root, folder, 3);
        let fleet: Arc<Fleet> = Arc::default();
        *fleet.controls.lock().unwrap() = site.control_addresses();
        let platform = Platform::start(site.platform_address());
        Self {
            site,
            fleet,
            platform,
        }
    }

    fn worker(
        &self,
        number: u8,
        work_of: impl Fn(&str, u64, &str) -> Work + Send + Sync + 'static,
    ) -> Arc<Worker> {
        let (name, machine) = (format!("i-{number:08}"), format!("m-{number}"));
        let address = self.site.worker_address(number);
        Worker::new((&name, &machine, address), &self.fleet, work_of)
    }

    /// Starts the programs and puts the first configuration in force, with this number of attempts.
    fn start(&mut self, attempts: u32) -> Result<(), Verdict> {
        self.site.start();
        let is_ready =
            self.site.put_configuration(1, attempts, true) && self.site.wait_until_ready();
        is_ready
            .then_some(())
            .ok_or_else(|| Verdict::CouldNotRun("the site takes no configuration".to_owned()))
    }

    /// Waits until the workers know the leader, and some time more.
    fn settle(&self) -> Result<(), Verdict> {
        let knows_leader = || self.fleet.receiver.lock().unwrap().is_some();
        if !wait_until(Duration::from_secs(10), knows_leader) {
            return Err(Verdict::CouldNotRun(
                "no worker has been acknowledged".to_owned(),
            ));
        }
        std::thread::sleep(Duration::from_secs(4));
        Ok(())
    }
}

/// Work that succeeds after a time.
fn done_after(duration_ms: u64) -> Work {
    Work {
        duration_ms,
        end: "done",
    }
}
