//! List of the published versions.

use serde::Deserialize;

use super::print_json;
use crate::arguments::Arguments;
use crate::client::ControlClient;
use crate::failure::Failure;

#[derive(Deserialize)]
struct VersionRow {
    version: u64,
    operator: String,
    at_ms: u64,
    change: String,
    text_bytes: usize,
}

/// Lists the kept versions, latest first.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let client = ControlClient::new(arguments)?;
    let response = client.get("/v1/history").await?;
    if arguments.json {
        print_json(&response.body);
        return Ok(());
    }
    println!(
        "{:>7}  {:<16}  {:>13}  {:>8}  CHANGE",
        "VERSION", "OPERATOR", "AT_MS", "BYTES"
    );
    for row in response.parse_body::<Vec<VersionRow>>()? {
        println!(
            "{:>7}  {:<16}  {:>13}  {:>8}  {}",
            row.version, row.operator, row.at_ms, row.text_bytes, row.change
        );
    }
    Ok(())
}
