//! HTTP listener for callers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::client::ControlClient;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::{jobs, parsing};
use crate::claims::ClaimClient;
use crate::forward::ConnectionPool;
use crate::outcome::{NotRun, Outcome};
use crate::recorder;
use crate::requests::RequestRunner;
use crate::shared::{PendingWork, Shared};

const MAX_BODY_BYTES: usize = 8 << 20;
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Limits how long a caller may take to send the whole request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(15);
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Further connections wait to be accepted.
const MAX_OPEN_CONNECTIONS: usize = 4_096;

/// Holds the state of one thread of the callers' listener.
pub(crate) struct ThreadContext {
    /// The state that all threads share.
    pub(crate) shared: Arc<Shared>,
    /// The client of the control replicas.
    pub(crate) control: Rc<ControlClient>,
    runner: RequestRunner,
}

impl ThreadContext {
    fn new(shared: &Arc<Shared>) -> Self {
        let settings = &shared.settings;
        let control = ControlClient::new(
            &settings.control_addresses,
            &settings.site_key,
            CONTROL_CALL_TIMEOUT,
        );
        let control = Rc::new(control);
        let pool = Rc::new(ConnectionPool::default());
        actix_rt::spawn(sweep_pool(pool.clone()));
        let claims = ClaimClient::new(shared, &control);
        Self {
            shared: shared.clone(),
            control,
            runner: RequestRunner::new(shared, claims, pool),
        }
    }
}

async fn sweep_pool(pool: Rc<ConnectionPool>) {
    loop {
        tokio::time::sleep(POOL_SWEEP_INTERVAL).await;
        pool.close_expired();
    }
}

/// Starts the callers' listener on a single thread, so that its connection pool, retry budget and
/// claim batches exist once per entry.
pub(crate) fn start(shared: &Arc<Shared>) -> anyhow::Result<Server> {
    let address = shared.settings.callers_address;
    let tls = shared.settings.callers_tls.clone();
    let stop_limit_s = shared.settings.stop_limit_ms.get().div_ceil(1_000);
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Rc::new(ThreadContext::new(&shared))))
            .route("/ready", web::get().to(ready))
            .route("/v1/jobs", web::post().to(jobs::submit))
            .route("/v1/jobs/{job}", web::delete().to(jobs::cancel))
            .route("/call/{service}/{operation:.*}", web::to(call))
    });
    let server = server
        .workers(1)
        .max_connections(MAX_OPEN_CONNECTIONS)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        // A caller that closes its sending side counts as disconnected, and its request is given
        // up.
        .h1_allow_half_closed(false)
        .shutdown_timeout(stop_limit_s)
        .disable_signals();
    let server = match tls {
        Some(files) => server.bind_rustls_0_23(address, files.server_config()?)?,
        None => server.bind(address)?,
    };
    Ok(server.run())
}

/// Answers the load balancer: ready while a configuration is in force and no stop is requested.
async fn ready(thread: web::Data<Rc<ThreadContext>>) -> HttpResponse {
    if thread.shared.is_stopping() {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    let in_force = thread.shared.configuration().in_force(monotonic_ms());
    match in_force {
        Some(_) => HttpResponse::Ok().body("ready\n"),
        None => HttpResponse::ServiceUnavailable().body("no configuration in force\n"),
    }
}

async fn call(
    thread: web::Data<Rc<ThreadContext>>,
    request: HttpRequest,
    path: web::Path<(ServiceId, SmolStr)>,
    payload: web::Payload,
) -> HttpResponse {
    let (service, operation) = path.into_inner();
    let (team, arrived) = (parsing::team(&request), Instant::now());
    let result = run_call(&thread, &request, service.clone(), &operation, payload).await;
    let outcome = result.unwrap_or_else(Outcome::NotRun);
    recorder::record(&thread.shared, service, team, &outcome, arrived.elapsed());
    let mut response = outcome.into_response();
    if thread.shared.is_stopping() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

async fn run_call(
    thread: &Rc<ThreadContext>,
    request: &HttpRequest,
    service: ServiceId,
    operation: &str,
    payload: web::Payload,
) -> Result<Outcome, NotRun> {
    let arrived = Instant::now();
    let desired = parsing::in_force(&thread.shared)?;
    let declared = desired
        .services
        .get(&service)
        .ok_or(NotRun::UnknownService)?;
    let deadline = parsing::deadline(request, declared, arrived)?;
    let body = read_body(payload, deadline).await?;
    let shared = &thread.shared;
    let prepared = parsing::prepare(
        shared, request, declared, service, operation, body, deadline,
    )?;
    if prepared.claim.is_none() {
        // A disconnect of the caller drops this future; its queued request, slot and attempts clean
        // up on drop.
        return Ok(thread.runner.run(&prepared, std::future::pending()).await);
    }
    let (mut sender, receiver) = oneshot::channel();
    let (thread, pending_work) = (thread.clone(), PendingWork::new(shared));
    // Runs in its own task, so that a caller's disconnect does not abort the exchange with the
    // backend server or the recording of its result.
    actix_rt::spawn(async move {
        let outcome = thread.runner.run(&prepared, sender.closed()).await;
        let _ = sender.send(outcome);
        drop(pending_work);
    });
    Ok(receiver.await.unwrap_or(Outcome::MayHaveRun))
}

/// Reads a whole body, up to `MAX_BODY_BYTES` and until the deadline.
async fn read_body(mut payload: web::Payload, deadline: Instant) -> Result<Bytes, NotRun> {
    let mut body = BytesMut::new();
    loop {
        let next = timeout_at(deadline.into(), payload.next()).await;
        match next.map_err(|_| NotRun::BodyTimeout)? {
            Some(Ok(chunk)) if body.len() + chunk.len() > MAX_BODY_BYTES => {
                return Err(NotRun::BodyTooLarge);
            }
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            Some(Err(_)) => {
                return Err(NotRun::InvalidRequest(
                    "the body ended early; send all of it".into(),
                ));
            }
            None => return Ok(body.freeze()),
        }
    }
}
