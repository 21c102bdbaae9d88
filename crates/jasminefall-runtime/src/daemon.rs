//! From the command line of a daemon to its exit code.

use std::process::ExitCode;

use jasminefall_core::prelude::*;

use crate::command_line::{self, Arguments, ExtraOption, Invocation};
use crate::logging;

const USAGE_EXIT: u8 = 2;

/// Describes a daemon whose settings are of type `S`.
pub struct Daemon<S> {
    /// The name of the program.
    pub program: &'static str,
    /// What the program is for, as its help says.
    pub purpose: &'static str,
    /// The option that this program takes beside the common ones.
    pub extra_option: Option<ExtraOption>,
    /// Loads and checks the settings.
    pub load: fn(&Arguments) -> Result<S, Problems>,
    /// Names this process in log lines.
    pub name: fn(&S) -> String,
}

impl<S> Daemon<S> {
    /// Does what the command line asks; `serve` runs until a stop is asked for.
    pub fn run(&self, serve: impl AsyncFnOnce(S) -> anyhow::Result<()>) -> ExitCode {
        let words = std::env::args().skip(1);
        match command_line::parse(self.program, self.purpose, self.extra_option, words) {
            Ok(Invocation::Print(text)) => print!("{text}"),
            Ok(Invocation::Check(arguments)) => match (self.load)(&arguments) {
                Ok(_) => println!("{}: the settings hold", arguments.settings.display()),
                Err(problems) => return refuse(&problems.to_string()),
            },
            Ok(Invocation::Run(arguments)) => match (self.load)(&arguments) {
                Ok(settings) => return self.start(settings, serve),
                Err(problems) => return refuse(&problems.to_string()),
            },
            Err(message) => return refuse(&message),
        }
        ExitCode::SUCCESS
    }

    fn start(&self, settings: S, serve: impl AsyncFnOnce(S) -> anyhow::Result<()>) -> ExitCode {
        logging::start(self.program, &(self.name)(&settings));
        let ended = actix::System::new().block_on(serve(settings));
        if let Err(error) = &ended {
            log::error!("event=stopped cause=\"{error:#}\"");
        }
        log::logger().flush();
        if ended.is_ok() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

fn refuse(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(USAGE_EXIT)
}
