//! The files of a replica in one data folder.
//!
//! A `log-N` file holds checksummed frames: the incarnation, term and vote, and entries. A
//! `snapshot-N` file holds one frame. A new log file begins with each snapshot and holds all that
//! follows it, so only the newest of each is read; older files are left-overs of a crash and are
//! removed. What a call has stored is synced when the call returns.

mod files;
mod record;

use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};

pub use self::files::{
    FileOperations, PathOperation, RenameOperation, SyncOperation, WriteOperation,
};
use self::files::{numbered, open_append};
use self::record::{Record, Tail};
use crate::entry::{Entry, Snapshot};
use crate::error::StorageError;
use crate::replica::{HardState, RecoveredState};
use crate::types::{Incarnation, LogIndex};

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_NAME: &str = "temporary";

/// Keeps a replica's incarnation, term, vote, entries and snapshot in files.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    operations: FileOperations,
    log_path: PathBuf,
    log: File,
    sequence: u64,
    incarnation: Incarnation,
    hard_state: HardState,
    failed: bool,
}

impl Storage {
    /// Opens a data folder, creating it where absent, and returns what it holds.
    ///
    /// A new folder belongs to the incarnation `new`, which must be larger than any that the replica
    /// had before; milliseconds since 1970 will do. A frame torn by a crash at the end of the log is
    /// cut off.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Corrupt`] for damage anywhere else, and [`StorageError::Io`] where the
    /// system refuses.
    pub fn open(folder: &Path, new: Incarnation) -> Result<(Self, RecoveredState), StorageError> {
        Self::open_with(folder, new, FileOperations::system())
    }

    /// Opens a data folder as [`Storage::open`] does, with other operations on files.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Storage::open`].
    pub fn open_with(
        folder: &Path,
        new: Incarnation,
        mut operations: FileOperations,
    ) -> Result<(Self, RecoveredState), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io(folder))?;
        let logs = numbered(folder, LOG_PREFIX).map_err(StorageError::io(folder))?;
        let Some(sequence) = logs.last().copied() else {
            return Self::create(folder, new, operations);
        };
        let log_path = folder.join(format!("{LOG_PREFIX}{sequence}"));
        let recovered = recover(folder, &log_path, &mut operations)?;
        let log = open_append(&log_path).map_err(StorageError::io(&log_path))?;
        let mut storage = Self {
            folder: folder.to_owned(),
            operations,
            log_path,
            log,
            sequence,
            incarnation: recovered.incarnation,
            hard_state: recovered.hard_state,
            failed: false,
        };
        storage.remove_replaced(recovered.snapshot.index)?;
        Ok((storage, recovered))
    }

    /// Creates the first log of a folder, refusing one whose log is gone but not its snapshot.
    fn create(
        folder: &Path,
        incarnation: Incarnation,
        operations: FileOperations,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let snapshots = numbered(folder, SNAPSHOT_PREFIX).map_err(StorageError::io(folder))?;
        if let Some(index) = snapshots.last() {
            return Err(StorageError::Corrupt {
                path: folder.join(format!("{SNAPSHOT_PREFIX}{index}")),
                offset_bytes: 0,
            });
        }
        let temporary = folder.join(TEMPORARY_NAME);
        let log = File::create(&temporary).map_err(StorageError::io(&temporary))?;
        let mut storage = Self {
            folder: folder.to_owned(),
            operations,
            log_path: temporary,
            log,
            sequence: 0,
            incarnation,
            hard_state: HardState::default(),
            failed: false,
        };
        storage.start_log(LogIndex(0), &[])?;
        let recovered = RecoveredState {
            incarnation,
            ..RecoveredState::default()
        };
        Ok((storage, recovered))
    }

    /// Stores a term and vote and entries, and syncs them once.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`] where the system refuses, and [`StorageError::Failed`] ever after:
    /// nobody knows then what is on the disk before the folder is opened again.
    pub fn store(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        let records = hard_state.map(Record::HardState).into_iter();
        let entries = entries.iter().cloned().map(Record::Entry);
        let records: Vec<_> = records.chain(entries).collect();
        self.guard(|storage| storage.append(&record::frame(&records)))
    }

    /// Stores a snapshot with all entries that follow it, and removes what it replaces.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Storage::store`].
    pub fn store_snapshot(
        &mut self,
        snapshot: &Snapshot,
        following: &[Entry],
    ) -> Result<(), StorageError> {
        let frame = record::frame(&[Record::Snapshot(snapshot.clone())]);
        let name = format!("{SNAPSHOT_PREFIX}{}", snapshot.index);
        self.guard(|storage| {
            storage.write_whole(&name, &frame)?;
            storage.start_log(snapshot.index, following)?;
            storage.remove_replaced(snapshot.index)
        })
    }

    /// Runs an operation unless an earlier one has failed.
    fn guard(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed {
                path: self.folder.clone(),
            });
        }
        let result = operation(self);
        self.failed = result.is_err();
        result
    }

    fn append(&mut self, frame: &[u8]) -> Result<(), StorageError> {
        let operations = &mut self.operations;
        let written = (operations.write)(&mut self.log, frame);
        written
            .and_then(|()| (operations.sync)(&self.log))
            .map_err(StorageError::io(&self.log_path))
    }

    /// Writes a file under a temporary name, syncs it and gives it its name.
    fn write_whole(&mut self, name: &str, content: &[u8]) -> Result<(), StorageError> {
        let temporary = self.folder.join(TEMPORARY_NAME);
        let operations = &mut self.operations;
        let mut file = File::create(&temporary).map_err(StorageError::io(&temporary))?;
        (operations.write)(&mut file, content)
            .and_then(|()| (operations.sync)(&file))
            .and_then(|()| (operations.rename)(&temporary, &self.folder.join(name)))
            .map_err(StorageError::io(&temporary))?;
        (operations.sync_folder)(&self.folder).map_err(StorageError::io(&self.folder))
    }

    fn start_log(&mut self, snapshot: LogIndex, entries: &[Entry]) -> Result<(), StorageError> {
        let start = Record::Start(self.incarnation, snapshot);
        let state = Record::HardState(self.hard_state);
        let entries = entries.iter().cloned().map(Record::Entry);
        let records: Vec<_> = [start, state].into_iter().chain(entries).collect();
        self.sequence += 1;
        let name = format!("{LOG_PREFIX}{}", self.sequence);
        self.write_whole(&name, &record::frame(&records))?;
        self.log_path = self.folder.join(name);
        self.log = open_append(&self.log_path).map_err(StorageError::io(&self.log_path))?;
        Ok(())
    }

    /// Removes the log files before the current one and the snapshots before this one.
    fn remove_replaced(&mut self, snapshot: LogIndex) -> Result<(), StorageError> {
        let old = [(LOG_PREFIX, self.sequence), (SNAPSHOT_PREFIX, snapshot.0)];
        for (prefix, kept) in old {
            let numbers = numbered(&self.folder, prefix).map_err(StorageError::io(&self.folder))?;
            for number in numbers.into_iter().filter(|number| *number < kept) {
                let path = self.folder.join(format!("{prefix}{number}"));
                (self.operations.remove)(&path).map_err(StorageError::io(&path))?;
            }
        }
        Ok(())
    }
}

/// Reads the newest snapshot and the newest log file.
///
/// A crash between the two leaves a snapshot beside a log that begins before it.
fn recover(
    folder: &Path,
    log_path: &Path,
    operations: &mut FileOperations,
) -> Result<RecoveredState, StorageError> {
    let corrupt = || StorageError::Corrupt {
        path: log_path.to_owned(),
        offset_bytes: 0,
    };
    let snapshot = newest_snapshot(folder)?;
    let mut records = read_log(log_path, operations)?.into_iter();
    let Some(Record::Start(incarnation, follows)) = records.next() else {
        return Err(corrupt());
    };
    let mut recovered = RecoveredState {
        incarnation,
        snapshot,
        ..RecoveredState::default()
    };
    for record in records {
        match record {
            Record::HardState(hard_state) => recovered.hard_state = hard_state,
            Record::Entry(entry) => {
                let last = recovered.entries.last().map_or(follows, |last| last.index);
                if entry.index > last.next() || entry.index <= follows {
                    return Err(corrupt());
                }
                let kept = usize::try_from(entry.index.0 - follows.0 - 1).unwrap_or(usize::MAX);
                recovered.entries.truncate(kept);
                recovered.entries.push(entry);
            }
            Record::Snapshot(_) | Record::Start(..) => return Err(corrupt()),
        }
    }
    if follows > recovered.snapshot.index {
        return Err(corrupt());
    }
    if follows < recovered.snapshot.index {
        drop_covered(&mut recovered);
    }
    Ok(recovered)
}

/// Drops the entries that the snapshot covers, and all of them where they contradict it.
fn drop_covered(recovered: &mut RecoveredState) {
    let (index, term) = (recovered.snapshot.index, recovered.snapshot.term);
    let agrees = |entry: &Entry| (entry.index, entry.term) == (index, term);
    if recovered.entries.iter().any(agrees) {
        recovered.entries.retain(|entry| entry.index > index);
    } else {
        recovered.entries.clear();
    }
}

fn newest_snapshot(folder: &Path) -> Result<Snapshot, StorageError> {
    let snapshots = numbered(folder, SNAPSHOT_PREFIX).map_err(StorageError::io(folder))?;
    let Some(index) = snapshots.last() else {
        return Ok(Snapshot::default());
    };
    let path = folder.join(format!("{SNAPSHOT_PREFIX}{index}"));
    let content = fs::read(&path).map_err(StorageError::io(&path))?;
    let (records, tail) = record::read_all(&content);
    let offset_bytes = match tail {
        Tail::Clean => 0,
        Tail::Torn(offset_bytes) | Tail::Corrupt(offset_bytes) => offset_bytes,
    };
    match (records.into_iter().next(), tail) {
        (Some(Record::Snapshot(snapshot)), Tail::Clean) => Ok(snapshot),
        _ => Err(StorageError::Corrupt { path, offset_bytes }),
    }
}

/// Reads the records of a log file and cuts off a torn tail.
fn read_log(path: &Path, operations: &mut FileOperations) -> Result<Vec<Record>, StorageError> {
    let content = fs::read(path).map_err(StorageError::io(path))?;
    let (records, tail) = record::read_all(&content);
    match tail {
        Tail::Clean => {}
        // The first frame was there before the file got its name.
        Tail::Torn(offset_bytes) if offset_bytes > 0 => cut(path, offset_bytes, operations)?,
        Tail::Torn(offset_bytes) | Tail::Corrupt(offset_bytes) => {
            return Err(StorageError::Corrupt {
                path: path.to_owned(),
                offset_bytes,
            });
        }
    }
    Ok(records)
}

fn cut(
    path: &Path,
    length_bytes: u64,
    operations: &mut FileOperations,
) -> Result<(), StorageError> {
    log::warn!(
        "event=log_tail_cut path={} length_bytes={length_bytes}",
        path.display()
    );
    let file = OpenOptions::new().write(true).open(path);
    file.and_then(|file| {
        file.set_len(length_bytes)?;
        (operations.sync)(&file)
    })
    .map_err(StorageError::io(path))
}
