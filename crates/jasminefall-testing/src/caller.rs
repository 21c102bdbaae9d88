//! A caller that reads outcomes.

use std::net::SocketAddr;
use std::time::Duration;

pub use actix_web::http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::site::wait_for;

const ANSWER_LIMIT: Duration = Duration::from_secs(60);
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Holds what a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The outcome that the entry named, empty where it named none.
    pub outcome: String,
    /// The headers, by name in lower case.
    pub headers: Vec<(String, String)>,
    /// The body as text.
    pub body: String,
}

impl Response {
    /// Returns every value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Vec<&str> {
        let with_name = self.headers.iter().filter(|(other, _)| other == name);
        with_name.map(|(_, value)| value.as_str()).collect()
    }
}

/// Sends bytes as they are on a connection of their own and reads until `end` has come.
///
/// # Errors
///
/// Returns an error where the connection fails or ends before.
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

/// Describes a request to an entry.
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

    /// Sets the method.
    #[must_use]
    pub fn with_method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets how long the answer is of use.
    #[must_use]
    pub fn with_timeout_ms(self, timeout_ms: u64) -> Self {
        self.with_header("Jasminefall-Timeout-Ms", &timeout_ms.to_string())
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends the request on a connection of its own and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns a message where no whole answer came.
    pub async fn send(self) -> Result<Response, String> {
        let client = awc::Client::builder()
            .timeout(ANSWER_LIMIT)
            .disable_redirects()
            .finish();
        self.send_with(&client).await
    }

    /// Sends the request with a client that may keep connections alive.
    ///
    /// # Errors
    ///
    /// Returns a message where no whole answer came.
    pub async fn send_with(self, client: &awc::Client) -> Result<Response, String> {
        let url = format!("http://{}{}", self.entry, self.path);
        let mut request = client.request(self.method, url).no_decompress();
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        let sent = request.send_body(self.body).await;
        let mut response = sent.map_err(|error| error.to_string())?;
        let headers = response.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        let headers: Vec<_> = headers.collect();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| error.to_string())?;
        let mut told = Response {
            status: response.status().as_u16(),
            outcome: String::new(),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        told.outcome = told.header("jasminefall-outcome").concat();
        Ok(told)
    }
}

/// Waits until a request for the service `render` is answered through an entry.
///
/// # Panics
///
/// Panics where that takes too long.
pub async fn wait_until_answered(entry: SocketAddr) {
    wait_for("the entry answers", || async {
        let told = Call::get(entry, "/call/render/warm-up").send();
        told.await.is_ok_and(|told| told.outcome == "answered")
    })
    .await;
}
