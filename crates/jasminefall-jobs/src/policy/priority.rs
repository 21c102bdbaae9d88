//! Order in which steps are placed.
//!
//! For some seconds, the demand on a pool can be several times its capacity. Within a rank, steps
//! are placed by earliest soft deadline, so that a job that can still be in time does not wait for
//! a job that arrived earlier and has more time left. A step that can no longer be done in time has lost
//! most of its value, so it is placed behind those that can; otherwise each late job would make the next
//! one late as well.

use crate::job::{JobSpec, StepSpec};

/// Orders steps; the step with the smallest priority is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// The rank of the queue; lower ranks come first.
    pub rank: u64,
    /// Whether the tasks use only processor time that other tasks leave; such steps come last
    /// within a rank.
    pub best_effort: bool,
    /// Whether the job will be late; such steps come last among those above.
    pub late: bool,
    /// Whether the workspace of the job uses more than its share of the pool, or submitted the job
    /// beyond its rate; such steps come last among those above.
    pub beyond_share: bool,
    /// The time after which the job is late, in milliseconds since 1970.
    pub soft_deadline_ms: u64,
}

/// Describes the parameters of a job from which its soft deadline is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// The rank of its queue.
    pub rank: u64,
    /// When the job arrived or became due, in milliseconds since 1970.
    pub arrived_at_ms: u64,
    /// The time beyond its stretched critical path in which the job is still in time.
    pub latency_target_ms: u64,
    /// The factor that stretches the critical path, in thousandths.
    pub stretch_millis: u64,
}

/// Returns the priority of a step among those of its pool.
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
        late: false,
        beyond_share: false,
        soft_deadline_ms: urgency.arrived_at_ms.saturating_add(allowed_ms),
    }
}

/// Returns the length of the longest chain of steps that begins with the step at `position`.
pub fn remaining_chain_ms(
    spec: &JobSpec,
    position: usize,
    estimate_ms: impl Fn(&StepSpec) -> u64,
) -> u64 {
    let mut ends_ms: Vec<Option<u64>> = vec![None; spec.steps.len()];
    for (index, step) in spec.steps.iter().enumerate().skip(position) {
        let dependencies = step.after.iter().map(|dependency| usize::from(*dependency));
        let starts_at_ms = if index == position {
            Some(0)
        } else {
            dependencies
                .filter_map(|dependency| ends_ms[dependency])
                .max()
        };
        ends_ms[index] =
            starts_at_ms.map(|starts_at_ms| starts_at_ms.saturating_add(estimate_ms(step)));
    }
    ends_ms.into_iter().flatten().max().unwrap_or(0)
}

/// Returns the length of the critical path, the longest chain of dependent steps.
pub fn longest_chain_ms(spec: &JobSpec, estimate_ms: impl Fn(&StepSpec) -> u64) -> u64 {
    let mut step_ends_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let dependencies = step
            .after
            .iter()
            .filter_map(|dependency| step_ends_ms.get(usize::from(*dependency)));
        let starts_at_ms = dependencies.copied().max().unwrap_or(0);
        step_ends_ms.push(starts_at_ms.saturating_add(estimate_ms(step)));
    }
    step_ends_ms.into_iter().max().unwrap_or(0)
}
