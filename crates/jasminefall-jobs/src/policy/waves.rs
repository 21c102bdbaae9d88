//! Deferral of maintenance waves.
//!
//! A maintenance wave takes up to a fifth of all instances out of service at once, possibly while
//! the queues need more instances than exist. Most waves have more time than they need, so a wave
//! is deferred during a shortage as long as it can still finish in time.

/// The smallest ratio of the remaining time to the needed time at which a wave may be deferred. It
/// exceeds 1, since an evacuation takes longer if long-running tasks must leave one after the
/// other.
const MIN_TIME_FACTOR: u64 = 2;
/// The assumed time to evacuate an instance, in milliseconds; most tasks end within it.
const EVACUATION_MS: u64 = 2_500;

/// Describes the remaining part of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingWave {
    /// The number of instances that are not maintained yet.
    pub instances: u64,
    /// The most instances that may be down at once; zero counts as one.
    pub max_down: u64,
    /// The time for which maintenance takes an instance out of service.
    pub maintenance_ms: u64,
    /// The time left until the wave must be complete.
    pub time_ms: u64,
}

/// Returns whether a wave that is deferred now can still finish in time.
#[must_use]
pub const fn may_defer(wave: &RemainingWave) -> bool {
    let max_down = if wave.max_down == 0 { 1 } else { wave.max_down };
    let rounds = wave.instances.div_ceil(max_down);
    let needed_ms = rounds * (wave.maintenance_ms + EVACUATION_MS);
    wave.time_ms >= needed_ms * MIN_TIME_FACTOR
}
