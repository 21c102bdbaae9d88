//! The outcomes of requests, "answered", "not run" and "may have run", are reported correctly.

use std::time::Duration;

use jasminefall_testing::backend::{FakeBackend, announce};
use jasminefall_testing::caller::{Call, Method, Response, send_raw, wait_until_answered};
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::raw_backend::RawBackend;
use jasminefall_testing::site::{Site, wait_for};

const DESIRED: &str = "\
[fleet]
name = demo
[budget.standard]
[pool.general]
budget = standard
[service.render]
timeout = 20s
idempotent = lookup
non_idempotent = publish
";

fn site(controls: usize, entries: usize) -> Site {
    Site::new(controls, entries)
        .started()
        .with_desired_state(DESIRED)
}

async fn wait_until_ready(site: &Site, entry: usize) {
    wait_for("the entry is ready", || async {
        let response = Call::get(site.callers_address(entry), "/ready")
            .send()
            .await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
}

fn assert_not_run(response: &Response, status: u16) {
    assert_eq!(
        (response.outcome.as_str(), response.status),
        ("not-run", status),
        "{response:?}"
    );
}

#[actix_rt::test]
async fn response_is_forwarded_completely_with_status_and_end_to_end_headers() {
    let site = site(1, 1);
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let backend = backend.with_announcements(site.backends_address(0), "render");
    wait_until_answered(site.callers_address(0)).await;
    let response = Call::get(site.callers_address(0), "/call/render/page?status=418");
    let response = response.send().await.unwrap();
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (418, "answered")
    );
    assert_eq!(response.header("set-cookie"), ["first=1", "second=2"]);
    assert_eq!(response.header("keep-alive"), [""; 0]);
    let head = "GET /call/render/page?x=%20y HTTP/1.1\r\nHost: h\r\nConnection: x-private\r\n\
                X-Private: 1\r\nX-Public: 2\r\nTE: trailers\r\nJasminefall-Request: forged\r\n\r\n";
    let text = send_raw(site.callers_address(0), head.as_bytes(), "/page")
        .await
        .unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    let run = backend.runs.all().pop().unwrap();
    assert_eq!(run.path, "/page?x=%20y");
    let header = |name| {
        let found = run.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    };
    assert_eq!(header("x-public"), Some("2"));
    assert_eq!(header("x-private"), None);
    assert_eq!(header("te"), None);
    assert!(header("jasminefall-timeout-ms").is_some());
    assert!(header("jasminefall-request").is_some_and(|name| name.starts_with("e1-")));

    let call = Call::get(site.callers_address(0), "/call/render/page").with_method(Method::HEAD);
    let response = call.send().await.unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, ""));
    let get_response = Call::get(site.callers_address(0), "/call/render/page")
        .send()
        .await
        .unwrap();
    assert_eq!(
        response.header("content-length"),
        [get_response.body.len().to_string()]
    );
    for status in [204, 304] {
        let path = format!("/call/render/page?status={status}");
        let response = Call::get(site.callers_address(0), &path)
            .send()
            .await
            .unwrap();
        assert_eq!((response.status, response.body.as_str()), (status, ""));
    }
    for (head, body, expected) in [
        (
            "Expect: 100-continue\r\nContent-Length: 4",
            "more",
            "HTTP/1.1 100 Continue",
        ),
        (
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "0\r\n\r\n",
            "400 Bad Request",
        ),
        (
            "Content-Length: 4\r\nContent-Length: 5",
            "more!",
            "400 Bad Request",
        ),
    ] {
        let head = format!("POST /call/render/lookup HTTP/1.1\r\nHost: h\r\n{head}\r\n\r\n{body}");
        let text = send_raw(site.callers_address(0), head.as_bytes(), expected).await;
        assert!(text.is_ok(), "{head}: {text:?}");
    }
    wait_until_answered(site.callers_address(0)).await;
}

#[actix_rt::test]
async fn response_not_provably_complete_is_never_forwarded_or_mixed_up() {
    let site = site(1, 1);
    let backend = RawBackend::start(site.ephemeral_address()).await.unwrap();
    backend.respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", false);
    let announced = announce(
        site.backends_address(0),
        "render",
        backend.address,
        1,
        "ready",
    );
    announced.await.unwrap();
    let address = backend.address;
    let entry = site.backends_address(0);
    let _announcing = actix_rt::spawn(async move {
        loop {
            let _ = announce(entry, "render", address, 1, "ready").await;
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    wait_until_answered(site.callers_address(0)).await;
    let call = || Call::get(site.callers_address(0), "/call/render/page").with_timeout_ms(1_000);
    let oversized = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 9 << 20);
    let incomplete_responses: [(&str, &[u8]); 9] = [
        (
            "truncated body",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        ),
        ("truncated head", b"HTTP/1.1 200 OK\r\nContent-Le"),
        (
            "truncated chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
        ),
        (
            "no last chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        ),
        (
            "both lengths",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        ("no length", b"HTTP/1.1 200 OK\r\n\r\nbody until close"),
        ("old version", b"HTTP/1.0 200 OK\r\n\r\nbody until close"),
        ("no HTTP", b"good\r\n\r\n"),
        ("oversized", oversized.as_bytes()),
    ];
    for (name, bytes) in incomplete_responses {
        backend.respond_with(bytes, true);
        let response = call().send().await.unwrap();
        assert_eq!(response.outcome, "may-have-run", "{name}: {response:?}");
    }
    // Surplus bytes after a complete response must not become the response to the next request.
    let two = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
    for bytes in [
        two.as_slice(),
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n",
    ] {
        backend.respond_with(bytes, false);
        for _ in 0..3 {
            let response = call().send().await.unwrap();
            assert_eq!(
                (response.outcome.as_str(), response.body.as_str()),
                ("answered", "good")
            );
        }
    }
}

#[actix_rt::test]
async fn requests_that_cannot_run_are_refused_as_not_run_with_retry_after_on_503() {
    let site = site(1, 1);
    wait_until_ready(&site, 0).await;
    let entry = site.callers_address(0);
    let long = "k".repeat(256);
    let post = |key| Call::post(entry, "/call/render/publish", key);
    for (call, status) in [
        (Call::get(entry, "/call/unknown/page"), 404),
        (
            Call::get(entry, "/call/render/page").with_timeout_ms(50),
            503,
        ),
        (Call::get(entry, "/call/render/publish"), 400),
        (
            Call::get(entry, "/call/render/page").with_method(Method::POST),
            400,
        ),
        (post(""), 400),
        (post(&long), 400),
        (post("a").with_header("Jasminefall-Team", &long), 400),
        (post("a").with_header("Jasminefall-Timeout-Ms", "soon"), 400),
        (
            post("a").with_header("Jasminefall-Key-Time-Ms", "9999999999999"),
            400,
        ),
        (post("a").with_body(&"x".repeat((8 << 20) + 1)), 413),
        (post("a").with_timeout_ms(50), 503),
    ] {
        let response = call.send().await.unwrap();
        assert_not_run(&response, status);
        assert_eq!(response.header("retry-after").is_empty(), status != 503);
    }
}

#[actix_rt::test]
async fn timed_out_request_keeps_its_slot_and_its_connection_is_not_reused() {
    let site = site(1, 1);
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let backend = backend.with_announcements(site.backends_address(0), "render");
    wait_until_answered(site.callers_address(0)).await;
    let entry = site.callers_address(0);
    let slow = (0..24).map(|number| {
        let path = format!("/call/render/slow?delay_ms=1500&n={number}");
        Call::get(entry, &path).with_timeout_ms(300).send()
    });
    let responses = futures::future::join_all(slow).await;
    let outcomes: Vec<_> = responses
        .into_iter()
        .map(|response| response.unwrap().outcome)
        .collect();
    assert!(
        outcomes.iter().all(|outcome| outcome != "answered"),
        "{outcomes:?}"
    );
    for number in 0..16 {
        let path = format!("/call/render/quick?n={number}");
        let response = Call::get(entry, &path).send().await.unwrap();
        assert!(
            response.body.contains(&format!("/quick?n={number} ")),
            "{response:?}"
        );
    }
    assert!(
        backend.runs.peak_concurrency() <= 8,
        "{}",
        backend.runs.peak_concurrency()
    );
}

#[actix_rt::test]
async fn blackholed_connections_are_replaced_and_a_slow_response_is_returned() {
    let site = site(1, 1);
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let proxy = Proxy::start(site.ephemeral_address(), backend.address)
        .await
        .unwrap();
    let backend =
        backend.with_proxied_announcements(proxy.address, site.backends_address(0), "render");
    wait_until_answered(site.callers_address(0)).await;
    let entry = site.callers_address(0);
    for _ in 0..20 {
        let response = Call::get(entry, "/call/render/page").send().await.unwrap();
        assert_eq!(response.outcome, "answered");
    }
    proxy.faults.blackhole_existing_connections();
    let response = Call::get(entry, "/call/render/page")
        .with_timeout_ms(5_000)
        .send();
    assert_eq!(response.await.unwrap().outcome, "answered");
    let response = Call::post(entry, "/call/render/publish", "after").with_timeout_ms(5_000);
    assert_eq!(response.send().await.unwrap().outcome, "answered");
    assert_eq!(backend.runs.count("after"), 1);

    // The response on a reused connection is slow, but the connection works: the request runs at
    // most once more, and the first response is returned.
    let path = "/call/render/page?delay_ms=1500&slow";
    let response = Call::get(entry, path)
        .with_timeout_ms(8_000)
        .send()
        .await
        .unwrap();
    assert_eq!(response.outcome, "answered");
    let runs = backend.runs.all();
    let slow = runs.iter().filter(|run| run.path.ends_with("slow")).count();
    assert!(slow <= 2, "{slow}");
}

#[actix_rt::test]
async fn network_faults_to_a_backend_server_are_reported_as_may_have_run() {
    let site = site(1, 1);
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let proxy = Proxy::start(site.ephemeral_address(), backend.address)
        .await
        .unwrap();
    let backend =
        backend.with_proxied_announcements(proxy.address, site.backends_address(0), "render");
    wait_until_answered(site.callers_address(0)).await;
    let post = |key: &str| {
        let path = "/call/render/publish?bytes=4000";
        Call::post(site.callers_address(0), path, key).with_timeout_ms(400)
    };
    let assert_may_have_run = |response: Response| {
        let log = site.entry_log(0);
        assert_eq!(response.outcome, "may-have-run", "log of the entry:\n{log}");
    };
    let faults = &proxy.faults;
    let order = std::sync::atomic::Ordering::SeqCst;
    faults.close_after_response_bytes.store(600, order);
    assert_may_have_run(post("cut").send().await.unwrap());
    faults.close_after_response_bytes.store(0, order);
    faults.drop_responses.store(true, order);
    assert_may_have_run(post("lost-answer").send().await.unwrap());
    faults.drop_responses.store(false, order);
    faults.drop_requests.store(true, order);
    assert_may_have_run(post("lost-request").send().await.unwrap());
    faults.drop_requests.store(false, order);
    assert_eq!(post("sound").send().await.unwrap().outcome, "answered");
    for (key, runs) in [
        ("cut", 1),
        ("lost-answer", 1),
        ("lost-request", 0),
        ("sound", 1),
    ] {
        assert_eq!(backend.runs.count(key), runs, "{key}");
    }
    for key in ["cut", "lost-answer", "lost-request"] {
        let again = post(key).send().await.unwrap();
        assert_eq!(
            again.outcome, "may-have-run",
            "{key}: the request was run again"
        );
    }
}

#[actix_rt::test]
async fn refused_connection_to_a_backend_server_is_reported_as_not_run() {
    let site = site(1, 1);
    let closed = RawBackend::start(site.ephemeral_address()).await.unwrap();
    let address = closed.address;
    drop(closed);
    wait_until_ready(&site, 0).await;
    wait_for("the connection is refused", || async {
        tokio::net::TcpStream::connect(address).await.is_err()
    })
    .await;
    announce(site.backends_address(0), "render", address, 1, "ready")
        .await
        .unwrap();
    let response = Call::post(site.callers_address(0), "/call/render/publish", "a")
        .send()
        .await
        .unwrap();
    assert_not_run(&response, 503);
    let backend = FakeBackend::start(address).unwrap();
    let backend = backend.with_announcements(site.backends_address(0), "render");
    wait_for("a request with the same key is answered", || async {
        let response = Call::post(site.callers_address(0), "/call/render/publish", "a")
            .send()
            .await;
        response.is_ok_and(|response| response.outcome == "answered")
    })
    .await;
    assert_eq!(backend.runs.count("a"), 1);
}
