//! What callers speak.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::http::Method;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use awc::Client;
use bytes::Bytes;
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::claims::{ClaimKey, ClaimRequest};
use jasminefall_wire::client::ControlClient;
use smol_str::format_smolstr;
use tokio::sync::oneshot;

use super::jobs;
use crate::claiming;
use crate::dispatch::{self, Wanted};
use crate::forward::{self, KEY_HEADER, Outgoing};
use crate::outcome::{NotRun, Outcome};
use crate::recorder;
use crate::shared::Shared;
use jasminefall_policy::ejection::SlotOutcome;

const MAX_BODY_BYTES: usize = 8 << 20;
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
const TEAM_HEADER: &str = "Jasminefall-Team";
const TIMEOUT_HEADER: &str = "Jasminefall-Timeout-Ms";
const URGENCY_HEADER: &str = "Jasminefall-Urgency";

/// Holds what one thread of the callers' listener works with.
pub(crate) struct Thread {
    /// What all threads share.
    pub(crate) shared: Arc<Shared>,
    /// Calls to control.
    pub(crate) control: ControlClient,
    client: Client,
}

/// Starts the callers' listener.
pub(crate) fn start(shared: &Arc<Shared>) -> std::io::Result<Server> {
    let address = shared.settings.callers;
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        let settings = &shared.settings;
        let thread = Rc::new(Thread {
            shared: shared.clone(),
            control: ControlClient::new(&settings.control, &settings.site_key, CALL_TIMEOUT),
            client: forward::client(),
        });
        App::new()
            .app_data(web::Data::new(thread))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/ready", web::get().to(ready))
            .route("/v1/jobs", web::post().to(jobs::submit))
            .route("/v1/jobs/{job}", web::delete().to(jobs::cancel))
            .route("/call/{service}/{operation:.*}", web::to(call))
    });
    Ok(server.workers(1).bind(address)?.run())
}

/// Answers the balancer: ready while the configuration is in force.
async fn ready(thread: web::Data<Rc<Thread>>) -> HttpResponse {
    let in_force = thread.shared.configuration().in_force(monotonic_ms());
    match in_force {
        Some(_) => HttpResponse::Ok().body("ready\n"),
        None => HttpResponse::ServiceUnavailable().body("no configuration in force\n"),
    }
}

async fn call(
    thread: web::Data<Rc<Thread>>,
    request: HttpRequest,
    path: web::Path<(ServiceId, SmolStr)>,
    body: Bytes,
) -> HttpResponse {
    let (service, operation) = path.into_inner();
    let team = TeamId::new(header(&request, TEAM_HEADER).unwrap_or_default());
    let arrived = Instant::now();
    let prepared = match prepare(&thread, &request, service.clone(), operation, body) {
        Ok(prepared) => prepared,
        Err(reason) => {
            let outcome = Outcome::NotRun(reason);
            recorder::note(&thread.shared, service, team, &outcome, arrived.elapsed());
            return outcome.into_response();
        }
    };
    let (sender, receiver) = oneshot::channel();
    let thread = thread.get_ref().clone();
    // A caller that hangs up must not cut short an exchange or its record.
    actix_rt::spawn(async move {
        let outcome = run(&thread, prepared).await;
        recorder::note(&thread.shared, service, team, &outcome, arrived.elapsed());
        let _ = sender.send(outcome);
    });
    receiver
        .await
        .unwrap_or(Outcome::MayHaveRun)
        .into_response()
}

/// Holds a request that may run.
struct Prepared {
    wanted: Wanted,
    outgoing: Outgoing,
    claim: Option<ClaimRequest>,
}

fn prepare(
    thread: &Thread,
    request: &HttpRequest,
    service: ServiceId,
    operation: SmolStr,
    body: Bytes,
) -> Result<Prepared, NotRun> {
    static ATTEMPTS: AtomicU64 = AtomicU64::new(1);
    let desired = thread.shared.configuration().in_force(monotonic_ms());
    let desired = desired.ok_or(NotRun::NoConfiguration)?;
    let declared = desired
        .services
        .get(&service)
        .ok_or(NotRun::UnknownService)?;
    let timeout_ms = match header(request, TIMEOUT_HEADER) {
        Some(text) => text.parse().map_err(|_| {
            NotRun::Bad(format_smolstr!(
                "{TIMEOUT_HEADER} is no number; write milliseconds"
            ))
        })?,
        None => declared.timeout_ms.get(),
    };
    // No request may outlast the loan of a slot, which lasts as long as the service's own timeout.
    let timeout_ms = timeout_ms.min(declared.timeout_ms.get());
    let urgency = match header(request, URGENCY_HEADER) {
        Some(text) => text
            .parse()
            .map_err(|error| NotRun::Bad(format_smolstr!("{URGENCY_HEADER}: {error}")))?,
        None => Urgency::default(),
    };
    let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let name = &thread.shared.settings.name;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let outgoing = Outgoing {
        method: request.method().clone(),
        path: backend_path(path, &service),
        content_type: header(request, "Content-Type").map(SmolStr::new),
        body,
        key: header(request, KEY_HEADER).map(SmolStr::new),
        request: format_smolstr!("{name}-{attempt}"),
        deadline: Instant::now() + Duration::from_millis(timeout_ms),
    };
    let claim = if is_idempotent(declared, &operation, request.method()) {
        None
    } else {
        let key = header(request, KEY_HEADER).ok_or_else(|| {
            NotRun::Bad(format_smolstr!(
                "the operation is not idempotent; add {KEY_HEADER}"
            ))
        })?;
        let team = TeamId::new(header(request, TEAM_HEADER).unwrap_or_default());
        Some(ClaimRequest {
            key: ClaimKey {
                team,
                key: IdempotencyKey::new(key),
            },
            entry: name.clone(),
            attempt,
            digest: claiming::digest(&outgoing.path, &outgoing.body),
        })
    };
    let wanted = Wanted {
        service,
        team: TeamId::new(header(request, TEAM_HEADER).unwrap_or_default()),
        urgency,
        body_bytes: outgoing.body.len(),
        deadline: outgoing.deadline,
    };
    Ok(Prepared {
        wanted,
        outgoing,
        claim,
    })
}

/// Takes `/call/SERVICE` off a path.
fn backend_path(path: &str, service: &ServiceId) -> SmolStr {
    let prefix = format!("/call/{service}");
    SmolStr::new(path.strip_prefix(prefix.as_str()).unwrap_or(path))
}

fn is_idempotent(declared: &ServiceDeclaration, operation: &str, method: &Method) -> bool {
    if declared.non_idempotent.contains(operation) {
        return false;
    }
    declared.idempotent.contains(operation) || method.is_safe()
}

fn header<'request>(request: &'request HttpRequest, name: &str) -> Option<&'request str> {
    request.headers().get(name)?.to_str().ok()
}

async fn run(thread: &Thread, prepared: Prepared) -> Outcome {
    let Prepared {
        wanted,
        outgoing,
        claim,
    } = prepared;
    let key = match claim {
        Some(request) => {
            let key = request.key.clone();
            if let Err(outcome) = claiming::claim(&thread.control, request).await {
                return outcome;
            }
            Some(key)
        }
        None => None,
    };
    let outcome = match dispatch::acquire(&thread.shared, wanted).await {
        Ok(slot) => {
            let outcome = forward::send(&thread.client, &slot.address, &outgoing).await;
            slot.finish(outcome_at_slot(&outcome));
            outcome
        }
        Err(reason) => Outcome::NotRun(reason),
    };
    if let Some(key) = key {
        claiming::record(&thread.control, key, &outcome).await;
    }
    outcome
}

/// Returns what an outcome says of the backend server.
fn outcome_at_slot(outcome: &Outcome) -> SlotOutcome {
    match outcome {
        Outcome::Answered(answer) if answer.status.is_server_error() => SlotOutcome::Failed,
        Outcome::Answered(_) => SlotOutcome::Succeeded,
        Outcome::NotRun(_) | Outcome::MayHaveRun => SlotOutcome::Failed,
    }
}
