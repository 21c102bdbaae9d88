//! Command line client of jasminefall for operators.
//!
//! # Module map
//!
//! - [`arguments`]: parsing of the command line
//! - [`client`]: HTTP client of the control instances
//! - [`command`]: implementations of the commands
//! - [`failure`]: failures of commands and their exit codes
//! - [`tls`]: TLS configuration of the client

mod arguments;
mod client;
mod command;
mod failure;
mod tls;

use std::process::ExitCode;

use crate::arguments::Arguments;

fn main() -> ExitCode {
    let arguments = match Arguments::parse(std::env::args().skip(1)) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(failure) => return failure.report(false),
    };
    match actix_rt::System::new().block_on(command::run(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(arguments.json),
    }
}
