//! HTTP server that runs on the thread of its caller.
//!
//! The server of `actix-web` runs worker threads. They would only add context switches, since a process
//! has a fraction of one core. One accepting task therefore drives the HTTP service here.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use actix_http::{ConnectionType, HttpMessage, HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use super::budget::{ConnectionBudget, ConnectionPermit};
use crate::lifecycle::RequestTracker;

/// The number of connections that may wait to be accepted; a burst of clients arrives within one
/// wake-up of the accepting task.
const ACCEPT_BACKLOG: i32 = 1_024;
/// The longest time for receiving a request head; the default of the platform's configuration.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time for receiving a request body; longer than for a head, since a body is larger.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle; the default of the platform's configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The delay before accepting again after a failure such as a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The shortest interval between log lines about refused connections, since hundreds can be refused at
/// once.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Holds a received HTTP request.
pub struct HttpRequest {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path without the query string.
    pub path: String,
    /// The `Host` header without its port; empty if the header is missing.
    pub host: String,
    /// All header fields of the request, as received.
    pub headers: actix_http::header::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl std::fmt::Debug for HttpRequest {
    /// Omits the values of the headers, among which are API keys, and the body.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("HttpRequest")
            .field("method", &self.method)
            .field("path", &self.path)
            .field("host", &self.host)
            .field("body_bytes", &self.body.len())
            .finish_non_exhaustive()
    }
}

impl HttpRequest {
    /// Returns the value of a header; `None` if it is missing or not text.
    #[must_use]
    pub fn header(&self, header: &'static str) -> Option<&str> {
        let value = self.headers.get(HeaderName::from_static(header))?;
        value.to_str().ok()
    }

    /// Returns the value of a header as a number; `None` if it is missing or not a number.
    #[must_use]
    pub fn numeric_header(&self, header: &'static str) -> Option<u64> {
        self.header(header)?.trim().parse().ok()
    }
}

/// Holds an HTTP response to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The body; empty for none.
    pub body: Bytes,
    /// The value of the `Retry-After` header, in seconds; the header is omitted if `None`.
    pub retry_after_s: Option<u64>,
    /// The value of the `Content-Type` header; sent only with a body.
    pub content_type: &'static str,
    /// Whether the response asks for a bearer token, as a response with status 401 must.
    pub asks_for_bearer: bool,
}

impl HttpResponse {
    /// Creates a response without a body.
    #[must_use]
    pub const fn new(status: u16) -> Self {
        Self {
            status,
            body: Bytes::new(),
            retry_after_s: None,
            content_type: "application/json",
            asks_for_bearer: false,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body with the error message in the field `error`.
    #[must_use]
    pub fn with_error(self, message: impl std::fmt::Display) -> Self {
        let text = message.to_string().replace('\\', "\\\\").replace('"', "'");
        self.with_body(format!("{{\"error\":\"{text}\"}}"))
    }

    /// Sets the `Retry-After` header, in seconds.
    #[must_use]
    pub const fn with_retry_after_s(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Asks the client for a bearer token.
    #[must_use]
    pub const fn with_bearer_challenge(mut self) -> Self {
        self.asks_for_bearer = true;
        self
    }

    /// Sets the `Content-Type` header, which is sent only with a body.
    #[must_use]
    pub const fn with_content_type(mut self, content_type: &'static str) -> Self {
        self.content_type = content_type;
        self
    }
}

/// Opens a listener.
///
/// # Errors
///
/// Returns the system's error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Limits the resources that clients can use.
#[derive(Debug, Clone)]
pub struct Limits {
    max_body_bytes: usize,
    connections: ConnectionBudget,
}

impl Limits {
    /// Creates limits on the size of a request body, in bytes, and on the number of connections.
    #[must_use]
    pub const fn new(max_body_bytes: usize, connections: ConnectionBudget) -> Self {
        Self {
            max_body_bytes,
            connections,
        }
    }
}

/// Serves HTTP requests on a listener; returns only on failure.
///
/// A body over the limit is refused. A connection over the limit is closed immediately, so that its
/// client can try another instance. When few permits are left, each connection is closed after its
/// response.
///
/// # Errors
///
/// Returns an error if the HTTP service cannot be created.
pub async fn serve<F>(
    listener: TcpListener,
    limits: Limits,
    requests: Rc<RequestTracker>,
    handle: impl Fn(HttpRequest) -> F + Clone + 'static,
) -> anyhow::Result<()>
where
    F: Future<Output = HttpResponse> + 'static,
{
    let tracker = requests.clone();
    let Limits {
        max_body_bytes,
        connections,
    } = limits;
    let budget = connections.clone();
    let handler = move |request: Request| {
        let (handle, requests) = (handle.clone(), tracker.clone());
        let connections = connections.clone();
        async move {
            let in_flight = requests.begin();
            let response = match read(request, max_body_bytes).await {
                Ok(request) => handle(request).await,
                Err(refusal) => refusal,
            };
            let close = requests.is_stopping() || connections.is_nearly_exhausted();
            drop(in_flight);
            Ok::<_, actix_http::Error>(encode(response, close))
        }
    };
    let service = HttpService::build()
        .keep_alive(IDLE_TIMEOUT)
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(Duration::ZERO)
        .h1(fn_service(handler))
        .tcp();
    let service = service.new_service(()).await;
    let service = service.map_err(|()| anyhow::anyhow!("the HTTP service cannot be created"))?;
    let service = Rc::new(service);
    let mut refusals = RefusedConnections::default();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => match budget.try_acquire() {
                Some(permit) => serve_connection(&service, stream, peer, permit),
                None => refusals.record(budget.total()),
            },
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts refused connections and logs the count at most once per interval.
#[derive(Debug, Default)]
struct RefusedConnections {
    count: u64,
    logged_at: Option<Instant>,
}

impl RefusedConnections {
    fn record(&mut self, limit: usize) {
        self.count += 1;
        let is_recent = |at: Instant| at.elapsed() < REFUSAL_LOG_INTERVAL;
        if self.logged_at.is_some_and(is_recent) {
            return;
        }
        self.logged_at = Some(Instant::now());
        log::warn!(
            "event=connections_refused count={} limit={limit} remedy=\"raise the limit of descriptors\"",
            std::mem::take(&mut self.count)
        );
    }
}

fn serve_connection<S>(
    service: &Rc<S>,
    stream: TcpStream,
    peer: SocketAddr,
    permit: ConnectionPermit,
) where
    S: Service<TcpStream, Response = ()> + 'static,
    S::Error: std::fmt::Debug,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=connection_ended peer={peer} error=\"{error}\"");
        return;
    }
    let served = service.call(stream);
    actix_rt::spawn(async move {
        let _permit = permit;
        if let Err(error) = served.await {
            log::debug!("event=connection_ended peer={peer} error=\"{error:?}\"");
        }
    });
}

/// Reads the whole request; returns the error response if it exceeds a limit.
async fn read(mut request: Request, max_body_bytes: usize) -> Result<HttpRequest, HttpResponse> {
    let mut payload = request.take_payload();
    let read_body = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| {
                HttpResponse::new(400).with_error(format_args!("the body was cut short: {error}"))
            })?;
            if body.len() + chunk.len() > max_body_bytes {
                let limit = format_args!("the body is over {max_body_bytes} bytes; send less");
                return Err(HttpResponse::new(413).with_error(limit));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let read_in_time = tokio::time::timeout(BODY_TIMEOUT, read_body).await;
    let too_slow = |_| HttpResponse::new(408).with_error("the body took too long; send it at once");
    let body = read_in_time.map_err(too_slow)??;
    let host = request.headers().get(actix_http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    Ok(HttpRequest {
        method: request.method().as_str().to_owned(),
        path: request.path().to_owned(),
        host,
        headers: request.headers().clone(),
        body,
    })
}

fn encode(http_response: HttpResponse, close: bool) -> Response<Bytes> {
    let status =
        StatusCode::from_u16(http_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let has_body = !http_response.body.is_empty();
    let mut response = Response::with_body(status, http_response.body);
    let headers = response.headers_mut();
    if has_body {
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static(http_response.content_type),
        );
    }
    if let Some(seconds) = http_response.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if http_response.asks_for_bearer {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if close {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
