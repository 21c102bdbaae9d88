//! HTTP handler of the request counts for the report on service-level burn.

use std::collections::BTreeMap;

use actix_web::{HttpResponse, web};
use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use serde::Serialize;

use super::error_response;
use crate::node::{NodeHandle, ReplicaStatus, View};

/// The windows over which burn rates are calculated: 5 minutes, 1 hour, 6 hours, 3 and 30 days.
const WINDOWS_MS: [u64; 5] = [300_000, 3_600_000, 21_600_000, 259_200_000, 2_592_000_000];
/// The period covered by the series for plots: 6 hours.
const SERIES_MS: u64 = 21_600_000;

#[derive(Debug, Serialize)]
struct ServiceLevelsBody {
    replica: ReplicaStatus,
    fresh: bool,
    now_ms: u64,
    version: Version,
    published_at_ms: u64,
    entries: Vec<EntryId>,
    objectives_ppm: BTreeMap<ServiceId, u64>,
    windows: Vec<WindowBody>,
    series: Vec<PointBody>,
}

#[derive(Debug, Serialize)]
struct WindowBody {
    window_ms: u64,
    /// The time within the window that the counts of each entry cover.
    covered_ms: BTreeMap<EntryId, DurationMs>,
    counts: Vec<CountsBody>,
}

#[derive(Debug, Serialize)]
struct CountsBody {
    service: ServiceId,
    team: TeamId,
    #[serde(flatten)]
    counts: RequestCounts,
}

#[derive(Debug, Serialize)]
struct PointBody {
    start_ms: u64,
    #[serde(flatten)]
    counts: CountsBody,
}

/// Returns the counts over every window; the body states whether they are fresh.
pub(crate) async fn get(handle: web::Data<NodeHandle>) -> HttpResponse {
    let result = handle
        .with_local_view(|view, replica, fresh| body(view, replica, fresh.is_ok()))
        .await;
    result.map_or_else(
        |error| error_response(&error),
        |body| HttpResponse::Ok().json(body),
    )
}

fn body(view: &View, replica: &ReplicaStatus, fresh: bool) -> ServiceLevelsBody {
    let state = &view.state;
    let desired = state.configuration.desired();
    let objectives = desired.services.iter();
    let windows = WINDOWS_MS
        .iter()
        .map(|window_ms| window(state, desired, *window_ms));
    let points = state
        .service_levels
        .buckets_within(state.now_ms, SERIES_MS)
        .flat_map(|(start_ms, bucket)| {
            counts(bucket)
                .into_iter()
                .map(move |counts| PointBody { start_ms, counts })
        });
    ServiceLevelsBody {
        replica: replica.clone(),
        fresh,
        now_ms: state.now_ms,
        version: state.configuration.version(),
        published_at_ms: state.configuration.first_published_at_ms(),
        entries: desired.entries.keys().cloned().collect(),
        objectives_ppm: objectives
            .map(|(name, service)| (name.clone(), service.objective_ppm))
            .collect(),
        windows: windows.collect(),
        series: points.collect(),
    }
}

fn window(state: &ClusterState, desired: &DesiredState, window_ms: u64) -> WindowBody {
    let sum = state.service_levels.sum(state.now_ms, window_ms);
    let covered = desired
        .entries
        .keys()
        .map(|entry| (entry.clone(), sum.covered(entry)));
    WindowBody {
        window_ms,
        covered_ms: covered.collect(),
        counts: counts(&sum),
    }
}

fn counts(bucket: &Bucket) -> Vec<CountsBody> {
    let mut list = Vec::new();
    for (service, teams) in bucket.counts() {
        for (team, counts) in teams {
            list.push(CountsBody {
                service: service.clone(),
                team: team.clone(),
                counts: *counts,
            });
        }
    }
    list
}
