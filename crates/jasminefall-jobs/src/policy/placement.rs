//! Choice of a worker for a task.
//!
//! Tasks of many sizes must fit on nearly full workers. Among the workers with enough free
//! resources, those on the preferred rack come first, then those with the fewest recent failures,
//! then those that long-running tasks pin. The rest is decided by best fit for the task's dominant
//! resource, so that other workers keep room for large tasks.
//!
//! A long-running task pins its instance: the instance cannot leave its pool. Such tasks therefore
//! share instances where they fit. A long-running task that pins a further instance is placed on
//! the emptiest one, so that others fit beside it. It avoids instances that are about to be
//! evacuated for maintenance.

use crate::job::Resources;

/// Describes a worker on which a task would fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The resources that no task on the worker uses.
    pub free: Resources,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is on the task's preferred rack; true for a task without one.
    pub on_preferred_rack: bool,
    /// The number of consecutive failed runs on the worker.
    pub recent_failures: u32,
    /// Whether long-running tasks run on the worker.
    pub is_pinned: bool,
    /// Whether the worker's instance will soon be evacuated for maintenance.
    pub is_maintenance_due: bool,
}

impl Candidate {
    /// Returns how much of the task's dominant resource would stay free, in thousandths of the
    /// worker.
    fn remaining_millis(&self, needs: &Resources) -> u64 {
        let (free, capacity) = (&self.free, &self.capacity);
        let cpu = ratio_millis(needs.cpu_millis, capacity.cpu_millis);
        let memory = ratio_millis(needs.memory_mb, capacity.memory_mb);
        if memory > cpu {
            ratio_millis(free.memory_mb, capacity.memory_mb).saturating_sub(memory)
        } else {
            ratio_millis(free.cpu_millis, capacity.cpu_millis).saturating_sub(cpu)
        }
    }
}

/// The whole of a share, in thousandths.
pub(crate) const FULL_MILLIS: u64 = 1_000;

fn ratio_millis(part: u64, whole: u64) -> u64 {
    let millis = (part * FULL_MILLIS).checked_div(whole);
    millis.unwrap_or(0).min(FULL_MILLIS)
}

/// Describes a task to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskRequirements {
    /// The resources that the task reserves.
    pub resources: Resources,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
}

/// Returns the position of the best candidate, or `None` if the task fits on none.
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
        let prefers_emptiest = *long_running && !candidate.is_pinned;
        (
            !candidate.on_preferred_rack,
            candidate.recent_failures,
            *long_running && candidate.is_maintenance_due,
            !candidate.is_pinned,
            if prefers_emptiest {
                FULL_MILLIS - remaining_millis
            } else {
                remaining_millis
            },
        )
    });
    best.map(|(position, _)| position)
}
