//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Creates the file of the record.
pub fn open(path: &std::path::Path) -> std::io::Result<()> {
    let file = Mutex::new(File::create(path)?);
    let start = Instant::now();
    let _ = RECORD.set(Record { file, start });
    Ok(())
}

/// Appends a line with the time since the start in seconds.
pub fn line(text: impl std::fmt::Display) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", record.start.elapsed().as_secs_f64());
    }
}

/// Returns the milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}
