//! The occurrences of a job.
//!
//! A schedule may have any number of occurrences in a few bytes. Those of a schedule with more than
//! [`MAX_TASKS`](crate::job::MAX_TASKS) tasks in all are held only from the first recorded run end on, and dropped once they are
//! done, so that the size of the state follows from the work that has begun.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::ops::Index;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::job::{Job, StepProgress, TaskProgress};
use crate::ids::QueueKey;
use crate::job::JobSpec;

/// Holds the progress of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Occurrence {
    /// The progress of each step, in the order of the specification; empty in a long schedule once the
    /// occurrence is done.
    pub steps: Vec<StepProgress>,
}

impl Occurrence {
    /// Creates the progress of an occurrence that has not begun.
    fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| StepProgress {
            tasks: vec![TaskProgress::default(); step.tasks as usize],
            ..StepProgress::default()
        });
        Self {
            steps: steps.collect(),
        }
    }

    /// Returns whether every task is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let is_step_done = |step: &StepProgress| step.done as usize == step.tasks.len();
        self.steps.iter().all(is_step_done)
    }
}

/// Holds the progress of the occurrences of a job.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Occurrences {
    /// The number of occurrences, including those that are not held.
    count: u32,
    /// The number of the first occurrence that may not be done; zero unless the schedule is long.
    first: u32,
    /// The occurrences that are held, by number: all of them unless the schedule is long.
    held: BTreeMap<u32, Occurrence>,
}

impl Occurrences {
    /// Creates the occurrences of a job that has not begun.
    #[must_use]
    pub fn new(spec: &JobSpec) -> Self {
        let count = spec.occurrences();
        let held = if spec.has_long_schedule() { 0 } else { count };
        Self {
            count,
            first: 0,
            held: (0..held)
                .map(|number| (number, Occurrence::new(spec)))
                .collect(),
        }
    }

    /// Returns the number of occurrences.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the occurrences that are held, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &Occurrence> {
        self.held.values()
    }

    /// Returns an occurrence that is held.
    #[must_use]
    pub fn get_mut(&mut self, number: usize) -> Option<&mut Occurrence> {
        self.held.get_mut(&u32::try_from(number).ok()?)
    }

    /// Returns the first number from `number` on whose occurrence is not done, or `None` if there is none.
    #[must_use]
    pub fn next_unfinished(&self, number: u32) -> Option<u32> {
        let from = number.max(self.first);
        let is_unfinished = |number: &u32| self.held.get(number).is_none_or(|held| !held.is_done());
        (from..self.count).find(is_unfinished)
    }

    /// Returns the progress of an occurrence; `None` if there is no such occurrence, or it is done and no
    /// longer held.
    #[must_use]
    pub fn progress(&self, number: u32, spec: &JobSpec) -> Option<Cow<'_, Occurrence>> {
        if let Some(held) = self.held.get(&number) {
            return Some(Cow::Borrowed(held));
        }
        self.may_begin(number, spec)
            .then(|| Cow::Owned(Occurrence::new(spec)))
    }

    const fn may_begin(&self, number: u32, spec: &JobSpec) -> bool {
        number >= self.first && number < self.count && spec.schedule.is_some()
    }

    /// Returns an occurrence for an update, and holds it from now on; `None` as for [`Self::progress`].
    pub(super) fn begin(&mut self, number: u32, spec: &JobSpec) -> Option<&mut Occurrence> {
        if self.may_begin(number, spec) {
            let held = self.held.entry(number);
            return Some(held.or_insert_with(|| Occurrence::new(spec)));
        }
        self.held.get_mut(&number)
    }

    /// Drops what is no longer needed of a long schedule after an update of an occurrence.
    pub(super) fn compact(&mut self, number: u32, spec: &JobSpec) {
        if !spec.has_long_schedule() {
            return;
        }
        if let Some(updated) = self.held.get_mut(&number)
            && updated.is_done()
        {
            updated.steps = Vec::new();
        }
        while self.held.get(&self.first).is_some_and(Occurrence::is_done) {
            self.held.remove(&self.first);
            self.first += 1;
        }
    }

    /// Returns the number of occurrences that are neither held nor done.
    pub(super) fn not_begun(&self) -> u32 {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        self.count.saturating_sub(self.first).saturating_sub(held)
    }

    /// Returns whether every occurrence is done.
    pub(super) fn are_done(&self) -> bool {
        self.not_begun() == 0 && self.iter().all(Occurrence::is_done)
    }
}

impl From<Vec<Occurrence>> for Occurrences {
    fn from(held: Vec<Occurrence>) -> Self {
        Self {
            count: u32::try_from(held.len()).unwrap_or(u32::MAX),
            first: 0,
            held: (0..).zip(held).collect(),
        }
    }
}

impl Index<usize> for Occurrences {
    type Output = Occurrence;

    /// Returns an occurrence that is held.
    ///
    /// # Panics
    ///
    /// Panics if the occurrence is not held.
    fn index(&self, number: usize) -> &Occurrence {
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        &self.held[&number]
    }
}

/// Encodes the occurrences as a sequence, as in earlier versions, which hold all of them.
impl Serialize for Occurrences {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.held.values())
    }
}

impl<'de> Deserialize<'de> for Occurrences {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Vec::deserialize(deserializer).map(Self::from)
    }
}

/// Holds an active job with a long schedule in a snapshot. Earlier versions can't hold such a job, so a
/// section of its own holds it, which they ignore.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LongJob {
    queue: QueueKey,
    spec: JobSpec,
    accepted_at_ms: u64,
    has_run: bool,
    first: u32,
    held: BTreeMap<u32, Occurrence>,
}

impl LongJob {
    /// Returns what a snapshot holds of a job, or `None` if its schedule is not long.
    pub(super) fn of(job: &Job) -> Option<Self> {
        job.spec.has_long_schedule().then(|| Self {
            queue: job.queue.clone(),
            spec: JobSpec::clone(&job.spec),
            accepted_at_ms: job.accepted_at_ms,
            has_run: job.has_run,
            first: job.occurrences.first,
            held: job.occurrences.held.clone(),
        })
    }
}

impl From<LongJob> for Job {
    fn from(stored: LongJob) -> Self {
        let occurrences = Occurrences {
            count: stored.spec.occurrences(),
            first: stored.first,
            held: stored.held,
        };
        Self {
            has_run: stored.has_run,
            occurrences,
            ..Self::new(stored.queue, stored.spec.into(), stored.accepted_at_ms)
        }
    }
}
