//! What a job really needs, by kind, from what was seen.
//!
//! Declared sizes are far off. What tasks of the same kind were seen to use replaces them once enough
//! tasks were seen. Memory is set to the most that any was seen to use, with a margin, and the worker
//! holds the task to it; so memory is never overcommitted by a size that was learnt too small.

use std::collections::{BTreeMap, VecDeque};

use jasminefall_core::prelude::*;

use crate::placement::Resources;

/// How many tasks of a kind must have been seen before the declared size is replaced.
pub const MIN_OBSERVED_TASKS: usize = 5;
const MAX_TASKS: usize = 64;
const MAX_KINDS: usize = 1_000;
const MARGIN_PERCENT: u64 = 125;

/// Remembers the peaks of the latest tasks of each kind.
#[derive(Debug, Clone, Default)]
pub struct SizeEstimator {
    peaks: BTreeMap<SmolStr, VecDeque<(JobId, Resources)>>,
}

impl SizeEstimator {
    /// Notes what a task was seen to use; usage comes with a lag, so its peak counts.
    pub fn record_usage(&mut self, kind: &SmolStr, job: JobId, used: &Resources) {
        if !self.peaks.contains_key(kind) && self.peaks.len() >= MAX_KINDS {
            return;
        }
        let peaks = self.peaks.entry(kind.clone()).or_default();
        let Some((_, peak)) = peaks.iter_mut().find(|(known, _)| *known == job) else {
            peaks.push_back((job, *used));
            if peaks.len() > MAX_TASKS {
                peaks.pop_front();
            }
            return;
        };
        peak.cpu_mcores = peak.cpu_mcores.max(used.cpu_mcores);
        peak.memory_bytes = peak.memory_bytes.max(used.memory_bytes);
    }

    /// Returns the size to place a job with.
    ///
    /// `has_failed` says that a task of the job failed before: it then gets the larger of what it
    /// declared and what was learnt, since the learnt size may have been too small.
    #[must_use]
    pub fn estimate(&self, kind: &SmolStr, declared: &Resources, has_failed: bool) -> Resources {
        let Some(learnt) = self.learnt(kind) else {
            return *declared;
        };
        let larger = |learnt: u64, declared: u64| {
            if has_failed {
                learnt.max(declared)
            } else {
                learnt
            }
        };
        Resources {
            cpu_mcores: MilliCores::new(larger(learnt.cpu_mcores.get(), declared.cpu_mcores.get())),
            memory_bytes: Bytes::new(larger(
                learnt.memory_bytes.get(),
                declared.memory_bytes.get(),
            )),
            accelerators: declared.accelerators,
        }
    }

    fn learnt(&self, kind: &SmolStr) -> Option<Resources> {
        let peaks = self
            .peaks
            .get(kind)
            .filter(|peaks| peaks.len() >= MIN_OBSERVED_TASKS)?;
        let with_margin = |most: u64| (most * MARGIN_PERCENT).div_ceil(100);
        let mut cpu: Vec<u64> = peaks
            .iter()
            .map(|(_, peak)| peak.cpu_mcores.get())
            .collect();
        cpu.sort_unstable();
        let cpu = cpu[cpu.len() * 9 / 10];
        let memory = peaks
            .iter()
            .map(|(_, peak)| peak.memory_bytes.get())
            .max()?;
        Some(Resources {
            cpu_mcores: MilliCores::new(with_margin(cpu)),
            memory_bytes: Bytes::new(with_margin(memory)),
            accelerators: 0,
        })
    }
}
