//! A job and how far it is.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::QueueKey;
use crate::job::{JobSpec, StepSpec};
use crate::worker::{EndKind, RunEnd};

/// Says where a job stands, as its client is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started, and not all are done.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl JobStatus {
    /// Returns whether nothing more happens to the job.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Holds a job and how far it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that it was submitted to.
    pub queue: QueueKey,
    /// The job as submitted; without steps once it has ended.
    pub spec: Arc<JobSpec>,
    /// When it arrived, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// When it was first seen as ended, in milliseconds since 1970.
    pub ended_at_ms: Option<u64>,
    /// How it ended, if it has.
    pub ended: Option<JobStatus>,
    /// Whether an end of one of its tasks has been recorded.
    pub has_run: bool,
    /// How far each occurrence is; empty once the job has ended.
    pub occurrences: Vec<Occurrence>,
}

/// Says how far one occurrence is.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Occurrence {
    /// How far each step is.
    pub steps: Vec<StepProgress>,
}

/// Says how far the tasks of a step are.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StepProgress {
    /// How many tasks are done.
    pub done: u32,
    /// How often the gang as a whole has failed.
    pub gang_failures: u32,
    /// Each task.
    pub tasks: Vec<TaskProgress>,
}

/// Says how far a task is.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether a run has ended as done.
    pub done: bool,
    /// How many runs have ended as failed.
    pub failures: u32,
    /// The checkpoint of the latest end; empty where there is none.
    pub checkpoint: SmolStr,
    /// The run that left the checkpoint.
    pub checkpoint_run: u64,
}

impl Occurrence {
    fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| StepProgress {
            tasks: vec![TaskProgress::default(); step.tasks as usize],
            ..StepProgress::default()
        });
        Self {
            steps: steps.collect(),
        }
    }

    fn is_done(&self) -> bool {
        let is_step_done = |step: &StepProgress| step.done as usize == step.tasks.len();
        self.steps.iter().all(is_step_done)
    }
}

impl Job {
    /// Creates a job that has just been accepted.
    #[must_use]
    pub fn new(queue: QueueKey, spec: Arc<JobSpec>, accepted_at_ms: u64) -> Self {
        let occurrences = (0..spec.occurrences()).map(|_| Occurrence::new(&spec));
        Self {
            queue,
            occurrences: occurrences.collect(),
            spec,
            accepted_at_ms,
            ended_at_ms: None,
            ended: None,
            has_run: false,
        }
    }

    /// Returns the status as far as recorded ends tell; a run under way is not among them.
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

    /// Records an end; `attempts` is how often a task may fail, where the queue is still declared.
    pub(super) fn record_end(&mut self, end: &RunEnd, attempts: Option<u32>) {
        if self.ended.is_some() {
            return;
        }
        self.has_run = true;
        let task = end.task;
        let step_index = usize::from(task.step);
        let Some(spec) = self.spec.steps.get(step_index) else {
            return;
        };
        let occurrence = self.occurrences.get_mut(task.occurrence as usize);
        let Some(step) = occurrence.and_then(|known| known.steps.get_mut(step_index)) else {
            return;
        };
        if step.tasks.len() <= task.index as usize {
            return;
        }
        let failures = step.record_end(spec, end);
        let is_exhausted = attempts.is_some_and(|attempts| failures >= attempts.max(1));
        if is_exhausted && !spec.long_running {
            self.end(JobStatus::Failed);
        } else if self.occurrences.iter().all(Occurrence::is_done) {
            self.end(JobStatus::Completed);
        }
    }

    /// Ends the job; what only a living job needs is dropped.
    fn end(&mut self, status: JobStatus) {
        self.ended = Some(status);
        self.occurrences = Vec::new();
        self.spec = Arc::new(JobSpec::default());
    }
}

impl StepProgress {
    /// Records an end and returns how often the task, or its gang, has failed by now.
    fn record_end(&mut self, spec: &StepSpec, end: &RunEnd) -> u32 {
        let index = end.task.index as usize;
        if !end.checkpoint.is_empty() && end.run >= self.tasks[index].checkpoint_run {
            self.tasks[index].checkpoint = end.checkpoint.clone();
            self.tasks[index].checkpoint_run = end.run;
        }
        match end.kind {
            EndKind::Done if spec.long_running => 0,
            EndKind::Done if spec.gang => {
                // The members end together, so one end stands for all.
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
