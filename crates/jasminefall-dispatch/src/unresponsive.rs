//! Control instances that are temporarily skipped because a request to them timed out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an unresponsive instance is skipped, even if other instances report it as the leader,
/// since they take about as long to detect its failure.
const EXCLUSION_TIME: Duration = Duration::from_millis(600);

/// Holds the instances that did not respond, each with the time until which it is skipped.
#[derive(Debug, Clone, Default)]
pub struct UnresponsiveInstances(BTreeMap<SocketAddr, Instant>);

impl UnresponsiveInstances {
    /// Marks an instance as unresponsive from `now` on.
    pub fn insert(&mut self, address: SocketAddr, now: Instant) {
        self.0.insert(address, now + EXCLUSION_TIME);
    }

    /// Removes an instance that has responded.
    pub fn remove(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }

    /// Returns whether an instance is skipped at `now`.
    #[must_use]
    pub fn contains(&self, address: SocketAddr, now: Instant) -> bool {
        self.0.get(&address).is_some_and(|until| now < *until)
    }
}
