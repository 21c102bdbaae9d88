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

fn advance_with_polls(harness: &mut Harness, duration_ms: u64) {
    for _ in 0..duration_ms / 50 {
        harness.answer_polls();
        harness.advance_by(50);
        harness.send_heartbeats();
    }
}

/// Guards against TWICE: the lease of the incarnation that a start was meant for had expired, but not that of the next one.
#[test]
fn start_is_not_repeated_while_the_next_incarnation_may_hold_a_lease() {
    for lost_after_ms in [0, 400] {
        let mut harness = Harness::new(2);
        harness.submit(1, harness::job(&[1], 1_000));
        let start = harness.take_starts().remove(0);
        let name = harness.worker_name(&start);
        harness.restart_under_name(&name);
        harness.cut_off(&name);
        harness.advance(lost_after_ms);
        harness.accept_start_unanswered(&start);
        advance_with_polls(&mut harness, 6_550 - lost_after_ms);
        assert_eq!(harness.take_starts(), [], "lost after {lost_after_ms} ms");
        advance_with_polls(&mut harness, 100);
        assert_eq!(harness.take_starts().len(), 1);
    }
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

/// The start of an incarnation on a wall clock that was set back, before that of each earlier one but the first.
const SET_BACK_MS: u64 = 500;

/// Returns a leader of two workers and a start, not arrived yet, on one whose second incarnation the leader knows.
fn harness_with_start_on_second_incarnation() -> (Harness, StartRequest, SmolStr) {
    let mut harness = Harness::new(2);
    for name in ["i-0", "i-1"] {
        harness.restart_under_name(&name.into());
    }
    harness.send_heartbeats();
    harness.answer_polls();
    harness.submit(1, harness::job(&[1], 1_000));
    let start = harness.take_starts().remove(0);
    let name = harness.worker_name(&start);
    (harness, start, name)
}

fn assert_completes_without_another_start(harness: &mut Harness, name: &str, start: &StartRequest) {
    advance_with_polls(harness, 8_000);
    assert_eq!(harness.take_starts(), []);
    harness.end_on_worker(name, start, EndKind::Done);
    harness.answer_polls();
    assert_eq!(harness.status(1), Some(JobStatus::Completed));
}

/// Guards against TWICE: the next incarnation seems to be an earlier one.
#[test]
fn start_taken_after_a_restart_on_a_clock_that_was_set_back_is_not_repeated() {
    for is_answered in [false, true] {
        let (mut harness, start, name) = harness_with_start_on_second_incarnation();
        harness.restart_under_name_at(&name, SET_BACK_MS);
        harness.send_heartbeats();
        if is_answered {
            harness.accept_start_at(&start, 40);
        } else {
            harness.accept_start_unanswered(&start);
        }
        assert_completes_without_another_start(&mut harness, &name, &start);
    }
}

/// Guards against TWICE as above, if the leader is lost after any number of its commands.
#[test]
fn next_leader_repeats_no_start_after_a_restart_on_a_clock_that_was_set_back() {
    for committed in 0.. {
        let (mut harness, start, name) = harness_with_start_on_second_incarnation();
        harness.pause_commits();
        harness.restart_under_name_at(&name, SET_BACK_MS);
        harness.accept_start_at(&start, 40);
        harness.answer_polls();
        harness.send_heartbeats();
        let has_more = harness.change_leader_after(committed);
        harness.answer_polls();
        assert_eq!(harness.take_starts(), [], "after {committed} commands");
        assert_completes_without_another_start(&mut harness, &name, &start);
        if !has_more {
            return;
        }
    }
}

/// Guards against TWICE: a start without effect was not stopped on the next incarnation, which could still carry it out.
#[test]
fn late_start_is_stopped_after_a_restart_on_a_clock_that_was_set_back() {
    let (mut harness, start, name) = harness_with_start_on_second_incarnation();
    harness.lose_start_response(&start);
    advance_with_polls(&mut harness, 1_500);
    let again = harness.take_starts().remove(0);
    harness.refuse_start(&again);
    let again = harness.take_starts().remove(0);
    assert_ne!(harness.worker_name(&again), name);
    harness.accept_start(&again);
    advance_with_polls(&mut harness, 1_000);
    harness.restart_under_name_at(&name, SET_BACK_MS);
    harness.take_effects();
    let is_of_start = |effect: &Effect| matches!(effect, Effect::Stop { task, run, .. } if (*task, *run) == (start.task, start.run));
    let mut waited_ms = 0;
    while !harness.take_effects().iter().any(is_of_start) {
        advance_with_polls(&mut harness, 50);
        waited_ms += 50;
        assert!(waited_ms <= 6_500, "the start may still be carried out");
    }
}

/// Guards against TWICE: a start was sent on the strength of a record that the next command removed, so that a leader that
/// began in between would not have known the worker.
#[test]
fn worker_whose_record_is_about_to_be_removed_gets_no_start() {
    let mut harness = Harness::new(1);
    harness.pause_commits();
    harness.set_capacity("i-0", harness::CAPACITY.times(2));
    harness.send_heartbeats();
    harness.cut_off("i-0");
    advance_with_polls(&mut harness, 7_000);
    assert_eq!(harness.worker_count(), 0);
    harness.reconnect("i-0");
    harness.send_heartbeats();
    harness.advance_by(50);
    harness.answer_polls();
    harness.submit(1, harness::job(&[1], 1_000));
    let mut is_started = false;
    while harness.commit_proposed(1) == 1 {
        is_started |= !harness.take_starts().is_empty();
        assert!(!is_started || !harness.state.incarnations.is_empty());
    }
    assert!(is_started);
}

/// Guards against TWICE: what is under way reaches the next incarnation, of which the leader learnt only once the one before
/// was removed as silent, 6 s later.
#[test]
fn idle_worker_joins_at_once_after_a_restart_on_a_clock_that_was_set_back() {
    let mut harness = Harness::new(1);
    let name = SmolStr::from("i-0");
    harness.restart_under_name(&name);
    harness.send_heartbeats();
    harness.answer_polls();
    harness.restart_under_name_at(&name, SET_BACK_MS);
    harness.take_log_lines("worker_joined");
    advance_with_polls(&mut harness, 200);
    assert_eq!(harness.take_log_lines("worker_joined").len(), 1);
    harness.submit(1, harness::job(&[1], 1_000));
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against TWICE: the clock of the next incarnation, which had answered a start, lay past the lease of the earlier one.
#[test]
fn start_that_is_answered_with_a_clock_slightly_ahead_ends_no_lease() {
    let (mut harness, run, start) = harness_with_run_and_start_under_way();
    let name = harness.worker_name(&run);
    harness.restart_under_name(&name);
    harness.fail_poll(&run);
    let clock_ms = harness.worker_clock_ms();
    harness.accept_start_at(&start, clock_ms + 9_000);
    harness.advance_by(50);
    harness.answer_polls();
    let again = harness.take_starts();
    assert!(again.iter().all(|again| again.task != start.task));
}

/// Guards against TWICE: a delayed heartbeat of an ended incarnation ended the present one, which had begun on a clock set back.
#[test]
fn delayed_heartbeat_ends_no_incarnation_that_began_on_a_clock_set_back() {
    let mut harness = Harness::new(2);
    let names = [SmolStr::from("i-0"), SmolStr::from("i-1")];
    for name in &names {
        harness.restart_under_name(name);
    }
    advance_with_polls(&mut harness, 100);
    let ended_at_ms = harness.started_at_ms(&names[0]);
    for name in &names {
        harness.restart_under_name_at(name, SET_BACK_MS);
    }
    advance_with_polls(&mut harness, 1_000);
    harness.submit(1, harness::job(&[1], 1_000));
    let start = harness.take_starts().remove(0);
    harness.accept_start(&start);
    harness.answer_polls();
    for name in &names {
        harness.heartbeat_with(harness::instance_number(name), |heartbeat| {
            heartbeat.incarnation.started_at_ms = ended_at_ms;
        });
    }
    assert_eq!(harness.worker_count(), 2);
    assert_eq!(harness.take_starts(), []);
}
