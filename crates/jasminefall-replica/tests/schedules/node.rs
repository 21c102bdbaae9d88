//! A replica with a disk that loses what was not synced, and a clock of its own rate.

use std::collections::VecDeque;

use jasminefall_replica::prelude::*;
use jasminefall_replica::types::Incarnation;

/// Holds what survives a crash.
#[derive(Debug, Clone, Default)]
pub(crate) struct Durable(pub(crate) RecoveredState);

impl Durable {
    fn write(&mut self, job: &Job) {
        if let Some(hard_state) = job.hard_state {
            self.0.hard_state = hard_state;
        }
        if let Some(snapshot) = &job.snapshot {
            self.0.snapshot = snapshot.clone();
            self.0.entries.clear();
        }
        job.append.iter().for_each(|entry| self.append(entry));
    }

    fn append(&mut self, entry: &Entry) {
        let kept = self
            .0
            .entries
            .partition_point(|held| held.index < entry.index);
        self.0.entries.truncate(kept);
        self.0.entries.push(entry.clone());
    }

    /// Writes a part of a job whose sync never finished.
    pub(crate) fn write_part(&mut self, job: &Job, entries: usize) {
        if job.snapshot.is_none() {
            if let Some(hard_state) = job.hard_state {
                self.0.hard_state = hard_state;
            }
            job.append
                .iter()
                .take(entries)
                .for_each(|entry| self.append(entry));
        }
    }
}

/// Waits for the disk.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) done_at_ms: u64,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) append: Vec<Entry>,
    pub(crate) messages: Vec<Message>,
}

/// Runs or has crashed.
pub(crate) struct Node {
    pub(crate) id: ReplicaId,
    pub(crate) replica: Option<Replica>,
    pub(crate) durable: Durable,
    pub(crate) jobs: VecDeque<Job>,
    /// How much the disk takes for each sync at most.
    pub(crate) sync_ms: u64,
    pub(crate) applied: LogIndex,
    pub(crate) hash: u64,
    /// Proposals that wait for their commit.
    pub(crate) waiting: Vec<(LogIndex, Term)>,
    rate: f64,
    offset_ms: u64,
}

impl Node {
    pub(crate) fn new(id: ReplicaId, incarnation: u64, rate: f64, offset_ms: u64) -> Self {
        let mut durable = Durable::default();
        durable.0.incarnation = Incarnation(incarnation);
        Self {
            id,
            replica: None,
            durable,
            jobs: VecDeque::new(),
            sync_ms: 5,
            applied: LogIndex(0),
            hash: 0,
            waiting: Vec::new(),
            rate,
            offset_ms,
        }
    }

    /// Returns the node's own clock at a time of the schedule.
    pub(crate) fn clock(&self, at_ms: u64) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let passed_ms = (at_ms as f64 * self.rate) as u64;
        self.offset_ms + passed_ms
    }

    pub(crate) fn start(&mut self, settings: Settings, first: &[ReplicaId], seed: u64) {
        let recovered = self.durable.0.clone();
        self.load(&recovered.snapshot);
        let replica = Replica::new(self.id, settings, recovered, seed);
        self.replica = Some(replica.with_first_voters(first.iter().copied()));
    }

    pub(crate) fn crash(&mut self) {
        self.replica = None;
        self.jobs.clear();
        self.waiting.clear();
    }

    /// Loads the state of the program from a snapshot.
    pub(crate) fn load(&mut self, snapshot: &Snapshot) {
        self.applied = snapshot.index;
        let bytes = snapshot.state.first_chunk::<8>().copied();
        self.hash = u64::from_le_bytes(bytes.unwrap_or_default());
    }

    /// Returns the state of the program, padded so that its transfer takes several messages.
    pub(crate) fn state(&self) -> Vec<u8> {
        let mut state = self.hash.to_le_bytes().to_vec();
        state.resize(40, 7);
        state
    }

    /// Returns when a new job is done: what waits is stored together after the job that runs.
    pub(crate) fn done_at(&self, now_ms: u64, takes_ms: u64) -> u64 {
        let Some((first, last)) = self.jobs.front().zip(self.jobs.back()) else {
            return now_ms + takes_ms;
        };
        last.done_at_ms.max(first.done_at_ms + takes_ms)
    }

    pub(crate) fn finish_job(&mut self) -> Option<Job> {
        let job = self.jobs.pop_front()?;
        self.durable.write(&job);
        Some(job)
    }
}
