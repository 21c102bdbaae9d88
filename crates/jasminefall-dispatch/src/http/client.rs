//! HTTP connections to workers and to the platform.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Decoder;

use super::budget::{ConnectionBudget, ConnectionPermit};

/// The longest time for opening a connection; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may remain unacknowledged before the system closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BUFFER_BYTES: usize = 4 << 10;
/// The largest response body; a full page of a worker's ended runs is far smaller.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Reports why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The request was not sent.
    NotSent,
    /// The request was sent, but no complete response arrived; it may have been processed.
    NoResponse,
}

impl fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "not sent; check that the server is running",
            Self::NoResponse => "no response; the request may have been processed",
        })
    }
}

/// Sends requests to one address, one at a time, over a persistent connection.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    stream: Option<Stream>,
    opened_count: u64,
    budget: Option<ConnectionBudget>,
}

/// Holds an open connection and its permit.
#[derive(Debug)]
struct Stream {
    socket: TcpStream,
    _permit: Option<ConnectionPermit>,
}

impl Connection {
    /// Creates a connection that is opened by its first request.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            opened_count: 0,
            budget: None,
        }
    }

    /// Makes the connection hold a permit of `budget` while it is open.
    #[must_use]
    pub fn with_budget(mut self, budget: ConnectionBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Closes the connection; the next request opens it again.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Returns how often the connection has been opened.
    #[must_use]
    pub const fn opened_count(&self) -> u64 {
        self.opened_count
    }

    /// Sends one request and returns the status code and the body of the response.
    ///
    /// An idle connection that the server has closed is reopened before the request is sent. A request
    /// that has been sent is never retried here, because it may have been processed.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if no complete response arrived within `limit`.
    pub async fn send_request(
        &mut self,
        limit: Duration,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<(u16, Bytes), RequestError> {
        if self
            .stream
            .as_ref()
            .is_some_and(|idle| is_closed(&idle.socket))
        {
            self.stream = None;
        }
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.open(limit).await?,
        };
        let request = self.encode(method, path, headers, body);
        let exchange = exchange(&mut stream.socket, request.as_bytes());
        match timeout(limit, exchange).await {
            Ok(Ok((status, body, keep_alive))) => {
                self.stream = keep_alive.then_some(stream);
                Ok((status, body))
            }
            Ok(Err(_)) | Err(_) => Err(RequestError::NoResponse),
        }
    }

    /// Opens the connection; waits up to `limit` for a permit.
    async fn open(&mut self, limit: Duration) -> Result<Stream, RequestError> {
        let permit = match &self.budget {
            Some(budget) => {
                let acquired = timeout(limit, budget.acquire()).await;
                Some(acquired.ok().flatten().ok_or(RequestError::NotSent)?)
            }
            None => None,
        };
        self.opened_count += 1;
        let socket = open(self.address)
            .await
            .map_err(|_| RequestError::NotSent)?;
        Ok(Stream {
            socket,
            _permit: permit,
        })
    }

    fn encode(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
        use std::fmt::Write;
        let mut text = String::with_capacity(256 + body.len());
        let address = self.address;
        let _ = write!(text, "{method} {path} HTTP/1.1\r\nhost: {address}\r\n");
        for (name, value) in headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        if !body.is_empty() {
            let length = body.len();
            let _ = write!(
                text,
                "content-type: application/json\r\ncontent-length: {length}\r\n"
            );
        }
        text.push_str("\r\n");
        text.push_str(body);
        text
    }
}

async fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| std::io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}

/// Returns whether an idle connection is unusable, because the server has closed it or has sent
/// unexpected bytes.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    !peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

async fn exchange(stream: &mut TcpStream, request: &[u8]) -> std::io::Result<(u16, Bytes, bool)> {
    stream.write_all(request).await?;
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut codec = ClientCodec::default();
    let head = loop {
        match codec.decode(&mut buffer).map_err(std::io::Error::other)? {
            Some(head) if head.status.is_informational() => {}
            Some(head) => break head,
            None => read_more(stream, &mut buffer).await?,
        }
    };
    let keep_alive = head.keep_alive();
    let is_empty = head
        .headers()
        .get(actix_http::header::CONTENT_LENGTH)
        .is_some_and(|length| length == "0");
    let body = if is_empty || head.status.as_u16() == 204 {
        Bytes::new()
    } else {
        read_body(stream, &mut buffer, codec.into_payload_codec()).await?
    };
    Ok((head.status.as_u16(), body, keep_alive && buffer.is_empty()))
}

async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    mut codec: ClientPayloadCodec,
) -> std::io::Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        match codec.decode(buffer).map_err(std::io::Error::other)? {
            Some(Some(chunk)) => body.extend_from_slice(&chunk),
            Some(None) => return Ok(body.freeze()),
            None => read_more(stream, buffer).await?,
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(std::io::Error::other("the response body is over the limit"));
        }
    }
}

async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<()> {
    buffer.reserve(READ_BUFFER_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
