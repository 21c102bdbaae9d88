//! Metrics of an entry, for a collector to scrape.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::outcome::Outcome;
use crate::shared::Shared;

const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 16;
/// Labels the requests for services that are not declared.
const UNDECLARED_LABEL: &str = "undeclared";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

type Durations = Family<ServiceLabels, Histogram, fn() -> Histogram>;

/// Holds the metrics of an entry.
#[derive(Debug)]
pub(crate) struct Metrics {
    requests: Family<OutcomeLabels, Counter>,
    durations: Durations,
    queued: Family<ServiceLabels, Gauge>,
    version: Gauge<u64, AtomicU64>,
    in_force: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            durations: Family::new_with_constructor(new_histogram),
            queued: Family::default(),
            version: Gauge::default(),
            in_force: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Counts one request; `service` is none if it is not declared.
    pub(crate) fn record(&self, service: Option<&ServiceId>, outcome: &Outcome, elapsed: Duration) {
        let service = service
            .map_or(UNDECLARED_LABEL, ServiceId::as_str)
            .to_owned();
        let labels = OutcomeLabels {
            service: service.clone(),
            outcome: outcome.name(),
        };
        self.requests.get_or_create(&labels).inc();
        self.durations
            .get_or_create(&ServiceLabels { service })
            .observe(elapsed.as_secs_f64());
    }

    /// Returns a registry of the metrics.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jasminefall_entry");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        let help = "Time from the arrival of a request to its outcome";
        registry.register_with_unit(
            "request_duration",
            help,
            Unit::Seconds,
            self.durations.clone(),
        );
        registry.register(
            "queue_length",
            "Requests that wait for a slot",
            self.queued.clone(),
        );
        let help = "Version of the configuration held";
        registry.register("configuration_version", help, self.version.clone());
        let help = "Whether the configuration is in force here";
        registry.register("configuration_in_force", help, self.in_force.clone());
        registry
    }

    /// Updates the gauges that are computed only when the metrics are read.
    pub(crate) fn refresh(&self, shared: &Arc<Shared>) {
        let configuration = shared.configuration();
        self.version.set(configuration.version().get());
        self.in_force
            .set(i64::from(configuration.in_force(monotonic_ms()).is_some()));
        drop(configuration);
        for (service, length) in shared.dispatch().queue_lengths() {
            let labels = ServiceLabels {
                service: service.to_string(),
            };
            self.queued
                .get_or_create(&labels)
                .set(i64::try_from(length).unwrap_or(i64::MAX));
        }
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}
