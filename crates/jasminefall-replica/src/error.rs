//! What can go wrong with the files.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Says what went wrong with the files of a replica, and the remedy.
#[derive(Debug)]
pub enum StorageError {
    /// The operating system refused an operation.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// An earlier operation failed: what is on the disk is not known.
    Failed {
        /// The folder.
        path: PathBuf,
    },
    /// A record in the middle of a file is damaged.
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The position of the damaged record in bytes.
        offset_bytes: u64,
    },
}

impl StorageError {
    /// Returns a function that ties an error of the system to a path.
    pub(crate) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::Io { path, source }
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, source } => write!(
                formatter,
                "{}: {source}; check the disk's space and rights, then start again",
                path.display()
            ),
            Self::Failed { path } => write!(
                formatter,
                "{}: an earlier operation failed; start again so that the files are read anew",
                path.display()
            ),
            Self::Corrupt { path, offset_bytes } => write!(
                formatter,
                "{}: damaged at byte {offset_bytes}; move the data folder away and start again: the replica rejoins as a learner",
                path.display()
            ),
        }
    }
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            Self::Corrupt { .. } | Self::Failed { .. } => None,
        }
    }
}
