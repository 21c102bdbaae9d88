//! Entry instance: callers, backend servers' announcements, queues and routing.
//!
//! # Module map
//!
//! - [`settings`]: what the settings file says
//! - [`shared`]: what the threads of an entry share
//! - [`configuration`]: the desired state that the entry acts on, under its lease
//! - [`backends`]: what backend servers announced
//! - [`dispatch`]: queues and slots
//! - [`exchange`]: news between entries
//! - [`renewal`]: keeping the lease on the configuration
//! - [`requests`]: the path of a request from its claim to its outcome
//! - [`claiming`]: claims for requests that run at most once
//! - [`batch`]: many items in one commit
//! - [`forward`]: sending a request to a backend server
//! - [`headers`]: which headers are passed on
//! - [`retry_budget`]: how many retries are allowed
//! - [`outcome`]: the outcomes of a request
//! - [`metrics`]: what a metrics collector sees
//! - [`recorder`]: counts for the report on service-level burn
//! - [`clean_stop`]: the note of a clean stop
//! - [`stop`]: the graceful stop
//! - [`edge`]: what callers and backend servers speak

mod backends;
mod batch;
mod claiming;
mod clean_stop;
mod configuration;
mod dispatch;
mod edge;
mod exchange;
mod forward;
mod headers;
mod metrics;
mod outcome;
mod recorder;
mod renewal;
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

/// Starts the supervisor tree and the edges, and serves until a stop is asked for.
async fn serve(settings: Settings) -> anyhow::Result<()> {
    let shared = Arc::new(Shared::new(settings));
    dispatch::take_clean_stop(&shared);
    let supervisor = Supervisor::new(vec![
        child("renewal", &shared, renewal::run),
        child("exchange", &shared, exchange::run),
        child("peer-listener", &shared, exchange::serve),
        child("sweeper", &shared, dispatch::sweep),
        child("recorder", &shared, recorder::run),
    ])
    .start();
    let mut servers = vec![
        edge::callers::start(&shared).context("the callers' listener")?,
        edge::backends::start(&shared).context("the backend servers' listener")?,
    ];
    if let Some(address) = shared.settings.metrics {
        servers.push(serve_metrics(address, &shared).context("the metrics' listener")?);
    }
    log::info!("event=started callers={}", shared.settings.callers);
    let handles = servers.iter().map(actix_web::dev::Server::handle).collect();
    actix_rt::spawn(stop::run(shared.clone(), handles));
    futures::future::try_join_all(servers).await?;
    stop::wait_for_unfinished(&shared).await;
    dispatch::note_clean_stop(&shared);
    drop(supervisor);
    log::info!("event=stopped cause=\"asked to\"");
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
