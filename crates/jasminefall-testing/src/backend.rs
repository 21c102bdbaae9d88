//! A backend server that records every run.

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

/// Holds what one run was about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The path and query.
    pub path: String,
    /// The caller's key, empty where none was given.
    pub key: String,
    /// The headers, by name in lower case.
    pub headers: Vec<(String, String)>,
}

/// Remembers every run.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    list: Arc<Mutex<Vec<Run>>>,
    in_progress: Arc<AtomicUsize>,
    peak_concurrency: Arc<AtomicUsize>,
}

impl RunLog {
    /// Returns every run so far.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns how often a key has run.
    #[must_use]
    pub fn count(&self, key: &str) -> usize {
        self.all().iter().filter(|run| run.key == key).count()
    }

    /// Returns how many runs were in progress at once at most.
    #[must_use]
    pub fn peak_concurrency(&self) -> usize {
        self.peak_concurrency.load(Ordering::SeqCst)
    }

    fn begin(&self) {
        let now = self.in_progress.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak_concurrency.fetch_max(now, Ordering::SeqCst);
    }

    fn end(&self) {
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
    }

    fn add(&self, run: Run) {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }
}

/// Runs a fake backend server.
///
/// It answers with its own address, the request's path and its body. The query `delay_ms=N` makes it
/// wait, `bytes=N` adds so many bytes and `status=N` sets the status. A run is in progress until its
/// wait is over, also when the other side has gone.
pub struct FakeBackend {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// What it has run.
    pub runs: RunLog,
    server: ServerHandle,
    announcing: Option<JoinHandle<()>>,
}

#[derive(serde::Deserialize)]
struct Behaviour {
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
    /// Starts the server on an address; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be bound.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let runs = RunLog::default();
        let recorded = runs.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(recorded.clone()))
                .app_data(web::PayloadConfig::new(64 << 20))
                .default_service(web::to(answer))
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
            announcing: None,
        })
    }

    /// Announces itself as ready to an entry, again and again, until it is stopped or leaves.
    #[must_use]
    pub fn with_announcements(self, entry: SocketAddr, service: &str) -> Self {
        let address = self.address;
        self.with_proxied_announcements(address, entry, service)
    }

    /// Announces itself as [`Self::with_announcements`] does, under the address of a proxy.
    #[must_use]
    pub fn with_proxied_announcements(
        mut self,
        address: SocketAddr,
        entry: SocketAddr,
        service: &str,
    ) -> Self {
        let service = service.to_owned();
        self.announcing = Some(actix_rt::spawn(async move {
            loop {
                let _ = announce(entry, &service, address, 1, "ready").await;
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        }));
        self
    }

    /// Stops the server at once.
    pub async fn stop(self) {
        if let Some(announcing) = &self.announcing {
            announcing.abort();
        }
        self.server.stop(false).await;
    }
}

/// Tells an entry what a backend server is and whether it takes new work.
///
/// # Errors
///
/// Returns a message where the entry does not answer.
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

async fn answer(
    runs: web::Data<RunLog>,
    request: HttpRequest,
    behaviour: web::Query<Behaviour>,
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
    runs.add(Run {
        path: path.to_owned(),
        key: key.unwrap_or_default().to_owned(),
        headers: headers.collect(),
    });
    runs.begin();
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let (waiting, delay_ms) = (runs.clone(), behaviour.delay_ms);
    actix_rt::spawn(async move {
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        waiting.end();
        let _ = sender.send(());
    });
    let _ = receiver.await;
    let status = StatusCode::from_u16(behaviour.status).unwrap_or(StatusCode::OK);
    let address = request.app_config().local_addr();
    let text = String::from_utf8_lossy(&body);
    let filling = "x".repeat(behaviour.bytes);
    HttpResponse::build(status)
        .content_type("text/plain")
        .append_header(("Set-Cookie", "first=1"))
        .append_header(("Set-Cookie", "second=2"))
        .append_header(("X-Backend", address.to_string()))
        .append_header(("Keep-Alive", "timeout=5"))
        .body(format!("{address} {path} {text}{filling}\n"))
}
