//! Measures what control costs as workers grow: `measure-control SECONDS WORKERS...`.
//!
//! Three control replicas and one entry run as real processes; the workers are stand-ins in this one
//! process, each with a connection of its own and one heartbeat a second.

use std::fmt::Write;
use std::time::{Duration, Instant};

use jasminefall_testing::heartbeats;
use jasminefall_testing::site::Site;
use jasminefall_testing::usage::Usage;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const WORKERS_A_RACK: usize = 4;
const SETTLE: Duration = Duration::from_secs(3);
const MIB: f64 = 1_048_576.0;

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .map(|word| word.parse())
        .collect::<Result<_, _>>()?;
    let Some((seconds, sizes)) = arguments.split_first() else {
        anyhow::bail!("usage: measure-control SECONDS WORKERS...")
    };
    println!(
        "| workers | role | processor, % of a core | memory, MiB | heartbeat p50, ms | p99, ms | bytes/s a worker | failed |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in sizes {
        measure(*size, Duration::from_secs(*seconds as u64)).await;
    }
    Ok(())
}

async fn measure(size: usize, length: Duration) {
    let site = Site::new(3, 1).started();
    site.apply(0, &desired(&site, size));
    // Connections are made and the leader found before anything is counted.
    let control = site.workers();
    heartbeats::run(&control, size, HEARTBEAT_INTERVAL, SETTLE).await;
    let before: Vec<_> = usages(&site);
    let start = Instant::now();
    let seen = heartbeats::run(&control, size, HEARTBEAT_INTERVAL, length).await;
    let elapsed_ms = start.elapsed().as_millis() as f64;
    let after = usages(&site);
    let cpu_percent = |position: usize| {
        (after[position].cpu_ms - before[position].cpu_ms) as f64 * 100.0 / elapsed_ms
    };
    let leader = (0..after.len() - 1).max_by(|a, b| cpu_percent(*a).total_cmp(&cpu_percent(*b)));
    for (position, used) in after.iter().enumerate() {
        let role = match position {
            position if position == after.len() - 1 => "entry",
            position if Some(position) == leader => "control, leader",
            _ => "control, follower",
        };
        let mut row = format!(
            "| {size} | {role} | {:.2} | {:.1} |",
            cpu_percent(position),
            used.memory_bytes as f64 / MIB
        );
        if Some(position) == leader {
            let latency_ms =
                |quantile| seen.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
            let rate = seen.bytes as f64 * 1_000.0 / elapsed_ms / size as f64;
            let _ = write!(
                row,
                " {:.2} | {:.2} | {rate:.0} | {} |",
                latency_ms(0.5),
                latency_ms(0.99),
                seen.failures
            );
        } else {
            row.push_str(" | | | |");
        }
        println!("{row}");
    }
}

fn usages(site: &Site) -> Vec<Usage> {
    site.processes()
        .into_iter()
        .map(|process| Usage::of(process).unwrap_or_default())
        .collect()
}

fn desired(site: &Site, size: usize) -> String {
    let mut text = format!(
        "[fleet]\nname = measured\n[budget.standard]\n[pool.general]\nbudget = standard\n[team.guild]\n\
         [service.render]\n{}",
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
