//! The search for the leader, and the refresh of the members while it is known.
//!
//! One search serves all requests that wait for a leader. It asks the known instances side by side, so
//! that an address that doesn't answer holds up neither the others nor the requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::Forwarder;
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

impl Forwarder {
    /// Returns the leader, which is searched if it isn't known; `None` if no instance has answered as the
    /// leader at the deadline.
    ///
    /// The search ends at most one round trip, [`PROBE_PAUSE`] and [`NEXT_PROBE_DELAY`] for each known
    /// address after a living instance among them knows the leader.
    pub(super) async fn find_leader(&self, deadline: Instant) -> Option<SocketAddr> {
        if let Some(leader) = self.leader() {
            return Some(leader);
        }
        let search = async {
            let _only_search = self.search.lock().await;
            match self.leader() {
                Some(leader) => leader,
                None => self.search_leader().await,
            }
        };
        let found = tokio::time::timeout_at(deadline.into(), search).await;
        found.ok()
    }

    /// Asks the known instances until one answers as the leader.
    async fn search_leader(&self) -> SocketAddr {
        let began = Instant::now();
        let mut asked = BTreeSet::new();
        let mut named = Vec::new();
        let mut members_by_leader: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let mut probes = FuturesUnordered::new();
        loop {
            let next = self.topology.borrow().next_candidate(&named, &asked);
            if let Some(address) = next {
                asked.insert(address);
                probes.push(self.probe_after(Duration::ZERO, address));
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
                        self.topology.borrow_mut().set_members(&members);
                    }
                    self.record_leader(address);
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
            probes.push(self.probe_after(PROBE_PAUSE, address));
        }
    }

    async fn probe_after(
        &self,
        pause: Duration,
        address: SocketAddr,
    ) -> (SocketAddr, ProbeOutcome) {
        tokio::time::sleep(pause).await;
        (address, self.probe(address).await)
    }

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

    /// Searches the leader if it isn't known.
    pub async fn search_if_unknown(&self, limit: Duration) {
        if self.find_leader(Instant::now() + limit).await.is_none() {
            log::debug!("event=no_leader");
        }
    }

    /// Asks one instance other than the leader for the members, in turn with each call.
    ///
    /// The members then are those of the group also if all that were known before are replaced.
    pub async fn refresh_members(&self) {
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
        match self.probe(others[turn % others.len()]).await {
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
            ProbeOutcome::Leads => self.record_leader(others[turn % others.len()]),
            ProbeOutcome::Follows { leader: None, .. } | ProbeOutcome::Failed => {}
        }
    }
}
