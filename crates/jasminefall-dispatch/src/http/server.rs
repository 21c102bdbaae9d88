//! Listeners that serve HTTP on the thread of their caller.
//!
//! `actix-web`'s own server runs worker threads; on a fraction of one core they only add switches,
//! so its HTTP service is driven here by one accepting task.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, HttpMessage, HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use super::budget::{ConnectionBudget, ConnectionPermit};
use crate::lifecycle::RequestTracker;

/// How many connections may wait to be accepted; a burst of clients arrives within one wake-up.
const BACKLOG: i32 = 1_024;
/// How long a head may take to arrive; the default of the platform's configuration.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a body may take to arrive; longer than a head, since it is larger.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may idle; the default of the platform's configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long accepting rests after a failure such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often refused connections are logged; they come in hundreds.
const REFUSALS_LOGGED_EVERY: Duration = Duration::from_secs(1);

/// Holds one call.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The host named, without a port; empty where none is.
    pub host: String,
    /// The headers.
    pub headers: actix_http::header::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns a header as a number.
    #[must_use]
    pub fn numeric_header(&self, header: &'static str) -> Option<u64> {
        let value = self.headers.get(HeaderName::from_static(header))?;
        value.to_str().ok()?.trim().parse().ok()
    }
}

/// Holds the answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body; empty for none.
    pub body: Bytes,
    /// In how many seconds the client may come back.
    pub retry_after_s: Option<u64>,
    /// What the body is.
    pub content_type: &'static str,
}

impl HttpResponse {
    /// Creates an answer without a body.
    #[must_use]
    pub const fn new(status: u16) -> Self {
        Self {
            status,
            body: Bytes::new(),
            retry_after_s: None,
            content_type: "application/json",
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a body that says what is wrong.
    #[must_use]
    pub fn with_error(self, what: impl std::fmt::Display) -> Self {
        let text = what.to_string().replace('\\', "\\\\").replace('"', "'");
        self.with_body(format!("{{\"error\":\"{text}\"}}"))
    }

    /// Sets after how many seconds the client may come back.
    #[must_use]
    pub const fn with_retry_after_s(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Sets what the body is.
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
/// Returns the system's error where the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Bounds what callers can take up.
#[derive(Debug, Clone)]
pub struct Limits {
    max_body_bytes: usize,
    connections: ConnectionBudget,
}

impl Limits {
    /// Creates limits for bodies and connections.
    #[must_use]
    pub const fn new(max_body_bytes: usize, connections: ConnectionBudget) -> Self {
        Self {
            max_body_bytes,
            connections,
        }
    }
}

/// Serves calls on a listener for ever.
///
/// Bodies above the limit are refused. A connection above the limit is closed at once, so that its
/// caller turns to another instance; when few are left, connections are closed after each answer.
///
/// # Errors
///
/// Returns an error where the HTTP service cannot be made.
pub async fn serve<F>(
    listener: TcpListener,
    limits: Limits,
    requests: Rc<RequestTracker>,
    answer: impl Fn(HttpRequest) -> F + Clone + 'static,
) -> anyhow::Result<()>
where
    F: Future<Output = HttpResponse> + 'static,
{
    let held = requests.clone();
    let Limits {
        max_body_bytes,
        connections,
    } = limits;
    let budget = connections.clone();
    let handler = move |request: Request| {
        let (answer, requests) = (answer.clone(), held.clone());
        let connections = connections.clone();
        async move {
            let under_way = requests.begin();
            let reply = match read(request, max_body_bytes).await {
                Ok(call) => answer(call).await,
                Err(refusal) => refusal,
            };
            let closes = requests.is_stopping() || connections.is_nearly_exhausted();
            drop(under_way);
            Ok::<_, actix_http::Error>(encode(reply, closes))
        }
    };
    let service = HttpService::build()
        .keep_alive(IDLE_TIMEOUT)
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(Duration::ZERO)
        .h1(fn_service(handler))
        .tcp();
    let service = service.new_service(()).await;
    let service = service.map_err(|()| anyhow::anyhow!("the HTTP service cannot be made"))?;
    let service = Rc::new(service);
    let mut refusals = Refusals::default();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => match budget.try_acquire() {
                Some(permit) => serve_connection(&service, stream, peer, permit),
                None => refusals.note(budget.total()),
            },
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts connections that are refused, and logs the count from time to time.
#[derive(Debug, Default)]
struct Refusals {
    count: u64,
    logged_at: Option<Instant>,
}

impl Refusals {
    fn note(&mut self, limit: usize) {
        self.count += 1;
        let is_recent = |at: Instant| at.elapsed() < REFUSALS_LOGGED_EVERY;
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

/// Reads the whole call.
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

fn encode(reply: HttpResponse, closes: bool) -> Response<Bytes> {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let has_body = !reply.body.is_empty();
    let mut response = Response::with_body(status, reply.body);
    let headers = response.headers_mut();
    if has_body {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    }
    if let Some(seconds) = reply.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if closes {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
