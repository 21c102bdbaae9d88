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

/// Holds the injected faults; changes apply at once, also to open connections.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether bytes sent to the server are discarded.
    pub drop_requests: AtomicBool,
    /// Whether bytes sent to the client are discarded.
    pub drop_responses: AtomicBool,
    /// The delay of each chunk, in milliseconds.
    pub delay_ms: AtomicU64,
    /// The number of bytes sent to the client after which the connection is closed; 0 for no limit.
    pub close_after_response_bytes: AtomicU64,
    /// The largest additional delay of a chunk, in milliseconds. It differs between connections, so
    /// that data sent on several connections arrives out of order.
    pub max_extra_delay_ms: AtomicU64,
    accepted: AtomicU64,
    /// Connections with a lower number are blackholed.
    blackholed_below: AtomicU64,
}

impl Faults {
    /// Sets whether bytes in both directions are discarded; connections stay open.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.drop_requests.store(partitioned, Ordering::SeqCst);
        self.drop_responses.store(partitioned, Ordering::SeqCst);
    }

    /// Discards all further bytes of the connections accepted so far, without closing them; new
    /// connections work.
    pub fn blackhole_existing_connections(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.blackholed_below.store(accepted, Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    fn is_blackholed(&self, connection: u64) -> bool {
        connection < self.blackholed_below.load(Ordering::SeqCst)
    }

    fn delay(&self, connection: u64) -> Duration {
        let max_extra_delay_ms = self.max_extra_delay_ms.load(Ordering::SeqCst);
        // The multiplier has no factor in common with the range, so that consecutive connections
        // get scattered delays.
        let extra_ms = connection.wrapping_mul(7_919) % (max_extra_delay_ms + 1);
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst) + extra_ms)
    }
}

/// Forwards TCP connections to one address; stops accepting connections when dropped.
pub struct Proxy {
    /// The address of the listener.
    pub address: SocketAddr,
    /// The faults to inject.
    pub faults: Arc<Faults>,
    accepting: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Starts a proxy that listens on `listen` and forwards to `target`; port 0 selects a free
    /// port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
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
            let to_server = copy(client_read, server_write, faults.clone(), number, false);
            let to_client = copy(server_read, client_write, faults, number, true);
            tokio::join!(to_server, to_client);
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: Arc<Faults>,
    connection: u64,
    is_response: bool,
) {
    let discard = if is_response {
        &faults.drop_responses
    } else {
        &faults.drop_requests
    };
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut forwarded_bytes = 0;
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        tokio::time::sleep(faults.delay(connection)).await;
        if discard.load(Ordering::SeqCst) || faults.is_blackholed(connection) {
            continue;
        }
        let mut chunk = &buffer[..length];
        let close_after_response_bytes = faults.close_after_response_bytes.load(Ordering::SeqCst);
        let closes = is_response
            && close_after_response_bytes > 0
            && forwarded_bytes + length as u64 > close_after_response_bytes;
        if closes {
            chunk = &chunk[..usize::try_from(
                close_after_response_bytes.saturating_sub(forwarded_bytes),
            )
            .unwrap_or(0)];
        }
        if to.write_all(chunk).await.is_err() || closes {
            break;
        }
        forwarded_bytes += length as u64;
    }
    if !discard.load(Ordering::SeqCst) && !faults.is_blackholed(connection) {
        let _ = to.shutdown().await;
    }
}
