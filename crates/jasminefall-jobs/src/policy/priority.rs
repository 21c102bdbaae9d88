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

/// Returns the priority of a step among those of its pool; `chain_ms` is the length of the job's longest
/// chain of steps.
#[must_use]
pub fn step_priority(
    urgency: &Urgency,
    spec: &JobSpec,
    position: usize,
    chain_ms: u64,
) -> Priority {
    let stretched_ms = chain_ms.saturating_mul(urgency.stretch_millis) / 1_000;
    let allowed_ms = stretched_ms.saturating_add(urgency.latency_target_ms);
    Priority {
        rank: urgency.rank,
        best_effort: spec.steps[position].best_effort,
        late: false,
        beyond_share: false,
        soft_deadline_ms: urgency.arrived_at_ms.saturating_add(allowed_ms),
    }
}

/// Returns for each step the length of the longest chain of dependent steps that begins with it.
pub fn remaining_chains_ms(spec: &JobSpec, estimate_ms: impl Fn(&StepSpec) -> u64) -> Vec<u64> {
    let mut after_step_ms = vec![0_u64; spec.steps.len()];
    let mut chains_ms = vec![0_u64; spec.steps.len()];
    // A step depends only on earlier ones.
    for (position, step) in spec.steps.iter().enumerate().rev() {
        let chain_ms = after_step_ms[position].saturating_add(estimate_ms(step));
        chains_ms[position] = chain_ms;
        for dependency in &step.after {
            if let Some(after_ms) = after_step_ms.get_mut(usize::from(*dependency)) {
                *after_ms = chain_ms.max(*after_ms);
            }
        }
    }
    chains_ms
}

/// Returns the length of the critical path, the longest chain of dependent steps.
pub fn longest_chain_ms(spec: &JobSpec, estimate_ms: impl Fn(&StepSpec) -> u64) -> u64 {
    let chains_ms = remaining_chains_ms(spec, estimate_ms);
    chains_ms.into_iter().max().unwrap_or(0)
}
