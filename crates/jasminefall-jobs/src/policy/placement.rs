//! Which worker gets a task.
//!
//! The load that this answers: tasks of many sizes on workers that are nearly full. Among workers
//! that fit, one on the rack of the data comes first, then one that has not failed lately, then the
//! one with the least room left, so that large tasks still find room elsewhere.

use crate::job::Resources;

/// Describes a worker on which a task would fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// What is left of the worker.
    pub free: Resources,
    /// Whether the worker is on the rack that the task asks for; true where it asks for none.
    pub near: bool,
    /// How many runs in a row have failed there.
    pub recent_failures: u32,
    /// How many tasks of the same step run there.
    pub same_step: u32,
}

/// Returns the position of the best candidate.
#[must_use]
pub fn choose(candidates: &[Candidate], needs: &Resources, spread: bool) -> Option<usize> {
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.free.holds(needs));
    let best = fitting.min_by_key(|(_, candidate)| {
        let beside = if spread { candidate.same_step } else { 0 };
        let left = candidate.free.minus(needs).cpu_millis;
        (!candidate.near, candidate.recent_failures, beside, left)
    });
    best.map(|(position, _)| position)
}
