//! Rendering of the report as a self-contained HTML page with plots.

use std::collections::BTreeMap;
use std::fmt::Write;

use plotters::prelude::*;

use crate::burn::budget_burns;
use crate::fetch::Fetched;
use crate::records::Records;
use crate::text::{format_rate, missing_data, team_label};

const PLOT_SIZE_PX: (u32, u32) = (900, 260);
const MS_PER_MINUTE: f64 = 60_000.0;

/// Returns the report as an HTML page without references to other files.
#[must_use]
pub fn render(fetched: &Fetched) -> String {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font:15px sans-serif;margin:2em}table{border-collapse:collapse}\
         td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}\
         td:first-child,td:nth-child(2){text-align:left}.incomplete{color:#a00}</style>\
         <h1>Service-level burn</h1>",
    );
    for line in missing_data(fetched) {
        let _ = write!(
            page,
            "<p class=\"incomplete\">Incomplete: {}</p>",
            escape_html(&line)
        );
    }
    if let Some(records) = &fetched.records {
        write_table(&mut page, records);
        for (service, samples) in samples_by_service(records) {
            let _ = write!(
                page,
                "<h2>{}</h2>{}",
                escape_html(&service),
                render_plot(&samples)
            );
        }
    }
    page.push_str("</html>\n");
    page
}

fn write_table(page: &mut String, records: &Records) {
    page.push_str("<table><tr><th>service</th><th>team</th><th>objective</th><th>total</th><th>budget left</th>");
    for window in &records.windows {
        let window = jasminefall_core::prelude::DurationMs::new(window.window_ms);
        let _ = write!(page, "<th>burn {window}</th>");
    }
    page.push_str("<th>promise at risk</th></tr>");
    for burn in budget_burns(records) {
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{:.3}%</td><td>{}</td><td>{:.1}%</td>",
            escape_html(burn.service.as_str()),
            escape_html(team_label(&burn.team)),
            burn.objective_ppm as f64 / 10_000.0,
            burn.counts.total(),
            burn.budget_left * 100.0
        );
        for rate in &burn.rates {
            let _ = write!(page, "<td>{}</td>", format_rate(*rate));
        }
        let risk = burn
            .risk
            .map_or_else(|| "-".to_owned(), |risk| risk.to_string());
        let _ = write!(page, "<td>{}</td></tr>", escape_html(&risk));
    }
    page.push_str("</table>");
}

/// Holds the request counts of a service in a time span.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    total: u64,
    bad: u64,
}

/// Returns the samples of each service by the start of their time span in milliseconds since 1970.
fn samples_by_service(records: &Records) -> BTreeMap<String, BTreeMap<u64, Sample>> {
    let mut samples_by_service: BTreeMap<String, BTreeMap<u64, Sample>> = BTreeMap::new();
    for point in &records.series {
        let samples = samples_by_service
            .entry(point.row.service.to_string())
            .or_default();
        let sample = samples.entry(point.start_ms).or_default();
        sample.total += point.row.total();
        sample.bad += point.row.bad();
    }
    samples_by_service
}

fn render_plot(samples: &BTreeMap<u64, Sample>) -> String {
    let mut svg = String::new();
    match draw_plot(&mut svg, samples) {
        Ok(()) => svg,
        Err(error) => format!(
            "<p class=\"incomplete\">The plot failed: {}</p>",
            escape_html(&error.to_string())
        ),
    }
}

fn draw_plot(
    svg: &mut String,
    samples: &BTreeMap<u64, Sample>,
) -> Result<(), Box<dyn std::error::Error>> {
    let last_ms = samples
        .last_key_value()
        .map_or(0, |(start_ms, _)| *start_ms);
    let first_ms = samples
        .first_key_value()
        .map_or(0, |(start_ms, _)| *start_ms);
    let minutes = |start_ms: u64| (start_ms as f64 - last_ms as f64) / MS_PER_MINUTE;
    let max_total = samples
        .values()
        .map(|sample| sample.total)
        .max()
        .unwrap_or(0) as f64;
    let root = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(minutes(first_ms) - 1.0..1.0, 0.0..max_total.max(1.0) * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("minutes")
        .y_desc("requests")
        .draw()?;
    let totals = samples
        .iter()
        .map(|(start_ms, sample)| (minutes(*start_ms), sample.total as f64));
    chart.draw_series(LineSeries::new(totals, &BLUE))?;
    let bad = samples
        .iter()
        .map(|(start_ms, sample)| (minutes(*start_ms), sample.bad as f64));
    chart.draw_series(AreaSeries::new(bad, 0.0, RED.mix(0.4)))?;
    root.present()?;
    Ok(())
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
