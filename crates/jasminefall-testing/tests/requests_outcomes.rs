//! The outcomes of requests: the whole answer, "not run", "may have run", never confused.

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
        let told = Call::get(site.callers_address(entry), "/ready")
            .send()
            .await;
        told.is_ok_and(|told| told.status == 200)
    })
    .await;
}

fn not_run(told: &Response, status: u16) {
    assert_eq!(
        (told.outcome.as_str(), told.status),
        ("not-run", status),
        "{told:?}"
    );
}

#[actix_rt::test]
async fn the_answer_passes_whole_with_its_end_to_end_headers_and_status() {
    let site = site(1, 1);
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let backend = backend.with_announcements(site.backends_address(0), "render");
    wait_until_answered(site.callers_address(0)).await;
    let told = Call::get(site.callers_address(0), "/call/render/page?status=418");
    let told = told.send().await.unwrap();
    assert_eq!((told.status, told.outcome.as_str()), (418, "answered"));
    assert_eq!(told.header("set-cookie"), ["first=1", "second=2"]);
    assert_eq!(told.header("keep-alive"), [""; 0]);
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
    let told = call.send().await.unwrap();
    assert_eq!((told.status, told.body.as_str()), (200, ""));
    let whole = Call::get(site.callers_address(0), "/call/render/page")
        .send()
        .await
        .unwrap();
    assert_eq!(
        told.header("content-length"),
        [whole.body.len().to_string()]
    );
    for status in [204, 304] {
        let path = format!("/call/render/page?status={status}");
        let told = Call::get(site.callers_address(0), &path)
            .send()
            .await
            .unwrap();
        assert_eq!((told.status, told.body.as_str()), (status, ""));
    }
    for (head, body, told) in [
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
        let text = send_raw(site.callers_address(0), head.as_bytes(), told).await;
        assert!(text.is_ok(), "{head}: {text:?}");
    }
    wait_until_answered(site.callers_address(0)).await;
}

#[actix_rt::test]
async fn an_answer_that_is_not_provably_whole_is_never_passed_on_nor_mixed_up() {
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
    let broken: [(&str, &[u8]); 9] = [
        (
            "short",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        ),
        ("cut head", b"HTTP/1.1 200 OK\r\nContent-Le"),
        (
            "cut chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
        ),
        (
            "no last chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        ),
        (
            "both",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        ("no length", b"HTTP/1.1 200 OK\r\n\r\nbody until close"),
        ("old version", b"HTTP/1.0 200 OK\r\n\r\nbody until close"),
        ("no HTTP", b"good\r\n\r\n"),
        ("oversized", oversized.as_bytes()),
    ];
    for (name, bytes) in broken {
        backend.respond_with(bytes, true);
        let told = call().send().await.unwrap();
        assert_eq!(told.outcome, "may-have-run", "{name}: {told:?}");
    }
    // What follows a whole answer unasked must not become the answer to the next request.
    let two = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
    for bytes in [
        two.as_slice(),
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n",
    ] {
        backend.respond_with(bytes, false);
        for _ in 0..3 {
            let told = call().send().await.unwrap();
            assert_eq!(
                (told.outcome.as_str(), told.body.as_str()),
                ("answered", "good")
            );
        }
    }
}

#[actix_rt::test]
async fn requests_that_cannot_run_are_refused_as_not_run_with_a_remedy() {
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
        let told = call.send().await.unwrap();
        not_run(&told, status);
        assert_eq!(told.header("retry-after").is_empty(), status != 503);
    }
}

#[actix_rt::test]
async fn a_request_that_timed_out_keeps_its_slot_and_its_connection_is_not_used_again() {
    let site = site(1, 1);
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let backend = backend.with_announcements(site.backends_address(0), "render");
    wait_until_answered(site.callers_address(0)).await;
    let entry = site.callers_address(0);
    let slow = (0..24).map(|number| {
        let path = format!("/call/render/slow?delay_ms=1500&n={number}");
        Call::get(entry, &path).with_timeout_ms(300).send()
    });
    let told = futures::future::join_all(slow).await;
    let outcomes: Vec<_> = told.into_iter().map(|told| told.unwrap().outcome).collect();
    assert!(
        outcomes.iter().all(|outcome| outcome != "answered"),
        "{outcomes:?}"
    );
    for number in 0..16 {
        let path = format!("/call/render/quick?n={number}");
        let told = Call::get(entry, &path).send().await.unwrap();
        assert!(
            told.body.contains(&format!("/quick?n={number} ")),
            "{told:?}"
        );
    }
    assert!(
        backend.runs.peak_concurrency() <= 8,
        "{}",
        backend.runs.peak_concurrency()
    );
}

#[actix_rt::test]
async fn connections_that_go_silent_for_good_are_replaced_and_a_slow_answer_is_not_lost() {
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
        let told = Call::get(entry, "/call/render/page").send().await.unwrap();
        assert_eq!(told.outcome, "answered");
    }
    proxy.faults.blackhole_existing_connections();
    let told = Call::get(entry, "/call/render/page")
        .with_timeout_ms(5_000)
        .send();
    assert_eq!(told.await.unwrap().outcome, "answered");
    let told = Call::post(entry, "/call/render/publish", "after").with_timeout_ms(5_000);
    assert_eq!(told.send().await.unwrap().outcome, "answered");
    assert_eq!(backend.runs.count("after"), 1);

    // Kept alive, slow and live: at most once more, and answered by whichever comes first.
    let path = "/call/render/page?delay_ms=1500&slow";
    let told = Call::get(entry, path)
        .with_timeout_ms(8_000)
        .send()
        .await
        .unwrap();
    assert_eq!(told.outcome, "answered");
    let runs = backend.runs.all();
    let slow = runs.iter().filter(|run| run.path.ends_with("slow")).count();
    assert!(slow <= 2, "{slow}");
}

#[actix_rt::test]
async fn faults_of_the_path_to_a_backend_server_are_told_truly() {
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
    let faults = &proxy.faults;
    let order = std::sync::atomic::Ordering::SeqCst;
    faults.close_after_response_bytes.store(600, order);
    assert_eq!(post("cut").send().await.unwrap().outcome, "may-have-run");
    faults.close_after_response_bytes.store(0, order);
    faults.drop_responses.store(true, order);
    assert_eq!(
        post("lost-answer").send().await.unwrap().outcome,
        "may-have-run"
    );
    faults.drop_responses.store(false, order);
    faults.drop_requests.store(true, order);
    assert_eq!(
        post("lost-request").send().await.unwrap().outcome,
        "may-have-run"
    );
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
        assert_eq!(again.outcome, "may-have-run", "{key} is not run again");
    }
}

#[actix_rt::test]
async fn a_backend_server_that_refuses_connections_proves_that_nothing_ran() {
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
    let told = Call::post(site.callers_address(0), "/call/render/publish", "a")
        .send()
        .await
        .unwrap();
    not_run(&told, 503);
    let backend = FakeBackend::start(address).unwrap();
    let backend = backend.with_announcements(site.backends_address(0), "render");
    wait_for("the same key runs", || async {
        let told = Call::post(site.callers_address(0), "/call/render/publish", "a")
            .send()
            .await;
        told.is_ok_and(|told| told.outcome == "answered")
    })
    .await;
    assert_eq!(backend.runs.count("a"), 1);
}
