//! Measures queueing time and limits of shared slots, with real entries and control replicas and
//! fake backend servers.
//!
//! Load is open-loop: each request has a scheduled send time and its latency counts from then.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use jasminefall_testing::counting_backend::CountingBackend;
use jasminefall_testing::site::{Site, wait_for};

const ENTRY_COUNT: usize = 6;
const BACKEND_COUNT: usize = 10;
const SERVICE_TIME_MS: u64 = 200;
const LOW_LOAD_PER_S: u64 = 5;
const HIGH_LOAD_PER_S: u64 = 500;
const PHASE_DURATION: Duration = Duration::from_secs(4);
const ROUNDS: usize = 3;
const SETTLE_TIME: Duration = Duration::from_secs(3);
const DESIRED_SECTIONS: &str = "[service.render]\ntimeout = 10s\n[team.guild]\n";

/// Holds the results of one phase of load.
#[derive(Default)]
struct PhaseResults {
    /// The latencies of the answered requests minus the service time.
    waits_ms: Vec<u64>,
    unanswered: usize,
}

#[actix_rt::main]
async fn main() {
    let site = Site::new(3, ENTRY_COUNT).started();
    let desired = format!(
        "[fleet]\nname = m\n{DESIRED_SECTIONS}{}",
        site.entry_sections()
    );
    site.apply(0, &desired);
    let mut backends = Vec::new();
    for number in 0..BACKEND_COUNT {
        let backend = CountingBackend::start(site.ephemeral_address()).await;
        let backend = backend.expect("the fake backend server can listen on a free port");
        let entry = vec![site.backends_address(number % ENTRY_COUNT)];
        backends.push(backend.with_announcements(entry, "render", 1, Duration::from_millis(500)));
    }
    for entry in 0..ENTRY_COUNT {
        let callers = site.callers_address(entry);
        wait_for("every entry serves", || async move {
            call(&awc::Client::default(), callers).await
        })
        .await;
    }
    println!(
        "| balancer | demand a second | answered | not answered | wait p50 ms | wait p99 ms |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    for _ in 0..ROUNDS {
        for (name, skewed) in [("even", false), ("half at one entry", true)] {
            for per_s in [HIGH_LOAD_PER_S, LOW_LOAD_PER_S] {
                let mut results = run(&site, per_s, skewed).await;
                results.waits_ms.sort_unstable();
                let answered = results.waits_ms.len();
                let percentile =
                    |percent| results.waits_ms[answered.saturating_sub(1) * percent / 100];
                let (p50, p99) = (percentile(50), percentile(99));
                println!(
                    "| {name} | {per_s} | {answered} | {} | {p50} | {p99} |",
                    results.unanswered
                );
            }
        }
    }
    let max_over_backends = |count: fn(&CountingBackend) -> usize| backends.iter().map(count).max();
    let requests = max_over_backends(|backend| backend.count(|counts| &counts.peak_in_progress));
    let connections = max_over_backends(|backend| backend.count(|counts| &counts.peak_connections));
    println!(
        "\nmost in progress at a backend server: {}, most connections: {}",
        requests.unwrap_or_default(),
        connections.unwrap_or_default(),
    );
}

async fn run(site: &Site, per_s: u64, skewed: bool) -> PhaseResults {
    let results = Arc::new(Mutex::new(PhaseResults::default()));
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(12))
        .finish();
    let start = Instant::now();
    let count = per_s * PHASE_DURATION.as_secs();
    for number in 0..count {
        let due = start + PHASE_DURATION.mul_f64(number as f64 / count as f64);
        tokio::time::sleep_until(due.into()).await;
        let index = usize::try_from(number).unwrap_or_default();
        let entry = if skewed && index.is_multiple_of(2) {
            0
        } else {
            index % ENTRY_COUNT
        };
        let (results, client, entry) =
            (results.clone(), client.clone(), site.callers_address(entry));
        actix_rt::spawn(async move {
            let answered = call(&client, entry).await;
            let took_ms = u64::try_from(due.elapsed().as_millis()).unwrap_or(u64::MAX);
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            if answered {
                results
                    .waits_ms
                    .push(took_ms.saturating_sub(SERVICE_TIME_MS));
            } else {
                results.unanswered += 1;
            }
        });
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *results)
}

async fn call(client: &awc::Client, entry: SocketAddr) -> bool {
    let url = format!("http://{entry}/call/render/sheet?delay_ms={SERVICE_TIME_MS}");
    let response = client.get(url).send().await;
    response.is_ok_and(|response| response.status().is_success())
}
