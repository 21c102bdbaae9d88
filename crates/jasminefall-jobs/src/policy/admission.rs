//! Which jobs are refused at once, and when their clients may come back.
//!
//! The load that this answers: for some seconds a pool is asked for several times what it holds. A
//! job that would only wait until it is late is refused while its client can still act on that, and
//! is told when the work before it will have been done.

use crate::job::{Resources, Work};

/// Describes a pool at the moment at which a job asks for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolLoad {
    /// What the pool holds for work that ends.
    pub capacity: Resources,
    /// What is free of that at this moment.
    pub free: Resources,
    /// What instances of other pools could add.
    pub reserve: Resources,
    /// How long those take to come, in milliseconds.
    pub reserve_after_ms: u64,
    /// The work that has been accepted and not done.
    pub backlog: Work,
}

/// Describes a job that asks to be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobDemand {
    /// The work of the job.
    pub work: Work,
    /// What the tasks take up that can start at once.
    pub startable: Resources,
    /// The time beyond its own work that the job can wait and still be in time, in milliseconds.
    pub slack_ms: u64,
}

/// The part of a pool that work can be packed onto, in thousandths; the rest is lost to odd sizes.
const PACKABLE_MILLIS: u64 = 900;
/// By how much the forecast wait may exceed the slack before a job is refused, in thousandths; a job
/// that is a little late still earns a part, and the forecast is rough.
const LATENESS_TOLERANCE_MILLIS: u64 = 1_500;
/// The shortest time after which a refused client is asked to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// The longest time after which a refused client is asked to come back, in milliseconds; forecasts
/// reach no further.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Says whether a job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is refused; it should be in time if it comes back after this.
    RetryAfter {
        /// The time to wait.
        after_ms: u64,
    },
}

impl PoolLoad {
    /// Returns how long work that is accepted now waits, with and without what others could add.
    const fn wait_ms(&self) -> u64 {
        let own_capacity_ms = drain_ms(&self.backlog, &self.capacity);
        let more = self.capacity.plus(&self.reserve);
        let with_reserve_ms = self.reserve_after_ms + drain_ms(&self.backlog, &more);
        if with_reserve_ms < own_capacity_ms {
            with_reserve_ms
        } else {
            own_capacity_ms
        }
    }
}

/// Returns how long a backlog takes, by whichever resource takes longest.
const fn drain_ms(backlog: &Work, capacity: &Resources) -> u64 {
    let cpu_ms = drain_one_ms(backlog.core_ms, capacity.cpu_millis);
    let memory_ms = drain_one_ms(backlog.memory_mb_s, capacity.memory_mb);
    if cpu_ms > memory_ms {
        cpu_ms
    } else {
        memory_ms
    }
}

const fn drain_one_ms(backlog: u64, capacity: u64) -> u64 {
    match (backlog, capacity * PACKABLE_MILLIS / 1_000) {
        (0, _) => 0,
        (_, 0) => u64::MAX / 2,
        (backlog, speed) => backlog * 1_000 / speed,
    }
}

/// Decides whether a job is accepted.
#[must_use]
pub const fn admit(load: &PoolLoad, job_demand: &JobDemand) -> Admission {
    let wait_ms = load.wait_ms();
    let max_wait_ms = job_demand.slack_ms * LATENESS_TOLERANCE_MILLIS / 1_000;
    // What can start at once is never kept waiting by a forecast.
    if wait_ms <= max_wait_ms || load.free.can_fit(&job_demand.startable) {
        return Admission::Accept;
    }
    let after_ms = wait_ms - max_wait_ms;
    let after_ms = if after_ms < MIN_RETRY_AFTER_MS {
        MIN_RETRY_AFTER_MS
    } else {
        after_ms
    };
    Admission::RetryAfter {
        after_ms: if after_ms > MAX_RETRY_AFTER_MS {
            MAX_RETRY_AFTER_MS
        } else {
            after_ms
        },
    }
}
