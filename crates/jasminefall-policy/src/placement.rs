//! Which worker gets a job.

use jasminefall_core::prelude::*;

/// Describes the room that is left on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Room {
    /// The worker.
    pub worker: WorkerId,
    /// The processors left.
    pub cpu_mcores: MilliCores,
    /// The memory left.
    pub memory_bytes: Bytes,
    /// The accelerators left.
    pub accelerators: u64,
}

/// Describes what a job needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Need {
    /// The processors needed.
    pub cpu_mcores: MilliCores,
    /// The memory needed.
    pub memory_bytes: Bytes,
    /// The accelerators needed.
    pub accelerators: u64,
}

impl Room {
    /// Returns whether the need fits into the room.
    #[must_use]
    pub fn fits(&self, need: &Need) -> bool {
        need.cpu_mcores <= self.cpu_mcores
            && need.memory_bytes <= self.memory_bytes
            && need.accelerators <= self.accelerators
    }

    /// Takes the need out of the room.
    pub fn take(&mut self, need: &Need) {
        self.cpu_mcores = self.cpu_mcores.saturating_sub(need.cpu_mcores);
        self.memory_bytes = self.memory_bytes.saturating_sub(need.memory_bytes);
        self.accelerators = self.accelerators.saturating_sub(need.accelerators);
    }
}

/// Returns the worker with the most processors left that the need fits on, and takes the need there.
pub fn place_on_emptiest(rooms: &mut [Room], need: &Need) -> Option<WorkerId> {
    let fitting = rooms.iter_mut().filter(|room| room.fits(need));
    let room = fitting.max_by_key(|room| room.cpu_mcores)?;
    room.take(need);
    Some(room.worker.clone())
}
