//! One line of key=value pairs an event.

use std::io::Write;

use env_logger::{Builder, Env};

use crate::clock::wall_ms;

const LEVEL_VARIABLE: &str = "JASMINEFALL_LOG";

/// Starts logging to standard error; the environment variable `JASMINEFALL_LOG` sets the level.
pub fn start(program: &'static str, name: &str) {
    let name = name.to_owned();
    let env = Env::new().filter_or(LEVEL_VARIABLE, "info");
    let format = move |output: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(
            output,
            "time_ms={} level={level} program={program} name={name} {}",
            wall_ms(),
            record.args()
        )
    };
    // A second start in one process, as in tests, keeps the first logger.
    let _ = Builder::from_env(env).format(format).try_init();
}
