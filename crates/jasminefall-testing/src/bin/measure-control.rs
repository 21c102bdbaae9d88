//! Measures the processor time, memory and traffic of the processes of a site.
//!
//! - `measure-control heartbeats SECONDS WORKERS...`: three control replicas and one entry; this
//!   process simulates the workers, each with its own connection and one heartbeat per second.
//! - `measure-control changes CHANGES ENTRIES...`: three control replicas and the given number of
//!   entries; applies changes of the desired state in sequence and waits until each is in force.
//! - `measure-control idle SECONDS ENTRIES...`: the same processes without any load.

use std::fmt::Write;
use std::time::{Duration, Instant};

use jasminefall_testing::heartbeats;
use jasminefall_testing::site::Site;
use jasminefall_testing::usage::Usage;

const CONTROL_COUNT: usize = 3;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const WORKERS_PER_RACK: usize = 4;
const SETTLE_TIME: Duration = Duration::from_secs(4);
const BYTES_PER_MIB: f64 = 1_048_576.0;
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
            unknown => {
                anyhow::bail!("unknown scenario `{unknown}`; use heartbeats, changes or idle")
            }
        }
    }
    Ok(())
}

/// Starts a site whose entries report observations every 10 s, as usual, instead of every 500 ms as
/// in tests.
fn start_site(entries: usize) -> Site {
    let site = Site::new(CONTROL_COUNT, entries);
    for entry in 0..entries {
        site.edit_entry(entry, |text: String| {
            text.replace("observation_interval = 500ms", "observation_interval = 10s")
        });
    }
    site.started()
}

/// Measures the resource usage of the processes of a site from its creation on.
struct UsageMeter {
    processes: Vec<u32>,
    before: Vec<Usage>,
    start: Instant,
}

impl UsageMeter {
    fn new(site: &Site) -> Self {
        let processes = site.process_ids();
        let before = Usage::of_processes(&processes);
        Self {
            processes,
            before,
            start: Instant::now(),
        }
    }

    /// Prints one row per process; `results` is printed in the row of the control replica that used
    /// the most processor time, which is taken for the leader.
    fn print(self, size: usize, results: &str) {
        let elapsed_s = self.start.elapsed().as_secs_f64();
        let after = Usage::of_processes(&self.processes);
        let used_ms = |position: usize| after[position].cpu_ms - self.before[position].cpu_ms;
        let leader = (0..CONTROL_COUNT).max_by_key(|position| used_ms(*position));
        for (position, used) in after.iter().enumerate() {
            let is_leader = Some(position) == leader;
            let role = match position {
                position if position >= CONTROL_COUNT => "entry",
                _ if is_leader => "control, leader",
                _ => "control, follower",
            };
            let percent = used_ms(position) as f64 / 10.0 / elapsed_s;
            let memory_mib = used.memory_bytes as f64 / BYTES_PER_MIB;
            let traffic = used
                .traffic_bytes
                .saturating_sub(self.before[position].traffic_bytes);
            let rate = traffic as f64 / elapsed_s;
            let results = if is_leader { results } else { "" };
            println!(
                "| {size} | {role} | {percent:.2} | {memory_mib:.1} | {rate:.0} | {results} |"
            );
        }
    }
}

async fn heartbeats(size: usize, length: Duration) {
    let site = start_site(1);
    site.apply(0, &desired_state(&site, size, 0));
    // Warm-up: the workers connect and find the leader before the measurement starts.
    let control = site.workers_addresses();
    heartbeats::run(&control, size, HEARTBEAT_INTERVAL, SETTLE_TIME).await;
    let meter = UsageMeter::new(&site);
    let stats = heartbeats::run(&control, size, HEARTBEAT_INTERVAL, length).await;
    let latency_ms = |quantile| stats.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
    let rate = stats.bytes as f64 / length.as_secs_f64() / size as f64;
    let results = format!(
        "heartbeat p50 {:.2} ms, p99 {:.2} ms, {rate:.0} bytes/s a worker, {} failed",
        latency_ms(0.5),
        latency_ms(0.99),
        stats.failures
    );
    meter.print(size, &results);
}

fn changes(entries: usize, count: u64) {
    let site = start_site(entries);
    site.apply(0, &desired_state(&site, 1, 0));
    std::thread::sleep(SETTLE_TIME);
    let meter = UsageMeter::new(&site);
    let mut times_ms: Vec<u128> = Vec::new();
    for number in 1..=count {
        let start = Instant::now();
        site.apply(number, &desired_state(&site, 1, number));
        times_ms.push(start.elapsed().as_millis());
    }
    times_ms.sort_unstable();
    let median_ms = times_ms
        .get(times_ms.len() / 2)
        .copied()
        .unwrap_or_default();
    let longest_ms = times_ms.last().copied().unwrap_or_default();
    let elapsed_s = meter.start.elapsed().as_secs_f64();
    let results = format!(
        "{count} changes in {elapsed_s:.1} s, in force after {median_ms} ms at the median, {longest_ms} ms at most"
    );
    meter.print(entries, &results);
}

fn idle(entries: usize, length: Duration) {
    let site = start_site(entries);
    site.apply(0, &desired_state(&site, 1, 0));
    std::thread::sleep(SETTLE_TIME);
    let meter = UsageMeter::new(&site);
    std::thread::sleep(length);
    meter.print(entries, "");
}

/// Returns a desired state with `size` instances; the fleet's name contains `change`, so that each
/// change differs.
fn desired_state(site: &Site, size: usize, change: u64) -> String {
    let mut text = format!(
        "[fleet]\nname = measured-{change}\n[budget.standard]\n[pool.general]\nbudget = standard\n\
         [team.guild]\n[service.render]\n{}",
        site.entry_sections()
    );
    for number in 1..=size {
        let rack = number.div_ceil(WORKERS_PER_RACK);
        let _ = writeln!(
            text,
            "[instance.w{number}]\npool = general\ndata_centre = dc1\nrack = r{rack}"
        );
    }
    text
}
