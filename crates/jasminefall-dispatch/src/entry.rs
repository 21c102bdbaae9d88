//! The entry program.

use std::rc::Rc;
use std::time::Duration;

use jasminefall_platform::client_requests::{
    API_KEY_HEADER, CLIENT_TIMEOUT_HEADER, decode_api_key, decode_job, encode_job_status,
    encode_waiting_jobs,
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

/// The longest time that a request may wait for the leader; a new leader is found within a second and a
/// half, and a client that gets a "retry later" response still has time to retry.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_800);
/// The part of the client's timeout that is reserved for returning the response, in milliseconds.
const RESPONSE_RESERVE_MS: u64 = 100;
/// The largest request body of a client; the default of the platform's configuration.
const MAX_BODY_BYTES: usize = 256 << 10;
/// The number of connections for readiness checks; the load balancer keeps a few open.
const MAX_READINESS_CONNECTIONS: usize = 64;
/// How often the entry checks that a leader is known; also the timeout of that check.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often the members are refreshed, in checks of the leader; several times within the time in which two
/// control instances may be replaced.
const MEMBERS_REFRESH_CHECKS: u64 = 4;
/// The time in which the load balancer detects that this entry is not ready: two failed checks, a
/// second apart.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_300);
/// The fraction of the stop grace period that is used to drain requests; the rest is reserved for the
/// exit of the process.
const DRAIN_SHARE_OF_GRACE: f64 = 0.8;

/// Holds the state that the tasks of an entry share.
struct Entry {
    forwarder: Forwarder,
    requests: Rc<RequestTracker>,
    metrics: Metrics,
}

/// Runs an entry until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened.
pub async fn serve(settings: PlatformSettings) -> anyhow::Result<()> {
    let seeds = seed_addresses(&settings);
    log::info!(
        "event=started zone={} seeds={seeds:?}",
        settings.data_centre
    );
    let entry = Rc::new(Entry {
        forwarder: Forwarder::new(site_key(&settings), seeds),
        requests: Rc::default(),
        metrics: Metrics::new(),
    });
    let (Some(clients), Some(readiness)) = (settings.client_address, settings.readiness_address)
    else {
        anyhow::bail!(
            "the settings lack a listener for clients or for readiness checks; set both addresses"
        );
    };
    let handle = {
        let entry = entry.clone();
        move |request| handle_client(entry.clone(), request)
    };
    let clients = serve_http(
        listen(clients)?,
        Limits::new(
            MAX_BODY_BYTES,
            ConnectionBudget::for_accepted(settings.max_descriptors),
        ),
        entry.requests.clone(),
        handle,
    );
    let ready = {
        let entry = entry.clone();
        move |_| {
            let is_ready = !entry.requests.is_stopping() && entry.forwarder.leader().is_some();
            std::future::ready(HttpResponse::new(if is_ready { 200 } else { 503 }))
        }
    };
    // Readiness checks are not tracked as in flight, so that they do not delay the shutdown.
    let readiness_limits = Limits::new(0, ConnectionBudget::new(MAX_READINESS_CONNECTIONS));
    let readiness = serve_http(listen(readiness)?, readiness_limits, Rc::default(), ready);
    let metrics = crate::metrics::serve(&settings, entry.metrics.clone());
    let path = crate::settings_path();
    let reload = {
        let entry = entry.clone();
        move |loaded: &PlatformSettings| entry.forwarder.set_seeds(seed_addresses(loaded))
    };
    let settings_watch = watch_settings(path, settings.clone(), reload);
    tokio::select! {
        ended = clients => ended?,
        ended = readiness => ended?,
        ended = metrics => ended?,
        ended = settings_watch => ended?,
        () = keep_leader_known(&entry) => {}
        ended = drain_on_stop(&entry, &settings) => ended?,
    }
    log::info!("event=stopped in_flight={}", entry.requests.in_flight());
    Ok(())
}

fn seed_addresses(settings: &PlatformSettings) -> Vec<std::net::SocketAddr> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| peer_address(settings, seed.ip()))
        .collect()
}

/// Searches the leader whenever none is known, and refreshes the members at intervals, even if no client
/// sends requests.
async fn keep_leader_known(entry: &Entry) {
    for check in 0_u64.. {
        entry
            .forwarder
            .search_if_unknown(LEADER_CHECK_INTERVAL)
            .await;
        if check.is_multiple_of(MEMBERS_REFRESH_CHECKS) {
            entry.forwarder.refresh_members().await;
        }
        tokio::time::sleep(LEADER_CHECK_INTERVAL).await;
    }
}

/// Waits for a stop signal and for the load balancer to detect it, then drains in-flight requests.
async fn drain_on_stop(entry: &Entry, settings: &PlatformSettings) -> anyhow::Result<()> {
    wait_for_stop_signal().await?;
    entry.requests.begin_stop();
    tokio::time::sleep(BALANCER_DETECTION_TIME).await;
    let grace = Duration::from_millis(settings.stop_grace_ms).mul_f64(DRAIN_SHARE_OF_GRACE);
    let remaining = grace.saturating_sub(BALANCER_DETECTION_TIME);
    entry.requests.drain(remaining).await;
    Ok(())
}

async fn handle_client(entry: Rc<Entry>, request: HttpRequest) -> HttpResponse {
    let started = tokio::time::Instant::now();
    let (method, path, host) = (
        request.method.clone(),
        request.path.clone(),
        request.host.clone(),
    );
    let (response, cause) = forward_request(&entry, request).await;
    let elapsed = started.elapsed();
    entry
        .metrics
        .record_request(&method, response.status, elapsed);
    let is_successful_read = method == "GET" && response.status == 200;
    if !is_successful_read {
        log::info!(
            "event=client_answered method={method} host={host} path={path} status={} cause={cause} \
             took_ms={} retry_after_s={:?} leader={:?}",
            response.status,
            elapsed.as_millis(),
            response.retry_after_s,
            entry.forwarder.leader()
        );
    }
    response
}

/// Forwards a client's request; returns the response and its cause for the log.
async fn forward_request(entry: &Entry, http_request: HttpRequest) -> (HttpResponse, &'static str) {
    let operation = match http_request.method.as_str() {
        "POST" => match decode_job(&http_request.body) {
            Ok(job) => ClientOperation::Submit(Box::new(job)),
            Err(error) => ClientOperation::SubmitInvalid(error.to_string().into()),
        },
        "GET" => ClientOperation::Read,
        "DELETE" => ClientOperation::Cancel,
        _ => {
            let response = HttpResponse::new(405).with_error("use POST, GET or DELETE");
            return (response, "unknown-method");
        }
    };
    let client_timeout_ms = http_request.numeric_header(CLIENT_TIMEOUT_HEADER);
    let limit_ms = client_timeout_ms.map(|timeout| timeout.saturating_sub(RESPONSE_RESERVE_MS));
    let limit = limit_ms.map_or(FORWARD_TIMEOUT, |limit| {
        FORWARD_TIMEOUT.min(Duration::from_millis(limit))
    });
    let host = SmolStr::new(&http_request.host);
    let path = SmolStr::new(&http_request.path);
    let api_key = http_request.header(API_KEY_HEADER).and_then(decode_api_key);
    let request = match api_key {
        Some(api_key) => Request::ClientWithKey {
            host,
            path,
            operation,
            api_key,
        },
        None => Request::Client {
            host,
            path,
            call: operation,
        },
    };
    match entry.forwarder.forward(limit, &request).await {
        Ok(response) => encode_response(response),
        Err(ForwardError::NotExecuted) => {
            let response = HttpResponse::new(503).with_error("no control leader; nothing was done");
            (response.with_retry_after_s(NO_LEADER_RETRY_S), "no-leader")
        }
        Err(ForwardError::Unknown) => {
            let message = "control did not respond in time; send the same request again";
            (HttpResponse::new(504).with_error(message), "unanswered")
        }
    }
}

/// Converts the leader's response to an HTTP response and its cause for the log.
fn encode_response(response: Response) -> (HttpResponse, &'static str) {
    match response {
        Response::Accepted => (HttpResponse::new(200).with_body("{}"), "accepted"),
        Response::Status(status) => (
            HttpResponse::new(200).with_body(encode_job_status(status)),
            "status",
        ),
        Response::Waiting(count) => {
            let count = usize::try_from(count).unwrap_or(usize::MAX);
            (
                HttpResponse::new(200).with_body(encode_waiting_jobs(count)),
                "waiting",
            )
        }
        Response::RetryAfter { after_ms } => {
            let message = "overloaded; the request was not accepted";
            let seconds = after_ms.div_ceil(1_000).max(1);
            (
                HttpResponse::new(429)
                    .with_error(message)
                    .with_retry_after_s(seconds),
                "overload",
            )
        }
        Response::NoConfiguration => {
            let response =
                HttpResponse::new(503).with_error("no configuration yet; nothing was done");
            (
                response.with_retry_after_s(NO_LEADER_RETRY_S),
                "no-configuration",
            )
        }
        Response::NoQueue => (
            HttpResponse::new(404).with_error("no such queue"),
            "no-queue",
        ),
        Response::Unauthorized => {
            let message =
                "the API key is missing or not in force; send `Authorization: Bearer KEY`";
            let response = HttpResponse::new(401).with_error(message);
            (response.with_bearer_challenge(), "unauthorized")
        }
        // Without Retry-After, since a later submission under this key is refused as well.
        Response::CancelledEarlier => {
            let message = "the job was cancelled before it was submitted, so it was not accepted \
                           and never runs; use a new key to submit it";
            (
                HttpResponse::new(503).with_error(message),
                "cancelled-earlier",
            )
        }
        Response::NotFound => (HttpResponse::new(410).with_error("no such job"), "no-job"),
        Response::Invalid(message) => (HttpResponse::new(400).with_error(message), "invalid"),
        Response::Unknown
        | Response::Expired
        | Response::NotLeader { .. }
        | Response::HeartbeatNoted { .. }
        | Response::Document(_)
        | Response::Wave { .. } => {
            let message = "control gave no definite response; send the same request again";
            (HttpResponse::new(504).with_error(message), "unclear")
        }
    }
}
