//! Names and numbers that identify things.
//!
//! Every identifier is a newtype, so that a pool cannot be passed where an instance is meant.

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

            /// Returns the identifier that follows this one.
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
    /// Names an instance that runs backend servers or tasks.
    InstanceId
}
text_id! {
    /// Names a worker, an instance that runs tasks.
    WorkerId
}
text_id! {
    /// Names a pool of instances.
    PoolId
}
text_id! {
    /// Names a service that callers address.
    ServiceId
}
text_id! {
    /// Names a team that quotas apply to.
    TeamId
}
text_id! {
    /// Names a data centre.
    DataCentreId
}
text_id! {
    /// Names a rack, the smallest failure domain.
    RackId
}
text_id! {
    /// Names a maintenance wave.
    WaveId
}
text_id! {
    /// Names an entry instance.
    EntryId
}
text_id! {
    /// Names one change of the desired state, so that a resend is recognised.
    ChangeId
}
text_id! {
    /// Names one request of a caller, so that a resend is recognised.
    IdempotencyKey
}
number_id! {
    /// Identifies a job in order of submission.
    JobId
}
number_id! {
    /// Numbers the published versions of the desired state.
    Version
}
number_id! {
    /// Numbers the starts of one process at one address; a later start has a larger number.
    Incarnation
}
number_id! {
    /// Fences the successive holders of something that one holder has at a time.
    Epoch
}
