//! Requests with an idempotency key run at most once, through any entry and despite failures.

use std::time::Duration;

use jasminefall_testing::backend::FakeBackend;
use jasminefall_testing::caller::{Call, Response, wait_until_answered};
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use tokio::time::timeout;

const DESIRED: &str = "\
[fleet]
name = demo
[budget.standard]
[pool.general]
budget = standard
[service.render]
timeout = 2s
";

fn site(controls: usize, entries: usize) -> Site {
    Site::new(controls, entries)
        .started()
        .with_desired_state(DESIRED)
}

fn backend(site: &Site, entry: usize) -> FakeBackend {
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    backend.with_announcements(site.backends_address(entry), "render")
}

fn publish(site: &Site, entry: usize, key: &str, query: &str) -> Call {
    Call::post(
        site.callers_address(entry),
        &format!("/call/render/publish?{query}"),
        key,
    )
}

async fn send(call: Call) -> Response {
    call.send().await.unwrap()
}

#[actix_rt::test]
async fn concurrent_requests_with_one_key_run_once_and_all_get_the_response() {
    let site = site(1, 2);
    let backend = backend(&site, 0);
    wait_until_answered(site.callers_address(0)).await;
    wait_until_answered(site.callers_address(1)).await;
    let sends = (0..6).map(|number| send(publish(&site, number % 2, "a", "delay_ms=300")));
    let responses = futures::future::join_all(sends).await;
    for response in &responses {
        assert_eq!(
            (response.outcome.as_str(), &response.body),
            ("answered", &responses[0].body)
        );
    }
    assert_eq!(backend.runs.count("a"), 1);
    let resent = send(publish(&site, 1, "a", "delay_ms=300")).await;
    assert_eq!(resent.body, responses[0].body);
    assert_eq!(resent.header("set-cookie"), ["first=1", "second=2"]);

    let other_body = send(publish(&site, 1, "a", "delay_ms=300").with_body("other")).await;
    assert_eq!(
        (other_body.outcome.as_str(), other_body.status),
        ("not-run", 422)
    );
    let other_team = publish(&site, 1, "a", "delay_ms=1").with_header("Jasminefall-Team", "b");
    assert_eq!(send(other_team).await.outcome, "answered");
    assert_eq!(backend.runs.count("a"), 2);

    let large = || publish(&site, 0, "large", "bytes=100000");
    assert_eq!(send(large()).await.outcome, "answered");
    let resent = send(large()).await;
    assert_eq!(
        (resent.outcome.as_str(), resent.status),
        ("answered-not-kept", 410)
    );
    assert_eq!(backend.runs.count("large"), 1);
}

#[actix_rt::test]
async fn request_of_a_disconnected_caller_is_recorded_if_sent_and_dropped_if_queued() {
    let site = site(1, 1);
    let backend = backend(&site, 0);
    wait_until_answered(site.callers_address(0)).await;
    let sent = publish(&site, 0, "sent", "delay_ms=400").send();
    assert!(timeout(Duration::from_millis(150), sent).await.is_err());
    let busy: Vec<_> = (0..8)
        .map(|number| {
            let path = format!("/call/render/busy?delay_ms=1500&n={number}");
            actix_rt::spawn(Call::get(site.callers_address(0), &path).send())
        })
        .collect();
    wait_for("every slot is in use", || async {
        let runs = backend.runs.all();
        runs.iter()
            .filter(|run| run.path.starts_with("/busy"))
            .count()
            >= 7
    })
    .await;
    let queued = publish(&site, 0, "queued", "").send();
    assert!(timeout(Duration::from_millis(150), queued).await.is_err());
    for call in busy {
        assert_eq!(call.await.unwrap().unwrap().outcome, "answered");
    }
    assert_eq!(
        send(publish(&site, 0, "sent", "delay_ms=400"))
            .await
            .outcome,
        "answered"
    );
    assert_eq!(backend.runs.count("sent"), 1);
    assert_eq!(backend.runs.count("queued"), 0);
    assert_eq!(
        send(publish(&site, 0, "queued", "")).await.outcome,
        "answered"
    );
    assert_eq!(backend.runs.count("queued"), 1);
}

#[actix_rt::test]
async fn claim_is_released_if_no_slot_becomes_free() {
    let site = site(1, 1);
    wait_for("the request is refused because no slot is free", || async {
        let response = publish(&site, 0, "a", "").with_timeout_ms(200).send().await;
        response.is_ok_and(|response| {
            response.outcome == "not-run" && response.body.contains("free in time")
        })
    })
    .await;
    let backend = backend(&site, 0);
    wait_until_answered(site.callers_address(0)).await;
    let again = send(publish(&site, 0, "a", "")).await;
    assert_eq!(again.outcome, "answered");
    assert_eq!(backend.runs.count("a"), 1);
}

#[actix_rt::test]
async fn key_claimed_by_a_crashed_or_paused_entry_is_not_run_again() {
    let mut site = site(1, 2);
    let backend = backend(&site, 1);
    wait_until_answered(site.callers_address(0)).await;
    wait_until_answered(site.callers_address(1)).await;
    let crashed = |site: &Site| publish(site, 0, "crashed", "delay_ms=600");
    let lost = actix_rt::spawn(crashed(&site).with_timeout_ms(700).send());
    wait_for("the request runs", || async {
        backend.runs.count("crashed") == 1
    })
    .await;
    site.kill_entry(0);
    assert!(lost.await.unwrap().is_err());
    site.start_entry(0);
    wait_for("the restarted entry is ready", || async {
        let response = Call::get(site.callers_address(0), "/ready").send().await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
    // No attempt of the restarted entry may be mistaken for the attempt that held the claim before
    // the crash, otherwise a retry could be reported as not run.
    let resends = (0..200).map(|_| send(crashed(&site).with_timeout_ms(50)));
    for resent in futures::future::join_all(resends).await {
        assert_ne!(resent.outcome, "not-run", "{resent:?}");
    }
    assert_eq!(backend.runs.count("crashed"), 1);

    wait_until_answered(site.callers_address(0)).await;
    // All slots are in use, so that the claimed request is queued while its entry is paused.
    let busy = (0..16).map(|number| {
        let path = format!("/call/render/busy?delay_ms=1500&n={number}");
        actix_rt::spawn(Call::get(site.callers_address(number % 2), &path).send())
    });
    let _busy: Vec<_> = busy.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let paused = || publish(&site, 0, "paused", "").with_timeout_ms(1_000);
    let waiting = actix_rt::spawn(paused().send());
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.signal_entry(0, "STOP");
    for key in ["crashed", "paused"] {
        let query = if key == "crashed" { "delay_ms=600" } else { "" };
        wait_for("the claim is abandoned", || async {
            let response = send(publish(&site, 1, key, query)).await;
            assert_eq!(response.outcome, "may-have-run", "{key}");
            response.status == 504
        })
        .await;
    }
    site.signal_entry(0, "CONT");
    let late = waiting.await.unwrap().unwrap();
    assert_ne!(late.outcome, "answered");
    wait_until_answered(site.callers_address(0)).await;
    assert_eq!(backend.runs.count("crashed"), 1);
    assert_eq!(backend.runs.count("paused"), 0);
}

#[actix_rt::test]
async fn claim_without_a_quorum_is_refused_as_not_run_and_its_key_can_run_later() {
    let mut site = site(3, 1);
    let backend = backend(&site, 0);
    wait_until_answered(site.callers_address(0)).await;
    site.kill_control(1);
    site.kill_control(2);
    let refused = send(publish(&site, 0, "a", "")).await;
    assert_eq!((refused.outcome.as_str(), refused.status), ("not-run", 503));
    assert_eq!(refused.header("retry-after"), ["1"]);
    assert_eq!(backend.runs.count("a"), 0);
    site.start_control(1);
    wait_for("a request with the same key is answered", || async {
        let response = publish(&site, 0, "a", "").send().await;
        response.is_ok_and(|response| response.outcome == "answered")
    })
    .await;
    assert_eq!(backend.runs.count("a"), 1);
}

#[actix_rt::test]
async fn shutdown_fails_readiness_first_and_completes_open_requests() {
    let mut site = Site::new(1, 1);
    site.edit_entry(0, |text| text + "stop_delay = 1s\n");
    site = site.started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let backend = backend(&site, 0);
    wait_until_answered(site.callers_address(0)).await;
    let before = actix_rt::spawn(publish(&site, 0, "before", "delay_ms=1500").send());
    wait_for("the request runs", || async {
        backend.runs.count("before") == 1
    })
    .await;
    site.signal_entry(0, "TERM");
    wait_for("readiness fails", || async {
        let response = Call::get(site.callers_address(0), "/ready").send().await;
        response.is_ok_and(|response| response.status == 503)
    })
    .await;
    let during = send(publish(&site, 0, "during", "")).await;
    assert_eq!(
        during.outcome, "answered",
        "the listener must stay open until the load balancer has detected the shutdown"
    );
    assert_eq!(before.await.unwrap().unwrap().outcome, "answered");
    let mut ended = None;
    for _ in 0..1_000 {
        ended = site.entry_exit_status(0);
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    site.start_entry(0);
    wait_until_answered(site.callers_address(0)).await;
    let resent = send(publish(&site, 0, "before", "delay_ms=1500")).await;
    assert_eq!(resent.outcome, "answered");
    assert_eq!(backend.runs.count("before"), 1);
}

#[actix_rt::test]
async fn blackholed_connections_to_control_and_between_entries_are_replaced() {
    let mut site = Site::new(1, 2);
    let control = Proxy::start(site.ephemeral_address(), site.control_peer_address(0))
        .await
        .unwrap();
    let peers = [
        Proxy::start(site.ephemeral_address(), site.entry_peer_address(0))
            .await
            .unwrap(),
        Proxy::start(site.ephemeral_address(), site.entry_peer_address(1))
            .await
            .unwrap(),
    ];
    for (entry, other) in [(0, 1), (1, 0)] {
        site.edit_entry(entry, |text| {
            let control_peer = site.control_peer_address(0).to_string();
            let entries = format!("entries = {}", site.entry_peer_address(other));
            text.replace(&control_peer, &control.address.to_string())
                .replace(&entries, &format!("entries = {}", peers[other].address))
        });
    }
    site = site.started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let first = backend(&site, 0);
    wait_until_answered(site.callers_address(0)).await;
    wait_until_answered(site.callers_address(1)).await;
    assert_eq!(
        send(publish(&site, 0, "before", "")).await.outcome,
        "answered"
    );
    control.faults.blackhole_existing_connections();
    peers
        .iter()
        .for_each(|peer| peer.faults.blackhole_existing_connections());
    wait_for("a claim is accepted over a new connection", || async {
        let response = publish(&site, 0, "after", "").send().await;
        response.is_ok_and(|response| response.outcome == "answered")
    })
    .await;
    assert_eq!(first.runs.count("after"), 1);
    first.stop().await;
    let second = backend(&site, 0);
    wait_for(
        "the other entry learns of the new backend server",
        || async {
            let response = Call::get(site.callers_address(1), "/call/render/page")
                .with_timeout_ms(500)
                .send();
            response
                .await
                .is_ok_and(|response| response.outcome == "answered")
        },
    )
    .await;
    assert!(!second.runs.all().is_empty());
}
