//! Entry instance: a proxy that queues callers' requests and routes them to backend servers.
//!
//! *Control* is the group of control instances, which replicates the desired state and the claims
//! of requests that run at most once. A *slot* is the permission to run one request at a backend
//! server at a time.
//!
//! # Module map
//!
//! - [`settings`]: the settings file
//! - [`shared`]: the state that all threads of an entry share
//! - [`configuration`]: the desired state in force, held under a lease
//! - [`backends`]: the backend servers, by their announcements
//! - [`dispatch`]: queues of requests and slots of backend servers
//! - [`peer_exchange`]: state exchange with other entries
//! - [`lease_renewal`]: renewal of the lease on the configuration
//! - [`requests`]: execution of a request, from its claim to its outcome
//! - [`claims`]: claims for requests that run at most once
//! - [`batch`]: batches of items committed together
//! - [`forward`]: sending a request to a backend server
//! - [`headers`]: which HTTP headers are forwarded
//! - [`retry_budget`]: the limit on retries of each service
//! - [`outcome`]: the outcome of a request and its HTTP response
//! - [`metrics`]: metrics for a collector to scrape
//! - [`recorder`]: request counts for the report on service-level burn
//! - [`clean_stop`]: the marker file of a clean stop
//! - [`stop`]: graceful stop
//! - [`api`]: the HTTP listeners for callers and backend servers

mod api;
mod backends;
mod batch;
mod claims;
mod clean_stop;
mod configuration;
mod dispatch;
mod forward;
mod headers;
mod lease_renewal;
mod metrics;
mod outcome;
mod peer_exchange;
mod recorder;
mod requests;
mod retry_budget;
mod settings;
mod shared;
mod stop;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use actix::Actor;
use actix_web::dev::Server;
use anyhow::Context;
use jasminefall_runtime::daemon::Daemon;
use jasminefall_runtime::metrics::serve as serve_registry;
use jasminefall_runtime::supervisor::{Child, Supervisor};

use crate::settings::Settings;
use crate::shared::Shared;

fn main() -> ExitCode {
    let daemon = Daemon {
        program: "jasminefall-entry",
        purpose: "Runs an entry instance of jasminefall.",
        extra_option: None,
        load: |arguments| Settings::load(&arguments.settings),
        name: |settings: &Settings| settings.name.to_string(),
    };
    daemon.run(serve)
}

/// Starts the supervisor tree and the listeners, and serves until a stop is requested.
async fn serve(settings: Settings) -> anyhow::Result<()> {
    let shared = Arc::new(Shared::new(settings));
    dispatch::read_clean_stop_marker(&shared);
    let supervisor = Supervisor::new(vec![
        child("renewal", &shared, lease_renewal::run),
        child("exchange", &shared, peer_exchange::run),
        child("peer-listener", &shared, peer_exchange::serve),
        child("sweeper", &shared, dispatch::sweep),
        child("recorder", &shared, recorder::run),
    ])
    .start();
    let mut servers = vec![
        api::callers::start(&shared).context("failed to start the callers' listener")?,
        api::backends::start(&shared).context("failed to start the backend servers' listener")?,
    ];
    if let Some(address) = shared.settings.metrics_address {
        servers
            .push(serve_metrics(address, &shared).context("failed to start the metrics listener")?);
    }
    log::info!("event=started callers={}", shared.settings.callers_address);
    let handles = servers.iter().map(actix_web::dev::Server::handle).collect();
    actix_rt::spawn(stop::run(shared.clone(), handles));
    futures::future::try_join_all(servers).await?;
    stop::wait_for_pending_work(&shared).await;
    dispatch::write_clean_stop_marker(&shared);
    drop(supervisor);
    log::info!("event=stopped cause=\"stop requested\"");
    Ok(())
}

fn serve_metrics(address: SocketAddr, shared: &Arc<Shared>) -> std::io::Result<Server> {
    let registry = shared.metrics.registry();
    let shared = shared.clone();
    serve_registry(address, registry, move || {
        shared.metrics.refresh(&shared);
        std::future::ready(())
    })
}

fn child<F>(name: &'static str, shared: &Arc<Shared>, run: fn(Arc<Shared>) -> F) -> Child
where
    F: Future<Output = anyhow::Result<()>> + 'static,
{
    let shared = shared.clone();
    Child::new(name, move || run(shared.clone()))
}
