//! Messages to the other replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jasminefall_replica::prelude::*;
use jasminefall_wire::client::ControlLink;
use jasminefall_wire::handshake::SiteKey;
use tokio::sync::mpsc::{Receiver, Sender, channel};

const QUEUE_LENGTH: usize = 1_024;
const BATCH_LENGTH: usize = 64;
const MAX_UNDER_WAY: usize = 8;
const STEP_TIMEOUT: Duration = Duration::from_millis(800);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Sends messages to the other replicas, dropping what a silent one cannot take.
pub(crate) struct Peers {
    senders: BTreeMap<ReplicaId, Sender<Message>>,
}

impl Peers {
    /// Starts a sending task for each address.
    pub(crate) fn start(addresses: BTreeMap<ReplicaId, SocketAddr>, key: &SiteKey) -> Self {
        let start = |(id, address)| {
            let (sender, receiver) = channel(QUEUE_LENGTH);
            actix_rt::spawn(send_all(ControlLink::new(address, key.clone()), receiver));
            (id, sender)
        };
        Self {
            senders: addresses.into_iter().map(start).collect(),
        }
    }

    /// Queues a message; the algorithm sends again whatever is dropped here.
    pub(crate) fn send(&self, message: Message) {
        if let Some(sender) = self.senders.get(&message.to) {
            let _ = sender.try_send(message);
        }
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
