//! The note of a clean stop.
//!
//! A process that stops with nothing in progress and nothing lent leaves the version that it acted on
//! in a file. The next process takes the note away before anything else, so that it counts once, and
//! may use its own slots at once if that version is still in force.

#[cfg(test)]
mod tests;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use jasminefall_core::prelude::*;

/// Takes the note away and returns the version in it; without a durable removal it does not count.
pub(crate) fn consume(path: &Path) -> Option<Version> {
    let text = fs::read_to_string(path).ok()?;
    let removed = fs::remove_file(path).and_then(|()| sync_folder(path));
    if let Err(error) = removed {
        log::warn!("event=clean_stop_ignored cause=\"{error}\"");
        return None;
    }
    text.trim().parse().ok()
}

/// Writes the note.
pub(crate) fn write(path: &Path, version: Version) {
    let written = File::create(path).and_then(|mut file| {
        writeln!(file, "{version}")?;
        file.sync_all()
    });
    match written.and_then(|()| sync_folder(path)) {
        Ok(()) => log::info!("event=clean_stop_noted version={version}"),
        Err(error) => log::warn!("event=clean_stop_not_noted cause=\"{error}\""),
    }
}

fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
