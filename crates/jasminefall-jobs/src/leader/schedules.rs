//! Occurrences of scheduled jobs.
//!
//! A schedule may have any number of occurrences, so the leader holds the steps of those only that are due
//! soon, and of so many that their tasks stay within a limit. Further ones follow as they become due and as
//! earlier ones are done.

use std::collections::{BTreeMap, BTreeSet};

use super::Leader;
use super::steps::StepState;
use crate::ids::{JobKey, StepId};
use crate::state::{Job, JobsState};

/// How long before its due time an occurrence is opened, in milliseconds; its work counts towards the load
/// of its pool from then on.
const LOOKAHEAD_MS: u64 = 60_000;
/// The most tasks that the open occurrences of a job have; one occurrence may have more.
const MAX_OPEN_TASKS: u64 = 4_096;

/// Tracks the occurrences of one job.
#[derive(Debug, Clone, Default)]
struct Schedule {
    /// The number of the first occurrence that has not been opened.
    next: u32,
    /// When the next occurrence is opened, in milliseconds since 1970, if it is too early by now.
    next_at_ms: Option<u64>,
    /// The number of tasks of one occurrence.
    tasks: u64,
    /// The open occurrences.
    open: BTreeSet<u32>,
    /// Whether an earlier leader may have started tasks of the job.
    inherited: bool,
    /// Whether an occurrence has been completed.
    has_run: bool,
}

/// Tracks the occurrences of the jobs that have several.
#[derive(Debug, Clone, Default)]
pub(crate) struct Schedules {
    by_job: BTreeMap<JobKey, Schedule>,
    /// The jobs whose next occurrence waits for its time, in milliseconds since 1970.
    timers: BTreeSet<(u64, JobKey)>,
    /// The occurrences of which a step has been completed since they were checked last.
    changed: BTreeSet<(JobKey, u32)>,
}

impl Schedules {
    /// Records that all tasks of a step are done.
    pub(super) fn record_step_done(&mut self, id: StepId) {
        if self.by_job.contains_key(&id.job) {
            self.changed.insert((id.job, id.occurrence));
        }
    }

    /// Removes a job that has ended.
    pub(super) fn remove(&mut self, job: JobKey) {
        if let Some(schedule) = self.by_job.remove(&job)
            && let Some(at_ms) = schedule.next_at_ms
        {
            self.timers.remove(&(at_ms, job));
        }
    }

    /// Returns whether a job with several occurrences is open.
    pub(super) fn contains(&self, job: JobKey) -> bool {
        self.by_job.contains_key(&job)
    }

    /// Returns whether an occurrence of a job has been completed under this leader.
    pub(super) fn has_run(&self, job: JobKey) -> bool {
        let schedule = self.by_job.get(&job);
        schedule.is_some_and(|schedule| schedule.has_run)
    }

    /// Returns the jobs whose next occurrence may be opened by now.
    fn take_due(&mut self, now_ms: u64) -> Vec<JobKey> {
        let mut due = Vec::new();
        while let Some((at_ms, job)) = self.timers.first().copied()
            && at_ms <= now_ms
        {
            self.timers.pop_first();
            if let Some(schedule) = self.by_job.get_mut(&job) {
                schedule.next_at_ms = None;
            }
            due.push(job);
        }
        due
    }
}

impl Leader {
    /// Adds the steps of a job that has not ended, and opens those that are ready; `inherited` states
    /// whether an earlier leader may have started its tasks.
    pub(super) fn open_job(&mut self, key: JobKey, job: &Job, inherited: bool, state: &JobsState) {
        if job.occurrences.count() == 1 {
            self.open_occurrence((key, job), 0, inherited, state);
        } else {
            let schedule = Schedule {
                tasks: job.spec.tasks(),
                inherited,
                ..Schedule::default()
            };
            self.schedules.by_job.insert(key, schedule);
            self.open_next_occurrences(key, job, state);
        }
        self.usage.beyond_rate.remove(&key);
    }

    /// Opens the occurrences of a job that are due soon, as many as the limit permits.
    fn open_next_occurrences(&mut self, key: JobKey, job: &Job, state: &JobsState) {
        let now_ms = self.now.wall_ms;
        loop {
            let Some(schedule) = self.schedules.by_job.get_mut(&key) else {
                return;
            };
            let open_tasks = schedule.tasks.saturating_mul(schedule.open.len() as u64);
            let exceeds_limit = open_tasks.saturating_add(schedule.tasks) > MAX_OPEN_TASKS;
            if schedule.next_at_ms.is_some() || (exceeds_limit && !schedule.open.is_empty()) {
                return;
            }
            let Some(number) = job.occurrences.next_unfinished(schedule.next) else {
                return;
            };
            schedule.next = number;
            let due_ms = job.spec.due_ms(number).unwrap_or(0);
            let open_at_ms = due_ms.saturating_sub(LOOKAHEAD_MS);
            if open_at_ms > now_ms {
                schedule.next_at_ms = Some(open_at_ms);
                self.schedules.timers.insert((open_at_ms, key));
                return;
            }
            schedule.next = number.saturating_add(1);
            let inherited = schedule.inherited;
            self.open_occurrence((key, job), number, inherited, state);
            if let Some(schedule) = self.schedules.by_job.get_mut(&key) {
                schedule.open.insert(number);
            }
        }
    }

    /// Removes the occurrences that are done, and opens those whose turn has come.
    pub(super) fn advance_schedules(&mut self, state: &JobsState) {
        let mut jobs = BTreeSet::new();
        for (job, occurrence) in std::mem::take(&mut self.schedules.changed) {
            let ids = self.steps_of_occurrence(job, occurrence);
            let is_done = |id: &StepId| self.steps.get(id).is_none_or(StepState::is_done);
            if !ids.iter().all(is_done) {
                continue;
            }
            for id in ids {
                self.remove_step(id);
            }
            if let Some(schedule) = self.schedules.by_job.get_mut(&job) {
                schedule.open.remove(&occurrence);
                schedule.has_run = true;
                jobs.insert(job);
            }
        }
        jobs.extend(self.schedules.take_due(self.now.wall_ms));
        for key in jobs {
            if let Some(job) = state.jobs.get(&key).filter(|job| job.ended.is_none()) {
                self.open_next_occurrences(key, job, state);
            }
        }
    }

    fn steps_of_occurrence(&self, job: JobKey, occurrence: u32) -> Vec<StepId> {
        let first = StepId {
            job,
            occurrence,
            step: 0,
        };
        let last = StepId {
            step: u16::MAX,
            ..first
        };
        self.steps.range(first..=last).map(|(id, _)| *id).collect()
    }
}
