//! Rendering of the report as text for a terminal.

use std::fmt::Write;

use jasminefall_core::prelude::*;

use crate::burn::{BudgetBurn, CoverageGap, budget_burns, coverage_gaps};
use crate::fetch::Fetched;
use crate::records::Records;

/// Returns the report as text.
#[must_use]
pub fn render(fetched: &Fetched) -> String {
    let mut text = String::from("SERVICE-LEVEL BURN\n");
    let Some(records) = &fetched.records else {
        write_missing_data(&mut text, fetched);
        text.push_str("no control instance answered: there is nothing to report on\n");
        return text;
    };
    write_header(&mut text, fetched, records);
    write_table(&mut text, records);
    text
}

/// Returns a line for each failed instance and each gap in the data; empty if the data is complete.
#[must_use]
pub fn missing_data(fetched: &Fetched) -> Vec<String> {
    let mut lines: Vec<String> = fetched
        .failures
        .iter()
        .map(|failure| {
            format!(
                "control instance {} gave no data: {}",
                failure.address, failure.cause
            )
        })
        .collect();
    if let Some(records) = &fetched.records {
        if !records.fresh {
            lines.push("no leader answered: the latest counts may be missing".to_owned());
        }
        lines.extend(coverage_gaps(records).iter().map(gap_line));
    }
    lines
}

/// Returns a burn rate as a table cell, with `-` for a window without requests.
#[must_use]
pub fn format_rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}

/// Returns the name of a team as a table cell, with `(none)` for requests without a declared team.
#[must_use]
pub fn team_label(team: &TeamId) -> &str {
    if team.as_str().is_empty() {
        "(none)"
    } else {
        team.as_str()
    }
}

fn gap_line(gap: &CoverageGap) -> String {
    let window = DurationMs::new(gap.window_ms);
    let percent = gap.covered_share * 100.0;
    format!(
        "entry {} covers {percent:.0}% of the last {window}",
        gap.entry
    )
}

fn write_missing_data(text: &mut String, fetched: &Fetched) {
    for line in missing_data(fetched) {
        let _ = writeln!(text, "INCOMPLETE: {line}");
    }
}

fn write_header(text: &mut String, fetched: &Fetched, records: &Records) {
    let _ = writeln!(
        text,
        "version {} at {} ms since 1970",
        records.version, records.now_ms
    );
    write_missing_data(text, fetched);
}

fn write_table(text: &mut String, records: &Records) {
    let windows = records
        .windows
        .iter()
        .map(|window| DurationMs::new(window.window_ms).to_string());
    let windows: Vec<String> = windows.map(|window| format!("{window:>8}")).collect();
    let _ = writeln!(
        text,
        "{:<16} {:<16} {:>10} {:>8} {:>8} {} risk",
        "service",
        "team",
        "objective",
        "total",
        "left",
        windows.join(" ")
    );
    for burn in budget_burns(records) {
        write_row(text, &burn);
    }
}

fn write_row(text: &mut String, burn: &BudgetBurn) {
    let rates: Vec<String> = burn
        .rates
        .iter()
        .map(|rate| format!("{:>8}", format_rate(*rate)))
        .collect();
    let risk = burn
        .risk
        .map_or_else(|| "-".to_owned(), |risk| risk.to_string());
    let _ = writeln!(
        text,
        "{:<16} {:<16} {:>9.3}% {:>8} {:>7.1}% {} {risk}",
        burn.service.as_str(),
        team_label(&burn.team),
        burn.objective_ppm as f64 / 10_000.0,
        burn.counts.total(),
        burn.budget_left * 100.0,
        rates.join(" "),
    );
}
