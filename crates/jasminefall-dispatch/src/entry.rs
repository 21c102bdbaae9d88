//! The entry program.

use std::rc::Rc;
use std::time::Duration;

use jasminefall_platform::client_calls::{
    CLIENT_WAIT_HEADER, decode_job, encode_status, encode_waiting,
};
use jasminefall_platform::settings::PlatformSettings;
use smol_str::SmolStr;

use crate::forwarding::{ForwardError, Forwarder, NO_LEADER_RETRY_S};
use crate::http::budget::ConnectionBudget;
use crate::http::server::{HttpRequest, HttpResponse, Limits, listen, serve as serve_http};
use crate::lifecycle::{RequestTracker, wait_for_stop_signal, watch_settings};
use crate::message::{ClientOperation, Request, Response};
use crate::metrics::Metrics;
use crate::settings::{peer_address, site_key};

/// The longest that a call may wait for the leader; one is found again within a second and a half,
/// and a client that is told to come back still has time to.
const CALL_LIMIT: Duration = Duration::from_millis(1_800);
/// The part of a client's own limit that is kept for the answer's way back, in milliseconds.
const ANSWER_RESERVE_MS: u64 = 100;
/// The largest body of a client; the default of the platform's configuration.
const MAX_BODY_BYTES: usize = 256 << 10;
/// How many connections may ask whether the entry is ready; the balancer keeps a few.
const MAX_READINESS_CONNECTIONS: usize = 64;
/// How often it is checked that a leader can be found.
const LEADER_CHECK: Duration = Duration::from_millis(500);
/// How long the balancer takes to notice that this entry is not ready: two misses, a second apart.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_300);
/// How long a stop may take, as a part of the grace; the rest is left for the process's end.
const STOP_WAIT_PART: f64 = 0.8;

/// Holds what the tasks of an entry share.
struct Entry {
    forwarder: Forwarder,
    requests: Rc<RequestTracker>,
    metrics: Metrics,
}

/// Runs an entry until it is asked to stop.
///
/// # Errors
///
/// Returns an error where a listener cannot be opened.
pub async fn serve(settings: PlatformSettings) -> anyhow::Result<()> {
    let seeds = peers_of(&settings);
    log::info!(
        "event=started zone={} seeds={seeds:?}",
        settings.data_centre
    );
    let entry = Rc::new(Entry {
        forwarder: Forwarder::new(site_key(&settings), seeds),
        requests: Rc::default(),
        metrics: Metrics::new(),
    });
    let (Some(clients), Some(readiness)) = (settings.clients, settings.readiness) else {
        anyhow::bail!("the settings name no listeners for an entry");
    };
    let answer = {
        let entry = entry.clone();
        move |call| answer_client(entry.clone(), call)
    };
    let clients = serve_http(
        listen(clients)?,
        Limits::new(
            MAX_BODY_BYTES,
            ConnectionBudget::for_accepted(settings.max_descriptors),
        ),
        entry.requests.clone(),
        answer,
    );
    let ready = {
        let entry = entry.clone();
        move |_| {
            let is_ready = !entry.requests.is_stopping() && entry.forwarder.leader().is_some();
            std::future::ready(HttpResponse::new(if is_ready { 200 } else { 503 }))
        }
    };
    // Asking whether the entry is ready must not hold up its stop.
    let asking = Limits::new(0, ConnectionBudget::new(MAX_READINESS_CONNECTIONS));
    let readiness = serve_http(listen(readiness)?, asking, Rc::default(), ready);
    let metrics = crate::metrics::serve(&settings, entry.metrics.clone());
    let path = crate::settings_path();
    let reload = {
        let entry = entry.clone();
        move |read: &PlatformSettings| entry.forwarder.set_seeds(peers_of(read))
    };
    let settings_followed = watch_settings(path, settings.clone(), reload);
    tokio::select! {
        ended = clients => ended?,
        ended = readiness => ended?,
        ended = metrics => ended?,
        ended = settings_followed => ended?,
        () = look_for_leader(&entry) => {}
        ended = stop(&entry, &settings) => ended?,
    }
    log::info!("event=stopped in_flight={}", entry.requests.in_flight());
    Ok(())
}

fn peers_of(settings: &PlatformSettings) -> Vec<std::net::SocketAddr> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| peer_address(settings, seed.ip()))
        .collect()
}

/// Keeps knowing a leader, also while no client calls.
async fn look_for_leader(entry: &Entry) {
    loop {
        if entry.forwarder.leader().is_none() {
            let asked = Request::WaveState(0);
            if let Err(error) = entry.forwarder.forward(LEADER_CHECK, &asked).await {
                log::debug!("event=no_leader error={error:?}");
            }
        }
        tokio::time::sleep(LEADER_CHECK).await;
    }
}

/// Waits to be asked to stop, lets the balancer notice, and finishes the calls under way.
async fn stop(entry: &Entry, settings: &PlatformSettings) -> anyhow::Result<()> {
    wait_for_stop_signal().await?;
    entry.requests.begin_stop();
    tokio::time::sleep(BALANCER_NOTICE).await;
    let grace = Duration::from_millis(settings.stop_grace_ms).mul_f64(STOP_WAIT_PART);
    let left = grace.saturating_sub(BALANCER_NOTICE);
    entry.requests.drain(left).await;
    Ok(())
}

async fn answer_client(entry: Rc<Entry>, call: HttpRequest) -> HttpResponse {
    let started = tokio::time::Instant::now();
    let (method, path, host) = (call.method.clone(), call.path.clone(), call.host.clone());
    let (reply, cause) = decide(&entry, call).await;
    let took = started.elapsed();
    entry.metrics.record_request(&method, reply.status, took);
    let is_read = method == "GET" && reply.status == 200;
    if !is_read {
        log::info!(
            "event=client_answered method={method} host={host} path={path} status={} cause={cause} \
             took_ms={} retry_after_s={:?} leader={:?}",
            reply.status,
            took.as_millis(),
            reply.retry_after_s,
            entry.forwarder.leader()
        );
    }
    reply
}

/// Forwards a call and returns the answer with its cause for the log.
async fn decide(entry: &Entry, call: HttpRequest) -> (HttpResponse, &'static str) {
    let asked = match call.method.as_str() {
        "POST" => match decode_job(&call.body) {
            Ok(job) => ClientOperation::Submit(Box::new(job)),
            Err(error) => return (HttpResponse::new(400).with_error(error), "invalid-job"),
        },
        "GET" => ClientOperation::Read,
        "DELETE" => ClientOperation::Cancel,
        _ => {
            let reply = HttpResponse::new(405).with_error("use POST, GET or DELETE");
            return (reply, "unknown-method");
        }
    };
    let waits_ms = call.numeric_header(CLIENT_WAIT_HEADER);
    let waits_ms = waits_ms.map(|limit| limit.saturating_sub(ANSWER_RESERVE_MS));
    let limit = waits_ms.map_or(CALL_LIMIT, |limit| {
        CALL_LIMIT.min(Duration::from_millis(limit))
    });
    let request = Request::Client {
        host: SmolStr::new(&call.host),
        path: SmolStr::new(&call.path),
        call: asked,
    };
    match entry.forwarder.forward(limit, &request).await {
        Ok(answer) => encode(answer),
        Err(ForwardError::NotExecuted) => {
            let reply = HttpResponse::new(503).with_error("no control leader; nothing was done");
            (reply.with_retry_after_s(NO_LEADER_RETRY_S), "no-leader")
        }
        Err(ForwardError::Unknown) => {
            let what = "control gave no answer in time; send the same call again";
            (HttpResponse::new(504).with_error(what), "unanswered")
        }
    }
}

fn encode(answer: Response) -> (HttpResponse, &'static str) {
    match answer {
        Response::Accepted => (HttpResponse::new(200).with_body("{}"), "accepted"),
        Response::Status(status) => (
            HttpResponse::new(200).with_body(encode_status(status)),
            "status",
        ),
        Response::Waiting(count) => {
            let count = usize::try_from(count).unwrap_or(usize::MAX);
            (
                HttpResponse::new(200).with_body(encode_waiting(count)),
                "waiting",
            )
        }
        Response::RetryAfter { after_ms } => {
            let what = "the queue is full for now; the job was not accepted";
            let seconds = after_ms.div_ceil(1_000).max(1);
            (
                HttpResponse::new(429)
                    .with_error(what)
                    .with_retry_after_s(seconds),
                "overload",
            )
        }
        Response::NoConfiguration => {
            let reply = HttpResponse::new(503).with_error("no configuration yet; nothing was done");
            (
                reply.with_retry_after_s(NO_LEADER_RETRY_S),
                "no-configuration",
            )
        }
        Response::NoQueue => (
            HttpResponse::new(404).with_error("no such queue"),
            "no-queue",
        ),
        Response::NotFound => (HttpResponse::new(410).with_error("no such job"), "no-job"),
        Response::Invalid(what) => (HttpResponse::new(400).with_error(what), "invalid"),
        Response::Unknown
        | Response::NotLeader { .. }
        | Response::HeartbeatNoted { .. }
        | Response::Document(_)
        | Response::Wave { .. } => {
            let what = "control gave no clear answer; send the same call again";
            (HttpResponse::new(504).with_error(what), "unclear")
        }
    }
}
