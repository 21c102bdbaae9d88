//! Estimates of task durations, learnt from runs.
//!
//! Clients' estimates are rough, and some hardly correlate with the durations. For each kind of
//! step, a linear regression maps the estimate to the duration, so that an estimate has as much
//! weight as it has predictive value.
//!
//! A step lasts as long as its longest task, which exceeds the mean the more, the more tasks the step has.
//! This excess is learnt as well, in proportion to the logarithm of the number of tasks.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::QueueKey;
use crate::job::StepSpec;

/// The weight of the client's estimate against the learnt one, as a number of runs that took
/// exactly the estimated time.
const PRIOR_WEIGHT_RUNS: f64 = 4.0;
/// The factor by which each new run reduces the weight of all earlier ones.
const DECAY_FACTOR: f64 = 0.995;
/// The factor by which each new step reduces the weight of all earlier ones.
const STEP_DECAY_FACTOR: f64 = 0.98;

/// Identifies steps whose tasks should take similar times: the steps of a queue with the same
/// image, or without one.
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

/// Holds the sums over the runs of a kind that the regression needs, weighted by [`DECAY_FACTOR`].
#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    weight: f64,
    estimated: f64,
    duration: f64,
    estimated_squared: f64,
    product: f64,
    /// The weight of the steps whose longest task is known.
    step_weight: f64,
    /// The excess of the longest task over the estimate, as a ratio to the estimate, divided by the
    /// logarithm of the number of tasks.
    excess: f64,
}

/// Learns the durations of runs from their estimates.
#[derive(Debug, Clone, Default)]
pub struct DurationEstimator {
    kinds: HashMap<StepKind, Moments>,
}

impl DurationEstimator {
    /// Records the client's estimate and the duration of a run.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of one run")]
    pub fn record(&mut self, kind: &StepKind, estimated_ms: u64, duration_ms: u64) {
        let (estimated, duration) = (estimated_ms as f64, duration_ms as f64);
        let moments = self.kinds.entry(kind.clone()).or_default();
        moments.weight = moments.weight * DECAY_FACTOR + 1.0;
        moments.estimated = moments.estimated * DECAY_FACTOR + estimated;
        moments.duration = moments.duration * DECAY_FACTOR + duration;
        moments.estimated_squared =
            moments.estimated_squared * DECAY_FACTOR + estimated * estimated;
        moments.product = moments.product * DECAY_FACTOR + estimated * duration;
    }

    /// Records the duration of the longest task of a step that is done.
    #[expect(
        clippy::cast_precision_loss,
        reason = "milliseconds and tasks of one step"
    )]
    pub fn record_step(&mut self, kind: &StepKind, step: &StepSpec, longest_ms: u64) {
        let expected_ms = self.estimate_ms(kind, step.estimated_ms) as f64;
        if step.tasks < 2 || expected_ms <= 0.0 {
            return;
        }
        let excess = (longest_ms as f64 / expected_ms - 1.0) / f64::from(step.tasks).ln();
        let moments = self.kinds.entry(kind.clone()).or_default();
        moments.step_weight = moments.step_weight * STEP_DECAY_FACTOR + 1.0;
        moments.excess = moments.excess * STEP_DECAY_FACTOR + excess;
    }

    /// Returns the expected duration of a step, which is that of its longest task.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of one step"
    )]
    pub fn estimate_step_ms(&self, kind: &StepKind, step: &StepSpec) -> u64 {
        let task_ms = self.estimate_ms(kind, step.estimated_ms);
        let Some(moments) = self.kinds.get(kind) else {
            return task_ms;
        };
        let excess = moments.excess / (moments.step_weight + PRIOR_WEIGHT_RUNS);
        let factor = 1.0 + excess * f64::from(step.tasks.max(1)).ln();
        (task_ms as f64 * factor.max(1.0)) as u64
    }

    /// Returns the expected duration of a task, given its client's estimate.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of one run"
    )]
    pub fn estimate_ms(&self, kind: &StepKind, estimated_ms: u64) -> u64 {
        let estimated = estimated_ms as f64;
        let Some(moments) = self.kinds.get(kind) else {
            return estimated_ms;
        };
        let mean_estimated = moments.estimated / moments.weight;
        let mean_duration = moments.duration / moments.weight;
        let variance = moments.estimated_squared / moments.weight - mean_estimated * mean_estimated;
        let covariance = moments.product / moments.weight - mean_estimated * mean_duration;
        let slope = if variance > 1.0 {
            (covariance / variance).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let learnt = mean_duration + slope * (estimated - mean_estimated);
        let learnt_weight = moments.weight / (moments.weight + PRIOR_WEIGHT_RUNS);
        (learnt * learnt_weight + estimated * (1.0 - learnt_weight)).max(0.0) as u64
    }
}
