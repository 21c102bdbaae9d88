//! A backend server that answers with given bytes, valid or not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Holds what is answered to each request.
#[derive(Debug, Clone, Default)]
pub struct RawResponse {
    /// The bytes of the answer.
    pub bytes: Vec<u8>,
    /// Whether the connection is closed after the answer.
    pub closes_connection: bool,
}

/// Runs the server; it ends when dropped.
pub struct RawBackend {
    /// The address that it listens on.
    pub address: SocketAddr,
    answer: Arc<Mutex<RawResponse>>,
    accepting: JoinHandle<()>,
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl RawBackend {
    /// Starts the server on an address; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let answer = Arc::new(Mutex::new(RawResponse::default()));
        let given = answer.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, given.clone()));
            }
        });
        Ok(Self {
            address,
            answer,
            accepting,
        })
    }

    /// Sets what is answered from now on.
    pub fn respond_with(&self, bytes: &[u8], closes_connection: bool) {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = RawResponse {
            bytes: bytes.to_vec(),
            closes_connection,
        };
    }
}

/// Answers each head that comes without a body.
async fn serve(mut stream: TcpStream, answer: Arc<Mutex<RawResponse>>) {
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
        let answer = answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if stream.write_all(&answer.bytes).await.is_err() || answer.closes_connection {
            return;
        }
    }
}
