//! The files of a replica in one data folder.
//!
//! A `log-N` file holds checksummed records: term and vote, and entries. A `snapshot-N` file holds
//! one record. A new log file begins with each snapshot; older files are then removed. What a call
//! has stored is synced when the call returns.

mod record;

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use crate::entry::{Entry, Snapshot};
use crate::error::StorageError;
use crate::replica::{HardState, Recovered};
use crate::types::LogIndex;
use record::{Record, Tail};

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_NAME: &str = "temporary";

/// Keeps a replica's term, vote, entries and snapshot in files.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    log_path: PathBuf,
    log: File,
    sequence: u64,
    hard_state: HardState,
}

impl Storage {
    /// Opens a data folder, creating it where absent, and returns what it holds.
    ///
    /// A record torn by a crash at the end of the last file is cut off.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Corrupt`] for damage anywhere else, and [`StorageError::Io`] where the
    /// system refuses.
    pub fn open(folder: &Path) -> Result<(Self, Option<Recovered>), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io(folder))?;
        let logs = numbered(folder, LOG_PREFIX)?;
        let mut recovered = Recovered {
            snapshot: newest_snapshot(folder)?,
            ..Recovered::default()
        };
        for (position, sequence) in logs.iter().enumerate() {
            let is_last = position + 1 == logs.len();
            read_log(
                &folder.join(format!("{LOG_PREFIX}{sequence}")),
                is_last,
                &mut recovered,
            )?;
        }
        let snapshot_index = recovered.snapshot.index;
        recovered
            .entries
            .retain(|entry| entry.index > snapshot_index);
        let is_new = logs.is_empty() && snapshot_index == LogIndex(0);
        let sequence = logs.last().copied().unwrap_or(1);
        let log_path = folder.join(format!("{LOG_PREFIX}{sequence}"));
        let log = open_append(&log_path)?;
        sync_folder(folder)?;
        let hard_state = recovered.hard_state;
        let storage = Self {
            folder: folder.to_owned(),
            log_path,
            log,
            sequence,
            hard_state,
        };
        Ok((storage, (!is_new).then_some(recovered)))
    }

    /// Stores a term and vote, then entries, and syncs them once.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`] where the system refuses; the storage must not be used after.
    pub fn store(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state;
            record::write(&mut buffer, &Record::HardState(hard_state));
        }
        for entry in entries {
            record::write(&mut buffer, &Record::Entry(entry.clone()));
        }
        self.log
            .write_all(&buffer)
            .map_err(StorageError::io(&self.log_path))?;
        self.log
            .sync_data()
            .map_err(StorageError::io(&self.log_path))
    }

    /// Stores a snapshot with the entries that follow it, and removes what it replaces.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`] where the system refuses; the storage must not be used after.
    pub fn store_snapshot(
        &mut self,
        snapshot: &Snapshot,
        following: &[Entry],
    ) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        record::write(&mut buffer, &Record::Snapshot(snapshot.clone()));
        let name = format!("{SNAPSHOT_PREFIX}{}", snapshot.index);
        self.write_whole(&name, &buffer)?;
        self.start_log(following)?;
        self.remove_replaced(snapshot.index)
    }

    /// Writes a file under a temporary name, syncs it and gives it its name.
    fn write_whole(&self, name: &str, content: &[u8]) -> Result<(), StorageError> {
        let temporary = self.folder.join(TEMPORARY_NAME);
        let mut file = File::create(&temporary).map_err(StorageError::io(&temporary))?;
        file.write_all(content)
            .map_err(StorageError::io(&temporary))?;
        file.sync_all().map_err(StorageError::io(&temporary))?;
        fs::rename(&temporary, self.folder.join(name)).map_err(StorageError::io(&temporary))?;
        sync_folder(&self.folder)
    }

    fn start_log(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        record::write(&mut buffer, &Record::HardState(self.hard_state));
        for entry in entries {
            record::write(&mut buffer, &Record::Entry(entry.clone()));
        }
        self.sequence += 1;
        let name = format!("{LOG_PREFIX}{}", self.sequence);
        self.write_whole(&name, &buffer)?;
        self.log_path = self.folder.join(name);
        self.log = open_append(&self.log_path)?;
        Ok(())
    }

    fn remove_replaced(&self, snapshot_index: LogIndex) -> Result<(), StorageError> {
        for sequence in numbered(&self.folder, LOG_PREFIX)? {
            if sequence < self.sequence {
                remove(&self.folder.join(format!("{LOG_PREFIX}{sequence}")))?;
            }
        }
        for index in numbered(&self.folder, SNAPSHOT_PREFIX)? {
            if index < snapshot_index.0 {
                remove(&self.folder.join(format!("{SNAPSHOT_PREFIX}{index}")))?;
            }
        }
        sync_folder(&self.folder)
    }
}

fn remove(path: &Path) -> Result<(), StorageError> {
    fs::remove_file(path).map_err(StorageError::io(path))
}

fn open_append(path: &Path) -> Result<File, StorageError> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(StorageError::io(path))
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).map_err(StorageError::io(folder))?;
    opened.sync_all().map_err(StorageError::io(folder))
}

/// Returns the numbers of the files named with a prefix, in order.
fn numbered(folder: &Path, prefix: &str) -> Result<Vec<u64>, StorageError> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder).map_err(StorageError::io(folder))? {
        let name = entry.map_err(StorageError::io(folder))?.file_name();
        let number: Option<u64> = name
            .to_str()
            .and_then(|name| name.strip_prefix(prefix)?.parse().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn read_whole(path: &Path) -> Result<Vec<u8>, StorageError> {
    let mut content = Vec::new();
    let mut file = File::open(path).map_err(StorageError::io(path))?;
    file.read_to_end(&mut content)
        .map_err(StorageError::io(path))?;
    Ok(content)
}

fn newest_snapshot(folder: &Path) -> Result<Snapshot, StorageError> {
    let Some(index) = numbered(folder, SNAPSHOT_PREFIX)?.pop() else {
        return Ok(Snapshot::default());
    };
    let path = folder.join(format!("{SNAPSHOT_PREFIX}{index}"));
    let content = read_whole(&path)?;
    match record::read_all(&content) {
        (records, Tail::Clean) => match records.into_iter().next() {
            Some(Record::Snapshot(snapshot)) => Ok(snapshot),
            _ => Err(StorageError::Corrupt {
                path,
                offset_bytes: 0,
            }),
        },
        (_, Tail::Torn(offset_bytes) | Tail::Corrupt(offset_bytes)) => {
            Err(StorageError::Corrupt { path, offset_bytes })
        }
    }
}

/// Adds the records of one log file to what was recovered so far.
fn read_log(path: &Path, is_last: bool, recovered: &mut Recovered) -> Result<(), StorageError> {
    let content = read_whole(path)?;
    let (records, tail) = record::read_all(&content);
    match tail {
        Tail::Clean => {}
        Tail::Torn(offset_bytes) if is_last => cut(path, offset_bytes)?,
        Tail::Torn(offset_bytes) | Tail::Corrupt(offset_bytes) => {
            return Err(StorageError::Corrupt {
                path: path.to_owned(),
                offset_bytes,
            });
        }
    }
    for record in records {
        match record {
            Record::HardState(hard_state) => recovered.hard_state = hard_state,
            Record::Entry(entry) => {
                let replaced = recovered
                    .entries
                    .partition_point(|held| held.index < entry.index);
                recovered.entries.truncate(replaced);
                recovered.entries.push(entry);
            }
            Record::Snapshot(_) => {}
        }
    }
    Ok(())
}

fn cut(path: &Path, length_bytes: u64) -> Result<(), StorageError> {
    log::warn!(
        "event=log_tail_cut path={} length_bytes={length_bytes}",
        path.display()
    );
    let file = OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(StorageError::io(path))?;
    file.set_len(length_bytes).map_err(StorageError::io(path))?;
    file.sync_all().map_err(StorageError::io(path))
}
