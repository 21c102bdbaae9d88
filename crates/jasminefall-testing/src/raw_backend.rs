//! A fake backend server that responds with given bytes, which need not be valid HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Holds the response to every request.
#[derive(Debug, Clone, Default)]
pub struct RawResponse {
    /// The bytes to send.
    pub bytes: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub closes_connection: bool,
}

/// Runs the server; it stops listening when dropped.
pub struct RawBackend {
    /// The address of the listener.
    pub address: SocketAddr,
    response: Arc<Mutex<RawResponse>>,
    accepting: JoinHandle<()>,
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl RawBackend {
    /// Starts the server on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let response = Arc::new(Mutex::new(RawResponse::default()));
        let shared_response = response.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shared_response.clone()));
            }
        });
        Ok(Self {
            address,
            response,
            accepting,
        })
    }

    /// Sets the response to all later requests.
    pub fn respond_with(&self, bytes: &[u8], closes_connection: bool) {
        *self.response.lock().unwrap_or_else(PoisonError::into_inner) = RawResponse {
            bytes: bytes.to_vec(),
            closes_connection,
        };
    }
}

/// Responds to each request; requests must have no body, since none is read.
async fn serve(mut stream: TcpStream, response: Arc<Mutex<RawResponse>>) {
    let mut received = Vec::new();
    loop {
        match stream.read_buf(&mut received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if !received.ends_with(b"\r\n\r\n") {
            continue;
        }
        received.clear();
        let response = response
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if stream.write_all(&response.bytes).await.is_err() || response.closes_connection {
            return;
        }
    }
}
