//! What each command does.

mod apply;
mod check;
mod diff;
mod export;
mod fleet;
mod history;
mod status;

use serde::{Deserialize, Serialize};

use crate::arguments::{Arguments, usage};
use crate::failure::Failure;

/// Carries out the command of the command line.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let words: Vec<&str> = arguments.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["check", file] => check::run(arguments, file),
        ["diff", file] => diff::run_file(arguments, file).await,
        ["diff", before, after] => diff::run_versions(arguments, before, after).await,
        ["apply", file] => apply::run(arguments, file).await,
        ["rollback", version] => apply::run_rollback(arguments, version).await,
        ["export"] => export::run(arguments, "latest").await,
        ["export", version] => export::run(arguments, version).await,
        ["history"] => history::run(arguments).await,
        ["status"] => status::run(arguments).await,
        [
            "jobs" | "pools" | "instances" | "waves" | "drain" | "return" | "move" | "explain",
            ..,
        ] => fleet::run(arguments, &words).await,
        [] => Err(usage("no command is given")),
        [unknown, ..] => Err(usage(&format!(
            "`{unknown}` with these words is no command"
        ))),
    }
}

/// Holds a published version as control describes it.
#[derive(Debug, Serialize, Deserialize)]
struct PublishedText {
    version: u64,
    text: String,
}

fn read_file(file: &str) -> Result<String, Failure> {
    let failure = |error| Failure::Usage(format!("{file}: {error}; give a readable file"));
    std::fs::read_to_string(file).map_err(failure)
}

fn read_version(word: &str) -> Result<u64, Failure> {
    let failure = |_| {
        usage(&format!(
            "`{word}` is no version; give a number from `history`"
        ))
    };
    word.parse().map_err(failure)
}

fn print_json(body: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(body).unwrap_or_default());
}
