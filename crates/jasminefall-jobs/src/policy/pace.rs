//! At which share of its speed a best-effort task may work.
//!
//! The load that this answers: best-effort tasks slow down the tasks beside them that serve, by
//! amounts that differ by image and change within seconds. The pace is halved while a tail is over
//! its target and given back in small steps once it is well below, so that the target holds and the
//! room is used.

/// The tail, in per cent of its target, above which the pace is lowered.
const LOWER_ABOVE_TAIL_PERCENT: u64 = 90;
/// The tail, in per cent of its target, below which the pace is raised.
const RAISE_BELOW_TAIL_PERCENT: u64 = 65;
/// By how much the pace is raised at once, in per cent of full speed.
const RAISE_STEP_PERCENT: u64 = 15;
/// A pace below this is none at all: a task that hardly works still takes up memory and attention.
const MIN_PACE_PERCENT: u64 = 10;
/// How long a change of pace takes to show in the tails, in milliseconds; they cover half a second.
pub const PACE_SETTLING_MS: u64 = 700;

/// Returns the next pace, given the present one and the worst tail in per cent of its target.
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
