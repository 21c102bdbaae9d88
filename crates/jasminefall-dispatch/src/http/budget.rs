//! How many connections a process may hold.
//!
//! A process that runs out of descriptors can neither accept nor open anything, its own files
//! included. The descriptors are therefore shared out beforehand, and whoever has used up its share
//! waits or refuses.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The part of all descriptors for connections that are accepted from outside, in per cent.
const ACCEPTED_PERCENT: usize = 35;
/// The part of all descriptors for connections to workers and to the platform, in per cent. The rest
/// is left for links between our own processes, one for each entry, and for files.
const OPENED_PERCENT: usize = 35;
/// The part of a budget that must be free for idle connections to be kept, in per cent.
const KEEP_IDLE_ABOVE_PERCENT: usize = 20;

/// Lends out a fixed number of connections.
#[derive(Debug, Clone)]
pub struct ConnectionBudget {
    permits: Arc<Semaphore>,
    total: usize,
}

/// Holds the place of one connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
}

impl ConnectionBudget {
    /// Creates a budget of so many connections.
    #[must_use]
    pub fn new(total: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(total)),
            total,
        }
    }

    /// Creates the budget for accepted connections of a process with so many descriptors.
    #[must_use]
    pub fn for_accepted(max_descriptors: usize) -> Self {
        Self::new(max_descriptors * ACCEPTED_PERCENT / 100)
    }

    /// Creates the budget for opened connections of a process with so many descriptors.
    #[must_use]
    pub fn for_opened(max_descriptors: usize) -> Self {
        Self::new(max_descriptors * OPENED_PERCENT / 100)
    }

    /// Returns how many connections there may be.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.total
    }

    /// Takes a place if one is free.
    #[must_use]
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        Some(ConnectionPermit { _permit: permit })
    }

    /// Takes a place, in turn with others that wait for one.
    pub async fn acquire(&self) -> Option<ConnectionPermit> {
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        Some(ConnectionPermit { _permit: permit })
    }

    /// Returns whether so few places are left that idle connections had better be closed.
    #[must_use]
    pub fn is_nearly_exhausted(&self) -> bool {
        self.permits.available_permits() * 100 < self.total * KEEP_IDLE_ABOVE_PERCENT
    }
}
