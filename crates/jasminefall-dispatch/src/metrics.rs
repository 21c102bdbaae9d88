//! What a metrics collector sees.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_platform::settings::PlatformSettings;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::http::budget::ConnectionBudget;
use crate::http::server::{HttpResponse, Limits, listen, serve as serve_http};

/// How many connections of metrics collectors are served; there are one or two.
const MAX_COLLECTORS: usize = 16;
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels an answered call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    method: String,
    status: u32,
}

/// Labels a decision of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabels {
    decision: &'static str,
}

/// Counts calls and decisions.
#[derive(Clone)]
pub struct Metrics {
    registry: Rc<Registry>,
    calls: Family<CallLabels, Counter>,
    call_seconds: Histogram,
    decisions: Family<DecisionLabels, Gauge>,
    commit_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics that have counted nothing.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jasminefall");
        let seconds = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        let (calls, call_seconds) = (Family::default(), seconds());
        let (decisions, commit_seconds) = (Family::default(), seconds());
        registry.register("calls", "Calls answered", Family::clone(&calls));
        registry.register(
            "call_seconds",
            "Time to the answer of a call",
            call_seconds.clone(),
        );
        let help = "What the leader has decided since it leads";
        registry.register("decisions", help, Family::clone(&decisions));
        let help = "Time from a proposal until it is applied";
        registry.register("commit_seconds", help, commit_seconds.clone());
        Self {
            registry: Rc::new(registry),
            calls,
            call_seconds,
            decisions,
            commit_seconds,
        }
    }

    /// Notes an answered call.
    pub fn record_request(&self, method: &str, status: u16, took: Duration) {
        let labels = CallLabels {
            method: method.to_owned(),
            status: u32::from(status),
        };
        self.calls.get_or_create(&labels).inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// Notes how long a proposal took until it was applied.
    pub fn record_commit(&self, took: Duration) {
        self.commit_seconds.observe(took.as_secs_f64());
    }

    /// Sets how often something was decided, or how much of something there is.
    pub fn set_decision_count(&self, decision: &'static str, count: u64) {
        let gauge = self.decisions.get_or_create(&DecisionLabels { decision });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    fn page(&self) -> HttpResponse {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => HttpResponse::new(200)
                .with_body(text)
                .with_content_type(CONTENT_TYPE),
            Err(error) => HttpResponse::new(500).with_error(error),
        }
    }
}

/// Serves the metrics on the last of our own ports.
///
/// # Errors
///
/// Returns an error where the port cannot be opened.
pub async fn serve(settings: &PlatformSettings, metrics: Metrics) -> anyhow::Result<()> {
    let address = SocketAddr::new(settings.address, settings.own_ports.1);
    let answer = move |_| std::future::ready(metrics.page());
    let limits = Limits::new(0, ConnectionBudget::new(MAX_COLLECTORS));
    serve_http(listen(address)?, limits, Rc::default(), answer).await
}
