//! Jobs and the progress of their tasks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::occurrences::Occurrences;
use crate::ids::{QueueKey, TaskId};
use crate::job::{JobSpec, Resources, StepSpec};
use crate::worker::{EndKind, RunEnd};

/// The status of a job as reported to its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started, and at least one is not done.
    Running,
    /// Every task is done.
    Completed,
    /// A task or gang has reached the failure limit of the queue.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl JobStatus {
    /// Returns whether the status can no longer change.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Holds a job and the progress of its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that the job was submitted to.
    pub queue: QueueKey,
    /// The submitted job; empty once the job has ended.
    pub spec: Arc<JobSpec>,
    /// The arrival time, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// When the leader first observed the end, in milliseconds since 1970.
    pub ended_at_ms: Option<u64>,
    /// The final status, if the job has ended.
    pub ended: Option<JobStatus>,
    /// Whether the end of a run of the job has been recorded.
    pub has_run: bool,
    /// The progress of each occurrence; empty once the job has ended.
    pub occurrences: Occurrences,
}

/// Holds the progress of the tasks of a step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StepProgress {
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of failures of the gang as a whole.
    pub gang_failures: u32,
    /// The progress of each task, by its index.
    pub tasks: Vec<TaskProgress>,
}

/// Holds the progress of a task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether a run has succeeded.
    pub done: bool,
    /// The number of failed runs.
    pub failures: u32,
    /// The checkpoint of the latest run that left one; empty if there is none.
    pub checkpoint: SmolStr,
    /// The run that left the checkpoint.
    pub checkpoint_run: u64,
}

impl Job {
    /// Creates a newly accepted job.
    #[must_use]
    pub fn new(queue: QueueKey, spec: Arc<JobSpec>, accepted_at_ms: u64) -> Self {
        Self {
            queue,
            occurrences: Occurrences::new(&spec),
            spec,
            accepted_at_ms,
            ended_at_ms: None,
            ended: None,
            has_run: false,
        }
    }

    /// Returns the status according to the recorded run ends; current runs do not count.
    #[must_use]
    pub fn status(&self) -> JobStatus {
        match self.ended {
            Some(status) => status,
            None if self.has_run => JobStatus::Running,
            None => JobStatus::Queued,
        }
    }

    pub(super) fn cancel(&mut self) {
        if self.ended.is_none() {
            self.end(JobStatus::Cancelled);
        }
    }

    /// Returns the needs of all tasks that are not done.
    pub(super) fn unfinished_needs(&self) -> Resources {
        let begun = self.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.spec.steps);
            steps.map(|(progress, spec)| {
                let unfinished = spec.tasks.saturating_sub(progress.done);
                spec.needs.times(u64::from(unfinished))
            })
        });
        let not_begun = u64::from(self.occurrences.not_begun());
        let steps = self.spec.steps.iter();
        let later = steps.map(|spec| {
            let tasks = u64::from(spec.tasks).saturating_mul(not_begun);
            spec.needs.times(tasks)
        });
        begun
            .chain(later)
            .fold(Resources::default(), |sum, needs| sum.plus(&needs))
    }

    /// Records the end of a run; `attempts` is the failure limit of the queue, or `None` if the
    /// queue is no longer declared.
    ///
    /// Returns the needs of the tasks that are not done if the job fails by this end, otherwise zero.
    pub(super) fn record_end(&mut self, end: &RunEnd, attempts: Option<u32>) -> Resources {
        let none = Resources::default();
        if self.ended.is_some() {
            return none;
        }
        self.has_run = true;
        let task = end.task;
        let step_index = usize::from(task.step);
        let Some(spec) = self.spec.steps.get(step_index) else {
            return none;
        };
        let occurrence = self.occurrences.begin(task.occurrence, &self.spec);
        let Some(step) = occurrence.and_then(|occurrence| occurrence.steps.get_mut(step_index))
        else {
            return none;
        };
        if step.tasks.len() <= task.index as usize {
            return none;
        }
        let failures = step.record_end(spec, end);
        let is_exhausted = attempts.is_some_and(|attempts| failures >= attempts.max(1));
        if is_exhausted && !spec.long_running {
            let unfinished = self.unfinished_needs();
            self.end(JobStatus::Failed);
            return unfinished;
        }
        self.occurrences.compact(task.occurrence, &self.spec);
        if self.occurrences.are_done() {
            self.end(JobStatus::Completed);
        }
        none
    }

    /// Returns the number of failures of a task's gang, and the progress of the task; `None` if the job
    /// doesn't have the task, or its occurrence is done and has been compacted.
    fn progress(&self, task: TaskId) -> Option<(u32, TaskProgress)> {
        let occurrence = self.occurrences.progress(task.occurrence, &self.spec)?;
        let step = occurrence.steps.get(usize::from(task.step))?;
        let progress = step.tasks.get(task.index as usize)?;
        Some((step.gang_failures, progress.clone()))
    }

    /// Returns whether the job is active and has this task, and the task is not done.
    pub(super) fn is_unfinished(&self, task: TaskId) -> bool {
        let progress = self.progress(task);
        self.ended.is_none() && progress.is_some_and(|(_, task)| !task.done)
    }

    /// Returns how many more failures of a task end the job; zero if no number of them does.
    /// `attempts` is as for [`Self::record_end`]; without it the result is at least one.
    pub(super) fn failures_left(&self, task: TaskId, attempts: Option<u32>) -> u32 {
        let Some(spec) = self.spec.steps.get(usize::from(task.step)) else {
            return 0;
        };
        let Some((gang_failures, progress)) = self.progress(task) else {
            return 0;
        };
        if spec.long_running || !self.is_unfinished(task) {
            return 0;
        }
        let failures = if spec.gang {
            gang_failures
        } else {
            progress.failures
        };
        attempts.unwrap_or(0).saturating_sub(failures).max(1)
    }

    /// Ends the job and drops the data that only an active job needs.
    fn end(&mut self, status: JobStatus) {
        self.ended = Some(status);
        self.occurrences = Occurrences::default();
        self.spec = Arc::new(JobSpec::default());
    }
}

impl StepProgress {
    /// Records the end of a run and returns the failure count of the task or its gang; returns zero
    /// for an end that does not count towards the limit.
    fn record_end(&mut self, spec: &StepSpec, end: &RunEnd) -> u32 {
        let index = end.task.index as usize;
        if !end.checkpoint.is_empty() && end.run >= self.tasks[index].checkpoint_run {
            self.tasks[index].checkpoint = end.checkpoint.clone();
            self.tasks[index].checkpoint_run = end.run;
        }
        match end.kind {
            EndKind::Done if spec.long_running => 0,
            EndKind::Done if spec.gang => {
                // The members of a gang end together, so one success completes all of them.
                self.done = spec.tasks;
                for task in &mut self.tasks {
                    task.done = true;
                }
                0
            }
            EndKind::Done => {
                if !self.tasks[index].done {
                    self.tasks[index].done = true;
                    self.done += 1;
                }
                0
            }
            EndKind::Failed if spec.long_running || self.tasks[index].done => 0,
            EndKind::Failed if spec.gang => {
                self.gang_failures += 1;
                self.gang_failures
            }
            EndKind::Failed => {
                self.tasks[index].failures += 1;
                self.tasks[index].failures
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::GangBroken | EndKind::GangIncomplete => 0,
        }
    }
}
