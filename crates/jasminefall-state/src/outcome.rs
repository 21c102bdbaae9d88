//! The results of commands.

use std::fmt;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claims::ClaimResponse;

/// Describes the result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied and returns no value.
    Done,
    /// A desired state was published as this version.
    Published(Version),
    /// The responses to the claim requests, in their order.
    Claimed(Vec<ClaimResponse>),
    /// A job was accepted.
    Accepted(JobId),
    /// The command was refused; nothing changed.
    Refused(Refusal),
}

/// Gives the reason why a command was refused; its text names the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The desired state is invalid.
    Faulty(Problems),
    /// Another version was published after the base of the change.
    Conflict {
        /// The latest published version.
        current: Version,
        /// The operator who published it.
        operator: SmolStr,
        /// The time of its publication, in milliseconds since 1970.
        at_ms: u64,
    },
    /// The job can never run, because its team is not declared, no instance is large enough or the
    /// quota of its team is too small; the text gives the reason.
    Impossible(SmolStr),
    /// The identifier of the change was already used for another text or base.
    ChangeReused,
    /// The bound on the idempotency keys of jobs is reached.
    TooManyJobs {
        /// The time until the next key expires, in milliseconds.
        wait_ms: u64,
    },
    /// A constraint forbids the step for now; the text names it and the remedy.
    Held(SmolStr),
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Faulty(problems) => write!(formatter, "{problems}"),
            Self::Conflict {
                current,
                operator,
                at_ms,
            } => write!(
                formatter,
                "version {current} was published by {operator} at {at_ms} ms since 1970; \
                 read it, merge your change and apply against {current}"
            ),
            Self::Impossible(reason) => write!(formatter, "the job can never run: {reason}"),
            Self::ChangeReused => formatter.write_str(
                "the identifier of the change was used for another text or base; \
                 choose a new identifier",
            ),
            Self::TooManyJobs { wait_ms } => {
                write!(
                    formatter,
                    "the limit of stored job keys is reached; submit again in {wait_ms} ms"
                )
            }
            Self::Held(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for Refusal {}
