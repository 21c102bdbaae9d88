//! File operations, replaceable so that a test can inject a fault into each of them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Performs an operation on the file or folder at a path.
pub type PathOperation = Box<dyn FnMut(&Path) -> io::Result<()> + Send>;

/// Appends bytes to an open file.
pub type WriteOperation = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;

/// Syncs an open file.
pub type SyncOperation = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// Renames a file.
pub type RenameOperation = Box<dyn FnMut(&Path, &Path) -> io::Result<()> + Send>;

/// Holds the operations that change the disk.
pub struct FileOperations {
    /// Appends bytes to an open file.
    pub write: WriteOperation,
    /// Syncs an open file.
    pub sync: SyncOperation,
    /// Renames a file, replacing the target.
    pub rename: RenameOperation,
    /// Syncs a folder, which makes renames and new files in it durable.
    pub sync_folder: PathOperation,
    /// Removes a file.
    pub remove: PathOperation,
}

impl FileOperations {
    /// Creates the operations of the operating system.
    #[must_use]
    pub fn system() -> Self {
        Self {
            write: Box::new(File::write_all),
            sync: Box::new(File::sync_data),
            rename: Box::new(|from, to| fs::rename(from, to)),
            sync_folder: Box::new(|folder| File::open(folder)?.sync_all()),
            remove: Box::new(|path| fs::remove_file(path)),
        }
    }
}

impl std::fmt::Debug for FileOperations {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FileOperations")
    }
}

/// Opens a file for appending, creating it if absent.
pub(super) fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

/// Returns the numbers in the names of the files with a prefix, in ascending order.
pub(super) fn list_numbered(folder: &Path, prefix: &str) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number: Option<u64> = name
            .to_str()
            .and_then(|name| name.strip_prefix(prefix)?.parse().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}
