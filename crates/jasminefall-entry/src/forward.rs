//! Sending a request to a backend server.

use std::time::{Duration, Instant};

use actix_web::http::{Method, StatusCode};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use bytes::Bytes;
use smol_str::{SmolStr, format_smolstr};

use crate::outcome::{Answer, NotRun, Outcome};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 8 << 20;
const MAX_CONNECTIONS: usize = 4_096;
/// The header by which a backend server learns how long the answer is waited for.
const TIMEOUT_HEADER: &str = "Jasminefall-Timeout-Ms";
/// The header that carries the caller's key.
pub(crate) const KEY_HEADER: &str = "Idempotency-Key";
/// The header by which one request can be followed through all processes.
const REQUEST_HEADER: &str = "Jasminefall-Request";

/// Holds what is sent to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    /// The method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) path: SmolStr,
    /// The media type of the body, if any.
    pub(crate) content_type: Option<SmolStr>,
    /// The body.
    pub(crate) body: Bytes,
    /// The caller's key, if it gave one.
    pub(crate) key: Option<SmolStr>,
    /// The identifier of the request.
    pub(crate) request: SmolStr,
    /// When the answer is no longer of use.
    pub(crate) deadline: Instant,
}

/// Creates the HTTP client of a thread: it follows no redirects and repeats nothing by itself.
pub(crate) fn client() -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(MAX_CONNECTIONS);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Sends a request to a backend server and waits for the whole answer.
pub(crate) async fn send(client: &Client, address: &str, outgoing: &Outgoing) -> Outcome {
    let remaining = outgoing.deadline.saturating_duration_since(Instant::now());
    match tokio::time::timeout(remaining, exchange(client, address, outgoing, remaining)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::MayHaveRun,
    }
}

async fn exchange(
    client: &Client,
    address: &str,
    outgoing: &Outgoing,
    remaining: Duration,
) -> Outcome {
    let uri = format!("http://{address}{}", outgoing.path);
    let mut request = client
        .request(outgoing.method.clone(), uri)
        .no_decompress()
        .insert_header((REQUEST_HEADER, outgoing.request.as_str()))
        .insert_header((TIMEOUT_HEADER, remaining.as_millis().to_string()));
    if let Some(content_type) = &outgoing.content_type {
        request = request.insert_header(("Content-Type", content_type.as_str()));
    }
    if let Some(key) = &outgoing.key {
        request = request.insert_header((KEY_HEADER, key.as_str()));
    }
    let mut response = match request.send_body(outgoing.body.clone()).await {
        Ok(response) => response,
        Err(error) => return judge(&error),
    };
    let content_type = response
        .headers()
        .get("Content-Type")
        .and_then(|value| value.to_str().ok());
    let content_type = content_type.map_or_else(
        || SmolStr::new_static("application/octet-stream"),
        |value| format_smolstr!("{value}"),
    );
    let status =
        StatusCode::from_u16(response.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => Outcome::Answered(Answer {
            status,
            content_type,
            body,
        }),
        // A truncated or oversized answer is never passed on as whole.
        Err(_) => Outcome::MayHaveRun,
    }
}

/// Tells a request that cannot have left from one that may have run.
const fn judge(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(
            ConnectError::Io(_) | ConnectError::Timeout | ConnectError::NoRecords,
        ) => Outcome::NotRun(NotRun::Unreachable),
        _ => Outcome::MayHaveRun,
    }
}
