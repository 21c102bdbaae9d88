//! Whether a maintenance wave may wait.
//!
//! The load that this answers: a wave takes up to a fifth of all instances at once while some queue
//! asks for more than there are. A wave has a time in which it is to be done, mostly more than it
//! needs, so it lets the work go first as long as it can still be in time.

/// How many times the time that is needed must be left for a wave to wait; an evacuation takes
/// longer where long-running tasks leave one after the other.
const MIN_TIME_FACTOR: u64 = 2;
/// How long an instance takes to be evacuated, in milliseconds; most tasks end within this time.
const EVACUATION_MS: u64 = 2_500;

/// Describes what is left of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingWave {
    /// How many instances are still to be maintained.
    pub instances: u64,
    /// The most that are down at once.
    pub max_down: u64,
    /// How long an instance is away, in milliseconds.
    pub maintenance_ms: u64,
    /// How much time is left, in milliseconds.
    pub time_ms: u64,
}

/// Returns whether a wave that waits now can still be in time.
#[must_use]
pub const fn may_defer(left: &RemainingWave) -> bool {
    let max_down = if left.max_down == 0 { 1 } else { left.max_down };
    let rounds = left.instances.div_ceil(max_down);
    let needed_ms = rounds * (left.maintenance_ms + EVACUATION_MS);
    left.time_ms >= needed_ms * MIN_TIME_FACTOR
}
