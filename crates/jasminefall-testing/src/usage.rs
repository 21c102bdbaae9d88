//! What a process costs, as the kernel counts it.

use std::fs;

/// The length of one tick of the kernel's processor accounting, in milliseconds.
const TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4_096;
/// The positions of fields in `/proc/ID/stat` after the name in parentheses.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Holds what a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// The processor time in milliseconds.
    pub cpu_ms: u64,
    /// The resident memory in bytes.
    pub memory_bytes: u64,
}

impl Usage {
    /// Returns what a process has used; none where it does not run.
    #[must_use]
    pub fn of(process: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        let cpu_ms = (ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?) * TICK_MS;
        let statm = fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            cpu_ms,
            memory_bytes: pages * PAGE_BYTES,
        })
    }
}
