//! Workers that are cut off, with real control replicas behind the fault-injecting proxy.

use std::net::SocketAddr;

use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use jasminefall_testing::worker::{FakeWorker, Run};
use serde_json::{Value, json};

const DESIRED: &str = "\
[fleet]
name = demo
[budget.standard]
[pool.general]
budget = standard
[instance.w1]
pool = general
data_centre = dc1
rack = r1
[instance.w2]
pool = general
data_centre = dc1
rack = r1
[team.guild]
quota = 32cores
";

async fn submit(site: &Site, key: &str, change: Value) -> u64 {
    let mut body = json!({
        "key": key, "team": "guild", "cpu_mcores": 1_000, "memory_bytes": 1 << 30,
        "command": "wait 60000",
    });
    for (name, value) in change.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    let url = format!("http://{}/v1/jobs", site.callers_address(0));
    let client = awc::Client::default();
    let mut response = client.post(url).send_json(&body).await.expect("an answer");
    let answer: Value = response.json().await.expect("a job");
    answer["job"].as_u64().expect("an accepted job")
}

/// Returns where a job stands.
fn job(site: &Site, job: u64) -> Value {
    let (_, printed) = site.ctl(&["jobs", "--json"]);
    let jobs: Value = serde_json::from_str(&printed).unwrap_or_default();
    let jobs = jobs.as_array().into_iter().flatten();
    let found = jobs.into_iter().find(|one| one["job"] == job);
    found.map(|one| one["state"].clone()).unwrap_or_default()
}

async fn wait_until_on(site: &Site, id: u64, worker: &str) {
    wait_for("the job is placed", || async {
        job(site, id)["Placed"]["worker"] == worker
    })
    .await;
}

async fn proxies(site: &Site) -> (Vec<Proxy>, Vec<SocketAddr>) {
    let mut proxies = Vec::new();
    for address in site.workers_addresses() {
        let proxy = Proxy::start(site.ephemeral_address(), address).await;
        proxies.push(proxy.expect("a proxy"));
    }
    let addresses = proxies.iter().map(|proxy| proxy.address).collect();
    (proxies, addresses)
}

fn runs_of(worker: &FakeWorker, job: u64) -> Vec<Run> {
    let shared = worker.state();
    let runs = shared.runs.iter();
    runs.filter(|run| run.task.job == job).copied().collect()
}

#[actix_rt::test]
async fn a_worker_cut_off_stops_by_itself_before_its_task_runs_elsewhere() {
    let site = Site::new(1, 1).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let (proxies, behind) = proxies(&site).await;
    let first = FakeWorker::start("w1", &behind);
    let again = submit(&site, "again", json!({"idempotent": true})).await;
    let once = submit(&site, "once", json!({})).await;
    wait_until_on(&site, again, "w1").await;
    wait_until_on(&site, once, "w1").await;
    wait_for("both tasks run", || async { first.state().runs.len() == 2 }).await;
    let second = FakeWorker::start("w2", &site.workers_addresses());

    for proxy in &proxies {
        proxy.faults.set_partitioned(true);
    }
    wait_until_on(&site, again, "w2").await;
    wait_for("the task runs elsewhere", || async {
        !runs_of(&second, again).is_empty()
    })
    .await;
    let stopped = runs_of(&first, again)[0]
        .ended_at
        .expect("it stopped by itself");
    let restarted = runs_of(&second, again)[0].started_at;
    assert!(stopped < restarted, "the task ran under two leases");
    assert_eq!(job(&site, once), json!("MayHaveRun"));
    assert!(runs_of(&second, once).is_empty(), "it ran twice");

    for proxy in &proxies {
        proxy.faults.set_partitioned(false);
    }
    let late = submit(
        &site,
        "late",
        json!({"command": "wait 1", "cpu_mcores": 8_000}),
    )
    .await;
    wait_for("the worker is back", || async {
        site.ctl(&["instances"]).1.matches("in-service").count() == 2
    })
    .await;
    wait_for("a job completes", || async {
        job(&site, late) == json!("Completed")
    })
    .await;
    assert_eq!(
        runs_of(&first, again).len(),
        1,
        "no task comes back to life"
    );
}

#[actix_rt::test]
async fn a_new_leader_waits_out_the_leases_of_the_old_one() {
    let mut site = Site::new(3, 1).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let (proxies, behind) = proxies(&site).await;
    let first = FakeWorker::start("w1", &behind);
    let again = submit(&site, "again", json!({"idempotent": true})).await;
    wait_until_on(&site, again, "w1").await;
    wait_for("the task runs", || async { !first.state().runs.is_empty() }).await;
    let second = FakeWorker::start("w2", &site.workers_addresses());

    for proxy in &proxies {
        proxy.faults.set_partitioned(true);
    }
    site.kill_control(leader(&site));
    wait_for("the task runs elsewhere", || async {
        !runs_of(&second, again).is_empty()
    })
    .await;
    let stopped = runs_of(&first, again)[0]
        .ended_at
        .expect("it stopped by itself");
    let restarted = runs_of(&second, again)[0].started_at;
    assert!(stopped < restarted, "the task ran under two leases");
}

/// Returns the position of the replica that leads.
fn leader(site: &Site) -> usize {
    let (_, printed) = site.ctl(&["status", "--json"]);
    let status: Value = serde_json::from_str(&printed).unwrap_or_default();
    let leader = status["replica"]["leader"].as_u64().expect("a leader");
    usize::try_from(leader - 1).expect("few replicas")
}

#[actix_rt::test]
async fn urgent_work_gets_room_by_a_throttle_and_a_soak_trial_is_never_disturbed() {
    let site = Site::new(1, 1).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let worker = FakeWorker::start("w1", &site.workers_addresses());
    let soak = submit(&site, "soak", json!({"cpu_mcores": 4_000})).await;
    let flood = json!({
        "cpu_mcores": 2_000, "urgency": "background", "can_checkpoint": true, "idempotent": true,
    });
    for number in 0..6 {
        submit(&site, &format!("flood-{number}"), flood.clone()).await;
    }
    wait_for("the worker is full", || async {
        worker.state().runs.len() == 7
    })
    .await;
    let urgent = json!({"cpu_mcores": 4_000, "urgency": "urgent"});
    let urgent = submit(&site, "urgent", urgent).await;
    wait_for("urgent work starts", || async {
        !runs_of(&worker, urgent).is_empty()
    })
    .await;
    assert!(runs_of(&worker, soak)[0].ended_at.is_none());
    let ended = worker
        .state()
        .runs
        .iter()
        .filter(|run| run.ended_at.is_some())
        .count();
    assert_eq!(ended, 0, "a throttle sufficed");
}
