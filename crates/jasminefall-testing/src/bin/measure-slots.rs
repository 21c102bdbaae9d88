//! Measures waiting and safety of shared slots with real entries, control replicas and fakes.
//!
//! Load is open-loop: each request is due at a set time and its time counts from then.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use jasminefall_testing::counting_backend::CountingBackend;
use jasminefall_testing::site::{Site, wait_for};

const ENTRIES: usize = 6;
const BACKENDS: usize = 10;
const SERVICE_MS: u64 = 200;
const TROUGH_PER_S: u64 = 5;
const PEAK_PER_S: u64 = 500;
const PART: Duration = Duration::from_secs(4);
const ROUNDS: usize = 3;
const SETTLE: Duration = Duration::from_secs(3);
const SERVICE: &str = "[service.render]\ntimeout = 10s\n[team.guild]\n";

/// Says what became of the requests of one part.
#[derive(Default)]
struct Part {
    waits_ms: Vec<u64>,
    not_answered: usize,
}

#[actix_rt::main]
async fn main() {
    let site = Site::new(3, ENTRIES).started();
    let desired = format!("[fleet]\nname = m\n{SERVICE}{}", site.entry_sections());
    site.apply(0, &desired);
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let backend = CountingBackend::start(site.ephemeral_address()).await;
        let backend = backend.expect("a fake backend server");
        let entry = vec![site.backends_address(number % ENTRIES)];
        backends.push(backend.with_announcements(entry, "render", 1, Duration::from_millis(500)));
    }
    for entry in 0..ENTRIES {
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
            for per_s in [PEAK_PER_S, TROUGH_PER_S] {
                let mut part = run(&site, per_s, skewed).await;
                part.waits_ms.sort_unstable();
                let answered = part.waits_ms.len();
                let at = |percent| part.waits_ms[answered.saturating_sub(1) * percent / 100];
                let (p50, p99) = (at(50), at(99));
                println!(
                    "| {name} | {per_s} | {answered} | {} | {p50} | {p99} |",
                    part.not_answered
                );
            }
        }
    }
    let most = |count: fn(&CountingBackend) -> usize| backends.iter().map(count).max();
    let requests = most(|backend| backend.count(|counts| &counts.peak_in_progress));
    let connections = most(|backend| backend.count(|counts| &counts.peak_connections));
    println!(
        "\nmost in progress at a backend server: {}, most connections: {}",
        requests.unwrap_or_default(),
        connections.unwrap_or_default(),
    );
}

async fn run(site: &Site, per_s: u64, skewed: bool) -> Part {
    let part = Arc::new(Mutex::new(Part::default()));
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(12))
        .finish();
    let began = Instant::now();
    let count = per_s * PART.as_secs();
    for number in 0..count {
        let due = began + PART.mul_f64(number as f64 / count as f64);
        tokio::time::sleep_until(due.into()).await;
        let turn = usize::try_from(number).unwrap_or_default();
        let entry = if skewed && turn.is_multiple_of(2) {
            0
        } else {
            turn % ENTRIES
        };
        let (part, client, entry) = (part.clone(), client.clone(), site.callers_address(entry));
        actix_rt::spawn(async move {
            let answered = call(&client, entry).await;
            let took_ms = u64::try_from(due.elapsed().as_millis()).unwrap_or(u64::MAX);
            let mut part = part.lock().unwrap_or_else(PoisonError::into_inner);
            if answered {
                part.waits_ms.push(took_ms.saturating_sub(SERVICE_MS));
            } else {
                part.not_answered += 1;
            }
        });
    }
    tokio::time::sleep(SETTLE).await;
    let mut part = part.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *part)
}

async fn call(client: &awc::Client, entry: SocketAddr) -> bool {
    let url = format!("http://{entry}/call/render/sheet?delay_ms={SERVICE_MS}");
    let answer = client.get(url).send().await;
    answer.is_ok_and(|response| response.status().is_success())
}
