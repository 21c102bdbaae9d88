//! A backend server that counts what it has in progress and how many connections are open.
//!
//! It is written on plain sockets, so that a connection counts from its acceptance to its end, and a
//! request runs to its end even where the connection has gone: that is how a backend server behaves
//! whose caller was killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::backend::announce;

/// Holds what a backend server has counted.
#[derive(Debug, Default)]
pub struct Counts {
    /// The requests in progress.
    pub in_progress: AtomicUsize,
    /// The most requests that were ever in progress.
    pub peak_in_progress: AtomicUsize,
    /// The open connections.
    pub open_connections: AtomicUsize,
    /// The most connections that were ever open.
    pub peak_connections: AtomicUsize,
    /// The requests begun.
    pub started: AtomicUsize,
    /// Whether it fails every request.
    pub fails_requests: AtomicBool,
}

/// Runs the backend server; it stops listening when dropped.
pub struct CountingBackend {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// What it has counted.
    pub counts: Arc<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for CountingBackend {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl CountingBackend {
    /// Starts the server on an address; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let counted = counts.clone();
        let accepting = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, counted.clone()));
            }
        });
        Ok(Self {
            address,
            counts,
            tasks: vec![accepting],
        })
    }

    /// Announces itself as ready to each of these entries in turn, every `interval`.
    #[must_use]
    pub fn with_announcements(
        mut self,
        entries: Vec<SocketAddr>,
        service: &str,
        incarnation: u64,
        interval: Duration,
    ) -> Self {
        let (service, address) = (service.to_owned(), self.address);
        self.tasks.push(actix_rt::spawn(async move {
            for entry in entries.iter().cycle() {
                let told = announce(*entry, &service, address, incarnation, "ready");
                let _ = tokio::time::timeout(interval, told).await;
                tokio::time::sleep(interval).await;
            }
        }));
        self
    }

    /// Stops the announcements.
    pub fn stop_announcements(&mut self) {
        self.tasks.drain(1..).for_each(|task| task.abort());
    }

    /// Returns one of the counts.
    #[must_use]
    pub fn count(&self, count: impl Fn(&Counts) -> &AtomicUsize) -> usize {
        count(&self.counts).load(Ordering::SeqCst)
    }
}

async fn serve(stream: TcpStream, counts: Arc<Counts>) {
    let open = counts.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
    counts.peak_connections.fetch_max(open, Ordering::SeqCst);
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    while let Some(delay) = read_request(&mut reader).await {
        let running = actix_rt::spawn(run(counts.clone(), delay));
        let status = running.await.unwrap_or("500 Internal Server Error");
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 3\r\n\r\nok\n");
        if writer.write_all(answer.as_bytes()).await.is_err() {
            break;
        }
    }
    counts.open_connections.fetch_sub(1, Ordering::SeqCst);
}

async fn run(counts: Arc<Counts>, delay: Duration) -> &'static str {
    counts.started.fetch_add(1, Ordering::SeqCst);
    let running = counts.in_progress.fetch_add(1, Ordering::SeqCst) + 1;
    counts.peak_in_progress.fetch_max(running, Ordering::SeqCst);
    if !counts.fails_requests.load(Ordering::SeqCst) {
        tokio::time::sleep(delay).await;
    }
    counts.in_progress.fetch_sub(1, Ordering::SeqCst);
    if counts.fails_requests.load(Ordering::SeqCst) {
        "500 Internal Server Error"
    } else {
        "200 OK"
    }
}

/// Reads one request and returns how long it runs: what `delay_ms=` in its path says.
async fn read_request(reader: &mut BufReader<OwnedReadHalf>) -> Option<Duration> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let length = number_after(&head.to_ascii_lowercase(), "content-length: ");
    let mut body = vec![0; usize::try_from(length).ok()?];
    reader.read_exact(&mut body).await.ok()?;
    Some(Duration::from_millis(number_after(&head, "delay_ms=")))
}

fn number_after(text: &str, name: &str) -> u64 {
    let rest = text.split_once(name).map_or("", |(_, rest)| rest);
    let digits = rest.split(|character: char| !character.is_ascii_digit());
    digits
        .into_iter()
        .next()
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}
