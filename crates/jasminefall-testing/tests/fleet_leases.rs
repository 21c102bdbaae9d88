//! Leases of workers, with real control replicas behind the fault-injecting proxy.

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

async fn submit(site: &Site, key: &str, overrides: Value) -> u64 {
    let mut body = json!({
        "key": key, "team": "guild", "cpu_mcores": 1_000, "memory_bytes": 1 << 30,
        "command": "wait 60000",
    });
    for (name, value) in overrides.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    let url = format!("http://{}/v1/jobs", site.callers_address(0));
    let client = awc::Client::default();
    let mut response = client
        .post(url)
        .send_json(&body)
        .await
        .expect("the entry responds");
    let accepted: Value = response.json().await.expect("the response is JSON");
    accepted["job"].as_u64().expect("the job is accepted")
}

/// Returns the state of a job; null if it is unknown.
fn job_state(site: &Site, job: u64) -> Value {
    let (_, printed) = site.ctl(&["jobs", "--json"]);
    let jobs: Value = serde_json::from_str(&printed).unwrap_or_default();
    let jobs = jobs.as_array().into_iter().flatten();
    let found = jobs.into_iter().find(|one| one["job"] == job);
    found.map(|one| one["state"].clone()).unwrap_or_default()
}

async fn wait_until_placed(site: &Site, id: u64, worker: &str) {
    wait_for("the job is placed", || async {
        job_state(site, id)["Placed"]["worker"] == worker
    })
    .await;
}

/// Starts a proxy in front of each control replica's listener for workers.
async fn start_proxies(site: &Site) -> (Vec<Proxy>, Vec<SocketAddr>) {
    let mut proxies = Vec::new();
    for address in site.workers_addresses() {
        let proxy = Proxy::start(site.ephemeral_address(), address).await;
        proxies.push(proxy.expect("the proxy can listen on a free port"));
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
async fn partitioned_worker_stops_its_task_before_it_runs_elsewhere() {
    let site = Site::new(1, 1).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let (proxies, proxy_addresses) = start_proxies(&site).await;
    let first = FakeWorker::start("w1", &proxy_addresses);
    let idempotent = submit(&site, "again", json!({"idempotent": true})).await;
    let non_idempotent = submit(&site, "once", json!({})).await;
    wait_until_placed(&site, idempotent, "w1").await;
    wait_until_placed(&site, non_idempotent, "w1").await;
    wait_for("both tasks run", || async { first.state().runs.len() == 2 }).await;
    let second = FakeWorker::start("w2", &site.workers_addresses());

    for proxy in &proxies {
        proxy.faults.set_partitioned(true);
    }
    wait_until_placed(&site, idempotent, "w2").await;
    wait_for("the task runs elsewhere", || async {
        !runs_of(&second, idempotent).is_empty()
    })
    .await;
    let stopped_at = runs_of(&first, idempotent)[0]
        .ended_at
        .expect("the partitioned worker stopped its task");
    let restarted_at = runs_of(&second, idempotent)[0].started_at;
    assert!(stopped_at < restarted_at, "the task ran under two leases");
    assert_eq!(job_state(&site, non_idempotent), json!("MayHaveRun"));
    assert!(
        runs_of(&second, non_idempotent).is_empty(),
        "the task that is not idempotent ran twice"
    );

    for proxy in &proxies {
        proxy.faults.set_partitioned(false);
    }
    let job_after_recovery = submit(
        &site,
        "late",
        json!({"command": "wait 1", "cpu_mcores": 8_000}),
    )
    .await;
    wait_for("both workers are in service", || async {
        site.ctl(&["instances"]).1.matches("in-service").count() == 2
    })
    .await;
    wait_for("a job completes", || async {
        job_state(&site, job_after_recovery) == json!("Completed")
    })
    .await;
    assert_eq!(
        runs_of(&first, idempotent).len(),
        1,
        "the worker ran the task again after the partition"
    );
}

#[actix_rt::test]
async fn new_leader_waits_for_the_expiry_of_earlier_leases() {
    let mut site = Site::new(3, 1).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let (proxies, proxy_addresses) = start_proxies(&site).await;
    let first = FakeWorker::start("w1", &proxy_addresses);
    let idempotent = submit(&site, "again", json!({"idempotent": true})).await;
    wait_until_placed(&site, idempotent, "w1").await;
    wait_for("the task runs", || async { !first.state().runs.is_empty() }).await;
    let second = FakeWorker::start("w2", &site.workers_addresses());

    for proxy in &proxies {
        proxy.faults.set_partitioned(true);
    }
    site.kill_control(leader(&site));
    wait_for("the task runs elsewhere", || async {
        !runs_of(&second, idempotent).is_empty()
    })
    .await;
    let stopped_at = runs_of(&first, idempotent)[0]
        .ended_at
        .expect("the partitioned worker stopped its task");
    let restarted_at = runs_of(&second, idempotent)[0].started_at;
    assert!(stopped_at < restarted_at, "the task ran under two leases");
}

/// Returns the position of the leader.
fn leader(site: &Site) -> usize {
    let (_, printed) = site.ctl(&["status", "--json"]);
    let status: Value = serde_json::from_str(&printed).unwrap_or_default();
    let leader = status["replica"]["leader"]
        .as_u64()
        .expect("a leader is elected");
    usize::try_from(leader - 1).expect("a replica number fits into usize")
}

#[actix_rt::test]
async fn urgent_job_throttles_background_tasks_and_leaves_a_normal_task_running() {
    let site = Site::new(1, 1).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let worker = FakeWorker::start("w1", &site.workers_addresses());
    let normal = submit(&site, "soak", json!({"cpu_mcores": 4_000})).await;
    let background = json!({
        "cpu_mcores": 2_000, "urgency": "background", "can_checkpoint": true, "idempotent": true,
    });
    for number in 0..6 {
        submit(&site, &format!("flood-{number}"), background.clone()).await;
    }
    wait_for("the worker is full", || async {
        worker.state().runs.len() == 7
    })
    .await;
    let urgent = json!({"cpu_mcores": 4_000, "urgency": "urgent"});
    let urgent = submit(&site, "urgent", urgent).await;
    wait_for("the urgent job starts", || async {
        !runs_of(&worker, urgent).is_empty()
    })
    .await;
    assert!(runs_of(&worker, normal)[0].ended_at.is_none());
    let ended = worker
        .state()
        .runs
        .iter()
        .filter(|run| run.ended_at.is_some())
        .count();
    assert_eq!(
        ended, 0,
        "a task was ended although throttling frees enough capacity"
    );
}
