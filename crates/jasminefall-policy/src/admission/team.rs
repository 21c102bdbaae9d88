//! Virtual time and waiting requests of one team.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;

use super::{VIRTUAL_TIME_SCALE, Waiting, cross_team_factor, urgency_factor};

const URGENCIES: usize = Urgency::ALL.len();

/// Holds the waiting requests of a team, by urgency and in order of arrival.
#[derive(Debug)]
pub(super) struct Team<T> {
    pub(super) weight: u64,
    pub(super) virtual_time: u64,
    /// The slots that the team holds.
    pub(super) in_progress: u32,
    waiting: [BTreeMap<u64, Waiting<T>>; URGENCIES],
    /// The virtual time of each urgency within the team.
    urgency_times: [u64; URGENCIES],
    /// The virtual time at which an urgency without waiting requests resumes, unless its own is
    /// higher.
    urgency_virtual_time: u64,
    bytes: usize,
}

impl<T> Default for Team<T> {
    fn default() -> Self {
        Self {
            weight: 1,
            virtual_time: 0,
            in_progress: 0,
            waiting: std::array::from_fn(|_| BTreeMap::new()),
            urgency_times: [0; URGENCIES],
            urgency_virtual_time: 0,
            bytes: 0,
        }
    }
}

impl<T> Team<T> {
    pub(super) fn len(&self) -> usize {
        self.waiting.iter().map(BTreeMap::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeMap::is_empty)
    }

    pub(super) fn is_active(&self) -> bool {
        self.in_progress > 0 || !self.is_empty()
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn has(&self, urgency: Urgency) -> bool {
        !self.waiting[urgency as usize].is_empty()
    }

    /// Returns how many requests of this team are served while another team with the rate `weight`
    /// is served `turns` times.
    ///
    /// Only as many requests as fit within the quota are counted at the rate for requests within
    /// it.
    pub(super) fn count_served_during(&self, turns: u64, weight: u64, quota: u64) -> u64 {
        let most_urgent = Urgency::ALL.into_iter().find(|urgency| self.has(*urgency));
        let Some(urgency) = most_urgent else { return 0 };
        let turns_at = |is_within| {
            let own = self.weight * cross_team_factor(urgency, is_within);
            (turns * own).div_ceil(weight.max(1))
        };
        let within = quota.saturating_sub(u64::from(self.in_progress));
        let served = within.min(turns_at(true)) + turns_at(false);
        served.min(self.len() as u64)
    }

    /// Returns how many requests of the team are served before a new one of `urgency`.
    pub(super) fn count_ahead_of(&self, urgency: Urgency) -> usize {
        let own = self.waiting[urgency as usize].len();
        let others = Urgency::ALL.into_iter().filter(|other| *other != urgency);
        let between = others.map(|other| {
            // The other urgencies get their part of the turns while the requests ahead are served.
            let turns = (own as u64 + 1) * urgency_factor(other) / urgency_factor(urgency);
            self.waiting[other as usize]
                .len()
                .min(usize::try_from(turns).unwrap_or(usize::MAX))
        });
        own + between.sum::<usize>()
    }

    pub(super) fn insert(&mut self, urgency: Urgency, number: u64, waiting: Waiting<T>) {
        let position = urgency as usize;
        if self.waiting[position].is_empty() {
            self.urgency_times[position] =
                self.urgency_times[position].max(self.urgency_virtual_time);
        }
        self.bytes += waiting.bytes;
        self.waiting[position].insert(number, waiting);
    }

    pub(super) fn remove(&mut self, urgency: Urgency, number: u64) -> Option<Waiting<T>> {
        let waiting = self.waiting[urgency as usize].remove(&number)?;
        self.bytes -= waiting.bytes;
        Some(waiting)
    }

    pub(super) fn remove_newest(&mut self) -> Option<(Urgency, Waiting<T>)> {
        let least_urgent = Urgency::ALL
            .into_iter()
            .rev()
            .find(|urgency| self.has(*urgency))?;
        let number = *self.waiting[least_urgent as usize].last_key_value()?.0;
        Some((least_urgent, self.remove(least_urgent, number)?))
    }

    /// Removes the oldest request of the urgency with the lowest virtual time.
    pub(super) fn next(&mut self, only_urgent: bool) -> Option<(Urgency, Waiting<T>)> {
        let waiting = Urgency::ALL
            .into_iter()
            .filter(|urgency| self.has(*urgency));
        let eligible = waiting.filter(|urgency| !only_urgent || *urgency == Urgency::Urgent);
        let urgency = eligible.min_by_key(|urgency| self.urgency_times[*urgency as usize])?;
        let number = *self.waiting[urgency as usize].first_key_value()?.0;
        Some((urgency, self.remove(urgency, number)?))
    }

    /// Returns the virtual time that each millisecond of one more slot costs.
    ///
    /// For a team beyond its quota, each slot is charged partly at the rate within the quota and
    /// partly at the rate beyond it, so that the slots beyond the quota do not raise the price of
    /// those within.
    pub(super) fn price(&self, urgency: Urgency, quota: u32) -> u64 {
        let held = u64::from(self.in_progress.max(1));
        let within = held.min(u64::from(quota));
        let factor_within = cross_team_factor(urgency, true);
        let factor_beyond = cross_team_factor(urgency, false);
        let shares = within * factor_beyond + (held - within) * factor_within;
        VIRTUAL_TIME_SCALE * shares / (held * factor_within * factor_beyond * self.weight)
    }

    /// Advances the virtual time of the team, and that of the urgency within the team.
    pub(super) fn charge(&mut self, urgency: Urgency, expected_ms: u64, price: u64) {
        let position = urgency as usize;
        self.urgency_virtual_time = self.urgency_virtual_time.max(self.urgency_times[position]);
        self.urgency_times[position] += expected_ms * VIRTUAL_TIME_SCALE / urgency_factor(urgency);
        self.virtual_time = self
            .virtual_time
            .saturating_add(expected_ms.saturating_mul(price));
    }
}
