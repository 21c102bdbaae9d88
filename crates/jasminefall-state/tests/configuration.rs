//! Publishing by compare-and-set, resends, and the bounds on kept versions and answers.

use jasminefall_core::prelude::*;
use jasminefall_state::configuration::{
    MAX_CHANGE_OUTCOMES, MAX_HISTORY_BYTES, MAX_HISTORY_VERSIONS,
};
use jasminefall_state::prelude::*;

fn request(change: &str, base: u64, text: &str) -> ApplyRequest {
    ApplyRequest {
        change: change.into(),
        operator: "amina".into(),
        base: Version::new(base),
        text: text.into(),
    }
}

fn published(version: u64) -> Outcome {
    Outcome::Published(Version::new(version))
}

fn text(name: &str) -> String {
    format!("[fleet]\nname = {name}\n")
}

/// Publishes `count` versions after the latest one.
fn publish_many(state: &mut ClusterState, count: usize, text: &str) {
    for _ in 0..count {
        let base = state.configuration.version().get();
        let outcome = state
            .configuration
            .apply(0, request(&format!("filler-{base}"), base, text));
        assert_eq!(outcome, published(base + 1));
    }
}

#[test]
fn the_first_change_requires_base_version_zero() {
    let mut configuration = Configuration::default();
    let outcome = configuration.apply(0, request("c", 7, &text("a")));
    assert!(matches!(
        outcome,
        Outcome::Refused(Refusal::Conflict { .. })
    ));
    assert_eq!(configuration.version(), Version::default());
}

#[test]
fn the_second_change_on_a_base_gets_a_conflict_with_operator_and_time() {
    let mut configuration = Configuration::default();
    assert_eq!(
        configuration.apply(5, request("c1", 0, &text("a"))),
        published(1)
    );
    let conflict = Outcome::Refused(Refusal::Conflict {
        current: Version::new(1),
        operator: "amina".into(),
        at_ms: 5,
    });
    assert_eq!(
        configuration.apply(9, request("c2", 0, &text("b"))),
        conflict
    );
}

#[test]
fn a_resend_gets_its_first_answer_after_other_changes_and_a_snapshot() {
    let mut state = ClusterState::default();
    let first = request("c1", 0, &text("a"));
    let late = request("c2", 0, &text("b"));
    assert_eq!(state.configuration.apply(1, first.clone()), published(1));
    let refused = state.configuration.apply(2, late.clone());
    publish_many(&mut state, 3, &text("c"));
    let mut restored = ClusterState::from_bytes(&state.to_bytes()).unwrap();
    assert_eq!(restored, state);
    assert_eq!(restored.configuration.apply(9, first), published(1));
    assert_eq!(restored.configuration.apply(9, late), refused);
    assert_eq!(restored.configuration.version(), Version::new(4));
}

#[test]
fn a_change_identifier_reused_for_another_text_or_base_is_refused() {
    let mut configuration = Configuration::default();
    configuration.apply(0, request("c", 0, &text("a")));
    for other in [request("c", 0, &text("b")), request("c", 1, &text("a"))] {
        let reused = Outcome::Refused(Refusal::ChangeReused);
        assert_eq!(configuration.apply(0, other), reused);
    }
}

#[test]
fn a_change_whose_outcome_was_evicted_is_not_published_again() {
    let mut state = ClusterState::default();
    let first = request("first", 0, &text("a"));
    assert_eq!(state.configuration.apply(0, first.clone()), published(1));
    publish_many(&mut state, MAX_CHANGE_OUTCOMES, &text("b"));
    assert_eq!(state.configuration.recorded_outcome(&first), None);
    let version = state.configuration.version();
    let outcome = state.configuration.apply(0, first);
    assert!(matches!(
        outcome,
        Outcome::Refused(Refusal::Conflict { .. })
    ));
    assert_eq!(state.configuration.version(), version);
}

#[test]
fn a_text_invalid_for_this_program_version_is_published() {
    // The leader validated the text; a replica of another program version must agree on the outcome.
    let mut configuration = Configuration::default();
    let outcome = configuration.apply(0, request("c", 0, "[later.kind]\nkey = 1\n[team.t]\n"));
    assert_eq!(outcome, published(1));
    assert!(
        configuration
            .desired()
            .teams
            .contains_key(&TeamId::new("t"))
    );
}

#[test]
fn history_and_snapshot_are_bounded() {
    const LARGE_BYTES: usize = 600 << 10;
    let mut state = ClusterState::default();
    let large = text("a") + &format!("# {}\n", "x".repeat(LARGE_BYTES));
    publish_many(&mut state, 30, &large);
    let kept: usize = state
        .configuration
        .history()
        .map(|kept| kept.text.len())
        .sum();
    assert!(kept <= MAX_HISTORY_BYTES + large.len());
    assert!(state.to_bytes().len() <= MAX_HISTORY_BYTES + 2 * large.len());
    publish_many(&mut state, 2 * MAX_HISTORY_VERSIONS, &text("b"));
    assert_eq!(state.configuration.history().count(), MAX_HISTORY_VERSIONS);
    let oldest = state.configuration.history().next().unwrap().version;
    assert_eq!(
        state.configuration.published(oldest).unwrap().version,
        oldest
    );
    assert_eq!(
        state
            .configuration
            .published(Version::new(oldest.get() - 1)),
        None
    );
}
