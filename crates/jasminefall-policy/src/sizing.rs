//! Estimates of a job's resource usage, by kind, from the usage of earlier tasks.
//!
//! Declared sizes are often far from the actual usage, so the observed usage of tasks of the same
//! kind replaces them once enough tasks were observed. The processor estimate is the 90th
//! percentile of the observed peaks plus a margin. The memory estimate is the highest observed
//! usage plus a margin. The worker enforces it as a limit, so that an estimate that is too small
//! never overcommits memory.

use std::collections::{BTreeMap, VecDeque};

use jasminefall_core::prelude::*;

use crate::placement::Resources;

/// How many tasks of a kind must have been observed before the estimate replaces the declared size.
pub const MIN_OBSERVED_TASKS: usize = 5;
const MAX_TASKS_PER_KIND: usize = 64;
/// The most kinds with recorded usage; the usage of further kinds is ignored.
const MAX_KINDS: usize = 1_000;
const ESTIMATE_PERCENT_OF_PEAK: u64 = 125;

/// Holds the peak usage of the latest tasks of each kind.
#[derive(Debug, Clone, Default)]
pub struct SizeEstimator {
    peaks: BTreeMap<SmolStr, VecDeque<(JobId, Resources)>>,
}

impl SizeEstimator {
    /// Records an observed usage of a task; only the peak is kept, since reports lag behind the
    /// usage.
    pub fn record_usage(&mut self, kind: &SmolStr, job: JobId, used: &Resources) {
        if !self.peaks.contains_key(kind) && self.peaks.len() >= MAX_KINDS {
            return;
        }
        let peaks = self.peaks.entry(kind.clone()).or_default();
        let Some((_, peak)) = peaks.iter_mut().find(|(known, _)| *known == job) else {
            peaks.push_back((job, *used));
            if peaks.len() > MAX_TASKS_PER_KIND {
                peaks.pop_front();
            }
            return;
        };
        peak.cpu_mcores = peak.cpu_mcores.max(used.cpu_mcores);
        peak.memory_bytes = peak.memory_bytes.max(used.memory_bytes);
    }

    /// Returns the resources to place a job with.
    ///
    /// `has_failed` states that a task of the job failed before. The job then gets the larger of
    /// its declared and learnt size, since the learnt size may have been too small.
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
        let with_margin = |most: u64| (most * ESTIMATE_PERCENT_OF_PEAK).div_ceil(100);
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
