//! Terms, indexes and identifiers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Declares a newtype around `u64` with `Display` and `FromStr`.
macro_rules! numeric_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the predecessor, or zero for zero.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
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

numeric_newtype! {
    /// Identifies a replica within its group.
    ReplicaId
}
numeric_newtype! {
    /// Numbers the terms of the group; each term has at most one leader.
    Term
}
numeric_newtype! {
    /// Distinguishes a replica from the same replica after the loss of its files.
    ///
    /// A replica that starts with an empty data folder gets a larger incarnation than before.
    Incarnation
}
numeric_newtype! {
    /// Numbers the log entries, starting at 1; 0 is the position before the first entry.
    LogIndex
}
