//! Detection and prediction of demand surges.
//!
//! The queues surge in turn: the demand of a queue rises for some seconds to several times its
//! pool's capacity. Moving an instance takes longer than a surge takes to build up, so a pool that
//! is sized only by current arrivals lacks instances for the first seconds of each surge. The
//! forecast therefore detects a surge by its first jobs, predicts its peak from earlier surges and
//! predicts the start of the next surge from the interval between earlier ones. A surge that starts
//! shortly after that of another pool is a burst: it does not count for the order of surges, and
//! its peak is not predicted.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

/// The window of the moving average that detects a surge: long enough for several jobs to arrive,
/// but short compared with the time that a move takes.
const ARRIVAL_WINDOW_MS: u64 = 750;
/// The fewest jobs in the window that make a surge, since a single large job may be chance.
const MIN_SURGE_JOBS: u32 = 2;
/// The part of the predicted peak at which a surge starts, and the part of the observed peak below
/// which it ends.
const SURGE_THRESHOLD_PERCENT: u64 = 30;
/// The part of all instances that the demand of a first surge must occupy to be detected; a pool
/// needs far less between its surges.
const FIRST_SURGE_THRESHOLD_PERCENT: u64 = 5;
/// The assumed peak before any has been observed, in percent of an even share of all instances. It
/// exceeds 100, since a surge needs more instances than its pool has.
const DEFAULT_PEAK_PERCENT: u64 = 133;
/// The time from the start of a surge for which its peak is predicted from earlier surges; after
/// this, current arrivals are the better estimate.
const RAMP_UP_MS: u64 = 3_000;
/// The time after the start of a surge within which a surge of another pool is a burst. It is
/// several times the duration of a move, since moving instances for shorter intervals costs more
/// than it gains.
const MIN_SURGE_INTERVAL_MS: u64 = 5_000;
/// The time after a leader change in which arrivals may come from the backlog of the outage:
/// clients retry within about two seconds, and the average needs as long again to drop these jobs.
const FAILOVER_BACKLOG_WINDOW_MS: u64 = 3_500;
/// The shortest time between the start and the end of a surge; shorter rises in demand are chance.
const MIN_SURGE_MS: u64 = 2_000;

/// Holds the arrivals of a pool between two calls of [`SurgeForecast::record`].
#[derive(Debug, Clone, Copy)]
struct ArrivalInterval {
    at_ms: u64,
    jobs: u32,
    /// The work that arrived: thousandths of an instance times milliseconds.
    work_instance_us: u64,
}

/// Tracks the arrivals and the surges of a pool.
#[derive(Debug, Clone, Default)]
struct PoolTracker {
    recent_intervals: VecDeque<ArrivalInterval>,
    surge_since_ms: Option<u64>,
    /// Whether the current surge is a burst during the surge of another pool.
    is_burst: bool,
    /// Whether the current surge was observed from its start, so that its peak is valid.
    is_seen_from_start: bool,
    /// The highest average demand so far in the current surge.
    observed_peak_millis: u64,
    /// The highest peak of the pool's surges; zero until a surge has passed its ramp-up.
    peak_millis: u64,
    /// The assumed peak until a peak of any pool is known.
    default_peak_millis: u64,
}

impl PoolTracker {
    fn average_millis(&self) -> u64 {
        let work_instance_us: u64 = self
            .recent_intervals
            .iter()
            .map(|interval| interval.work_instance_us)
            .sum();
        work_instance_us / ARRIVAL_WINDOW_MS
    }
}

/// Describes the arrivals of a pool since the last sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ArrivalSample {
    /// The time since the last sample.
    pub within_ms: u64,
    /// The number of jobs that arrived.
    pub jobs: u32,
    /// The instances that the arrivals would occupy, in thousandths of an instance.
    pub demand_millis: u64,
    /// The moving average of `demand_millis` over this and earlier samples.
    pub steady_demand_millis: u64,
    /// The number of instances in all pools.
    pub total_instances: usize,
    /// The number of pools in use.
    pub pools: usize,
}

/// Reports the start or end of a surge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SurgeEvent {
    /// A surge has begun.
    Started,
    /// A surge has ended.
    Ended,
}

/// Detects surges in the arrivals of all pools and predicts the next one.
#[derive(Debug, Clone, Default)]
pub struct SurgeForecast {
    trackers: BTreeMap<SmolStr, PoolTracker>,
    /// The start of the latest surge of each pool, oldest first; bursts are left out.
    surge_starts: Vec<(u64, SmolStr)>,
    /// Whether the latest surge of a pool that had surged before came from a pool other than the
    /// one with the longest time since its last surge.
    is_out_of_order: bool,
    /// The time until which arrivals may come from the backlog of a leader change.
    backlog_until_ms: u64,
}

impl SurgeForecast {
    /// Creates a forecast from the surges that an earlier leader recorded: the pool, the start of
    /// its latest surge in milliseconds by this leader's clock, and the peak of its surges.
    ///
    /// The first arrivals have accumulated while there was no leader, so they count for no peak.
    #[must_use]
    pub fn resumed(now_ms: u64, recorded: impl IntoIterator<Item = (SmolStr, u64, u64)>) -> Self {
        let mut forecast = Self {
            backlog_until_ms: now_ms + FAILOVER_BACKLOG_WINDOW_MS,
            ..Self::default()
        };
        for (pool, began_at_ms, peak_millis) in recorded {
            let tracker = forecast.trackers.entry(pool.clone()).or_default();
            tracker.peak_millis = peak_millis;
            forecast.surge_starts.push((began_at_ms, pool));
        }
        forecast.surge_starts.sort();
        forecast
    }

    /// Records the arrivals of a pool since the last call and returns the start or end of a surge.
    pub fn record(
        &mut self,
        now_ms: u64,
        pool: &SmolStr,
        sample: &ArrivalSample,
    ) -> Option<SurgeEvent> {
        let peak_millis = self.peak_millis(pool);
        let is_backlog = now_ms < self.backlog_until_ms;
        let tracker = self.trackers.entry(pool.clone()).or_default();
        tracker.recent_intervals.push_back(ArrivalInterval {
            at_ms: now_ms,
            jobs: sample.jobs,
            work_instance_us: sample.demand_millis * sample.within_ms.min(ARRIVAL_WINDOW_MS),
        });
        while let Some(oldest) = tracker.recent_intervals.front()
            && now_ms >= oldest.at_ms + ARRIVAL_WINDOW_MS
        {
            tracker.recent_intervals.pop_front();
        }
        let average_millis = tracker.average_millis();
        let total_millis = sample.total_instances as u64 * 1_000;
        let even_share_millis = total_millis / sample.pools.max(1) as u64;
        tracker.default_peak_millis = even_share_millis * DEFAULT_PEAK_PERCENT / 100;
        if let Some(since_ms) = tracker.surge_since_ms {
            if !is_backlog {
                tracker.observed_peak_millis = tracker
                    .observed_peak_millis
                    .max(sample.steady_demand_millis);
            }
            if now_ms >= since_ms + RAMP_UP_MS && tracker.is_seen_from_start {
                tracker.peak_millis = tracker.peak_millis.max(tracker.observed_peak_millis);
            }
            let end_threshold_millis = tracker.observed_peak_millis * SURGE_THRESHOLD_PERCENT / 100;
            let is_above_end_threshold =
                sample.steady_demand_millis.max(average_millis) >= end_threshold_millis;
            if is_above_end_threshold || now_ms < since_ms + MIN_SURGE_MS {
                return None;
            }
            tracker.surge_since_ms = None;
            if now_ms < since_ms + RAMP_UP_MS && !tracker.is_burst {
                // The rise was too short for a surge, so it does not count for the interval.
                self.surge_starts.retain(|(_, surged)| surged != pool);
            }
            return Some(SurgeEvent::Ended);
        }
        let start_threshold_millis = peak_millis
            .map_or(total_millis * FIRST_SURGE_THRESHOLD_PERCENT / 100, |peak| {
                peak * SURGE_THRESHOLD_PERCENT / 100
            });
        let jobs: u32 = tracker
            .recent_intervals
            .iter()
            .map(|interval| interval.jobs)
            .sum();
        if jobs < MIN_SURGE_JOBS || average_millis < start_threshold_millis.max(1) {
            return None;
        }
        let follows_too_soon = |(at_ms, surged): &(u64, SmolStr)| {
            surged != pool && now_ms < at_ms + MIN_SURGE_INTERVAL_MS
        };
        tracker.is_burst = self.surge_starts.last().is_some_and(follows_too_soon);
        tracker.is_seen_from_start = !tracker.is_burst && !is_backlog;
        tracker.surge_since_ms = Some(now_ms);
        tracker.observed_peak_millis = if is_backlog { 0 } else { average_millis };
        if tracker.is_burst {
            return Some(SurgeEvent::Started);
        }
        // The surge started before the leader change, so its recorded start stays.
        let latest_surge = self.surge_starts.last().map(|(_, surged)| surged);
        if is_backlog && latest_surge == Some(pool) {
            return Some(SurgeEvent::Started);
        }
        self.record_start(now_ms, pool);
        Some(SurgeEvent::Started)
    }

    /// Records the start of a surge for the order and the interval of surges.
    fn record_start(&mut self, now_ms: u64, pool: &SmolStr) {
        let has_surged_before = self.surge_starts.iter().any(|(_, surged)| surged == pool);
        let longest_waiting = self.surge_starts.first().map(|(_, surged)| surged);
        if has_surged_before {
            self.is_out_of_order = longest_waiting != Some(pool);
        }
        self.surge_starts.retain(|(_, surged)| surged != pool);
        self.surge_starts.push((now_ms, pool.clone()));
    }

    /// Returns the predicted peak of a pool's surges in thousandths of an instance: its own highest
    /// peak or the mean of the other pools' peaks. Returns `None` if no peak is known.
    #[must_use]
    pub fn peak_millis(&self, pool: &str) -> Option<u64> {
        let own_peak = self.trackers.get(pool).map(|tracker| tracker.peak_millis);
        if let Some(own_peak) = own_peak.filter(|own_peak| *own_peak > 0) {
            return Some(own_peak);
        }
        let others = self.trackers.values().map(|tracker| tracker.peak_millis);
        let (count, sum) = others
            .filter(|peak| *peak > 0)
            .fold((0, 0), |(count, sum), peak| (count + 1, sum + peak));
        (count > 0).then(|| sum / count)
    }

    /// Returns the start of the latest surge of a pool and the peak of its surges, which is zero
    /// until a surge has passed its ramp-up.
    #[must_use]
    pub fn latest_surge(&self, pool: &str) -> Option<(u64, u64)> {
        let (began_at_ms, _) = self
            .surge_starts
            .iter()
            .find(|(_, surged)| surged == pool)?;
        Some((*began_at_ms, self.trackers.get(pool)?.peak_millis))
    }

    /// Returns whether a pool is in a surge.
    #[must_use]
    pub fn is_surging(&self, pool: &str) -> bool {
        let tracker = self.trackers.get(pool);
        tracker.is_some_and(|tracker| tracker.surge_since_ms.is_some())
    }

    /// Returns the demand for which a pool should be sized during the ramp-up of its surge, in
    /// thousandths of an instance: the predicted peak, or the current average if that is higher or
    /// the surge is a burst. Returns `None` outside a ramp-up.
    #[must_use]
    pub fn ramp_up_millis(&self, now_ms: u64, pool: &str) -> Option<u64> {
        let tracker = self.trackers.get(pool)?;
        let is_ramping_up = now_ms < tracker.surge_since_ms? + RAMP_UP_MS;
        if tracker.is_burst {
            return is_ramping_up.then(|| tracker.average_millis());
        }
        let default_peak_millis = tracker.default_peak_millis;
        let peak_millis = self.peak_millis(pool).unwrap_or(default_peak_millis);
        is_ramping_up.then(|| peak_millis.max(tracker.average_millis()))
    }

    /// Returns the expected start of the next surge: the start of the latest one plus the longest
    /// interval between recorded starts.
    fn next_surge_ms(&self) -> Option<u64> {
        let interval = |pair: &[(u64, SmolStr)]| pair[1].0 - pair[0].0;
        let interval_ms = self.surge_starts.windows(2).map(interval).max()?;
        let (latest_ms, _) = self.surge_starts.last()?;
        Some(latest_ms + interval_ms)
    }

    /// Returns whether the expected start of the next surge is in the future.
    #[must_use]
    pub fn is_before_next_surge(&self, now_ms: u64) -> bool {
        self.next_surge_ms()
            .is_some_and(|next_surge_ms| now_ms < next_surge_ms)
    }

    /// Returns the pools that may surge next, if a surge is expected within `lead_ms`.
    ///
    /// Surges follow each other at similar intervals, and the pool that has waited longest is next.
    /// If some pools have not surged yet, any of these may be next. After a repeated surge out of
    /// this order, no surge is expected until a repeated surge follows the order again.
    #[must_use]
    pub fn expected_pools(&self, now_ms: u64, lead_ms: u64, pools: &[SmolStr]) -> Vec<SmolStr> {
        let Some(next_surge_ms) = self.next_surge_ms() else {
            return Vec::new();
        };
        if now_ms + lead_ms < next_surge_ms || now_ms >= next_surge_ms + lead_ms {
            return Vec::new();
        }
        let has_surged =
            |pool: &SmolStr| self.surge_starts.iter().any(|(_, surged)| surged == pool);
        let not_surged = pools.iter().filter(|pool| !has_surged(pool));
        let not_surged: Vec<SmolStr> = not_surged.cloned().collect();
        if !not_surged.is_empty() {
            return not_surged;
        }
        let longest_waiting = self.surge_starts.first().filter(|_| !self.is_out_of_order);
        longest_waiting
            .map(|(_, pool)| pool.clone())
            .into_iter()
            .collect()
    }
}
