//! Which worker gets a job.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Describes what a job needs, or what is left somewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// The processors.
    pub cpu_mcores: MilliCores,
    /// The memory.
    pub memory_bytes: Bytes,
    /// The accelerators.
    pub accelerators: u64,
}

impl fmt::Display for Resources {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (cpu, memory) = (self.cpu_mcores, self.memory_bytes);
        write!(
            formatter,
            "{cpu}, {memory} and {} accelerators",
            self.accelerators
        )
    }
}

impl Resources {
    /// Returns whether all of it fits into `room`.
    #[must_use]
    pub fn fits_in(&self, room: &Self) -> bool {
        self.cpu_mcores <= room.cpu_mcores
            && self.memory_bytes <= room.memory_bytes
            && self.accelerators <= room.accelerators
    }

    /// Adds another need.
    pub fn add(&mut self, other: &Self) {
        self.cpu_mcores = self.cpu_mcores.saturating_add(other.cpu_mcores);
        self.memory_bytes = self.memory_bytes.saturating_add(other.memory_bytes);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Takes another need away.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu_mcores = self.cpu_mcores.saturating_sub(other.cpu_mcores);
        self.memory_bytes = self.memory_bytes.saturating_sub(other.memory_bytes);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

/// Describes a worker and the room that is left on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCapacity {
    /// The worker.
    pub worker: WorkerId,
    /// The rack that holds the worker.
    pub rack: RackId,
    /// The data centre that holds the worker.
    pub data_centre: DataCentreId,
    /// What is left.
    pub free: Resources,
}

/// Orders the workers by the processors left, so that a placement costs a few steps.
#[derive(Debug, Clone, Default)]
pub struct CapacityIndex {
    rooms: Vec<WorkerCapacity>,
    by_cpu: BTreeSet<(MilliCores, usize)>,
    in_rack: BTreeMap<(SmolStr, RackId), u32>,
    in_data_centre: BTreeMap<(SmolStr, DataCentreId), u32>,
}

/// How many workers with the most room are weighed for one job.
const CANDIDATES: usize = 16;

impl CapacityIndex {
    /// Creates the order of `rooms`.
    #[must_use]
    pub fn new(rooms: Vec<WorkerCapacity>) -> Self {
        let by_cpu = rooms.iter().enumerate();
        let by_cpu = by_cpu.map(|(position, room)| (room.free.cpu_mcores, position));
        Self {
            by_cpu: by_cpu.collect(),
            rooms,
            in_rack: BTreeMap::new(),
            in_data_centre: BTreeMap::new(),
        }
    }

    /// Returns the workers with what is left on each.
    #[must_use]
    pub fn workers(&self) -> &[WorkerCapacity] {
        &self.rooms
    }

    /// Notes that a task of a service or kind runs in a rack, so that others are spread from it.
    pub fn record_task(&mut self, kind: &SmolStr, rack: &RackId, data_centre: &DataCentreId) {
        let rack = (kind.clone(), rack.clone());
        *self.in_rack.entry(rack).or_default() += 1;
        let data_centre = (kind.clone(), data_centre.clone());
        *self.in_data_centre.entry(data_centre).or_default() += 1;
    }

    /// Places a job and takes its need from the worker.
    ///
    /// Of the workers with the most processors left, the one wins whose data centre, then rack, runs
    /// the fewest tasks of the same kind; workers in `avoid` come last.
    pub fn place(
        &mut self,
        kind: &SmolStr,
        need: &Resources,
        avoid: &[WorkerId],
    ) -> Option<WorkerId> {
        let roomiest = self.by_cpu.iter().rev();
        let fitting = roomiest
            .take_while(|(cpu_mcores, _)| *cpu_mcores >= need.cpu_mcores)
            .filter(|(_, position)| need.fits_in(&self.rooms[*position].free));
        let rank = |position: usize| {
            let room = &self.rooms[position];
            let avoided = avoid.contains(&room.worker);
            let in_data_centre = self
                .in_data_centre
                .get(&(kind.clone(), room.data_centre.clone()));
            let in_rack = self.in_rack.get(&(kind.clone(), room.rack.clone()));
            (avoided, in_data_centre.copied(), in_rack.copied())
        };
        let candidates = fitting.take(CANDIDATES + avoid.len());
        let (_, position) = *candidates.min_by_key(|(_, position)| rank(*position))?;
        self.take(position, need);
        let room = &self.rooms[position];
        let (worker, rack) = (room.worker.clone(), room.rack.clone());
        let data_centre = room.data_centre.clone();
        self.record_task(kind, &rack, &data_centre);
        Some(worker)
    }

    fn take(&mut self, position: usize, need: &Resources) {
        let room = &mut self.rooms[position];
        self.by_cpu.remove(&(room.free.cpu_mcores, position));
        room.free.subtract(need);
        self.by_cpu.insert((room.free.cpu_mcores, position));
    }
}

/// Returns the first worker that the need fits on, and takes the need there: the naive baseline.
pub fn place_first_fit(rooms: &mut [WorkerCapacity], need: &Resources) -> Option<WorkerId> {
    let room = rooms.iter_mut().find(|room| need.fits_in(&room.free))?;
    room.free.subtract(need);
    Some(room.worker.clone())
}
