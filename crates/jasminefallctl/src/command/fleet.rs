//! Commands for jobs, pools, instances and waves.

use std::time::Duration;

use awc::http::StatusCode;
use serde_json::{Value, json};

use crate::arguments::{Arguments, usage_error};
use crate::client::ControlClient;
use crate::failure::Failure;

const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a command on the fleet; `command` starts with its name.
pub(crate) async fn run(arguments: &Arguments, command: &[&str]) -> Result<(), Failure> {
    match command {
        ["jobs"] => show(arguments, "/v1/jobs").await,
        ["jobs", "cancel", ids @ ..] => cancel(arguments, ids).await,
        ["pools"] => show(arguments, "/v1/pools").await,
        ["instances"] => show(arguments, "/v1/instances").await,
        ["waves"] => show(arguments, "/v1/waves").await,
        ["waves", "watch", wave] => watch(arguments, wave).await,
        [
            "waves",
            action @ ("start" | "pause" | "resume" | "abort"),
            wave,
        ] => {
            let body = json!({"action": action});
            post_action(arguments, &format!("/v1/waves/{wave}"), &body).await
        }
        ["drain", instance] => {
            let body = json!({"action": "drain"});
            post_action(arguments, &format!("/v1/instances/{instance}"), &body).await
        }
        ["return", instance] => {
            let body = json!({"action": "return"});
            post_action(arguments, &format!("/v1/instances/{instance}"), &body).await
        }
        ["move", instance, pool] => {
            let body = json!({"action": "move", "to": pool});
            post_action(arguments, &format!("/v1/instances/{instance}"), &body).await
        }
        ["explain", kind @ ("job" | "instance" | "wave"), name] => {
            explain(arguments, kind, name).await
        }
        _ => Err(usage_error(&format!(
            "`{}` is not a command",
            command.join(" ")
        ))),
    }
}

async fn show(arguments: &Arguments, path: &str) -> Result<(), Failure> {
    let client = ControlClient::new(arguments)?;
    let body = client.get(path).await?.body;
    if arguments.json {
        println!("{body:#}");
        return Ok(());
    }
    for row in body.as_array().into_iter().flatten() {
        println!("{}", format_row(row));
    }
    Ok(())
}

/// Returns the fields of an object except `members` as key=value pairs.
fn format_row(row: &Value) -> String {
    let pairs = row.as_object().into_iter().flatten();
    let pairs = pairs.filter(|(key, _)| key.as_str() != "members");
    let pairs = pairs.map(|(key, value)| match value.as_str() {
        Some(text) => format!("{key}={text}"),
        None => format!("{key}={value}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}

async fn post_action(arguments: &Arguments, path: &str, body: &Value) -> Result<(), Failure> {
    let client = ControlClient::new(arguments)?;
    let response = client.post(path, body).await?;
    if response.status == StatusCode::OK {
        println!("done");
        return Ok(());
    }
    let error = response.body["error"].as_str().unwrap_or("no answer");
    Err(Failure::Conflict(error.to_owned()))
}

async fn cancel(arguments: &Arguments, ids: &[&str]) -> Result<(), Failure> {
    let ids: Result<Vec<u64>, _> = ids.iter().map(|id| id.parse()).collect();
    let ids = ids.map_err(|_| usage_error("a job ID must be a number"))?;
    post_action(arguments, "/v1/jobs/cancel", &json!(ids)).await
}

async fn explain(arguments: &Arguments, kind: &str, name: &str) -> Result<(), Failure> {
    let client = ControlClient::new(arguments)?;
    let body = client
        .get(&format!("/v1/explain/{kind}/{name}"))
        .await?
        .body;
    for explanation in body.as_array().into_iter().flatten() {
        println!("{}", explanation.as_str().unwrap_or_default());
    }
    Ok(())
}

async fn watch(arguments: &Arguments, wave: &str) -> Result<(), Failure> {
    let client = ControlClient::new(arguments)?;
    let mut last_printed = String::new();
    loop {
        let body = client.get("/v1/waves").await?.body;
        let waves = body.as_array().into_iter().flatten();
        let found = waves.into_iter().find(|row| row["name"] == wave);
        let found =
            found.ok_or_else(|| usage_error(&format!("the wave `{wave}` was not started")))?;
        let current = format_row(found);
        if current != last_printed {
            println!("{current}");
            last_printed = current;
        }
        if matches!(found["state"].as_str(), Some("completed" | "aborted")) {
            return Ok(());
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}
