//! What is shared out so that no limit is passed: orders to the platform, and heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jasminefall_jobs::policy::order_rate::OrderRate;
use jasminefall_jobs::policy::receivers::{Receiver, receiver};
use proptest::prelude::*;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn receivers() -> Vec<Receiver> {
    let all = (1..=5).map(|number| Receiver {
        address: address(number),
        silent_ms: 0,
    });
    all.collect()
}

fn shares(workers: usize, receivers: &[Receiver]) -> BTreeMap<SocketAddr, usize> {
    let mut shares = BTreeMap::new();
    for worker in 0..workers {
        let name = format!("i-{worker}");
        let chosen = receiver(&name, workers, 700, address(1), receivers);
        *shares.entry(chosen).or_default() += 1;
    }
    shares
}

#[test]
fn the_leader_takes_all_heartbeats_of_a_small_site() {
    assert_eq!(
        shares(371, &receivers()),
        BTreeMap::from([(address(1), 371)])
    );
}

#[test]
fn three_thousand_workers_are_shared_by_all_control_instances() {
    let shares = shares(3_000, &receivers());
    assert_eq!(shares.len(), 5);
    for (receiver, share) in shares {
        assert!(share < 750, "{receiver} takes {share} of 3,000");
    }
}

#[test]
fn a_silent_control_instance_is_given_none_and_the_others_keep_theirs() {
    let before = receivers();
    let mut after = before.clone();
    after[2].silent_ms = 2_000;
    for worker in 0..3_000 {
        let name = format!("i-{worker}");
        let had = receiver(&name, 3_000, 700, address(1), &before);
        let has = receiver(&name, 3_000, 700, address(1), &after);
        assert_ne!(has, address(3));
        assert!(had == has || had == address(3), "{name} moved from {had}");
    }
}

#[test]
fn a_platform_without_a_limit_takes_any_number_of_orders() {
    let mut rate = OrderRate::new(None, 0);
    for _ in 0..10_000 {
        assert!(rate.allows(0));
        rate.note();
    }
}

proptest! {
    /// Whatever is asked for when, no second holds more orders than the platform accepts and what may
    /// be saved up.
    #[test]
    fn no_second_holds_more_orders_than_saved_and_earned(
        per_s in 1_u64..500,
        asked in proptest::collection::vec((0_u64..200, 0_usize..400), 1..60),
    ) {
        let mut rate = OrderRate::new(Some(per_s), 0);
        let (mut now_ms, mut given) = (0, Vec::new());
        for (pause_ms, orders) in asked {
            now_ms += pause_ms;
            for _ in 0..orders {
                if rate.allows(now_ms) {
                    rate.note();
                    given.push(now_ms);
                }
            }
        }
        for from_ms in &given {
            let within = given.iter().filter(|at_ms| (*from_ms..from_ms + 1_000).contains(at_ms));
            let count = within.count() as u64;
            prop_assert!(count <= per_s * 3 / 2 + 2, "{count} orders in one second of {per_s}");
        }
    }
}
