//! Metrics of a control instance.

use std::sync::atomic::AtomicU64;

use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::node::{NodeHandle, ReplicaStatus, View};

type U64Gauge = Gauge<u64, AtomicU64>;

/// Holds the metrics of a control instance, all of which are updated on each scrape.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics {
    leads: U64Gauge,
    fresh: U64Gauge,
    term: U64Gauge,
    commit_index: U64Gauge,
    version: U64Gauge,
    entries_lagging: U64Gauge,
    workers_live: U64Gauge,
    jobs_waiting: U64Gauge,
    jobs_placed: U64Gauge,
    claims: U64Gauge,
}

impl Metrics {
    /// Returns a registry of the metrics.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("jasminefall_control");
        let list = [
            ("leads", "Whether this replica is the leader", &self.leads),
            (
                "fresh",
                "Whether reads on this replica are linearizable",
                &self.fresh,
            ),
            ("term", "Current term", &self.term),
            (
                "commit_index",
                "Highest log index known to be committed",
                &self.commit_index,
            ),
            (
                "configuration_version",
                "Published version of the configuration",
                &self.version,
            ),
            (
                "entries_lagging",
                "Entries that may act on an older version",
                &self.entries_lagging,
            ),
            (
                "workers_live",
                "Workers with a recent heartbeat, on the leader",
                &self.workers_live,
            ),
            (
                "jobs_waiting",
                "Jobs waiting for placement on a worker",
                &self.jobs_waiting,
            ),
            ("jobs_placed", "Jobs placed on workers", &self.jobs_placed),
            (
                "claims",
                "Claims of requests that run at most once",
                &self.claims,
            ),
        ];
        for (name, help, gauge) in list {
            registry.register(name, help, gauge.clone());
        }
        registry
    }

    /// Updates every metric from the view of this replica.
    pub(crate) async fn refresh(self, handle: NodeHandle) {
        // The previous values are kept while the node restarts.
        let _ = handle
            .with_local_view(move |view, status, fresh| self.update(view, status, fresh.is_ok()))
            .await;
    }

    fn update(&self, view: &View, status: &ReplicaStatus, fresh: bool) {
        let now_ms = monotonic_ms();
        let configuration = &view.state.configuration;
        let desired = configuration.desired();
        let lagging =
            view.entry_leases
                .lagging_entries(configuration, configuration.version(), now_ms);
        let live = desired
            .instances
            .keys()
            .filter(|instance| view.workers.is_live(&instance.as_str().into(), now_ms));
        let placed = |job: &&Job| matches!(job.state, JobState::Placed { .. });
        self.leads
            .set(u64::from(status.leader == Some(status.replica)));
        self.fresh.set(u64::from(fresh));
        self.term.set(status.term.0);
        self.commit_index.set(status.commit.0);
        self.version.set(configuration.version().get());
        self.entries_lagging.set(lagging.len() as u64);
        self.workers_live.set(live.count() as u64);
        self.jobs_waiting
            .set(view.state.jobs.waiting().count() as u64);
        self.jobs_placed
            .set(view.state.jobs.iter().filter(placed).count() as u64);
        self.claims.set(view.state.claims.len() as u64);
    }
}
