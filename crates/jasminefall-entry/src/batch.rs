//! Many items in one commit.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use jasminefall_state::prelude::*;
use jasminefall_wire::client::ControlClient;
use tokio::sync::oneshot;

/// How many items are on their way at most, whatever the size of a batch.
const MAX_ITEMS_ON_THE_WAY: usize = 512;
const MIN_BATCHES_ON_THE_WAY: usize = 2;

/// Says that control did not confirm an item; it may or may not have been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unconfirmed;

type Confirmation = Result<Option<ClaimAnswer>, Unconfirmed>;

/// Collects items while earlier ones are being committed, and proposes them together.
pub(crate) struct Batcher<T> {
    control: Rc<ControlClient>,
    command: fn(Vec<T>) -> Command,
    limit: Duration,
    max_batch: usize,
    on_the_way: Cell<usize>,
    waiting: RefCell<Vec<(T, oneshot::Sender<Confirmation>)>>,
}

impl<T: 'static> Batcher<T> {
    /// Creates a batcher whose batches become commands by `command`.
    pub(crate) fn new(
        control: &Rc<ControlClient>,
        command: fn(Vec<T>) -> Command,
        limit: Duration,
        max_batch: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            control: control.clone(),
            command,
            limit,
            max_batch,
            on_the_way: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Hands over an item and waits until it is committed.
    pub(crate) async fn submit(self: &Rc<Self>, item: T) -> Confirmation {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push((item, sender));
        let max_batches = (MAX_ITEMS_ON_THE_WAY / self.max_batch).max(MIN_BATCHES_ON_THE_WAY);
        if self.on_the_way.get() < max_batches {
            self.on_the_way.set(self.on_the_way.get() + 1);
            actix_rt::spawn(self.clone().drain());
        }
        receiver.await.unwrap_or(Err(Unconfirmed))
    }

    /// Proposes batches until nothing waits.
    async fn drain(self: Rc<Self>) {
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                break;
            }
            let (items, senders): (Vec<T>, Vec<_>) = batch.into_iter().unzip();
            let proposed = self
                .control
                .propose(self.limit, &(self.command)(items))
                .await;
            if proposed.is_err() {
                self.refuse_waiting();
            }
            confirm(senders, proposed.ok());
        }
        self.on_the_way.set(self.on_the_way.get() - 1);
    }

    fn next_batch(&self) -> Vec<(T, oneshot::Sender<Confirmation>)> {
        let mut waiting = self.waiting.borrow_mut();
        let length = waiting.len().min(self.max_batch);
        waiting.drain(..length).collect()
    }

    /// Refuses what waits behind a batch that found no leader, so that none waits its time over.
    fn refuse_waiting(&self) {
        for (_, sender) in self.waiting.take() {
            let _ = sender.send(Err(Unconfirmed));
        }
    }
}

fn confirm(senders: Vec<oneshot::Sender<Confirmation>>, outcome: Option<Outcome>) {
    let mut answers = match outcome {
        Some(Outcome::Claimed(answers)) => answers.into_iter().map(Some).collect(),
        Some(_) => vec![None; senders.len()],
        None => Vec::new(),
    }
    .into_iter();
    for sender in senders {
        let _ = sender.send(answers.next().ok_or(Unconfirmed));
    }
}
