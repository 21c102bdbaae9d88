//! Locating the leader and forwarding requests to it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::client::ControlLink;
use jasminefall_wire::extended::Extended;
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::link::LinkError;
use tokio::sync::watch;

use crate::message::{Request, Response};
use crate::time_limit::{ClockReadings, TimeLimit};
use crate::unresponsive::UnresponsiveInstances;

/// The `Retry-After` value of responses without a known leader, in seconds; an election takes one
/// second.
pub const NO_LEADER_RETRY_S: u64 = 1;
/// The pause after every known control instance has been tried without success; short compared with an
/// election, which takes a second.
const ROUND_PAUSE: Duration = Duration::from_millis(60);
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
}

/// Holds what this process knows about the control instances.
#[derive(Default)]
struct Topology {
    seeds: Vec<SocketAddr>,
    members: BTreeSet<SocketAddr>,
    leader: Option<SocketAddr>,
    unresponsive: UnresponsiveInstances,
    clocks: ClockReadings,
    links: BTreeMap<SocketAddr, Rc<ControlLink>>,
}

impl Forwarder {
    /// Creates a forwarder that discovers the control instances through the peer addresses `seeds`.
    #[must_use]
    pub fn new(key: SiteKey, seeds: Vec<SocketAddr>) -> Self {
        let topology = Topology {
            seeds,
            ..Topology::default()
        };
        Self {
            key,
            topology: RefCell::new(topology),
            answering_leader: watch::Sender::new(None),
        }
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
        let mut tried = BTreeSet::new();
        loop {
            let Some(address) = self.next_candidate(&tried) else {
                tried.clear();
                if Instant::now() + ROUND_PAUSE >= deadline {
                    break;
                }
                tokio::time::sleep(ROUND_PAUSE).await;
                continue;
            };
            tried.insert(address);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let response = tokio::select! {
                response = self.send(address, remaining, request) => response,
                leader = self.other_leader_answered(address) => {
                    log::info!("event=forward_moved from={address} to={leader}");
                    is_copy_under_way = true;
                    tried.remove(&leader);
                    continue;
                }
            };
            match response {
                Ok(Response::NotLeader { leader, members }) => {
                    let leader = leader.filter(|leader| !self.is_unresponsive(*leader));
                    self.record_redirect(leader, &members, address);
                    if let Some(leader) = leader {
                        tried.remove(&leader);
                        tried.insert(address);
                    }
                }
                Ok(Response::Unknown) => may_be_executed = true,
                Ok(Response::Expired) => {}
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
        let link = self.link(address);
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
                self.mark_unresponsive(address);
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

    /// Returns the next instance to try: the leader, then the members, then the seeds.
    fn next_candidate(&self, tried: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let topology = self.topology.borrow();
        let members = topology.members.iter().copied();
        let order = topology
            .leader
            .into_iter()
            .chain(members)
            .chain(topology.seeds.iter().copied());
        let now = Instant::now();
        order.into_iter().find(|address| {
            !tried.contains(address) && !topology.unresponsive.contains(*address, now)
        })
    }

    fn is_unresponsive(&self, address: SocketAddr) -> bool {
        let topology = self.topology.borrow();
        topology.unresponsive.contains(address, Instant::now())
    }

    fn mark_unresponsive(&self, address: SocketAddr) {
        let mut topology = self.topology.borrow_mut();
        topology.unresponsive.insert(address, Instant::now());
    }

    fn link(&self, address: SocketAddr) -> Rc<ControlLink> {
        let mut topology = self.topology.borrow_mut();
        let create = || Rc::new(ControlLink::new(address, self.key.clone()));
        topology.links.entry(address).or_insert_with(create).clone()
    }

    /// Records the leader and the members reported by an instance that is not the leader.
    fn record_redirect(
        &self,
        leader: Option<SocketAddr>,
        members: &[SocketAddr],
        reporter: SocketAddr,
    ) {
        let mut topology = self.topology.borrow_mut();
        if !members.is_empty() {
            topology.members = members.iter().copied().collect();
        }
        let previous = topology.leader;
        if leader.is_some() && leader != previous {
            log::info!(
                "event=leader_found leader={leader:?} before={previous:?} reported_by={reporter}"
            );
        }
        if leader.is_some() || previous == Some(reporter) {
            topology.leader = leader;
        }
    }

    fn clear_leader(&self, address: SocketAddr) {
        let mut topology = self.topology.borrow_mut();
        if topology.leader == Some(address) {
            log::warn!("event=leader_lost leader={address}");
            topology.leader = None;
        }
    }
}
