//! A backend server that records every run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_web::dev::ServerHandle;
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
}

/// Remembers every run.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Returns every run so far.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns how often a key has run.
    #[must_use]
    pub fn count(&self, key: &str) -> usize {
        self.all().iter().filter(|run| run.key == key).count()
    }

    fn add(&self, run: Run) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }
}

/// Runs a fake backend server.
///
/// It answers with its own address and the request's body. The query `delay_ms=N` makes it wait.
pub struct FakeBackend {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// What it has run.
    pub runs: Runs,
    server: ServerHandle,
    announcing: Option<JoinHandle<()>>,
}

#[derive(serde::Deserialize)]
struct Behaviour {
    #[serde(default)]
    delay_ms: u64,
}

impl FakeBackend {
    /// Starts the server on an address; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be bound.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let runs = Runs::default();
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
    pub fn with_announcements(mut self, entry: SocketAddr, service: &str) -> Self {
        let (service, address) = (service.to_owned(), self.address);
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
    runs: web::Data<Runs>,
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
    runs.add(Run {
        path: path.to_owned(),
        key: key.unwrap_or_default().to_owned(),
    });
    tokio::time::sleep(Duration::from_millis(behaviour.delay_ms)).await;
    let address = request.app_config().local_addr();
    let text = String::from_utf8_lossy(&body);
    HttpResponse::Ok()
        .content_type("text/plain")
        .body(format!("{address} {path} {text}\n"))
}
