//! The thread that syncs, so that no heartbeat waits for a disk.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;

use jasminefall_replica::prelude::*;

/// The most jobs that wait for the disk; the replica waits when there are more.
const QUEUE_LENGTH: usize = 4_096;

/// Asks for something to be stored, then for messages to be sent.
pub(crate) struct DiskJob {
    /// The term and vote to store first.
    pub(crate) hard_state: Option<HardState>,
    /// The snapshot to store, with the entries that follow it.
    pub(crate) snapshot: Option<(Snapshot, Vec<Entry>)>,
    /// The entries to store.
    pub(crate) append: Vec<Entry>,
    /// The messages that may leave afterwards.
    pub(crate) messages: Vec<Message>,
}

/// Says what has been stored and which messages may leave.
#[derive(Debug, Default)]
pub(crate) struct DiskDone {
    /// The last entry stored.
    pub(crate) last: Option<(LogIndex, Term)>,
    /// The messages that may leave now.
    pub(crate) messages: Vec<Message>,
}

/// Starts the thread; `done` is called on it after each sync.
pub(crate) fn start(
    storage: Storage,
    done: impl Fn(DiskDone) + Send + 'static,
) -> std::io::Result<(SyncSender<DiskJob>, JoinHandle<()>)> {
    let (sender, receiver) = sync_channel(QUEUE_LENGTH);
    let builder = std::thread::Builder::new().name("disk".to_owned());
    let thread = builder.spawn(move || run(storage, &receiver, done))?;
    Ok((sender, thread))
}

fn run(mut storage: Storage, jobs: &Receiver<DiskJob>, done: impl Fn(DiskDone)) {
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        batch.extend(jobs.try_iter());
        match store(&mut storage, batch) {
            Ok(stored) => done(stored),
            Err(error) => {
                // After a failed sync nobody knows what is on the disk: only a new start can tell.
                log::error!("event=storage_failed error=\"{error}\"");
                std::process::exit(3);
            }
        }
    }
}

/// Stores a batch with as few syncs as its snapshots allow.
fn store(storage: &mut Storage, batch: Vec<DiskJob>) -> Result<DiskDone, StorageError> {
    let mut done = DiskDone::default();
    let mut hard_state = None;
    let mut append = Vec::new();
    for job in batch {
        hard_state = job.hard_state.or(hard_state);
        if let Some((snapshot, following)) = job.snapshot {
            storage.store(hard_state.take(), &append)?;
            append.clear();
            storage.store_snapshot(&snapshot, &following)?;
            done.last = Some((snapshot.index, snapshot.term)).max(done.last);
        }
        done.last = job
            .append
            .last()
            .map(|entry| (entry.index, entry.term))
            .or(done.last);
        append.extend(job.append);
        done.messages.extend(job.messages);
    }
    if hard_state.is_some() || !append.is_empty() {
        storage.store(hard_state, &append)?;
    }
    Ok(done)
}
