//! An HTTP/1 connection to a backend server.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{ConnectionType, RequestHead, RequestHeadType, ResponseHead, Version};
use actix_web::http::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use actix_web::http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use super::OutgoingRequest;
use crate::headers;
use crate::outcome::BackendResponse;

const MAX_RESPONSE_BYTES: usize = 8 << 20;
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Limits how long sent bytes may stay unacknowledged before the connection counts as dead.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Starts TCP keepalive probes after this silence.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Reports why no complete response was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The connection broke or was closed.
    Broken,
    /// The response is not valid HTTP/1, or its end cannot be determined.
    Malformed,
    /// The response is larger than `MAX_RESPONSE_BYTES`.
    Oversized,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Broken => "the connection broke; check the backend server",
            Self::Malformed => "the response is not valid HTTP/1; send Content-Length or chunks",
            Self::Oversized => "the response is too large; send at most 8 MiB",
        })
    }
}

impl From<io::Error> for ExchangeError {
    fn from(_: io::Error) -> Self {
        Self::Broken
    }
}

/// Holds a connection that carries one exchange at a time.
pub(crate) struct Connection {
    stream: TcpStream,
    host: HeaderValue,
    buffer: BytesMut,
    reusable: bool,
    /// The end of the last exchange.
    pub(super) idle_since: Instant,
}

impl Connection {
    /// Opens a connection to `address`, in the form `IP:PORT`.
    pub(crate) async fn open(address: &str) -> io::Result<Self> {
        let address: SocketAddr = address.parse().map_err(|_| {
            io::Error::other(
                "the announced address is not IP:PORT; announce an IP address and a port",
            )
        })?;
        let host = HeaderValue::from_str(&address.to_string()).map_err(io::Error::other)?;
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        enable_dead_host_detection(&stream)?;
        Ok(Self {
            stream,
            host,
            buffer: BytesMut::with_capacity(READ_BUFFER_BYTES),
            reusable: false,
            idle_since: Instant::now(),
        })
    }

    /// Returns whether another exchange may follow: both sides keep the connection open and no
    /// input is left unread.
    pub(super) fn is_reusable(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// Returns whether the peer has neither closed the connection nor sent unsolicited bytes.
    pub(super) fn has_no_input(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the complete response.
    pub(super) async fn exchange(
        &mut self,
        outgoing: &OutgoingRequest,
    ) -> Result<BackendResponse, ExchangeError> {
        self.reusable = false;
        let mut codec = ClientCodec::default();
        let mut bytes = BytesMut::with_capacity(1024 + outgoing.body.len());
        let head = self.head(outgoing);
        let length = match outgoing.body.len() {
            0 if outgoing.method.is_safe() => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        codec.encode(Message::Item((head, length)), &mut bytes)?;
        if !outgoing.body.is_empty() {
            codec.encode(Message::Chunk(Some(outgoing.body.clone())), &mut bytes)?;
            codec.encode(Message::Chunk(None), &mut bytes)?;
        }
        self.write_request(&bytes).await?;
        self.read_response(codec, &outgoing.method).await
    }

    fn head(&self, outgoing: &OutgoingRequest) -> RequestHeadType {
        let mut head = RequestHead::default();
        head.method = outgoing.method.clone();
        head.uri = outgoing.uri.clone();
        head.version = Version::HTTP_11;
        head.headers.insert(HOST, self.host.clone());
        for (name, value) in &outgoing.headers {
            head.headers.append(name.clone(), value.clone());
        }
        head.set_connection_type(ConnectionType::KeepAlive);
        RequestHeadType::Owned(head)
    }

    /// Writes the request while reading, as a backend server may respond before it has read all.
    async fn write_request(&mut self, bytes: &[u8]) -> Result<(), ExchangeError> {
        let (mut reader, mut writer) = self.stream.split();
        let writing = writer.write_all(bytes);
        tokio::pin!(writing);
        loop {
            tokio::select! {
                biased;
                written = &mut writing => return Ok(written?),
                read = reader.read_buf(&mut self.buffer) => {
                    if read? == 0 {
                        return Err(ExchangeError::Broken);
                    }
                    if self.buffer.len() > MAX_RESPONSE_BYTES {
                        return Err(ExchangeError::Oversized);
                    }
                }
            }
        }
    }

    async fn read_response(
        &mut self,
        mut codec: ClientCodec,
        method: &Method,
    ) -> Result<BackendResponse, ExchangeError> {
        let head = loop {
            match codec.decode(&mut self.buffer) {
                Ok(Some(head)) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                    return Err(ExchangeError::Malformed);
                }
                // An interim response; the final one follows.
                Ok(Some(head)) if head.status.is_informational() => {}
                Ok(Some(head)) => break head,
                Ok(None) => self.read_more().await?,
                Err(_) => return Err(ExchangeError::Malformed),
            }
        };
        let has_body = *method != Method::HEAD && !never_has_body(head.status);
        let content_length = content_length(&head, has_body)?;
        let keeps_alive = codec.keep_alive();
        let body = match content_length {
            Some(0) => Bytes::new(),
            _ if has_body => self.read_body(codec, content_length).await?,
            _ => Bytes::new(),
        };
        self.reusable = keeps_alive;
        self.idle_since = Instant::now();
        Ok(BackendResponse {
            status: head.status,
            headers: headers::end_to_end(head.headers()),
            body,
            content_length: content_length
                .filter(|_| !has_body && head.status != StatusCode::NO_CONTENT),
        })
    }

    async fn read_body(
        &mut self,
        codec: ClientCodec,
        content_length: Option<u64>,
    ) -> Result<Bytes, ExchangeError> {
        if content_length.is_some_and(|length| length > MAX_RESPONSE_BYTES as u64) {
            return Err(ExchangeError::Oversized);
        }
        let mut codec = codec.into_payload_codec();
        // A body of one chunk is returned without a copy.
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        loop {
            match codec.decode(&mut self.buffer) {
                Ok(Some(Some(chunk))) if first.is_empty() => first = chunk,
                Ok(Some(Some(chunk))) => {
                    if rest.is_empty() {
                        rest.extend_from_slice(&first);
                    }
                    rest.extend_from_slice(&chunk);
                }
                Ok(Some(None)) => break,
                Ok(None) => self.read_more().await?,
                Err(_) => return Err(ExchangeError::Malformed),
            }
            if first.len().max(rest.len()) > MAX_RESPONSE_BYTES {
                return Err(ExchangeError::Oversized);
            }
        }
        Ok(if rest.is_empty() {
            first
        } else {
            rest.freeze()
        })
    }

    /// Reads more input; fails at the end of the stream, which never ends a response.
    async fn read_more(&mut self) -> Result<(), ExchangeError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(ExchangeError::Broken),
            _ => Ok(()),
        }
    }
}

/// Makes the operating system detect a dead host or network path.
///
/// A slow response does not break the connection, because the operating system of a live host still
/// acknowledges.
fn enable_dead_host_detection(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Returns the length of the body from `Content-Length`, or `None` if the body is chunked or the
/// response has neither body nor length.
fn content_length(head: &ResponseHead, has_body: bool) -> Result<Option<u64>, ExchangeError> {
    let length = head.headers().get(CONTENT_LENGTH);
    let has_transfer_encoding = head.headers().contains_key(TRANSFER_ENCODING);
    match (length, has_transfer_encoding) {
        (Some(_), true) => Err(ExchangeError::Malformed),
        (Some(length), false) => {
            let length = length
                .to_str()
                .ok()
                .and_then(|text| text.trim().parse().ok());
            length.map(Some).ok_or(ExchangeError::Malformed)
        }
        (None, true) if is_chunked(head) => Ok(None),
        (None, false) if !has_body => Ok(None),
        // Without either header the response ends with the connection, so a truncated response
        // could not be distinguished from a complete one.
        (None, _) => Err(ExchangeError::Malformed),
    }
}

fn is_chunked(head: &ResponseHead) -> bool {
    let coding = head.headers().get(TRANSFER_ENCODING);
    head.version == Version::HTTP_11
        && coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

fn never_has_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
