//! Which control instances an entry passes over.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jasminefall_dispatch::silences::Silences;

#[test]
fn a_silent_instance_is_passed_over_for_a_while_or_until_it_answers() {
    let silent = SocketAddr::from(([127, 0, 0, 1], 7_300));
    let other = SocketAddr::from(([127, 0, 0, 2], 7_300));
    let now = Instant::now();
    let mut silences = Silences::default();
    silences.note(silent, now);
    assert!(silences.holds(silent, now));
    assert!(!silences.holds(other, now));
    assert!(
        !silences.holds(silent, now + Duration::from_secs(1)),
        "a leader that was only slow is asked again"
    );
    silences.note(silent, now);
    silences.clear(silent);
    assert!(!silences.holds(silent, now));
}
