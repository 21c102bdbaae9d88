//! An HTTP client of an entry that reads the outcome header of each response.

use std::net::SocketAddr;
use std::time::Duration;

pub use actix_web::http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::site::wait_for;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Holds the response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `Jasminefall-Outcome` header; empty if there is none.
    pub outcome: String,
    /// The headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; invalid UTF-8 is replaced.
    pub body: String,
}

impl Response {
    /// Returns all values of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Vec<&str> {
        let with_name = self.headers.iter().filter(|(other, _)| other == name);
        with_name.map(|(_, value)| value.as_str()).collect()
    }
}

/// Sends raw bytes on a new connection and reads until the received text contains `end`.
///
/// # Errors
///
/// Returns an error if the connection fails or is closed before; it then holds the received text.
pub async fn send_raw(entry: SocketAddr, bytes: &[u8], end: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(bytes).await?;
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if text.contains(end) {
            return Ok(text);
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Err(std::io::Error::other(text));
        }
    }
}

/// Holds a request to an entry.
#[derive(Debug, Clone)]
pub struct Call {
    entry: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Call {
    /// Creates a GET request for a path such as `/call/SERVICE/OPERATION`.
    #[must_use]
    pub fn get(entry: SocketAddr, path: &str) -> Self {
        Self {
            entry,
            method: Method::GET,
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Creates a POST request with an idempotency key.
    #[must_use]
    pub fn post(entry: SocketAddr, path: &str, key: &str) -> Self {
        Self::get(entry, path)
            .with_method(Method::POST)
            .with_header("Idempotency-Key", key)
    }

    /// Replaces the method; the default is GET.
    #[must_use]
    pub fn with_method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Appends a header; earlier ones of the same name stay.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the timeout that the entry applies to the request, in milliseconds.
    #[must_use]
    pub fn with_timeout_ms(self, timeout_ms: u64) -> Self {
        self.with_header("Jasminefall-Timeout-Ms", &timeout_ms.to_string())
    }

    /// Replaces the body; the default is empty.
    #[must_use]
    pub fn with_body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends the request on a new connection and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a message if no complete response arrives.
    pub async fn send(self) -> Result<Response, String> {
        let client = awc::Client::builder()
            .timeout(RESPONSE_TIMEOUT)
            .disable_redirects()
            .finish();
        self.send_with(&client).await
    }

    /// Sends the request with a given client, which may reuse its connections.
    ///
    /// # Errors
    ///
    /// Returns a message if no complete response arrives.
    pub async fn send_with(self, client: &awc::Client) -> Result<Response, String> {
        let url = format!("http://{}{}", self.entry, self.path);
        let mut request = client.request(self.method, url).no_decompress();
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        let sent = request.send_body(self.body).await;
        let mut received = sent.map_err(|error| error.to_string())?;
        let headers = received.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        let headers: Vec<_> = headers.collect();
        let body = received.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| error.to_string())?;
        let mut response = Response {
            status: received.status().as_u16(),
            outcome: String::new(),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        response.outcome = response.header("jasminefall-outcome").concat();
        Ok(response)
    }
}

/// Waits until an entry answers a request for the service `render`.
///
/// # Panics
///
/// Panics if the entry does not answer within the limit of [`wait_for`].
pub async fn wait_until_answered(entry: SocketAddr) {
    wait_for("the entry answers", || async {
        let response = Call::get(entry, "/call/render/warm-up").send();
        response
            .await
            .is_ok_and(|response| response.outcome == "answered")
    })
    .await;
}
