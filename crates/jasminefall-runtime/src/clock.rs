//! Wall and monotonic time in milliseconds.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the wall-clock time in milliseconds since 1970; zero if the clock is set before 1970.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since the first call in this process.
///
/// The time during which the machine was suspended counts, so that a lease can expire meanwhile.
#[must_use]
pub fn monotonic_ms() -> u64 {
    static START: OnceLock<u64> = OnceLock::new();
    let now_ms = boot_ms();
    now_ms.saturating_sub(*START.get_or_init(|| now_ms))
}

/// Returns the milliseconds since the machine booted, including suspension.
fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let millis = u64::try_from(now.tv_nsec / 1_000_000).unwrap_or_default();
    seconds * 1_000 + millis
}
