//! Which worker gets a task.
//!
//! The load that this answers: tasks of many sizes on workers that are nearly full. Among workers
//! that fit, one on the rack of the data comes first, then one that has not failed lately, then the
//! one with the least room left of what the task needs most of, so that large tasks still find room
//! elsewhere.
//!
//! Long-running tasks hold their instance in its pool. They share instances as far as they fit; one
//! that needs an instance of its own takes the emptiest, so that others fit beside it, and none
//! that is about to be evacuated for its maintenance.

use crate::job::Resources;

/// Describes a worker on which a task would fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// What is left of the worker.
    pub free: Resources,
    /// What the worker has in all.
    pub capacity: Resources,
    /// Whether the worker is on the rack that the task asks for; true where it asks for none.
    pub on_preferred_rack: bool,
    /// How many runs in a row have failed there.
    pub recent_failures: u32,
    /// Whether long-running tasks run there.
    pub is_pinned: bool,
    /// Whether the worker's instance is soon to be evacuated for its maintenance.
    pub is_maintenance_due: bool,
}

impl Candidate {
    /// Returns what would be left of the resource that the task takes the larger part of, in
    /// thousandths of the worker.
    fn remaining_millis(&self, needs: &Resources) -> u64 {
        let (free, capacity) = (&self.free, &self.capacity);
        let cpu = part_millis(needs.cpu_millis, capacity.cpu_millis);
        let memory = part_millis(needs.memory_mb, capacity.memory_mb);
        if memory > cpu {
            part_millis(free.memory_mb, capacity.memory_mb).saturating_sub(memory)
        } else {
            part_millis(free.cpu_millis, capacity.cpu_millis).saturating_sub(cpu)
        }
    }
}

/// A whole worker, in thousandths.
const FULL_MILLIS: u64 = 1_000;

fn part_millis(part: u64, whole: u64) -> u64 {
    let millis = (part * FULL_MILLIS).checked_div(whole);
    millis.unwrap_or(0).min(FULL_MILLIS)
}

/// Describes the task that needs a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskRequirements {
    /// What the task takes up.
    pub resources: Resources,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
}

/// Returns the position of the best candidate.
#[must_use]
pub fn best_candidate(candidates: &[Candidate], needs: &TaskRequirements) -> Option<usize> {
    let TaskRequirements {
        resources: needs,
        long_running,
    } = needs;
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.free.can_fit(needs));
    let best = fitting.min_by_key(|(_, candidate)| {
        let remaining_millis = candidate.remaining_millis(needs);
        let takes_emptiest = *long_running && !candidate.is_pinned;
        (
            !candidate.on_preferred_rack,
            candidate.recent_failures,
            *long_running && candidate.is_maintenance_due,
            !candidate.is_pinned,
            if takes_emptiest {
                FULL_MILLIS - remaining_millis
            } else {
                remaining_millis
            },
        )
    });
    best.map(|(position, _)| position)
}
