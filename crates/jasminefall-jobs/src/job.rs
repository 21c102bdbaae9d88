//! What a client submits.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The longest text that the tasks of a job are given, in bytes; the limit of the interface.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The most steps of a job; bounds the state that one submission can take.
pub const MAX_STEPS: usize = 1_000;
/// The most tasks of a job in all steps; bounds the state that one submission can take.
pub const MAX_TASKS: u64 = 100_000;

/// Describes a job as its client submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that each task is given.
    pub payload: String,
    /// The steps, in the order in which others refer to them.
    pub steps: Vec<StepSpec>,
    /// When the steps run, if not at once.
    pub schedule: Option<Schedule>,
}

/// Says when the occurrences of a repeated job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time between two occurrences.
    pub interval_ms: u64,
    /// How many occurrences there are.
    pub occurrences: u32,
}

/// Describes the tasks of one step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks the step has.
    pub tasks: u32,
    /// What each task takes up on a worker.
    pub needs: Resources,
    /// A rough estimate of a task's duration.
    pub estimated_ms: u64,
    /// The earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether a task reports checkpoints from which it can be resumed.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower when they run on more than one rack.
    pub prefers_one_rack: bool,
    /// The label that a worker must have.
    pub needs_label: Option<SmolStr>,
    /// The rack on which the tasks are fastest, where their data is.
    pub rack_affinity: Option<SmolStr>,
    /// The most tasks of an occurrence of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks with the same image behave alike.
    pub image: Option<SmolStr>,
    /// The tail latency of its own users that a task must stay under.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use only the processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many tasks of the step may be away at once through what the system does.
    pub max_unavailable: u32,
}

/// Says what a task takes up, or what a worker has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor capacity in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether all of `needs` fits into this.
    #[must_use]
    pub const fn can_fit(&self, needs: &Self) -> bool {
        self.cpu_millis >= needs.cpu_millis
            && self.memory_mb >= needs.memory_mb
            && self.gpus >= needs.gpus
    }

    /// Returns how many times `needs` fits into this; the largest number where it needs nothing.
    #[must_use]
    pub fn fit_count(&self, needs: &Self) -> u64 {
        let times = |has: u64, needs: u64| has.checked_div(needs).unwrap_or(u64::MAX);
        times(self.cpu_millis, needs.cpu_millis)
            .min(times(self.memory_mb, needs.memory_mb))
            .min(times(self.gpus, needs.gpus))
    }

    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    /// Returns this many times over.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis * count,
            memory_mb: self.memory_mb * count,
            gpus: self.gpus * count,
        }
    }

    /// Returns the larger of both, each by itself.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns what is left after `other` is taken away; nothing where there is less.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Describes room taken up for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Cores times milliseconds.
    pub core_ms: u64,
    /// Megabytes of memory times seconds.
    pub memory_mb_s: u64,
}

impl Work {
    /// Creates the work of taking something up for a time.
    #[must_use]
    pub const fn new(taken: &Resources, for_ms: u64) -> Self {
        Self {
            core_ms: taken.cpu_millis * for_ms / 1_000,
            memory_mb_s: taken.memory_mb * for_ms / 1_000,
        }
    }

    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            core_ms: self.core_ms + other.core_ms,
            memory_mb_s: self.memory_mb_s + other.memory_mb_s,
        }
    }

    /// Returns what is taken up on average if the work arrives within a time.
    #[must_use]
    pub const fn rate(&self, within_ms: u64) -> Resources {
        let within_ms = if within_ms == 0 { 1 } else { within_ms };
        Resources {
            cpu_millis: self.core_ms * 1_000 / within_ms,
            memory_mb: self.memory_mb_s * 1_000 / within_ms,
            gpus: 0,
        }
    }
}

impl StepSpec {
    /// Returns what a task of the step counts against a worker's capacity.
    ///
    /// A best-effort task is given only the processor time that others leave.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        if self.best_effort {
            Resources {
                cpu_millis: 0,
                ..self.needs
            }
        } else {
            self.needs
        }
    }
}

/// Says why a job is refused for good.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobError {
    /// The text for the tasks is too long.
    PayloadTooLong,
    /// The job has no step, or too many.
    StepCount,
    /// The job has too many tasks, or a step without any.
    TaskCount,
    /// A step waits for itself, for a later one or for one that does not exist.
    StepOrder(usize),
}

impl fmt::Display for JobError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PayloadTooLong => write!(
                formatter,
                "the text for the tasks is over {MAX_PAYLOAD_BYTES} bytes; shorten it"
            ),
            Self::StepCount => write!(formatter, "a job has 1 to {MAX_STEPS} steps"),
            Self::TaskCount => write!(
                formatter,
                "each step has a task at least, and a job {MAX_TASKS} at most"
            ),
            Self::StepOrder(step) => write!(
                formatter,
                "step {step} waits for a step that does not come before it; name earlier steps only"
            ),
        }
    }
}

impl std::error::Error for JobError {}

impl JobSpec {
    /// Checks the job as a whole.
    ///
    /// # Errors
    ///
    /// Returns [`JobError`] where the job could never be carried out as described.
    pub fn check(&self) -> Result<(), JobError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobError::PayloadTooLong);
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobError::StepCount);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks > MAX_TASKS || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(JobError::TaskCount);
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step
                .after
                .iter()
                .any(|before| usize::from(*before) >= position)
            {
                return Err(JobError::StepOrder(position));
            }
        }
        Ok(())
    }

    /// Returns how often the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns when an occurrence is due, in milliseconds since 1970; none where it is due at once.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        Some(schedule.first_due_ms + u64::from(occurrence) * schedule.interval_ms)
    }

    /// Returns whether every task runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().all(|step| step.long_running)
    }
}
