//! The marker file of a clean stop.
//!
//! A process that stops with no request in progress and no slot lent writes the version of its
//! configuration to the marker file. The next process removes the file before anything else, so
//! that the marker is used only once. It may use its own slots immediately if that version is still
//! in force; otherwise it waits until the requests of earlier processes must have ended.

#[cfg(test)]
mod tests;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use jasminefall_core::prelude::*;

/// Removes the marker and returns its version; returns none if the removal is not durable.
pub(crate) fn consume(path: &Path) -> Option<Version> {
    let text = fs::read_to_string(path).ok()?;
    let removed = fs::remove_file(path).and_then(|()| sync_directory(path));
    if let Err(error) = removed {
        log::warn!("event=clean_stop_ignored cause=\"{error}\"");
        return None;
    }
    text.trim().parse().ok()
}

/// Writes the marker durably.
pub(crate) fn write(path: &Path, version: Version) {
    let written = File::create(path).and_then(|mut file| {
        writeln!(file, "{version}")?;
        file.sync_all()
    });
    match written.and_then(|()| sync_directory(path)) {
        Ok(()) => log::info!("event=clean_stop_recorded version={version}"),
        Err(error) => log::warn!("event=clean_stop_not_recorded cause=\"{error}\""),
    }
}

fn sync_directory(path: &Path) -> io::Result<()> {
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}
