//! Cancellations that arrive before the submission of their job.
//!
//! A submission can be held up anywhere between its client and the leader, and arrive after the client
//! was told that its cancellation is done. So the cancellation of an unknown job is recorded as a job
//! without steps that has been cancelled, with an arrival time of zero. Every version accepts no further
//! job under its key, keeps it in snapshots and removes it with the other ended jobs.

use std::sync::Arc;

use super::{Command, Job, JobsState};
use crate::ids::{JobKey, QueueKey};
use crate::job::JobSpec;

/// The most early cancellations that are kept at a time; bounds the replicated state against a flood of
/// cancellations of unknown jobs.
pub const MAX_EARLY_CANCELLATIONS: usize = 20_000;

impl Job {
    /// Returns whether this records that a job was cancelled before it was submitted.
    #[must_use]
    pub fn is_early_cancellation(&self) -> bool {
        self.accepted_at_ms == 0 && self.spec.steps.is_empty()
    }
}

impl Command {
    /// Returns the command that records the cancellation of a job that isn't known; it has no effect if the
    /// submission of the job is committed first.
    #[must_use]
    pub fn cancel_early(job: JobKey, queue: QueueKey) -> Self {
        Self::Submit {
            job,
            queue,
            spec: Arc::new(JobSpec::default()),
            at_ms: 0,
        }
    }
}

impl JobsState {
    /// Returns whether a job was cancelled before it was submitted.
    #[must_use]
    pub fn is_cancelled_early(&self, job: JobKey) -> bool {
        self.early_cancellations.contains(&job)
    }

    /// Returns the early cancellations whose job hasn't ended, which would be kept forever.
    pub(crate) fn open_early_cancellations(&self) -> impl Iterator<Item = JobKey> {
        let keys = self.early_cancellations.iter().copied();
        keys.filter(|key| self.jobs.get(key).is_some_and(|job| job.ended.is_none()))
    }

    /// Returns whether a further early cancellation can be kept.
    #[must_use]
    pub fn has_room_for_early_cancellation(&self) -> bool {
        self.early_cancellations.len() < MAX_EARLY_CANCELLATIONS
    }

    pub(super) fn index_early_cancellations(&mut self) {
        let jobs = self.jobs.iter();
        let early = jobs.filter(|(_, job)| job.is_early_cancellation());
        self.early_cancellations = early.map(|(key, _)| *key).collect();
    }
}
