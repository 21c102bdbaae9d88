//! Request counts in the metrics of an entry and, after kills of the entry and the control replica,
//! in the report.

use std::process::Command;

use jasminefall_testing::backend::FakeBackend;
use jasminefall_testing::site::{Site, wait_for};

const DESIRED: &str = "[fleet]\nname = demo\n[team.guild]\n[service.render]\n";
const REQUESTS: usize = 5;

async fn get(url: String) -> Option<String> {
    let request = awc::Client::default()
        .get(url)
        .insert_header(("Jasminefall-Team", "guild"));
    let mut response = request.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    String::from_utf8(response.body().await.ok()?.to_vec()).ok()
}

fn report(site: &Site) -> String {
    let output = Command::new(Site::program("jasminefall-report"))
        .args(["--control", &site.operators_address(0).to_string()])
        .arg("--token-file")
        .arg(site.folder().join("read-token"))
        .output()
        .expect("jasminefall-report can be started; run `cargo build --workspace --bins` first");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[actix_rt::test]
async fn request_counts_are_in_the_metrics_and_persist_in_the_report_after_kills() {
    let mut site = Site::new(1, 1).started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let backend = FakeBackend::start(site.ephemeral_address()).unwrap();
    let _backend = backend.with_announcements(site.backends_address(0), "render");
    for _ in 0..REQUESTS {
        wait_for("a request is answered", || async {
            get(format!(
                "http://{}/call/render/preview",
                site.callers_address(0)
            ))
            .await
            .is_some()
        })
        .await;
    }
    let page = get(format!("http://{}/metrics", site.metrics_address(0)))
        .await
        .expect("the entry serves its metrics");
    let expected = "jasminefall_entry_requests_total{service=\"render\",outcome=\"answered\"} 5";
    assert!(page.contains(expected), "{page}");

    let has_row = |text: &str| {
        text.lines().any(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            words.starts_with(&["render", "guild"]) && words.get(3) == Some(&"5")
        })
    };
    wait_for("the report contains the requests", || async {
        has_row(&report(&site))
    })
    .await;
    site.kill_entry(0);
    site.kill_control(0);
    site.start_control(0);
    wait_for(
        "the report contains the requests after the restart",
        || async { has_row(&report(&site)) },
    )
    .await;
}
