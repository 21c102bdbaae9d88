//! A TCP proxy that injects faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const CHUNK_BYTES: usize = 16 << 10;

/// Says which faults are injected; may be changed at any time.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether bytes towards the server vanish.
    pub drop_requests: AtomicBool,
    /// Whether bytes towards the client vanish.
    pub drop_responses: AtomicBool,
    /// How long each chunk is held back, in milliseconds.
    pub delay_ms: AtomicU64,
    /// After how many bytes towards the client the connection is cut; zero for never.
    pub close_after_response_bytes: AtomicU64,
    /// How much longer chunks are held back at most, by the connection: this reorders connections.
    pub max_extra_delay_ms: AtomicU64,
    accepted: AtomicU64,
    silent_until: AtomicU64,
}

impl Faults {
    /// Lets bytes vanish in both directions, or lets them through again.
    pub fn set_partitioned(&self, silent: bool) {
        self.drop_requests.store(silent, Ordering::SeqCst);
        self.drop_responses.store(silent, Ordering::SeqCst);
    }

    /// Makes every connection that is open now silent for good; new ones work.
    pub fn blackhole_existing_connections(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.silent_until.store(accepted, Ordering::SeqCst);
    }

    /// Returns how many connections have been accepted.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_until.load(Ordering::SeqCst)
    }

    fn delay(&self, connection: u64) -> Duration {
        let max_extra_delay_ms = self.max_extra_delay_ms.load(Ordering::SeqCst);
        // A multiplier without common factors scatters neighbouring connections.
        let extra_ms = connection.wrapping_mul(7_919) % (max_extra_delay_ms + 1);
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst) + extra_ms)
    }
}

/// Runs the proxy in front of one address.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it injects.
    pub faults: Arc<Faults>,
    accepting: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Starts a proxy on `listen` in front of `target`; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        let accepting = tokio::spawn(accept(listener, target, faults.clone()));
        Ok(Self {
            address,
            faults,
            accepting,
        })
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: Arc<Faults>) {
    while let Ok((client, _)) = listener.accept().await {
        let faults = faults.clone();
        let number = faults.accepted.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let requests = copy(client_read, server_write, faults.clone(), number, false);
            let answers = copy(server_read, client_write, faults, number, true);
            tokio::join!(requests, answers);
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: Arc<Faults>,
    connection: u64,
    answers: bool,
) {
    let dropping = if answers {
        &faults.drop_responses
    } else {
        &faults.drop_requests
    };
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut passed_bytes = 0;
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        tokio::time::sleep(faults.delay(connection)).await;
        if dropping.load(Ordering::SeqCst) || faults.is_silent(connection) {
            continue;
        }
        let mut chunk = &buffer[..length];
        let close_after_response_bytes = faults.close_after_response_bytes.load(Ordering::SeqCst);
        let cuts = answers
            && close_after_response_bytes > 0
            && passed_bytes + length as u64 > close_after_response_bytes;
        if cuts {
            chunk =
                &chunk[..usize::try_from(close_after_response_bytes.saturating_sub(passed_bytes))
                    .unwrap_or(0)];
        }
        if to.write_all(chunk).await.is_err() || cuts {
            break;
        }
        passed_bytes += length as u64;
    }
    if !dropping.load(Ordering::SeqCst) && !faults.is_silent(connection) {
        let _ = to.shutdown().await;
    }
}
