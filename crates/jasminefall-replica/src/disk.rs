//! The thread that writes and syncs the files, so that disk latency does not delay heartbeats.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;

use crate::entry::{Entry, Snapshot};
use crate::error::StorageError;
use crate::message::Message;
use crate::replica::HardState;
use crate::storage::Storage;
use crate::types::{LogIndex, Term};

/// Maximum jobs queued for the disk; sending another job blocks the replica.
const MAX_QUEUED_JOBS: usize = 4_096;

/// Requests a write and sync, followed by the release of messages.
#[derive(Debug)]
pub struct DiskJob {
    /// The term and vote to store first, if changed.
    pub hard_state: Option<HardState>,
    /// The snapshot to store; `append` then holds all log entries after it.
    pub snapshot: Option<Snapshot>,
    /// The entries to store.
    pub append: Vec<Entry>,
    /// The messages to send once everything above is synced.
    pub messages: Vec<Message>,
}

/// Reports a completed batch of jobs.
#[derive(Debug, Default)]
pub struct DiskCompletion {
    /// The last entry stored, or the end of the last snapshot if no entry follows it.
    pub last_entry: Option<(LogIndex, Term)>,
    /// The number of completed jobs.
    pub job_count: usize,
    /// The messages that may be sent now.
    pub messages: Vec<Message>,
}

/// Starts the disk thread, which calls `done` after each batch is synced.
///
/// # Errors
///
/// Returns the error of the operating system if the thread cannot be started.
pub fn start(
    storage: Storage,
    done: impl Fn(DiskCompletion) + Send + 'static,
) -> std::io::Result<(SyncSender<DiskJob>, JoinHandle<()>)> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_JOBS);
    let builder = std::thread::Builder::new().name("disk".to_owned());
    let thread = builder.spawn(move || run(storage, &receiver, done))?;
    Ok((sender, thread))
}

fn run(mut storage: Storage, jobs: &Receiver<DiskJob>, done: impl Fn(DiskCompletion)) {
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        batch.extend(jobs.try_iter());
        match store(&mut storage, batch) {
            Ok(stored) => done(stored),
            Err(error) => {
                // After a failed sync the content of the disk is unknown until a restart reads it.
                log::error!("event=storage_failed error=\"{error}\"");
                log::logger().flush();
                std::process::exit(3);
            }
        }
    }
}

/// Stores a batch of jobs with a single sync; only snapshots require additional syncs.
fn store(storage: &mut Storage, batch: Vec<DiskJob>) -> Result<DiskCompletion, StorageError> {
    let mut done = DiskCompletion {
        job_count: batch.len(),
        ..DiskCompletion::default()
    };
    let mut hard_state = None;
    let mut append = Vec::new();
    for job in batch {
        hard_state = job.hard_state.or(hard_state);
        done.messages.extend(job.messages);
        let snapshot_end = job
            .snapshot
            .as_ref()
            .map(|snapshot| (snapshot.index, snapshot.term));
        let last = job.append.last().map(|entry| (entry.index, entry.term));
        done.last_entry = last.or(snapshot_end).or(done.last_entry);
        let Some(snapshot) = job.snapshot else {
            append.extend(job.append);
            continue;
        };
        // Earlier entries are covered by the snapshot or stored again after it in `job.append`.
        append.clear();
        storage.store(hard_state.take(), &append)?;
        storage.store_snapshot(&snapshot, &job.append)?;
    }
    if hard_state.is_some() || !append.is_empty() {
        storage.store(hard_state, &append)?;
    }
    Ok(done)
}
