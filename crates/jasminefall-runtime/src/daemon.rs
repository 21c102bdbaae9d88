//! Entry point of the daemons: command line, settings, logging and exit code.

use std::process::ExitCode;

use jasminefall_core::prelude::*;

use crate::command_line::{self, Arguments, ExtraOption, Invocation};
use crate::logging;

const USAGE_EXIT_CODE: u8 = 2;

/// Describes a daemon whose settings are of type `S`.
pub struct Daemon<S> {
    /// The program name in messages and log lines.
    pub program: &'static str,
    /// The first sentence of the help text.
    pub purpose: &'static str,
    /// The option of this program in addition to the common options.
    pub extra_option: Option<ExtraOption>,
    /// Loads and validates the settings.
    pub load: fn(&Arguments) -> Result<S, Problems>,
    /// Returns the name of this process in log lines.
    pub name: fn(&S) -> String,
}

impl<S> Daemon<S> {
    /// Performs the requested action; `serve` runs until a stop is requested.
    ///
    /// Exits with 2 if the command line or the settings are invalid, and with 1 if `serve` fails.
    pub fn run(&self, serve: impl AsyncFnOnce(S) -> anyhow::Result<()>) -> ExitCode {
        let arguments = std::env::args().skip(1);
        match command_line::parse(self.program, self.purpose, self.extra_option, arguments) {
            Ok(Invocation::Print(text)) => print!("{text}"),
            Ok(Invocation::Check(arguments)) => match (self.load)(&arguments) {
                Ok(_) => println!("{}: the settings are valid", arguments.settings.display()),
                Err(problems) => return exit_with_usage_error(&problems.to_string()),
            },
            Ok(Invocation::Run(arguments)) => match (self.load)(&arguments) {
                Ok(settings) => return self.start(settings, serve),
                Err(problems) => return exit_with_usage_error(&problems.to_string()),
            },
            Err(message) => return exit_with_usage_error(&message),
        }
        ExitCode::SUCCESS
    }

    fn start(&self, settings: S, serve: impl AsyncFnOnce(S) -> anyhow::Result<()>) -> ExitCode {
        logging::start(self.program, &(self.name)(&settings));
        let result = actix::System::new().block_on(serve(settings));
        if let Err(error) = &result {
            log::error!("event=stopped cause=\"{error:#}\"");
        }
        log::logger().flush();
        if result.is_ok() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

fn exit_with_usage_error(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(USAGE_EXIT_CODE)
}
