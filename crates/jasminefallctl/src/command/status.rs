//! Shows the site.

use serde_json::Value;

use crate::arguments::Arguments;
use crate::client::ControlCalls;
use crate::failure::Failure;

/// Shows the site as the first replica that answers knows it.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let status = calls.get("/v1/status").await?.body;
    if arguments.json {
        println!("{status:#}");
        return Ok(());
    }
    let replica = &status["replica"];
    let (leader, fresh) = (&replica["leader"], &status["fresh"]);
    println!(
        "replica {} (leader {leader}, term {}, fresh {fresh})",
        replica["replica"], replica["term"]
    );
    println!("version {}", status["version"]);
    println!("claims  {}", status["claims"]);
    for worker in status["workers"].as_array().into_iter().flatten() {
        println!(
            "worker  {} live={}",
            word(&worker["worker"]),
            worker["live"]
        );
    }
    for job in status["jobs"].as_array().into_iter().flatten() {
        println!(
            "job     {} team={} state={}",
            job["job"],
            word(&job["team"]),
            word(&job["state"])
        );
    }
    Ok(())
}

fn word(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
