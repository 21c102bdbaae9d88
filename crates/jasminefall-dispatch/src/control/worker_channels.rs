//! Requests to workers, sent sequentially over each of a few persistent connections.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_jobs::leader::{
    PollChannel, PollRequest, REQUEST_TIMEOUT_MS, StartRequest, WorkerHandle,
};
use jasminefall_jobs::prelude::*;
use jasminefall_platform::worker_requests::{
    EncodedRequest, TARGET_WORKER_HEADER, decode_run_list, decode_worker_response, encode_pace,
    encode_poll, encode_start, encode_stop,
};
use smol_str::SmolStr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::node::Node;
use crate::http::budget::ConnectionBudget;
use crate::http::client::{Connection, RequestError};

/// The longest time to wait for a worker, which normally responds within a few milliseconds. A request
/// that is queued behind a request without a response is delayed by this time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(REQUEST_TIMEOUT_MS);
/// The largest number of concurrent requests to one worker, polls excluded; each needs a connection.
const MAX_REQUEST_CHANNELS: usize = 2;
/// How long an idle connection is kept open while the budget allows it, since the platform charges for
/// new connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Holds a request to a worker.
#[derive(Debug)]
pub(super) enum WorkerRequest {
    /// Starts a run.
    Start(StartRequest),
    /// Stops a run of a task.
    Stop(TaskId, u64),
    /// Sets the pace of a run of a task, in percent.
    Pace(TaskId, u64, u64),
    /// Polls the runs of the worker, which may delay its response until a run ends.
    Poll(PollRequest),
}

/// Queues requests to a worker and sends them sequentially over one connection.
#[derive(Debug)]
struct RequestChannel {
    queue: UnboundedSender<WorkerRequest>,
    /// The number of requests that are queued or in flight.
    pending: Rc<Cell<usize>>,
}

impl RequestChannel {
    fn start(node: &Node, target: &Target) -> Self {
        let (queue, receiver) = unbounded_channel();
        let pending = Rc::new(Cell::new(0));
        let channel = run_channel(node.clone(), target.clone(), receiver, pending.clone());
        actix_rt::spawn(channel);
        Self { queue, pending }
    }

    fn send(&self, request: WorkerRequest, worker: &Target) {
        self.pending.set(self.pending.get() + 1);
        if self.queue.send(request).is_err() {
            log::warn!("event=worker_channel_closed worker={}", worker.name);
        }
    }
}

/// Holds the channels to a worker. Polls have their own channels, since they can stay open for long.
#[derive(Debug, Default)]
struct WorkerChannels {
    requests: Vec<RequestChannel>,
    polls: HashMap<PollChannel, RequestChannel>,
}

impl WorkerChannels {
    /// Returns an idle channel, opened if the limit allows it, or the channel with the fewest pending
    /// requests.
    fn for_request(&mut self, node: &Node, worker: &Target) -> &RequestChannel {
        let is_free = |channel: &RequestChannel| channel.pending.get() == 0;
        if self.requests.len() < MAX_REQUEST_CHANNELS && !self.requests.iter().any(is_free) {
            self.requests.push(RequestChannel::start(node, worker));
        }
        let pending = self.requests.iter().map(|channel| channel.pending.get());
        let least = pending.enumerate().min_by_key(|(_, pending)| *pending);
        &self.requests[least.map_or(0, |(position, _)| position)]
    }
}

/// Holds the channels to all workers during one leadership.
#[derive(Debug, Default)]
pub(super) struct ChannelsByWorker(HashMap<WorkerHandle, WorkerChannels>);

impl ChannelsByWorker {
    /// Queues a request. The queue is unbounded, since the number of requests is limited by the number
    /// of runs on the worker.
    pub(super) fn send(&mut self, node: &Node, worker: &Target, request: WorkerRequest) {
        let channels = self.0.entry(worker.handle).or_default();
        let channel = match &request {
            WorkerRequest::Poll(poll) => {
                let entry = channels.polls.entry(poll.channel);
                entry.or_insert_with(|| RequestChannel::start(node, worker))
            }
            _ => channels.for_request(node, worker),
        };
        channel.send(request, worker);
    }

    /// Closes the channels to workers that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(WorkerHandle) -> bool) {
        self.0.retain(|handle, _| is_known(*handle));
    }
}

/// Identifies a worker, its address and the leadership that sends to it.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) handle: WorkerHandle,
    pub(super) name: SmolStr,
    pub(super) address: std::net::SocketAddr,
    pub(super) fencing_token: u64,
}

/// Sends the queued requests of a channel until its queue is closed.
async fn run_channel(
    node: Node,
    target: Target,
    mut requests: UnboundedReceiver<WorkerRequest>,
    pending: Rc<Cell<usize>>,
) {
    let budget = node.worker_connections();
    let mut connection = Connection::new(target.address).with_budget(budget.clone());
    while let Some(request) = next_request(&mut requests, &mut connection, &budget).await {
        let token = target.fencing_token;
        let (encoded, limit) = match &request {
            WorkerRequest::Start(start) => (encode_start(start, token), REQUEST_TIMEOUT),
            WorkerRequest::Stop(task, run) => (encode_stop(*task, *run, token), REQUEST_TIMEOUT),
            WorkerRequest::Pace(task, run, percent) => {
                (encode_pace(*task, *run, *percent, token), REQUEST_TIMEOUT)
            }
            WorkerRequest::Poll(poll) => {
                let wait = Duration::from_millis(poll.wait_ms);
                (encode_poll(poll, token), wait + REQUEST_TIMEOUT)
            }
        };
        let is_start = matches!(request, WorkerRequest::Start(_));
        let result = if is_start && !node.may_start_on(target.handle, token) {
            Err(RequestError::NotSent)
        } else {
            send(&mut connection, &target, &encoded, limit).await
        };
        pending.set(pending.get().saturating_sub(1));
        deliver_response(&node, &target, &request, &result);
    }
}

/// Waits for the next request, and closes the connection if it is idle for too long or the budget is
/// nearly exhausted.
async fn next_request(
    requests: &mut UnboundedReceiver<WorkerRequest>,
    connection: &mut Connection,
    budget: &ConnectionBudget,
) -> Option<WorkerRequest> {
    if !budget.is_nearly_exhausted() {
        match tokio::time::timeout(IDLE_TIMEOUT, requests.recv()).await {
            Ok(request) => return request,
            Err(_) => connection.close(),
        }
    } else if requests.is_empty() {
        connection.close();
    }
    requests.recv().await
}

async fn send(
    connection: &mut Connection,
    target: &Target,
    request: &EncodedRequest,
    limit: Duration,
) -> Result<(u16, bytes::Bytes), RequestError> {
    let headers = [(TARGET_WORKER_HEADER, target.name.as_str())];
    connection
        .send_request(limit, "POST", request.path, &headers, &request.body)
        .await
}

/// Passes the result of a request to the leader, if the leadership has not changed.
fn deliver_response(
    node: &Node,
    target: &Target,
    request: &WorkerRequest,
    result: &Result<(u16, bytes::Bytes), RequestError>,
) {
    let worker = target.handle;
    let response = match result {
        Ok((status, body)) => decode_worker_response(*status, body),
        Err(RequestError::NotSent) => WorkerResponse::NotSent,
        Err(RequestError::NoResponse) => WorkerResponse::Unknown,
    };
    node.with_leadership(target.fencing_token, |leader, state| match request {
        WorkerRequest::Start(start) => leader.on_start_response(start, &response, state),
        WorkerRequest::Stop(task, run) => {
            leader.on_stop_response(worker, (*task, *run), &response, state);
        }
        WorkerRequest::Pace(..) => leader.on_run_response(worker, &response, state),
        WorkerRequest::Poll(poll) => {
            let list = match result {
                Ok((status, body)) => decode_run_list(*status, body),
                Err(_) => Err(response.clone()),
            };
            leader.on_poll_response(worker, poll.channel, list, state);
        }
    });
}
