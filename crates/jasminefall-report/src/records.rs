//! Service-level data of the control instances, as served at `/v1/service-levels`.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use serde::Deserialize;

/// Holds the service-level data of a control instance.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Records {
    /// Whether the instance is the leader, so that its data is up to date.
    pub fresh: bool,
    /// The latest time in the data in milliseconds since 1970.
    pub now_ms: u64,
    /// The version of the desired state.
    pub version: Version,
    /// The time of the first publication in milliseconds since 1970.
    pub published_at_ms: u64,
    /// The entries that are expected to report counts.
    pub entries: Vec<EntryId>,
    /// The objective of each service in parts per million.
    pub objectives_ppm: BTreeMap<ServiceId, u64>,
    /// The counts over each window, the shortest first.
    pub windows: Vec<Window>,
    /// The counts over time, for plots.
    pub series: Vec<SeriesPoint>,
}

/// Holds the counts over a window that ends at [`Records::now_ms`].
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Window {
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// The time within the window that the counts of each entry cover.
    pub covered_ms: BTreeMap<EntryId, DurationMs>,
    /// The counts by service and team.
    pub counts: Vec<RequestCounts>,
}

/// Holds the request counts of a service and team by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct RequestCounts {
    /// The service that the requests were for.
    pub service: ServiceId,
    /// The team; empty for requests that named no declared team.
    pub team: TeamId,
    /// Requests with a complete response in time, except with a 5xx status.
    pub answered: u64,
    /// Requests that the backend server answered with a 5xx status.
    pub failed: u64,
    /// Requests that were refused and not run.
    pub refused: u64,
    /// Requests with an unknown outcome, which may have run.
    pub unknown: u64,
}

impl RequestCounts {
    /// Returns the number of requests that miss the objective.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.failed + self.refused + self.unknown
    }

    /// Returns the number of all counted requests.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.answered + self.bad()
    }
}

/// Holds the counts of a service and team in a time span.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct SeriesPoint {
    /// The start of the span in milliseconds since 1970.
    pub start_ms: u64,
    /// The service, the team and their counts in the span.
    #[serde(flatten)]
    pub row: RequestCounts,
}
