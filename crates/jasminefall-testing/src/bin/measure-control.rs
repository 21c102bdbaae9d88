//! Measures what the processes of a site cost.
//!
//! - `measure-control heartbeats SECONDS WORKERS...`: three control replicas and one entry; the
//!   workers are stand-ins in this one process, each with a connection of its own and one heartbeat a
//!   second.
//! - `measure-control changes CHANGES ENTRIES...`: three control replicas and some entries; changes of
//!   the desired state one after the other, each until it is in force.
//! - `measure-control idle SECONDS ENTRIES...`: the same with nothing to do.

use std::fmt::Write;
use std::time::{Duration, Instant};

use jasminefall_testing::heartbeats;
use jasminefall_testing::site::Site;
use jasminefall_testing::usage::Usage;

const CONTROLS: usize = 3;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const WORKERS_A_RACK: usize = 4;
const SETTLE: Duration = Duration::from_secs(4);
const MIB: f64 = 1_048_576.0;
const HEADER: &str = "\
| size | role | processor, % of a core | memory, MiB | traffic, bytes/s | seen |
| --- | --- | --- | --- | --- | --- |";

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, length, sizes @ ..] = words.as_slice() else {
        anyhow::bail!("usage: measure-control heartbeats|changes|idle LENGTH SIZE...")
    };
    let length: u64 = length.parse()?;
    println!("{HEADER}");
    for size in sizes {
        let size: usize = size.parse()?;
        match scenario.as_str() {
            "heartbeats" => heartbeats(size, Duration::from_secs(length)).await,
            "changes" => changes(size, length),
            "idle" => idle(size, Duration::from_secs(length)),
            unknown => anyhow::bail!("`{unknown}` is no scenario; use heartbeats, changes or idle"),
        }
    }
    Ok(())
}

/// Starts a site whose entries report their counts as seldom as they usually do.
fn usual_site(entries: usize) -> Site {
    let site = Site::new(CONTROLS, entries);
    for entry in 0..entries {
        site.edit_entry(entry, |text: String| {
            text.replace("observation_interval = 500ms", "observation_interval = 10s")
        });
    }
    site.started()
}

/// Takes what the processes of a site use from now on.
struct Meter {
    processes: Vec<u32>,
    before: Vec<Usage>,
    start: Instant,
}

impl Meter {
    fn new(site: &Site) -> Self {
        let processes = site.process_ids();
        let before = Usage::of_processes(&processes);
        Self {
            processes,
            before,
            start: Instant::now(),
        }
    }

    /// Prints a row a process; `seen` goes to the control replica that worked most.
    fn print(self, size: usize, seen: &str) {
        let elapsed_s = self.start.elapsed().as_secs_f64();
        let after = Usage::of_processes(&self.processes);
        let used_ms = |position: usize| after[position].cpu_ms - self.before[position].cpu_ms;
        let leader = (0..CONTROLS).max_by_key(|position| used_ms(*position));
        for (position, used) in after.iter().enumerate() {
            let is_leader = Some(position) == leader;
            let role = match position {
                position if position >= CONTROLS => "entry",
                _ if is_leader => "control, leader",
                _ => "control, follower",
            };
            let percent = used_ms(position) as f64 / 10.0 / elapsed_s;
            let memory_mib = used.memory_bytes as f64 / MIB;
            let traffic = used
                .traffic_bytes
                .saturating_sub(self.before[position].traffic_bytes);
            let rate = traffic as f64 / elapsed_s;
            let seen = if is_leader { seen } else { "" };
            println!("| {size} | {role} | {percent:.2} | {memory_mib:.1} | {rate:.0} | {seen} |");
        }
    }
}

async fn heartbeats(size: usize, length: Duration) {
    let site = usual_site(1);
    site.apply(0, &desired(&site, size, 0));
    // Connections are made and the leader found before anything is counted.
    let control = site.workers_addresses();
    heartbeats::run(&control, size, HEARTBEAT_INTERVAL, SETTLE).await;
    let meter = Meter::new(&site);
    let seen = heartbeats::run(&control, size, HEARTBEAT_INTERVAL, length).await;
    let latency_ms = |quantile| seen.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
    let rate = seen.bytes as f64 / length.as_secs_f64() / size as f64;
    let seen = format!(
        "heartbeat p50 {:.2} ms, p99 {:.2} ms, {rate:.0} bytes/s a worker, {} failed",
        latency_ms(0.5),
        latency_ms(0.99),
        seen.failures
    );
    meter.print(size, &seen);
}

fn changes(entries: usize, count: u64) {
    let site = usual_site(entries);
    site.apply(0, &desired(&site, 1, 0));
    std::thread::sleep(SETTLE);
    let meter = Meter::new(&site);
    let mut took_ms: Vec<u128> = Vec::new();
    for number in 1..=count {
        let start = Instant::now();
        site.apply(number, &desired(&site, 1, number));
        took_ms.push(start.elapsed().as_millis());
    }
    took_ms.sort_unstable();
    let median_ms = took_ms.get(took_ms.len() / 2).copied().unwrap_or_default();
    let longest_ms = took_ms.last().copied().unwrap_or_default();
    let elapsed_s = meter.start.elapsed().as_secs_f64();
    let seen = format!(
        "{count} changes in {elapsed_s:.1} s, in force after {median_ms} ms at the median, {longest_ms} ms at most"
    );
    meter.print(entries, &seen);
}

fn idle(entries: usize, length: Duration) {
    let site = usual_site(entries);
    site.apply(0, &desired(&site, 1, 0));
    std::thread::sleep(SETTLE);
    let meter = Meter::new(&site);
    std::thread::sleep(length);
    meter.print(entries, "");
}

/// Returns a desired state with `size` instances; `change` makes each text differ.
fn desired(site: &Site, size: usize, change: u64) -> String {
    let mut text = format!(
        "[fleet]\nname = measured-{change}\n[budget.standard]\n[pool.general]\nbudget = standard\n\
         [team.guild]\n[service.render]\n{}",
        site.entry_sections()
    );
    for number in 1..=size {
        let rack = number.div_ceil(WORKERS_A_RACK);
        let _ = writeln!(
            text,
            "[instance.w{number}]\npool = general\ndata_centre = dc1\nrack = r{rack}"
        );
    }
    text
}
