//! Tests of the merge of announcements, whose result must depend on neither order nor repetition.

use jasminefall_core::prelude::*;
use jasminefall_wire::message::{Announcement, BackendState};
use proptest::prelude::*;

use super::{ANNOUNCEMENT_LIFETIME_MS, Backends};

const NOW_MS: u64 = 1_000_000;

fn announcement(address: u8, incarnation: u64, state: BackendState, age_ms: u64) -> Announcement {
    Announcement {
        service: ServiceId::new("render"),
        address: format!("10.0.0.{address}:80").into(),
        incarnation: Incarnation::new(incarnation),
        state,
        slots: 8,
        connections: 64,
        age_ms: DurationMs::new(age_ms),
    }
}

fn ready_after(announcements: &[Announcement], now_ms: u64) -> usize {
    let mut backends = Backends::default();
    for announcement in announcements {
        backends.announce(now_ms, announcement.clone());
    }
    backends.ready(&ServiceId::new("render"), now_ms).len()
}

#[test]
fn readiness_after_merging_announcements() {
    use BackendState::{Leaving, Ready};
    let old = ANNOUNCEMENT_LIFETIME_MS;
    let cases = [
        ("ready", vec![(1, Ready, 0)], 1),
        ("ready, too old", vec![(1, Ready, old)], 0),
        (
            "leaving after ready",
            vec![(1, Ready, 1), (1, Leaving, 0)],
            0,
        ),
        (
            "late ready after leaving",
            vec![(1, Leaving, 1), (1, Ready, 0)],
            0,
        ),
        (
            "restart after leaving",
            vec![(1, Leaving, 1), (2, Ready, 0)],
            1,
        ),
        (
            "late leaving after restart",
            vec![(2, Ready, 1), (1, Leaving, 0)],
            1,
        ),
        (
            "late ready of the previous incarnation",
            vec![(2, Leaving, 1), (1, Ready, 0)],
            0,
        ),
        (
            "an aged restart replaces the previous incarnation",
            vec![(1, Ready, 0), (2, Ready, old)],
            0,
        ),
    ];
    for (case, received, expected) in cases {
        let announcements = received.iter();
        let announcements = announcements
            .map(|(incarnation, state, age)| announcement(1, *incarnation, *state, *age));
        let announcements: Vec<_> = announcements.collect();
        assert_eq!(ready_after(&announcements, NOW_MS), expected, "{case}");
    }
}

#[test]
fn ready_announcement_expires_and_leaving_is_reported_for_longer() {
    let mut backends = Backends::default();
    backends.announce(NOW_MS, announcement(1, 1, BackendState::Ready, 0));
    backends.announce(NOW_MS, announcement(2, 1, BackendState::Leaving, 0));
    let service = ServiceId::new("render");
    let last_ms = NOW_MS + ANNOUNCEMENT_LIFETIME_MS - 1;
    assert_eq!(backends.ready(&service, last_ms).len(), 1);
    assert_eq!(backends.live_announcements(last_ms).len(), 2);
    assert!(backends.ready(&service, last_ms + 1).is_empty());
    assert_eq!(
        backends.live_announcements(last_ms + 1).len(),
        1,
        "leaving is reported for longer"
    );
}

fn any_announcement() -> impl Strategy<Value = Announcement> {
    let state = prop_oneof![3 => Just(BackendState::Ready), 1 => Just(BackendState::Leaving)];
    (1_u8..3, 1_u64..4, state, 0_u64..4_000, 1_u32..9).prop_map(
        |(address, incarnation, state, age_ms, slots)| Announcement {
            slots,
            ..announcement(address, incarnation, state, age_ms)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_is_independent_of_order_and_repetition(
        (in_sequence, shuffled) in prop::collection::vec(any_announcement(), 1..12)
            .prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
        repeated in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let mut in_order = Backends::default();
        for announcement in &in_sequence {
            in_order.announce(NOW_MS, announcement.clone());
        }
        let mut shuffled_backends = Backends::default();
        let duplicates = repeated.iter().map(|index| index.get(&shuffled));
        for announcement in shuffled.iter().chain(duplicates) {
            shuffled_backends.announce(NOW_MS, announcement.clone());
        }
        prop_assert_eq!(in_order.by_address, shuffled_backends.by_address);
    }
}
