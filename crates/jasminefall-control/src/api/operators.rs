//! HTTP listener for operators.
//!
//! # Module map
//!
//! - [`authorization`]: authentication by token and authorization by role
//! - [`publishing`]: validation, publication and rollback of a desired state
//! - [`history`]: published versions and the differences between them

mod authorization;
mod history;
mod publishing;

use std::time::Duration;

use actix_web::dev::Server;
use actix_web::middleware::from_fn;
use actix_web::{App, HttpResponse, HttpServer, web};
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;
use serde::Serialize;

use super::error_response;
use crate::node::{NodeHandle, ReplicaStatus};
use crate::settings::Settings;

const MAX_BODY_BYTES: usize = 8 << 20;
const MAX_CONNECTIONS: usize = 256;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the operators' listener.
pub(crate) fn start(settings: &Settings, handle: NodeHandle) -> anyhow::Result<Server> {
    let tokens = settings.tokens.clone();
    let server = HttpServer::new(move || {
        App::new()
            .wrap(from_fn(authorization::authorize))
            .app_data(web::Data::new(tokens.clone()))
            .app_data(web::Data::new(handle.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/v1/status", web::get().to(status))
            .configure(super::operators_members::add_routes)
            .route(
                "/v1/service-levels",
                web::get().to(super::service_levels::get),
            )
            .configure(publishing::add_routes)
            .configure(history::add_routes)
            .configure(super::fleet::add_routes)
    });
    let server = server
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .client_request_timeout(HEADER_TIMEOUT);
    let server = match &settings.operators_tls {
        Some(files) => server.bind_rustls_0_23(settings.operators, files.server_config()?)?,
        None => server.bind(settings.operators)?,
    };
    Ok(server.run())
}

/// Describes the site as seen by this replica.
#[derive(Debug, Serialize)]
struct StatusBody {
    replica: ReplicaStatus,
    fresh: bool,
    version: Version,
    /// The number of stored claims of requests that run at most once.
    claims: usize,
    entries: Vec<EntryBody>,
    workers: Vec<WorkerBody>,
    jobs: Vec<JobBody>,
}

#[derive(Debug, Serialize)]
struct EntryBody {
    entry: EntryId,
    holds: Version,
}

#[derive(Debug, Serialize)]
struct WorkerBody {
    worker: WorkerId,
    live: bool,
}

#[derive(Debug, Serialize)]
struct JobBody {
    job: JobId,
    team: TeamId,
    urgency: Urgency,
    state: JobState,
}

async fn status(handle: web::Data<NodeHandle>) -> HttpResponse {
    let result = handle
        .with_local_view(|view, replica, fresh| {
            let now_ms = monotonic_ms();
            let desired = view.state.configuration.desired();
            let workers = desired.instances.keys().map(|instance| {
                let worker = WorkerId::new(instance.as_str());
                WorkerBody {
                    live: view.workers.is_live(&worker, now_ms),
                    worker,
                }
            });
            let leases = view.entry_leases.leases(now_ms);
            let entries = leases.map(|(entry, holds)| EntryBody {
                entry: entry.clone(),
                holds,
            });
            let jobs = view.state.jobs.iter().map(|job| JobBody {
                job: job.id,
                team: job.request.team.clone(),
                urgency: job.request.urgency,
                state: job.state.clone(),
            });
            StatusBody {
                replica: replica.clone(),
                fresh: fresh.is_ok(),
                version: view.state.configuration.version(),
                claims: view.state.claims.len(),
                entries: entries.collect(),
                workers: workers.collect(),
                jobs: jobs.collect(),
            }
        })
        .await;
    result.map_or_else(
        |error| error_response(&error),
        |body| HttpResponse::Ok().json(body),
    )
}
