//! Implementations of the commands.

mod apply;
mod check;
mod diff;
mod export;
mod fleet;
mod history;
mod members;
mod status;

use serde::{Deserialize, Serialize};

use crate::arguments::{Arguments, usage_error};
use crate::failure::Failure;

/// Runs the command given on the command line.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let command: Vec<&str> = arguments.command.iter().map(String::as_str).collect();
    match command.as_slice() {
        ["check", file] => check::run(arguments, file),
        ["diff", file] => diff::run_file(arguments, file).await,
        ["diff", before, after] => diff::run_versions(arguments, before, after).await,
        ["apply", file] => apply::run(arguments, file).await,
        ["rollback", version] => apply::run_rollback(arguments, version).await,
        ["export"] => export::run(arguments, "latest").await,
        ["export", version] => export::run(arguments, version).await,
        ["history"] => history::run(arguments).await,
        ["status"] => status::run(arguments).await,
        ["members"] => members::show(arguments).await,
        ["members", "remove", replica] => members::remove(arguments, replica).await,
        [
            "jobs" | "pools" | "instances" | "waves" | "drain" | "return" | "move" | "explain",
            ..,
        ] => fleet::run(arguments, &command).await,
        [] => Err(usage_error("no command is given")),
        [unknown, ..] => Err(usage_error(&format!(
            "`{unknown}` with these arguments is not a command"
        ))),
    }
}

/// Holds a published version as returned by the control instances.
#[derive(Debug, Serialize, Deserialize)]
struct PublishedText {
    version: u64,
    text: String,
}

fn read_file(file: &str) -> Result<String, Failure> {
    let failure = |error| Failure::Usage(format!("{file}: {error}; give a readable file"));
    std::fs::read_to_string(file).map_err(failure)
}

fn parse_version(argument: &str) -> Result<u64, Failure> {
    let failure = |_| {
        usage_error(&format!(
            "`{argument}` is not a version; give a number from `history`"
        ))
    };
    argument.parse().map_err(failure)
}

fn print_json(body: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(body).unwrap_or_default());
}
