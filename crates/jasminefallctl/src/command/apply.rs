//! Publishing of a desired state, with a wait until it is in force.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use awc::http::StatusCode;
use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{parse_version, print_json, read_file};
use crate::arguments::Arguments;
use crate::client::{ControlClient, Response};
use crate::failure::Failure;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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
struct AppliedBody {
    version: u64,
}

/// Publishes the desired state in a file.
pub(crate) async fn run(arguments: &Arguments, file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    let change = change_name(arguments);
    let body = ApplyBody {
        change: &change,
        base: arguments.base()?,
        text: &text,
    };
    publish(arguments, "/v1/apply", &change, &body).await
}

/// Publishes an older version again as a new one.
pub(crate) async fn run_rollback(arguments: &Arguments, version: &str) -> Result<(), Failure> {
    let change = change_name(arguments);
    let body = RollbackBody {
        change: &change,
        base: arguments.base()?,
        to: parse_version(version)?,
    };
    publish(arguments, "/v1/rollback", &change, &body).await
}

async fn publish(
    arguments: &Arguments,
    path: &str,
    change: &str,
    body: &impl Serialize,
) -> Result<(), Failure> {
    let client = ControlClient::new(arguments)?;
    let add_resend_hint = |failure| match failure {
        Failure::Unreachable(message) => Failure::Unreachable(format!(
            "{message}; the change may have been published: resend it with `--change {change}`"
        )),
        other => other,
    };
    let response = client.post(path, body).await.map_err(add_resend_hint)?;
    let version = accepted_version(response)?;
    if !arguments.json {
        println!("version {version} accepted (change {change})");
    }
    wait_until_in_force(&client, version).await?;
    if arguments.json {
        print_json(&json!({ "version": version, "change": change, "in_force": true }));
    } else {
        println!("version {version} in force");
    }
    Ok(())
}

/// Returns the accepted version, or the failure that the response represents.
fn accepted_version(response: Response) -> Result<u64, Failure> {
    match response.status {
        StatusCode::OK => Ok(response.parse_body::<AppliedBody>()?.version),
        StatusCode::UNPROCESSABLE_ENTITY => {
            Err(Failure::InvalidState(response.parse_body::<Problems>()?))
        }
        StatusCode::CONFLICT => Err(Failure::Conflict(describe_conflict(&response))),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
            Err(Failure::Usage(response.error()))
        }
        _ => Err(Failure::Unreachable(response.error())),
    }
}

fn describe_conflict(response: &Response) -> String {
    let changed = response.body["changed"].clone();
    let changes: Vec<ObjectChange> = serde_json::from_value(changed).unwrap_or_default();
    let mut text = response.error();
    if !changes.is_empty() {
        text.push_str("\nchanges since your base:");
    }
    for change in &changes {
        text.push_str(&format!("\n{change}"));
    }
    text
}

async fn wait_until_in_force(client: &ControlClient, version: u64) -> Result<(), Failure> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let response = client.get(&format!("/v1/in-force/{version}")).await?;
        if response.body["in_force"].as_bool() == Some(true) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let lagging = &response.body["lagging"];
            let message = format!(
                "version {version} is durable; these entries lag: {lagging}; \
                 see `jasminefallctl status`"
            );
            return Err(Failure::NotInForce(message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the name of the change from the command line, or else a new unique one.
fn change_name(arguments: &Arguments) -> String {
    let unique_name = || {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        format!("{}-{}", since.as_nanos(), std::process::id())
    };
    arguments.change.clone().unwrap_or_else(unique_name)
}
