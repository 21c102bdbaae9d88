//! Locating the leader and forwarding requests to it.
//!
//! - [`topology`]: the known control instances and the links to them
//! - [`leader_search`]: the search for the leader, and the refresh of the members

mod leader_search;
mod topology;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::extended::Extended;
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::link::LinkError;
use tokio::sync::watch;

use self::topology::Topology;
use crate::message::{Request, Response};
use crate::time_limit::TimeLimit;

/// The `Retry-After` value of responses without a known leader, in seconds; an election takes one
/// second.
pub const NO_LEADER_RETRY_S: u64 = 1;
/// The pause after the leader has not executed a request, before it is sent again; short compared with an
/// election, which takes a second.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The longest time to wait for one instance; a commit on slow disks takes a few hundred milliseconds.
const INSTANCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Reports why a request got no response from the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// No leader received the request, so it has not been executed and will not be.
    NotExecuted,
    /// A control instance may have received the request, so the outcome is unknown.
    Unknown,
}

/// Calls the current leader, and calls the new leader if the leader changes during the call.
///
/// A call that waits for a previous leader, or for a leader to be elected, is repeated as soon as a
/// new leader is known, because a worker that gets a "no leader" response sends its next heartbeat only
/// seconds later.
///
/// # Errors
///
/// Returns [`ForwardError`] if no leader responded within `limit`.
pub async fn call_leader(
    mut leader: watch::Receiver<Option<SocketAddr>>,
    limit: Duration,
    call: impl AsyncFn(SocketAddr, Duration) -> Result<Response, ForwardError>,
) -> Result<Response, ForwardError> {
    let deadline = Instant::now() + limit;
    let mut may_be_executed = false;
    loop {
        let current_leader = *leader.borrow_and_update();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let response = async {
            match current_leader {
                Some(address) => call(address, remaining).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            response = response => {
                return match response {
                    Err(ForwardError::NotExecuted) if may_be_executed => Err(ForwardError::Unknown),
                    response => response,
                };
            }
            Ok(()) = leader.changed() => may_be_executed |= current_leader.is_some(),
            () = tokio::time::sleep(remaining) => {
                may_be_executed |= current_leader.is_some();
                return Err(if may_be_executed { ForwardError::Unknown } else { ForwardError::NotExecuted });
            }
        }
    }
}

/// Forwards requests to the leading control instance.
pub struct Forwarder {
    key: SiteKey,
    topology: RefCell<Topology>,
    /// The instance that most recently responded as the leader.
    answering_leader: watch::Sender<Option<SocketAddr>>,
    /// Held by the one request that searches the leader for all that wait for it.
    search: tokio::sync::Mutex<()>,
    /// The number of refreshes of the members, which selects the instance to ask.
    refreshes: Cell<usize>,
}

impl Forwarder {
    /// Creates a forwarder that discovers the control instances through the peer addresses `seeds`.
    #[must_use]
    pub fn new(key: SiteKey, seeds: Vec<SocketAddr>) -> Self {
        Self {
            key,
            topology: RefCell::new(Topology::new(seeds)),
            answering_leader: watch::Sender::new(None),
            search: tokio::sync::Mutex::new(()),
            refreshes: Cell::new(0),
        }
    }

    /// Sets the instance that leads, as another instance has reported.
    #[must_use]
    pub fn with_leader(self, leader: SocketAddr) -> Self {
        self.topology.borrow_mut().leader = Some(leader);
        self
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.topology.borrow_mut().seeds = seeds;
    }

    /// Returns the last known leader.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddr> {
        self.topology.borrow().leader
    }

    /// Forwards a request and returns the leader's response.
    ///
    /// Requests carry their own keys, so a request that may have been executed is sent again unchanged.
    /// If another instance responds as the leader while a request waits for the previous leader, the
    /// request is sent to the new leader immediately: the previous leader no longer makes decisions, and
    /// requests made later must not overtake this one.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardError`] if no leader responded within `limit`.
    pub async fn forward(
        &self,
        limit: Duration,
        request: &Request,
    ) -> Result<Response, ForwardError> {
        let deadline = Instant::now() + limit;
        let mut may_be_executed = false;
        // Whether a copy without a response may still be executed.
        let mut is_copy_under_way = false;
        let mut rejected_by = None;
        while let Some(address) = self.find_leader(deadline).await {
            if rejected_by.take() == Some(address) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let response = tokio::select! {
                response = self.send(address, remaining, request) => response,
                leader = self.other_leader_answered(address) => {
                    log::info!("event=forward_moved from={address} to={leader}");
                    is_copy_under_way = true;
                    continue;
                }
            };
            match response {
                Ok(Response::NotLeader { .. }) => {
                    rejected_by = Some(address);
                    self.clear_leader(address);
                }
                Ok(Response::Unknown) => {
                    may_be_executed = true;
                    rejected_by = Some(address);
                }
                Ok(Response::Expired) => rejected_by = Some(address),
                Ok(response) => {
                    self.record_leader(address);
                    // The refusal of one copy doesn't prevent the other one from being accepted.
                    if is_copy_under_way && request.is_submission() && response.is_refusal() {
                        log::info!("event=refusal_unconfirmed path={}", request.client_path());
                        break;
                    }
                    return Ok(response);
                }
                Err(error) => is_copy_under_way |= self.record_failure(address, &error),
            }
        }
        Err(if may_be_executed || is_copy_under_way {
            ForwardError::Unknown
        } else {
            ForwardError::NotExecuted
        })
    }

    /// Sends a request to one instance, with the time that remains for its execution.
    async fn send(
        &self,
        address: SocketAddr,
        remaining: Duration,
        request: &Request,
    ) -> Result<Response, LinkError> {
        let link = self.topology.borrow_mut().link(address, &self.key);
        let sent_at_ms = monotonic_ms();
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let limit = {
            let topology = self.topology.borrow();
            let clock_ms = topology.clocks.max_clock_ms(address, sent_at_ms);
            TimeLimit::new(remaining_ms, clock_ms)
        };
        let request = Extended::new(request).with_extension(limit);
        let timeout = remaining.min(INSTANCE_TIMEOUT);
        let response: Extended<Response, u64> = link.forward(timeout, &request).await?;
        if let Some(clock_ms) = response.extension {
            let mut topology = self.topology.borrow_mut();
            let now_ms = monotonic_ms();
            topology
                .clocks
                .record(address, clock_ms, sent_at_ms, now_ms);
        }
        Ok(response.message)
    }

    /// Records that an instance has responded as the leader.
    fn record_leader(&self, address: SocketAddr) {
        let mut topology = self.topology.borrow_mut();
        topology.leader = Some(address);
        topology.unresponsive.remove(address);
        self.answering_leader
            .send_if_modified(|before| before.replace(address) != Some(address));
    }

    /// Records a failed attempt; returns whether the instance may have executed the request.
    fn record_failure(&self, address: SocketAddr, error: &LinkError) -> bool {
        let may_be_executed = match error {
            LinkError::NotSent(error) => {
                log::debug!("event=forward_failed to={address} error=\"{error}\"");
                false
            }
            LinkError::Unknown(error) => {
                log::warn!("event=forward_unanswered to={address} error=\"{error}\"");
                let mut topology = self.topology.borrow_mut();
                topology.unresponsive.insert(address, Instant::now());
                true
            }
        };
        self.clear_leader(address);
        may_be_executed
    }

    /// Waits until an instance other than `address` responds as the leader.
    async fn other_leader_answered(&self, address: SocketAddr) -> SocketAddr {
        let mut answering_leader = self.answering_leader.subscribe();
        while answering_leader.changed().await.is_ok() {
            let leader = *answering_leader.borrow_and_update();
            if let Some(leader) = leader.filter(|leader| *leader != address) {
                return leader;
            }
        }
        std::future::pending().await
    }

    fn clear_leader(&self, address: SocketAddr) {
        let mut topology = self.topology.borrow_mut();
        if topology.leader == Some(address) {
            log::warn!("event=leader_lost leader={address}");
            topology.leader = None;
        }
    }
}
