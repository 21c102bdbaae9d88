//! Names of jobs, tasks, queues and incarnations of workers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Says why the name of a job or task could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    expected: &'static str,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expected {}", self.expected)
    }
}

impl std::error::Error for ParseIdError {}

const JOB_KEY_DIGITS: usize = 16;

/// Identifies a job by the key that its client chose.
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
    /// The job.
    pub job: JobKey,
    /// The occurrence, counted from zero; zero for a job that does not repeat.
    pub occurrence: u32,
    /// The step, counted from zero.
    pub step: u16,
}

impl StepId {
    /// Returns the task of this step with an index.
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
    /// The job.
    pub job: JobKey,
    /// The occurrence, counted from zero.
    pub occurrence: u32,
    /// The step, counted from zero.
    pub step: u16,
    /// The position within the step, counted from zero.
    pub index: u32,
}

impl TaskId {
    /// Returns the step that the task belongs to.
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

/// Identifies a queue by where its clients reach it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct QueueKey {
    /// The host that clients name.
    pub host: SmolStr,
    /// The prefix that the paths of its jobs begin with.
    pub path_prefix: SmolStr,
}

impl fmt::Display for QueueKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}", self.host, self.path_prefix)
    }
}

/// Identifies one incarnation of a worker: the same worker started again is another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct IncarnationId {
    /// The worker's own identifier.
    pub worker: SmolStr,
    /// When this incarnation began, in milliseconds since 1970.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.worker, self.started_at_ms)
    }
}
