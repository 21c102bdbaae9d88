//! A connection to another process that reconnects after a failure.
//!
//! One attempt to connect serves all calls that wait for it, and each call waits no longer than its own
//! time limit, so an address that doesn't answer costs each call its limit at most.

use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::FromClientHook;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::future::{LocalBoxFuture, Shared};
use futures::{AsyncReadExt, FutureExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::handshake::{SiteKey, authenticate_as_client};

/// The longest time for an attempt to connect, with the handshake.
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
    /// The latest attempt to connect, in progress or completed.
    attempt: RefCell<Option<Attempt<C>>>,
}

/// An attempt to connect, which goes on also if no call waits for it any more.
type Attempt<C> = Shared<LocalBoxFuture<'static, Result<Rc<Connection<C>>, ConnectError>>>;

/// Describes why an attempt to connect failed, to each call that has waited for it.
#[derive(Debug, Clone)]
struct ConnectError {
    kind: ErrorKind,
    message: String,
}

impl ConnectError {
    fn timed_out() -> Self {
        Self {
            kind: ErrorKind::TimedOut,
            message: "connecting timed out".to_owned(),
        }
    }
}

impl From<std::io::Error> for ConnectError {
    fn from(error: std::io::Error) -> Self {
        Self {
            kind: error.kind(),
            message: error.to_string(),
        }
    }
}

impl From<ConnectError> for LinkError {
    fn from(error: ConnectError) -> Self {
        Self::NotSent(std::io::Error::new(error.kind, error.message))
    }
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
            attempt: RefCell::new(None),
        }
    }

    /// Returns the address of the other process.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one call and waits for its response; `call_timeout` includes the time for connecting.
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
        let deadline = Instant::now() + call_timeout;
        let connected = timeout_at(deadline, self.connection()).await;
        let connection = connected.map_err(|_| ConnectError::timed_out())??;
        let response = timeout_at(deadline, make_call(connection.client.clone())).await;
        let failure = match response {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("timed out after {} ms", call_timeout.as_millis()),
        };
        self.discard(&connection);
        Err(LinkError::Unknown(failure))
    }

    /// Returns the connection, and begins or joins an attempt to connect if there is none.
    async fn connection(&self) -> Result<Rc<Connection<C>>, ConnectError> {
        let attempt = {
            let mut latest = self.attempt.borrow_mut();
            let has_ended = latest.as_ref().is_none_or(|attempt| match attempt.peek() {
                Some(Ok(connection)) => connection.driver.is_finished(),
                Some(Err(_)) => true,
                None => false,
            });
            if has_ended {
                *latest = None;
            }
            let begin = || begin_attempt(self.address, self.key.clone());
            latest.get_or_insert_with(begin).clone()
        };
        attempt.await
    }

    fn discard(&self, failed: &Rc<Connection<C>>) {
        let mut latest = self.attempt.borrow_mut();
        let is_latest = |attempt: &Attempt<C>| matches!(attempt.peek(), Some(Ok(connection)) if Rc::ptr_eq(connection, failed));
        if latest.as_ref().is_some_and(is_latest) {
            *latest = None;
        }
    }
}

/// Begins to connect in a task of its own.
fn begin_attempt<C: FromClientHook + Clone + 'static>(
    address: SocketAddr,
    key: SiteKey,
) -> Attempt<C> {
    let task = tokio::task::spawn_local(async move {
        let connected = timeout(CONNECT_TIMEOUT, connect(address, &key)).await;
        let connected = connected.map_err(|_| ConnectError::timed_out())?;
        connected.map(Rc::new).map_err(ConnectError::from)
    });
    let outcome = task.map(|ended| ended.unwrap_or_else(|_| Err(ConnectError::timed_out())));
    outcome.boxed_local().shared()
}

async fn connect<C: FromClientHook + Clone + 'static>(
    address: SocketAddr,
    key: &SiteKey,
) -> Result<Connection<C>, std::io::Error> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    authenticate_as_client(&mut stream, key).await?;
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let driver = tokio::task::spawn_local(async move {
        let _ = system.await;
    });
    Ok(Connection { client, driver })
}
