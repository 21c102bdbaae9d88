//! Errors of the data folder.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Describes a failure of the files of a replica; the displayed text names the remedy.
#[derive(Debug)]
pub enum StorageError {
    /// The operating system reported an error.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown until a restart.
    Failed {
        /// The data folder.
        path: PathBuf,
    },
    /// A file is damaged other than by a torn write at the end of the log.
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// The position of the damaged frame, in bytes; zero if the damage cannot be located.
        offset_bytes: u64,
    },
}

impl StorageError {
    /// Returns a function that adds a path to an error of the operating system.
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
                "{}: {source}; check free disk space and file permissions, then restart",
                path.display()
            ),
            Self::Failed { path } => write!(
                formatter,
                "{}: an earlier write or sync failed; restart so that the files are read again",
                path.display()
            ),
            Self::Corrupt { path, offset_bytes } => write!(
                formatter,
                "{}: damaged at byte {offset_bytes}; move the data folder away and restart: the replica rejoins as a learner",
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
