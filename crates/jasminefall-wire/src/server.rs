//! Accepting connections of other processes.

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
use crate::message::{News, ProposeAnswer, RenewAnswer, RenewRequest};
use crate::node_capnp::{control_node, entry_node};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The most connections that may be short of a proof; beyond it the oldest one is closed.
pub const MAX_PENDING_HANDSHAKES: usize = 128;

/// A future that stays on its thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Holds the encoded answer to a forwarded call.
pub type ForwardAnswer = Result<Vec<u8>, capnp::Error>;

/// Carries out the calls that a control replica accepts.
pub struct ControlService {
    /// Takes messages of the consensus algorithm.
    pub step: Box<dyn Fn(Vec<Message>)>,
    /// Proposes a command.
    pub propose: Box<dyn Fn(Command) -> LocalFuture<ProposeAnswer>>,
    /// Renews the lease of an entry.
    pub renew: Box<dyn Fn(RenewRequest) -> LocalFuture<RenewAnswer>>,
    /// Answers a call that another process has forwarded.
    pub forward: Box<dyn Fn(Vec<u8>) -> LocalFuture<ForwardAnswer>>,
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
        let answer = (self.propose)(decode(params.get()?.get_command()?)?).await;
        results.get().set_answer(&encode(&answer));
        Ok(())
    }

    async fn renew(
        self: Rc<Self>,
        params: control_node::RenewParams,
        mut results: control_node::RenewResults,
    ) -> Result<(), capnp::Error> {
        let answer = (self.renew)(decode(params.get()?.get_request()?)?).await;
        results.get().set_answer(&encode(&answer));
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: control_node::ForwardParams,
        mut results: control_node::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let answer = (self.forward)(params.get()?.get_request()?.to_vec()).await?;
        results.get().set_answer(&answer);
        Ok(())
    }
}

/// Carries out the calls that an entry accepts from other entries.
pub struct EntryService {
    /// Takes the news of another entry and answers with this one's.
    pub exchange: Box<dyn Fn(News) -> News>,
}

impl entry_node::Server for EntryService {
    async fn exchange(
        self: Rc<Self>,
        params: entry_node::ExchangeParams,
        mut results: entry_node::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let answer = (self.exchange)(decode(params.get()?.get_news()?)?);
        results.get().set_answer(&encode(&answer));
        Ok(())
    }
}

/// Serves the calls of control replicas and entries on a listener; returns only on failure.
///
/// # Errors
///
/// Returns an error where the listener cannot go on.
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

/// Serves the calls of other entries on a listener; returns only on failure.
///
/// # Errors
///
/// Returns an error where the listener cannot go on.
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
                let handshake = shake_hands(stream, key.clone(), bootstrap);
                make_room(&mut handshakes);
                handshakes.push_back(tokio::task::spawn_local(handshake).abort_handle());
            }
            Err(error) => {
                // A lack of file descriptors passes; the listener itself stays sound.
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Closes the oldest connection that has proved nothing where there are too many.
///
/// A sound handshake takes a few round trips, so silent connections cannot keep one out.
fn make_room(handshakes: &mut VecDeque<AbortHandle>) {
    handshakes.retain(|handshake| !handshake.is_finished());
    if handshakes.len() >= MAX_PENDING_HANDSHAKES
        && let Some(oldest) = handshakes.pop_front()
    {
        log::warn!("event=handshake_failed error=\"too many at once\"");
        oldest.abort();
    }
}

async fn shake_hands(mut stream: TcpStream, key: SiteKey, bootstrap: Client) {
    let proved = timeout(HANDSHAKE_TIMEOUT, authenticate_as_server(&mut stream, &key)).await;
    match proved {
        Ok(Ok(())) => {
            tokio::task::spawn_local(serve_connection(stream, bootstrap));
        }
        Ok(Err(error)) => log::warn!("event=handshake_failed error=\"{error}\""),
        Err(_) => log::warn!("event=handshake_failed error=\"silent\""),
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
