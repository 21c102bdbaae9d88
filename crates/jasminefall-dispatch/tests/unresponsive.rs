//! Which control instances an entry passes over.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jasminefall_dispatch::unresponsive::UnresponsiveInstances;

#[test]
fn a_silent_instance_is_passed_over_for_a_while_or_until_it_answers() {
    let silent = SocketAddr::from(([127, 0, 0, 1], 7_300));
    let other = SocketAddr::from(([127, 0, 0, 2], 7_300));
    let now = Instant::now();
    let mut unresponsive = UnresponsiveInstances::default();
    unresponsive.insert(silent, now);
    assert!(unresponsive.contains(silent, now));
    assert!(!unresponsive.contains(other, now));
    assert!(
        !unresponsive.contains(silent, now + Duration::from_secs(1)),
        "a leader that was only slow is asked again"
    );
    unresponsive.insert(silent, now);
    unresponsive.remove(silent);
    assert!(!unresponsive.contains(silent, now));
}
