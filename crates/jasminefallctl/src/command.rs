//! What each command does.

mod apply;
mod check;
mod members;
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
        ["members"] => members::show(arguments).await,
        ["members", "remove", replica] => members::remove(arguments, replica).await,
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
