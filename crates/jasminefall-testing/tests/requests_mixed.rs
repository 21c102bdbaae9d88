//! A seeded mixed load with faults: nothing lost, doubled, mixed up or told wrongly.

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
const CALLERS: u64 = 12;
const CALLS_EACH: u64 = 15;
const BACKENDS: usize = 3;
const DESIRED: &str = "\
[fleet]
name = demo
[budget.standard]
[pool.general]
budget = standard
[service.render]
timeout = 3s
";

/// Holds what a caller asked and was told of it at last.
#[derive(Debug)]
struct Asked {
    identity: String,
    keyed: bool,
    told: Vec<Result<Response, String>>,
}

/// Sends a request, and again with the same key through either entry while its outcome allows it.
async fn ask(site: &Site, caller: u64, random: &mut ChaCha8Rng, number: u64) -> Asked {
    let identity = format!("caller-{caller}-request-{number}");
    let keyed = random.random_bool(0.5);
    let delay_ms = if random.random_bool(0.1) { 200 } else { 0 };
    let path = format!("/call/render/work?delay_ms={delay_ms}&{identity}");
    let mut asked = Asked {
        identity: identity.clone(),
        keyed,
        told: Vec::new(),
    };
    for _ in 0..3 {
        let entry = site.callers_address(random.random_range(0..2));
        let call = if keyed {
            Call::post(entry, &path, &identity).with_body(&identity)
        } else {
            Call::get(entry, &path)
        };
        let told = call.with_timeout_ms(2_000).send().await;
        let answered = told.as_ref().is_ok_and(|told| told.outcome == "answered");
        asked.told.push(told);
        if answered && random.random_bool(0.8) {
            break;
        }
    }
    asked
}

/// Injects one fault after another until the load is over.
async fn disturb(proxies: &[Proxy], mut random: ChaCha8Rng) {
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

fn check(asked: &Asked, runs: usize) {
    let Asked {
        identity,
        keyed,
        told,
    } = asked;
    let told_outcomes: Vec<_> = told
        .iter()
        .flatten()
        .map(|told| told.outcome.as_str())
        .collect();
    for told in told
        .iter()
        .flatten()
        .filter(|told| told.outcome == "answered")
    {
        assert!(
            told.body.contains(identity.as_str()),
            "mixed up: {identity}: {told:?}"
        );
        assert!(told.body.ends_with('\n'), "not whole: {identity}: {told:?}");
    }
    for told in told.iter().flatten() {
        let known = ["answered", "not-run", "may-have-run"].contains(&told.outcome.as_str());
        assert!(known, "no outcome: {identity}: {told:?}");
    }
    if told_outcomes.contains(&"answered") {
        assert!(runs >= 1, "answered without a run: {identity}");
    }
    if *keyed {
        assert!(runs <= 1, "doubled: {identity}: {runs} runs, {told:?}");
    }
    let all_not_run = told
        .iter()
        .all(|told| told.as_ref().is_ok_and(|told| told.outcome == "not-run"));
    if all_not_run {
        assert_eq!(runs, 0, "told that it did not run: {identity}");
    }
}

#[actix_rt::test]
async fn under_faults_nothing_is_lost_doubled_mixed_up_or_told_wrongly() {
    let mut site = Site::new(3, 2).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let (mut backends, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..BACKENDS {
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
            let told = Call::get(site.callers_address(entry), "/call/render/warm-up").send();
            told.await.is_ok_and(|told| told.outcome == "answered")
        })
        .await;
    }
    let load = (0..CALLERS).map(|caller| {
        let site = &site;
        async move {
            let mut random = ChaCha8Rng::seed_from_u64(SEED + caller);
            let mut asked = Vec::new();
            for number in 0..CALLS_EACH {
                asked.push(ask(site, caller, &mut random, number).await);
            }
            asked
        }
    });
    let asked = tokio::select! {
        asked = futures::future::join_all(load) => asked.into_iter().flatten().collect::<Vec<_>>(),
        () = disturb(&proxies, ChaCha8Rng::seed_from_u64(SEED)) => unreachable!(),
    };
    site.kill_entry(0);
    site.kill_entry(1);
    let mut runs = BTreeMap::<String, usize>::new();
    for run in backends.iter().flat_map(|backend| backend.runs.all()) {
        let identity = run.path.rsplit('&').next().unwrap_or_default().to_owned();
        *runs.entry(identity).or_default() += 1;
    }
    let mut answered = 0;
    for asked in &asked {
        check(
            asked,
            runs.get(&asked.identity).copied().unwrap_or_default(),
        );
        let is_answered = |told: &Result<Response, String>| {
            told.as_ref().is_ok_and(|told| told.outcome == "answered")
        };
        answered += usize::from(asked.told.iter().any(is_answered));
    }
    assert_eq!(asked.len() as u64, CALLERS * CALLS_EACH);
    assert!(
        answered * 2 > asked.len(),
        "only {answered} of {} were answered",
        asked.len()
    );
}
