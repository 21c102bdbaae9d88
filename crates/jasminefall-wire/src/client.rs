//! Typed calls on links.

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
use crate::message::{ControlError, News, ProposeAnswer, RenewAnswer, RenewRequest, Renewal};
use crate::node_capnp::{control_node, entry_node};

const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Calls one control replica.
pub struct ControlLink(Link<control_node::Client>);

impl ControlLink {
    /// Creates a link to the peer address of a control replica.
    #[must_use]
    pub fn new(address: SocketAddr, key: SiteKey) -> Self {
        Self(Link::new(address, key))
    }

    /// Carries messages of the consensus algorithm.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] where the messages may not have arrived.
    pub async fn step(&self, limit: Duration, messages: &[Message]) -> Result<(), LinkError> {
        let body = encode(&messages);
        self.0
            .call(limit, |client| async move {
                let mut request = client.step_request();
                request.get().set_messages(&body);
                request.send().promise.await.map(|_| ())
            })
            .await
    }

    /// Proposes a command.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] where no answer came.
    pub async fn propose(
        &self,
        limit: Duration,
        command: &Command,
    ) -> Result<ProposeAnswer, LinkError> {
        let body = encode(command);
        self.0
            .call(limit, |client| async move {
                let mut request = client.propose_request();
                request.get().set_command(&body);
                let response = request.send().promise.await?;
                decode(response.get()?.get_answer()?)
            })
            .await
    }

    /// Forwards a call that only the leader answers.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] where no answer came.
    pub async fn forward<Q: Serialize, A: DeserializeOwned>(
        &self,
        limit: Duration,
        asked: &Q,
    ) -> Result<A, LinkError> {
        let body = encode(asked);
        self.0
            .call(limit, |client| async move {
                let mut request = client.forward_request();
                request.get().set_request(&body);
                let response = request.send().promise.await?;
                decode(response.get()?.get_answer()?)
            })
            .await
    }

    /// Renews the lease of an entry.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] where no answer came.
    pub async fn renew(
        &self,
        limit: Duration,
        asked: &RenewRequest,
    ) -> Result<RenewAnswer, LinkError> {
        let body = encode(asked);
        self.0
            .call(limit, |client| async move {
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

    /// Tells what this entry knows and returns what the other one knows.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] where no answer came.
    pub async fn exchange(&self, limit: Duration, news: &News) -> Result<News, LinkError> {
        let body = encode(news);
        self.0
            .call(limit, |client| async move {
                let mut request = client.exchange_request();
                request.get().set_news(&body);
                let response = request.send().promise.await?;
                decode(response.get()?.get_answer()?)
            })
            .await
    }
}

/// Calls whichever control replica leads.
///
/// The replica that answered last is asked first; one that does not lead, or is silent, makes the
/// client turn to the next after a short pause, never in a tight loop.
pub struct ControlClient {
    links: Vec<ControlLink>,
    preferred: Cell<usize>,
    call_timeout: Duration,
}

/// Says why no control replica carried out a call.
#[derive(Debug)]
pub enum ControlClientError {
    /// The command never left: nothing has been carried out.
    NotSent,
    /// The command may have been carried out; the same command may be sent again.
    Unknown,
}

impl std::fmt::Display for ControlClientError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "no control leader can be reached; try again when a majority runs",
            Self::Unknown => "control gave no answer; send the same command again",
        })
    }
}

impl std::error::Error for ControlClientError {}

impl ControlClient {
    /// Creates a client of the control replicas at these peer addresses.
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

    /// Proposes a command to the leader, trying again until `limit` has passed.
    ///
    /// Commands are idempotent by their own keys, so one that may have been carried out is sent
    /// again as it is.
    ///
    /// # Errors
    ///
    /// Returns [`ControlClientError`] where no leader answered in time.
    pub async fn propose(
        &self,
        limit: Duration,
        command: &Command,
    ) -> Result<Outcome, ControlClientError> {
        let deadline = Instant::now() + limit;
        let mut sent = false;
        loop {
            let position = self.preferred.get();
            match self.links[position]
                .propose(self.call_timeout, command)
                .await
            {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(error)) => {
                    sent |= error == ControlError::Unknown;
                    self.turn(position, &error);
                }
                Err(error) => {
                    sent |= matches!(error, LinkError::Unknown(_));
                    self.turn_to_next(position);
                }
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Err(if sent {
                    ControlClientError::Unknown
                } else {
                    ControlClientError::NotSent
                });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Asks each replica once, starting from the one that answered last, to renew a lease.
    ///
    /// # Errors
    ///
    /// Returns [`ControlClientError`] where none of them leads or answers.
    pub async fn renew(&self, asked: &RenewRequest) -> Result<Renewal, ControlClientError> {
        for _ in 0..self.links.len() {
            let position = self.preferred.get();
            match self.links[position].renew(self.call_timeout, asked).await {
                Ok(Ok(renewal)) => return Ok(renewal),
                Ok(Err(error)) => self.turn(position, &error),
                Err(_) => self.turn_to_next(position),
            }
        }
        Err(ControlClientError::NotSent)
    }

    /// Turns to the leader that a replica named, or to the next replica.
    fn turn(&self, position: usize, error: &ControlError) {
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
            None => self.turn_to_next(position),
        }
    }

    /// Turns to the next replica unless another call has turned already.
    fn turn_to_next(&self, position: usize) {
        if self.preferred.get() == position {
            self.preferred.set((position + 1) % self.links.len());
        }
    }
}
