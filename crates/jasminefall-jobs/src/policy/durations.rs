//! How long tasks of a kind take, learnt from runs.
//!
//! Clients' estimates are rough. Where runs of the same queue and position have ended, the ratio of
//! what they took to what was estimated corrects the estimate.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::QueueKey;
use crate::job::StepSpec;

/// The weight of the newest run in the running mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// Names what behaves alike: an image, or a position within the jobs of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StepKind {
    queue: QueueKey,
    image: Option<SmolStr>,
    position: usize,
}

impl StepKind {
    /// Creates the kind of a step.
    #[must_use]
    pub fn new(queue: &QueueKey, step: &StepSpec, position: usize) -> Self {
        Self {
            queue: queue.clone(),
            image: step.image.clone(),
            position,
        }
    }
}

/// Learns by how much runs exceed their estimates.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    ratios: HashMap<StepKind, f64>,
}

impl Durations {
    /// Notes that a run on a sound worker took this long.
    pub fn note(&mut self, kind: &StepKind, estimated_ms: u64, took_ms: u64) {
        if estimated_ms == 0 {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of one run")]
        let ratio = took_ms as f64 / estimated_ms as f64;
        let known = self.ratios.entry(kind.clone()).or_insert(ratio);
        *known += NEWEST_WEIGHT * (ratio - *known);
    }

    /// Returns how long a task is expected to take.
    #[must_use]
    pub fn expect_ms(&self, kind: &StepKind, estimated_ms: u64) -> u64 {
        let ratio = self.ratios.get(kind).copied().unwrap_or(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "milliseconds of one run"
        )]
        let expected_ms = (estimated_ms as f64 * ratio).max(0.0) as u64;
        expected_ms
    }
}
