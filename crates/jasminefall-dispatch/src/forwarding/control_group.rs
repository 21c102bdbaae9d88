//! Requests to single control instances, and what their responses tell of the leader.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::extended::Extended;
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::link::LinkError;
use tokio::sync::watch;

use super::topology::Topology;
use crate::message::{Request, Response};
use crate::time_limit::TimeLimit;

/// The longest time to wait for one instance; a commit on slow disks takes a few hundred milliseconds.
const INSTANCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends requests to the control instances and keeps what is known of them.
pub(super) struct ControlGroup {
    key: SiteKey,
    pub(super) topology: RefCell<Topology>,
    /// The instance that most recently responded as the leader.
    answering_leader: watch::Sender<Option<SocketAddr>>,
    /// The number of refreshes of the members, which selects the instance to ask.
    pub(super) refreshes: Cell<usize>,
}

impl ControlGroup {
    /// Creates a group that is known by its seeds only.
    pub(super) fn new(key: SiteKey, seeds: Vec<SocketAddr>) -> Self {
        Self {
            key,
            topology: RefCell::new(Topology::new(seeds)),
            answering_leader: watch::Sender::new(None),
            refreshes: Cell::new(0),
        }
    }

    /// Returns the last known leader.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        self.topology.borrow().leader
    }

    /// Sends a request to one instance, with the time that remains for its execution.
    pub(super) async fn send(
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
    pub(super) fn record_leader(&self, address: SocketAddr) {
        let mut topology = self.topology.borrow_mut();
        topology.leader = Some(address);
        topology.unresponsive.remove(address);
        self.answering_leader
            .send_if_modified(|before| before.replace(address) != Some(address));
    }

    /// Records a failed attempt; returns whether the instance may have executed the request.
    pub(super) fn record_failure(&self, address: SocketAddr, error: &LinkError) -> bool {
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
    pub(super) async fn other_leader_answered(&self, address: SocketAddr) -> SocketAddr {
        let mut answering_leader = self.answering_leader.subscribe();
        while answering_leader.changed().await.is_ok() {
            let leader = *answering_leader.borrow_and_update();
            if let Some(leader) = leader.filter(|leader| *leader != address) {
                return leader;
            }
        }
        std::future::pending().await
    }

    pub(super) fn clear_leader(&self, address: SocketAddr) {
        let mut topology = self.topology.borrow_mut();
        if topology.leader == Some(address) {
            log::warn!("event=leader_lost leader={address}");
            topology.leader = None;
        }
    }
}
