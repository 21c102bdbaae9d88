//! What each command does.

mod apply;
mod check;
mod fleet;
mod status;

use crate::arguments::{Arguments, usage};
use crate::failure::Failure;

/// Carries out the command of the command line.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let words: Vec<&str> = arguments.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["check", file] => check::run(file),
        ["apply", file] => apply::run(arguments, file).await,
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

fn read_file(file: &str) -> Result<String, Failure> {
    let failure = |error| Failure::Usage(format!("{file}: {error}; give a readable file"));
    std::fs::read_to_string(file).map_err(failure)
}
