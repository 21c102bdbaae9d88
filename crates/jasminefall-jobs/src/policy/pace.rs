//! CPU throttling of best-effort tasks.
//!
//! Best-effort tasks slow down latency-sensitive tasks on the same worker. The slowdown differs by
//! image and changes within seconds. The pace is halved while a tail latency is near or over its
//! target and raised in small steps once it is well below, so that the target holds and free
//! processor time is used.

/// The tail latency, in percent of its target, above which the pace is halved.
const LOWER_ABOVE_TAIL_PERCENT: u64 = 90;
/// The tail latency, in percent of its target, below which the pace is raised.
const RAISE_BELOW_TAIL_PERCENT: u64 = 65;
/// The increase of the pace in one step, in percent of full speed.
const RAISE_STEP_PERCENT: u64 = 15;
/// The lowest pace above 0. A task whose pace would be lower is paused, since it would do little
/// work but still occupy memory and need control.
const MIN_PACE_PERCENT: u64 = 10;
/// The time until the reported tail latencies reflect a change of pace, in milliseconds; each
/// report covers half a second.
pub const PACE_SETTLING_MS: u64 = 700;

/// Returns the next pace, given the current pace and the worst tail latency in percent of its
/// target.
#[must_use]
pub const fn next_pace_percent(percent: u64, worst_tail_percent: u64) -> u64 {
    if worst_tail_percent > LOWER_ABOVE_TAIL_PERCENT {
        let halved = percent / 2;
        return if halved < MIN_PACE_PERCENT { 0 } else { halved };
    }
    if worst_tail_percent < RAISE_BELOW_TAIL_PERCENT {
        let raised = percent + RAISE_STEP_PERCENT;
        return if raised > 100 { 100 } else { raised };
    }
    percent
}
