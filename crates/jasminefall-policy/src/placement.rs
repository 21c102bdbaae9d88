//! Selection of a worker for a job.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Holds an amount of processors, memory and accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// The processors, in thousandths of a core.
    pub cpu_mcores: MilliCores,
    /// The memory in bytes.
    pub memory_bytes: Bytes,
    /// The number of accelerators.
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
    /// Returns whether every amount is at most the one in `available`.
    #[must_use]
    pub fn fits_in(&self, available: &Self) -> bool {
        self.cpu_mcores <= available.cpu_mcores
            && self.memory_bytes <= available.memory_bytes
            && self.accelerators <= available.accelerators
    }

    /// Adds `other`, saturating at the largest values.
    pub fn add(&mut self, other: &Self) {
        self.cpu_mcores = self.cpu_mcores.saturating_add(other.cpu_mcores);
        self.memory_bytes = self.memory_bytes.saturating_add(other.memory_bytes);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Subtracts `other`, saturating at zero.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu_mcores = self.cpu_mcores.saturating_sub(other.cpu_mcores);
        self.memory_bytes = self.memory_bytes.saturating_sub(other.memory_bytes);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

/// Describes the free resources and the location of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCapacity {
    /// The identifier of the worker.
    pub worker: WorkerId,
    /// The rack that holds the worker.
    pub rack: RackId,
    /// The data centre that holds the worker.
    pub data_centre: DataCentreId,
    /// The resources that no task holds.
    pub free: Resources,
}

/// Indexes workers by free processors, so that a placement examines only a few of them.
#[derive(Debug, Clone, Default)]
pub struct CapacityIndex {
    workers: Vec<WorkerCapacity>,
    by_cpu: BTreeSet<(MilliCores, usize)>,
    tasks_in_rack: BTreeMap<(SmolStr, RackId), u32>,
    tasks_in_data_centre: BTreeMap<(SmolStr, DataCentreId), u32>,
}

/// The most workers that are compared for one job, not counting those to avoid.
const MAX_CANDIDATES: usize = 16;

impl CapacityIndex {
    /// Creates an index of `workers`.
    #[must_use]
    pub fn new(workers: Vec<WorkerCapacity>) -> Self {
        let by_cpu = workers.iter().enumerate();
        let by_cpu = by_cpu.map(|(position, capacity)| (capacity.free.cpu_mcores, position));
        Self {
            by_cpu: by_cpu.collect(),
            workers,
            tasks_in_rack: BTreeMap::new(),
            tasks_in_data_centre: BTreeMap::new(),
        }
    }

    /// Returns the workers with their free resources.
    #[must_use]
    pub fn workers(&self) -> &[WorkerCapacity] {
        &self.workers
    }

    /// Records that a task of a service or job kind runs in a rack, so that later ones are spread.
    pub fn record_task(&mut self, kind: &SmolStr, rack: &RackId, data_centre: &DataCentreId) {
        let rack = (kind.clone(), rack.clone());
        *self.tasks_in_rack.entry(rack).or_default() += 1;
        let data_centre = (kind.clone(), data_centre.clone());
        *self.tasks_in_data_centre.entry(data_centre).or_default() += 1;
    }

    /// Selects a worker for a job and subtracts `need` from the worker's free resources.
    ///
    /// Among the workers with the most free processors, it selects the one whose data centre, then
    /// rack, runs the fewest tasks of the same kind. Workers in `avoid` are selected last.
    pub fn place(
        &mut self,
        kind: &SmolStr,
        need: &Resources,
        avoid: &[WorkerId],
    ) -> Option<WorkerId> {
        let most_free_first = self.by_cpu.iter().rev();
        let sufficient = most_free_first
            .take_while(|(cpu_mcores, _)| *cpu_mcores >= need.cpu_mcores)
            .filter(|(_, position)| need.fits_in(&self.workers[*position].free));
        let rank = |position: usize| {
            let capacity = &self.workers[position];
            let is_avoided = avoid.contains(&capacity.worker);
            let tasks_in_data_centre = self
                .tasks_in_data_centre
                .get(&(kind.clone(), capacity.data_centre.clone()));
            let tasks_in_rack = self
                .tasks_in_rack
                .get(&(kind.clone(), capacity.rack.clone()));
            (
                is_avoided,
                tasks_in_data_centre.copied(),
                tasks_in_rack.copied(),
            )
        };
        let candidates = sufficient.take(MAX_CANDIDATES + avoid.len());
        let (_, position) = *candidates.min_by_key(|(_, position)| rank(*position))?;
        self.take(position, need);
        let capacity = &self.workers[position];
        let (worker, rack) = (capacity.worker.clone(), capacity.rack.clone());
        let data_centre = capacity.data_centre.clone();
        self.record_task(kind, &rack, &data_centre);
        Some(worker)
    }

    fn take(&mut self, position: usize, need: &Resources) {
        let capacity = &mut self.workers[position];
        self.by_cpu.remove(&(capacity.free.cpu_mcores, position));
        capacity.free.subtract(need);
        self.by_cpu.insert((capacity.free.cpu_mcores, position));
    }
}

/// Selects the first worker that `need` fits on and subtracts it there; a baseline for comparisons.
pub fn place_first_fit(workers: &mut [WorkerCapacity], need: &Resources) -> Option<WorkerId> {
    let capacity = workers
        .iter_mut()
        .find(|capacity| need.fits_in(&capacity.free))?;
    capacity.free.subtract(need);
    Some(capacity.worker.clone())
}
