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
    /// Whether tasks that last run there.
    pub is_pinned: bool,
}

/// Returns the position of the best candidate.
#[must_use]
pub fn choose(candidates: &[Candidate], needs: &Resources) -> Option<usize> {
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.free.holds(needs));
    let best = fitting.min_by_key(|(_, candidate)| {
        let left = candidate.free.minus(needs).cpu_millis;
        (
            !candidate.near,
            candidate.recent_failures,
            !candidate.is_pinned,
            left,
        )
    });
    best.map(|(position, _)| position)
}
