//! What went wrong, with exit code and remedy.

use std::fmt;
use std::process::ExitCode;

/// Says why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line or a file is at fault.
    Usage(String),
    /// The desired state has faults.
    Faulty(String),
    /// Somebody else published first.
    Conflict(String),
    /// No control instance could carry out the call.
    Unreachable(String),
    /// The change is durable but not yet in force everywhere.
    NotInForce(String),
}

impl Failure {
    /// Prints the failure and returns its exit code.
    pub(crate) fn report(&self) -> ExitCode {
        eprintln!("{self}");
        ExitCode::from(match self {
            Self::Usage(_) => 2,
            Self::Faulty(_) => 3,
            Self::Conflict(_) => 4,
            Self::Unreachable(_) => 5,
            Self::NotInForce(_) => 6,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message)
            | Self::Faulty(message)
            | Self::Conflict(message)
            | Self::Unreachable(message)
            | Self::NotInForce(message) => formatter.write_str(message),
        }
    }
}
