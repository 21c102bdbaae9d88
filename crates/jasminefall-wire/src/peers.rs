//! Delivery of consensus messages to the other control replicas.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jasminefall_replica::prelude::*;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::spawn_local;

use crate::client::ControlLink;
use crate::handshake::SiteKey;

const MAX_QUEUED_MESSAGES: usize = 1_024;
const MAX_BATCH_MESSAGES: usize = 64;
const MAX_IN_FLIGHT_BATCHES: usize = 8;
const STEP_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends consensus messages to the other replicas.
///
/// Messages to an unresponsive replica are dropped once its queue is full.
pub struct Peers {
    key: SiteKey,
    address_of: Box<dyn Fn(ReplicaId) -> Option<SocketAddr>>,
    senders: RefCell<BTreeMap<ReplicaId, Sender<Message>>>,
}

impl Peers {
    /// Creates a sender that connects to a replica when the first message to it is sent.
    ///
    /// `address_of` returns the peer address of a replica, or `None` if it is unknown.
    #[must_use]
    pub fn new(
        key: &SiteKey,
        address_of: impl Fn(ReplicaId) -> Option<SocketAddr> + 'static,
    ) -> Self {
        Self {
            key: key.clone(),
            address_of: Box::new(address_of),
            senders: RefCell::default(),
        }
    }

    /// Queues a message, or drops it if the replica's address is unknown or its queue is full.
    ///
    /// Dropping is safe because the consensus algorithm repeats lost messages.
    pub fn send(&self, message: Message) {
        let mut senders = self.senders.borrow_mut();
        let sender = match senders.entry(message.to) {
            Entry::Occupied(occupied) => occupied.into_mut(),
            Entry::Vacant(vacant) => {
                let Some(address) = (self.address_of)(message.to) else {
                    return;
                };
                let (sender, receiver) = channel(MAX_QUEUED_MESSAGES);
                spawn_local(send_batches(
                    ControlLink::new(address, self.key.clone()),
                    receiver,
                ));
                vacant.insert(sender)
            }
        };
        let _ = sender.try_send(message);
    }
}

/// Sends queued messages in batches and pipelines up to [`MAX_IN_FLIGHT_BATCHES`] of them.
async fn send_batches(link: ControlLink, mut messages: Receiver<Message>) {
    let mut in_flight = FuturesUnordered::new();
    loop {
        let mut batch = Vec::new();
        let may_send = in_flight.len() < MAX_IN_FLIGHT_BATCHES;
        tokio::select! {
            count = messages.recv_many(&mut batch, MAX_BATCH_MESSAGES), if may_send => {
                if count == 0 {
                    return;
                }
                let link = &link;
                in_flight.push(async move { link.step(STEP_TIMEOUT, &batch).await });
            }
            Some(sent) = in_flight.next() => {
                if let Err(error) = sent {
                    log::debug!("event=step_failed error=\"{error}\"");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
