//! Connections to workers and to the platform.

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

/// How long a connection may take to open; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay without acknowledgement before the connection counts as dead.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);
const READ_BYTES: usize = 4 << 10;
/// The largest answer that is read; a full page of a worker's ends is far smaller.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Says why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The call never left this process.
    NotSent,
    /// The call may have been carried out.
    NoResponse,
}

impl fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "not sent; check that the other end runs",
            Self::NoResponse => "no answer; the call may have been carried out",
        })
    }
}

/// Carries calls to one address, one at a time, on a connection that is kept.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    stream: Option<Stream>,
    opened: u64,
    budget: Option<ConnectionBudget>,
}

/// Holds an open connection and its place in the budget.
#[derive(Debug)]
struct Stream {
    socket: TcpStream,
    _permit: Option<ConnectionPermit>,
}

impl Connection {
    /// Creates a connection that opens with its first call.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            opened: 0,
            budget: None,
        }
    }

    /// Takes a place of a budget whenever it is open.
    #[must_use]
    pub fn with_budget(mut self, budget: ConnectionBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Closes the connection; the next call opens it again.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Returns how often the connection has been opened.
    #[must_use]
    pub const fn opened_count(&self) -> u64 {
        self.opened
    }

    /// Makes one call and returns the status and the body of the answer.
    ///
    /// A kept connection that the other end has closed meanwhile is replaced before the call is sent;
    /// a call that has been sent is never sent again here.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] where no whole answer came within `limit`.
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
            .is_some_and(|kept| is_closed(&kept.socket))
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
            Ok(Ok((status, answer, keeps))) => {
                self.stream = keeps.then_some(stream);
                Ok((status, answer))
            }
            Ok(Err(_)) | Err(_) => Err(RequestError::NoResponse),
        }
    }

    /// Opens the connection; waits for a place in the budget for up to `limit`.
    async fn open(&mut self, limit: Duration) -> Result<Stream, RequestError> {
        let permit = match &self.budget {
            Some(budget) => {
                let taken = timeout(limit, budget.acquire()).await;
                Some(taken.ok().flatten().ok_or(RequestError::NotSent)?)
            }
            None => None,
        };
        self.opened += 1;
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
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    Ok(stream)
}

/// Returns whether the other end has closed a connection on which nothing is expected.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    !peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

async fn exchange(stream: &mut TcpStream, request: &[u8]) -> std::io::Result<(u16, Bytes, bool)> {
    stream.write_all(request).await?;
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    let mut codec = ClientCodec::default();
    let head = loop {
        match codec.decode(&mut buffer).map_err(std::io::Error::other)? {
            Some(head) if head.status.is_informational() => {}
            Some(head) => break head,
            None => read_more(stream, &mut buffer).await?,
        }
    };
    let keeps = head.keep_alive();
    let is_empty = head
        .headers()
        .get(actix_http::header::CONTENT_LENGTH)
        .is_some_and(|length| length == "0");
    let body = if is_empty || head.status.as_u16() == 204 {
        Bytes::new()
    } else {
        read_body(stream, &mut buffer, codec.into_payload_codec()).await?
    };
    Ok((head.status.as_u16(), body, keeps && buffer.is_empty()))
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
        if body.len() > MAX_ANSWER_BYTES {
            return Err(std::io::Error::other("the answer is too large"));
        }
    }
}

async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<()> {
    buffer.reserve(READ_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
