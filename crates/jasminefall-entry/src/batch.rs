//! Batches of items that control commits together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use jasminefall_state::prelude::*;
use jasminefall_wire::client::ControlClient;
use tokio::sync::oneshot;

/// Limits the items in flight, whatever the batch size, unless `MIN_BATCHES_IN_FLIGHT` batches hold
/// more.
const MAX_ITEMS_IN_FLIGHT: usize = 512;
const MIN_BATCHES_IN_FLIGHT: usize = 2;

/// Reports that control did not confirm an item; its command may or may not have been applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unconfirmed;

/// The response to a committed item, or `None` if its command gives no response to each item.
type Confirmation = Result<Option<ClaimResponse>, Unconfirmed>;

/// Collects items while earlier ones are being committed, and proposes them together.
pub(crate) struct Batcher<T> {
    control: Rc<ControlClient>,
    command: fn(Vec<T>) -> Command,
    timeout: Duration,
    max_batch: usize,
    batches_in_flight: Cell<usize>,
    pending: RefCell<Vec<(T, oneshot::Sender<Confirmation>)>>,
}

impl<T: 'static> Batcher<T> {
    /// Creates a batcher that proposes each batch as the command built by `command`.
    pub(crate) fn new(
        control: &Rc<ControlClient>,
        command: fn(Vec<T>) -> Command,
        timeout: Duration,
        max_batch: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            control: control.clone(),
            command,
            timeout,
            max_batch,
            batches_in_flight: Cell::new(0),
            pending: RefCell::default(),
        })
    }

    /// Submits an item and waits until it is committed.
    pub(crate) async fn submit(self: &Rc<Self>, item: T) -> Confirmation {
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().push((item, sender));
        let max_batches = (MAX_ITEMS_IN_FLIGHT / self.max_batch).max(MIN_BATCHES_IN_FLIGHT);
        if self.batches_in_flight.get() < max_batches {
            self.batches_in_flight.set(self.batches_in_flight.get() + 1);
            actix_rt::spawn(self.clone().drain());
        }
        receiver.await.unwrap_or(Err(Unconfirmed))
    }

    /// Proposes batches until no item is pending.
    async fn drain(self: Rc<Self>) {
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                break;
            }
            let (items, senders): (Vec<T>, Vec<_>) = batch.into_iter().unzip();
            let proposed = self
                .control
                .propose(self.timeout, &(self.command)(items))
                .await;
            if proposed.is_err() {
                self.fail_pending();
            }
            confirm(senders, proposed.ok());
        }
        self.batches_in_flight.set(self.batches_in_flight.get() - 1);
    }

    fn next_batch(&self) -> Vec<(T, oneshot::Sender<Confirmation>)> {
        let mut pending = self.pending.borrow_mut();
        let length = pending.len().min(self.max_batch);
        pending.drain(..length).collect()
    }

    /// Fails all pending items after a batch found no leader, so that they do not each wait for a
    /// timeout of their own.
    fn fail_pending(&self) {
        for (_, sender) in self.pending.take() {
            let _ = sender.send(Err(Unconfirmed));
        }
    }
}

fn confirm(senders: Vec<oneshot::Sender<Confirmation>>, outcome: Option<Outcome>) {
    let mut responses = match outcome {
        Some(Outcome::Claimed(responses)) => responses.into_iter().map(Some).collect(),
        Some(_) => vec![None; senders.len()],
        None => Vec::new(),
    }
    .into_iter();
    for sender in senders {
        let _ = sender.send(responses.next().ok_or(Unconfirmed));
    }
}
