//! What went wrong, with exit code and remedy.

use std::fmt;
use std::process::ExitCode;

use jasminefall_core::prelude::*;

/// Says why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line or a file is at fault.
    Usage(String),
    /// The desired state has faults.
    Faulty(Problems),
    /// Somebody else published first.
    Conflict(String),
    /// No control instance could carry out the call.
    Unreachable(String),
    /// The change is durable but not yet in force everywhere.
    NotInForce(String),
    /// The token is missing, unknown or of a role that is too low.
    NotAllowed(String),
    /// The version is not kept.
    NotKept(String),
}

impl Failure {
    /// Prints the failure and returns its exit code.
    pub(crate) fn report(&self, json: bool) -> ExitCode {
        let code = self.code();
        if json {
            let mut body = serde_json::json!({ "error": self.to_string(), "exit_code": code });
            if let Self::Faulty(problems) = self {
                body["problems"] = serde_json::json!(problems.list);
            }
            println!("{body:#}");
        } else {
            eprintln!("{self}");
        }
        ExitCode::from(code)
    }

    const fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Faulty(_) => 3,
            Self::Conflict(_) => 4,
            Self::Unreachable(_) => 5,
            Self::NotInForce(_) => 6,
            Self::NotAllowed(_) => 7,
            Self::NotKept(_) => 8,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Faulty(problems) => write!(formatter, "{problems}"),
            Self::Usage(message)
            | Self::Conflict(message)
            | Self::Unreachable(message)
            | Self::NotInForce(message)
            | Self::NotAllowed(message)
            | Self::NotKept(message) => formatter.write_str(message),
        }
    }
}
