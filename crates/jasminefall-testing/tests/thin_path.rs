//! End to end with real processes: requests are answered and jobs complete, before and after kills.

use jasminefall_testing::backend::FakeBackend;
use jasminefall_testing::site::{Site, wait_for};
use jasminefall_testing::worker;
use serde_json::json;

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
[team.guild]
[service.render]
";

async fn get(url: &str) -> Option<String> {
    let mut response = awc::Client::default().get(url).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    String::from_utf8(response.body().await.ok()?.to_vec()).ok()
}

async fn submit_job(site: &Site, entry: usize, key: &str) -> bool {
    let body = json!({
        "key": key, "team": "guild", "cpu_mcores": 1000, "memory_bytes": 1 << 30,
        "command": "wait 50", "urgency": "urgent",
    });
    let url = format!("http://{}/v1/jobs", site.callers_address(entry));
    let sent = awc::Client::default().post(url).send_json(&body).await;
    sent.is_ok_and(|response| response.status().is_success())
}

async fn completed_jobs(site: &Site) -> usize {
    let (_, status) = site.ctl(&["status", "--json"]);
    status.matches("\"completed\"").count() + status.matches("\"Completed\"").count()
}

#[actix_rt::test]
async fn requests_and_jobs_succeed_after_a_control_replica_and_an_entry_are_killed() {
    let mut site = Site::new(3, 2).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let _backend = backend.with_announcements(site.backends_address(1), "render");
    let control = site.workers_addresses();
    actix_rt::spawn(async move { worker::run("w1", &control).await });

    for entry in 0..2 {
        let url = format!(
            "http://{}/call/render/preview?sheet=1",
            site.callers_address(entry)
        );
        wait_for("the request is answered", || async {
            get(&url)
                .await
                .is_some_and(|text| text.contains("/preview?sheet=1"))
        })
        .await;
    }
    assert!(submit_job(&site, 0, "first").await);
    wait_for("the first job completes", || async {
        completed_jobs(&site).await == 1
    })
    .await;

    site.kill_control(0);
    site.kill_entry(0);
    let url = format!(
        "http://{}/call/render/preview?sheet=2",
        site.callers_address(1)
    );
    wait_for("the other entry answers", || async {
        get(&url).await.is_some()
    })
    .await;
    wait_for("a job is accepted", || async {
        submit_job(&site, 1, "second").await
    })
    .await;
    wait_for("the second job completes", || async {
        completed_jobs(&site).await == 2
    })
    .await;
}
