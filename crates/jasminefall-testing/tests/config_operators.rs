//! Real processes: conflicting, retried and unauthorized requests of operators.

use std::time::Duration;

use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use serde_json::{Value, json};

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

fn desired(site: &Site, team: &str) -> String {
    format!(
        "[fleet]\nname = test\n[team.{team}]\n{}",
        site.entry_sections()
    )
}

/// Writes a file into the site's folder and returns its path.
fn write_file(site: &Site, name: &str, text: &str) -> String {
    let path = site.folder().join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn status(site: &Site) -> Value {
    let (_, printed) = site.ctl(&["status", "--json"]);
    serde_json::from_str(&printed).unwrap_or_default()
}

/// Waits for a leader and returns its position.
async fn find_leader(site: &Site) -> usize {
    wait_for("a leader is elected", || async {
        status(site)["fresh"] == true
    })
    .await;
    let number = status(site)["replica"]["replica"].as_u64().unwrap();
    usize::try_from(number - 1).unwrap()
}

/// Returns the versions with their change ids, latest first.
fn history(site: &Site) -> Vec<(u64, String)> {
    let (_, printed) = site.ctl(&["history", "--json"]);
    let rows: Value = serde_json::from_str(&printed).unwrap_or_default();
    let rows = rows.as_array().cloned().unwrap_or_default();
    let row = |row: &Value| Some((row["version"].as_u64()?, row["change"].as_str()?.to_owned()));
    rows.iter().filter_map(row).collect()
}

#[actix_rt::test]
async fn conflicting_apply_reports_the_other_operator_and_the_difference() {
    let site = Site::new(1, 1).started();
    site.apply(0, &desired(&site, "guild"));
    site.apply(1, &desired(&site, "schools"));
    let conflicting = write_file(&site, "late.ini", &desired(&site, "translators"));
    let (success, printed) = site.ctl(&["apply", &conflicting, "--base", "1"]);
    assert!(!success, "{printed}");
    for expected in [
        "version 2 was published by tests",
        "- [team.guild]",
        "+ [team.schools]",
    ] {
        assert!(
            printed.contains(expected),
            "`{expected}` is missing: {printed}"
        );
    }
    let (success, printed) = site.ctl(&["rollback", "1", "--base", "2"]);
    assert!(success, "{printed}");
    let (_, exported) = site.ctl(&["export"]);
    assert_eq!(exported, desired(&site, "guild"));
    let (_, difference) = site.ctl(&["diff", "1", "3"]);
    assert_eq!(difference, "no object differs\n");
    let (success, printed) = site.ctl(&["rollback", "9", "--base", "3"]);
    assert!(
        !success && printed.contains("version 9 is not kept"),
        "{printed}"
    );
}

#[actix_rt::test]
async fn retried_apply_returns_the_first_response_after_leader_change_and_restart() {
    let mut site = Site::new(3, 1).started();
    let first = find_leader(&site).await;
    let proxy = Proxy::start(site.ephemeral_address(), site.operators_address(first))
        .await
        .unwrap();
    proxy
        .faults
        .drop_responses
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let body = json!({ "change": "c1", "base": 0, "text": desired(&site, "guild") });
    let unanswered = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let unanswered = unanswered.post(format!("http://{}/v1/apply", proxy.address));
    let unanswered = unanswered
        .bearer_auth(site.operate_token())
        .send_json(&body)
        .await;
    assert!(unanswered.is_err(), "the response was not dropped");
    wait_for("the change is accepted", || async {
        history(&site).len() == 1
    })
    .await;

    site.kill_control(first);
    site.apply(1, &desired(&site, "schools"));
    let resent = write_file(&site, "resent.ini", &desired(&site, "guild"));
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
async fn status_lists_a_replica_that_is_down_as_missing() {
    let mut site = Site::new(3, 1).started();
    let down = (find_leader(&site).await + 1) % 3;
    site.kill_control(down);
    let (success, printed) = site.ctl(&["status"]);
    assert!(success, "{printed}");
    let missing = format!("{:<22} did not answer", site.operators_address(down));
    assert!(printed.contains(&missing), "{printed}");
    assert!(printed.contains("leads"), "{printed}");
}

#[actix_rt::test]
async fn operator_requests_require_a_token_of_the_right_role() {
    let site = Site::new(1, 1).started();
    find_leader(&site).await;
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
    // Log lines are written with a delay; wait for all refusals, so that the complete log is
    // checked.
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
        assert!(
            !log.contains(secret),
            "the log contains the secret `{secret}`"
        );
    }
}

/// Declares instances large enough for the job; without them the job is rejected, because it could
/// never run.
const INSTANCES: &str = "\n[budget.of-worker]\n[pool.of-worker]\nbudget = of-worker\n\
    [instance.w1]\npool = of-worker\ndata_centre = dc1\nrack = r1\n\
    [instance.w2]\npool = of-worker\ndata_centre = dc1\nrack = r2\n";

#[actix_rt::test]
async fn apply_that_removes_a_team_with_jobs_is_rejected() {
    let site = Site::new(1, 1).started();
    let with_instances = |team: &str| desired(&site, team) + INSTANCES;
    site.apply(0, &with_instances("guild"));
    let body = json!({
        "key": "k", "team": "guild", "cpu_mcores": 1000, "memory_bytes": 1024, "command": "wait 1",
    });
    let url = format!("http://{}/v1/jobs", site.callers_address(0));
    wait_for("the job is accepted", || async {
        let sent = awc::Client::default().post(&url).send_json(&body).await;
        sent.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    let without = write_file(&site, "without.ini", &with_instances("schools"));
    let (success, printed) = site.ctl(&["apply", &without, "--base", "1"]);
    assert!(!success, "{printed}");
    assert!(
        printed.contains("[team.guild]: the team is removed while 1 of its jobs"),
        "{printed}"
    );
}
