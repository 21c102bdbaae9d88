//! Which worker gets a task.
//!
//! The load that this answers: tasks of many sizes on workers that are nearly full. Among workers
//! that fit, one on the rack of the data comes first, then one that has not failed lately, then the
//! one with the least room left of what the task needs most of, so that large tasks still find room
//! elsewhere.
//!
//! Tasks that last hold their instance in its pool. They share instances as far as they fit; one that
//! needs an instance of its own takes the emptiest, so that others fit beside it, and none that is
//! about to be emptied for its maintenance.

use crate::job::Resources;

/// Describes a worker on which a task would fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// What is left of the worker.
    pub free: Resources,
    /// What the worker has in all.
    pub capacity: Resources,
    /// Whether the worker is on the rack that the task asks for; true where it asks for none.
    pub near: bool,
    /// How many runs in a row have failed there.
    pub recent_failures: u32,
    /// Whether tasks that last run there.
    pub is_pinned: bool,
    /// Whether the worker's instance is soon to be emptied for its maintenance.
    pub is_leaving: bool,
}

impl Candidate {
    /// Returns what would be left of the resource that the task takes the larger part of, in
    /// thousandths of the worker.
    fn left_millis(&self, needs: &Resources) -> u64 {
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
const WHOLE_MILLIS: u64 = 1_000;

fn part_millis(part: u64, whole: u64) -> u64 {
    let millis = (part * WHOLE_MILLIS).checked_div(whole);
    millis.unwrap_or(0).min(WHOLE_MILLIS)
}

/// Describes the task that needs a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Needs {
    /// What the task takes up.
    pub room: Resources,
    /// Whether the task runs until its job is cancelled.
    pub lasts: bool,
}

/// Returns the position of the best candidate.
#[must_use]
pub fn choose(candidates: &[Candidate], needs: &Needs) -> Option<usize> {
    let Needs { room: needs, lasts } = needs;
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.free.holds(needs));
    let best = fitting.min_by_key(|(_, candidate)| {
        let left_millis = candidate.left_millis(needs);
        let takes_emptiest = *lasts && !candidate.is_pinned;
        (
            !candidate.near,
            candidate.recent_failures,
            *lasts && candidate.is_leaving,
            !candidate.is_pinned,
            if takes_emptiest {
                WHOLE_MILLIS - left_millis
            } else {
                left_millis
            },
        )
    });
    best.map(|(position, _)| position)
}
