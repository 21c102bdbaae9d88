//! Quantities with units: durations, sizes, processor amounts and rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reports a text that is not a valid quantity, with the expected format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseQuantityError {
    text: String,
    expected: &'static str,
}

impl fmt::Display for ParseQuantityError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "`{}` is not {}", self.text, self.expected)
    }
}

impl std::error::Error for ParseQuantityError {}

/// Declares a quantity that is stored as an integer count of its smallest unit.
macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $expected:literal, [$(($suffix:literal, $factor:expr)),+ $(,)?]) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The quantity zero.
            pub const ZERO: Self = Self(0);

            /// Creates the quantity from a count of its smallest unit.
            #[must_use]
            pub const fn new(count: u64) -> Self {
                Self(count)
            }

            /// Returns the count of the smallest unit.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the sum, or the maximum on overflow.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Returns the difference, or zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                let units: &[(&str, u64)] = &[$(($suffix, $factor)),+];
                let fitting = units.iter().rev().find(|(_, factor)| {
                    self.0 >= *factor && self.0.is_multiple_of(*factor)
                });
                let (suffix, factor) = fitting.unwrap_or(&units[0]);
                write!(formatter, "{}{suffix}", self.0 / factor)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let units: &[(&str, u64)] = &[$(($suffix, $factor)),+];
                parse_quantity(text, units)
                    .map(Self)
                    .ok_or_else(|| ParseQuantityError { text: text.to_owned(), expected: $expected })
            }
        }
    };
}

quantity! {
    /// Holds a duration in milliseconds, written like `250ms`, `4s`, `10m`, `2h` or `21d`.
    DurationMs, "a time with its unit, such as 250ms, 4s, 10m, 2h or 21d",
    [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)]
}
quantity! {
    /// Holds a size in bytes, written like `512B`, `64KiB`, `32MiB` or `2GiB`.
    Bytes, "a size with its unit, such as 512B, 64KiB, 32MiB or 2GiB",
    [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)]
}
quantity! {
    /// Holds a processor amount in thousandths of a core, written like `1500mcores` or `16cores`.
    MilliCores, "a processor amount with its unit, such as 1500mcores or 16cores",
    [("mcores", 1), ("cores", 1_000)]
}
quantity! {
    /// Holds a rate in events per second, written like `120/s`.
    RatePerSecond, "a rate with its unit, such as 120/s",
    [("/s", 1)]
}

impl DurationMs {
    /// Converts to the duration type of the standard library.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Parses digits followed by one of `units`; returns `None` on a syntax error or overflow.
fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|character: char| !character.is_ascii_digit())?;
    let (digits, suffix) = text.split_at(split);
    let (_, factor) = units.iter().find(|(unit, _)| *unit == suffix.trim())?;
    digits.parse::<u64>().ok()?.checked_mul(*factor)
}
