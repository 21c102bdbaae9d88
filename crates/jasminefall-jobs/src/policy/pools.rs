//! Number of instances that each pool needs.
//!
//! The queues surge in turn: the demand of a queue rises for some seconds to several times its
//! pool's capacity and then falls to a twentieth. An instance that works for a few seconds earns
//! many times the cost of its moves; an idle instance has a cost unless it is in a standby pool.

use crate::job::{Resources, StepSpec};

/// Describes the instances and the demand of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolDemand {
    /// The instances that are in the pool or moving to it.
    pub instances: usize,
    /// The instances that run long-running tasks and therefore cannot leave the pool.
    pub pinned: usize,
    /// The capacity of one instance: the maximum of each component over the instances of the pool.
    pub instance: Resources,
    /// The resources that long-running tasks reserve.
    pub long_running: Resources,
    /// The additional instances for long-running tasks that fit on no instance of the pool. These
    /// are counted by tasks per instance, since an instance may hold only one or two such large
    /// tasks and leave the rest of its capacity unused.
    pub unplaced_long_running_instances: usize,
    /// The resources of other tasks that run or could start at once.
    pub ready: Resources,
    /// The average resources that arriving work needs.
    pub arriving: Resources,
}

/// Counts the instances of a pool by their use, each once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct InstanceUse {
    /// The instances that tasks other than long-running ones need.
    pub working: u64,
    /// The further instances that long-running tasks pin.
    pub held: u64,
    /// The further instances wanted for arriving or forecast work.
    pub expected: u64,
    /// The surplus instances, which have not left the pool yet.
    pub idle: u64,
}

impl InstanceUse {
    /// Returns the sum of both counts.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            working: self.working + other.working,
            held: self.held + other.held,
            expected: self.expected + other.expected,
            idle: self.idle + other.idle,
        }
    }

    /// Returns the counts multiplied by `count`.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            working: self.working * count,
            held: self.held * count,
            expected: self.expected * count,
            idle: self.idle * count,
        }
    }
}

/// The part of an instance that tasks can fill, in thousandths; the rest is lost to fragmentation.
const PACKABLE_MILLIS: u64 = 850;
/// The fewest instances of a pool that is in use, so that a job can start at once.
const MIN_INSTANCES: usize = 1;

impl PoolDemand {
    /// Adds tasks of a step that run or could start at once.
    pub fn add(&mut self, step: &StepSpec, tasks: u64) {
        let taken = step.reserved().times(tasks);
        if step.long_running {
            self.long_running = self.long_running.plus(&taken);
        } else {
            self.ready = self.ready.plus(&taken);
        }
    }

    /// Adds tasks of a step that could start at once but are not placed.
    pub fn add_waiting(&mut self, step: &StepSpec, tasks: u64) {
        self.add(step, tasks);
        if step.long_running {
            let each = self.instance.fit_count(&step.reserved()).max(1);
            let instances = usize::try_from(tasks.div_ceil(each)).unwrap_or(usize::MAX);
            self.unplaced_long_running_instances = self
                .unplaced_long_running_instances
                .saturating_add(instances);
        }
    }

    /// Returns how many instances the pool needs for its long-running tasks and for other work that
    /// occupies `demand_millis` thousandths of an instance.
    #[must_use]
    pub fn instances_with_demand_millis(&self, demand_millis: u64) -> usize {
        let total_millis = self.millis_for(&self.long_running) + demand_millis;
        usize::try_from(total_millis.div_ceil(1_000)).unwrap_or(usize::MAX)
    }

    /// Returns how many instances the pool needs for its current and arriving work.
    #[must_use]
    pub fn needed_instances(&self) -> usize {
        let work = self
            .ready
            .component_max(&self.arriving)
            .plus(&self.long_running);
        let long_running = self
            .pinned
            .saturating_add(self.unplaced_long_running_instances);
        self.instances_for(&work)
            .max(long_running)
            .max(MIN_INSTANCES)
    }

    /// Returns the use of the pool's instances, with a target size of `wanted` instances.
    #[must_use]
    pub fn instance_use(&self, wanted: usize) -> InstanceUse {
        let mut left = self.instances as u64;
        let mut take = |max: usize| {
            let taken = left.min(max as u64);
            left -= taken;
            taken
        };
        let work = self.instances_for(&self.ready);
        let working = take(work);
        let held = take(self.pinned.saturating_sub(work));
        let expected = take(wanted.saturating_sub(work.max(self.pinned)));
        InstanceUse {
            working,
            held,
            expected,
            idle: left,
        }
    }

    /// Returns how many instances are needed for `taken`, by the resource that needs the most
    /// instances.
    #[must_use]
    pub fn instances_for(&self, taken: &Resources) -> usize {
        usize::try_from(self.millis_for(taken).div_ceil(1_000)).unwrap_or(usize::MAX)
    }

    /// Returns how much of an instance is needed for `taken`, in thousandths; may exceed 1,000.
    #[must_use]
    pub fn millis_for(&self, taken: &Resources) -> u64 {
        let needed_millis = |taken: u64, each: u64| match each * PACKABLE_MILLIS / 1_000 {
            0 => 0,
            each => (taken * 1_000).div_ceil(each),
        };
        let cpu = needed_millis(taken.cpu_millis, self.instance.cpu_millis);
        cpu.max(needed_millis(taken.memory_mb, self.instance.memory_mb))
    }
}

/// Divides `total` instances, those in standby pools included, among pools by their needs.
///
/// If the sum of the needs exceeds `total`, each pool gets a share in proportion to its need.
#[must_use]
pub fn divide_instances(needed: &[usize], total: usize) -> Vec<usize> {
    let wanted: usize = needed.iter().sum();
    if wanted <= total {
        return needed.to_vec();
    }
    let mut shares: Vec<usize> = needed.iter().map(|need| need * total / wanted).collect();
    let mut left = total.saturating_sub(shares.iter().sum());
    // Gives the instances that rounding left over to the pools with the largest shortfall.
    while left > 0 {
        let shortfall = |position: &usize| needed[*position].saturating_sub(shares[*position]);
        let Some(neediest) = (0..needed.len()).max_by_key(shortfall) else {
            break;
        };
        shares[neediest] += 1;
        left -= 1;
    }
    shares
}
