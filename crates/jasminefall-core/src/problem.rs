//! Problems of a text, each with its location and remedy.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Identifies the location of a line, section or key in a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Place {
    /// The name of the file or document.
    pub file: SmolStr,
    /// The line number, starting at one; zero refers to the whole text.
    pub line: u32,
    /// The full section name; empty outside of sections.
    pub section: SmolStr,
    /// The key; empty refers to the whole section.
    pub key: SmolStr,
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: [{}]", self.file, self.line, self.section)?;
        if !self.key.is_empty() {
            write!(formatter, " {}", self.key)?;
        }
        Ok(())
    }
}

/// Describes one problem of a text and its remedy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// The location of the problem.
    pub place: Place,
    /// The description of the problem, without location and remedy.
    pub message: SmolStr,
    /// The instruction that resolves the problem.
    pub remedy: SmolStr,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {}; {}",
            self.place, self.message, self.remedy
        )
    }
}

/// Collects every problem of a text.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Problems {
    /// The problems in order of detection until [`Problems::sort`] is called.
    pub list: Vec<Problem>,
}

impl Problems {
    /// Creates an empty collection.
    #[must_use]
    pub const fn new() -> Self {
        Self { list: Vec::new() }
    }

    /// Appends a problem.
    pub fn add(&mut self, place: Place, message: impl Into<SmolStr>, remedy: impl Into<SmolStr>) {
        self.list.push(Problem {
            place,
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    /// Sorts the problems by location and removes duplicates.
    pub fn sort(&mut self) {
        self.list.sort();
        self.list.dedup();
    }

    /// Returns `value` if the collection is empty, otherwise the problems.
    ///
    /// # Errors
    ///
    /// Returns the collection itself if it contains a problem.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.list.iter().enumerate() {
            if position > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
