//! A configuration that is in force everywhere and never reverts, on real processes.

use std::net::SocketAddr;

use jasminefall_testing::backend::FakeBackend;
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};

/// Declares a service that only some versions have.
fn text(site: &Site, service: &str) -> String {
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

/// Returns the versions that an entry took, in order, over all its starts.
fn taken(site: &Site, entry: usize) -> Vec<u64> {
    let log = site.entry_log(entry);
    let lines = log
        .lines()
        .filter_map(|line| line.split_once("event=configuration_adopted version="));
    lines
        .map(|(_, version)| version.trim().parse().unwrap())
        .collect()
}

/// Waits until an entry's log says that it took a version last; lines are written with a delay.
async fn wait_for_taken(site: &Site, entry: usize, version: u64) {
    wait_for("the log says what was taken", || async {
        taken(site, entry).last() == Some(&version)
    })
    .await;
}

/// Puts a proxy between an entry and each control replica.
async fn put_proxies(site: &Site, entry: usize, controls: usize) -> Vec<Proxy> {
    let mut proxies = Vec::new();
    for position in 0..controls {
        let proxy = Proxy::start(site.any_port(), site.control_peer(position)).await;
        proxies.push(proxy.unwrap());
    }
    let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
    site.set_control_of_entry(entry, &addresses);
    proxies
}

#[actix_rt::test]
async fn an_entry_cut_off_silently_does_not_act_on_what_is_no_longer_in_force() {
    let site = Site::new(3, 2);
    let proxies = put_proxies(&site, 0, 3).await;
    let site = site.started();
    let backend = FakeBackend::start(site.any_port()).unwrap();
    let _backend = backend.with_announcements(site.backends(0), "old");
    site.apply_beside(0, &text(&site, "old")).await;
    wait_for("the entry serves", || is_served(site.callers(0), "old")).await;

    proxies.iter().for_each(|proxy| proxy.faults.silence(true));
    site.apply_beside(1, &text(&site, "new")).await;
    // In force: from here on nothing may be served by the older version.
    assert!(!is_served(site.callers(0), "old").await);
    assert!(!is_ready(site.callers(0)).await);
    assert!(is_ready(site.callers(1)).await);

    proxies.iter().for_each(|proxy| proxy.faults.silence(false));
    wait_for("the entry is back", || is_ready(site.callers(0))).await;
    assert!(!is_served(site.callers(0), "old").await);
    wait_for_taken(&site, 0, 2).await;
    assert_eq!(taken(&site, 0), [1, 2]);
}

#[actix_rt::test]
async fn a_paused_entry_resumes_without_serving_under_its_lapsed_lease() {
    let site = Site::new(3, 2).started();
    let backend = FakeBackend::start(site.any_port()).unwrap();
    let _backend = backend.with_announcements(site.backends(0), "old");
    site.apply_beside(0, &text(&site, "old")).await;
    wait_for("the entry serves", || is_served(site.callers(0), "old")).await;

    site.signal_entry(0, "STOP");
    let waiting = actix_rt::spawn(is_served(site.callers(0), "old"));
    site.apply_beside(1, &text(&site, "new")).await;
    site.signal_entry(0, "CONT");
    assert!(
        !waiting.await.unwrap(),
        "a request that came during the pause was served"
    );
    wait_for("the entry is back", || is_ready(site.callers(0))).await;
    assert!(!is_served(site.callers(0), "old").await);
}

#[actix_rt::test]
async fn no_entry_takes_an_older_version_through_restarts_of_everything() {
    let mut site = Site::new(3, 2).started();
    for base in 0..3 {
        site.apply(base, &text(&site, &format!("s{base}")));
    }
    for entry in 0..2 {
        site.kill_entry(entry);
    }
    (0..3).for_each(|position| site.kill_control(position));
    // The entries come first, so that they ask replicas that are only just starting.
    (0..2).for_each(|entry| site.start_entry(entry));
    (0..3).for_each(|position| site.start_control(position));
    for entry in 0..2 {
        wait_for("the entry is ready", || is_ready(site.callers(entry))).await;
        wait_for_taken(&site, entry, 3).await;
        assert_eq!(taken(&site, entry).last(), Some(&3));
    }
    site.apply(3, &text(&site, "s3"));
    for entry in 0..2 {
        wait_for_taken(&site, entry, 4).await;
        let versions = taken(&site, entry);
        assert!(versions.is_sorted(), "{versions:?}");
        assert_eq!(versions.last(), Some(&4));
    }
}

#[actix_rt::test]
async fn an_entry_that_is_not_declared_serves_nothing_and_says_why() {
    let site = Site::new(1, 2).started();
    site.apply(0, &text(&site, "s"));
    wait_for("the entry is ready", || is_ready(site.callers(1))).await;
    let without = "[fleet]\nname = test\n[service.s]\n[entry.e1]\ndata_centre = dc1\n";
    site.apply(1, without);
    assert!(is_ready(site.callers(0)).await);
    assert!(!is_ready(site.callers(1)).await);
    wait_for("the entry says why", || async {
        let log = site.entry_log(1);
        log.contains("event=renewal_refused entry=\"e2\" cause=\"not declared\"")
    })
    .await;
    site.apply(2, &text(&site, "s"));
    wait_for("the entry is back", || is_ready(site.callers(1))).await;
}
