//! When the work of a pool rises, and to what.
//!
//! The load that this answers: queues rise in turn, each for some seconds, to several times what
//! their pools hold. Instances take longer to come than a rise takes to build up, so that a pool
//! that only follows what arrives is short for the first seconds of each rise. A rise is therefore
//! recognised by its first jobs, taken to become as high as those before it, and expected when the
//! one before it has lasted as long as they do. What rises beside another rise that has just begun is
//! a burst: it comes in no order, and as high as it is.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

/// Over how long arrivals are averaged to recognise a rise, in milliseconds; long enough for some
/// jobs, short against the time that instances take to come.
const WINDOW_MS: u64 = 750;
/// The fewest jobs in the window that make a rise; one alone is chance.
const FEWEST_JOBS: u32 = 2;
/// The part of the expected height above which work counts as risen, in per cent.
const RISEN_PERCENT: u64 = 30;
/// The part of all instances that a first rise must keep at work to be recognised, in per cent; a
/// pool between its rises needs far less.
const FIRST_RISE_PERCENT: u64 = 5;
/// How high a rise is taken to become where none has been seen, in per cent of an even share of all
/// instances: a queue that rises asks for more than its pool holds.
const UNSEEN_HEIGHT_PERCENT: u64 = 133;
/// How long a rise is taken to become as high as those before it, in milliseconds; after this what
/// arrives tells more.
const BUILDS_UP_MS: u64 = 3_000;
/// The least distance of two rises, in milliseconds; some times what a move takes, since following
/// shorter ones would not pay.
const SHORTEST_APART_MS: u64 = 5_000;
/// For how long after a change of leader arrivals count as gathered before, in milliseconds; clients
/// come back within two seconds or so, and the average takes as long to forget them.
const PENT_UP_MS: u64 = 3_500;
/// The shortest rise, in milliseconds; what ends earlier was chance.
const SHORTEST_MS: u64 = 2_000;

/// Holds what arrived for a pool in one interval.
#[derive(Debug, Clone, Copy)]
struct Interval {
    at_ms: u64,
    jobs: u32,
    /// How many instances would have worked for how long, in thousandths of an instance times
    /// milliseconds.
    millis_ms: u64,
}

/// Follows one pool.
#[derive(Debug, Clone, Default)]
struct Track {
    recent: VecDeque<Interval>,
    risen_since_ms: Option<u64>,
    /// Whether what rises is a burst beside the rise of another pool.
    is_burst: bool,
    /// Whether the rise has been seen from its beginning, so that it tells how high rises become.
    is_whole: bool,
    /// How high the rise that is under way has become.
    rise_millis: u64,
    /// How high its rises become; zero until one has built up.
    height_millis: u64,
    /// How high one is taken to become as long as none of any pool has built up.
    unseen_height_millis: u64,
}

impl Track {
    fn average_millis(&self) -> u64 {
        let sum: u64 = self.recent.iter().map(|known| known.millis_ms).sum();
        sum / WINDOW_MS
    }
}

/// Describes what arrived for a pool since it was last asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Arrived {
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
pub enum Turn {
    /// A rise has begun.
    Rise,
    /// A rise is over.
    Fall,
}

/// Follows the work that arrives for every pool.
#[derive(Debug, Clone, Default)]
pub struct Rises {
    tracks: BTreeMap<SmolStr, Track>,
    starts: Vec<(u64, SmolStr)>,
    /// Whether the latest pool to rise again was not the one that had waited longest.
    is_out_of_order: bool,
    /// Until when arrivals may have gathered before.
    pent_up_until_ms: u64,
}

impl Rises {
    /// Creates what an earlier leader has noted: when the latest rise of each pool began, by our clock
    /// and in milliseconds, and how high its rises become.
    ///
    /// What arrives at first has gathered while there was no leader, and tells nothing of heights.
    #[must_use]
    pub fn resumed(now_ms: u64, known: impl IntoIterator<Item = (SmolStr, u64, u64)>) -> Self {
        let mut rises = Self {
            pent_up_until_ms: now_ms + PENT_UP_MS,
            ..Self::default()
        };
        for (pool, began_at_ms, height_millis) in known {
            let track = rises.tracks.entry(pool.clone()).or_default();
            track.height_millis = height_millis;
            rises.starts.push((began_at_ms, pool));
        }
        rises.starts.sort();
        rises
    }

    /// Notes what arrived for a pool since the last call.
    pub fn note(&mut self, now_ms: u64, pool: &SmolStr, arrived: &Arrived) -> Option<Turn> {
        let height_millis = self.height_millis(pool);
        let is_pent_up = now_ms < self.pent_up_until_ms;
        let track = self.tracks.entry(pool.clone()).or_default();
        track.recent.push_back(Interval {
            at_ms: now_ms,
            jobs: arrived.jobs,
            millis_ms: arrived.millis * arrived.within_ms.min(WINDOW_MS),
        });
        while let Some(oldest) = track.recent.front()
            && now_ms >= oldest.at_ms + WINDOW_MS
        {
            track.recent.pop_front();
        }
        let average_millis = track.average_millis();
        let total_millis = arrived.total_instances as u64 * 1_000;
        let even_millis = total_millis / arrived.pools.max(1) as u64;
        track.unseen_height_millis = even_millis * UNSEEN_HEIGHT_PERCENT / 100;
        if let Some(since_ms) = track.risen_since_ms {
            if !is_pent_up {
                track.rise_millis = track.rise_millis.max(arrived.steady_millis);
            }
            if now_ms >= since_ms + BUILDS_UP_MS && track.is_whole {
                track.height_millis = track.height_millis.max(track.rise_millis);
            }
            let over_millis = track.rise_millis * RISEN_PERCENT / 100;
            let is_high = arrived.steady_millis.max(average_millis) >= over_millis;
            if is_high || now_ms < since_ms + SHORTEST_MS {
                return None;
            }
            track.risen_since_ms = None;
            if now_ms < since_ms + BUILDS_UP_MS && !track.is_burst {
                // It was chance, and says nothing about when the next is due.
                self.starts.retain(|(_, known)| known != pool);
            }
            return Some(Turn::Fall);
        }
        let risen_millis = height_millis
            .map_or(total_millis * FIRST_RISE_PERCENT / 100, |height| {
                height * RISEN_PERCENT / 100
            });
        let jobs: u32 = track.recent.iter().map(|interval| interval.jobs).sum();
        if jobs < FEWEST_JOBS || average_millis < risen_millis.max(1) {
            return None;
        }
        let follows_at_once =
            |(at_ms, known): &(u64, SmolStr)| known != pool && now_ms < at_ms + SHORTEST_APART_MS;
        track.is_burst = self.starts.last().is_some_and(follows_at_once);
        track.is_whole = !track.is_burst && !is_pent_up;
        track.risen_since_ms = Some(now_ms);
        track.rise_millis = if is_pent_up { 0 } else { average_millis };
        if track.is_burst {
            return Some(Turn::Rise);
        }
        // A rise that an earlier leader saw begin goes on.
        let latest = self.starts.last().map(|(_, known)| known);
        if is_pent_up && latest == Some(pool) {
            return Some(Turn::Rise);
        }
        self.note_start(now_ms, pool);
        Some(Turn::Rise)
    }

    /// Notes that a rise of a pool sets the order from now on.
    fn note_start(&mut self, now_ms: u64, pool: &SmolStr) {
        let has_risen_before = self.starts.iter().any(|(_, known)| known == pool);
        let longest_ago = self.starts.first().map(|(_, known)| known);
        if has_risen_before {
            self.is_out_of_order = longest_ago != Some(pool);
        }
        self.starts.retain(|(_, known)| known != pool);
        self.starts.push((now_ms, pool.clone()));
    }

    /// Returns how high a rise of a pool is taken to become, in thousandths of an instance.
    #[must_use]
    pub fn height_millis(&self, pool: &str) -> Option<u64> {
        let own = self.tracks.get(pool).map(|track| track.height_millis);
        if let Some(own) = own.filter(|own| *own > 0) {
            return Some(own);
        }
        let others = self.tracks.values().map(|track| track.height_millis);
        let (count, sum) = others
            .filter(|height| *height > 0)
            .fold((0, 0), |(count, sum), height| (count + 1, sum + height));
        (count > 0).then(|| sum / count)
    }

    /// Returns when the latest rise of a pool began and how high its rises become, zero where none has
    /// built up.
    #[must_use]
    pub fn latest(&self, pool: &str) -> Option<(u64, u64)> {
        let (began_at_ms, _) = self.starts.iter().find(|(_, known)| known == pool)?;
        Some((*began_at_ms, self.tracks.get(pool)?.height_millis))
    }

    /// Returns whether a rise of a pool is under way.
    #[must_use]
    pub fn is_risen(&self, pool: &str) -> bool {
        let track = self.tracks.get(pool);
        track.is_some_and(|track| track.risen_since_ms.is_some())
    }

    /// Returns the height that a pool is building up to, where its rise has just begun.
    #[must_use]
    pub fn building_up_millis(&self, now_ms: u64, pool: &str) -> Option<u64> {
        let track = self.tracks.get(pool)?;
        let is_building_up = now_ms < track.risen_since_ms? + BUILDS_UP_MS;
        if track.is_burst {
            return is_building_up.then(|| track.average_millis());
        }
        let unseen_millis = track.unseen_height_millis;
        let height_millis = self.height_millis(pool).unwrap_or(unseen_millis);
        is_building_up.then(|| height_millis.max(track.average_millis()))
    }

    /// Returns when the next rise should begin.
    fn next_ms(&self) -> Option<u64> {
        let distance = |pair: &[(u64, SmolStr)]| pair[1].0 - pair[0].0;
        let distance_ms = self.starts.windows(2).map(distance).max()?;
        let (last_ms, _) = self.starts.last()?;
        Some(last_ms + distance_ms)
    }

    /// Returns whether the time at which the next rise should begin is still to come.
    #[must_use]
    pub fn is_before_next(&self, now_ms: u64) -> bool {
        self.next_ms().is_some_and(|next_ms| now_ms < next_ms)
    }

    /// Returns the pools of which one should rise next, if that should happen within `lead_ms`.
    ///
    /// Rises follow each other at like distances, and the pool that has waited longest is next;
    /// where several have not risen yet, it may be any of them. Where a pool has risen again out of this
    /// order, nothing is expected until one does so in order.
    #[must_use]
    pub fn expected(&self, now_ms: u64, lead_ms: u64, pools: &[SmolStr]) -> Vec<SmolStr> {
        let Some(next_ms) = self.next_ms() else {
            return Vec::new();
        };
        if now_ms + lead_ms < next_ms || now_ms >= next_ms + lead_ms {
            return Vec::new();
        }
        let has_risen = |pool: &SmolStr| self.starts.iter().any(|(_, known)| known == pool);
        let unrisen = pools.iter().filter(|pool| !has_risen(pool));
        let unrisen: Vec<SmolStr> = unrisen.cloned().collect();
        if !unrisen.is_empty() {
            return unrisen;
        }
        let longest_ago = self.starts.first().filter(|_| !self.is_out_of_order);
        longest_ago
            .map(|(_, pool)| pool.clone())
            .into_iter()
            .collect()
    }
}
