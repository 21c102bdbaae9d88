//! One team's share and waiting requests.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;

use super::{SCALE, Waiting, cross_team_factor, urgency_factor};

const URGENCIES: usize = Urgency::ALL.len();

/// Holds the waiting requests of a team, by urgency and in order of arrival.
#[derive(Debug)]
pub(super) struct Team<T> {
    pub(super) weight: u64,
    pub(super) virtual_time: u64,
    pub(super) in_progress: u32,
    waiting: [BTreeMap<u64, Waiting<T>>; URGENCIES],
    urgency_time: [u64; URGENCIES],
    inner_time: u64,
    bytes: usize,
}

impl<T> Default for Team<T> {
    fn default() -> Self {
        Self {
            weight: 1,
            virtual_time: 0,
            in_progress: 0,
            waiting: std::array::from_fn(|_| BTreeMap::new()),
            urgency_time: [0; URGENCIES],
            inner_time: 0,
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

    /// Returns how many requests of this team are served before `turns` of another team's with a
    /// total `weight`.
    ///
    /// What this team has within its quota counts fully only as far as the quota goes.
    pub(super) fn ahead_of_others(&self, turns: u64, weight: u64, quota: u64) -> u64 {
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

    /// Returns how many requests of the team are served before a new one of an urgency.
    pub(super) fn ahead_of(&self, urgency: Urgency) -> usize {
        let own = self.waiting[urgency as usize].len();
        let others = Urgency::ALL.into_iter().filter(|other| *other != urgency);
        let between = others.map(|other| {
            // While the own ones are served, the others get their part of the turns.
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
            self.urgency_time[position] = self.urgency_time[position].max(self.inner_time);
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

    /// Takes the oldest request of the urgency that is furthest behind.
    pub(super) fn next(&mut self, only_urgent: bool) -> Option<(Urgency, Waiting<T>)> {
        let waiting = Urgency::ALL
            .into_iter()
            .filter(|urgency| self.has(*urgency));
        let eligible = waiting.filter(|urgency| !only_urgent || *urgency == Urgency::Urgent);
        let urgency = eligible.min_by_key(|urgency| self.urgency_time[*urgency as usize])?;
        let number = *self.waiting[urgency as usize].first_key_value()?.0;
        Some((urgency, self.remove(urgency, number)?))
    }

    /// Returns the virtual time that holding one more slot costs each millisecond.
    ///
    /// Of a team beyond its quota, each slot counts in part as within it and in part as beyond, so
    /// that what it has within its quota does not get dearer by what it has beyond.
    pub(super) fn price(&self, urgency: Urgency, quota: u32) -> u64 {
        let held = u64::from(self.in_progress.max(1));
        let within = held.min(u64::from(quota));
        let factor_within = cross_team_factor(urgency, true);
        let factor_beyond = cross_team_factor(urgency, false);
        let shares = within * factor_beyond + (held - within) * factor_within;
        SCALE * shares / (held * factor_within * factor_beyond * self.weight)
    }

    /// Advances the team's virtual time, and that of the urgency within the team.
    pub(super) fn pay(&mut self, urgency: Urgency, expected_ms: u64, price: u64) {
        let position = urgency as usize;
        self.inner_time = self.inner_time.max(self.urgency_time[position]);
        self.urgency_time[position] += expected_ms * SCALE / urgency_factor(urgency);
        self.virtual_time = self
            .virtual_time
            .saturating_add(expected_ms.saturating_mul(price));
    }
}
