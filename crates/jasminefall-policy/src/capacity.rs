//! Spare instances of a site, and instances that a pool borrows for a wave.

use jasminefall_core::prelude::*;

/// Holds the relative costs of roll-out time and instance moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CostWeights {
    /// The cost of each round of a wave.
    pub rollout_time: u64,
    /// The cost of each move of an instance.
    pub moves: u64,
}

/// Returns how many of the `spare` instances a pool borrows before a wave over `pending` instances.
///
/// `headroom` is how many instances the pool may take out of service without borrowing. Each
/// borrowed instance lets one more instance be out of service at once, which saves rounds, and
/// costs two moves, to the pool and back. Of equal costs, the one with the fewest moves is chosen.
#[must_use]
pub fn borrow_for_wave(pending: u64, headroom: u64, spare: u64, weights: CostWeights) -> u64 {
    let cost = |borrowed: u64| {
        let parallel = headroom + borrowed;
        // With no instance out of service the wave never ends, so its cost exceeds every other one.
        let rounds = if parallel == 0 {
            u64::MAX / 4
        } else {
            pending.div_ceil(parallel)
        };
        let rounds = rounds.saturating_mul(weights.rollout_time);
        rounds.saturating_add(2 * borrowed * weights.moves)
    };
    (0..=spare.min(pending))
        .min_by_key(|borrowed| cost(*borrowed))
        .unwrap_or(0)
}

/// Describes the demand of one pool for the shared spare instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpareDemand {
    /// The instances needed for its forecast demand.
    pub forecast: u64,
    /// The instances needed for its short demand peaks, which last seconds.
    pub peak: u64,
    /// The number of its instances in the rack with the most of them.
    pub largest_rack: u64,
    /// The number of its instances in the data centre with the most of them.
    pub largest_data_centre: u64,
    /// Whether it must keep its capacity after the loss of a data centre, instead of only a rack.
    pub survive_data_centre: bool,
}

/// Returns how many spare instances the pools need together.
///
/// The peaks of the pools occur at different times, so the largest excess of a peak over its
/// forecast is held once and not for each pool. The buffer for the loss of a failure domain is
/// added, since a domain may fail during a peak. One domain fails at a time, so only the largest
/// one counts.
#[must_use]
pub fn shared_spare(pools: &[SpareDemand]) -> u64 {
    let peak_excesses = pools
        .iter()
        .map(|pool| pool.peak.saturating_sub(pool.forecast));
    let domain_sizes = pools.iter().map(|pool| {
        if pool.survive_data_centre {
            pool.largest_data_centre
        } else {
            pool.largest_rack
        }
    });
    peak_excesses.max().unwrap_or(0) + domain_sizes.max().unwrap_or(0)
}

/// Returns the total if each pool holds its own spare instances; a baseline for comparisons.
#[must_use]
pub fn summed_spare(pools: &[SpareDemand]) -> u64 {
    pools
        .iter()
        .map(|pool| shared_spare(std::slice::from_ref(pool)))
        .sum()
}

/// Reports a shortage of a pool only after it has lasted long enough to move an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShortageFilter {
    /// How long a shortage must last without interruption to be reported.
    pub min_duration_ms: DurationMs,
    short_since_ms: Option<u64>,
}

impl ShortageFilter {
    /// Creates a filter that reports a shortage once it has lasted `min_duration_ms`.
    #[must_use]
    pub const fn new(min_duration_ms: DurationMs) -> Self {
        Self {
            min_duration_ms,
            short_since_ms: None,
        }
    }

    /// Records how many instances the pool is short of and returns whether to move an instance.
    pub fn update(&mut self, now_ms: u64, missing: u64) -> bool {
        if missing == 0 {
            self.short_since_ms = None;
            return false;
        }
        let since_ms = *self.short_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + self.min_duration_ms.get()
    }
}
