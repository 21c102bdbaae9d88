//! Real entries share the slots of backend servers despite kills, restarts and partitions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jasminefall_testing::backend::announce;
use jasminefall_testing::counting_backend::CountingBackend;
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};

const ENTRY_COUNT: usize = 6;
const MAX_IN_PROGRESS: usize = 8;
const MAX_CONNECTIONS: usize = 64;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// The time after the announcement `leaving` of a backend server in which entries may still send it
/// new requests.
const LEAVING_GRACE: Duration = Duration::from_millis(2_000);

const DESIRED_SECTIONS: &str = "[service.render]\ntimeout = 3s\n[team.guild]\n[team.schools]\n";

fn desired(site: &Site) -> String {
    format!(
        "[fleet]\nname = test\n{DESIRED_SECTIONS}{}",
        site.entry_sections()
    )
}

/// Sends one request; returns the status, 0 without a response, and the value of `Retry-After`.
async fn call(entry: SocketAddr, query: &str, headers: &[(&str, &str)]) -> (u16, Option<u64>) {
    let url = format!("http://{entry}/call/render/sheet?{query}");
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(6))
        .finish();
    let mut request = client.get(url);
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let Ok(response) = request.send().await else {
        return (0, None);
    };
    let retry_after = response.headers().get("Retry-After");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    (response.status().as_u16(), retry_after)
}

async fn is_served(entry: SocketAddr) -> bool {
    call(entry, "delay_ms=1", &[]).await.0 == 200
}

/// Keeps `concurrency` requests in progress at an entry until `stop` is set; returns the counter of
/// those answered with status 200.
fn load(
    entry: SocketAddr,
    concurrency: usize,
    query: &'static str,
    stop: &Arc<AtomicBool>,
) -> Arc<AtomicUsize> {
    let served = Arc::new(AtomicUsize::new(0));
    for _ in 0..concurrency {
        let (stop, served) = (stop.clone(), served.clone());
        actix_rt::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                if call(entry, query, &[]).await.0 == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        });
    }
    served
}

fn assert_within_limits(backend: &CountingBackend) {
    let most = backend.count(|counts| &counts.peak_in_progress);
    assert!(
        most <= MAX_IN_PROGRESS,
        "{most} requests were in progress at once"
    );
    let most = backend.count(|counts| &counts.peak_connections);
    assert!(
        most <= MAX_CONNECTIONS,
        "{most} connections were open at once"
    );
}

#[actix_rt::test]
async fn slot_and_connection_limits_hold_through_entry_kills_and_restarts() {
    let mut site = Site::new(3, ENTRY_COUNT).started();
    site.apply(0, &desired(&site));
    let mut backends = Vec::new();
    for _ in 0..3 {
        let backend = CountingBackend::start(site.ephemeral_address())
            .await
            .unwrap();
        let announced = (0..ENTRY_COUNT)
            .map(|entry| site.backends_address(entry))
            .collect();
        backends.push(backend.with_announcements(announced, "render", 1, ANNOUNCE_INTERVAL));
    }
    for entry in 0..ENTRY_COUNT {
        let callers = site.callers_address(entry);
        wait_for("every entry serves", || is_served(callers)).await;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served: Vec<_> = (0..ENTRY_COUNT)
        .map(|entry| load(site.callers_address(entry), 8, "delay_ms=1500", &stop))
        .collect();
    wait_for("the backend servers are full", || async {
        backends
            .iter()
            .all(|backend| backend.count(|counts| &counts.peak_in_progress) == MAX_IN_PROGRESS)
    })
    .await;
    for entry in 0..3 {
        site.kill_entry(entry);
        tokio::time::sleep(Duration::from_millis(50)).await;
        site.start_entry(entry);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    // A restarted entry serves with borrowed slots long before it may use its own slots again.
    let before: Vec<_> = served
        .iter()
        .map(|served| served.load(Ordering::SeqCst))
        .collect();
    wait_for("every entry continues to serve", || async {
        let now = served.iter().map(|served| served.load(Ordering::SeqCst));
        now.zip(&before).all(|(now, before)| now > *before)
    })
    .await;
    stop.store(true, Ordering::SeqCst);
    backends.iter().for_each(assert_within_limits);
}

#[actix_rt::test]
async fn single_entry_borrows_idle_slots_and_returns_them_on_demand() {
    let site = Site::new(1, 3).started();
    site.apply(0, &desired(&site));
    let backend = CountingBackend::start(site.ephemeral_address())
        .await
        .unwrap();
    let backend = backend.with_announcements(
        vec![site.backends_address(1)],
        "render",
        1,
        ANNOUNCE_INTERVAL,
    );
    for entry in 0..3 {
        let callers = site.callers_address(entry);
        wait_for("every entry serves", || is_served(callers)).await;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let single = load(site.callers_address(0), 12, "delay_ms=100", &stop);
    wait_for(
        "one entry uses more than its share of the slots",
        || async { backend.count(|counts| &counts.in_progress) >= MAX_IN_PROGRESS - 2 },
    )
    .await;
    let others = [1, 2].map(|entry| load(site.callers_address(entry), 12, "delay_ms=100", &stop));
    wait_for("the other entries get their slots back", || async {
        others
            .iter()
            .all(|served| served.load(Ordering::SeqCst) >= 20)
    })
    .await;
    stop.store(true, Ordering::SeqCst);
    assert!(single.load(Ordering::SeqCst) > 0);
    assert_within_limits(&backend);
}

/// Starts a proxy in front of each entry's peer address; the other entries connect through it.
async fn start_peer_proxies(site: &Site, entries: usize) -> Vec<Proxy> {
    let mut proxies = Vec::new();
    for entry in 0..entries {
        let target = SocketAddr::new(
            site.ephemeral_address().ip(),
            24_000 + u16::try_from(entry).unwrap(),
        );
        proxies.push(
            Proxy::start(site.ephemeral_address(), target)
                .await
                .unwrap(),
        );
    }
    for entry in 0..entries {
        let file = site.folder().join(format!("entry-{entry}.ini"));
        let text = std::fs::read_to_string(&file).unwrap();
        let kept = text.lines().filter(|line| !line.starts_with("entries"));
        let others = (0..entries).filter(|other| *other != entry);
        let others: Vec<_> = others
            .map(|other| proxies[other].address.to_string())
            .collect();
        let text = kept.collect::<Vec<_>>().join("\n");
        let text = format!("{text}\nentries = {}\n", others.join(", "));
        std::fs::write(&file, text).unwrap();
    }
    proxies
}

#[actix_rt::test]
async fn leaving_backend_server_gets_no_new_requests_even_from_a_partitioned_entry() {
    let site = Site::new(1, 3);
    let proxies = start_peer_proxies(&site, 3).await;
    let site = site.started();
    site.apply(0, &desired(&site));
    let mut backend = CountingBackend::start(site.ephemeral_address())
        .await
        .unwrap();
    backend = backend.with_announcements(
        vec![site.backends_address(0)],
        "render",
        1,
        ANNOUNCE_INTERVAL,
    );
    for entry in 0..3 {
        let callers = site.callers_address(entry);
        wait_for("every entry serves requests", || is_served(callers)).await;
    }
    let finishing = actix_rt::spawn({
        let callers = site.callers_address(2);
        async move { call(callers, "delay_ms=2500", &[]).await.0 }
    });
    wait_for("the long request runs", || async {
        backend.count(|counts| &counts.in_progress) == 1
    })
    .await;
    proxies
        .iter()
        .for_each(|proxy| proxy.faults.set_partitioned(true));
    backend.stop_announcements();
    let left = announce(
        site.backends_address(0),
        "render",
        backend.address,
        1,
        "leaving",
    );
    left.await.unwrap();
    tokio::time::sleep(LEAVING_GRACE).await;
    let begun = backend.count(|counts| &counts.started);
    let deadline = Instant::now() + Duration::from_millis(400);
    while Instant::now() < deadline {
        for entry in 0..3 {
            let status = call(
                site.callers_address(entry),
                "delay_ms=1",
                &[("Jasminefall-Timeout-Ms", "50")],
            );
            assert_ne!(
                status.await.0,
                200,
                "entry {entry} sent a request to a backend server that has left"
            );
        }
    }
    assert_eq!(backend.count(|counts| &counts.started), begun);
    assert_eq!(
        finishing.await.unwrap(),
        200,
        "the request in progress must finish"
    );

    // The same address is announced again as a new incarnation, to an entry that is still
    // partitioned.
    let again = announce(
        site.backends_address(1),
        "render",
        backend.address,
        2,
        "ready",
    );
    again.await.unwrap();
    assert!(is_served(site.callers_address(1)).await);
}

#[actix_rt::test]
async fn request_that_would_miss_its_deadline_is_refused_with_retry_after() {
    let site = Site::new(1, 1).started();
    site.apply(0, &desired(&site));
    let backend = CountingBackend::start(site.ephemeral_address())
        .await
        .unwrap();
    let backend = backend.with_announcements(
        vec![site.backends_address(0)],
        "render",
        1,
        ANNOUNCE_INTERVAL,
    );
    let entry = site.callers_address(0);
    wait_for("the entry serves", || is_served(entry)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let overload = load(entry, 80, "delay_ms=500", &stop);
    wait_for(
        "the entry has measured the duration of requests",
        || async { overload.load(Ordering::SeqCst) > 24 },
    )
    .await;
    let mut refused = None;
    wait_for(
        "a request that cannot be answered in time is refused",
        || async {
            let headers = [("Jasminefall-Timeout-Ms", "1000")];
            call(entry, "delay_ms=500", &headers).await.0 == 503
        },
    )
    .await;
    for _ in 0..20 {
        let headers = [("Jasminefall-Timeout-Ms", "1000")];
        if let (503, Some(retry_after)) = call(entry, "delay_ms=500", &headers).await {
            refused = Some(retry_after);
            break;
        }
    }
    assert!(
        refused.is_some_and(|retry_after| (1..=60).contains(&retry_after)),
        "{refused:?}"
    );
    // An urgent request of another team is served during the overload.
    let headers = [
        ("Jasminefall-Team", "schools"),
        ("Jasminefall-Urgency", "urgent"),
    ];
    assert_eq!(call(entry, "delay_ms=1", &headers).await.0, 200);
    stop.store(true, Ordering::SeqCst);
    assert_within_limits(&backend);
}

#[actix_rt::test]
async fn failing_backend_server_is_ejected_and_readmitted_after_recovery() {
    let site = Site::new(1, 2).started();
    site.apply(0, &desired(&site));
    let mut backends = Vec::new();
    for _ in 0..3 {
        let backend = CountingBackend::start(site.ephemeral_address())
            .await
            .unwrap();
        let announced = vec![site.backends_address(0)];
        backends.push(backend.with_announcements(announced, "render", 1, ANNOUNCE_INTERVAL));
    }
    backends[0]
        .counts
        .fails_requests
        .store(true, Ordering::SeqCst);
    let entry = site.callers_address(0);
    wait_for("all backend servers receive requests", || async {
        let _ = call(entry, "delay_ms=5", &[]).await;
        backends
            .iter()
            .all(|backend| backend.count(|counts| &counts.started) > 0)
    })
    .await;
    wait_for("the failing backend server is ejected", || async {
        let before = backends[0].count(|counts| &counts.started);
        for _ in 0..20 {
            let _ = call(entry, "delay_ms=5", &[]).await;
        }
        backends[0].count(|counts| &counts.started) == before
    })
    .await;
    backends[0]
        .counts
        .fails_requests
        .store(false, Ordering::SeqCst);
    let before = backends[0].count(|counts| &counts.started);
    wait_for(
        "the recovered backend server is probed and readmitted",
        || async {
            let _ = call(entry, "delay_ms=5", &[]).await;
            backends[0].count(|counts| &counts.started) > before + 10
        },
    )
    .await;
}
