//! The urgency classes of requests and jobs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Classifies work by urgency; the most urgent class is ordered first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Work that starts within a bounded time while its team is within quota.
    Urgent,
    /// Work without special urgency, the default.
    #[default]
    Normal,
    /// Work that yields to the other classes but keeps a minimum share.
    Background,
}

impl Urgency {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];

    /// Returns the name used in requests, settings and output.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Background => "background",
        }
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Reports a text that is not the name of an urgency class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUrgencyError(String);

impl fmt::Display for ParseUrgencyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "`{}` is not an urgency; write urgent, normal or background",
            self.0
        )
    }
}

impl std::error::Error for ParseUrgencyError {}

impl FromStr for Urgency {
    type Err = ParseUrgencyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|urgency| urgency.as_str() == text)
            .ok_or_else(|| ParseUrgencyError(text.to_owned()))
    }
}
