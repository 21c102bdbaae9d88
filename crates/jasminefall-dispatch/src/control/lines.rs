//! Orders to workers, one after the other on each of some kept connections.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_jobs::leader::{PollChannel, PollRequest, StartRequest, WorkerHandle};
use jasminefall_jobs::prelude::*;
use jasminefall_platform::orders::{
    EncodedOrder, MEANT_WORKER_HEADER, decode_list, decode_order_answer, encode_look, encode_pace,
    encode_start, encode_stop,
};
use smol_str::SmolStr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::node::Node;
use crate::http::budget::ConnectionBudget;
use crate::http::client::{CallError, Connection};

/// How long a worker may take to answer an order; it answers within a few milliseconds, and an order
/// behind one that is never answered waits for this.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How many orders may be under way to one worker; more cost connections.
const ORDER_LINES: usize = 2;
/// How long a connection without orders is kept, where there are places; the platform prices new ones.
const IDLE_KEPT: Duration = Duration::from_secs(15);

/// Carries an order to a worker's line.
#[derive(Debug)]
pub(super) enum Order {
    Start(StartRequest),
    Stop(TaskId, u64),
    Pace(TaskId, u64, u64),
    Look(PollRequest),
}

/// Sends what is queued over one connection.
#[derive(Debug)]
struct Line {
    queue: UnboundedSender<Order>,
    /// How many orders are queued or under way.
    pending: Rc<Cell<usize>>,
}

impl Line {
    fn start(node: &Node, target: &Target) -> Self {
        let (queue, receiver) = unbounded_channel();
        let pending = Rc::new(Cell::new(0));
        let line = run_line(node.clone(), target.clone(), receiver, pending.clone());
        actix_rt::spawn(line);
        Self { queue, pending }
    }

    fn send(&self, order: Order, worker: &Target) {
        self.pending.set(self.pending.get() + 1);
        if self.queue.send(order).is_err() {
            log::warn!("event=line_closed worker={}", worker.name);
        }
    }
}

/// Holds the lines to a worker; looks have their own, since they may stay open for long.
#[derive(Debug, Default)]
struct Lines {
    orders: Vec<Line>,
    looks: HashMap<PollChannel, Line>,
}

impl Lines {
    /// Returns a line for orders that is free, or the one with the least before it.
    fn for_order(&mut self, node: &Node, worker: &Target) -> &Line {
        let is_free = |line: &Line| line.pending.get() == 0;
        if self.orders.len() < ORDER_LINES && !self.orders.iter().any(is_free) {
            self.orders.push(Line::start(node, worker));
        }
        let pending = self.orders.iter().map(|line| line.pending.get());
        let least = pending.enumerate().min_by_key(|(_, pending)| *pending);
        &self.orders[least.map_or(0, |(position, _)| position)]
    }
}

/// Holds the lines to every worker of one leadership.
#[derive(Debug, Default)]
pub(super) struct AllLines(HashMap<WorkerHandle, Lines>);

impl AllLines {
    /// Queues an order; the number of orders is bounded by what runs on a worker.
    pub(super) fn send(&mut self, node: &Node, worker: &Target, order: Order) {
        let lines = self.0.entry(worker.handle).or_default();
        let line = match &order {
            Order::Look(look) => {
                let kept = lines.looks.entry(look.channel);
                kept.or_insert_with(|| Line::start(node, worker))
            }
            _ => lines.for_order(node, worker),
        };
        line.send(order, worker);
    }

    /// Closes the lines to workers that are no longer known.
    pub(super) fn keep(&mut self, known: impl Fn(WorkerHandle) -> bool) {
        self.0.retain(|handle, _| known(*handle));
    }
}

/// Names a worker and how it is reached.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) handle: WorkerHandle,
    pub(super) name: SmolStr,
    pub(super) address: std::net::SocketAddr,
    pub(super) fencing_token: u64,
}

async fn run_line(
    node: Node,
    target: Target,
    mut orders: UnboundedReceiver<Order>,
    pending: Rc<Cell<usize>>,
) {
    let budget = node.worker_connections();
    let mut connection = Connection::new(target.address).with_budget(budget.clone());
    while let Some(order) = next_order(&mut orders, &mut connection, &budget).await {
        let token = target.fencing_token;
        let (encoded, limit) = match &order {
            Order::Start(start) => (encode_start(start, token), ORDER_TIMEOUT),
            Order::Stop(task, run) => (encode_stop(*task, *run, token), ORDER_TIMEOUT),
            Order::Pace(task, run, percent) => {
                (encode_pace(*task, *run, *percent, token), ORDER_TIMEOUT)
            }
            Order::Look(look) => {
                let wait = Duration::from_millis(look.wait_ms);
                (encode_look(look, token), wait + ORDER_TIMEOUT)
            }
        };
        let answer = send(&mut connection, &target, &encoded, limit).await;
        pending.set(pending.get().saturating_sub(1));
        report(&node, &target, &order, &answer);
    }
}

/// Waits for the next order, and closes a connection that is not needed meanwhile.
async fn next_order(
    orders: &mut UnboundedReceiver<Order>,
    connection: &mut Connection,
    budget: &ConnectionBudget,
) -> Option<Order> {
    if !budget.is_scarce() {
        match tokio::time::timeout(IDLE_KEPT, orders.recv()).await {
            Ok(order) => return order,
            Err(_) => connection.close(),
        }
    } else if orders.is_empty() {
        connection.close();
    }
    orders.recv().await
}

async fn send(
    connection: &mut Connection,
    target: &Target,
    order: &EncodedOrder,
    limit: Duration,
) -> Result<(u16, bytes::Bytes), CallError> {
    let headers = [(MEANT_WORKER_HEADER, target.name.as_str())];
    connection
        .call(limit, "POST", order.path, &headers, &order.body)
        .await
}

fn report(
    node: &Node,
    target: &Target,
    order: &Order,
    answer: &Result<(u16, bytes::Bytes), CallError>,
) {
    let worker = target.handle;
    let order_answer = match answer {
        Ok((status, body)) => decode_order_answer(*status, body),
        Err(CallError::NotSent) => WorkerResponse::NotSent,
        Err(CallError::NoAnswer) => WorkerResponse::Unknown,
    };
    node.turn_for(target.fencing_token, |leader, state| match order {
        Order::Start(start) => leader.on_start_response(start, &order_answer, state),
        Order::Stop(..) | Order::Pace(..) => leader.on_run_response(worker, &order_answer, state),
        Order::Look(look) => {
            let list = match answer {
                Ok((status, body)) => decode_list(*status, body),
                Err(_) => Err(order_answer.clone()),
            };
            leader.on_poll_response(worker, look.channel, list, state);
        }
    });
}
