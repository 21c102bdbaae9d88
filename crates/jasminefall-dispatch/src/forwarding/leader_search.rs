//! The search for the leader, and the refresh of the members while it is known.
//!
//! One search serves all requests that wait for a leader, and goes on when some of them give up. It asks the
//! known instances side by side, so that an address that doesn't answer holds up neither the others nor the
//! requests.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{FutureExt, LocalBoxFuture, Shared};
use futures::stream::{FuturesUnordered, StreamExt};

use super::control_group::ControlGroup;
use crate::message::{ClientOperation, Request, Response};

/// The time after which the next instance is asked as well if the one before has not answered; a living
/// instance answers within it in most cases.
const NEXT_PROBE_DELAY: Duration = Duration::from_millis(25);
/// The pause before an instance that has not answered as the leader is asked again; short compared with an
/// election.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// The longest time to wait for the answer of one instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Describes what an instance answered.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ProbeOutcome {
    /// It is the leader.
    Leads,
    /// It follows a leader, or knows none, and names the voters.
    Follows {
        leader: Option<SocketAddr>,
        members: Vec<SocketAddr>,
    },
    /// It did not answer.
    Failed,
}

/// Holds the search that is in progress, if there is one.
#[derive(Default)]
pub(super) struct LeaderSearch {
    latest: RefCell<Option<Shared<LocalBoxFuture<'static, SocketAddr>>>>,
}

impl LeaderSearch {
    /// Returns the leader, which is searched if it isn't known; `None` if no instance has answered as the
    /// leader at the deadline.
    ///
    /// The search ends at most one round trip, [`PROBE_PAUSE`] and [`NEXT_PROBE_DELAY`] for each known
    /// address after a living instance among them knows the leader.
    pub(super) async fn find_leader(
        &self,
        group: &Rc<ControlGroup>,
        deadline: Instant,
    ) -> Option<SocketAddr> {
        if let Some(leader) = group.leader() {
            return Some(leader);
        }
        let search = {
            let mut latest = self.latest.borrow_mut();
            if latest
                .as_ref()
                .is_some_and(|search| search.peek().is_some())
            {
                *latest = None;
            }
            let begin = || search_leader(group.clone()).boxed_local().shared();
            latest.get_or_insert_with(begin).clone()
        };
        let found = tokio::time::timeout_at(deadline.into(), search).await;
        found.ok()
    }
}

/// Asks the known instances until one answers as the leader.
async fn search_leader(group: Rc<ControlGroup>) -> SocketAddr {
    let began = Instant::now();
    let mut asked = BTreeSet::new();
    let mut named: Vec<SocketAddr> = Vec::new();
    let mut members_by_leader: BTreeMap<_, Vec<_>> = BTreeMap::new();
    let mut probes = FuturesUnordered::new();
    loop {
        named.retain(|address| !asked.contains(address));
        let next = group.topology.borrow().next_candidate(&named, &asked);
        if let Some(address) = next {
            asked.insert(address);
            probes.push(probe_after(&group, Duration::ZERO, address));
        }
        let (address, outcome) = tokio::select! {
            Some(answered) = probes.next() => answered,
            () = tokio::time::sleep(NEXT_PROBE_DELAY), if next.is_some() => continue,
            else => {
                tokio::time::sleep(PROBE_PAUSE).await;
                continue;
            }
        };
        match outcome {
            ProbeOutcome::Leads => {
                log::info!(
                    "event=leader_found leader={address} asked={} took_ms={}",
                    asked.len(),
                    began.elapsed().as_millis()
                );
                if let Some(members) = members_by_leader.remove(&address) {
                    group.topology.borrow_mut().set_members(&members);
                }
                group.record_leader(address);
                return address;
            }
            ProbeOutcome::Follows { leader, members } => {
                named.extend(leader);
                named.extend(members.iter().copied());
                if let Some(leader) = leader {
                    members_by_leader.insert(leader, members);
                }
            }
            ProbeOutcome::Failed => {}
        }
        probes.push(probe_after(&group, PROBE_PAUSE, address));
    }
}

async fn probe_after(
    group: &ControlGroup,
    pause: Duration,
    address: SocketAddr,
) -> (SocketAddr, ProbeOutcome) {
    tokio::time::sleep(pause).await;
    (address, group.probe(address).await)
}

impl ControlGroup {
    /// Asks an instance whether it is the leader.
    async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        // Any read does, so that no queue has this path. Every release knows it.
        let read = Request::Client {
            host: "".into(),
            path: "".into(),
            call: ClientOperation::Read,
        };
        match self.send(address, PROBE_TIMEOUT, &read).await {
            Ok(Response::NotLeader { leader, members }) => {
                ProbeOutcome::Follows { leader, members }
            }
            Ok(Response::Expired | Response::Unknown) => ProbeOutcome::Failed,
            Ok(_) => ProbeOutcome::Leads,
            Err(error) => {
                log::debug!("event=probe_failed to={address} error=\"{error}\"");
                ProbeOutcome::Failed
            }
        }
    }

    /// Asks one instance other than the leader for the members, in turn with each call.
    ///
    /// The members then are those of the group also if all that were known before are replaced.
    pub(super) async fn refresh_members(&self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let others: BTreeSet<_> = self.topology.borrow().known().collect();
        let mut others: Vec<_> = others.into_iter().collect();
        others.retain(|address| *address != leader);
        if others.is_empty() {
            return;
        }
        let turn = self.refreshes.get();
        self.refreshes.set(turn.wrapping_add(1));
        let asked = others[turn % others.len()];
        match self.probe(asked).await {
            ProbeOutcome::Follows {
                leader: Some(named),
                members,
            } if named == leader => self.topology.borrow_mut().set_members(&members),
            ProbeOutcome::Follows {
                leader: Some(named),
                ..
            } => {
                if self.probe(named).await == ProbeOutcome::Leads {
                    self.record_leader(named);
                }
            }
            ProbeOutcome::Leads => self.record_leader(asked),
            ProbeOutcome::Follows { leader: None, .. } | ProbeOutcome::Failed => {}
        }
    }
}
