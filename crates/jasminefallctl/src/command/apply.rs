//! Publishes a desired state and waits until it is in force.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use awc::http::StatusCode;
use jasminefall_core::prelude::*;
use serde::Serialize;

use super::read_file;
use crate::arguments::Arguments;
use crate::client::ControlCalls;
use crate::failure::Failure;

const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);
const POLL_PAUSE: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct ApplyBody<'arguments> {
    change: &'arguments str,
    operator: &'arguments str,
    base: u64,
    text: &'arguments str,
}

/// Publishes the desired state in a file.
pub(crate) async fn run(arguments: &Arguments, file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    let calls = ControlCalls::new(arguments)?;
    let change = arguments
        .change
        .clone()
        .unwrap_or_else(|| fresh_change(arguments));
    let body = ApplyBody {
        change: &change,
        operator: &arguments.operator,
        base: arguments.base,
        text: &text,
    };
    let answer = calls.post("/v1/apply", &body).await?;
    match answer.status {
        StatusCode::OK => {}
        StatusCode::UNPROCESSABLE_ENTITY => {
            let problems = serde_json::from_value::<Problems>(answer.body).unwrap_or_default();
            return Err(Failure::Faulty(problems.to_string()));
        }
        StatusCode::CONFLICT => return Err(Failure::Conflict(answer.body["error"].to_string())),
        _ => {
            let remedy = format!("send it again with `--change {change}`");
            return Err(Failure::Unreachable(format!(
                "{}; {remedy}",
                answer.body["error"]
            )));
        }
    }
    let version = answer.body["version"].as_u64().unwrap_or_default();
    println!("version {version} accepted (change {change})");
    wait_in_force(&calls, version).await
}

async fn wait_in_force(calls: &ControlCalls, version: u64) -> Result<(), Failure> {
    let deadline = Instant::now() + IN_FORCE_WITHIN;
    loop {
        let answer = calls.get(&format!("/v1/in-force/{version}")).await?;
        if answer.body["in_force"].as_bool() == Some(true) {
            println!("version {version} in force");
            return Ok(());
        }
        if Instant::now() >= deadline {
            let lagging = &answer.body["lagging"];
            let message = format!("version {version} is durable; these entries lag: {lagging}");
            return Err(Failure::NotInForce(message));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// Returns a name for a change that nobody has used.
fn fresh_change(arguments: &Arguments) -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!(
        "{}-{}-{}",
        arguments.operator,
        since.as_nanos(),
        std::process::id()
    )
}
