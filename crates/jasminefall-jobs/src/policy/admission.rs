//! Which jobs are refused at once, and when their clients may come back.
//!
//! The load that this answers: for some seconds a pool is asked for several times what it holds. A
//! job that would only wait until it is late is refused while its client can still act on that, and
//! is told when the work before it will have been done.

/// Describes a pool at the moment at which a job asks for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolLoad {
    /// What the pool holds for work that ends, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// What is free of that at this moment.
    pub free_cpu_millis: u64,
    /// What instances of other pools could add.
    pub reserve_cpu_millis: u64,
    /// How long those take to come, in milliseconds.
    pub reserve_after_ms: u64,
    /// The work that has been accepted and not done, in core-milliseconds.
    pub backlog_core_ms: u64,
}

/// Describes a job that asks to be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// The work of the job, in core-milliseconds.
    pub work_core_ms: u64,
    /// What the tasks take up that can start at once, in thousandths of a core.
    pub first_cpu_millis: u64,
    /// The time beyond its own work that the job can wait and still be in time, in milliseconds.
    pub slack_ms: u64,
}

/// The part of a pool that work can be packed onto, in thousandths; the rest is lost to odd sizes.
const PACKED_MILLIS: u64 = 900;
/// By how much the forecast wait may exceed the slack before a job is refused, in thousandths; a job
/// that is a little late still earns a part, and the forecast is rough.
const TOLERANCE_MILLIS: u64 = 1_500;
/// The shortest time after which a refused client is asked to come back, in milliseconds.
const SHORTEST_RETURN_MS: u64 = 1_000;

/// The longest time after which a refused client is asked to come back, in milliseconds; forecasts
/// reach no further.
const LONGEST_RETURN_MS: u64 = 30_000;

/// Says whether a job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is refused; it should be in time if it comes back after this.
    ComeBack {
        /// The time to wait.
        after_ms: u64,
    },
}

impl PoolLoad {
    /// Returns how long work that is accepted now waits, with and without what others could add.
    const fn wait_ms(&self) -> u64 {
        let alone_ms = drain_ms(self.backlog_core_ms, self.capacity_cpu_millis);
        let more = self.capacity_cpu_millis + self.reserve_cpu_millis;
        let helped_ms = self.reserve_after_ms + drain_ms(self.backlog_core_ms, more);
        if helped_ms < alone_ms {
            helped_ms
        } else {
            alone_ms
        }
    }
}

/// Returns how long a backlog takes; core-milliseconds over cores are milliseconds.
const fn drain_ms(backlog_core_ms: u64, capacity_cpu_millis: u64) -> u64 {
    match capacity_cpu_millis * PACKED_MILLIS / 1_000 {
        0 => u64::MAX / 2,
        speed_millis => backlog_core_ms * 1_000 / speed_millis,
    }
}

/// Decides whether a job is accepted.
#[must_use]
pub const fn admit(load: &PoolLoad, asked: &Asked) -> Admission {
    let wait_ms = load.wait_ms();
    let bearable_ms = asked.slack_ms * TOLERANCE_MILLIS / 1_000;
    // What can start at once is never kept waiting by a forecast.
    if wait_ms <= bearable_ms || load.free_cpu_millis >= asked.first_cpu_millis {
        return Admission::Accept;
    }
    let after_ms = wait_ms - bearable_ms;
    let after_ms = if after_ms < SHORTEST_RETURN_MS {
        SHORTEST_RETURN_MS
    } else {
        after_ms
    };
    Admission::ComeBack {
        after_ms: if after_ms > LONGEST_RETURN_MS {
            LONGEST_RETURN_MS
        } else {
            after_ms
        },
    }
}
