//! The thread that syncs, so that no heartbeat waits for a disk.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;

use crate::entry::{Entry, Snapshot};
use crate::error::StorageError;
use crate::message::Message;
use crate::replica::HardState;
use crate::storage::Storage;
use crate::types::{LogIndex, Term};

/// The most jobs that wait for the disk; the replica waits when there are more.
const QUEUE_LENGTH: usize = 4_096;

/// Asks for something to be stored, then for messages to be sent.
#[derive(Debug)]
pub struct DiskJob {
    /// The term and vote to store first.
    pub hard_state: Option<HardState>,
    /// The snapshot to store; `append` then holds all entries that follow it.
    pub snapshot: Option<Snapshot>,
    /// The entries to store.
    pub append: Vec<Entry>,
    /// The messages that may leave afterwards.
    pub messages: Vec<Message>,
}

/// Says what has been stored and which messages may leave.
#[derive(Debug, Default)]
pub struct DiskCompletion {
    /// The last entry stored.
    pub last_entry: Option<(LogIndex, Term)>,
    /// How many jobs are done.
    pub job_count: usize,
    /// The messages that may leave now.
    pub messages: Vec<Message>,
}

/// Starts the thread; `done` is called on it after each sync.
///
/// # Errors
///
/// Returns the system's error where no thread can be started.
pub fn start(
    storage: Storage,
    done: impl Fn(DiskCompletion) + Send + 'static,
) -> std::io::Result<(SyncSender<DiskJob>, JoinHandle<()>)> {
    let (sender, receiver) = sync_channel(QUEUE_LENGTH);
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
                // After a failed sync nobody knows what is on the disk: only a new start can tell.
                log::error!("event=storage_failed error=\"{error}\"");
                log::logger().flush();
                std::process::exit(3);
            }
        }
    }
}

/// Stores a batch with as few syncs as its snapshots allow.
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
        // What precedes the snapshot is covered by it or stored again after it.
        append.clear();
        storage.store(hard_state.take(), &append)?;
        storage.store_snapshot(&snapshot, &job.append)?;
    }
    if hard_state.is_some() || !append.is_empty() {
        storage.store(hard_state, &append)?;
    }
    Ok(done)
}
