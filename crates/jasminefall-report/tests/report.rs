//! Rendering of complete and incomplete data as text and as an HTML page.

use jasminefall_core::prelude::DurationMs;
use jasminefall_report::fetch::{FetchFailure, Fetched};
use jasminefall_report::records::{Records, RequestCounts, SeriesPoint, Window};
use jasminefall_report::{page, text};

const MINUTE_MS: u64 = 60_000;

fn request_counts(
    service: &str,
    team: &str,
    answered: u64,
    refused: u64,
    failed: u64,
) -> RequestCounts {
    RequestCounts {
        service: service.into(),
        team: team.into(),
        answered,
        refused,
        failed,
        unknown: 0,
    }
}

fn window(minutes: u64, covered_minutes: [u64; 2], counts: Vec<RequestCounts>) -> Window {
    let entries = ["e1".into(), "e2".into()];
    let covered = covered_minutes.map(|minutes| DurationMs::new(minutes * MINUTE_MS));
    Window {
        window_ms: minutes * MINUTE_MS,
        covered_ms: entries.into_iter().zip(covered).collect(),
        counts,
    }
}

fn fetched(fresh: bool, covered_minutes: [u64; 2], failures: Vec<FetchFailure>) -> Fetched {
    let counts = vec![
        request_counts("render", "guild", 900, 100, 0),
        request_counts("validate", "", 100_000, 0, 10),
    ];
    let records = Records {
        fresh,
        now_ms: 600 * MINUTE_MS,
        published_at_ms: 0,
        entries: vec!["e1".into(), "e2".into()],
        objectives_ppm: [("render".into(), 999_000), ("validate".into(), 999_000)].into(),
        windows: vec![
            window(5, covered_minutes, counts.clone()),
            window(60, [60, 60], counts.clone()),
            window(360, [360, 360], counts.clone()),
        ],
        series: vec![SeriesPoint {
            start_ms: 0,
            row: counts[0].clone(),
        }],
        ..Records::default()
    };
    Fetched {
        records: Some(records),
        failures,
    }
}

#[test]
fn complete_data_is_reported_without_warnings() {
    insta::assert_snapshot!(text::render(&fetched(true, [5, 5], Vec::new())));
}

#[test]
fn missing_instances_and_entries_are_listed() {
    let failure = FetchFailure {
        address: "127.0.0.1:7202".into(),
        cause: "connection refused".into(),
    };
    insta::assert_snapshot!(text::render(&fetched(false, [5, 2], vec![failure])));
}

#[test]
fn no_figures_are_reported_if_no_instance_answers() {
    let failure = FetchFailure {
        address: "127.0.0.1:7201".into(),
        cause: "connection refused".into(),
    };
    insta::assert_snapshot!(text::render(&Fetched {
        records: None,
        failures: vec![failure]
    }));
}

#[test]
fn page_is_self_contained_and_lists_missing_data() {
    let page = page::render(&fetched(true, [5, 2], Vec::new()));
    assert!(page.contains("<svg"), "the plot is embedded in the page");
    assert!(
        page.contains("Incomplete: entry e2 covers 40% of the last 5m"),
        "{page}"
    );
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "the page refers to other files"
    );
}
