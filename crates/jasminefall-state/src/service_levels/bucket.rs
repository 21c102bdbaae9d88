//! The request counts of one period.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::Observation;

/// Counts requests by result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Answered completely and in time.
    pub answered: u64,
    /// Answered by the backend server with an error of its own.
    pub failed: u64,
    /// Refused as "not run" for a reason that the caller did not cause.
    pub refused: u64,
    /// Ended as "may have run".
    pub unknown: u64,
}

impl RequestCounts {
    /// Returns the number of requests that count towards the objective.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.answered + self.bad()
    }

    /// Returns the number of requests that miss the objective.
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

/// Holds the request counts of one period.
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

    /// Returns the time for which the bucket holds the counts of an entry.
    #[must_use]
    pub fn covered(&self, entry: &EntryId) -> DurationMs {
        self.covered.get(entry).copied().unwrap_or_default()
    }

    /// Adds the counts of an entry over a period.
    pub(super) fn add(
        &mut self,
        entry: &EntryId,
        period_ms: DurationMs,
        observations: &[Observation],
    ) {
        self.cover(entry, period_ms);
        for Observation {
            service,
            team,
            counts,
        } in observations
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
