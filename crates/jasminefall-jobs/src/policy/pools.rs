//! How many instances a pool should have.
//!
//! The load that this answers: queues surge in turn to several times what their pools hold, for
//! some seconds, and fall to a twentieth. An instance that works for a few seconds earns many times
//! what its moves cost; one that idles costs as long as its pool is not a standby pool.

use crate::job::{Resources, StepSpec};

/// Describes a pool at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolDemand {
    /// The instances that are in the pool or on their way there.
    pub instances: usize,
    /// The instances that long-running tasks must not leave.
    pub pinned: usize,
    /// What one instance holds.
    pub instance: Resources,
    /// What long-running tasks take up.
    pub long_running: Resources,
    /// The instances that long-running tasks which fit nowhere need of their own; they may be so
    /// large that one instance holds one or two, whatever is left of it.
    pub unplaced_long_running_instances: usize,
    /// What tasks take up that run or could run at once.
    pub ready: Resources,
    /// The work that arrives, as what it takes up on average.
    pub arriving: Resources,
}

/// Says what the instances of a pool are there for, each counted once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct InstanceUse {
    /// As many as tasks that end need.
    pub working: u64,
    /// Beyond these, as many as long-running tasks hold in the pool.
    pub held: u64,
    /// Beyond these, as many as are wanted for what arrives or is forecast.
    pub expected: u64,
    /// The others, which have not been sent away yet.
    pub idle: u64,
}

impl InstanceUse {
    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            working: self.working + other.working,
            held: self.held + other.held,
            expected: self.expected + other.expected,
            idle: self.idle + other.idle,
        }
    }

    /// Returns this many times over.
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

/// The part of an instance that work can be packed onto, in thousandths; the rest is lost to odd
/// sizes.
const PACKABLE_MILLIS: u64 = 850;
/// The fewest instances of a pool that is in use, so that a job finds one at once.
const MIN_INSTANCES: usize = 1;

impl PoolDemand {
    /// Adds tasks of a step that run or could run at once.
    pub fn add(&mut self, step: &StepSpec, tasks: u64) {
        let taken = step.reserved().times(tasks);
        if step.long_running {
            self.long_running = self.long_running.plus(&taken);
        } else {
            self.ready = self.ready.plus(&taken);
        }
    }

    /// Adds tasks of a step that could run at once and wait for a place.
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

    /// Returns how many instances the pool needs for its long-running tasks and for work that keeps
    /// so many at work, in thousandths.
    #[must_use]
    pub fn instances_with_millis(&self, millis: u64) -> usize {
        let all = self.millis_for(&self.long_running) + millis;
        usize::try_from(all.div_ceil(1_000)).unwrap_or(usize::MAX)
    }

    /// Returns how many instances the pool needs for what is there and what arrives.
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

    /// Returns what the instances of the pool are there for, if it should have `wanted`.
    #[must_use]
    pub fn instance_use(&self, wanted: usize) -> InstanceUse {
        let mut left = self.instances as u64;
        let mut take = |most: usize| {
            let taken = left.min(most as u64);
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

    /// Returns how many instances hold this, by whichever of its resources needs most.
    #[must_use]
    pub fn instances_for(&self, taken: &Resources) -> usize {
        usize::try_from(self.millis_for(taken).div_ceil(1_000)).unwrap_or(usize::MAX)
    }

    /// Returns the same in thousandths of an instance.
    #[must_use]
    pub fn millis_for(&self, taken: &Resources) -> u64 {
        let hold = |taken: u64, each: u64| match each * PACKABLE_MILLIS / 1_000 {
            0 => 0,
            each => (taken * 1_000).div_ceil(each),
        };
        let cpu = hold(taken.cpu_millis, self.instance.cpu_millis);
        cpu.max(hold(taken.memory_mb, self.instance.memory_mb))
    }
}

/// Returns how many instances each pool should have of those that there are, `standby` included.
///
/// Where there are too few for all, each pool gets a share by what it lacks.
#[must_use]
pub fn divide_instances(needed: &[usize], total: usize) -> Vec<usize> {
    let wanted: usize = needed.iter().sum();
    if wanted <= total {
        return needed.to_vec();
    }
    let mut given: Vec<usize> = needed.iter().map(|need| need * total / wanted).collect();
    let mut left = total.saturating_sub(given.iter().sum());
    // What rounding left over goes to the pools that lack most.
    while left > 0 {
        let lacks = |position: &usize| needed[*position].saturating_sub(given[*position]);
        let Some(most) = (0..needed.len()).max_by_key(lacks) else {
            break;
        };
        given[most] += 1;
        left -= 1;
    }
    given
}
