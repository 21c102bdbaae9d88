//! Limits on the number of open connections of a process.
//!
//! A process without free file descriptors can neither accept connections nor open any, nor open its
//! own files. The descriptors are therefore divided into fixed shares; when a share is used up, new
//! connections wait or are refused.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The share of descriptors for accepted connections, in percent.
const ACCEPTED_PERCENT: usize = 35;
/// The share of descriptors for connections to workers and to the platform, in percent. The rest is
/// for links between entries and control instances, one for each entry, and for files.
const OPENED_PERCENT: usize = 35;
/// The share of a budget that must be free for idle connections to be kept, in percent.
const IDLE_RESERVE_PERCENT: usize = 20;

/// Limits the number of open connections with a semaphore.
#[derive(Debug, Clone)]
pub struct ConnectionBudget {
    permits: Arc<Semaphore>,
    total: usize,
}

/// Reserves one connection of a budget until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
}

impl ConnectionBudget {
    /// Creates a budget of `total` connections.
    #[must_use]
    pub fn new(total: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(total)),
            total,
        }
    }

    /// Creates the budget for accepted connections of a process with `max_descriptors`.
    #[must_use]
    pub fn for_accepted(max_descriptors: usize) -> Self {
        Self::new(max_descriptors * ACCEPTED_PERCENT / 100)
    }

    /// Creates the budget for outgoing connections of a process with `max_descriptors`.
    #[must_use]
    pub fn for_opened(max_descriptors: usize) -> Self {
        Self::new(max_descriptors * OPENED_PERCENT / 100)
    }

    /// Returns the maximum number of connections.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.total
    }

    /// Acquires a permit if one is free.
    #[must_use]
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        Some(ConnectionPermit { _permit: permit })
    }

    /// Acquires a permit, in the order of arrival; returns `None` if the budget is closed.
    pub async fn acquire(&self) -> Option<ConnectionPermit> {
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        Some(ConnectionPermit { _permit: permit })
    }

    /// Returns whether so few permits are free that idle connections should be closed.
    #[must_use]
    pub fn is_nearly_exhausted(&self) -> bool {
        self.permits.available_permits() * 100 < self.total * IDLE_RESERVE_PERCENT
    }
}
