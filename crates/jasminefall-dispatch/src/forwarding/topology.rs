//! What a process knows about the control instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use jasminefall_wire::client::ControlLink;
use jasminefall_wire::handshake::SiteKey;

use crate::time_limit::ClockReadings;
use crate::unresponsive::UnresponsiveInstances;

/// Holds what this process knows about the control instances.
#[derive(Default)]
pub(super) struct Topology {
    /// The addresses from the settings, some of which may no longer exist.
    pub(super) seeds: Vec<SocketAddr>,
    /// The voters that a follower of the leader has named.
    pub(super) members: BTreeSet<SocketAddr>,
    /// The instance that responded as the leader last, unless a request to it has failed since.
    pub(super) leader: Option<SocketAddr>,
    pub(super) unresponsive: UnresponsiveInstances,
    pub(super) clocks: ClockReadings,
    links: BTreeMap<SocketAddr, Rc<ControlLink>>,
}

impl Topology {
    /// Creates a topology of seeds only.
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            ..Self::default()
        }
    }

    /// Returns the link to an instance.
    pub(super) fn link(&mut self, address: SocketAddr, key: &SiteKey) -> Rc<ControlLink> {
        let create = || Rc::new(ControlLink::new(address, key.clone()));
        self.links.entry(address).or_insert_with(create).clone()
    }

    /// Replaces the members and closes the links to instances that are no longer known.
    pub(super) fn set_members(&mut self, members: &[SocketAddr]) {
        let members: BTreeSet<_> = members.iter().copied().collect();
        if members.is_empty() || members == self.members {
            return;
        }
        log::info!("event=members_changed members={members:?}");
        self.members = members;
        let known: BTreeSet<_> = self.known().collect();
        self.links.retain(|address, _| known.contains(address));
    }

    /// Returns the known addresses: the leader, the members and the seeds, of which one may be repeated.
    pub(super) fn known(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let members = self.members.iter().copied();
        let seeds = self.seeds.iter().copied();
        self.leader.into_iter().chain(members).chain(seeds)
    }

    /// Returns the first address that has not been asked: of those that `named` holds, then of the known
    /// ones. Unresponsive instances come last.
    pub(super) fn next_candidate(
        &self,
        named: &[SocketAddr],
        asked: &BTreeSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let now = Instant::now();
        let candidates = named.iter().copied().chain(self.known());
        candidates
            .filter(|address| !asked.contains(address))
            .min_by_key(|address| self.unresponsive.contains(*address, now))
    }
}
