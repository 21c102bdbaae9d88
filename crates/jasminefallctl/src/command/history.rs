//! Lists the published versions.

use serde::Deserialize;

use super::print_json;
use crate::arguments::Arguments;
use crate::client::ControlCalls;
use crate::failure::Failure;

#[derive(Deserialize)]
struct Row {
    version: u64,
    operator: String,
    at_ms: u64,
    change: String,
    text_bytes: usize,
}

/// Lists the versions that are kept, latest first.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let answer = calls.get("/v1/history").await?;
    if arguments.json {
        print_json(&answer.body);
        return Ok(());
    }
    println!(
        "{:>7}  {:<16}  {:>13}  {:>8}  CHANGE",
        "VERSION", "OPERATOR", "AT_MS", "BYTES"
    );
    for row in answer.read::<Vec<Row>>()? {
        println!(
            "{:>7}  {:<16}  {:>13}  {:>8}  {}",
            row.version, row.operator, row.at_ms, row.text_bytes, row.change
        );
    }
    Ok(())
}
