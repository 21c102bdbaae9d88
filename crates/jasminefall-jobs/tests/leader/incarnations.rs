//! What the leader concludes about an incarnation while another one under the same name may answer in its place.

use jasminefall_jobs::leader::{Effect, StartRequest};
use jasminefall_jobs::prelude::*;
use smol_str::SmolStr;

use crate::harness::{self, Harness};

/// A reading of a clock that no reading of the harness' workers is near.
const FAR_CLOCK_MS: u64 = 10_000_000;

/// Returns a leader with a run on one of two workers, and a start there that has not arrived yet.
fn harness_with_run_and_start_under_way() -> (Harness, StartRequest, StartRequest) {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 1_000));
    let run = harness.take_starts().remove(0);
    harness.accept_start(&run);
    harness.answer_polls();
    harness.submit(2, harness::job(&[1], 1_000));
    let start = harness.take_starts().remove(0);
    assert_eq!(start.worker, run.worker);
    (harness, run, start)
}

/// Guards against TWICE: the lease of an incarnation seemed to have expired by the clock of the next one, which had
/// answered a stop.
#[test]
fn stop_that_is_answered_with_a_clock_far_ahead_ends_no_lease() {
    let (mut harness, run, start) = harness_with_run_and_start_under_way();
    let name = harness.worker_name(&run);
    harness.take_effects();
    harness.cancel(1);
    let effects = harness.take_effects();
    let is_stop = |effect: &&Effect| matches!(effect, Effect::Stop { .. });
    let stop = effects.iter().find(is_stop).expect("the run is stopped");
    harness.restart_under_name(&name);
    harness.accept_start_unanswered(&start);
    harness.accept_stop_at(stop, FAR_CLOCK_MS);
    harness.cut_off(&name);
    for _ in 0..30 {
        harness.answer_polls();
        harness.advance(100);
    }
    assert_eq!(harness.take_starts(), []);
}

/// Returns a leader of two workers whose only start was carried out by the next incarnation of an idle worker, which the
/// leader can't reach.
fn harness_with_start_taken_out_of_reach() -> (Harness, StartRequest, SmolStr) {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 1_000));
    let start = harness.take_starts().remove(0);
    let name = harness.worker_name(&start);
    harness.restart_under_name(&name);
    harness.cut_off(&name);
    harness.advance(400);
    harness.accept_start_unanswered(&start);
    (harness, start, name)
}

fn advance_with_polls(harness: &mut Harness, duration_ms: u64) {
    for _ in 0..duration_ms / 50 {
        harness.answer_polls();
        harness.advance_by(50);
        harness.send_heartbeats();
    }
}

/// Guards against TWICE: the task was started again after the deadline of the start, which ends the lease of the incarnation
/// that it was meant for, but not that of the next one.
#[test]
fn start_is_not_repeated_while_the_next_incarnation_may_hold_a_lease() {
    let (mut harness, _, _) = harness_with_start_taken_out_of_reach();
    advance_with_polls(&mut harness, 6_150);
    assert_eq!(harness.take_starts(), []);
    advance_with_polls(&mut harness, 500);
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against TWICE as above, if the worker is also removed as silent.
#[test]
fn removal_of_a_silent_worker_repeats_no_start_that_the_next_incarnation_may_have() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 1_000));
    let start = harness.take_starts().remove(0);
    let name = harness.worker_name(&start);
    harness.accept_start(&start);
    harness.end_run(&start, EndKind::Done);
    harness.cut_off(&name);
    advance_with_polls(&mut harness, 3_000);
    harness.submit(2, harness::job(&[1], 1_000));
    let start = harness.take_starts().remove(0);
    assert_eq!(harness.worker_name(&start), name);
    harness.restart_under_name(&name);
    harness.accept_start_unanswered(&start);
    advance_with_polls(&mut harness, 6_150);
    assert_eq!(harness.take_starts(), []);
    advance_with_polls(&mut harness, 1_000);
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(harness.worker_count(), 1);
}

/// Guards against a wait for a lease that nobody holds: a run list proves that the start had no effect.
#[test]
fn start_without_effect_is_repeated_at_once_if_its_incarnation_goes_on() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 1_000));
    let start = harness.take_starts().remove(0);
    harness.advance(400);
    harness.lose_start_response(&start);
    advance_with_polls(&mut harness, 600);
    assert_eq!(harness.take_starts().len(), 1);
}
