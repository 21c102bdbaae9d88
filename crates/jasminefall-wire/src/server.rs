//! Listeners for connections of other processes.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use futures::AsyncReadExt;
use jasminefall_replica::message::Message;
use jasminefall_state::Command;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::codec::{decode, encode};
use crate::handshake::{SiteKey, authenticate_as_server};
use crate::message::{ExchangeMessage, ProposeResponse, RenewRequest, RenewResponse};
use crate::node_capnp::{control_node, entry_node};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of connections that have not authenticated yet; a further connection closes
/// the oldest of them.
pub const MAX_PENDING_HANDSHAKES: usize = 128;

/// A boxed future that is not `Send`.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Holds the encoded response to a forwarded request.
pub type ForwardResponse = Result<Vec<u8>, capnp::Error>;

/// Handles the calls to a control replica.
pub struct ControlService {
    /// Processes consensus messages from another control replica.
    pub step: Box<dyn Fn(Vec<Message>)>,
    /// Proposes a command to the replicated state machine.
    pub propose: Box<dyn Fn(Command) -> LocalFuture<ProposeResponse>>,
    /// Renews the lease of an entry.
    pub renew: Box<dyn Fn(RenewRequest) -> LocalFuture<RenewResponse>>,
    /// Handles an encoded request that another process forwarded.
    pub forward: Box<dyn Fn(Vec<u8>) -> LocalFuture<ForwardResponse>>,
}

impl control_node::Server for ControlService {
    async fn step(
        self: Rc<Self>,
        params: control_node::StepParams,
        _results: control_node::StepResults,
    ) -> Result<(), capnp::Error> {
        (self.step)(decode(params.get()?.get_messages()?)?);
        Ok(())
    }

    async fn propose(
        self: Rc<Self>,
        params: control_node::ProposeParams,
        mut results: control_node::ProposeResults,
    ) -> Result<(), capnp::Error> {
        let response = (self.propose)(decode(params.get()?.get_command()?)?).await;
        results.get().set_answer(&encode(&response));
        Ok(())
    }

    async fn renew(
        self: Rc<Self>,
        params: control_node::RenewParams,
        mut results: control_node::RenewResults,
    ) -> Result<(), capnp::Error> {
        let response = (self.renew)(decode(params.get()?.get_request()?)?).await;
        results.get().set_answer(&encode(&response));
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: control_node::ForwardParams,
        mut results: control_node::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let response = (self.forward)(params.get()?.get_request()?.to_vec()).await?;
        results.get().set_answer(&response);
        Ok(())
    }
}

/// Handles the calls to an entry.
pub struct EntryService {
    /// Processes the state of another entry and returns the state of this entry.
    pub exchange: Box<dyn Fn(ExchangeMessage) -> ExchangeMessage>,
}

impl entry_node::Server for EntryService {
    async fn exchange(
        self: Rc<Self>,
        params: entry_node::ExchangeParams,
        mut results: entry_node::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let response = (self.exchange)(decode(params.get()?.get_news()?)?);
        results.get().set_answer(&encode(&response));
        Ok(())
    }
}

/// Serves the calls of other control replicas and entries on a listener until the future is
/// dropped.
///
/// # Errors
///
/// Returns no error: a failure to accept a connection is logged and retried.
pub async fn serve_control(
    listener: TcpListener,
    key: SiteKey,
    service: ControlService,
) -> Result<(), std::io::Error> {
    let client: control_node::Client = new_client(service);
    serve(
        listener,
        key,
        Client {
            hook: client.client.hook,
        },
    )
    .await
}

/// Serves the calls of other entries on a listener until the future is dropped.
///
/// # Errors
///
/// Returns no error: a failure to accept a connection is logged and retried.
pub async fn serve_entry(
    listener: TcpListener,
    key: SiteKey,
    service: EntryService,
) -> Result<(), std::io::Error> {
    let client: entry_node::Client = new_client(service);
    serve(
        listener,
        key,
        Client {
            hook: client.client.hook,
        },
    )
    .await
}

async fn serve(
    listener: TcpListener,
    key: SiteKey,
    bootstrap: Client,
) -> Result<(), std::io::Error> {
    let mut handshakes = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let bootstrap = Client {
                    hook: bootstrap.hook.add_ref(),
                };
                let handshake = authenticate_and_serve(stream, key.clone(), bootstrap);
                close_oldest_if_full(&mut handshakes);
                handshakes.push_back(tokio::task::spawn_local(handshake).abort_handle());
            }
            Err(error) => {
                // The listener remains usable, since errors such as exhausted file descriptors are
                // temporary.
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes the oldest pending handshake if [`MAX_PENDING_HANDSHAKES`] are pending.
///
/// A valid handshake takes only a few round trips, so silent connections cannot block it.
fn close_oldest_if_full(handshakes: &mut VecDeque<AbortHandle>) {
    handshakes.retain(|handshake| !handshake.is_finished());
    if handshakes.len() >= MAX_PENDING_HANDSHAKES
        && let Some(oldest) = handshakes.pop_front()
    {
        log::warn!("event=handshake_failed error=\"too many pending handshakes\"");
        oldest.abort();
    }
}

async fn authenticate_and_serve(mut stream: TcpStream, key: SiteKey, bootstrap: Client) {
    let authenticated = timeout(HANDSHAKE_TIMEOUT, authenticate_as_server(&mut stream, &key)).await;
    match authenticated {
        Ok(Ok(())) => {
            tokio::task::spawn_local(serve_connection(stream, bootstrap));
        }
        Ok(Err(error)) => log::warn!("event=handshake_failed error=\"{error}\""),
        Err(_) => log::warn!("event=handshake_failed error=\"timed out\""),
    }
}

async fn serve_connection(stream: TcpStream, bootstrap: Client) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Server, Default::default());
    let system = RpcSystem::new(Box::new(network), Some(bootstrap));
    if let Err(error) = system.await {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}
