//! Measures how long a configuration takes from its apply until it is in force everywhere.
//!
//! Runs three control instances and six entries, each entry behind proxies, and publishes versions
//! on a schedule: with everything sound, with one entry cut off silently, and with one control
//! instance that follows cut off silently from every entry. The naive baseline, in the same rounds,
//! is the time until the apply is durable.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use serde_json::{Value, json};

const CONTROLS: usize = 3;
const ENTRIES: usize = 6;
const ROUNDS: u64 = 20;
const INTERVAL: Duration = Duration::from_millis(730);
const POLL_PAUSE: Duration = Duration::from_millis(5);
const HIGHEST_MS: u64 = 60_000;

/// Holds the times of one case.
struct Times {
    accepted: Histogram<u64>,
    in_force: Histogram<u64>,
}

struct Operator<'site> {
    site: &'site Site,
    client: awc::Client,
    leader: SocketAddr,
}

impl Operator<'_> {
    async fn get(&self, path: &str) -> Option<Value> {
        let request = self.client.get(format!("http://{}{path}", self.leader));
        let request = request.bearer_auth(self.site.operate_token());
        request.send().await.ok()?.json().await.ok()
    }

    async fn apply(&self, base: u64, name: &str) -> bool {
        let text = format!(
            "[fleet]\nname = {name}-{base}\n{}",
            self.site.entry_sections()
        );
        let body = json!({ "change": format!("{name}-{base}"), "base": base, "text": text });
        let request = self.client.post(format!("http://{}/v1/apply", self.leader));
        let request = request.bearer_auth(self.site.operate_token());
        let answer = request.send_json(&body).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn is_in_force(&self, version: u64) -> bool {
        let answer = self.get(&format!("/v1/in-force/{version}")).await;
        answer.is_some_and(|answer| answer["in_force"] == true)
    }

    /// Publishes versions on a schedule; each time counts from when the apply was due.
    async fn measure(&self, base: &mut u64, name: &str) -> Times {
        let mut times = Times {
            accepted: Histogram::new_with_max(HIGHEST_MS, 3).expect("bounds"),
            in_force: Histogram::new_with_max(HIGHEST_MS, 3).expect("bounds"),
        };
        let mut due = Instant::now();
        for _ in 0..ROUNDS {
            tokio::time::sleep(due.saturating_duration_since(Instant::now())).await;
            assert!(self.apply(*base, name).await, "the leader accepts");
            *base += 1;
            times.accepted.saturating_record(elapsed_ms(due));
            while !self.is_in_force(*base).await {
                tokio::time::sleep(POLL_PAUSE).await;
            }
            times.in_force.saturating_record(elapsed_ms(due));
            // A round that took longer than the interval moves the schedule, not the next time.
            due = (due + INTERVAL).max(Instant::now());
        }
        times
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(HIGHEST_MS)
}

fn print(name: &str, times: &Times) {
    for (what, histogram) in [("accepted", &times.accepted), ("in force", &times.in_force)] {
        println!(
            "{name:<24} {what:<9} n={} median={} ms p90={} ms max={} ms",
            histogram.len(),
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.9),
            histogram.max()
        );
    }
}

async fn leader(site: &Site) -> usize {
    let find = || {
        let (_, printed) = site.ctl(&["status", "--json"]);
        let status: Value = serde_json::from_str(&printed).unwrap_or_default();
        let leads = status["fresh"] == true;
        leads.then(|| status["replica"]["replica"].as_u64().unwrap_or_default())
    };
    wait_for("a replica leads", || async { find().is_some() }).await;
    let number = find().expect("a replica leads");
    usize::try_from(number - 1).expect("few replicas")
}

/// Puts a proxy between each entry and each control replica; the first index is the entry's.
async fn put_proxies(site: &Site) -> Vec<Vec<Proxy>> {
    let mut all = Vec::new();
    for entry in 0..ENTRIES {
        let mut proxies = Vec::new();
        for position in 0..CONTROLS {
            let proxy = Proxy::start(
                site.ephemeral_address(),
                site.control_peer_address(position),
            )
            .await;
            proxies.push(proxy.expect("a free port"));
        }
        let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
        site.set_entry_control_addresses(entry, &addresses);
        all.push(proxies);
    }
    all
}

#[actix_rt::main]
async fn main() {
    let site = Site::new(CONTROLS, ENTRIES);
    let proxies = put_proxies(&site).await;
    let site = site.started();
    let leads = leader(&site).await;
    let operator = Operator {
        site: &site,
        client: awc::Client::default(),
        leader: site.operators_address(leads),
    };
    let mut base = 0;
    assert!(operator.apply(base, "first").await, "the leader accepts");
    base += 1;
    wait_for("the first version is in force", || {
        operator.is_in_force(base)
    })
    .await;
    println!(
        "{CONTROLS} control instances, {ENTRIES} entries, an apply every {INTERVAL:?} or later"
    );
    print("all sound", &operator.measure(&mut base, "sound").await);

    let follower = (leads + 1) % CONTROLS;
    for entry in &proxies {
        entry[follower].faults.set_partitioned(true);
    }
    print(
        "one control cut off",
        &operator.measure(&mut base, "control-cut").await,
    );
    for entry in &proxies {
        entry[follower].faults.set_partitioned(false);
    }

    for proxy in &proxies[0] {
        proxy.faults.set_partitioned(true);
    }
    // Only the first version finds a lease running; after it the entry holds none.
    let first = operator.measure_once(&mut base, "entry-cut-first").await;
    println!("one entry cut off        the version just after the cut: in force after {first} ms");
    print(
        "one entry cut off",
        &operator.measure(&mut base, "entry-cut").await,
    );
}

impl Operator<'_> {
    async fn measure_once(&self, base: &mut u64, name: &str) -> u64 {
        let due = Instant::now();
        assert!(self.apply(*base, name).await, "the leader accepts");
        *base += 1;
        while !self.is_in_force(*base).await {
            tokio::time::sleep(POLL_PAUSE).await;
        }
        elapsed_ms(due)
    }
}
