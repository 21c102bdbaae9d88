//! Typed clients of control replicas and entries.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jasminefall_replica::message::Message;
use jasminefall_state::Command;
use jasminefall_state::Outcome;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec::{decode, encode};
use crate::handshake::SiteKey;
use crate::link::{Link, LinkError};
use crate::message::{
    ControlError, ExchangeMessage, ProposeResponse, RenewRequest, RenewResponse, Renewal,
};
use crate::node_capnp::{control_node, entry_node};

const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Calls one control replica.
pub struct ControlLink(Link<control_node::Client>);

impl ControlLink {
    /// Creates a link to the peer address of a control replica.
    #[must_use]
    pub fn new(address: SocketAddr, key: SiteKey) -> Self {
        Self(Link::new(address, key))
    }

    /// Delivers consensus messages.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the messages may not have arrived.
    pub async fn step(&self, timeout: Duration, messages: &[Message]) -> Result<(), LinkError> {
        let body = encode(&messages);
        self.0
            .call(timeout, |client| async move {
                let mut request = client.step_request();
                request.get().set_messages(&body);
                request.send().promise.await.map(|_| ())
            })
            .await
    }

    /// Proposes a command to the replicated state machine.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if no response arrived.
    pub async fn propose(
        &self,
        timeout: Duration,
        command: &Command,
    ) -> Result<ProposeResponse, LinkError> {
        let body = encode(command);
        self.0
            .call(timeout, |client| async move {
                let mut request = client.propose_request();
                request.get().set_command(&body);
                let response = request.send().promise.await?;
                decode(response.get()?.get_answer()?)
            })
            .await
    }

    /// Forwards a request to which only the leader can respond.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if no response arrived.
    pub async fn forward<Q: Serialize, A: DeserializeOwned>(
        &self,
        timeout: Duration,
        body: &Q,
    ) -> Result<A, LinkError> {
        let body = encode(body);
        self.0
            .call(timeout, |client| async move {
                let mut request = client.forward_request();
                request.get().set_request(&body);
                let response = request.send().promise.await?;
                decode(response.get()?.get_answer()?)
            })
            .await
    }

    /// Requests the renewal of an entry's lease.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if no response arrived.
    pub async fn renew(
        &self,
        timeout: Duration,
        renew_request: &RenewRequest,
    ) -> Result<RenewResponse, LinkError> {
        let body = encode(renew_request);
        self.0
            .call(timeout, |client| async move {
                let mut request = client.renew_request();
                request.get().set_request(&body);
                let response = request.send().promise.await?;
                decode(response.get()?.get_answer()?)
            })
            .await
    }
}

/// Calls another entry.
pub struct EntryLink(Link<entry_node::Client>);

impl EntryLink {
    /// Creates a link to the peer address of an entry.
    #[must_use]
    pub fn new(address: SocketAddr, key: SiteKey) -> Self {
        Self(Link::new(address, key))
    }

    /// Sends the state of this entry and returns the state of the other entry.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if no response arrived.
    pub async fn exchange(
        &self,
        timeout: Duration,
        message: &ExchangeMessage,
    ) -> Result<ExchangeMessage, LinkError> {
        let body = encode(message);
        self.0
            .call(timeout, |client| async move {
                let mut request = client.exchange_request();
                request.get().set_news(&body);
                let response = request.send().promise.await?;
                decode(response.get()?.get_answer()?)
            })
            .await
    }
}

/// Calls the leader among the control replicas.
///
/// A call goes first to the replica that responded last. If that replica is not the leader, the
/// client tries the leader that it names; otherwise, or if it does not respond, the client tries
/// the next one. Proposals wait in between to avoid a tight loop.
pub struct ControlClient {
    links: Vec<ControlLink>,
    /// The position of the replica to call first.
    preferred: Cell<usize>,
    call_timeout: Duration,
}

/// Describes why a call returned no result.
#[derive(Debug)]
pub enum ControlClientError {
    /// No leader received the command, so it was not executed.
    NotSent,
    /// The command may have been executed; the same command may be sent again.
    Unknown,
}

impl std::fmt::Display for ControlClientError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => {
                "no control leader is reachable; try again when a majority of the control \
                 replicas is running"
            }
            Self::Unknown => "no control replica responded; send the same command again",
        })
    }
}

impl std::error::Error for ControlClientError {}

impl ControlClient {
    /// Creates a client of the control replicas with these peer addresses.
    ///
    /// `addresses` must not be empty. `call_timeout` limits each call to one replica.
    #[must_use]
    pub fn new(addresses: &[SocketAddr], key: &SiteKey, call_timeout: Duration) -> Self {
        let links = addresses
            .iter()
            .map(|address| ControlLink::new(*address, key.clone()))
            .collect();
        Self {
            links,
            preferred: Cell::new(0),
            call_timeout,
        }
    }

    /// Proposes a command to the leader and retries until `total_timeout` has passed.
    ///
    /// Commands are idempotent because they carry their own keys, so a command that may have been
    /// executed is sent again unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`ControlClientError`] if no leader responded in time.
    pub async fn propose(
        &self,
        total_timeout: Duration,
        command: &Command,
    ) -> Result<Outcome, ControlClientError> {
        let deadline = Instant::now() + total_timeout;
        let mut may_be_executed = false;
        loop {
            let position = self.preferred.get();
            match self.links[position]
                .propose(self.call_timeout, command)
                .await
            {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(error)) => {
                    may_be_executed |= error == ControlError::Unknown;
                    self.select_after_error(position, &error);
                }
                Err(error) => {
                    may_be_executed |= matches!(error, LinkError::Unknown(_));
                    self.select_next(position);
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(if may_be_executed {
                    ControlClientError::Unknown
                } else {
                    ControlClientError::NotSent
                });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Requests the renewal of a lease from each replica in turn, starting with the one that
    /// responded last.
    ///
    /// # Errors
    ///
    /// Returns [`ControlClientError::NotSent`] if no replica responds as the leader, even if one
    /// may have granted the lease without a response.
    pub async fn renew(&self, renew_request: &RenewRequest) -> Result<Renewal, ControlClientError> {
        for _ in 0..self.links.len() {
            let position = self.preferred.get();
            match self.links[position]
                .renew(self.call_timeout, renew_request)
                .await
            {
                Ok(Ok(renewal)) => return Ok(renewal),
                Ok(Err(error)) => self.select_after_error(position, &error),
                Err(_) => self.select_next(position),
            }
        }
        Err(ControlClientError::NotSent)
    }

    /// Selects the leader that the replica at `position` named, the same replica if it is busy, or
    /// the next one.
    fn select_after_error(&self, position: usize, error: &ControlError) {
        let named = match error {
            ControlError::NotLeader(Some(leader)) => self
                .links
                .iter()
                .position(|link| link.0.address().to_string() == leader.as_str()),
            ControlError::Busy => Some(position),
            ControlError::NotLeader(None) | ControlError::Unknown => None,
        };
        match named {
            Some(named) => self.preferred.set(named),
            None => self.select_next(position),
        }
    }

    /// Selects the next replica unless another call has already selected a replica.
    fn select_next(&self, position: usize) {
        if self.preferred.get() == position {
            self.preferred.set((position + 1) % self.links.len());
        }
    }
}
