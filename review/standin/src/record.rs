//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Collects the lines of `record.txt`.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt is writable");
        Self {
            start: Instant::now(),
            file: Mutex::new(file),
        }
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(
            file,
            "{:>3}.{:03} {}",
            ms / 1_000,
            ms % 1_000,
            text.as_ref()
        );
    }

    /// Writes one line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Returns the wall clock in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
