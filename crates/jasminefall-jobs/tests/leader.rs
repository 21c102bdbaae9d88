//! Decisions of the leader on jobs, workers and instances, without a network.

#[path = "leader/advice.rs"]
mod advice;
#[path = "leader/advice_service.rs"]
mod advice_service;
#[path = "leader/capacity.rs"]
mod capacity;
#[path = "leader/caps.rs"]
mod caps;
#[path = "leader/crashes.rs"]
mod crashes;
#[path = "leader/early_cancellations.rs"]
mod early_cancellations;
#[path = "leader/ends.rs"]
mod ends;
#[path = "leader/failures.rs"]
mod failures;
#[path = "leader/gangs.rs"]
mod gangs;
#[path = "leader/handovers.rs"]
mod handovers;
#[path = "leader/harness.rs"]
mod harness;
#[path = "leader/hot_workspace.rs"]
mod hot_workspace;
#[path = "leader/incarnations.rs"]
mod incarnations;
#[path = "leader/instance_lists.rs"]
mod instance_lists;
#[path = "leader/isolation.rs"]
mod isolation;
#[path = "leader/leases.rs"]
mod leases;
#[path = "leader/maintained_workers.rs"]
mod maintained_workers;
#[path = "leader/occurrences.rs"]
mod occurrences;
#[path = "leader/odd_entries.rs"]
mod odd_entries;
#[path = "leader/run_lists.rs"]
mod run_lists;
#[path = "leader/waits.rs"]
mod waits;

use harness::{Harness, long_running_job, task};
use jasminefall_jobs::leader::{
    Effect, InstanceResponse, LeaderSettings, ListedInstance, PollChannel, QueryResponse,
    StartRequest,
};
use jasminefall_jobs::prelude::*;
use smol_str::{SmolStr, format_smolstr};

#[test]
fn single_task_starts_once_and_completes_its_job() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 100));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    harness.accept_start(&starts[0]);
    harness.end_run(&starts[0], EndKind::Done);
    assert_eq!(harness.status(1), Some(JobStatus::Completed));
    assert!(harness.take_starts().is_empty());
}

/// Guards against MIXED: jobs whose starts got no answer were not counted as waiting, for as long as their tasks
/// were not at work.
#[test]
fn job_waits_until_a_run_of_it_is_confirmed() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[2], 100));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(harness.waiting_jobs(), QueryResponse::Waiting(1));
    harness.lose_start_response(&starts[0]);
    assert_eq!(harness.waiting_jobs(), QueryResponse::Waiting(1));
    assert_eq!(harness.query(1), QueryResponse::Status(JobStatus::Queued));
    harness.accept_start(&starts[1]);
    assert_eq!(harness.waiting_jobs(), QueryResponse::Waiting(0));
    assert_eq!(harness.query(1), QueryResponse::Status(JobStatus::Running));
}

#[test]
fn step_starts_after_its_dependencies_complete() {
    let mut harness = Harness::new(2);
    let mut job = harness::job(&[2, 1], 100);
    job.steps[1].after = vec![0];
    harness.submit(1, job);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    harness.accept_starts(&starts);
    harness.end_run(&starts[0], EndKind::Done);
    assert!(harness.take_starts().is_empty());
    harness.end_run(&starts[1], EndKind::Done);
    assert_eq!(harness.take_starts()[0].task, task(1, 1, 0));
}

#[test]
fn long_running_task_restarts_after_any_end() {
    for kind in [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
    ] {
        let mut harness = Harness::new(2);
        harness.submit(1, long_running_job(1));
        let starts = harness.take_starts();
        harness.accept_starts(&starts);
        harness.end_run(&starts[0], kind);
        let again = harness.take_starts();
        assert_eq!(again.len(), 1, "after {kind:?}");
        assert!(again[0].run > starts[0].run);
    }
}

#[test]
fn job_fails_after_max_attempts_without_retry() {
    let mut harness = Harness::new(6);
    harness.submit(1, harness::job(&[1], 100));
    for _ in 0..harness::ATTEMPTS {
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 1);
        harness.accept_starts(&starts);
        harness.end_run(&starts[0], EndKind::Failed);
    }
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
}

/// Guards against a retry beyond the limit of attempts: the new leader reads a failure from a run
/// list that its predecessor did not commit, and must commit it before it retries the task.
#[test]
fn new_leader_records_failures_before_retrying() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[1], 100));
    for _ in 1..harness::ATTEMPTS {
        let starts = harness.take_starts();
        harness.accept_starts(&starts);
        harness.end_run(&starts[0], EndKind::Failed);
    }
    let last = harness.take_starts();
    harness.accept_starts(&last);
    harness.end_unreported(&last[0], EndKind::Failed);
    harness.change_leader();
    harness.pause_commits();
    harness.answer_polls();
    assert!(
        harness.take_starts().is_empty(),
        "the failure is not committed yet"
    );
    harness.resume_commits();
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Failed));
}

#[test]
fn new_leader_starts_no_task_that_may_run_on_an_unpolled_worker() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.change_leader();
    harness.advance(3_000);
    assert!(
        harness.take_starts().is_empty(),
        "the lease of the run may still be valid"
    );
    harness.advance(4_000);
    assert!(
        harness.take_starts().is_empty(),
        "no worker has answered a poll"
    );
    harness.answer_polls();
    harness.advance(100);
    assert!(
        harness.take_starts().is_empty(),
        "the new leader has adopted the run"
    );
}

/// Guards against polls without a response that extend the lease of an unresponsive worker, so that
/// it never expires and the runs never restart.
#[test]
fn runs_of_silent_worker_restart_after_lease_expiry() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.silence_worker(&starts[0]);
    for _ in 0..50 {
        harness.fail_polls_of_silent_workers();
        harness.advance(100);
    }
    assert!(
        harness.take_starts().is_empty(),
        "the lease of the run may still be valid"
    );
    for _ in 0..30 {
        harness.fail_polls_of_silent_workers();
        harness.advance(100);
    }
    let again = harness.take_starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].worker, starts[0].worker);
}

#[test]
fn unanswered_start_is_not_retried_before_its_deadline() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 100));
    let starts = harness.take_starts();
    harness.lose_start_response(&starts[0]);
    harness.advance(500);
    harness.answer_polls();
    assert!(
        harness.take_starts().is_empty(),
        "the first start may still take effect"
    );
    harness.advance(2_000);
    harness.answer_polls();
    let again = harness.take_starts();
    assert_eq!(again.len(), 1);
    assert!(again[0].run > starts[0].run);
}

#[test]
fn cancelled_job_stops_and_does_not_restart() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[2], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.apply(Command::Cancel(JobKey(1)));
    assert_eq!(harness.take_stops().len(), 2);
    harness.end_run(&starts[0], EndKind::Stopped);
    harness.end_run(&starts[1], EndKind::Stopped);
    assert!(harness.take_starts().is_empty());
}

/// Guards against the loss of a run end that only the worker's run list holds when its instance is
/// taken down.
#[test]
fn maintenance_waits_until_run_ends_are_committed() {
    let mut harness = Harness::new(1);
    harness.list_instances();
    harness.submit(1, harness::job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.pause_commits();
    harness.end_run(&starts[0], EndKind::Done);
    harness.start_wave(&["m-0"]);
    harness.advance(500);
    assert!(
        harness.take_maintenance().is_empty(),
        "the run end is not committed"
    );
    harness.resume_commits();
    harness.advance(500);
    assert_eq!(harness.take_maintenance(), ["m-0"]);
}

#[test]
fn wave_respects_max_down_and_completes() {
    let mut harness = Harness::new(4);
    harness.list_instances();
    harness.start_wave(&["m-0", "m-1", "m-2"]);
    harness.advance(200);
    let first = harness.take_maintenance();
    assert_eq!(first.len(), 1, "at most one instance may be down at once");
    harness.advance(5_000);
    assert!(
        harness
            .take_maintenance()
            .iter()
            .all(|again| *again == first[0])
    );
    for _ in 0..3 {
        let requested = harness.take_maintenance();
        let instance = requested
            .first()
            .cloned()
            .unwrap_or_else(|| first[0].clone());
        harness.respond_to_maintenance(&instance, InstanceResponse::Done);
        harness.advance(4_500);
    }
    assert!(harness.state.waves[&1].is_complete());
}

#[test]
fn standby_instance_is_maintained_without_a_worker() {
    let mut harness = Harness::new(1);
    let standby = harness::up_instance("m-idle", harness::STANDBY);
    harness.deliver_instance_list(&[standby]);
    harness.start_wave(&["m-idle"]);
    harness.advance(300);
    assert_eq!(harness.take_maintenance(), ["m-idle"]);
}

/// A worker may have joined on the instance between a request refused as busy and its retry, so the
/// instance must be evacuated again.
#[test]
fn busy_instance_is_evacuated_again_before_maintenance_retry() {
    let mut harness = Harness::new(0);
    let incoming = harness::up_instance("m-0", harness::POOL);
    harness.deliver_instance_list(&[incoming]);
    harness.start_wave(&["m-0"]);
    harness.advance(300);
    assert_eq!(harness.take_maintenance(), ["m-0"]);
    harness.respond_to_maintenance(&"m-0".into(), InstanceResponse::Busy);
    harness.start_ready_worker();
    harness.submit(1, long_running_job(1));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.advance(1_000);
    let requested = harness.take_maintenance();
    assert!(
        starts.is_empty() || requested.is_empty(),
        "{starts:?} {requested:?}"
    );
    assert_eq!(
        requested,
        ["m-0"],
        "a worker without runs does not delay maintenance"
    );
}

/// Returns a harness with four workers and three long-running tasks at full progress, of which at
/// most one may be unavailable.
fn harness_with_max_unavailable_one() -> (Harness, Vec<StartRequest>) {
    let mut harness = Harness::new(4);
    harness.list_instances();
    let mut job = long_running_job(3);
    job.steps[0].max_unavailable = 1;
    job.steps[0].max_per_worker = Some(1);
    harness.submit(1, job);
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.report_full_progress(&starts);
    (harness, starts)
}

#[test]
fn wave_respects_max_unavailable_of_a_step() {
    let (mut harness, _) = harness_with_max_unavailable_one();
    harness.start_wave_with_limit(&["m-0", "m-1", "m-2", "m-3"], 4);
    harness.advance(300);
    let stops = harness.take_stops();
    assert_eq!(
        stops.len(),
        1,
        "at most one task may be unavailable at once"
    );
}

/// Guards against a wave that never completes: an instance whose tasks must not be stopped kept the place of
/// the others, and its worker got no tasks.
#[test]
fn wave_continues_behind_an_instance_that_cannot_be_evacuated() {
    let mut harness = Harness::new(3);
    harness.list_instances();
    let mut job = long_running_job(2);
    job.steps[0].max_unavailable = 1;
    job.steps[0].needs = harness::CAPACITY;
    harness.submit(1, job);
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.report_full_progress(&starts);
    // The third worker can take neither task, and one of them has lost its worker.
    let (lost, kept) = (
        harness.worker_name(&starts[0]),
        harness.worker_name(&starts[1]),
    );
    harness.set_capacity("i-2", Resources::default());
    harness.remove_worker(&lost);
    for _ in 0..80 {
        harness.advance(100);
        harness.answer_polls();
    }
    let kept = kept.replace("i-", "m-");
    harness.start_wave(&[kept.as_str(), "m-2"]);
    harness.take_maintenance();
    for _ in 0..120 {
        harness.advance(100);
        harness.answer_polls();
    }
    assert!(harness.take_maintenance().contains(&"m-2".into()));
    assert!(harness.take_stops().is_empty());
}

/// An unresponsive worker may have failed, so that its tasks count as unavailable.
#[test]
fn tasks_on_an_unresponsive_worker_count_as_unavailable() {
    let (mut harness, starts) = harness_with_max_unavailable_one();
    harness.fail_poll(&starts[0]);
    let instances: Vec<String> = (0..4).map(|number| format!("m-{number}")).collect();
    let instances: Vec<&str> = instances.iter().map(String::as_str).collect();
    harness.start_wave_with_limit(&instances, 4);
    harness.advance(100);
    assert!(
        harness.take_stops().is_empty(),
        "one task is unavailable already"
    );
}

/// Under overload, job 2 will miss its deadline and job 3 can still meet its own. Job 3 is placed first,
/// since each late job would otherwise make the next one late as well; job 2 follows.
#[test]
fn job_that_can_be_in_time_is_placed_before_a_late_one() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[1], 16_000));
    let first = harness.take_starts();
    harness.accept_starts(&first);
    harness.submit(2, harness::job(&[1], 16_000));
    harness.advance(1_700);
    harness.submit(3, harness::job(&[1], 16_000));
    harness.end_run(&first[0], EndKind::Done);
    let second = harness.take_starts();
    assert_eq!(second[0].task, task(3, 0, 0));
    harness.accept_starts(&second);
    harness.end_run(&second[0], EndKind::Done);
    assert_eq!(harness.take_starts()[0].task, task(2, 0, 0));
}

#[test]
fn submission_triggers_at_most_one_poll_per_worker() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 100));
    let effects = harness.take_effects();
    let polls = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Poll(_)));
    assert!(polls.count() <= 2);
}

#[test]
fn new_leader_moves_standby_instances_immediately() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[40], 4_000));
    harness.change_leader();
    harness.take_effects();
    harness.deliver_instance_list(&[
        harness::up_instance("m-0", harness::POOL),
        harness::up_instance("m-9", harness::STANDBY),
    ]);
    harness.advance(500);
    let moved = harness.take_effects().into_iter().any(|effect| {
        matches!(effect, Effect::Move { instance, pool } if instance == "m-9" && pool == harness::POOL)
    });
    assert!(
        moved,
        "no recent request of an earlier leader can concern a standby instance"
    );
}

/// Guards against a pool that stays short: the instance whose move the platform rejects was chosen again each
/// time, and no other one.
#[test]
fn instance_whose_move_was_rejected_is_tried_after_the_others() {
    let mut harness = Harness::new(1);
    harness.set_busy("m-8");
    harness.submit(1, harness::job(&[5], 4_000));
    harness.take_effects();
    harness.deliver_instance_list(&[
        harness::up_instance("m-0", harness::POOL),
        harness::up_instance("m-8", harness::STANDBY),
        harness::up_instance("m-9", harness::STANDBY),
    ]);
    harness.advance(1_000);
    let effects = harness.take_effects().into_iter();
    let moves = effects.filter_map(|effect| match effect {
        Effect::Move { instance, .. } => Some(instance),
        _ => None,
    });
    let moves: Vec<_> = moves.collect();
    assert_eq!(moves[..2], ["m-8", "m-9"], "{moves:?}");
}

#[test]
fn unanswered_start_is_retried_within_one_second() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[1], 100));
    let first = harness.take_starts().remove(0);
    harness.lose_start_response(&first);
    let mut again = Vec::new();
    for _ in 0..20 {
        harness.advance(50);
        harness.answer_polls();
        again.extend(harness.take_starts());
    }
    assert_eq!(again.len(), 1, "the task is started again exactly once");
    assert!(again[0].run > first.run);
}

#[test]
fn polls_are_redundant_while_responses_get_lost() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[2], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.take_effects();
    harness.fail_poll(&starts[0]);
    harness.advance(50);
    harness.answer_polls();
    let channels: Vec<_> = harness
        .take_effects()
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Poll(poll) => Some(poll.channel),
            _ => None,
        })
        .collect();
    assert!(channels.contains(&PollChannel::Probe), "{channels:?}");
    assert!(channels.contains(&PollChannel::LongPoll), "{channels:?}");
    assert!(channels.contains(&PollChannel::Redundant), "{channels:?}");
    // One of the two polls is lost; the other reports the run end.
    harness.end_unreported(&starts[0], EndKind::Done);
    harness.fail_poll(&starts[0]);
    harness.end_run(&starts[1], EndKind::Done);
    assert_eq!(harness.status(1), Some(JobStatus::Completed));
}

#[test]
fn small_task_is_placed_ahead_of_larger_tasks_that_do_not_fit() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[1], 14_000));
    harness.submit(2, harness::job(&[1], 10_000));
    harness.submit(3, harness::job(&[1], 12_000));
    harness.submit(4, harness::job(&[1], 1_000));
    let keys: Vec<_> = harness
        .take_starts()
        .iter()
        .map(|start| start.task.job)
        .collect();
    assert_eq!(keys, [JobKey(1), JobKey(4)]);
}

#[test]
fn incarnation_on_an_unavailable_instance_does_not_delay_a_new_leader() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[4], 8_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    let lost_tasks = harness.remove_worker("i-1");
    harness.change_leader();
    harness.answer_polls();
    assert!(
        harness.take_starts().is_empty(),
        "the tasks may still run on the removed worker"
    );
    let with_worker = ListedInstance {
        worker: Some("i-0".into()),
        ..harness::up_instance("m-0", harness::POOL)
    };
    let unavailable = ListedInstance {
        up: false,
        is_unavailable: true,
        ..harness::up_instance("m-1", harness::POOL)
    };
    harness.deliver_instance_list(&[with_worker, unavailable]);
    harness.complete_runs("i-0");
    let tasks: Vec<_> = harness
        .take_starts()
        .iter()
        .map(|start| start.task)
        .collect();
    assert_eq!(
        tasks, lost_tasks,
        "the tasks of the instance that was taken down are started again"
    );
}

#[test]
fn instance_up_since_the_last_list_is_maintained() {
    let mut harness = Harness::new(1);
    let down = ListedInstance {
        up: false,
        ..harness::up_instance("m-0", harness::POOL)
    };
    harness.deliver_instance_list(&[down]);
    harness.start_wave(&["m-0"]);
    harness.advance(500);
    assert_eq!(
        harness.take_maintenance(),
        ["m-0"],
        "heartbeats of its worker show that the instance is up"
    );
}

#[test]
fn later_incarnation_at_an_address_ends_the_earlier_one() {
    let mut harness = Harness::new(3);
    let taken: SmolStr = "10.0.0.9:80".into();
    assert!(harness.heartbeat_with(0, |heartbeat| heartbeat.address = taken.clone()));
    assert!(harness.heartbeat_with(7, |heartbeat| {
        heartbeat.incarnation.started_at_ms = 2;
        heartbeat.address = taken.clone();
    }));
    assert_eq!(harness.worker_count(), 3, "i-7 has replaced i-0");
    let late = harness.heartbeat_with(0, |heartbeat| heartbeat.address = taken.clone());
    assert!(
        !late,
        "a late heartbeat does not add the earlier incarnation again"
    );
    // The former address of i-0 can be taken by an incarnation that started at any time.
    assert!(harness.heartbeat_with(8, |heartbeat| heartbeat.address = "10.0.0.0:80".into()));
    assert_eq!(harness.worker_count(), 4);
}

#[test]
fn moves_stay_within_the_platform_request_rate() {
    const REQUESTS_PER_S: u64 = 20;
    let settings = LeaderSettings {
        instance_requests_per_s: Some(REQUESTS_PER_S),
        ..LeaderSettings::default()
    };
    let mut harness = Harness::with_settings(60, settings);
    let listed: Vec<_> = (0..60)
        .map(|number| harness::up_instance(&format!("m-{number}"), harness::POOL))
        .collect();
    harness.deliver_instance_list(&listed);
    harness.take_effects();
    let mut moved = 0;
    for _ in 0..20 {
        harness.advance(50);
        let effects = harness.take_effects().into_iter();
        let moves = effects.filter(|effect| matches!(effect, Effect::Move { .. }));
        moved += moves.count() as u64;
    }
    assert!(moved > 0, "idle instances are moved to the standby pool");
    assert!(
        moved <= REQUESTS_PER_S * 3 / 2,
        "{moved} move requests in one second"
    );
}

/// The last instance list shows the instance in transit; only the heartbeat of its worker shows
/// that it has arrived.
#[test]
fn instance_with_a_heartbeat_since_the_list_counts_for_its_pool() {
    let mut harness = Harness::new(2);
    let in_transit = ListedInstance {
        up: false,
        is_unavailable: true,
        ..harness::up_instance("m-2", harness::POOL)
    };
    harness.deliver_instance_list(&[
        harness::up_instance("m-0", harness::POOL),
        harness::up_instance("m-1", harness::POOL),
        in_transit,
    ]);
    harness.start_worker();
    harness.answer_polls();
    harness.take_effects();
    harness.advance(3_000);
    let effects = harness.take_effects().into_iter();
    let moves = effects.filter(|effect| matches!(effect, Effect::Move { .. }));
    assert_eq!(
        moves.count(),
        2,
        "an idle pool keeps one of its three instances"
    );
}

/// Guards against starts on a worker that has left, when one of its heartbeats was delayed and
/// arrives after its deregistration.
#[test]
fn departed_worker_gets_no_tasks_after_a_late_heartbeat() {
    let mut harness = Harness::new(1);
    harness.heartbeat_with(0, |heartbeat| heartbeat.draining = true);
    harness.depart("i-0");
    assert_eq!(harness.worker_count(), 0);
    harness.heartbeat_with(0, |heartbeat| heartbeat.sequence = 1);
    harness.submit(1, harness::job(&[1], 100));
    harness.advance(500);
    assert!(
        harness.take_starts().is_empty(),
        "the worker has not answered a poll"
    );
    harness.change_leader();
    harness.heartbeat_with(0, |heartbeat| heartbeat.sequence = 1);
    harness.advance(500);
    assert!(
        harness.take_starts().is_empty(),
        "the worker has not answered a poll of the new leader"
    );
}

/// An instance that has arrived in the standby pool has no worker, so that the runs of its earlier
/// incarnation are over.
#[test]
fn incarnation_on_an_instance_in_another_pool_does_not_delay_a_new_leader() {
    let mut harness = Harness::new(2);
    harness.submit(1, harness::job(&[4], 8_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    let lost_tasks = harness.remove_worker("i-1");
    harness.change_leader();
    harness.answer_polls();
    let with_worker = ListedInstance {
        worker: Some("i-0".into()),
        ..harness::up_instance("m-0", harness::POOL)
    };
    harness.deliver_instance_list(&[with_worker, harness::up_instance("m-1", harness::STANDBY)]);
    harness.complete_runs("i-0");
    let tasks: Vec<_> = harness
        .take_starts()
        .iter()
        .map(|start| start.task)
        .collect();
    assert_eq!(
        tasks, lost_tasks,
        "the tasks of the instance that was moved are started again"
    );
}

/// A control instance that was suspended forwards heartbeats seconds after it received them.
#[test]
fn late_heartbeat_of_an_ended_incarnation_is_ignored() {
    let mut harness = Harness::new(1);
    harness.list_instances();
    harness.start_wave(&["m-0"]);
    harness.advance(500);
    let requested = harness.take_maintenance();
    assert_eq!(requested, ["m-0"]);
    harness.respond_to_maintenance(&requested[0], InstanceResponse::Done);
    assert_eq!(harness.worker_count(), 0);
    assert!(!harness.heartbeat_with(0, |heartbeat| heartbeat.sequence = 1));
    assert_eq!(
        harness.worker_count(),
        0,
        "the incarnation ended with the maintenance of its instance"
    );
}

/// A maintenance response is lost, and the repeated request is answered when the instance is back.
#[test]
fn worker_that_joined_since_the_maintenance_request_gets_tasks() {
    let mut harness = Harness::new(1);
    harness.list_instances();
    harness.start_wave(&["m-0"]);
    harness.advance(500);
    let requested = harness.take_maintenance();
    assert_eq!(requested, ["m-0"]);
    harness.respond_to_maintenance(&requested[0], InstanceResponse::Unknown);
    let next_incarnation = |heartbeat: &mut Heartbeat| {
        heartbeat.incarnation.worker = "i-8".into();
        heartbeat.incarnation.started_at_ms = 2;
    };
    assert!(harness.heartbeat_with(0, next_incarnation));
    harness.respond_to_maintenance(&requested[0], InstanceResponse::Done);
    assert_eq!(harness.worker_count(), 1);
    assert!(
        harness.heartbeat_with(0, next_incarnation),
        "the incarnation has not ended"
    );
    harness.add_run_list("i-8", 2);
    harness.submit(1, harness::job(&[1], 100));
    assert!(
        harness.take_starts().is_empty(),
        "the request may have taken the instance down just now"
    );
    let mut starts = 0;
    for _ in 0..5 {
        harness.advance(500);
        harness.heartbeat_with(0, next_incarnation);
        harness.answer_polls();
        let requested = harness.take_starts();
        harness.accept_starts(&requested);
        starts += requested.len();
    }
    assert_eq!(starts, 1);
}

/// The replicated state may hold an ended incarnation on the instance of another one.
#[test]
fn new_leader_takes_no_instance_down_under_a_run_after_an_earlier_incarnation_there_ended() {
    let mut harness = Harness::new(1);
    harness.submit(1, harness::job(&[1], 100));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.apply(Command::Register(Box::new(Heartbeat {
        incarnation: IncarnationId {
            worker: "i-9".into(),
            started_at_ms: 0,
        },
        instance: Some("m-0".into()),
        pool: harness::POOL.into(),
        address: "10.0.1.9:80".into(),
        ..Heartbeat::default()
    })));
    harness.change_leader();
    harness.send_heartbeats();
    assert_eq!(harness.worker_count(), 1);
    harness.answer_polls();
    harness.list_instances();
    harness.advance(4_000);
    harness.start_wave(&["m-0"]);
    harness.advance(500);
    assert!(harness.take_maintenance().is_empty(), "the run is active");
    harness.end_run(&starts[0], EndKind::Done);
    harness.advance(200);
    assert_eq!(harness.take_maintenance(), ["m-0"]);
}

/// The leader judges by the worker on an instance whether the instance may be taken down, so that
/// an outdated incarnation there must not count.
#[test]
fn latest_incarnation_on_an_instance_replaces_earlier_ones() {
    let mut harness = Harness::new(1);
    let incarnation_of = |name: &'static str, started_at_ms| {
        move |heartbeat: &mut Heartbeat| {
            heartbeat.incarnation.worker = name.into();
            heartbeat.incarnation.started_at_ms = started_at_ms;
            heartbeat.address = format_smolstr!("10.0.1.{started_at_ms}:80");
        }
    };
    harness.heartbeat_with(0, incarnation_of("i-8", 3));
    assert_eq!(
        harness.worker_count(),
        1,
        "the earlier incarnation has ended"
    );
    assert!(
        !harness.heartbeat_with(0, incarnation_of("i-9", 2)),
        "a late heartbeat of an incarnation that started in between"
    );
    assert_eq!(harness.worker_count(), 1);
}
