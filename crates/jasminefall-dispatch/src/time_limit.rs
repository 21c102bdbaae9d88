//! Time limits of forwarded requests.
//!
//! A forwarded request can be held up on its way for any time: by the network, or in a process that is
//! paused. Its sender gives up meanwhile, and the client acts on what it has been told. So a request states
//! for how long its sender waits, and what the receiver's clock shows at most when it is sent; a receiver
//! whose clock has advanced by more refuses it. A clock is read with each response.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How far the clock of another instance may fall behind the local one, in thousandths of the elapsed
/// time, or get ahead of it; as for the clocks of workers.
const CLOCK_DRIFT_MILLIS: u64 = 30;
/// The age at which a clock reading is no longer used, in milliseconds; its error is far below the usual
/// time limits until then.
const MAX_READING_AGE_MS: u64 = 20_000;

/// Limits the time in which a request may be executed.
///
/// Both fields are in milliseconds. It follows the request as an extension, which earlier releases ignore.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeLimit {
    remaining_ms: u64,
    receiver_clock_ms: Option<u64>,
}

impl TimeLimit {
    /// Creates the limit of a request whose sender waits for `remaining_ms`; `receiver_clock_ms` is the
    /// highest value that the receiver's clock can have when the request is sent, if it is known.
    #[must_use]
    pub const fn new(remaining_ms: u64, receiver_clock_ms: Option<u64>) -> Self {
        Self {
            remaining_ms,
            receiver_clock_ms,
        }
    }

    /// Returns whether the sender has stopped waiting, by the receiver's clock; false if the sender didn't
    /// know this clock.
    #[must_use]
    pub fn has_passed(&self, clock_ms: u64) -> bool {
        self.receiver_clock_ms
            .is_some_and(|sent_at_ms| clock_ms > sent_at_ms.saturating_add(self.remaining_ms))
    }
}

/// Holds the upper bound of another instance's clock at a time on the local clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    max_clock_ms: u64,
    read_at_ms: u64,
}

impl ClockReading {
    fn max_clock_at(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.read_at_ms);
        self.max_clock_ms + elapsed_ms + elapsed_ms * CLOCK_DRIFT_MILLIS / 1_000
    }
}

/// Holds readings of the clocks of other instances, by their peer address.
#[derive(Debug, Default)]
pub struct ClockReadings(BTreeMap<SocketAddr, ClockReading>);

impl ClockReadings {
    /// Records the clock in a response to a request that was sent at `sent_at_ms`.
    pub fn record(&mut self, address: SocketAddr, clock_ms: u64, sent_at_ms: u64, now_ms: u64) {
        // The response may have been on its way since the request was sent.
        let max_clock_ms = clock_ms + now_ms.saturating_sub(sent_at_ms);
        let is_better = self
            .max_clock_ms(address, now_ms)
            .is_none_or(|known_ms| max_clock_ms < known_ms);
        if is_better {
            let reading = ClockReading {
                max_clock_ms,
                read_at_ms: now_ms,
            };
            self.0.insert(address, reading);
        }
    }

    /// Returns the highest value that an instance's clock can have now; `None` without a recent reading.
    #[must_use]
    pub fn max_clock_ms(&self, address: SocketAddr, now_ms: u64) -> Option<u64> {
        let reading = self.0.get(&address)?;
        let is_recent = now_ms.saturating_sub(reading.read_at_ms) <= MAX_READING_AGE_MS;
        is_recent.then(|| reading.max_clock_at(now_ms))
    }
}
