//! Shows and changes jobs, pools, instances and waves.

use std::time::Duration;

use awc::http::StatusCode;
use serde_json::{Value, json};

use crate::arguments::{Arguments, usage};
use crate::client::ControlCalls;
use crate::failure::Failure;

const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Carries out a command on the fleet; `words` begins with its name.
pub(crate) async fn run(arguments: &Arguments, words: &[&str]) -> Result<(), Failure> {
    match words {
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
            act(arguments, &format!("/v1/waves/{wave}"), &body).await
        }
        ["drain", instance] => {
            let body = json!({"action": "drain"});
            act(arguments, &format!("/v1/instances/{instance}"), &body).await
        }
        ["return", instance] => {
            let body = json!({"action": "return"});
            act(arguments, &format!("/v1/instances/{instance}"), &body).await
        }
        ["move", instance, pool] => {
            let body = json!({"action": "move", "to": pool});
            act(arguments, &format!("/v1/instances/{instance}"), &body).await
        }
        ["explain", kind @ ("job" | "instance" | "wave"), name] => {
            explain(arguments, kind, name).await
        }
        _ => Err(usage(&format!("`{}` is no command", words.join(" ")))),
    }
}

async fn show(arguments: &Arguments, path: &str) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let body = calls.get(path).await?.body;
    if arguments.json {
        println!("{body:#}");
        return Ok(());
    }
    for row in body.as_array().into_iter().flatten() {
        println!("{}", line(row));
    }
    Ok(())
}

/// Returns the members of an object as key=value pairs.
fn line(row: &Value) -> String {
    let pairs = row.as_object().into_iter().flatten();
    let pairs = pairs.filter(|(key, _)| key.as_str() != "members");
    let words = pairs.map(|(key, value)| match value.as_str() {
        Some(text) => format!("{key}={text}"),
        None => format!("{key}={value}"),
    });
    words.collect::<Vec<_>>().join(" ")
}

async fn act(arguments: &Arguments, path: &str, body: &Value) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let answer = calls.post(path, body).await?;
    if answer.status == StatusCode::OK {
        println!("done");
        return Ok(());
    }
    let error = answer.body["error"].as_str().unwrap_or("no answer");
    Err(Failure::Conflict(error.to_owned()))
}

async fn cancel(arguments: &Arguments, ids: &[&str]) -> Result<(), Failure> {
    let ids: Result<Vec<u64>, _> = ids.iter().map(|id| id.parse()).collect();
    let ids = ids.map_err(|_| usage("a job is named by its number"))?;
    act(arguments, "/v1/jobs/cancel", &json!(ids)).await
}

async fn explain(arguments: &Arguments, kind: &str, name: &str) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let body = calls.get(&format!("/v1/explain/{kind}/{name}")).await?.body;
    for text in body.as_array().into_iter().flatten() {
        println!("{}", text.as_str().unwrap_or_default());
    }
    Ok(())
}

async fn watch(arguments: &Arguments, wave: &str) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let mut latest = String::new();
    loop {
        let body = calls.get("/v1/waves").await?.body;
        let waves = body.as_array().into_iter().flatten();
        let found = waves.into_iter().find(|one| one["name"] == wave);
        let found = found.ok_or_else(|| usage(&format!("the wave `{wave}` was not started")))?;
        let now = line(found);
        if now != latest {
            println!("{now}");
            latest = now;
        }
        if matches!(found["state"].as_str(), Some("completed" | "aborted")) {
            return Ok(());
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}
