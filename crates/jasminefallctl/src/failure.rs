//! Failures of commands and their exit codes.

use std::fmt;
use std::process::ExitCode;

use jasminefall_core::prelude::*;

/// Represents the failure of a command; the text includes a remedy where there is one.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line or a file is invalid.
    Usage(String),
    /// The desired state is invalid.
    InvalidState(Problems),
    /// Another version was published first, or the control instances refused the action.
    Conflict(String),
    /// No control instance handled the request.
    Unreachable(String),
    /// The change is durable but not yet in force everywhere.
    NotInForce(String),
    /// The token is missing, unknown or of a role that is too low.
    NotAllowed(String),
    /// The version or other resource does not exist or is no longer kept.
    NotFound(String),
}

impl Failure {
    /// Prints the failure, as JSON on standard output or as text on standard error, and returns its
    /// exit code.
    pub(crate) fn report(&self, json: bool) -> ExitCode {
        let exit_code = self.exit_code();
        if json {
            let mut body = serde_json::json!({ "error": self.to_string(), "exit_code": exit_code });
            if let Self::InvalidState(problems) = self {
                body["problems"] = serde_json::json!(problems.list);
            }
            println!("{body:#}");
        } else {
            eprintln!("{self}");
        }
        ExitCode::from(exit_code)
    }

    const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::InvalidState(_) => 3,
            Self::Conflict(_) => 4,
            Self::Unreachable(_) => 5,
            Self::NotInForce(_) => 6,
            Self::NotAllowed(_) => 7,
            Self::NotFound(_) => 8,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidState(problems) => write!(formatter, "{problems}"),
            Self::Usage(message)
            | Self::Conflict(message)
            | Self::Unreachable(message)
            | Self::NotInForce(message)
            | Self::NotAllowed(message)
            | Self::NotFound(message) => formatter.write_str(message),
        }
    }
}
