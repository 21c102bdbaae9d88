//! A connection to another process that reconnects after a failure.

use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::FromClientHook;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::handshake::{SiteKey, authenticate_as_client};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Describes why a call failed.
#[derive(Debug)]
pub enum LinkError {
    /// No connection could be established, so the call was not sent.
    NotSent(std::io::Error),
    /// No response arrived in time or the connection broke, so the call may have been executed.
    Unknown(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => {
                write!(
                    formatter,
                    "not sent: {error}; check that the process is running"
                )
            }
            Self::Unknown(error) => write!(formatter, "no response: {error}; send the call again"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Holds a connection to one address, which is established by the first call.
///
/// A call without a response within its timeout drops the connection, so that the next call
/// reconnects.
pub struct Link<C> {
    address: SocketAddr,
    key: SiteKey,
    current: RefCell<Option<Rc<Connection<C>>>>,
    /// Held while connecting, so that concurrent calls share one connection.
    connecting: tokio::sync::Mutex<()>,
}

struct Connection<C> {
    client: C,
    /// The task that reads and writes the connection; it ends when the connection breaks.
    driver: JoinHandle<()>,
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl<C: FromClientHook + Clone + 'static> Link<C> {
    /// Creates a link without connecting.
    #[must_use]
    pub fn new(address: SocketAddr, key: SiteKey) -> Self {
        Self {
            address,
            key,
            current: RefCell::new(None),
            connecting: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns the address of the other process.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one call and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::NotSent`] if no connection could be established and
    /// [`LinkError::Unknown`] if no response arrived.
    pub async fn call<T, F>(
        &self,
        call_timeout: Duration,
        make_call: impl FnOnce(C) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let connection = self.connection().await.map_err(LinkError::NotSent)?;
        let response = timeout(call_timeout, make_call(connection.client.clone())).await;
        let failure = match response {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("timed out after {} ms", call_timeout.as_millis()),
        };
        self.discard(&connection);
        Err(LinkError::Unknown(failure))
    }

    async fn connection(&self) -> Result<Rc<Connection<C>>, std::io::Error> {
        let _guard = self.connecting.lock().await;
        let current = self.current.borrow().clone();
        if let Some(connection) = current.filter(|current| !current.driver.is_finished()) {
            return Ok(connection);
        }
        let connected = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let connection = Rc::new(connected.map_err(|_| connect_timeout_error())??);
        *self.current.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self) -> Result<Connection<C>, std::io::Error> {
        let mut stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        authenticate_as_client(&mut stream, &self.key).await?;
        let (reader, writer) = stream.compat().split();
        let network = twoparty::VatNetwork::new(reader, writer, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(async move {
            let _ = system.await;
        });
        Ok(Connection { client, driver })
    }

    fn discard(&self, failed: &Rc<Connection<C>>) {
        let mut current = self.current.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|connection| Rc::ptr_eq(connection, failed))
        {
            *current = None;
        }
    }
}

fn connect_timeout_error() -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::TimedOut, "connecting timed out")
}
