//! Which step is placed first.
//!
//! The load that this answers: a pool is asked for several times what it holds for some seconds.
//! Within a rank, jobs are taken in the order in which they stop being worth their full value, so
//! that what can still be in time is not held up by what came earlier and has longer to go.

use crate::job::{JobSpec, StepSpec};

/// Sorts steps; the least is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// The rank of the queue; lower ranks come first.
    pub rank: u64,
    /// Whether the tasks fill what others leave, which comes last.
    pub best_effort: bool,
    /// When the job stops being in time, in milliseconds since 1970.
    pub soft_deadline_ms: u64,
}

/// Says how urgent a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// The rank of its queue.
    pub rank: u64,
    /// When it arrived or became due, in milliseconds since 1970.
    pub arrived_at_ms: u64,
    /// The time beyond its stretched chain of work in which it is still in time.
    pub latency_target_ms: u64,
    /// By how much its chain of work may be exceeded, in thousandths.
    pub stretch_millis: u64,
}

/// Returns the place of a step among those of its pool.
#[must_use]
pub fn step_priority(
    urgency: &Urgency,
    spec: &JobSpec,
    position: usize,
    estimate_ms: impl Fn(&StepSpec) -> u64,
) -> Priority {
    let chain_ms = longest_chain_ms(spec, estimate_ms);
    let stretched_ms = chain_ms.saturating_mul(urgency.stretch_millis) / 1_000;
    let allowed_ms = stretched_ms + urgency.latency_target_ms;
    Priority {
        rank: urgency.rank,
        best_effort: spec.steps[position].best_effort,
        soft_deadline_ms: urgency.arrived_at_ms.saturating_add(allowed_ms),
    }
}

/// Returns the longest chain of steps that wait for each other.
pub fn longest_chain_ms(spec: &JobSpec, estimate_ms: impl Fn(&StepSpec) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let dependencies = step
            .after
            .iter()
            .filter_map(|dependency| ends.get(usize::from(*dependency)));
        let starts_at_ms = dependencies.copied().max().unwrap_or(0);
        ends.push(starts_at_ms.saturating_add(estimate_ms(step)));
    }
    ends.into_iter().max().unwrap_or(0)
}
