//! Measures the time from the apply of a configuration until it is in force everywhere.
//!
//! Runs three control replicas and six entries, with a proxy between each pair of them, and
//! publishes versions on a schedule: without faults, with a partition of a follower from all
//! entries, and with a partition of one entry from all control replicas. The baseline, measured in
//! the same rounds, is the time until the apply is durable.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use serde_json::{Value, json};

const CONTROL_COUNT: usize = 3;
const ENTRY_COUNT: usize = 6;
const ROUNDS: u64 = 20;
const APPLY_INTERVAL: Duration = Duration::from_millis(730);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_RECORDED_MS: u64 = 60_000;

/// Holds the measured times of one scenario, in milliseconds from the scheduled apply.
struct Times {
    accepted_ms: Histogram<u64>,
    in_force_ms: Histogram<u64>,
}

/// Sends the requests of an operator to the leader.
struct Operator<'site> {
    site: &'site Site,
    client: awc::Client,
    leader_address: SocketAddr,
}

impl Operator<'_> {
    async fn get(&self, path: &str) -> Option<Value> {
        let request = self
            .client
            .get(format!("http://{}{path}", self.leader_address));
        let request = request.bearer_auth(self.site.operate_token());
        request.send().await.ok()?.json().await.ok()
    }

    async fn apply(&self, base: u64, name: &str) -> bool {
        let text = format!(
            "[fleet]\nname = {name}-{base}\n{}",
            self.site.entry_sections()
        );
        let body = json!({ "change": format!("{name}-{base}"), "base": base, "text": text });
        let request = self
            .client
            .post(format!("http://{}/v1/apply", self.leader_address));
        let request = request.bearer_auth(self.site.operate_token());
        let answer = request.send_json(&body).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn is_in_force(&self, version: u64) -> bool {
        let answer = self.get(&format!("/v1/in-force/{version}")).await;
        answer.is_some_and(|answer| answer["in_force"] == true)
    }

    /// Publishes versions on a schedule; times are measured from the scheduled apply.
    async fn measure(&self, base: &mut u64, name: &str) -> Times {
        let mut times = Times {
            accepted_ms: Histogram::new_with_max(MAX_RECORDED_MS, 3)
                .expect("the histogram bounds are valid"),
            in_force_ms: Histogram::new_with_max(MAX_RECORDED_MS, 3)
                .expect("the histogram bounds are valid"),
        };
        let mut due = Instant::now();
        for _ in 0..ROUNDS {
            tokio::time::sleep(due.saturating_duration_since(Instant::now())).await;
            assert!(
                self.apply(*base, name).await,
                "the leader rejected the apply"
            );
            *base += 1;
            times.accepted_ms.saturating_record(elapsed_ms(due));
            while !self.is_in_force(*base).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            times.in_force_ms.saturating_record(elapsed_ms(due));
            // A round longer than the interval delays the schedule, so that the next measurement
            // does not include the overrun.
            due = (due + APPLY_INTERVAL).max(Instant::now());
        }
        times
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(MAX_RECORDED_MS)
}

fn print(name: &str, times: &Times) {
    for (event, histogram) in [
        ("accepted", &times.accepted_ms),
        ("in force", &times.in_force_ms),
    ] {
        println!(
            "{name:<24} {event:<9} n={} median={} ms p90={} ms max={} ms",
            histogram.len(),
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.9),
            histogram.max()
        );
    }
}

/// Waits for a leader and returns its position.
async fn find_leader(site: &Site) -> usize {
    let find = || {
        let (_, printed) = site.ctl(&["status", "--json"]);
        let status: Value = serde_json::from_str(&printed).unwrap_or_default();
        let is_leader = status["fresh"] == true;
        is_leader.then(|| status["replica"]["replica"].as_u64().unwrap_or_default())
    };
    wait_for("a leader is elected", || async { find().is_some() }).await;
    let number = find().expect("the replica is still the leader");
    usize::try_from(number - 1).expect("a replica number fits into usize")
}

/// Puts a proxy between each entry and each control replica; the result is indexed by the entry,
/// then by the control replica.
async fn start_proxies(site: &Site) -> Vec<Vec<Proxy>> {
    let mut all = Vec::new();
    for entry in 0..ENTRY_COUNT {
        let mut proxies = Vec::new();
        for position in 0..CONTROL_COUNT {
            let proxy = Proxy::start(
                site.ephemeral_address(),
                site.control_peer_address(position),
            )
            .await;
            proxies.push(proxy.expect("the proxy can listen on a free port"));
        }
        let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
        site.set_entry_control_addresses(entry, &addresses);
        all.push(proxies);
    }
    all
}

#[actix_rt::main]
async fn main() {
    let site = Site::new(CONTROL_COUNT, ENTRY_COUNT);
    let proxies = start_proxies(&site).await;
    let site = site.started();
    let leader = find_leader(&site).await;
    let operator = Operator {
        site: &site,
        client: awc::Client::default(),
        leader_address: site.operators_address(leader),
    };
    let mut base = 0;
    assert!(
        operator.apply(base, "first").await,
        "the leader rejected the apply"
    );
    base += 1;
    wait_for("the first version is in force", || {
        operator.is_in_force(base)
    })
    .await;
    println!(
        "{CONTROL_COUNT} control instances, {ENTRY_COUNT} entries, an apply every {APPLY_INTERVAL:?} or later"
    );
    print("all sound", &operator.measure(&mut base, "sound").await);

    let follower = (leader + 1) % CONTROL_COUNT;
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
    // Only the first version has to wait for the entry's lease to expire; afterwards the entry
    // holds no lease.
    let first = operator.measure_once(&mut base, "entry-cut-first").await;
    println!("one entry cut off        the version just after the cut: in force after {first} ms");
    print(
        "one entry cut off",
        &operator.measure(&mut base, "entry-cut").await,
    );
}

impl Operator<'_> {
    /// Publishes one version and returns the time until it is in force, in milliseconds.
    async fn measure_once(&self, base: &mut u64, name: &str) -> u64 {
        let due = Instant::now();
        assert!(
            self.apply(*base, name).await,
            "the leader rejected the apply"
        );
        *base += 1;
        while !self.is_in_force(*base).await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        elapsed_ms(due)
    }
}
