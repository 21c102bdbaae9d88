//! A seeded mix of requests under random faults: no response is lost or mixed up, no request with a
//! key runs twice, and every outcome is correct.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use jasminefall_testing::backend::FakeBackend;
use jasminefall_testing::caller::{Call, Response};
use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 20_261_204;
const CALLER_COUNT: u64 = 12;
const CALLS_PER_CALLER: u64 = 15;
const BACKEND_COUNT: usize = 3;
const DESIRED: &str = "\
[fleet]
name = demo
[budget.standard]
[pool.general]
budget = standard
[service.render]
timeout = 3s
";

/// Holds a request of a caller and the responses to its attempts.
#[derive(Debug)]
struct RequestRecord {
    identity: String,
    keyed: bool,
    responses: Vec<Result<Response, String>>,
}

/// Sends a request up to three times, each time through a random entry, with the same key if it has
/// one; an answered request is usually not repeated.
async fn send_with_retries(
    site: &Site,
    caller: u64,
    random: &mut ChaCha8Rng,
    number: u64,
) -> RequestRecord {
    let identity = format!("caller-{caller}-request-{number}");
    let keyed = random.random_bool(0.5);
    let delay_ms = if random.random_bool(0.1) { 200 } else { 0 };
    let path = format!("/call/render/work?delay_ms={delay_ms}&{identity}");
    let mut record = RequestRecord {
        identity: identity.clone(),
        keyed,
        responses: Vec::new(),
    };
    for _ in 0..3 {
        let entry = site.callers_address(random.random_range(0..2));
        let call = if keyed {
            Call::post(entry, &path, &identity).with_body(&identity)
        } else {
            Call::get(entry, &path)
        };
        let response = call.with_timeout_ms(2_000).send().await;
        let answered = response
            .as_ref()
            .is_ok_and(|response| response.outcome == "answered");
        record.responses.push(response);
        if answered && random.random_bool(0.8) {
            break;
        }
    }
    record
}

/// Injects random faults, one at a time, forever.
async fn inject_faults(proxies: &[Proxy], mut random: ChaCha8Rng) {
    loop {
        let faults = &proxies[random.random_range(0..proxies.len())].faults;
        match random.random_range(0..6) {
            0 => faults.blackhole_existing_connections(),
            1 => faults.drop_responses.store(true, SeqCst),
            2 => faults.drop_requests.store(true, SeqCst),
            3 => faults
                .close_after_response_bytes
                .store(random.random_range(1..300), SeqCst),
            4 => faults.max_extra_delay_ms.store(40, SeqCst),
            _ => faults.delay_ms.store(20, SeqCst),
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(50..300))).await;
        faults.set_partitioned(false);
        faults.close_after_response_bytes.store(0, SeqCst);
        faults.max_extra_delay_ms.store(0, SeqCst);
        faults.delay_ms.store(0, SeqCst);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Asserts that the responses to a request agree with each other and with the number of its runs.
fn check(record: &RequestRecord, runs: usize) {
    let RequestRecord {
        identity,
        keyed,
        responses,
    } = record;
    let outcomes: Vec<_> = responses
        .iter()
        .flatten()
        .map(|response| response.outcome.as_str())
        .collect();
    for response in responses
        .iter()
        .flatten()
        .filter(|response| response.outcome == "answered")
    {
        assert!(
            response.body.contains(identity.as_str()),
            "response to another request: {identity}: {response:?}"
        );
        assert!(
            response.body.ends_with('\n'),
            "incomplete response: {identity}: {response:?}"
        );
    }
    for response in responses.iter().flatten() {
        let known = ["answered", "not-run", "may-have-run"].contains(&response.outcome.as_str());
        assert!(known, "unknown outcome: {identity}: {response:?}");
    }
    if outcomes.contains(&"answered") {
        assert!(runs >= 1, "answered without a run: {identity}");
    }
    if *keyed {
        assert!(
            runs <= 1,
            "ran more than once: {identity}: {runs} runs, {responses:?}"
        );
    }
    let all_not_run = responses.iter().all(|response| {
        response
            .as_ref()
            .is_ok_and(|response| response.outcome == "not-run")
    });
    if all_not_run {
        assert_eq!(runs, 0, "reported as not run: {identity}");
    }
}

#[actix_rt::test]
async fn responses_match_the_recorded_runs_under_random_faults() {
    let mut site = Site::new(3, 2).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let (mut backends, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..BACKEND_COUNT {
        let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
        let proxy = Proxy::start(site.ephemeral_address(), backend.address)
            .await
            .unwrap();
        let entry = site.backends_address(number % 2);
        backends.push(backend.with_proxied_announcements(proxy.address, entry, "render"));
        proxies.push(proxy);
    }
    for entry in 0..2 {
        wait_for("the entry answers", || async {
            let response = Call::get(site.callers_address(entry), "/call/render/warm-up").send();
            response
                .await
                .is_ok_and(|response| response.outcome == "answered")
        })
        .await;
    }
    let load = (0..CALLER_COUNT).map(|caller| {
        let site = &site;
        async move {
            let mut random = ChaCha8Rng::seed_from_u64(SEED + caller);
            let mut records = Vec::new();
            for number in 0..CALLS_PER_CALLER {
                records.push(send_with_retries(site, caller, &mut random, number).await);
            }
            records
        }
    });
    let records = tokio::select! {
        records = futures::future::join_all(load) => records.into_iter().flatten().collect::<Vec<_>>(),
        () = inject_faults(&proxies, ChaCha8Rng::seed_from_u64(SEED)) => unreachable!(),
    };
    site.kill_entry(0);
    site.kill_entry(1);
    let mut runs = BTreeMap::<String, usize>::new();
    for run in backends.iter().flat_map(|backend| backend.runs.all()) {
        let identity = run.path.rsplit('&').next().unwrap_or_default().to_owned();
        *runs.entry(identity).or_default() += 1;
    }
    let mut answered = 0;
    for record in &records {
        check(
            record,
            runs.get(&record.identity).copied().unwrap_or_default(),
        );
        let is_answered = |response: &Result<Response, String>| {
            response
                .as_ref()
                .is_ok_and(|response| response.outcome == "answered")
        };
        answered += usize::from(record.responses.iter().any(is_answered));
    }
    assert_eq!(records.len() as u64, CALLER_COUNT * CALLS_PER_CALLER);
    assert!(
        answered * 2 > records.len(),
        "only {answered} of {} were answered",
        records.len()
    );
}
