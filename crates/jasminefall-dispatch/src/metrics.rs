//! Metrics of both programs, and their HTTP endpoint.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use jasminefall_jobs::leader::{WaitReason, WorkspaceUse};
use jasminefall_jobs::prelude::WorkspaceName;
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

/// The number of connections for metrics collectors; one or two are expected.
const MAX_COLLECTOR_CONNECTIONS: usize = 16;
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels a request with its method and response status.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    method: String,
    status: u32,
}

/// Labels a gauge of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabels {
    decision: &'static str,
}

/// Labels the longest wait of a task for a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    reason: &'static str,
}

/// Labels a gauge of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
    amount: &'static str,
}

/// The number of workspaces with metrics of their own; the others are summed up.
const MAX_WORKSPACES: usize = 10;
/// The label of the sum over the other workspaces.
const OTHER_WORKSPACES: &str = "(other)";

/// Holds the metrics and their registry.
#[derive(Clone)]
pub struct Metrics {
    registry: Rc<Registry>,
    calls: Family<CallLabels, Counter>,
    call_seconds: Histogram,
    decisions: Family<DecisionLabels, Gauge>,
    commit_seconds: Histogram,
    workspaces: Family<WorkspaceLabels, Gauge>,
    longest_wait_seconds: Family<WaitLabels, Gauge<f64, AtomicU64>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics with all counts at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jasminefall");
        let seconds = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        let (calls, call_seconds) = (Family::default(), seconds());
        let (decisions, commit_seconds) = (Family::default(), seconds());
        registry.register("calls", "Requests answered", Family::clone(&calls));
        registry.register(
            "call_seconds",
            "Time until the response to a request",
            call_seconds.clone(),
        );
        let help = "Decisions and amounts counted by the current leader";
        registry.register("decisions", help, Family::clone(&decisions));
        let help = "Time from a proposal until it is applied";
        registry.register("commit_seconds", help, commit_seconds.clone());
        let workspaces = Family::default();
        let help = "Use and refusals of the workspaces that use the most";
        registry.register("workspaces", help, Family::clone(&workspaces));
        let longest_wait_seconds = Family::default();
        registry.register(
            "longest_wait_seconds",
            "Longest time that a task waits for a run, by the reason",
            Family::clone(&longest_wait_seconds),
        );
        Self {
            registry: Rc::new(registry),
            calls,
            call_seconds,
            decisions,
            commit_seconds,
            workspaces,
            longest_wait_seconds,
        }
    }

    /// Records a request and the time until its response.
    pub fn record_request(&self, method: &str, status: u16, elapsed: Duration) {
        let labels = CallLabels {
            method: method.to_owned(),
            status: u32::from(status),
        };
        self.calls.get_or_create(&labels).inc();
        self.call_seconds.observe(elapsed.as_secs_f64());
    }

    /// Records the time from a proposal until it was applied.
    pub fn record_commit(&self, elapsed: Duration) {
        self.commit_seconds.observe(elapsed.as_secs_f64());
    }

    /// Sets a gauge of the leader: the number of decisions of one kind since its election, or a current
    /// amount such as the number of workers.
    pub fn set_decision_count(&self, decision: &'static str, count: u64) {
        let gauge = self.decisions.get_or_create(&DecisionLabels { decision });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the gauges of the workspaces: those that use the most processor time, and the sum of the rest.
    pub fn set_workspaces<'a>(
        &self,
        uses: impl Iterator<Item = (&'a WorkspaceName, WorkspaceUse)>,
    ) {
        let mut uses: Vec<_> = uses.collect();
        uses.sort_by_key(|(_, used)| std::cmp::Reverse(used.total().cpu_millis));
        self.workspaces.clear();
        for (position, (name, used)) in uses.into_iter().enumerate() {
            let workspace = if position < MAX_WORKSPACES {
                name.as_str()
            } else {
                OTHER_WORKSPACES
            };
            let amounts = [
                ("running_cpu_millis", used.running.cpu_millis),
                ("running_memory_mb", used.running.memory_mb),
                ("unconfirmed_cpu_millis", used.unconfirmed.cpu_millis),
                ("unconfirmed_memory_mb", used.unconfirmed.memory_mb),
                ("refused", used.refused),
            ];
            for (amount, value) in amounts {
                let workspace = workspace.to_owned();
                let labels = WorkspaceLabels { workspace, amount };
                let gauge = self.workspaces.get_or_create(&labels);
                gauge.inc_by(i64::try_from(value).unwrap_or(i64::MAX));
            }
        }
    }

    /// Sets the longest wait of a task for each reason, in milliseconds.
    pub fn set_longest_waits(&self, waits: impl Iterator<Item = (WaitReason, u64)>) {
        for (reason, longest_ms) in waits {
            let reason = reason.as_str();
            let labels = WaitLabels { reason };
            let gauge = self.longest_wait_seconds.get_or_create(&labels);
            gauge.set(Duration::from_millis(longest_ms).as_secs_f64());
        }
    }

    /// Removes the longest waits, which only a leader knows.
    pub fn clear_longest_waits(&self) {
        self.longest_wait_seconds.clear();
    }

    fn render(&self) -> HttpResponse {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => HttpResponse::new(200)
                .with_body(text)
                .with_content_type(CONTENT_TYPE),
            Err(error) => HttpResponse::new(500).with_error(error),
        }
    }
}

/// Serves the metrics on the last of the instance's internal ports.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn serve(settings: &PlatformSettings, metrics: Metrics) -> anyhow::Result<()> {
    let address = SocketAddr::new(settings.address, settings.internal_ports.1);
    let handle = move |_| std::future::ready(metrics.render());
    let limits = Limits::new(0, ConnectionBudget::new(MAX_COLLECTOR_CONNECTIONS));
    serve_http(listen(address)?, limits, Rc::default(), handle).await
}
