//! Operators that race, resend and are refused, on real processes.

use std::time::Duration;

use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use serde_json::{Value, json};

const SHORT: Duration = Duration::from_millis(500);

fn text(site: &Site, team: &str) -> String {
    format!(
        "[fleet]\nname = test\n[team.{team}]\n{}",
        site.entry_sections()
    )
}

/// Writes a text to a file and returns its path.
fn file(site: &Site, name: &str, text: &str) -> String {
    let path = site.folder().join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn status(site: &Site) -> Value {
    let (_, printed) = site.ctl(&["status", "--json"]);
    serde_json::from_str(&printed).unwrap_or_default()
}

/// Returns the position of the replica that leads.
async fn leader(site: &Site) -> usize {
    wait_for("a replica leads", || async {
        status(site)["fresh"] == true
    })
    .await;
    let number = status(site)["replica"]["replica"].as_u64().unwrap();
    usize::try_from(number - 1).unwrap()
}

/// Returns the versions with their operators and changes, latest first.
fn history(site: &Site) -> Vec<(u64, String)> {
    let (_, printed) = site.ctl(&["history", "--json"]);
    let rows: Value = serde_json::from_str(&printed).unwrap_or_default();
    let rows = rows.as_array().cloned().unwrap_or_default();
    let row = |row: &Value| Some((row["version"].as_u64()?, row["change"].as_str()?.to_owned()));
    rows.iter().filter_map(row).collect()
}

#[actix_rt::test]
async fn the_second_of_two_operators_is_told_who_when_and_what() {
    let site = Site::new(1, 1).started();
    site.apply(0, &text(&site, "guild"));
    site.apply(1, &text(&site, "schools"));
    let late = file(&site, "late.ini", &text(&site, "translators"));
    let (success, printed) = site.ctl(&["apply", &late, "--base", "1"]);
    assert!(!success, "{printed}");
    for told in [
        "version 2 was published by tests",
        "- [team.guild]",
        "+ [team.schools]",
    ] {
        assert!(printed.contains(told), "{told}: {printed}");
    }
    let (success, printed) = site.ctl(&["rollback", "1", "--base", "2"]);
    assert!(success, "{printed}");
    let (_, exported) = site.ctl(&["export"]);
    assert_eq!(exported, text(&site, "guild"));
    let (_, difference) = site.ctl(&["diff", "1", "3"]);
    assert_eq!(difference, "no object differs\n");
    let (success, printed) = site.ctl(&["rollback", "9", "--base", "3"]);
    assert!(
        !success && printed.contains("version 9 is not kept"),
        "{printed}"
    );
}

#[actix_rt::test]
async fn a_resend_after_a_lost_answer_gets_the_first_one_through_leader_change_and_restart() {
    let mut site = Site::new(3, 1).started();
    let first = leader(&site).await;
    let proxy = Proxy::start(site.ephemeral_address(), site.operators_address(first))
        .await
        .unwrap();
    proxy
        .faults
        .drop_responses
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let body = json!({ "change": "c1", "base": 0, "text": text(&site, "guild") });
    let lost = awc::Client::builder().timeout(SHORT).finish();
    let lost = lost.post(format!("http://{}/v1/apply", proxy.address));
    let lost = lost
        .bearer_auth(site.operate_token())
        .send_json(&body)
        .await;
    assert!(lost.is_err(), "the answer is lost");
    wait_for("the change is accepted", || async {
        history(&site).len() == 1
    })
    .await;

    site.kill_control(first);
    site.apply(1, &text(&site, "schools"));
    let resent = file(&site, "resent.ini", &text(&site, "guild"));
    let resend = ["apply", &resent, "--base", "0", "--change", "c1", "--json"];
    let expect_first_answer = |(success, printed): (bool, String)| {
        assert!(success, "{printed}");
        let answer: Value = serde_json::from_str(&printed).unwrap();
        assert_eq!(answer["version"], 1, "{printed}");
    };
    expect_first_answer(site.ctl(&resend));

    (0..3).for_each(|position| site.kill_control(position));
    (0..3).for_each(|position| site.start_control(position));
    expect_first_answer(site.ctl(&resend));
    let changes: Vec<u64> = history(&site)
        .into_iter()
        .map(|(version, _)| version)
        .collect();
    assert_eq!(changes, [2, 1]);
}

#[actix_rt::test]
async fn a_status_with_a_replica_down_is_partial_and_says_so() {
    let mut site = Site::new(3, 1).started();
    let down = (leader(&site).await + 1) % 3;
    site.kill_control(down);
    let (success, printed) = site.ctl(&["status"]);
    assert!(success, "{printed}");
    let missing = format!("{:<22} did not answer", site.operators_address(down));
    assert!(printed.contains(&missing), "{printed}");
    assert!(printed.contains("leads"), "{printed}");
}

#[actix_rt::test]
async fn calls_need_a_token_of_the_right_role() {
    let site = Site::new(1, 1).started();
    leader(&site).await;
    let (read, operate) = (Some(site.read_token()), Some(site.operate_token()));
    let cases = [
        ("GET", "/v1/status", None, 401),
        ("GET", "/v1/status", Some("wrong"), 401),
        ("GET", "/v1/status", Some(""), 401),
        ("GET", "/v1/unknown", None, 401),
        ("POST", "/v1/apply", None, 401),
        ("POST", "/v1/apply", read, 403),
        ("POST", "/v1/rollback", read, 403),
        ("POST", "/v1/unknown", read, 403),
        ("GET", "/v1/history", read, 200),
        ("POST", "/v1/check", read, 422),
        ("POST", "/v1/apply", operate, 400),
    ];
    for (method, path, token, expected) in cases {
        let client = awc::Client::default();
        let url = format!("http://{}{path}", site.operators_address(0));
        let mut request = client.request(method.parse().unwrap(), url);
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        let answer = request.send_body("").await.unwrap();
        assert_eq!(answer.status(), expected, "{method} {path} with {token:?}");
    }
    // Lines are written with a delay: all refusals are waited for, so that the whole log is read.
    let refusals = cases.iter().filter(|case| matches!(case.3, 401 | 403));
    let refusals = refusals.count();
    wait_for("every refusal is logged", || async {
        let log = site.control_log(0);
        log.matches("event=operator_refused").count() >= refusals
    })
    .await;
    let log = site.control_log(0);
    assert!(log.contains("event=operator_refused"));
    for secret in [
        site.read_token(),
        site.operate_token(),
        "wrong",
        "a secret for tests",
    ] {
        assert!(!log.contains(secret), "the log holds `{secret}`");
    }
}

/// Declares a worker that is large enough for the job; without one the job could never run.
const WORKER: &str = "\n[budget.of-worker]\n[pool.of-worker]\nbudget = of-worker\n\
    [instance.w1]\npool = of-worker\ndata_centre = dc1\nrack = r1\n\
    [instance.w2]\npool = of-worker\ndata_centre = dc1\nrack = r2\n";

#[actix_rt::test]
async fn what_is_in_use_is_neither_removed_nor_found_sound() {
    let site = Site::new(1, 1).started();
    let with_worker = |team: &str| text(&site, team) + WORKER;
    site.apply(0, &with_worker("guild"));
    let body = json!({
        "key": "k", "team": "guild", "cpu_mcores": 1000, "memory_bytes": 1024, "command": "wait 1",
    });
    let url = format!("http://{}/v1/jobs", site.callers_address(0));
    wait_for("the job is accepted", || async {
        let sent = awc::Client::default().post(&url).send_json(&body).await;
        sent.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    let without = file(&site, "without.ini", &with_worker("schools"));
    let (success, printed) = site.ctl(&["apply", &without, "--base", "1"]);
    assert!(!success, "{printed}");
    assert!(
        printed.contains("[team.guild]: the team is removed while 1 of its jobs"),
        "{printed}"
    );
}
