//! Assignment of workers to the control instances that receive their heartbeats.
//!
//! Thousands of workers keep a connection open for their heartbeats. While workers are few, the
//! leader receives all heartbeats, since it evaluates them. Beyond that, every control instance
//! receives a share of the heartbeats and forwards them to the leader.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The time without an response after which a control instance is assigned no workers, in
/// milliseconds; longer than an election, so that a short outage does not reassign workers.
const MAX_SILENCE_MS: u64 = 1_500;

/// Describes a control instance that receives heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatReceiver {
    /// The address to which workers send heartbeats.
    pub address: SocketAddr,
    /// The time since its last response to the leader, in milliseconds; zero for the leader itself.
    pub silent_ms: u64,
}

/// Returns the address to which a worker sends its heartbeats.
///
/// This is the leader if there are at most `max_at_leader` workers. Otherwise rendezvous hashing
/// chooses the receiver, so that a worker keeps it when other receivers are added or removed.
#[must_use]
pub fn assign_receiver(
    worker: &str,
    workers: usize,
    max_at_leader: usize,
    leader: SocketAddr,
    receivers: &[HeartbeatReceiver],
) -> SocketAddr {
    if workers <= max_at_leader {
        return leader;
    }
    let weight = |address: &SocketAddr| {
        let mut hasher = DefaultHasher::new();
        (worker, address).hash(&mut hasher);
        hasher.finish()
    };
    let responsive = receivers
        .iter()
        .filter(|receiver| receiver.silent_ms < MAX_SILENCE_MS);
    let chosen = responsive.max_by_key(|receiver| weight(&receiver.address));
    chosen.map_or(leader, |chosen| chosen.address)
}
