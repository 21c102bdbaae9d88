//! A fake backend server that counts its requests in progress and open connections.
//!
//! It uses plain sockets, so that a connection is counted from accept to close, and a request runs
//! to completion even if its connection is closed, like on a backend server whose caller was
//! killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::backend::announce;

/// Holds the counters of a backend server, and a switch for its responses.
#[derive(Debug, Default)]
pub struct Counts {
    /// The number of requests in progress.
    pub in_progress: AtomicUsize,
    /// The largest number of requests that were in progress at the same time.
    pub peak_in_progress: AtomicUsize,
    /// The number of open connections.
    pub open_connections: AtomicUsize,
    /// The largest number of connections that were open at the same time.
    pub peak_connections: AtomicUsize,
    /// The total number of requests started.
    pub started: AtomicUsize,
    /// Whether every request fails with status 500, without its delay.
    pub fails_requests: AtomicBool,
}

/// Runs the backend server; it stops listening when dropped.
pub struct CountingBackend {
    /// The address of the listener.
    pub address: SocketAddr,
    /// The counters and the response switch, shared with the server.
    pub counts: Arc<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for CountingBackend {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl CountingBackend {
    /// Starts the server on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let shared_counts = counts.clone();
        let accepting = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, shared_counts.clone()));
            }
        });
        Ok(Self {
            address,
            counts,
            tasks: vec![accepting],
        })
    }

    /// Announces the server as ready to the entries in turn, one entry every `interval`.
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
                let announcement = announce(*entry, &service, address, incarnation, "ready");
                let _ = tokio::time::timeout(interval, announcement).await;
                tokio::time::sleep(interval).await;
            }
        }));
        self
    }

    /// Stops the announcements; the server keeps running.
    pub fn stop_announcements(&mut self) {
        self.tasks.drain(1..).for_each(|task| task.abort());
    }

    /// Returns the current value of the selected counter.
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
        let response = format!("HTTP/1.1 {status}\r\ncontent-length: 3\r\n\r\nok\n");
        if writer.write_all(response.as_bytes()).await.is_err() {
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

/// Reads one request and returns its duration, given by `delay_ms=` in its path; `None` at the end
/// of the connection.
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
