//! Control instance: the replicated state, the planner, and the HTTP listeners for operators and
//! workers.
//!
//! An *entry* is a proxy instance that receives callers' requests; entries of the replicated log
//! are called log entries. A *worker* is an instance that runs the tasks of jobs. A *wave*
//! maintains the instances of its pools a few at a time, within their availability budgets.
//!
//! # Module map
//!
//! - [`settings`]: the settings file
//! - [`node`]: the actor that runs the replica and applies its committed log entries to the state
//! - [`service`]: the internal RPC service for entries and other replicas
//! - [`entry_leases`]: leases of entries on the configuration
//! - [`planner`]: job placement, preemption, waves and moves of instances
//! - [`worker_registry`]: the leader's record of heartbeats and task leases of workers
//! - [`metrics`]: metrics for a collector to scrape
//! - [`api`]: the HTTP listeners for operators and workers

mod api;
mod entry_leases;
mod metrics;
mod node;
mod planner;
mod service;
mod settings;
mod worker_registry;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use actix::Actor;
use actix_web::dev::Server;
use anyhow::Context;
use jasminefall_runtime::daemon::Daemon;
use jasminefall_runtime::metrics::serve as serve_registry;
use jasminefall_runtime::supervisor::{Child, Supervisor};
use jasminefall_wire::server::serve_control;
use tokio::net::TcpListener;

use crate::node::NodeHandle;
use crate::settings::Settings;

fn main() -> ExitCode {
    let daemon = Daemon {
        program: "jasminefall-control",
        purpose: "Runs a control instance of jasminefall.",
        extra_option: None,
        load: |arguments| Settings::load(&arguments.settings),
        name: |settings: &Settings| settings.replica.to_string(),
    };
    daemon.run(serve)
}

/// Starts the supervised tasks and the HTTP listeners, and serves until a stop is requested.
async fn serve(settings: Settings) -> anyhow::Result<()> {
    let settings = Rc::new(settings);
    let handle = NodeHandle::default();
    let supervisor = Supervisor::new(vec![
        replica_child(settings.clone(), handle.clone()),
        peer_child(settings.clone(), handle.clone()),
        planner_child(handle.clone()),
    ])
    .start();
    let mut servers = vec![
        api::operators::start(&settings, handle.clone()).context("the operators' listener")?,
        api::workers::start(&settings, handle.clone()).context("the workers' listener")?,
    ];
    if let Some(address) = settings.metrics {
        servers.push(serve_metrics(address, handle).context("the metrics' listener")?);
    }
    log::info!(
        "event=started replica={} peer={}",
        settings.replica,
        settings.peer
    );
    futures::future::try_join_all(servers).await?;
    drop(supervisor);
    log::info!("event=stopped cause=\"stop requested\"");
    Ok(())
}

fn serve_metrics(address: SocketAddr, handle: NodeHandle) -> std::io::Result<Server> {
    let metrics = metrics::Metrics::default();
    let registry = metrics.registry();
    serve_registry(address, registry, move || {
        metrics.clone().refresh(handle.clone())
    })
}

fn replica_child(settings: Rc<Settings>, handle: NodeHandle) -> Child {
    Child::new("replica", move || {
        node::run(settings.clone(), handle.clone())
    })
}

fn peer_child(settings: Rc<Settings>, handle: NodeHandle) -> Child {
    Child::new("peer-listener", move || {
        let (settings, handle) = (settings.clone(), handle.clone());
        async move {
            let listener = TcpListener::bind(settings.peer)
                .await
                .context("the peer listener")?;
            serve_control(listener, settings.site_key.clone(), service::new(handle)).await?;
            Ok(())
        }
    })
}

fn planner_child(handle: NodeHandle) -> Child {
    Child::new("planner", move || planner::run(handle.clone()))
}
