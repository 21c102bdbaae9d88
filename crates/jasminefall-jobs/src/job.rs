//! Job specifications, resources and their validation.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum length of a job's payload; the limit of the client interface.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of steps of a job; bounds the replicated state of one submission.
pub const MAX_STEPS: usize = 1_000;
/// Maximum number of tasks in all steps of a job, counted for one occurrence; bounds the replicated state of
/// one submission.
pub const MAX_TASKS: u64 = 100_000;

/// Describes a job as its client submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that each task receives.
    pub payload: String,
    /// The steps; dependencies refer to them by position.
    pub steps: Vec<StepSpec>,
    /// The schedule of a repeated or delayed job; without one, the steps run at once.
    pub schedule: Option<Schedule>,
}

/// Defines when the occurrences of a job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The due time of the first occurrence, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time between the due times of two occurrences.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub occurrences: u32,
}

/// Describes the tasks of one step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks; at least one.
    pub tasks: u32,
    /// The resources that each task needs on a worker.
    pub needs: Resources,
    /// The client's rough estimate of a task's duration.
    pub estimated_ms: u64,
    /// The positions of the earlier steps that must be done before this step starts.
    pub after: Vec<u16>,
    /// Whether a task reports checkpoints from which a later run can resume.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which only makes progress while all of them run.
    pub gang: bool,
    /// Whether the tasks are slower if they are spread over several racks.
    pub prefers_one_rack: bool,
    /// The label that a worker must have to run the tasks.
    pub needs_label: Option<SmolStr>,
    /// The rack that holds the tasks' data; the tasks run fastest on its workers.
    pub rack_affinity: Option<SmolStr>,
    /// The most tasks of the step on one worker, counted per occurrence.
    pub max_per_worker: Option<u32>,
    /// Whether a task tolerates several runs at the same time.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run; tasks with the same image have similar durations and loads.
    pub image: Option<SmolStr>,
    /// The target for the tail latency that the users of a task observe.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use only processor time that other tasks leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// The most tasks of the step that moves and maintenance may make unavailable at once; zero
    /// means no limit.
    pub max_unavailable: u32,
}

/// Holds amounts of resources, such as the needs of a task or the capacity of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether these resources cover `needs` in each component.
    #[must_use]
    pub const fn can_fit(&self, needs: &Self) -> bool {
        self.cpu_millis >= needs.cpu_millis
            && self.memory_mb >= needs.memory_mb
            && self.gpus >= needs.gpus
    }

    /// Returns how many times `needs` fits into these resources; `u64::MAX` if it needs nothing.
    #[must_use]
    pub fn fit_count(&self, needs: &Self) -> u64 {
        let times = |has: u64, needs: u64| has.checked_div(needs).unwrap_or(u64::MAX);
        times(self.cpu_millis, needs.cpu_millis)
            .min(times(self.memory_mb, needs.memory_mb))
            .min(times(self.gpus, needs.gpus))
    }

    /// Returns the sum of each component; saturates, since the amounts come from clients.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the resources multiplied by `count`; saturates, since the amounts come from clients.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns the maximum of each component.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the difference of each component, at least zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Holds an amount of work: the use of resources multiplied by its duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Processor use in core-milliseconds.
    pub core_ms: u64,
    /// Memory use in megabyte-seconds.
    pub memory_mb_s: u64,
}

impl Work {
    /// Creates the work of using `taken` for `for_ms` milliseconds; accelerators are not counted.
    #[must_use]
    pub const fn new(taken: &Resources, for_ms: u64) -> Self {
        Self {
            core_ms: taken.cpu_millis * for_ms / 1_000,
            memory_mb_s: taken.memory_mb * for_ms / 1_000,
        }
    }

    /// Returns the sum of each component.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            core_ms: self.core_ms + other.core_ms,
            memory_mb_s: self.memory_mb_s + other.memory_mb_s,
        }
    }

    /// Returns the average resources that the work needs if it is spread over `within_ms`; zero
    /// counts as one millisecond.
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
    /// Returns the resources that a task of the step reserves on a worker.
    ///
    /// A best-effort task reserves no processor time, since it uses only what other tasks leave.
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

/// The reasons for which a job is refused permanently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobError {
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`].
    PayloadTooLong,
    /// The job has no step, or more than [`MAX_STEPS`].
    StepCount,
    /// The job has more than [`MAX_TASKS`] tasks, or a step without tasks.
    TaskCount,
    /// The step at this position depends on itself, on a later step or on a step that does not
    /// exist.
    StepOrder(usize),
}

impl fmt::Display for JobError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PayloadTooLong => write!(
                formatter,
                "the payload for the tasks is longer than {MAX_PAYLOAD_BYTES} bytes; shorten it"
            ),
            Self::StepCount => write!(formatter, "a job has 1 to {MAX_STEPS} steps"),
            Self::TaskCount => write!(
                formatter,
                "each step needs at least 1 task, and a job has at most {MAX_TASKS} tasks"
            ),
            Self::StepOrder(step) => write!(
                formatter,
                "step {step} depends on a step that does not come before it; list only earlier steps"
            ),
        }
    }
}

impl std::error::Error for JobError {}

impl JobSpec {
    /// Checks the limits of the job and the order of its steps.
    ///
    /// # Errors
    ///
    /// Returns [`JobError`] if the job could never run as specified.
    pub fn check(&self) -> Result<(), JobError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobError::PayloadTooLong);
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobError::StepCount);
        }
        if self.tasks() > MAX_TASKS || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(JobError::TaskCount);
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step
                .after
                .iter()
                .any(|dependency| usize::from(*dependency) >= position)
            {
                return Err(JobError::StepOrder(position));
            }
        }
        Ok(())
    }

    /// Returns the maximum needs of one task, for each resource.
    #[must_use]
    pub fn largest_task(&self) -> Resources {
        let needs = self.steps.iter().map(|step| step.needs);
        needs.fold(Resources::default(), |largest, needs| {
            largest.component_max(&needs)
        })
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns whether the occurrences together have more than [`MAX_TASKS`] tasks.
    #[must_use]
    pub fn has_long_schedule(&self) -> bool {
        self.schedule.is_some()
            && u64::from(self.occurrences()).saturating_mul(self.tasks()) > MAX_TASKS
    }

    /// Returns the number of occurrences; one without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the due time of an occurrence in milliseconds since 1970, or `None` if the job has
    /// no schedule and is due at once.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let after_first_ms = u64::from(occurrence).saturating_mul(schedule.interval_ms);
        Some(schedule.first_due_ms.saturating_add(after_first_ms))
    }

    /// Returns whether every task runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().all(|step| step.long_running)
    }
}
