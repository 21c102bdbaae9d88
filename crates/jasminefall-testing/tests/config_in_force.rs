//! Real processes: a configuration in force applies on all entries, none of which reverts to an
//! older version.

use std::net::SocketAddr;

use jasminefall_testing::backend::FakeBackend;
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};

/// Returns a desired state that declares one service; versions differ in its name.
fn desired(site: &Site, service: &str) -> String {
    format!(
        "[fleet]\nname = test\n[service.{service}]\n{}",
        site.entry_sections()
    )
}

async fn is_ready(address: SocketAddr) -> bool {
    let sent = awc::Client::default()
        .get(format!("http://{address}/ready"))
        .send()
        .await;
    sent.is_ok_and(|answer| answer.status().is_success())
}

async fn is_served(address: SocketAddr, service: &str) -> bool {
    let url = format!("http://{address}/call/{service}/work");
    let sent = awc::Client::default().get(url).send().await;
    sent.is_ok_and(|answer| answer.status().is_success())
}

/// Returns the versions that an entry has applied, in order, over all its starts.
fn applied_versions(site: &Site, entry: usize) -> Vec<u64> {
    let log = site.entry_log(entry);
    let lines = log
        .lines()
        .filter_map(|line| line.split_once("event=configuration_adopted version="));
    lines
        .map(|(_, version)| version.trim().parse().unwrap())
        .collect()
}

/// Waits until an entry has logged a version as the last applied one; log lines are written with a
/// delay.
async fn wait_for_applied(site: &Site, entry: usize, version: u64) {
    wait_for("the log contains the applied version", || async {
        applied_versions(site, entry).last() == Some(&version)
    })
    .await;
}

/// Starts a proxy between an entry and each control replica; the entry uses it from its next start.
async fn start_proxies(site: &Site, entry: usize, controls: usize) -> Vec<Proxy> {
    let mut proxies = Vec::new();
    for position in 0..controls {
        let proxy = Proxy::start(
            site.ephemeral_address(),
            site.control_peer_address(position),
        )
        .await;
        proxies.push(proxy.unwrap());
    }
    let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
    site.set_entry_control_addresses(entry, &addresses);
    proxies
}

#[actix_rt::test]
async fn partitioned_entry_does_not_serve_a_superseded_version() {
    let site = Site::new(3, 2);
    let proxies = start_proxies(&site, 0, 3).await;
    let site = site.started();
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let _backend = backend.with_announcements(site.backends_address(0), "old");
    site.apply_async(0, &desired(&site, "old")).await;
    wait_for("the entry serves", || {
        is_served(site.callers_address(0), "old")
    })
    .await;

    proxies
        .iter()
        .for_each(|proxy| proxy.faults.set_partitioned(true));
    site.apply_async(1, &desired(&site, "new")).await;
    // Version 2 is in force, so no entry may serve under version 1 any more.
    assert!(!is_served(site.callers_address(0), "old").await);
    assert!(!is_ready(site.callers_address(0)).await);
    assert!(is_ready(site.callers_address(1)).await);

    proxies
        .iter()
        .for_each(|proxy| proxy.faults.set_partitioned(false));
    wait_for("the entry is ready again", || {
        is_ready(site.callers_address(0))
    })
    .await;
    assert!(!is_served(site.callers_address(0), "old").await);
    wait_for_applied(&site, 0, 2).await;
    assert_eq!(applied_versions(&site, 0), [1, 2]);
}

#[actix_rt::test]
async fn resumed_entry_does_not_serve_under_its_expired_lease() {
    let site = Site::new(3, 2).started();
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let _backend = backend.with_announcements(site.backends_address(0), "old");
    site.apply_async(0, &desired(&site, "old")).await;
    wait_for("the entry serves", || {
        is_served(site.callers_address(0), "old")
    })
    .await;

    site.signal_entry(0, "STOP");
    let waiting = actix_rt::spawn(is_served(site.callers_address(0), "old"));
    site.apply_async(1, &desired(&site, "new")).await;
    site.signal_entry(0, "CONT");
    assert!(
        !waiting.await.unwrap(),
        "a request received during the pause was served under the expired lease"
    );
    wait_for("the entry is ready again", || {
        is_ready(site.callers_address(0))
    })
    .await;
    assert!(!is_served(site.callers_address(0), "old").await);
}

#[actix_rt::test]
async fn entries_never_apply_an_older_version_after_a_restart_of_all_processes() {
    let mut site = Site::new(3, 2).started();
    for base in 0..3 {
        site.apply(base, &desired(&site, &format!("s{base}")));
    }
    for entry in 0..2 {
        site.kill_entry(entry);
    }
    (0..3).for_each(|position| site.kill_control(position));
    // The entries start first, so that they contact control replicas that are still starting.
    (0..2).for_each(|entry| site.start_entry(entry));
    (0..3).for_each(|position| site.start_control(position));
    for entry in 0..2 {
        wait_for("the entry is ready", || {
            is_ready(site.callers_address(entry))
        })
        .await;
        wait_for_applied(&site, entry, 3).await;
        assert_eq!(applied_versions(&site, entry).last(), Some(&3));
    }
    site.apply(3, &desired(&site, "s3"));
    for entry in 0..2 {
        wait_for_applied(&site, entry, 4).await;
        let versions = applied_versions(&site, entry);
        assert!(versions.is_sorted(), "{versions:?}");
        assert_eq!(versions.last(), Some(&4));
    }
}

#[actix_rt::test]
async fn undeclared_entry_serves_nothing_and_logs_the_cause() {
    let site = Site::new(1, 2).started();
    site.apply(0, &desired(&site, "s"));
    wait_for("the entry is ready", || is_ready(site.callers_address(1))).await;
    let without = "[fleet]\nname = test\n[service.s]\n[entry.e1]\ndata_centre = dc1\n";
    site.apply(1, without);
    assert!(is_ready(site.callers_address(0)).await);
    assert!(!is_ready(site.callers_address(1)).await);
    wait_for("the entry logs the cause", || async {
        let log = site.entry_log(1);
        log.contains("event=renewal_refused entry=\"e2\" cause=\"not declared\"")
    })
    .await;
    site.apply(2, &desired(&site, "s"));
    wait_for("the entry is ready again", || {
        is_ready(site.callers_address(1))
    })
    .await;
}
