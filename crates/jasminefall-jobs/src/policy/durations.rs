//! How long tasks of a kind take, learnt from runs.
//!
//! Clients' estimates are rough, some of them nearly worthless. For each kind a line is fitted to
//! what runs took against what was estimated, so that an estimate counts for as much as it tells.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::QueueKey;
use crate::job::StepSpec;

/// How many runs an unlearnt kind is taken to have had that took just what was estimated.
const PRIOR_WEIGHT_RUNS: f64 = 4.0;
/// By how much every earlier run counts less with each new one.
const DECAY_FACTOR: f64 = 0.995;

/// Names what behaves alike: an image, or the jobs of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StepKind {
    queue: QueueKey,
    image: Option<SmolStr>,
}

impl StepKind {
    /// Creates the kind of a step.
    #[must_use]
    pub fn new(queue: &QueueKey, step: &StepSpec) -> Self {
        Self {
            queue: queue.clone(),
            image: step.image.clone(),
        }
    }
}

/// Sums over the runs of a kind: their weight, and the moments of estimates and durations.
#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    weight: f64,
    estimated: f64,
    took: f64,
    estimated_squared: f64,
    product: f64,
}

/// Learns how long runs take against their estimates.
#[derive(Debug, Clone, Default)]
pub struct DurationEstimator {
    kinds: HashMap<StepKind, Moments>,
}

impl DurationEstimator {
    /// Records how long a run took.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of one run")]
    pub fn record(&mut self, kind: &StepKind, estimated_ms: u64, took_ms: u64) {
        let (estimated, took) = (estimated_ms as f64, took_ms as f64);
        let known = self.kinds.entry(kind.clone()).or_default();
        known.weight = known.weight * DECAY_FACTOR + 1.0;
        known.estimated = known.estimated * DECAY_FACTOR + estimated;
        known.took = known.took * DECAY_FACTOR + took;
        known.estimated_squared = known.estimated_squared * DECAY_FACTOR + estimated * estimated;
        known.product = known.product * DECAY_FACTOR + estimated * took;
    }

    /// Returns how long a task is expected to take.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of one run"
    )]
    pub fn estimate_ms(&self, kind: &StepKind, estimated_ms: u64) -> u64 {
        let estimated = estimated_ms as f64;
        let Some(known) = self.kinds.get(kind) else {
            return estimated_ms;
        };
        let mean_estimated = known.estimated / known.weight;
        let mean_took = known.took / known.weight;
        let variance = known.estimated_squared / known.weight - mean_estimated * mean_estimated;
        let covariance = known.product / known.weight - mean_estimated * mean_took;
        let slope = if variance > 1.0 {
            (covariance / variance).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let learnt = mean_took + slope * (estimated - mean_estimated);
        let trust = known.weight / (known.weight + PRIOR_WEIGHT_RUNS);
        (learnt * trust + estimated * (1.0 - trust)).max(0.0) as u64
    }
}
