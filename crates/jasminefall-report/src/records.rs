//! What the control instances answer.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::Deserialize;

/// Holds what one control instance keeps.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Records {
    /// Whether the instance leads and its data is the latest.
    pub fresh: bool,
    /// The latest time that the data knows, in milliseconds since 1970.
    pub now_ms: u64,
    /// The version of the desired state.
    pub version: Version,
    /// When the oldest version kept was published, in milliseconds since 1970.
    pub published_at_ms: u64,
    /// The entries that should report.
    pub entries: Vec<EntryId>,
    /// The objective of each service in parts per million.
    pub objectives_ppm: BTreeMap<ServiceId, u64>,
    /// The counts over each window, the shortest first.
    pub windows: Vec<Window>,
    /// The counts over time, for plots.
    pub series: Vec<SeriesPoint>,
}

/// Holds the counts over a window that ends now.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Window {
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// How much time of each entry the counts cover.
    pub covered_ms: BTreeMap<EntryId, DurationMs>,
    /// The counts by service and team.
    pub counts: Vec<RequestCounts>,
}

/// Holds the counts of a service and team.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct RequestCounts {
    /// The service.
    pub service: ServiceId,
    /// The team; empty for callers that named no declared one.
    pub team: TeamId,
    /// Requests answered whole and in time.
    pub answered: u64,
    /// Requests answered with a failure of the backend server.
    pub failed: u64,
    /// Requests refused as "not run".
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
}

impl RequestCounts {
    /// Returns how many requests miss the objective.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.failed + self.refused + self.unknown
    }

    /// Returns how many requests count.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.answered + self.bad()
    }
}

/// Holds the counts of a service and team in one span of time.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct SeriesPoint {
    /// The start of the span in milliseconds since 1970.
    pub start_ms: u64,
    /// The counts.
    #[serde(flatten)]
    pub row: RequestCounts,
}
