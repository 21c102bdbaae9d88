//! A replica with a simulated disk, which loses unsynced data in a crash, and a drifting clock.

use std::collections::VecDeque;

use jasminefall_replica::prelude::*;
use jasminefall_replica::types::Incarnation;

/// Holds the state that survives a crash.
#[derive(Debug, Clone, Default)]
pub(crate) struct DurableState(pub(crate) RecoveredState);

impl DurableState {
    fn write(&mut self, job: &WriteJob) {
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

    /// Writes the term, the vote and the first `entries` entries of a job that a crash interrupts.
    pub(crate) fn write_partially(&mut self, job: &WriteJob, entries: usize) {
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

/// A write that is queued for the simulated disk, with the messages to send afterwards.
#[derive(Debug)]
pub(crate) struct WriteJob {
    pub(crate) completes_at_ms: u64,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) append: Vec<Entry>,
    pub(crate) messages: Vec<Message>,
}

/// A running or crashed replica; `replica` is `None` after a crash.
pub(crate) struct Node {
    pub(crate) id: ReplicaId,
    pub(crate) replica: Option<Replica>,
    pub(crate) durable: DurableState,
    pub(crate) jobs: VecDeque<WriteJob>,
    /// Maximum duration of a sync, in milliseconds.
    pub(crate) max_sync_ms: u64,
    pub(crate) applied: LogIndex,
    pub(crate) state_hash: u64,
    /// Proposals that are not committed yet.
    pub(crate) pending_proposals: Vec<(LogIndex, Term)>,
    /// Whether the machine has been removed for good.
    pub(crate) is_removed: bool,
    clock_rate: f64,
    clock_offset_ms: u64,
}

impl Node {
    pub(crate) fn new(
        id: ReplicaId,
        incarnation: u64,
        clock_rate: f64,
        clock_offset_ms: u64,
    ) -> Self {
        let mut durable = DurableState::default();
        durable.0.incarnation = Incarnation(incarnation);
        Self {
            id,
            replica: None,
            durable,
            jobs: VecDeque::new(),
            max_sync_ms: 5,
            applied: LogIndex(0),
            state_hash: 0,
            pending_proposals: Vec::new(),
            is_removed: false,
            clock_rate,
            clock_offset_ms,
        }
    }

    /// Returns the local clock of the node at a time of the schedule, in milliseconds.
    pub(crate) fn clock(&self, at_ms: u64) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let elapsed_ms = (at_ms as f64 * self.clock_rate) as u64;
        self.clock_offset_ms + elapsed_ms
    }

    pub(crate) fn start(
        &mut self,
        settings: Settings,
        first: &[ReplicaId],
        peers: &[ReplicaId],
        seed: u64,
    ) {
        let recovered = self.durable.0.clone();
        self.load(&recovered.snapshot);
        let replica = Replica::new(self.id, settings, recovered, seed);
        let replica = replica.with_first_voters(first.iter().copied());
        let others = peers.iter().copied().filter(|peer| *peer != self.id);
        self.replica = Some(replica.with_known_peers(others));
    }

    pub(crate) fn crash(&mut self) {
        self.replica = None;
        self.jobs.clear();
        self.pending_proposals.clear();
    }

    /// Removes the machine with its disk.
    pub(crate) fn remove(&mut self) {
        self.crash();
        self.durable = DurableState::default();
        self.durable.0.incarnation = Incarnation(u64::MAX);
        self.is_removed = true;
    }

    /// Loads the application state from a snapshot.
    pub(crate) fn load(&mut self, snapshot: &Snapshot) {
        self.applied = snapshot.index;
        let bytes = snapshot.state.first_chunk::<8>().copied();
        self.state_hash = u64::from_le_bytes(bytes.unwrap_or_default());
    }

    /// Returns the application state, padded so that its transfer takes several chunks.
    pub(crate) fn state(&self) -> Vec<u8> {
        let mut state = self.state_hash.to_le_bytes().to_vec();
        state.resize(40, 7);
        state
    }

    /// Returns when a new job completes: queued jobs are stored in one batch after the running job.
    pub(crate) fn completion_time_ms(&self, now_ms: u64, duration_ms: u64) -> u64 {
        let Some((first, last)) = self.jobs.front().zip(self.jobs.back()) else {
            return now_ms + duration_ms;
        };
        last.completes_at_ms
            .max(first.completes_at_ms + duration_ms)
    }

    pub(crate) fn finish_job(&mut self) -> Option<WriteJob> {
        let job = self.jobs.pop_front()?;
        self.durable.write(&job);
        Some(job)
    }
}
