//! How urgent a piece of work is.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Says how urgent a piece of work is; the most urgent comes first in order.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Starts within the site's urgent bound while its team is within quota.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait, keeping a floor of service.
    Background,
}

impl Urgency {
    /// Every urgency, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];

    /// Returns the word that stands for the urgency in texts.
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

/// Says that a text is no urgency, and which words are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUrgencyError(String);

impl fmt::Display for ParseUrgencyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "`{}` is no urgency; write urgent, normal or background",
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
