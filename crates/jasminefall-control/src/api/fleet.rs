//! HTTP handlers with which operators manage jobs, pools, instances and waves.

use actix_web::{HttpResponse, web};
use jasminefall_core::prelude::*;
use jasminefall_runtime::tokens::Operator;
use jasminefall_state::prelude::*;
use serde::{Deserialize, Serialize};

use super::{ErrorBody, error_response};
use crate::node::{NodeHandle, View};
use crate::planner::explain;

/// Adds the routes of jobs, pools, instances, waves and explanations.
pub(crate) fn add_routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/jobs", web::get().to(list_jobs))
        .route("/v1/jobs/cancel", web::post().to(cancel_jobs))
        .route("/v1/pools", web::get().to(list_pools))
        .route("/v1/instances", web::get().to(list_instances))
        .route("/v1/instances/{instance}", web::post().to(act_on_instance))
        .route("/v1/waves", web::get().to(list_waves))
        .route("/v1/waves/{wave}", web::post().to(act_on_wave))
        .route("/v1/explain/{kind}/{name}", web::get().to(explain_object));
}

async fn read_view<T: Serialize + Send + 'static>(
    handle: &NodeHandle,
    read: impl FnOnce(&mut View) -> T + Send + 'static,
) -> HttpResponse {
    let result = handle.with_fresh_view(read).await;
    result.map_or_else(
        |error| error_response(&error),
        |body| HttpResponse::Ok().json(body),
    )
}

fn outcome_response(
    outcome: Result<Outcome, jasminefall_wire::message::ControlError>,
) -> HttpResponse {
    match outcome {
        Ok(Outcome::Refused(refusal)) => HttpResponse::Conflict().json(ErrorBody {
            error: refusal.to_string(),
            leader_peer: None,
        }),
        Ok(_) => HttpResponse::Ok().json(DoneBody { done: true }),
        Err(error) => error_response(&error),
    }
}

#[derive(Debug, Serialize)]
struct DoneBody {
    done: bool,
}

#[derive(Debug, Serialize)]
struct JobBody {
    job: JobId,
    team: TeamId,
    kind: SmolStr,
    urgency: Urgency,
    attempts: u32,
    state: JobState,
}

async fn list_jobs(handle: web::Data<NodeHandle>) -> HttpResponse {
    read_view(&handle, |view| {
        let jobs = view.state.jobs.iter().map(|job| JobBody {
            job: job.id,
            team: job.request.team.clone(),
            kind: job.request.kind.clone(),
            urgency: job.request.urgency,
            attempts: job.attempts,
            state: job.state.clone(),
        });
        jobs.collect::<Vec<_>>()
    })
    .await
}

async fn cancel_jobs(handle: web::Data<NodeHandle>, jobs: web::Json<Vec<JobId>>) -> HttpResponse {
    outcome_response(handle.propose(Command::Cancel(jobs.into_inner())).await)
}

#[derive(Debug, Serialize)]
struct PoolBody {
    pool: PoolId,
    #[serde(flatten)]
    count: PoolCount,
    headroom: u64,
}

async fn list_pools(handle: web::Data<NodeHandle>) -> HttpResponse {
    read_view(&handle, |view| {
        let desired = view.state.configuration.desired();
        let pools = desired.pools.keys().map(|pool| PoolBody {
            pool: pool.clone(),
            count: view.state.instances.pool_count(pool),
            headroom: view.state.instances.headroom(desired, pool),
        });
        pools.collect::<Vec<_>>()
    })
    .await
}

#[derive(Debug, Serialize)]
struct InstanceBody {
    name: InstanceId,
    #[serde(flatten)]
    instance: Instance,
    tasks: usize,
}

async fn list_instances(handle: web::Data<NodeHandle>) -> HttpResponse {
    read_view(&handle, |view| {
        let instances = view.state.instances.iter().map(|(id, instance)| {
            let worker = WorkerId::new(id.as_str());
            InstanceBody {
                name: id.clone(),
                instance: instance.clone(),
                tasks: view.state.jobs.on_worker(&worker).count(),
            }
        });
        instances.collect::<Vec<_>>()
    })
    .await
}

/// Requests that an instance is drained, moved to another pool or returned to service.
#[derive(Debug, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
enum InstanceActionBody {
    Drain,
    Move { to: PoolId },
    Return,
}

async fn act_on_instance(
    handle: web::Data<NodeHandle>,
    operator: web::ReqData<Operator>,
    instance: web::Path<String>,
    body: web::Json<InstanceActionBody>,
) -> HttpResponse {
    let action = match body.into_inner() {
        InstanceActionBody::Drain => InstanceAction::Cordon(Purpose::Held(operator.name.clone())),
        InstanceActionBody::Move { to } => InstanceAction::Cordon(Purpose::Move(to)),
        InstanceActionBody::Return => InstanceAction::Return,
    };
    let instance = InstanceId::new(instance.as_str());
    let proposal = handle.propose_from_view(move |view| {
        let known = view.state.instances.get(&instance);
        // The state refuses a step of an instance that is not declared.
        let epoch = known.map(|known| known.epoch).unwrap_or_default();
        Some(Command::Step(InstanceStep {
            instance,
            epoch,
            action,
        }))
    });
    outcome_response(
        proposal
            .await
            .map(|outcome| outcome.unwrap_or(Outcome::Done)),
    )
}

#[derive(Debug, Serialize)]
struct WaveBody {
    name: WaveId,
    #[serde(flatten)]
    wave: Wave,
    pending: usize,
    done: usize,
    failed: usize,
}

async fn list_waves(handle: web::Data<NodeHandle>) -> HttpResponse {
    read_view(&handle, |view| {
        let waves = view.state.waves.iter().map(|(name, wave)| WaveBody {
            name: name.clone(),
            pending: wave.count(WaveMemberState::Pending),
            done: wave.count(WaveMemberState::Done),
            failed: wave.count(WaveMemberState::Failed),
            wave: wave.clone(),
        });
        waves.collect::<Vec<_>>()
    })
    .await
}

/// Requests an action on a wave.
#[derive(Debug, Deserialize)]
struct WaveActionBody {
    action: WaveAction,
}

async fn act_on_wave(
    handle: web::Data<NodeHandle>,
    operator: web::ReqData<Operator>,
    wave: web::Path<String>,
    body: web::Json<WaveActionBody>,
) -> HttpResponse {
    let WaveActionBody { action } = body.into_inner();
    let request = WaveRequest {
        wave: WaveId::new(wave.as_str()),
        operator: operator.name.clone(),
        action,
    };
    outcome_response(handle.propose(Command::Wave(request)).await)
}

async fn explain_object(
    handle: web::Data<NodeHandle>,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    read_view(&handle, move |view| match kind.as_str() {
        "job" => explain::job(view, name.parse().unwrap_or_default()),
        "instance" => explain::instance(view, &InstanceId::new(name)),
        "wave" => explain::wave(view, &WaveId::new(name)),
        _ => vec![
            "the kind is unknown; use `explain job N`, `explain instance X` or `explain wave W`"
                .to_owned(),
        ],
    })
    .await
}
