//! Members of the control group: listing and removal.

use awc::http::StatusCode;
use serde_json::Value;

use crate::arguments::{Arguments, usage_error};
use crate::client::ControlClient;
use crate::failure::Failure;

/// Lists the members as reported by the leader, and the replicas that request to join.
pub(crate) async fn show(arguments: &Arguments) -> Result<(), Failure> {
    let body = ControlClient::new(arguments)?
        .get("/v1/members")
        .await?
        .body;
    if arguments.json {
        println!("{body:#}");
        return Ok(());
    }
    println!("leader {}", body["leader"]);
    for member in list(&body["members"]) {
        let kind = if member["voter"] == true {
            "voter"
        } else {
            "learner"
        };
        println!(
            "{kind:7} {} data_centre={} silent_ms={} lag_entries={} files_lost={}",
            member["replica"],
            member["data_centre"],
            member["silent_ms"],
            member["lag_entries"],
            member["files_lost"]
        );
    }
    for replica in list(&body["asking"]) {
        println!("asking  {replica}");
    }
    Ok(())
}

/// Starts the removal of a replica from the group.
pub(crate) async fn remove(arguments: &Arguments, replica: &str) -> Result<(), Failure> {
    let replica: u64 = replica
        .parse()
        .map_err(|_| usage_error("the replica must be a number"))?;
    let path = format!("/v1/members/{replica}/remove");
    let response = ControlClient::new(arguments)?.post(&path, &()).await?;
    if response.status == StatusCode::ACCEPTED {
        println!(
            "the removal of replica {replica} has started; `members` shows when it is complete"
        );
        return Ok(());
    }
    let cause = response.body["error"].as_str().unwrap_or("refused");
    Err(Failure::Conflict(cause.to_owned()))
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}
