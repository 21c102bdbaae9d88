//! The caps of workspaces hold for all that may run, and hold nobody back without need.

use std::collections::BTreeMap;

use jasminefall_jobs::leader::{StartRequest, SubmitDecision};
use jasminefall_jobs::prelude::*;
use proptest::prelude::*;

use crate::harness::{Harness, job};

const KEY: &str = "first-key";
const OTHER_KEY: &str = "second-key";

fn workspace(name: &str, key: &str, cap_cpu_millis: u64) -> Workspace {
    Workspace {
        name: WorkspaceName::new(name),
        keys: vec![ApiKeyDigest::of(key)],
        weight: "100".parse().unwrap(),
        cap: ResourceCap(Resources {
            cpu_millis: cap_cpu_millis,
            ..Resources::default()
        }),
    }
}

/// Returns a site with four workers of 16 cores and two workspaces, the first with a cap.
fn capped(cap_cpu_millis: u64) -> Harness {
    let mut harness = Harness::new(4);
    configure(&mut harness, 2, cap_cpu_millis);
    harness
}

fn configure(harness: &mut Harness, version: u64, cap_cpu_millis: u64) {
    let workspaces = vec![
        workspace("first", KEY, cap_cpu_millis),
        workspace("second", OTHER_KEY, 0),
    ];
    harness.configure_workspaces(version, workspaces);
}

fn used_cpu_millis(harness: &Harness) -> u64 {
    harness.workspace_use("first").total().cpu_millis
}

#[test]
fn tasks_wait_at_the_cap_while_other_workspaces_go_on() {
    let mut harness = capped(4_000);
    harness.submit_with_key(1, KEY, job(&[10], 1_000));
    harness.submit_with_key(2, OTHER_KEY, job(&[10], 1_000));
    let starts = harness.take_starts();
    let of_job = |key| {
        let starts = starts.iter();
        starts.filter(|start| start.task.job == JobKey(key)).count()
    };
    assert_eq!((of_job(1), of_job(2)), (4, 10));
    harness.accept_starts(&starts);
    let first = starts.iter().find(|start| start.task.job == JobKey(1));
    harness.end_run(first.unwrap(), EndKind::Done);
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(used_cpu_millis(&harness), 4_000);
}

#[test]
fn runs_that_are_being_stopped_count_until_their_end_is_listed() {
    let mut harness = capped(2_000);
    harness.submit_with_key(1, KEY, job(&[2], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.apply(Command::Cancel(JobKey(1)));
    harness.submit_with_key(2, KEY, job(&[2], 1_000));
    assert!(harness.take_starts().is_empty());
    harness.end_run(&starts[0], EndKind::Stopped);
    assert_eq!(harness.take_starts().len(), 1);
}

/// A start without a response may take effect until its deadline has passed on the worker's clock.
#[test]
fn start_without_response_counts_until_it_cannot_take_effect() {
    let mut harness = capped(1_000);
    harness.submit_with_key(1, KEY, job(&[1], 1_000));
    let starts = harness.take_starts();
    harness.lose_start_response(&starts[0]);
    harness.submit_with_key(2, KEY, job(&[1], 1_000));
    harness.advance(500);
    harness.answer_polls();
    assert!(harness.take_starts().is_empty());
    harness.advance(600);
    harness.answer_polls();
    assert_eq!(harness.take_starts().len(), 1);
}

/// A new leader knows the runs only once the workers have listed them.
#[test]
fn new_leader_counts_inherited_tasks_until_the_workers_have_listed_their_runs() {
    let mut harness = capped(4_000);
    harness.submit_with_key(1, KEY, job(&[4], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.change_leader();
    harness.submit_with_key(2, KEY, job(&[4], 1_000));
    harness.submit_with_key(3, OTHER_KEY, job(&[1], 1_000));
    harness.advance(100);
    let of_job = |starts: &[StartRequest], key| {
        let starts = starts.iter();
        starts.filter(|start| start.task.job == JobKey(key)).count()
    };
    assert_eq!(of_job(&harness.take_starts(), 2), 0);
    assert_eq!(harness.workspace_use("first").unconfirmed.cpu_millis, 4_000);
    harness.send_heartbeats();
    harness.answer_polls();
    harness.advance(100);
    let uses = harness.workspace_use("first");
    assert_eq!(
        (uses.running.cpu_millis, uses.unconfirmed.cpu_millis),
        (4_000, 0)
    );
    assert_eq!(of_job(&harness.take_starts(), 2), 0);
    for start in &starts[..2] {
        harness.end_run(start, EndKind::Done);
    }
    assert_eq!(of_job(&harness.take_starts(), 2), 2);
}

/// The runs of a job that was cancelled before the leader changed may still be active.
#[test]
fn new_leader_counts_the_runs_of_cancelled_jobs() {
    let mut harness = capped(4_000);
    harness.submit_with_key(1, KEY, job(&[4], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.state.apply(Command::Cancel(JobKey(1)));
    harness.change_leader();
    harness.submit_with_key(2, KEY, job(&[1], 1_000));
    harness.advance(100);
    assert!(harness.take_starts().is_empty());
    harness.send_heartbeats();
    harness.answer_polls();
    assert!(harness.take_starts().is_empty());
    for start in &starts {
        harness.end_run(start, EndKind::Stopped);
    }
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(used_cpu_millis(&harness), 1_000);
}

/// A job that is cancelled while the runs on a worker are not known yet keeps its share of the use.
#[test]
fn use_of_a_job_cancelled_during_reconciliation_is_kept() {
    let mut harness = capped(4_000);
    harness.submit_with_key(1, KEY, job(&[4], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.change_leader();
    harness.apply(Command::Cancel(JobKey(1)));
    harness.advance(100);
    assert_eq!(used_cpu_millis(&harness), 4_000);
}

#[test]
fn lowered_cap_starts_nothing_more_and_stops_nothing() {
    let mut harness = capped(4_000);
    harness.submit_with_key(1, KEY, job(&[8], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    configure(&mut harness, 3, 2_000);
    harness.end_run(&starts[0], EndKind::Done);
    harness.end_run(&starts[1], EndKind::Done);
    assert!(harness.take_starts().is_empty());
    assert!(harness.take_stops().is_empty());
    harness.end_run(&starts[2], EndKind::Done);
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn raised_cap_applies_at_once() {
    let mut harness = capped(2_000);
    harness.submit_with_key(1, KEY, job(&[8], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    configure(&mut harness, 3, 5_000);
    harness.advance(100);
    assert_eq!(harness.take_starts().len(), 3);
}

/// After a cap was lowered, an accepted task may exceed what is left of it; a workspace that uses less
/// than half of its cap does not wait for such a task.
#[test]
fn large_task_starts_while_less_than_half_of_the_cap_is_in_use() {
    let mut harness = capped(10_000);
    harness.submit_with_key(1, KEY, job(&[1], 4_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.submit_with_key(2, KEY, job(&[2], 9_000));
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(used_cpu_millis(&harness), 13_000);
}

#[test]
fn task_or_gang_that_can_never_fit_is_refused_at_once() {
    let mut harness = capped(4_000);
    let refused = SubmitDecision::OverCap { step: 0 };
    assert_eq!(harness.submit_with_key(1, KEY, job(&[1], 5_000)), refused);
    let mut gang = job(&[5], 1_000);
    gang.steps[0].gang = true;
    assert_eq!(harness.submit_with_key(2, KEY, gang.clone()), refused);
    let decision = harness.submit_with_key(2, OTHER_KEY, gang);
    assert_eq!(decision, SubmitDecision::Propose);
    let decision = harness.submit_with_key(3, KEY, job(&[5], 1_000));
    assert_eq!(decision, SubmitDecision::Propose);
}

#[test]
fn gang_counts_as_a_whole() {
    let mut harness = capped(6_000);
    let mut gang = job(&[4], 1_000);
    gang.steps[0].gang = true;
    harness.submit_with_key(1, KEY, job(&[3], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.submit_with_key(2, KEY, gang);
    assert!(harness.take_starts().is_empty());
    harness.end_run(&starts[0], EndKind::Done);
    assert_eq!(harness.take_starts().len(), 4);
}

#[test]
fn workspace_without_keys_keeps_its_jobs_and_its_cap() {
    let mut harness = capped(2_000);
    harness.submit_with_key(1, KEY, job(&[4], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    let keyless = Workspace {
        keys: Vec::new(),
        ..workspace("first", KEY, 2_000)
    };
    harness.configure_workspaces(3, vec![keyless]);
    harness.end_run(&starts[0], EndKind::Done);
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(used_cpu_millis(&harness), 2_000);
}

#[derive(Debug, Clone)]
enum Event {
    Submit { tasks: u32, cpu_millis: u64 },
    Accept,
    Lose,
    End(EndKind),
    Cancel,
    ChangeLeader,
    Wait,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1_u32..6, 1_u64..5).prop_map(|(tasks, cores)| Event::Submit {
            tasks,
            cpu_millis: cores * 500,
        }),
        Just(Event::Accept),
        Just(Event::Lose),
        Just(Event::End(EndKind::Done)),
        Just(Event::End(EndKind::Failed)),
        Just(Event::End(EndKind::Stopped)),
        Just(Event::Cancel),
        Just(Event::ChangeLeader),
        Just(Event::Wait),
    ]
}

const CAP_CPU_MILLIS: u64 = 6_000;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// What runs on the workers, counted from outside, never exceeds the cap, and the leader's
    /// incremental count equals it once every worker has listed its runs.
    #[test]
    fn count_equals_what_runs_on_the_workers(events in prop::collection::vec(event(), 1..60)) {
        let mut harness = capped(CAP_CPU_MILLIS);
        let mut job_key = 0;
        let mut requested: Vec<StartRequest> = Vec::new();
        let mut active: BTreeMap<TaskId, StartRequest> = BTreeMap::new();
        for event in events {
            match event {
                Event::Submit { tasks, cpu_millis } => {
                    job_key += 1;
                    harness.submit_with_key(job_key, KEY, job(&[tasks], cpu_millis));
                }
                Event::Accept => {
                    if let Some(start) = requested.pop() {
                        harness.accept_start(&start);
                        active.insert(start.task, start);
                    }
                }
                Event::Lose => {
                    if let Some(start) = requested.pop() {
                        harness.lose_start_response(&start);
                    }
                }
                Event::End(kind) => {
                    if let Some((_, start)) = active.pop_first() {
                        harness.end_run(&start, kind);
                    }
                }
                Event::Cancel => harness.apply(Command::Cancel(JobKey(job_key))),
                Event::ChangeLeader => {
                    // Requests in flight are lost with their leader.
                    requested.clear();
                    harness.change_leader();
                }
                Event::Wait => {
                    harness.advance(100);
                    harness.answer_polls();
                }
            }
            requested.extend(harness.take_starts());
            // A worker refuses a start after its deadline.
            requested.retain(|start| start.deadline_ms >= harness.worker_clock_ms());
            let running: u64 = active.values().map(needed_cpu_millis).sum();
            let in_flight: u64 = requested.iter().map(needed_cpu_millis).sum();
            prop_assert!(running + in_flight <= CAP_CPU_MILLIS + 2_000);
            prop_assert!(used_cpu_millis(&harness) >= running + in_flight);
        }
        for start in std::mem::take(&mut requested) {
            harness.accept_start(&start);
            active.insert(start.task, start);
        }
        for _ in 0..30 {
            harness.advance(100);
            harness.answer_polls();
            for start in harness.take_starts() {
                harness.accept_start(&start);
                active.insert(start.task, start);
            }
        }
        let running: u64 = active.values().map(needed_cpu_millis).sum();
        prop_assert_eq!(used_cpu_millis(&harness), running);
    }
}

fn needed_cpu_millis(start: &StartRequest) -> u64 {
    start.spec.steps[usize::from(start.task.step)]
        .needs
        .cpu_millis
}
