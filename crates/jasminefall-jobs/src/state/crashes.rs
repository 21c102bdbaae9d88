//! Runs that ended with the crash of their worker.
//!
//! A crash record is a [`RunEnd`] that [`RunEnd::crashed`] creates. Earlier versions skip it, since
//! its number is not above that of any recorded end.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::JobsState;
use crate::ids::{IncarnationId, JobKey, TaskId};
use crate::worker::{EndKind, RunEnd};

/// Maximum number of crashed runs that are kept for one task; bounds the state of a long-running
/// task.
pub const MAX_CRASHED_RUNS: usize = 16;
/// Maximum number of ends that [`JobsState::ends_to_fail`] returns; bounds the log entry for a
/// queue that permits more failures.
pub const MAX_ENDS_TO_FAIL: u32 = 1_000;

/// Holds the runs of a task that ended with the crash of their worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskCrashes {
    /// The latest runs. Since each run counts once and the latest ones are kept, the order and the
    /// repetition of records make no difference.
    runs: BTreeSet<u64>,
}

impl TaskCrashes {
    /// Returns the number of crashed runs, at most [`MAX_CRASHED_RUNS`].
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Returns the latest run that crashed.
    #[must_use]
    pub fn last_run(&self) -> Option<u64> {
        self.runs.last().copied()
    }

    fn record(&mut self, run: u64) {
        self.runs.insert(run);
        if self.runs.len() > MAX_CRASHED_RUNS {
            self.runs.pop_first();
        }
    }
}

impl JobsState {
    /// Returns the number of recorded crashes under a task that is not done, at most
    /// [`MAX_CRASHED_RUNS`].
    #[must_use]
    pub fn crashes_of(&self, task: TaskId) -> u32 {
        self.crashes.get(&task).map_or(0, TaskCrashes::count)
    }

    /// Returns the ends by which a job fails because of one of its tasks, as reports of a crashed
    /// incarnation.
    ///
    /// The numbers continue those recorded for the incarnation and start at one if it is not
    /// registered; the caller registers it first, since the ends have no effect otherwise.
    ///
    /// The result is empty if no failure of the task can end the job. If the queue permits more than
    /// [`MAX_ENDS_TO_FAIL`] further failures, or is no longer declared, the job stays active after
    /// these ends.
    #[must_use]
    pub fn ends_to_fail(&self, incarnation: &IncarnationId, task: TaskId, run: u64) -> Vec<RunEnd> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Vec::new();
        };
        let queue = self.configuration.queue(&job.queue);
        let attempts = queue.map(|queue| queue.attempts);
        let count = job.failures_left(task, attempts).min(MAX_ENDS_TO_FAIL);
        let recorded_upto = self
            .incarnations
            .get(incarnation)
            .map_or(0, |record| record.recorded_upto);
        let numbers =
            (1..=u64::from(count)).map_while(|position| recorded_upto.checked_add(position));
        let ends = numbers.map(|number| RunEnd {
            number,
            task,
            run,
            kind: EndKind::Failed,
            checkpoint: "".into(),
        });
        ends.collect()
    }

    /// Records a crash under a task that is not done.
    pub(super) fn record_crash(&mut self, end: &RunEnd) {
        let job = self.jobs.get(&end.task.job);
        if job.is_some_and(|job| job.is_unfinished(end.task)) {
            self.crashes.entry(end.task).or_default().record(end.run);
        }
    }

    /// Removes the crashes under those tasks of a job that are done or can no longer run.
    pub(super) fn remove_settled_crashes(&mut self, key: JobKey) {
        let first = TaskId {
            job: key,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let job = self.jobs.get(&key);
        let is_settled = |task: TaskId| !job.is_some_and(|job| job.is_unfinished(task));
        let of_job = self.crashes.range(first..).map(|(task, _)| *task);
        let settled: Vec<_> = of_job
            .take_while(|task| task.job == key)
            .filter(|task| is_settled(*task))
            .collect();
        for task in settled {
            self.crashes.remove(&task);
        }
    }
}
