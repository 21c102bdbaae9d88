//! Processor time, memory and traffic of processes, as counted by the kernel.

use std::collections::BTreeMap;
use std::fs;
use std::process::Command;

/// The length of one tick of the kernel's processor time accounting, in milliseconds.
const TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4_096;
/// The index of the user time in `/proc/ID/stat`, counted from the field after the name.
const USER_TICKS_FIELD: usize = 11;
/// The index of the system time, counted likewise.
const SYSTEM_TICKS_FIELD: usize = 12;

/// Holds the resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// The processor time since the start of the process, in milliseconds.
    pub cpu_ms: u64,
    /// The resident memory, in bytes.
    pub memory_bytes: u64,
    /// The number of bytes sent and received on the TCP connections that are open now; closed
    /// connections are not included.
    pub traffic_bytes: u64,
}

impl Usage {
    /// Returns the usage of each process; all zero for a process that does not run.
    #[must_use]
    pub fn of_processes(processes: &[u32]) -> Vec<Self> {
        let traffic = traffic_by_process();
        let usage_of = |process: &u32| {
            let traffic_bytes = traffic.get(process).copied().unwrap_or_default();
            Self {
                traffic_bytes,
                ..Self::of(*process).unwrap_or_default()
            }
        };
        processes.iter().map(usage_of).collect()
    }

    fn of(process: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        let cpu_ms = (ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?) * TICK_MS;
        let statm = fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            cpu_ms,
            memory_bytes: pages * PAGE_BYTES,
            traffic_bytes: 0,
        })
    }
}

/// Returns the traffic of each process's open TCP connections, as listed by `ss`; empty if `ss`
/// cannot be run.
fn traffic_by_process() -> BTreeMap<u32, u64> {
    let mut traffic = BTreeMap::new();
    let Ok(output) = Command::new("ss").args(["-tinpOH"]).output() else {
        return traffic;
    };
    for line in String::from_utf8_lossy(&output.stdout).lines() {
        let Some(process) = number_after(line, "pid=") else {
            continue;
        };
        let sent = number_after(line, "bytes_sent:").unwrap_or_default();
        let received = number_after(line, "bytes_received:").unwrap_or_default();
        if let Ok(process) = u32::try_from(process) {
            *traffic.entry(process).or_default() += sent + received;
        }
    }
    traffic
}

fn number_after(line: &str, label: &str) -> Option<u64> {
    let rest = line.split_once(label)?.1;
    let digits = rest
        .find(|character: char| !character.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..digits].parse().ok()
}
