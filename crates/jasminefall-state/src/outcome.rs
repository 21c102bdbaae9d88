//! What comes of a command.

use std::fmt;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claims::ClaimAnswer;

/// Says what came of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was carried out and has nothing to say.
    Done,
    /// A desired state was published as this version.
    Published(Version),
    /// The claims were judged, in the order asked.
    Claimed(Vec<ClaimAnswer>),
    /// A job was accepted.
    Accepted(JobId),
    /// The command was refused; nothing changed.
    Refused(Refusal),
}

/// Says why a command was refused, and the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The desired state has faults.
    Faulty(Problems),
    /// Somebody else published first.
    Conflict {
        /// The version that is published now.
        current: Version,
        /// Who published it.
        operator: SmolStr,
        /// When, in milliseconds since 1970.
        at_ms: u64,
    },
    /// The job can never run.
    Impossible(SmolStr),
    /// The name of the change was used for another text or base.
    ChangeReused,
    /// Too many jobs are remembered.
    TooManyJobs {
        /// How long until room is made, in milliseconds.
        wait_ms: u64,
    },
    /// A constraint holds the step; the text names it and what would free it.
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
                "the name of the change was used for another text or base; give this one a new name",
            ),
            Self::TooManyJobs { wait_ms } => {
                write!(
                    formatter,
                    "too many jobs are remembered; submit again in {wait_ms} ms"
                )
            }
            Self::Held(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for Refusal {}
