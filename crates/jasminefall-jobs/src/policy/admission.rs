//! Which jobs are refused at once, and when their clients may come back.
//!
//! The load that this answers: for some seconds a pool is asked for several times what it holds. A
//! job that would only wait until it is late is refused while its client can still act on that, and
//! is told when the work before it will have been done.

/// Describes a pool at the moment at which a job asks for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLoad {
    /// What the pool holds in all, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// The work that has been accepted and not done, in core-milliseconds.
    pub backlog_core_ms: u64,
}

/// Describes a job that asks to be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// The work of the job, in core-milliseconds.
    pub work_core_ms: u64,
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

/// Decides whether a job is accepted.
#[must_use]
pub const fn admit(load: &PoolLoad, asked: &Asked) -> Admission {
    let speed_millis = load.capacity_cpu_millis * PACKED_MILLIS / 1_000;
    if speed_millis == 0 {
        return Admission::Accept;
    }
    // Core-milliseconds over cores are milliseconds.
    let wait_ms = load.backlog_core_ms * 1_000 / speed_millis;
    let bearable_ms = asked.slack_ms * TOLERANCE_MILLIS / 1_000;
    if wait_ms <= bearable_ms {
        return Admission::Accept;
    }
    let after_ms = wait_ms - bearable_ms;
    Admission::ComeBack {
        after_ms: if after_ms < SHORTEST_RETURN_MS { SHORTEST_RETURN_MS } else { after_ms },
    }
}
