//! Tests of the exclusion of unresponsive control instances.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jasminefall_dispatch::unresponsive::UnresponsiveInstances;

#[test]
fn unresponsive_instance_is_skipped_until_timeout_or_response() {
    let unresponsive_address = SocketAddr::from(([127, 0, 0, 1], 7_300));
    let other = SocketAddr::from(([127, 0, 0, 2], 7_300));
    let now = Instant::now();
    let mut unresponsive = UnresponsiveInstances::default();
    unresponsive.insert(unresponsive_address, now);
    assert!(unresponsive.contains(unresponsive_address, now));
    assert!(!unresponsive.contains(other, now));
    assert!(
        !unresponsive.contains(unresponsive_address, now + Duration::from_secs(1)),
        "the exclusion of a slow leader expires"
    );
    unresponsive.insert(unresponsive_address, now);
    unresponsive.remove(unresponsive_address);
    assert!(!unresponsive.contains(unresponsive_address, now));
}
