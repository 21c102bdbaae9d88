//! A fake backend server that records the requests it runs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde_json::json;
use tokio::task::JoinHandle;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Holds a request that the backend server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The path and query.
    pub path: String,
    /// The idempotency key; empty if the request had none.
    pub key: String,
    /// The headers; names are in lower case.
    pub headers: Vec<(String, String)>,
}

/// Holds the runs of a backend server; clones share the same record.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    list: Arc<Mutex<Vec<Run>>>,
    in_progress: Arc<AtomicUsize>,
    peak_concurrency: Arc<AtomicUsize>,
}

impl RunLog {
    /// Returns all runs so far, in order of start.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the number of runs with an idempotency key.
    #[must_use]
    pub fn count(&self, key: &str) -> usize {
        self.all().iter().filter(|run| run.key == key).count()
    }

    /// Returns the largest number of runs that were in progress at the same time.
    #[must_use]
    pub fn peak_concurrency(&self) -> usize {
        self.peak_concurrency.load(Ordering::SeqCst)
    }

    fn begin(&self) {
        let in_progress = self.in_progress.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak_concurrency
            .fetch_max(in_progress, Ordering::SeqCst);
    }

    fn end(&self) {
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
    }

    fn record(&self, run: Run) {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }
}

/// Runs a fake backend server.
///
/// The response body holds the server's address, the path and the body of the request. The query
/// parameter `delay_ms=N` delays the response, `bytes=N` appends N bytes to the body and `status=N`
/// sets the status code. A run ends after its delay even if the connection is closed earlier.
pub struct FakeBackend {
    /// The address of the listener.
    pub address: SocketAddr,
    /// The runs on this server; the record stays shared with it.
    pub runs: RunLog,
    server: ServerHandle,
    announcement_task: Option<JoinHandle<()>>,
}

#[derive(serde::Deserialize)]
struct ResponseOptions {
    #[serde(default)]
    delay_ms: u64,
    #[serde(default)]
    bytes: usize,
    #[serde(default = "default_status")]
    status: u16,
}

const fn default_status() -> u16 {
    200
}

impl FakeBackend {
    /// Starts the server on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let runs = RunLog::default();
        let run_log = runs.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(run_log.clone()))
                .app_data(web::PayloadConfig::new(64 << 20))
                .default_service(web::to(respond))
        });
        let server = server.workers(1).disable_signals().bind(address)?;
        let address = server.addrs()[0];
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            address,
            runs,
            server: handle,
            announcement_task: None,
        })
    }

    /// Announces the server as ready to an entry at a fixed interval until it is stopped.
    #[must_use]
    pub fn with_announcements(self, entry: SocketAddr, service: &str) -> Self {
        let address = self.address;
        self.with_proxied_announcements(address, entry, service)
    }

    /// Announces like [`Self::with_announcements`], but with the address of a proxy.
    #[must_use]
    pub fn with_proxied_announcements(
        mut self,
        address: SocketAddr,
        entry: SocketAddr,
        service: &str,
    ) -> Self {
        let service = service.to_owned();
        self.announcement_task = Some(actix_rt::spawn(async move {
            loop {
                let _ = announce(entry, &service, address, 1, "ready").await;
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        }));
        self
    }

    /// Stops the announcements and the server without waiting for requests in progress.
    pub async fn stop(self) {
        if let Some(announcement_task) = &self.announcement_task {
            announcement_task.abort();
        }
        self.server.stop(false).await;
    }
}

/// Announces a backend server and its state, such as `ready` or `leaving`, to an entry.
///
/// # Errors
///
/// Returns a message if the entry does not respond or responds with an error status.
pub async fn announce(
    entry: SocketAddr,
    service: &str,
    address: SocketAddr,
    incarnation: u64,
    state: &str,
) -> Result<(), String> {
    let body = json!({
        "service": service, "address": address, "incarnation": incarnation, "state": state,
        "slots": 8, "connections": 64,
    });
    let url = format!("http://{entry}/v1/announce");
    let sent = awc::Client::default().post(url).send_json(&body).await;
    let response = sent.map_err(|error| error.to_string())?;
    if response.status().is_success() {
        Ok(())
    } else {
        Err(response.status().to_string())
    }
}

async fn respond(
    runs: web::Data<RunLog>,
    request: HttpRequest,
    options: web::Query<ResponseOptions>,
    body: web::Bytes,
) -> HttpResponse {
    let key = request
        .headers()
        .get("Idempotency-Key")
        .and_then(|key| key.to_str().ok());
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let headers = request.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    runs.record(Run {
        path: path.to_owned(),
        key: key.unwrap_or_default().to_owned(),
        headers: headers.collect(),
    });
    runs.begin();
    // A separate task keeps the run in progress, since this future is dropped on a disconnect.
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let (run_log, delay_ms) = (runs.clone(), options.delay_ms);
    actix_rt::spawn(async move {
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        run_log.end();
        let _ = sender.send(());
    });
    let _ = receiver.await;
    let status = StatusCode::from_u16(options.status).unwrap_or(StatusCode::OK);
    let address = request.app_config().local_addr();
    let text = String::from_utf8_lossy(&body);
    let padding = "x".repeat(options.bytes);
    HttpResponse::build(status)
        .content_type("text/plain")
        .append_header(("Set-Cookie", "first=1"))
        .append_header(("Set-Cookie", "second=2"))
        .append_header(("X-Backend", address.to_string()))
        .append_header(("Keep-Alive", "timeout=5"))
        .body(format!("{address} {path} {text}{padding}\n"))
}
