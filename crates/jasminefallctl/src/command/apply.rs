//! Publishes a desired state and waits until it is in force.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use awc::http::StatusCode;
use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{print_json, read_file, read_version};
use crate::arguments::Arguments;
use crate::client::{Answer, ControlCalls};
use crate::failure::Failure;

const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);
const POLL_PAUSE: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct ApplyBody<'text> {
    change: &'text str,
    base: u64,
    text: &'text str,
}

#[derive(Serialize)]
struct RollbackBody<'text> {
    change: &'text str,
    base: u64,
    to: u64,
}

#[derive(Deserialize)]
struct Applied {
    version: u64,
}

/// Publishes the desired state in a file.
pub(crate) async fn run(arguments: &Arguments, file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    let change = change(arguments);
    let body = ApplyBody {
        change: &change,
        base: arguments.base()?,
        text: &text,
    };
    publish(arguments, "/v1/apply", &change, &body).await
}

/// Publishes an older version again as a new one.
pub(crate) async fn run_rollback(arguments: &Arguments, version: &str) -> Result<(), Failure> {
    let change = change(arguments);
    let body = RollbackBody {
        change: &change,
        base: arguments.base()?,
        to: read_version(version)?,
    };
    publish(arguments, "/v1/rollback", &change, &body).await
}

async fn publish(
    arguments: &Arguments,
    path: &str,
    change: &str,
    body: &impl Serialize,
) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let resend = |failure| match failure {
        Failure::Unreachable(message) => Failure::Unreachable(format!(
            "{message}; it may have been published: send it again with `--change {change}`"
        )),
        other => other,
    };
    let answer = calls.post(path, body).await.map_err(resend)?;
    let version = accepted(answer)?;
    if !arguments.json {
        println!("version {version} accepted (change {change})");
    }
    wait_in_force(&calls, version).await?;
    if arguments.json {
        print_json(&json!({ "version": version, "change": change, "in_force": true }));
    } else {
        println!("version {version} in force");
    }
    Ok(())
}

/// Returns the version that was accepted.
fn accepted(answer: Answer) -> Result<u64, Failure> {
    match answer.status {
        StatusCode::OK => Ok(answer.read::<Applied>()?.version),
        StatusCode::UNPROCESSABLE_ENTITY => Err(Failure::Faulty(answer.read::<Problems>()?)),
        StatusCode::CONFLICT => Err(Failure::Conflict(describe_conflict(&answer))),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
            Err(Failure::Usage(answer.error()))
        }
        _ => Err(Failure::Unreachable(answer.error())),
    }
}

fn describe_conflict(answer: &Answer) -> String {
    let changed = answer.body["changed"].clone();
    let changes: Vec<ObjectChange> = serde_json::from_value(changed).unwrap_or_default();
    let mut text = answer.error();
    if !changes.is_empty() {
        text.push_str("\nwhat it changed since your base:");
    }
    for change in &changes {
        text.push_str(&format!("\n{change}"));
    }
    text
}

async fn wait_in_force(calls: &ControlCalls, version: u64) -> Result<(), Failure> {
    let deadline = Instant::now() + IN_FORCE_WITHIN;
    loop {
        let answer = calls.get(&format!("/v1/in-force/{version}")).await?;
        if answer.body["in_force"].as_bool() == Some(true) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let lagging = &answer.body["lagging"];
            let message = format!(
                "version {version} is durable; these entries lag: {lagging}; \
                 see `jasminefallctl status`"
            );
            return Err(Failure::NotInForce(message));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// Returns the name of the change, a fresh one unless the command line gives one.
fn change(arguments: &Arguments) -> String {
    let fresh = || {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        format!("{}-{}", since.as_nanos(), std::process::id())
    };
    arguments.change.clone().unwrap_or_else(fresh)
}
