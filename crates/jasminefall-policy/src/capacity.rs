//! How many instances a pool needs, how much spare a site holds, and what is borrowed for a wave.

use jasminefall_core::prelude::*;

/// Weighs what a roll-out and the spare capacity cost against each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CostWeights {
    /// What one more round of a wave costs.
    pub rollout_time: u64,
    /// What one move of an instance costs.
    pub moves: u64,
}

/// Returns how many spare instances a pool borrows before a wave.
///
/// A borrowed instance lets one more be out of service at once, which saves rounds, and costs two
/// moves, there and back. Of equal costs the fewest moves are taken.
#[must_use]
pub fn borrow_for_wave(pending: u64, headroom: u64, spare: u64, weights: CostWeights) -> u64 {
    let cost = |borrowed: u64| {
        let at_once = headroom + borrowed;
        let rounds = if at_once == 0 {
            u64::MAX / 4
        } else {
            pending.div_ceil(at_once)
        };
        let rounds = rounds.saturating_mul(weights.rollout_time);
        rounds.saturating_add(2 * borrowed * weights.moves)
    };
    (0..=spare.min(pending))
        .min_by_key(|borrowed| cost(*borrowed))
        .unwrap_or(0)
}

/// Describes what one pool asks of the shared spare.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolDemand {
    /// The instances that its forecast demand needs.
    pub forecast: u64,
    /// The instances that its own peak of seconds would need.
    pub peak: u64,
    /// The most of its instances in one rack.
    pub largest_rack: u64,
    /// The most of its instances in one data centre.
    pub largest_data_centre: u64,
    /// Whether its buffer must outlast the loss of a data centre.
    pub survive_data_centre: bool,
}

/// Returns the spare instances that the pools share.
///
/// Queues rise in turn, so the largest excess of a peak over its forecast is held once, not once for
/// each pool. The buffer against the loss of a failure domain is held besides, since it may go in the
/// middle of a peak; one domain is lost at a time, so again the largest counts.
#[must_use]
pub fn shared_spare(pools: &[PoolDemand]) -> u64 {
    let excess = pools
        .iter()
        .map(|pool| pool.peak.saturating_sub(pool.forecast));
    let domain = pools.iter().map(|pool| {
        if pool.survive_data_centre {
            pool.largest_data_centre
        } else {
            pool.largest_rack
        }
    });
    excess.max().unwrap_or(0) + domain.max().unwrap_or(0)
}

/// Returns the spare that each pool would hold for itself: the naive baseline.
#[must_use]
pub fn summed_spare(pools: &[PoolDemand]) -> u64 {
    pools
        .iter()
        .map(|pool| shared_spare(std::slice::from_ref(pool)))
        .sum()
}

/// Decides when demand has lasted long enough to move an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShortageFilter {
    /// How long a lack must last.
    pub min_duration_ms: DurationMs,
    short_since_ms: Option<u64>,
}

impl ShortageFilter {
    /// Creates a filter that lets a lack through once it has lasted `min_duration_ms`.
    #[must_use]
    pub const fn new(min_duration_ms: DurationMs) -> Self {
        Self {
            min_duration_ms,
            short_since_ms: None,
        }
    }

    /// Notes the lack of a pool now and returns whether it calls for a move.
    pub fn update(&mut self, now_ms: u64, lacking: u64) -> bool {
        if lacking == 0 {
            self.short_since_ms = None;
            return false;
        }
        let since_ms = *self.short_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + self.min_duration_ms.get()
    }
}
