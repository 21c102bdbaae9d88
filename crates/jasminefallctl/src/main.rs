//! Operators' command line of jasminefall.
//!
//! # Module map
//!
//! - [`arguments`]: the command line
//! - [`client`]: calls to the control instances
//! - [`command`]: what each command does
//! - [`failure`]: what went wrong, with exit code and remedy

mod arguments;
mod client;
mod command;
mod failure;

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
