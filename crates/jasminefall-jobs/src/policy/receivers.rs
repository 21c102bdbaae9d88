//! Which control instance takes the heartbeats of a worker.
//!
//! The load that this answers: thousands of workers that keep a connection open for their heartbeats.
//! The leader takes them itself as long as they are few, since it is the one to learn from them;
//! beyond that, every control instance takes a share and passes on what the leader has to know.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The silence after which a control instance is given no workers, in milliseconds; longer than an
/// election, so that workers do not move with every short stop.
const MAX_SILENCE_MS: u64 = 1_500;

/// Describes a control instance that takes heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatReceiver {
    /// Where workers reach it.
    pub address: SocketAddr,
    /// How long it has not answered the leader, in milliseconds; zero for the leader itself.
    pub silent_ms: u64,
}

/// Returns where a worker sends its heartbeats.
///
/// A worker keeps its receiver while others come and go.
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
        .filter(|known| known.silent_ms < MAX_SILENCE_MS);
    let chosen = responsive.max_by_key(|known| weight(&known.address));
    chosen.map_or(leader, |chosen| chosen.address)
}
