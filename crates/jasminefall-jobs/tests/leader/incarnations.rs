//! What the leader concludes about an incarnation while another one under the same name may answer in its place.

use jasminefall_jobs::leader::{Effect, StartRequest};

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
