//! Validation, publication and rollback of a desired state.

use std::collections::BTreeMap;

use actix_web::{HttpResponse, web};
use jasminefall_core::desired::{DESIRED_STATE_FILE, differences};
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_runtime::tokens::Operator;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::ControlError;
use serde::{Deserialize, Serialize};

use crate::api::{ErrorBody, error_response};
use crate::node::{NodeHandle, View};

const MAX_CHANGE_ID_BYTES: usize = 128;

/// Adds the routes of validation, publication and rollback.
pub(super) fn add_routes(routes: &mut web::ServiceConfig) {
    routes
        .route("/v1/check", web::post().to(check))
        .route("/v1/apply", web::post().to(apply))
        .route("/v1/rollback", web::post().to(rollback))
        .route("/v1/in-force/{version}", web::get().to(in_force));
}

/// Validates a text as the successor of the current desired state, without publishing it.
async fn check(handle: web::Data<NodeHandle>, text: String) -> HttpResponse {
    let result = handle.with_fresh_view(|view| in_use(view)).await;
    match result.map(|in_use| validate(&text, &in_use)) {
        Ok(Ok(_)) => HttpResponse::Ok().json(Problems::new()),
        Ok(Err(problems)) => HttpResponse::UnprocessableEntity().json(problems),
        Err(error) => error_response(&error),
    }
}

/// Requests the publication of a desired state.
#[derive(Debug, Deserialize)]
struct ApplyBody {
    change: ChangeId,
    base: Version,
    text: String,
}

async fn apply(
    handle: web::Data<NodeHandle>,
    operator: web::ReqData<Operator>,
    body: web::Json<ApplyBody>,
) -> HttpResponse {
    let ApplyBody { change, base, text } = body.into_inner();
    let operator = operator.name.clone();
    publish(
        &handle,
        ApplyRequest {
            change,
            operator,
            base,
            text,
        },
    )
    .await
}

/// Requests the publication of an older version as a new one.
#[derive(Debug, Deserialize)]
struct RollbackBody {
    change: ChangeId,
    base: Version,
    to: Version,
}

async fn rollback(
    handle: web::Data<NodeHandle>,
    operator: web::ReqData<Operator>,
    body: web::Json<RollbackBody>,
) -> HttpResponse {
    let RollbackBody { change, base, to } = body.into_inner();
    let find = move |view: &mut View| view.state.configuration.published(to).cloned();
    let text = match handle.with_fresh_view(find).await {
        Ok(Some(published)) => published.text.to_string(),
        Ok(None) => return super::history::not_retained(to),
        Err(error) => return error_response(&error),
    };
    let operator = operator.name.clone();
    publish(
        &handle,
        ApplyRequest {
            change,
            operator,
            base,
            text,
        },
    )
    .await
}

#[derive(Debug, Serialize)]
struct AppliedBody {
    version: Version,
}

/// Validates a text and proposes it; a repeated change receives its first outcome again.
async fn publish(handle: &NodeHandle, request: ApplyRequest) -> HttpResponse {
    let is_valid_length = (1..=MAX_CHANGE_ID_BYTES).contains(&request.change.as_str().len());
    if !is_valid_length || request.change.as_str().contains(char::is_control) {
        return invalid_change_id();
    }
    let requested = request.clone();
    let read = move |view: &mut View| {
        (
            view.state.configuration.recorded_outcome(&requested),
            in_use(view),
        )
    };
    let (earlier_outcome, in_use) = match handle.with_fresh_view(read).await {
        Ok(result) => result,
        Err(error) => return error_response(&error),
    };
    let outcome = match earlier_outcome {
        Some(outcome) => Ok(outcome),
        None => match validate(&request.text, &in_use) {
            Ok(_) => handle.propose(Command::Apply(request.clone())).await,
            Err(problems) => Ok(Outcome::Refused(Refusal::Faulty(problems))),
        },
    };
    publish_response(handle, request.base, outcome).await
}

fn invalid_change_id() -> HttpResponse {
    HttpResponse::BadRequest().json(ErrorBody {
        error: format!(
            "the identifier of the change must have 1 to {MAX_CHANGE_ID_BYTES} bytes without \
             control characters; choose another identifier"
        ),
        leader_peer: None,
    })
}

fn validate(text: &str, in_use: &InUse) -> Result<DesiredState, Problems> {
    DesiredState::parse_successor(DESIRED_STATE_FILE, text, in_use)
}

/// Counts the unfinished jobs of each team and the tasks on each instance.
fn in_use(view: &View) -> InUse {
    let mut jobs_by_team = BTreeMap::new();
    let mut tasks_by_instance = BTreeMap::new();
    for job in view.state.jobs.iter() {
        if job.state.has_ended() {
            continue;
        }
        let instance = job.task().map(|task| InstanceId::new(task.worker.as_str()));
        *jobs_by_team.entry(job.request.team.clone()).or_insert(0) += 1;
        if let Some(instance) = instance {
            *tasks_by_instance.entry(instance).or_insert(0) += 1;
        }
    }
    InUse {
        jobs_by_team,
        tasks_by_instance,
    }
}

async fn publish_response(
    handle: &NodeHandle,
    base: Version,
    outcome: Result<Outcome, ControlError>,
) -> HttpResponse {
    match outcome {
        Ok(Outcome::Published(version)) => HttpResponse::Ok().json(AppliedBody { version }),
        Ok(Outcome::Refused(Refusal::Faulty(problems))) => {
            HttpResponse::UnprocessableEntity().json(problems)
        }
        Ok(Outcome::Refused(refusal)) => conflict_response(handle, base, &refusal).await,
        Ok(_) => HttpResponse::InternalServerError().finish(),
        Err(error) => error_response(&error),
    }
}

/// Describes the version that was published first, and its differences from the base version of the
/// refused text.
#[derive(Debug, Serialize)]
struct ConflictBody {
    error: String,
    current: Option<Version>,
    operator: Option<SmolStr>,
    at_ms: Option<u64>,
    /// The differences, or none if the base version is no longer kept.
    changed: Option<Vec<ObjectChange>>,
}

async fn conflict_response(handle: &NodeHandle, base: Version, refusal: &Refusal) -> HttpResponse {
    let mut body = ConflictBody {
        error: refusal.to_string(),
        current: None,
        operator: None,
        at_ms: None,
        changed: None,
    };
    if let Refusal::Conflict {
        current,
        operator,
        at_ms,
    } = refusal
    {
        let texts = version_texts(handle, base, *current).await;
        body.current = Some(*current);
        body.operator = Some(operator.clone());
        body.at_ms = Some(*at_ms);
        body.changed = texts.map(|[before, after]| differences(&before, &after));
    }
    HttpResponse::Conflict().json(body)
}

/// Returns the texts of two versions if both are kept; version zero has an empty text.
async fn version_texts(
    handle: &NodeHandle,
    before: Version,
    after: Version,
) -> Option<[String; 2]> {
    let find = move |view: &mut View, _: &_, _: Result<(), ControlError>| {
        let text = |version| super::history::version_text(&view.state.configuration, version);
        Some([text(before)?, text(after)?])
    };
    handle.with_local_view(find).await.ok().flatten()
}

#[derive(Debug, Serialize)]
struct InForceBody {
    version: Version,
    in_force: bool,
    lagging: Vec<EntryId>,
}

/// Returns whether every entry that may use a configuration holds this version or a later one.
async fn in_force(handle: web::Data<NodeHandle>, version: web::Path<u64>) -> HttpResponse {
    let version = Version::new(*version);
    let result = handle
        .with_fresh_view(move |view| {
            let configuration = &view.state.configuration;
            let lagging = view
                .entry_leases
                .lagging_entries(configuration, version, monotonic_ms());
            let published = configuration.version() >= version;
            InForceBody {
                version,
                in_force: published && lagging.is_empty(),
                lagging,
            }
        })
        .await;
    result.map_or_else(
        |error| error_response(&error),
        |body| HttpResponse::Ok().json(body),
    )
}
