//! Textual and numeric identifiers.
//!
//! Every identifier is a newtype, so that a pool cannot be passed where an instance is expected.

use std::convert::Infallible;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Declares a textual identifier.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Creates the identifier from its text.
            pub fn new(text: impl Into<SmolStr>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the identifier.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self::new(text))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

/// Declares a numeric identifier.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates the identifier from its number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number of the identifier.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the identifier with the next larger number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

text_id! {
    /// Identifies an instance, which runs backend servers or tasks.
    InstanceId
}
text_id! {
    /// Identifies a worker, an instance that runs tasks.
    WorkerId
}
text_id! {
    /// Identifies a pool of instances.
    PoolId
}
text_id! {
    /// Identifies a service that callers address.
    ServiceId
}
text_id! {
    /// Identifies a team, to which quotas apply.
    TeamId
}
text_id! {
    /// Identifies a data centre.
    DataCentreId
}
text_id! {
    /// Identifies a rack, the smallest failure domain of several instances.
    RackId
}
text_id! {
    /// Identifies a maintenance wave.
    WaveId
}
text_id! {
    /// Identifies an entry instance.
    EntryId
}
text_id! {
    /// Identifies one change of the desired state, so that a retry is recognised.
    ChangeId
}
text_id! {
    /// Identifies one request of a caller, so that a retry is recognised.
    IdempotencyKey
}
number_id! {
    /// Identifies a job; numbers increase in order of submission.
    JobId
}
number_id! {
    /// Identifies a published version of the desired state; numbers increase.
    Version
}
number_id! {
    /// Identifies one start of a process at an address; a later start has a larger number.
    Incarnation
}
number_id! {
    /// Identifies one of the successive holders of an exclusive grant, such as the placement of a
    /// job, so that earlier holders can be fenced off.
    Epoch
}
