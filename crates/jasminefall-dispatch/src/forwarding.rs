//! Locating the leader and forwarding requests to it.
//!
//! - [`control_group`]: requests to single control instances, and what their responses tell of the leader
//! - [`topology`]: the known control instances and the links to them
//! - [`leader_search`]: the search for the leader, and the refresh of the members

mod control_group;
mod leader_search;
mod topology;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jasminefall_wire::handshake::SiteKey;
use tokio::sync::watch;

use self::control_group::ControlGroup;
use self::leader_search::LeaderSearch;
use crate::message::{Request, Response};

/// The `Retry-After` value of responses without a known leader, in seconds; an election takes one
/// second.
pub const NO_LEADER_RETRY_S: u64 = 1;
/// The pause after the leader has not executed a request, before it is sent again; short compared with an
/// election, which takes a second.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

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
    group: Rc<ControlGroup>,
    search: LeaderSearch,
}

impl Forwarder {
    /// Creates a forwarder that discovers the control instances through the peer addresses `seeds`.
    #[must_use]
    pub fn new(key: SiteKey, seeds: Vec<SocketAddr>) -> Self {
        Self {
            group: Rc::new(ControlGroup::new(key, seeds)),
            search: LeaderSearch::default(),
        }
    }

    /// Sets the instance that leads, as another instance has reported.
    #[must_use]
    pub fn with_leader(self, leader: SocketAddr) -> Self {
        self.group.topology.borrow_mut().leader = Some(leader);
        self
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.group.topology.borrow_mut().seeds = seeds;
    }

    /// Returns the last known leader.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddr> {
        self.group.leader()
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
        // Whether a copy without a response, or of a leader that stepped down, may still be executed.
        let mut is_copy_under_way = false;
        let mut rejected_by = None;
        let group = &self.group;
        while let Some(address) = self.search.find_leader(group, deadline).await {
            if rejected_by.take() == Some(address) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let response = tokio::select! {
                response = group.send(address, remaining, request) => response,
                leader = group.other_leader_answered(address) => {
                    log::info!("event=forward_moved from={address} to={leader}");
                    is_copy_under_way = true;
                    continue;
                }
            };
            match response {
                Ok(Response::NotLeader { .. }) => {
                    rejected_by = Some(address);
                    group.clear_leader(address);
                }
                Ok(Response::Unknown) => {
                    is_copy_under_way = true;
                    rejected_by = Some(address);
                }
                Ok(Response::Expired) => rejected_by = Some(address),
                Ok(response) => {
                    group.record_leader(address);
                    // The refusal of one copy doesn't prevent the other one from being accepted.
                    if is_copy_under_way && request.is_submission() && response.is_refusal() {
                        log::info!("event=refusal_unconfirmed path={}", request.client_path());
                        break;
                    }
                    return Ok(response);
                }
                Err(error) => is_copy_under_way |= group.record_failure(address, &error),
            }
        }
        Err(if is_copy_under_way {
            ForwardError::Unknown
        } else {
            ForwardError::NotExecuted
        })
    }

    /// Searches the leader if it isn't known.
    pub async fn search_if_unknown(&self, limit: Duration) {
        let found = self.search.find_leader(&self.group, Instant::now() + limit);
        if found.await.is_none() {
            log::debug!("event=no_leader");
        }
    }

    /// Asks one instance other than the leader for the members, in turn with each call.
    ///
    /// The members then are those of the group also if all that were known before are replaced.
    pub async fn refresh_members(&self) {
        self.group.refresh_members().await;
    }
}
