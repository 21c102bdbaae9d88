//! Durable storage of a replica in one data folder.
//!
//! A `log-N` file holds checksummed frames with the incarnation, the term and vote, and entries. A
//! `snapshot-N` file holds one frame. Each snapshot starts a new log file that holds all later
//! entries, so only the newest file of each kind is read; older files remain after a crash and are
//! removed. Data is synced when the call that stores it returns.

mod files;
mod record;

use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};

pub use self::files::{
    FileOperations, PathOperation, RenameOperation, SyncOperation, WriteOperation,
};
use self::files::{list_numbered, open_append};
use self::record::{Record, Tail};
use crate::entry::{Entry, Snapshot};
use crate::error::StorageError;
use crate::replica::{HardState, RecoveredState};
use crate::types::{Incarnation, LogIndex};

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_FILE_NAME: &str = "temporary";

/// Persists the incarnation, term, vote, entries and snapshot of a replica.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    operations: FileOperations,
    log_path: PathBuf,
    log: File,
    log_number: u64,
    incarnation: Incarnation,
    hard_state: HardState,
    failed: bool,
}

impl Storage {
    /// Opens a data folder, creating it if absent, and returns the recovered state.
    ///
    /// A new folder gets the incarnation `new_incarnation`, which must be larger than any earlier incarnation of
    /// the replica; milliseconds since 1970 satisfy this. A frame torn by a crash at the end of the
    /// log is truncated.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Corrupt`] for any other damage, and [`StorageError::Io`] for an error of
    /// the operating system.
    pub fn open(
        folder: &Path,
        new_incarnation: Incarnation,
    ) -> Result<(Self, RecoveredState), StorageError> {
        Self::open_with(folder, new_incarnation, FileOperations::system())
    }

    /// Opens a data folder like [`Storage::open`], with replaceable file operations.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Storage::open`].
    pub fn open_with(
        folder: &Path,
        new_incarnation: Incarnation,
        mut operations: FileOperations,
    ) -> Result<(Self, RecoveredState), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io(folder))?;
        let logs = list_numbered(folder, LOG_PREFIX).map_err(StorageError::io(folder))?;
        let Some(log_number) = logs.last().copied() else {
            return Self::create(folder, new_incarnation, operations);
        };
        let log_path = folder.join(format!("{LOG_PREFIX}{log_number}"));
        let recovered = recover(folder, &log_path, &mut operations)?;
        let log = open_append(&log_path).map_err(StorageError::io(&log_path))?;
        // A process that ended between a write and its sync leaves data that a loss of power would take.
        (operations.sync)(&log).map_err(StorageError::io(&log_path))?;
        (operations.sync_folder)(folder).map_err(StorageError::io(folder))?;
        let mut storage = Self {
            folder: folder.to_owned(),
            operations,
            log_path,
            log,
            log_number,
            incarnation: recovered.incarnation,
            hard_state: recovered.hard_state,
            failed: false,
        };
        storage.remove_superseded(recovered.snapshot.index)?;
        Ok((storage, recovered))
    }

    /// Creates the first log file; a folder with a snapshot but no log file is corrupt.
    fn create(
        folder: &Path,
        incarnation: Incarnation,
        operations: FileOperations,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let snapshots = list_numbered(folder, SNAPSHOT_PREFIX).map_err(StorageError::io(folder))?;
        if let Some(index) = snapshots.last() {
            return Err(StorageError::Corrupt {
                path: folder.join(format!("{SNAPSHOT_PREFIX}{index}")),
                offset_bytes: 0,
            });
        }
        let temporary = folder.join(TEMPORARY_FILE_NAME);
        let log = File::create(&temporary).map_err(StorageError::io(&temporary))?;
        let mut storage = Self {
            folder: folder.to_owned(),
            operations,
            log_path: temporary,
            log,
            log_number: 0,
            incarnation,
            hard_state: HardState::default(),
            failed: false,
        };
        storage.start_log_file(LogIndex(0), &[])?;
        let recovered = RecoveredState {
            incarnation,
            ..RecoveredState::default()
        };
        Ok((storage, recovered))
    }

    /// Stores a term and vote and entries with a single sync.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`] for an error of the operating system, and [`StorageError::Failed`]
    /// for every later call, because the content of the disk is unknown until the folder is reopened.
    pub fn store(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        let records = hard_state.map(Record::HardState).into_iter();
        let entries = entries.iter().cloned().map(Record::Entry);
        let records: Vec<_> = records.chain(entries).collect();
        self.run_unless_failed(|storage| storage.append(&record::encode_frame(&records)))
    }

    /// Stores a snapshot with all entries after it, and removes the superseded files.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Storage::store`].
    pub fn store_snapshot(
        &mut self,
        snapshot: &Snapshot,
        following: &[Entry],
    ) -> Result<(), StorageError> {
        let frame = record::encode_frame(&[Record::Snapshot(snapshot.clone())]);
        let name = format!("{SNAPSHOT_PREFIX}{}", snapshot.index);
        self.run_unless_failed(|storage| {
            storage.write_atomically(&name, &frame)?;
            storage.start_log_file(snapshot.index, following)?;
            storage.remove_superseded(snapshot.index)
        })
    }

    /// Runs an operation unless an earlier one has failed.
    fn run_unless_failed(
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

    /// Writes and syncs a temporary file, renames it to `name` and syncs the folder.
    fn write_atomically(&mut self, name: &str, content: &[u8]) -> Result<(), StorageError> {
        let temporary = self.folder.join(TEMPORARY_FILE_NAME);
        let operations = &mut self.operations;
        let mut file = File::create(&temporary).map_err(StorageError::io(&temporary))?;
        (operations.write)(&mut file, content)
            .and_then(|()| (operations.sync)(&file))
            .and_then(|()| (operations.rename)(&temporary, &self.folder.join(name)))
            .map_err(StorageError::io(&temporary))?;
        (operations.sync_folder)(&self.folder).map_err(StorageError::io(&self.folder))
    }

    /// Starts the next log file, holding the entries after the snapshot.
    fn start_log_file(
        &mut self,
        snapshot: LogIndex,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let start = Record::Start(self.incarnation, snapshot);
        let state = Record::HardState(self.hard_state);
        let entries = entries.iter().cloned().map(Record::Entry);
        let records: Vec<_> = [start, state].into_iter().chain(entries).collect();
        self.log_number += 1;
        let name = format!("{LOG_PREFIX}{}", self.log_number);
        self.write_atomically(&name, &record::encode_frame(&records))?;
        self.log_path = self.folder.join(name);
        self.log = open_append(&self.log_path).map_err(StorageError::io(&self.log_path))?;
        Ok(())
    }

    /// Removes log files older than the current one and snapshots older than `snapshot`.
    fn remove_superseded(&mut self, snapshot: LogIndex) -> Result<(), StorageError> {
        let newest = [(LOG_PREFIX, self.log_number), (SNAPSHOT_PREFIX, snapshot.0)];
        for (prefix, kept) in newest {
            let numbers =
                list_numbered(&self.folder, prefix).map_err(StorageError::io(&self.folder))?;
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
/// A crash between writing the two leaves a snapshot next to a log file that starts before it.
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
    let Some(Record::Start(incarnation, base_index)) = records.next() else {
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
                let last = recovered
                    .entries
                    .last()
                    .map_or(base_index, |last| last.index);
                if entry.index > last.next() || entry.index <= base_index {
                    return Err(corrupt());
                }
                let kept = usize::try_from(entry.index.0 - base_index.0 - 1).unwrap_or(usize::MAX);
                recovered.entries.truncate(kept);
                recovered.entries.push(entry);
            }
            Record::Snapshot(_) | Record::Start(..) => return Err(corrupt()),
        }
    }
    if base_index > recovered.snapshot.index {
        return Err(corrupt());
    }
    if base_index < recovered.snapshot.index {
        remove_covered_entries(&mut recovered);
    }
    Ok(recovered)
}

/// Removes the entries that the snapshot covers, or all entries if the log does not match it.
fn remove_covered_entries(recovered: &mut RecoveredState) {
    let (index, term) = (recovered.snapshot.index, recovered.snapshot.term);
    let matches_snapshot = |entry: &Entry| (entry.index, entry.term) == (index, term);
    if recovered.entries.iter().any(matches_snapshot) {
        recovered.entries.retain(|entry| entry.index > index);
    } else {
        recovered.entries.clear();
    }
}

fn newest_snapshot(folder: &Path) -> Result<Snapshot, StorageError> {
    let snapshots = list_numbered(folder, SNAPSHOT_PREFIX).map_err(StorageError::io(folder))?;
    let Some(index) = snapshots.last() else {
        return Ok(Snapshot::default());
    };
    let path = folder.join(format!("{SNAPSHOT_PREFIX}{index}"));
    let content = fs::read(&path).map_err(StorageError::io(&path))?;
    let (records, tail) = record::decode_frames(&content);
    let offset_bytes = match tail {
        Tail::Clean => 0,
        Tail::Torn(offset_bytes) | Tail::Corrupt(offset_bytes) => offset_bytes,
    };
    match (records.into_iter().next(), tail) {
        (Some(Record::Snapshot(snapshot)), Tail::Clean) => Ok(snapshot),
        _ => Err(StorageError::Corrupt { path, offset_bytes }),
    }
}

/// Reads the records of a log file and truncates a torn tail.
fn read_log(path: &Path, operations: &mut FileOperations) -> Result<Vec<Record>, StorageError> {
    let content = fs::read(path).map_err(StorageError::io(path))?;
    let (records, tail) = record::decode_frames(&content);
    match tail {
        Tail::Clean => {}
        // The first frame cannot be torn, because it was synced before the file was renamed to its
        // final name.
        Tail::Torn(offset_bytes) if offset_bytes > 0 => {
            truncate_file(path, offset_bytes, operations)?;
        }
        Tail::Torn(offset_bytes) | Tail::Corrupt(offset_bytes) => {
            return Err(StorageError::Corrupt {
                path: path.to_owned(),
                offset_bytes,
            });
        }
    }
    Ok(records)
}

fn truncate_file(
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
