//! What the leader tells about tasks that wait: the reason, and one clock whatever the reason.

use jasminefall_jobs::leader::{StartRequest, WaitReason};
use jasminefall_jobs::prelude::*;

use crate::crashes::crash_and_restart;
use crate::harness::{self, Harness, job, task};

/// The wait that the tests wait for; above the wait that is logged.
const LONG_WAIT_MS: u64 = 5_000;
/// The interval at which the leader determines the waits.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Returns the reasons in the lines about the waits of a job's first task.
fn logged_reasons(harness: &mut Harness, of_job: u64) -> Vec<String> {
    let prefix = format!("event=task_waiting task={} ", task(of_job, 0, 0));
    let lines = harness.take_log_lines("task_waiting");
    let of_task = lines.iter().filter(|line| line.starts_with(&prefix));
    let words = of_task.flat_map(|line| line.split(' '));
    let reasons = words.filter_map(|word| word.strip_prefix("reason="));
    reasons.map(str::to_owned).collect()
}

/// Advances the clocks while workers list their runs.
fn advance_with_polls(harness: &mut Harness, duration_ms: u64) {
    for _ in 0..duration_ms / 100 {
        harness.advance(100);
        harness.answer_polls();
    }
}

/// Returns a leader whose only worker runs a task that needs all of it.
fn full_pool() -> (Harness, StartRequest) {
    let mut harness = Harness::new(1);
    harness.submit(1, job(&[1], harness::CAPACITY.cpu_millis));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.answer_polls();
    (harness, starts[0].clone())
}

/// Guards against LOST without a trace: no line told that suspects waited for a worker of their own.
#[test]
fn suspect_that_waits_for_a_worker_to_be_emptied_is_told() {
    let mut harness = Harness::new(2);
    harness.submit(1, job(&[1], harness::CAPACITY.cpu_millis));
    harness.submit(2, job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.answer_polls();
    let crashing = format!("{}-restarted", harness.worker_name(&starts[1]));
    harness.set_capacity(&crashing, Resources::default());
    crash_and_restart(&mut harness, &starts[1]);
    advance_with_polls(&mut harness, 3_300);
    assert!(harness.take_starts().is_empty());
    assert_eq!(logged_reasons(&mut harness, 2), ["isolation"]);
    assert!(harness.longest_wait_ms(WaitReason::Isolation) >= 2_000);
    assert_eq!(harness.longest_wait_ms(WaitReason::NoRoom), 0);
}

#[test]
fn wait_goes_on_over_refused_and_unanswered_starts() {
    let mut harness = Harness::new(1);
    harness.submit(1, job(&[1], 100));
    for attempt in 0..LONG_WAIT_MS / 500 {
        for start in harness.take_starts() {
            if attempt % 2 == 0 {
                harness.refuse_start(&start);
            } else {
                harness.lose_start_response(&start);
            }
        }
        advance_with_polls(&mut harness, 500);
    }
    let waits = WaitReason::ALL.map(|reason| harness.longest_wait_ms(reason));
    let longest_ms = waits.into_iter().max().unwrap_or(0);
    assert!(longest_ms >= LONG_WAIT_MS - 2 * REPORT_INTERVAL_MS);
}

#[test]
fn wait_begins_anew_after_a_confirmed_run() {
    let mut harness = Harness::new(1);
    harness.submit(1, job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    advance_with_polls(&mut harness, LONG_WAIT_MS);
    harness.set_capacity("i-0", Resources::default());
    harness.send_heartbeats();
    harness.end_run(&starts[0], EndKind::Stopped);
    advance_with_polls(&mut harness, 2 * REPORT_INTERVAL_MS);
    let waited_ms = harness.longest_wait_ms(WaitReason::NoRoom);
    assert!((1..=2 * REPORT_INTERVAL_MS).contains(&waited_ms));
}

#[test]
fn longest_wait_is_zero_after_the_start() {
    let (mut harness, first) = full_pool();
    harness.submit(2, job(&[1], 100));
    advance_with_polls(&mut harness, LONG_WAIT_MS);
    assert!(harness.longest_wait_ms(WaitReason::NoRoom) >= LONG_WAIT_MS - REPORT_INTERVAL_MS);
    assert_eq!(logged_reasons(&mut harness, 2), ["no-room"]);
    harness.end_run(&first, EndKind::Done);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    harness.accept_starts(&starts);
    advance_with_polls(&mut harness, REPORT_INTERVAL_MS);
    for reason in WaitReason::ALL {
        assert_eq!(harness.longest_wait_ms(reason), 0, "{reason:?}");
    }
}

/// Guards against a log that is flooded by an overload, and hides waits for another reason behind it.
#[test]
fn lines_of_a_long_queue_are_bounded_and_count_the_others() {
    let (mut harness, _) = full_pool();
    for key in 2..=500 {
        harness.submit(key, job(&[1], 100));
    }
    harness.take_log_lines("task_waiting");
    advance_with_polls(&mut harness, 4_000);
    let mut lines = harness.take_log_lines("task_waiting");
    let reports = 3;
    assert!((3..=3 * reports).contains(&lines.len()), "{lines:?}");
    lines.sort();
    lines.dedup_by_key(|line| line.split(' ').nth(1).map(str::to_owned));
    assert!(lines.len() >= 3, "{lines:?}");
    advance_with_polls(&mut harness, REPORT_INTERVAL_MS);
    let omitted = harness.take_log_lines("waiting_tasks_omitted");
    assert_eq!(omitted.len(), 1, "{omitted:?}");
}

#[test]
fn reason_that_changes_is_logged_once_more() {
    let (mut harness, _) = full_pool();
    harness.submit(2, job(&[1], 100));
    advance_with_polls(&mut harness, LONG_WAIT_MS);
    assert_eq!(logged_reasons(&mut harness, 2), ["no-room"]);
    harness.cut_off("i-0");
    harness.advance(2 * LONG_WAIT_MS);
    assert_eq!(logged_reasons(&mut harness, 2), ["no-worker"]);
}

#[test]
fn new_leader_tells_that_runs_of_the_earlier_one_are_unknown() {
    let mut harness = Harness::new(1);
    harness.submit(1, job(&[1], 100));
    harness.take_starts();
    harness.cut_off("i-0");
    harness.change_leader();
    harness.advance(4_000);
    assert_eq!(logged_reasons(&mut harness, 1), ["unknown-runs"]);
}

#[test]
fn workspace_at_its_cap_is_told() {
    let mut harness = Harness::new(1);
    let first = Workspace {
        name: WorkspaceName::new("first"),
        keys: vec![ApiKeyDigest::of("first-key")],
        weight: "100".parse().unwrap(),
        cap: ResourceCap(Resources {
            cpu_millis: 1_000,
            ..Resources::default()
        }),
    };
    harness.configure_workspaces(2, vec![first]);
    harness.submit_with_key(1, "first-key", job(&[1], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.submit_with_key(2, "first-key", job(&[1], 1_000));
    advance_with_polls(&mut harness, LONG_WAIT_MS);
    assert_eq!(logged_reasons(&mut harness, 2), ["cap"]);
}

#[test]
fn step_without_a_ticket_is_told() {
    let mut harness = Harness::new(1);
    harness.require_advice();
    harness.submit(1, job(&[1], 100));
    advance_with_polls(&mut harness, LONG_WAIT_MS);
    assert_eq!(logged_reasons(&mut harness, 1), ["no-ticket"]);
}

#[test]
fn gang_that_does_not_fit_as_a_whole_is_told() {
    let (mut harness, _) = full_pool();
    let mut gang = job(&[2], 8_000);
    gang.steps[0].gang = true;
    harness.submit(2, gang);
    advance_with_polls(&mut harness, LONG_WAIT_MS);
    assert_eq!(logged_reasons(&mut harness, 2), ["gang"]);
}

#[test]
fn failure_that_is_not_committed_is_told() {
    let mut harness = Harness::new(1);
    harness.submit(1, job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.pause_commits();
    harness.end_run(&starts[0], EndKind::Failed);
    advance_with_polls(&mut harness, LONG_WAIT_MS);
    assert_eq!(logged_reasons(&mut harness, 1), ["uncommitted-end"]);
}

/// Guards against steps that a report over several ticks looks at twice or not at all.
#[test]
fn report_of_many_steps_counts_each_of_them_once() {
    let (mut harness, _) = full_pool();
    let steps = 9_000;
    harness.submit(2, job(&vec![1; steps], 100));
    let mut omitted = Vec::new();
    while omitted.is_empty() {
        advance_with_polls(&mut harness, 100);
        omitted = harness.take_log_lines("waiting_tasks_omitted");
    }
    let expected = format!("event=waiting_tasks_omitted steps={}", steps - 3);
    assert_eq!(omitted, [expected]);
}
