//! When the work of a pool surges, and to what.
//!
//! The load that this answers: queues surge in turn, each for some seconds, to several times what
//! their pools hold. Instances take longer to come than a surge takes to build up, so that a pool
//! that only follows what arrives is short for the first seconds of each surge. A surge is
//! therefore recognised by its first jobs, taken to become as high as those before it, and expected
//! when the one before it has lasted as long as they do. What surges beside another surge that has
//! just begun is a burst: it comes in no order, and as high as it is.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

/// Over how long arrivals are averaged to recognise a surge, in milliseconds; long enough for some
/// jobs, short against the time that instances take to come.
const ARRIVAL_WINDOW_MS: u64 = 750;
/// The fewest jobs in the window that make a surge; one alone is chance.
const MIN_SURGE_JOBS: u32 = 2;
/// The part of the expected peak above which work counts as a surge, in per cent.
const SURGE_THRESHOLD_PERCENT: u64 = 30;
/// The part of all instances that a first surge must keep at work to be recognised, in per cent; a
/// pool between its surges needs far less.
const FIRST_SURGE_THRESHOLD_PERCENT: u64 = 5;
/// How high a surge is taken to become where none has been seen, in per cent of an even share of
/// all instances: a queue that surges asks for more than its pool holds.
const DEFAULT_PEAK_PERCENT: u64 = 133;
/// How long a surge is taken to become as high as those before it, in milliseconds; after this what
/// arrives tells more.
const RAMP_UP_MS: u64 = 3_000;
/// The least distance of two surges, in milliseconds; some times what a move takes, since following
/// shorter ones would not pay.
const MIN_SURGE_DISTANCE_MS: u64 = 5_000;
/// For how long after a change of leader arrivals count as gathered before, in milliseconds; clients
/// come back within two seconds or so, and the average takes as long to forget them.
const FAILOVER_BACKLOG_MS: u64 = 3_500;
/// The shortest surge, in milliseconds; what ends earlier was chance.
const MIN_SURGE_MS: u64 = 2_000;

/// Holds what arrived for a pool in one interval.
#[derive(Debug, Clone, Copy)]
struct ArrivalInterval {
    at_ms: u64,
    jobs: u32,
    /// How many instances would have worked for how long, in thousandths of an instance times
    /// milliseconds.
    millis_times_ms: u64,
}

/// Follows one pool.
#[derive(Debug, Clone, Default)]
struct PoolTrack {
    recent_intervals: VecDeque<ArrivalInterval>,
    surge_since_ms: Option<u64>,
    /// Whether what surges is a burst beside the surge of another pool.
    is_burst: bool,
    /// Whether the surge has been seen from its beginning, so that it tells how high surges become.
    is_seen_from_start: bool,
    /// How high the surge that is under way has become.
    observed_peak_millis: u64,
    /// How high its surges become; zero until one has built up.
    peak_millis: u64,
    /// How high one is taken to become as long as none of any pool has built up.
    default_peak_millis: u64,
}

impl PoolTrack {
    fn average_millis(&self) -> u64 {
        let sum: u64 = self
            .recent_intervals
            .iter()
            .map(|known| known.millis_times_ms)
            .sum();
        sum / ARRIVAL_WINDOW_MS
    }
}

/// Describes what arrived for a pool since it was last asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ArrivalSample {
    /// The time since then, in milliseconds.
    pub within_ms: u64,
    /// How many jobs there were.
    pub jobs: u32,
    /// How many instances they would keep at work, in thousandths.
    pub millis: u64,
    /// The same averaged over a longer time.
    pub steady_millis: u64,
    /// How many instances there are in all pools.
    pub total_instances: usize,
    /// How many pools are in use.
    pub pools: usize,
}

/// Says what changed for a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SurgeEvent {
    /// A surge has begun.
    Started,
    /// A surge is over.
    Ended,
}

/// Follows the work that arrives for every pool.
#[derive(Debug, Clone, Default)]
pub struct SurgeForecast {
    tracks: BTreeMap<SmolStr, PoolTrack>,
    surge_starts: Vec<(u64, SmolStr)>,
    /// Whether the latest pool to surge again was not the one that had waited longest.
    is_out_of_order: bool,
    /// Until when arrivals may have gathered before.
    backlog_until_ms: u64,
}

impl SurgeForecast {
    /// Creates what an earlier leader has recorded: when the latest surge of each pool began, by
    /// our clock and in milliseconds, and how high its surges become.
    ///
    /// What arrives at first has gathered while there was no leader, and tells nothing of peaks.
    #[must_use]
    pub fn resumed(now_ms: u64, known: impl IntoIterator<Item = (SmolStr, u64, u64)>) -> Self {
        let mut surges = Self {
            backlog_until_ms: now_ms + FAILOVER_BACKLOG_MS,
            ..Self::default()
        };
        for (pool, began_at_ms, peak_millis) in known {
            let track = surges.tracks.entry(pool.clone()).or_default();
            track.peak_millis = peak_millis;
            surges.surge_starts.push((began_at_ms, pool));
        }
        surges.surge_starts.sort();
        surges
    }

    /// Records what arrived for a pool since the last call.
    pub fn record(
        &mut self,
        now_ms: u64,
        pool: &SmolStr,
        sample: &ArrivalSample,
    ) -> Option<SurgeEvent> {
        let peak_millis = self.peak_millis(pool);
        let is_backlog = now_ms < self.backlog_until_ms;
        let track = self.tracks.entry(pool.clone()).or_default();
        track.recent_intervals.push_back(ArrivalInterval {
            at_ms: now_ms,
            jobs: sample.jobs,
            millis_times_ms: sample.millis * sample.within_ms.min(ARRIVAL_WINDOW_MS),
        });
        while let Some(oldest) = track.recent_intervals.front()
            && now_ms >= oldest.at_ms + ARRIVAL_WINDOW_MS
        {
            track.recent_intervals.pop_front();
        }
        let average_millis = track.average_millis();
        let total_millis = sample.total_instances as u64 * 1_000;
        let even_millis = total_millis / sample.pools.max(1) as u64;
        track.default_peak_millis = even_millis * DEFAULT_PEAK_PERCENT / 100;
        if let Some(since_ms) = track.surge_since_ms {
            if !is_backlog {
                track.observed_peak_millis = track.observed_peak_millis.max(sample.steady_millis);
            }
            if now_ms >= since_ms + RAMP_UP_MS && track.is_seen_from_start {
                track.peak_millis = track.peak_millis.max(track.observed_peak_millis);
            }
            let end_threshold_millis = track.observed_peak_millis * SURGE_THRESHOLD_PERCENT / 100;
            let is_above_threshold =
                sample.steady_millis.max(average_millis) >= end_threshold_millis;
            if is_above_threshold || now_ms < since_ms + MIN_SURGE_MS {
                return None;
            }
            track.surge_since_ms = None;
            if now_ms < since_ms + RAMP_UP_MS && !track.is_burst {
                // It was chance, and says nothing about when the next is due.
                self.surge_starts.retain(|(_, known)| known != pool);
            }
            return Some(SurgeEvent::Ended);
        }
        let start_threshold_millis = peak_millis
            .map_or(total_millis * FIRST_SURGE_THRESHOLD_PERCENT / 100, |peak| {
                peak * SURGE_THRESHOLD_PERCENT / 100
            });
        let jobs: u32 = track
            .recent_intervals
            .iter()
            .map(|interval| interval.jobs)
            .sum();
        if jobs < MIN_SURGE_JOBS || average_millis < start_threshold_millis.max(1) {
            return None;
        }
        let follows_too_soon = |(at_ms, known): &(u64, SmolStr)| {
            known != pool && now_ms < at_ms + MIN_SURGE_DISTANCE_MS
        };
        track.is_burst = self.surge_starts.last().is_some_and(follows_too_soon);
        track.is_seen_from_start = !track.is_burst && !is_backlog;
        track.surge_since_ms = Some(now_ms);
        track.observed_peak_millis = if is_backlog { 0 } else { average_millis };
        if track.is_burst {
            return Some(SurgeEvent::Started);
        }
        // A surge that an earlier leader saw begin goes on.
        let latest_surge = self.surge_starts.last().map(|(_, known)| known);
        if is_backlog && latest_surge == Some(pool) {
            return Some(SurgeEvent::Started);
        }
        self.record_start(now_ms, pool);
        Some(SurgeEvent::Started)
    }

    /// Records that a surge of a pool sets the order from now on.
    fn record_start(&mut self, now_ms: u64, pool: &SmolStr) {
        let has_surged_before = self.surge_starts.iter().any(|(_, known)| known == pool);
        let longest_waiting = self.surge_starts.first().map(|(_, known)| known);
        if has_surged_before {
            self.is_out_of_order = longest_waiting != Some(pool);
        }
        self.surge_starts.retain(|(_, known)| known != pool);
        self.surge_starts.push((now_ms, pool.clone()));
    }

    /// Returns how high a surge of a pool is taken to become, in thousandths of an instance.
    #[must_use]
    pub fn peak_millis(&self, pool: &str) -> Option<u64> {
        let own_peak = self.tracks.get(pool).map(|track| track.peak_millis);
        if let Some(own_peak) = own_peak.filter(|own_peak| *own_peak > 0) {
            return Some(own_peak);
        }
        let others = self.tracks.values().map(|track| track.peak_millis);
        let (count, sum) = others
            .filter(|peak| *peak > 0)
            .fold((0, 0), |(count, sum), peak| (count + 1, sum + peak));
        (count > 0).then(|| sum / count)
    }

    /// Returns when the latest surge of a pool began and how high its surges become, zero where
    /// none has built up.
    #[must_use]
    pub fn latest_surge(&self, pool: &str) -> Option<(u64, u64)> {
        let (began_at_ms, _) = self.surge_starts.iter().find(|(_, known)| known == pool)?;
        Some((*began_at_ms, self.tracks.get(pool)?.peak_millis))
    }

    /// Returns whether a surge of a pool is under way.
    #[must_use]
    pub fn is_surging(&self, pool: &str) -> bool {
        let track = self.tracks.get(pool);
        track.is_some_and(|track| track.surge_since_ms.is_some())
    }

    /// Returns the peak that a pool is building up to, where its surge has just begun.
    #[must_use]
    pub fn ramp_up_millis(&self, now_ms: u64, pool: &str) -> Option<u64> {
        let track = self.tracks.get(pool)?;
        let is_ramping_up = now_ms < track.surge_since_ms? + RAMP_UP_MS;
        if track.is_burst {
            return is_ramping_up.then(|| track.average_millis());
        }
        let unseen_millis = track.default_peak_millis;
        let peak_millis = self.peak_millis(pool).unwrap_or(unseen_millis);
        is_ramping_up.then(|| peak_millis.max(track.average_millis()))
    }

    /// Returns when the next surge should begin.
    fn next_surge_ms(&self) -> Option<u64> {
        let interval = |pair: &[(u64, SmolStr)]| pair[1].0 - pair[0].0;
        let interval_ms = self.surge_starts.windows(2).map(interval).max()?;
        let (last_ms, _) = self.surge_starts.last()?;
        Some(last_ms + interval_ms)
    }

    /// Returns whether the time at which the next surge should begin is still to come.
    #[must_use]
    pub fn is_before_next_surge(&self, now_ms: u64) -> bool {
        self.next_surge_ms()
            .is_some_and(|next_surge_ms| now_ms < next_surge_ms)
    }

    /// Returns the pools of which one should surge next, if that should happen within `lead_ms`.
    ///
    /// Surges follow each other at like distances, and the pool that has waited longest is next;
    /// where several have not surged yet, it may be any of them. Where a pool has surged again out
    /// of this order, nothing is expected until one does so in order.
    #[must_use]
    pub fn expected_pools(&self, now_ms: u64, lead_ms: u64, pools: &[SmolStr]) -> Vec<SmolStr> {
        let Some(next_surge_ms) = self.next_surge_ms() else {
            return Vec::new();
        };
        if now_ms + lead_ms < next_surge_ms || now_ms >= next_surge_ms + lead_ms {
            return Vec::new();
        }
        let has_surged = |pool: &SmolStr| self.surge_starts.iter().any(|(_, known)| known == pool);
        let without_surge = pools.iter().filter(|pool| !has_surged(pool));
        let without_surge: Vec<SmolStr> = without_surge.cloned().collect();
        if !without_surge.is_empty() {
            return without_surge;
        }
        let longest_waiting = self.surge_starts.first().filter(|_| !self.is_out_of_order);
        longest_waiting
            .map(|(_, pool)| pool.clone())
            .into_iter()
            .collect()
    }
}
