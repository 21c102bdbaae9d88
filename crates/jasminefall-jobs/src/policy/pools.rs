//! How many instances a pool should have.
//!
//! The load that this answers: queues rise in turn to several times what their pools hold, for some
//! seconds, and fall to a twentieth. An instance that works for a few seconds earns many times what
//! its moves cost; one that idles costs as long as its pool is not a standby pool.

/// Describes a pool at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolDemand {
    /// The instances that are in the pool or on their way there.
    pub instances: usize,
    /// The instances that tasks which last must not leave.
    pub pinned: usize,
    /// What one instance holds, in thousandths of a core.
    pub instance_cpu_millis: u64,
    /// What tasks that last take up, in thousandths of a core.
    pub lasting_cpu_millis: u64,
    /// What tasks take up that run or could run at once, in thousandths of a core.
    pub ready_cpu_millis: u64,
    /// The work that arrives, in thousandths of a core.
    pub arriving_cpu_millis: u64,
}

/// The part of an instance that work can be packed onto, in thousandths; the rest is lost to odd
/// sizes.
const PACKED_MILLIS: u64 = 850;
/// The fewest instances of a pool that is in use, so that a job finds one at once.
const FEWEST: usize = 1;

impl PoolDemand {
    /// Returns how many instances the pool needs for what is there and what arrives.
    #[must_use]
    pub fn needed(&self) -> usize {
        let work = self.ready_cpu_millis.max(self.arriving_cpu_millis);
        let held = (self.instance_cpu_millis * PACKED_MILLIS / 1_000).max(1);
        let needed = (work + self.lasting_cpu_millis).div_ceil(held);
        usize::try_from(needed)
            .unwrap_or(usize::MAX)
            .max(self.pinned)
            .max(FEWEST)
    }
}

/// Returns how many instances each pool should have of those that there are, `standby` included.
///
/// Where there are too few for all, each pool gets a share by what it lacks.
#[must_use]
pub fn divide(needed: &[usize], total: usize) -> Vec<usize> {
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
