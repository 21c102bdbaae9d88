//! Measures how long three control replicas are without a leader after its kill and after a silent cut.
//!
//! `cargo build --release --workspace --bins && target/release/measure-failover`; about two minutes.

use std::time::{Duration, Instant};

use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::Site;

const ROUNDS: usize = 10;
const PROBE_PAUSE: Duration = Duration::from_millis(5);
const SETTLE: Duration = Duration::from_millis(1_500);
const ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// Returns the position of the replica that serves fresh answers.
async fn leader(site: &Site, positions: &[usize]) -> usize {
    loop {
        for position in positions {
            let url = format!("http://{}/v1/members", site.operators_address(*position));
            let client = awc::Client::builder().timeout(ANSWER_LIMIT).finish();
            let answer = client
                .get(url)
                .bearer_auth(site.operate_token())
                .send()
                .await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return *position;
            }
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

async fn measure(silently: bool) -> std::io::Result<Vec<u128>> {
    let mut site = Site::new(3, 0);
    let mut proxies = Vec::new();
    for (from, to) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let proxy = Proxy::start(site.ephemeral_address(), site.control_peer_address(to)).await?;
        site.route_peer_through(from, to, proxy.address);
        proxies.push((from, to, proxy));
    }
    let mut site = site.started();
    let mut taken_ms = Vec::new();
    for _ in 0..ROUNDS {
        let lost = leader(&site, &[0, 1, 2]).await;
        tokio::time::sleep(SETTLE).await;
        let rest: Vec<_> = (0..3).filter(|position| *position != lost).collect();
        let touched = || {
            proxies
                .iter()
                .filter(|(from, to, _)| *from == lost || *to == lost)
        };
        let start = Instant::now();
        if silently {
            touched().for_each(|(_, _, proxy)| proxy.faults.set_partitioned(true));
        } else {
            site.kill_control(lost);
        }
        leader(&site, &rest).await;
        taken_ms.push(start.elapsed().as_millis());
        if silently {
            touched().for_each(|(_, _, proxy)| proxy.faults.set_partitioned(false));
        } else {
            site.start_control(lost);
        }
        tokio::time::sleep(SETTLE).await;
    }
    taken_ms.sort_unstable();
    Ok(taken_ms)
}

#[actix_rt::main]
async fn main() -> std::io::Result<()> {
    for (name, silently) in [("kill", false), ("silent cut", true)] {
        let taken_ms = measure(silently).await?;
        let (median, most) = (taken_ms[ROUNDS / 2], taken_ms[ROUNDS - 1]);
        println!(
            "without a leader after {name}: median {median} ms, longest {most} ms, all {taken_ms:?}"
        );
    }
    Ok(())
}
