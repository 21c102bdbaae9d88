//! The lease of a worker, as far as the leader knows it.

/// Names the request that granted the latest end of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaseGrant {
    /// No request has granted a lease.
    None,
    /// A request of an earlier leader.
    EarlierLeader,
    /// A request to start a task.
    Start,
    /// A poll.
    Poll,
}

impl LeaseGrant {
    /// Returns the name in log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::EarlierLeader => "earlier-leader",
            Self::Start => "start",
            Self::Poll => "poll",
        }
    }
}

/// Bounds the time until which a worker may hold a lease.
///
/// A worker has one lease for all of its runs, which never shortens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaseBound {
    until_ms: u64,
    granted_by: LeaseGrant,
    /// The latest end of a lease that the next incarnation may hold by a request to this one, on the leader's
    /// clock in milliseconds.
    successor_until_ms: u64,
}

impl LeaseBound {
    /// Creates the bound of a worker whose run list has not been received yet. What earlier leaders
    /// granted is added with the first list, after which the worker refuses their requests.
    pub(crate) const fn new() -> Self {
        Self {
            until_ms: 0,
            granted_by: LeaseGrant::None,
            successor_until_ms: 0,
        }
    }

    /// Records that a request may grant a lease until a time on the worker's clock.
    pub(crate) const fn extend(&mut self, until_ms: u64, granted_by: LeaseGrant) {
        if until_ms > self.until_ms {
            self.until_ms = until_ms;
            self.granted_by = granted_by;
        }
    }

    /// Records that a request to this incarnation may grant the next one a lease until a time on the leader's
    /// clock. The next one reads the request's deadline on its own clock, so that only the maximum bounds its lease.
    pub(crate) const fn extend_for_successor(&mut self, until_ms: u64) {
        if until_ms > self.successor_until_ms {
            self.successor_until_ms = until_ms;
        }
    }

    /// Returns the latest end of the lease, on the worker's clock in milliseconds.
    pub(crate) const fn until_ms(&self) -> u64 {
        self.until_ms
    }

    /// Returns what granted the latest end of the lease.
    pub(crate) const fn granted_by(&self) -> LeaseGrant {
        self.granted_by
    }

    /// Returns whether the lease has expired if the worker's clock is at least `min_clock_ms`.
    pub(crate) const fn has_expired(&self, min_clock_ms: u64) -> bool {
        min_clock_ms > self.until_ms
    }

    /// Returns whether the next incarnation can't hold a lease by a request to this one any more.
    pub(crate) const fn has_expired_for_successor(&self, now_ms: u64) -> bool {
        now_ms > self.successor_until_ms
    }
}
