//! Measures the time until a new leader serves, after a kill and after a partition of the leader of
//! three control replicas.
//!
//! `cargo build --release --workspace --bins && target/release/measure-failover` takes about two
//! minutes.

use std::time::{Duration, Instant};

use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::Site;

const ROUNDS: usize = 10;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits for a leader among the replicas at the given positions and returns its position.
async fn find_leader(site: &Site, positions: &[usize]) -> usize {
    loop {
        for position in positions {
            let url = format!("http://{}/v1/members", site.operators_address(*position));
            let client = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
            let response = client
                .get(url)
                .bearer_auth(site.operate_token())
                .send()
                .await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return *position;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the sorted times without a leader in milliseconds; the leader is partitioned or killed.
async fn measure(partition: bool) -> std::io::Result<Vec<u128>> {
    let mut site = Site::new(3, 0);
    let mut proxies = Vec::new();
    for (from, to) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let proxy = Proxy::start(site.ephemeral_address(), site.control_peer_address(to)).await?;
        site.route_peer_through(from, to, proxy.address);
        proxies.push((from, to, proxy));
    }
    let mut site = site.started();
    let mut times_ms = Vec::new();
    for _ in 0..ROUNDS {
        let failed_leader = find_leader(&site, &[0, 1, 2]).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let others: Vec<_> = (0..3)
            .filter(|position| *position != failed_leader)
            .collect();
        let proxies_of_leader = || {
            proxies
                .iter()
                .filter(|(from, to, _)| *from == failed_leader || *to == failed_leader)
        };
        let start = Instant::now();
        if partition {
            proxies_of_leader().for_each(|(_, _, proxy)| proxy.faults.set_partitioned(true));
        } else {
            site.kill_control(failed_leader);
        }
        find_leader(&site, &others).await;
        times_ms.push(start.elapsed().as_millis());
        if partition {
            proxies_of_leader().for_each(|(_, _, proxy)| proxy.faults.set_partitioned(false));
        } else {
            site.start_control(failed_leader);
        }
        tokio::time::sleep(SETTLE_TIME).await;
    }
    times_ms.sort_unstable();
    Ok(times_ms)
}

#[actix_rt::main]
async fn main() -> std::io::Result<()> {
    for (name, partition) in [("kill", false), ("silent cut", true)] {
        let times_ms = measure(partition).await?;
        let (median, most) = (times_ms[ROUNDS / 2], times_ms[ROUNDS - 1]);
        println!(
            "without a leader after {name}: median {median} ms, longest {most} ms, all {times_ms:?}"
        );
    }
    Ok(())
}
