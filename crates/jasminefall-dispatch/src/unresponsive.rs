//! Which control instances are passed over for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an instance that left a call unanswered is passed over, also where others say that it
/// leads; they take about as long to notice that it is gone.
const SILENT_FOR: Duration = Duration::from_millis(600);

/// Remembers the instances that left a call unanswered.
#[derive(Debug, Clone, Default)]
pub struct UnresponsiveInstances(BTreeMap<SocketAddr, Instant>);

impl UnresponsiveInstances {
    /// Notes that an instance has left a call unanswered.
    pub fn insert(&mut self, address: SocketAddr, now: Instant) {
        self.0.insert(address, now + SILENT_FOR);
    }

    /// Forgets the silence of an instance that has answered.
    pub fn remove(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }

    /// Returns whether an instance is to be passed over.
    #[must_use]
    pub fn contains(&self, address: SocketAddr, now: Instant) -> bool {
        self.0.get(&address).is_some_and(|until| now < *until)
    }
}
