//! Messages to the other replicas.

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

const QUEUE_LENGTH: usize = 1_024;
const BATCH_LENGTH: usize = 64;
const MAX_UNDER_WAY: usize = 8;
const STEP_TIMEOUT: Duration = Duration::from_millis(800);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Sends messages to the other replicas, dropping what a silent one cannot take.
pub struct Peers {
    key: SiteKey,
    address_of: Box<dyn Fn(ReplicaId) -> Option<SocketAddr>>,
    senders: RefCell<BTreeMap<ReplicaId, Sender<Message>>>,
}

impl Peers {
    /// Creates the sender; a replica is connected when the first message to it is sent.
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

    /// Queues a message; the algorithm sends again whatever is dropped here.
    pub fn send(&self, message: Message) {
        let mut senders = self.senders.borrow_mut();
        let sender = match senders.entry(message.to) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(unknown) => {
                let Some(address) = (self.address_of)(message.to) else {
                    return;
                };
                let (sender, receiver) = channel(QUEUE_LENGTH);
                spawn_local(send_all(
                    ControlLink::new(address, self.key.clone()),
                    receiver,
                ));
                unknown.insert(sender)
            }
        };
        let _ = sender.try_send(message);
    }
}

/// Sends batches without waiting for the answer to the one before, up to a limit.
async fn send_all(link: ControlLink, mut messages: Receiver<Message>) {
    let mut under_way = FuturesUnordered::new();
    loop {
        let mut batch = Vec::new();
        let may_send = under_way.len() < MAX_UNDER_WAY;
        tokio::select! {
            count = messages.recv_many(&mut batch, BATCH_LENGTH), if may_send => {
                if count == 0 {
                    return;
                }
                let link = &link;
                under_way.push(async move { link.step(STEP_TIMEOUT, &batch).await });
            }
            Some(sent) = under_way.next() => {
                if let Err(error) = sent {
                    log::debug!("event=step_failed error=\"{error}\"");
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }
}
