//! Identifiers of jobs, steps, tasks, queues and worker incarnations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The error for a text that is not a valid identifier or quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    expected: &'static str,
}

impl ParseIdError {
    pub(crate) const fn new(expected: &'static str) -> Self {
        Self { expected }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expected {}", self.expected)
    }
}

impl std::error::Error for ParseIdError {}

const JOB_KEY_DIGITS: usize = 16;

/// Identifies a job by the key that its client chose; displayed as 16 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl fmt::Display for JobKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let error = ParseIdError {
            expected: "16 hexadecimal digits in lower case",
        };
        if text.len() != JOB_KEY_DIGITS || !text.bytes().all(is_digit) {
            return Err(error);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error)
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobKey,
    /// The zero-based occurrence; zero for a job that does not repeat.
    pub occurrence: u32,
    /// The zero-based step.
    pub step: u16,
}

impl StepId {
    /// Returns the identifier of the task with this index.
    #[must_use]
    pub const fn task(self, index: u32) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobKey,
    /// The zero-based occurrence.
    pub occurrence: u32,
    /// The zero-based step.
    pub step: u16,
    /// The zero-based position within the step.
    pub index: u32,
}

impl TaskId {
    /// Returns the identifier of the task's step.
    #[must_use]
    pub const fn step_id(self) -> StepId {
        StepId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.step_id(), self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError {
            expected: "a task as JOB.OCCURRENCE.STEP.INDEX",
        };
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(|| error.clone());
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| error.clone())?;
        let step = next()?.parse().map_err(|_| error.clone())?;
        let index = next()?.parse().map_err(|_| error.clone())?;
        match parts.next() {
            Some(_) => Err(error),
            None => Ok(Self {
                job,
                occurrence,
                step,
                index,
            }),
        }
    }
}

/// Identifies a queue by the host and path prefix under which clients reach it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct QueueKey {
    /// The host in the client's request.
    pub host: SmolStr,
    /// The common prefix of the paths of its jobs.
    pub path_prefix: SmolStr,
}

impl fmt::Display for QueueKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}", self.host, self.path_prefix)
    }
}

/// Identifies one incarnation of a worker; a restarted worker is a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct IncarnationId {
    /// The identifier of the worker, which all its incarnations share.
    pub worker: SmolStr,
    /// The start of this incarnation, in milliseconds since 1970.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.worker, self.started_at_ms)
    }
}
