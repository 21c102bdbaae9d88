//! Refusal of jobs that would be late.
//!
//! For some seconds, the demand on a pool can be several times its capacity. A job that would wait
//! in the backlog until it is late is refused at once, so that its client can still react. The
//! refusal states the time after which the backlog should be short enough.

use crate::job::{Resources, Work};

/// Describes the load of a pool when a job is submitted to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolLoad {
    /// The capacity that long-running tasks leave to other tasks, including that of instances that
    /// are moving to the pool.
    pub capacity: Resources,
    /// The part of the capacity that no running or waiting task uses.
    pub free: Resources,
    /// The capacity that the instances of the standby pools could add.
    pub reserve: Resources,
    /// The time that instances take to move from a standby pool to this pool.
    pub reserve_after_ms: u64,
    /// The accepted work that is not done.
    pub backlog: Work,
}

/// Describes the resources and the slack of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobDemand {
    /// The total work of the job.
    pub work: Work,
    /// The resources of all tasks that can start at once.
    pub startable: Resources,
    /// The time that the job can wait and still be in time.
    pub slack_ms: u64,
}

/// Describes the load of one workspace in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WorkspaceLoad {
    /// The accepted work of the workspace that is not done.
    pub backlog: Work,
    /// The part of the pool's capacity that the workspace gets while the pool is full.
    pub share: Resources,
}

/// The part of a pool that tasks can fill, in thousandths; the rest is lost to fragmentation.
const PACKABLE_MILLIS: u64 = 900;
/// The longest accepted wait, in thousandths of the slack. It exceeds the slack, since a job that
/// is slightly late keeps part of its value and the forecast is rough.
const LATENESS_TOLERANCE_MILLIS: u64 = 1_500;
/// The shortest time after which a refused client is asked to retry.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// The longest time after which a refused client is asked to retry; no forecast reaches further.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Holds the decision on a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is refused; it should be in time if its client submits it again after the delay.
    RetryAfter {
        /// The delay before the client submits the job again, in milliseconds.
        after_ms: u64,
    },
}

impl PoolLoad {
    /// Returns how long a job that is accepted now waits: the shorter time of the pool alone and
    /// the pool with its reserve.
    const fn wait_ms(&self) -> u64 {
        let without_reserve_ms = drain_ms(&self.backlog, &self.capacity);
        let with_reserve = self.capacity.plus(&self.reserve);
        let with_reserve_ms = self.reserve_after_ms + drain_ms(&self.backlog, &with_reserve);
        if with_reserve_ms < without_reserve_ms {
            with_reserve_ms
        } else {
            without_reserve_ms
        }
    }
}

/// Returns the time that a capacity needs for a backlog, by the resource that takes longest.
const fn drain_ms(backlog: &Work, capacity: &Resources) -> u64 {
    let cpu_ms = resource_drain_ms(backlog.core_ms, capacity.cpu_millis);
    let memory_ms = resource_drain_ms(backlog.memory_mb_s, capacity.memory_mb);
    if cpu_ms > memory_ms {
        cpu_ms
    } else {
        memory_ms
    }
}

const fn resource_drain_ms(backlog: u64, capacity: u64) -> u64 {
    match (backlog, capacity * PACKABLE_MILLIS / 1_000) {
        (0, _) => 0,
        (_, 0) => u64::MAX / 2,
        (backlog, packable) => backlog * 1_000 / packable,
    }
}

/// Decides whether a job is accepted.
///
/// `workspace` is the load of the workspace that the job belongs to, if its share of the pool is kept for
/// it: the job then waits only for the work of its own workspace.
#[must_use]
pub const fn admit(
    load: &PoolLoad,
    workspace: Option<&WorkspaceLoad>,
    job_demand: &JobDemand,
) -> Admission {
    let mut wait_ms = load.wait_ms();
    if let Some(workspace) = workspace {
        let own_wait_ms = drain_ms(&workspace.backlog, &workspace.share);
        if own_wait_ms < wait_ms {
            wait_ms = own_wait_ms;
        }
    }
    let max_wait_ms = job_demand.slack_ms * LATENESS_TOLERANCE_MILLIS / 1_000;
    // A job that can start at once is accepted whatever the forecast is.
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
