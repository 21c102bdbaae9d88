//! A load in which one workspace sends several times its usual: what the clients of each workspace get.

use std::collections::BTreeMap;

use jasminefall_jobs::leader::{LeaderSettings, SubmitDecision};
use jasminefall_jobs::policy::mechanisms::Mechanisms;
use jasminefall_jobs::prelude::*;

use crate::harness::{Harness, job};

/// The workers have 16 cores each; a job needs 4 cores for a second, so that the pool serves 16 jobs per
/// second.
const WORKERS: usize = 4;
const TASKS: u32 = 4;
const TASK_MS: u64 = 1_000;
/// The time within which a job is in time: 1.6 times its critical path and 600 ms more.
const OBJECTIVE_MS: u64 = 2_200;
const STEP_MS: u64 = 50;
const LOAD_MS: u64 = 8_000;
/// The time after the load in which the pool works off its backlog.
const DRAIN_MS: u64 = 20_000;

/// Names a workspace, which is also its key, and the interval of its submissions.
#[derive(Debug, Clone, Copy)]
struct Sender {
    workspace: &'static str,
    interval_ms: u64,
}

const HOT: Sender = Sender {
    workspace: "hot",
    interval_ms: 50,
};
/// Both need 12 of the 64 cores, less than a third.
const CALM: [Sender; 2] = [
    Sender {
        workspace: "calm-1",
        interval_ms: 350,
    },
    Sender {
        workspace: "calm-2",
        interval_ms: 400,
    },
];

/// Counts the jobs of a workspace by what their client got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Results {
    sent: u32,
    in_time: u32,
    refused: u32,
    completed: u32,
}

fn play(weight: &str, without: &str) -> BTreeMap<&'static str, Results> {
    let settings = LeaderSettings {
        mechanisms: without.parse::<Mechanisms>().unwrap(),
        ..LeaderSettings::default()
    };
    let mut harness = Harness::with_settings(WORKERS, settings);
    let senders = [HOT, CALM[0], CALM[1]];
    let workspaces = senders.map(|sender| Workspace {
        name: WorkspaceName::new(sender.workspace),
        keys: vec![ApiKeyDigest::of(sender.workspace)],
        weight: weight.parse().unwrap(),
        cap: ResourceCap::default(),
    });
    harness.configure_workspaces(2, workspaces.to_vec());
    let mut results: BTreeMap<&'static str, Results> = BTreeMap::new();
    let mut accepted = BTreeMap::new();
    let mut running = Vec::new();
    let mut next_key = 1;
    for now_ms in (0..LOAD_MS + DRAIN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        for sender in senders {
            if now_ms >= LOAD_MS || now_ms % sender.interval_ms != 0 {
                continue;
            }
            let of_sender = results.entry(sender.workspace).or_default();
            of_sender.sent += 1;
            let spec = job(&[TASKS], 1_000);
            match harness.submit_with_key(next_key, sender.workspace, spec) {
                SubmitDecision::Propose => {
                    accepted.insert(next_key, (sender.workspace, now_ms));
                }
                _ => of_sender.refused += 1,
            }
            next_key += 1;
        }
        for start in harness.take_starts() {
            harness.accept_start(&start);
            running.push((now_ms + TASK_MS, start));
        }
        let (ended, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|(end_ms, _)| *end_ms <= now_ms);
        running = rest;
        for (_, start) in &ended {
            harness.end_unreported(start, EndKind::Done);
        }
        if !ended.is_empty() {
            harness.answer_polls();
        }
        harness.advance(STEP_MS);
        accepted.retain(|key, (workspace, sent_ms)| {
            let is_completed = harness.status(*key) == Some(JobStatus::Completed);
            if is_completed {
                let of_sender = results.entry(workspace).or_default();
                of_sender.completed += 1;
                of_sender.in_time += u32::from(now_ms - *sent_ms <= OBJECTIVE_MS);
            }
            !is_completed
        });
    }
    assert!(accepted.is_empty(), "every accepted job is completed");
    results
}

fn in_time_percent(results: &Results) -> u32 {
    results.in_time * 100 / results.sent
}

#[test]
fn hot_workspace_does_not_lower_the_service_of_those_within_their_share() {
    let results = play("100", "");
    for sender in CALM {
        let calm = &results[sender.workspace];
        assert!(in_time_percent(calm) >= 95, "{results:?}");
    }
    // What the others leave of the pool goes to the hot workspace.
    assert!(
        results["hot"].completed > results["calm-1"].completed,
        "{results:?}"
    );
}

#[test]
fn hot_workspace_lowers_the_service_of_all_without_shares() {
    let results = play("100", "weighted-shares");
    let calm = &results["calm-1"];
    assert!(
        in_time_percent(calm) < 95,
        "the load does not overload the pool: {results:?}"
    );
}

#[test]
fn submissions_beyond_the_rate_are_refused_before_those_within_it() {
    let results = play("5", "");
    assert!(results["hot"].refused > 0, "{results:?}");
    for sender in CALM {
        assert_eq!(results[sender.workspace].refused, 0, "{results:?}");
        assert!(
            in_time_percent(&results[sender.workspace]) >= 95,
            "{results:?}"
        );
    }
}
