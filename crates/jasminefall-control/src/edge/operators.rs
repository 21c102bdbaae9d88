//! What operators speak.

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use jasminefall_core::desired::DESIRED_STATE_FILE;
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;
use serde::{Deserialize, Serialize};

use super::{ErrorBody, refuse};
use crate::node::{NodeHandle, ReplicaStatus};
use crate::settings::Settings;

const MAX_BODY_BYTES: usize = 8 << 20;

/// Starts the operators' listener.
pub(crate) fn start(settings: &Settings, handle: NodeHandle) -> std::io::Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(handle.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/v1/status", web::get().to(status))
            .route(
                "/v1/service-levels",
                web::get().to(super::service_levels::get),
            )
            .route("/v1/check", web::post().to(check))
            .route("/v1/apply", web::post().to(apply))
            .route("/v1/in-force/{version}", web::get().to(in_force))
            .configure(super::fleet::configure)
    });
    let server = server.workers(1).bind(settings.operators)?;
    Ok(server.run())
}

/// Describes the site.
#[derive(Debug, Serialize)]
struct StatusBody {
    replica: ReplicaStatus,
    fresh: bool,
    version: Version,
    claims: usize,
    workers: Vec<WorkerBody>,
    jobs: Vec<JobBody>,
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
    let looked = handle
        .look(|view, replica, fresh| {
            let now_ms = monotonic_ms();
            let desired = view.state.configuration.desired();
            let workers = desired.instances.keys().map(|instance| {
                let worker = WorkerId::new(instance.as_str());
                WorkerBody {
                    live: view.workers.is_live(&worker, now_ms),
                    worker,
                }
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
                workers: workers.collect(),
                jobs: jobs.collect(),
            }
        })
        .await;
    looked.map_or_else(|error| refuse(&error), |body| HttpResponse::Ok().json(body))
}

async fn check(text: String) -> HttpResponse {
    match DesiredState::parse(DESIRED_STATE_FILE, &text) {
        Ok(_) => HttpResponse::Ok().json(Problems::new()),
        Err(problems) => HttpResponse::UnprocessableEntity().json(problems),
    }
}

/// Asks for a desired state to be published.
#[derive(Debug, Deserialize)]
struct ApplyBody {
    change: ChangeId,
    operator: SmolStr,
    base: Version,
    text: String,
}

#[derive(Debug, Serialize)]
struct AppliedBody {
    version: Version,
}

async fn apply(handle: web::Data<NodeHandle>, body: web::Json<ApplyBody>) -> HttpResponse {
    let ApplyBody {
        change,
        operator,
        base,
        text,
    } = body.into_inner();
    let command = Command::Apply(ApplyRequest {
        change,
        operator,
        base,
        text,
    });
    match handle.propose(command).await {
        Ok(Outcome::Published(version)) => HttpResponse::Ok().json(AppliedBody { version }),
        Ok(Outcome::Refused(Refusal::Faulty(problems))) => {
            HttpResponse::UnprocessableEntity().json(problems)
        }
        Ok(Outcome::Refused(refusal)) => HttpResponse::Conflict().json(ErrorBody {
            error: refusal.to_string(),
            leader_peer: None,
        }),
        Ok(_) => HttpResponse::InternalServerError().finish(),
        Err(error) => refuse(&error),
    }
}

#[derive(Debug, Serialize)]
struct InForceBody {
    version: Version,
    in_force: bool,
    lagging: Vec<EntryId>,
}

async fn in_force(handle: web::Data<NodeHandle>, version: web::Path<u64>) -> HttpResponse {
    let version = Version::new(*version);
    let looked = handle
        .look_fresh(move |view| {
            let configuration = &view.state.configuration;
            let lagging =
                view.entry_leases
                    .lagging(configuration.desired(), version, monotonic_ms());
            let published = configuration.version() >= version;
            InForceBody {
                version,
                in_force: published && lagging.is_empty(),
                lagging: lagging.into_iter().cloned().collect(),
            }
        })
        .await;
    looked.map_or_else(|error| refuse(&error), |body| HttpResponse::Ok().json(body))
}
