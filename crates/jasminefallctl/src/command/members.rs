//! Shows and changes the members of the control group.

use awc::http::StatusCode;
use serde_json::Value;

use crate::arguments::{Arguments, usage};
use crate::client::ControlCalls;
use crate::failure::Failure;

/// Shows the members as their leader knows them.
pub(crate) async fn show(arguments: &Arguments) -> Result<(), Failure> {
    let body = ControlCalls::new(arguments)?.get("/v1/members").await?.body;
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

/// Takes a replica out.
pub(crate) async fn remove(arguments: &Arguments, replica: &str) -> Result<(), Failure> {
    let replica: u64 = replica
        .parse()
        .map_err(|_| usage("the replica is no number"))?;
    let path = format!("/v1/members/{replica}/remove");
    let answer = ControlCalls::new(arguments)?.post(&path, &()).await?;
    if answer.status == StatusCode::ACCEPTED {
        println!("the removal of replica {replica} has begun; `members` shows when it is done");
        return Ok(());
    }
    let cause = answer.body["error"].as_str().unwrap_or("refused");
    Err(Failure::Conflict(cause.to_owned()))
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}
