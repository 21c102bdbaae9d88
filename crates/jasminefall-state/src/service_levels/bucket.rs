//! The counts of one span of time.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::Observation;

/// Counts what became of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Answered whole and in time.
    pub answered: u64,
    /// Answered by the backend server with a failure of its own.
    pub failed: u64,
    /// Refused as "not run" although the caller was not at fault.
    pub refused: u64,
    /// Ended as "may have run".
    pub unknown: u64,
}

impl RequestCounts {
    /// Returns how many requests count towards the objective.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.answered + self.bad()
    }

    /// Returns how many requests miss the objective.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.failed + self.refused + self.unknown
    }

    /// Adds other counts to these.
    pub const fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.refused += other.refused;
        self.unknown += other.unknown;
    }
}

/// Holds the counts of one span of time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Bucket {
    counts: BTreeMap<ServiceId, BTreeMap<TeamId, RequestCounts>>,
    covered: BTreeMap<EntryId, DurationMs>,
}

impl Bucket {
    /// Returns the counts by service and team.
    #[must_use]
    pub const fn counts(&self) -> &BTreeMap<ServiceId, BTreeMap<TeamId, RequestCounts>> {
        &self.counts
    }

    /// Returns how much time of an entry the bucket covers.
    #[must_use]
    pub fn covered(&self, entry: &EntryId) -> DurationMs {
        self.covered.get(entry).copied().unwrap_or_default()
    }

    /// Adds what an entry counted over a period.
    pub(super) fn add(&mut self, entry: &EntryId, period_ms: DurationMs, list: &[Observation]) {
        self.cover(entry, period_ms);
        for Observation {
            service,
            team,
            counts,
        } in list
        {
            self.count(service, team, counts);
        }
    }

    /// Adds another bucket to this one.
    pub(super) fn merge(&mut self, other: &Self) {
        for (entry, period_ms) in &other.covered {
            self.cover(entry, *period_ms);
        }
        for (service, teams) in &other.counts {
            for (team, counts) in teams {
                self.count(service, team, counts);
            }
        }
    }

    fn cover(&mut self, entry: &EntryId, period_ms: DurationMs) {
        let covered = self.covered.entry(entry.clone()).or_default();
        *covered = covered.saturating_add(period_ms);
    }

    fn count(&mut self, service: &ServiceId, team: &TeamId, counts: &RequestCounts) {
        let teams = self.counts.entry(service.clone()).or_default();
        teams.entry(team.clone()).or_default().add(counts);
    }
}
