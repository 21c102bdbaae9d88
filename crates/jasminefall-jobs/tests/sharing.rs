//! Tests of the heartbeat receiver assignment and the request limiter, which spread load so that
//! neither a control instance nor the platform is overloaded.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jasminefall_jobs::policy::receivers::{HeartbeatReceiver, assign_receiver};
use jasminefall_jobs::policy::request_limiter::InstanceRequestLimiter;
use proptest::prelude::*;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn receivers() -> Vec<HeartbeatReceiver> {
    let all = (1..=5).map(|number| HeartbeatReceiver {
        address: address(number),
        silent_ms: 0,
    });
    all.collect()
}

fn shares(workers: usize, receivers: &[HeartbeatReceiver]) -> BTreeMap<SocketAddr, usize> {
    let mut shares = BTreeMap::new();
    for worker in 0..workers {
        let name = format!("i-{worker}");
        let chosen = assign_receiver(&name, workers, 700, address(1), receivers);
        *shares.entry(chosen).or_default() += 1;
    }
    shares
}

#[test]
fn small_fleet_sends_all_heartbeats_to_the_leader() {
    assert_eq!(
        shares(371, &receivers()),
        BTreeMap::from([(address(1), 371)])
    );
}

#[test]
fn large_fleet_spreads_heartbeats_over_all_control_instances() {
    let shares = shares(3_000, &receivers());
    assert_eq!(shares.len(), 5);
    for (receiver, share) in shares {
        assert!(
            share < 750,
            "{receiver} receives the heartbeats of {share} of 3,000 workers"
        );
    }
}

#[test]
fn silent_receiver_gets_no_workers_and_other_assignments_stay() {
    let before = receivers();
    let mut after = before.clone();
    after[2].silent_ms = 2_000;
    for worker in 0..3_000 {
        let name = format!("i-{worker}");
        let receiver_before = assign_receiver(&name, 3_000, 700, address(1), &before);
        let receiver_after = assign_receiver(&name, 3_000, 700, address(1), &after);
        assert_ne!(receiver_after, address(3));
        assert!(
            receiver_before == receiver_after || receiver_before == address(3),
            "{name} moved from {receiver_before}"
        );
    }
}

#[test]
fn limiter_without_a_rate_allows_any_number_of_requests() {
    let mut limiter = InstanceRequestLimiter::new(None, 0);
    for _ in 0..10_000 {
        assert!(limiter.has_token(0));
        limiter.consume();
    }
}

proptest! {
    /// For any sequence of bursts, no window of one second contains more requests than the
    /// platform's rate and the accumulated tokens allow.
    #[test]
    fn requests_per_second_stay_within_rate_and_saved_tokens(
        per_s in 1_u64..500,
        bursts in proptest::collection::vec((0_u64..200, 0_usize..400), 1..60),
    ) {
        let mut limiter = InstanceRequestLimiter::new(Some(per_s), 0);
        let (mut now_ms, mut sent) = (0, Vec::new());
        for (pause_ms, requests) in bursts {
            now_ms += pause_ms;
            for _ in 0..requests {
                if limiter.has_token(now_ms) {
                    limiter.consume();
                    sent.push(now_ms);
                }
            }
        }
        for from_ms in &sent {
            let within = sent.iter().filter(|at_ms| (*from_ms..from_ms + 1_000).contains(at_ms));
            let count = within.count() as u64;
            prop_assert!(count <= per_s * 3 / 2 + 2, "{count} requests in one second of {per_s}");
        }
    }
}
