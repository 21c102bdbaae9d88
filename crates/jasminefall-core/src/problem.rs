//! What is wrong with a text, where, and the remedy.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Points at a key of a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Place {
    /// The name of the file or document.
    pub file: SmolStr,
    /// The line, counted from one; zero where the whole text is meant.
    pub line: u32,
    /// The section, empty outside of sections.
    pub section: SmolStr,
    /// The key, empty where the whole section is meant.
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

/// Describes one fault of a text together with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Where the fault is.
    pub place: Place,
    /// What is wrong.
    pub message: SmolStr,
    /// What to do about it.
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

/// Collects every fault of a text; an error when it holds any.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Problems {
    /// The faults in the order in which they were found.
    pub list: Vec<Problem>,
}

impl Problems {
    /// Creates an empty collection.
    #[must_use]
    pub const fn new() -> Self {
        Self { list: Vec::new() }
    }

    /// Adds a fault.
    pub fn add(&mut self, place: Place, message: impl Into<SmolStr>, remedy: impl Into<SmolStr>) {
        self.list.push(Problem {
            place,
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    /// Puts the faults in the order of the text, each once.
    pub fn sort(&mut self) {
        self.list.sort();
        self.list.dedup();
    }

    /// Returns `value` when nothing was found, the faults otherwise.
    ///
    /// # Errors
    ///
    /// Returns the collection itself when it holds any fault.
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
