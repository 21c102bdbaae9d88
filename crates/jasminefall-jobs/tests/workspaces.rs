//! Workspaces in the configuration and in the replicated state: keys, owners of jobs, snapshots.

use std::collections::BTreeSet;
use std::sync::Arc;

use insta::assert_snapshot;
use jasminefall_jobs::prelude::*;

const KEY: &str = "k3y-of-the-first";
const OTHER_KEY: &str = "k3y-of-the-second";

fn queue_key(path_prefix: &str) -> QueueKey {
    QueueKey {
        host: "a.example".into(),
        path_prefix: path_prefix.into(),
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: WorkspaceName::new(name),
        keys: keys.iter().map(|key| ApiKeyDigest::of(key)).collect(),
        weight: "2".parse().unwrap(),
        cap: ResourceCap::default(),
    }
}

/// Returns a configuration with a keyed and a public queue.
fn configuration(version: u64, workspaces: Vec<Workspace>) -> Configuration {
    let queue = |path_prefix: &str| Queue {
        name: path_prefix.into(),
        key: queue_key(path_prefix),
        pool: "p".into(),
        call_timeout_ms: 1_000,
        attempts: 1,
        ..Queue::default()
    };
    let pool = Pool {
        name: "p".into(),
        ..Pool::default()
    };
    Configuration {
        version,
        document: format!("{{\"version\":{version},\"key\":\"{KEY}\"}}").into_bytes(),
        queues: vec![queue("/keyed/"), queue("/public/")],
        pools: vec![pool],
        access: Access::new(BTreeSet::from([queue_key("/keyed/")]), workspaces),
        ..Configuration::default()
    }
}

fn configure(state: &mut JobsState, version: u64, workspaces: Vec<Workspace>) -> Outcome {
    let configuration = configuration(version, workspaces);
    state.apply(Command::ConfigureWithAccess {
        access: Arc::new(configuration.access.clone()),
        configuration: Arc::new(configuration),
    })
}

fn submit(state: &mut JobsState, job: u64, api_key: Option<&str>) -> Outcome {
    state.apply(Command::SubmitWithKey {
        job: JobKey(job),
        queue: queue_key("/keyed/"),
        spec: Arc::new(job_spec()),
        at_ms: 5,
        api_key: api_key.map(ApiKeyDigest::of),
    })
}

fn job_spec() -> JobSpec {
    let step = StepSpec {
        tasks: 3,
        needs: Resources {
            cpu_millis: 200,
            memory_mb: 10,
            gpus: 0,
        },
        ..StepSpec::default()
    };
    JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn owner(state: &JobsState, job: u64) -> Option<&str> {
    state.workspace_of(JobKey(job)).map(WorkspaceName::as_str)
}

#[test]
fn caller_is_found_by_key_and_public_queues_need_none() {
    let access = configuration(1, vec![workspace("first", &["x", KEY])]).access;
    let caller = |path: &str, key: Option<&str>| {
        let key = key.map(ApiKeyDigest::of);
        match access.caller(&queue_key(path), key.as_ref()) {
            Caller::Workspace(workspace) => workspace.name.to_string(),
            Caller::Public => "(public)".to_owned(),
            Caller::Unauthorized => "(unauthorized)".to_owned(),
        }
    };
    assert_eq!(caller("/keyed/", Some(KEY)), "first");
    assert_eq!(caller("/keyed/", Some(OTHER_KEY)), "(unauthorized)");
    assert_eq!(caller("/keyed/", Some("")), "(unauthorized)");
    assert_eq!(caller("/keyed/", None), "(unauthorized)");
    assert_eq!(caller("/public/", None), "(public)");
    assert_eq!(caller("/public/", Some(OTHER_KEY)), "(public)");
    assert_eq!(caller("/public/", Some(KEY)), "first");
}

#[test]
fn site_without_workspaces_requires_no_key() {
    let access = Access::default();
    assert_eq!(access.caller(&queue_key("/keyed/"), None), Caller::Public);
}

#[test]
fn shared_key_is_rejected_without_showing_it() {
    let workspaces = vec![workspace("first", &[KEY]), workspace("second", &["x", KEY])];
    let error = configuration(1, workspaces).check().unwrap_err();
    assert_snapshot!(error, @"workspaces `first` and `second` have a key in common; remove it from one of them");
    let repeated = vec![workspace("first", &[KEY, KEY])];
    assert_eq!(configuration(1, repeated).check(), Ok(()));
}

#[test]
fn debug_output_shows_no_key() {
    let mut state = JobsState::default();
    configure(&mut state, 1, vec![workspace("first", &[KEY])]);
    let text = format!("{state:?}");
    assert!(text.contains("first"));
    assert!(!text.contains(KEY));
    let document = format!("{:?}", KEY.as_bytes());
    assert!(!text.contains(document.trim_matches(['[', ']'])));
}

/// A configuration that comes between the check of a key and the commit of the job decides.
#[test]
fn key_that_is_revoked_before_the_commit_is_refused() {
    let mut state = JobsState::default();
    configure(&mut state, 1, vec![workspace("first", &[KEY])]);
    configure(&mut state, 2, vec![workspace("first", &[])]);
    assert_eq!(submit(&mut state, 1, Some(KEY)), Outcome::Unauthorized);
    assert!(state.jobs.is_empty());
}

#[test]
fn queue_that_is_removed_before_the_commit_is_refused() {
    let mut state = JobsState::default();
    configure(&mut state, 1, vec![workspace("first", &[KEY])]);
    let without_queues = Configuration {
        queues: Vec::new(),
        ..configuration(2, Vec::new())
    };
    state.apply(Command::Configure(Arc::new(without_queues)));
    assert_eq!(submit(&mut state, 1, Some(KEY)), Outcome::NoQueue);
    assert!(state.jobs.is_empty());
}

#[test]
fn job_stays_with_its_workspace_when_its_key_moves_or_a_retry_carries_another_key() {
    let mut state = JobsState::default();
    let both = vec![
        workspace("first", &[KEY]),
        workspace("second", &[OTHER_KEY]),
    ];
    configure(&mut state, 1, both);
    assert_eq!(submit(&mut state, 1, Some(KEY)), Outcome::Done);
    assert_eq!(submit(&mut state, 1, Some(OTHER_KEY)), Outcome::Done);
    assert_eq!(owner(&state, 1), Some("first"));
    let moved = vec![
        workspace("first", &[]),
        workspace("second", &[OTHER_KEY, KEY]),
    ];
    configure(&mut state, 2, moved);
    assert_eq!(submit(&mut state, 1, Some(KEY)), Outcome::Done);
    assert_eq!(submit(&mut state, 2, Some(KEY)), Outcome::Done);
    assert_eq!(owner(&state, 1), Some("first"));
    assert_eq!(owner(&state, 2), Some("second"));
}

#[test]
fn needs_of_unfinished_tasks_are_kept_when_a_job_is_cancelled_or_fails() {
    let mut state = JobsState::default();
    configure(&mut state, 1, vec![workspace("first", &[KEY])]);
    for job in 1..=3 {
        submit(&mut state, job, Some(KEY));
    }
    let incarnation = IncarnationId {
        worker: "w".into(),
        started_at_ms: 1,
    };
    state.apply(Command::Register(Box::new(Heartbeat {
        incarnation: incarnation.clone(),
        ..Heartbeat::default()
    })));
    let end = |number, job, index, kind| RunEnd {
        number,
        task: StepId {
            job: JobKey(job),
            occurrence: 0,
            step: 0,
        }
        .task(index),
        run: 1,
        kind,
        checkpoint: "".into(),
    };
    let ends = vec![
        end(1, 1, 0, EndKind::Done),
        end(2, 2, 0, EndKind::Failed),
        end(3, 3, 0, EndKind::Done),
        end(4, 3, 1, EndKind::Done),
        end(5, 3, 2, EndKind::Done),
    ];
    let life = incarnation;
    state.apply(Command::RecordRunEnds { life, ends });
    state.apply(Command::Cancel(JobKey(1)));
    state.apply(Command::Cancel(JobKey(1)));
    let unfinished = |job| state.owners[&JobKey(job)].unfinished.cpu_millis;
    assert_eq!(state.jobs[&JobKey(2)].status(), JobStatus::Failed);
    assert_eq!(state.jobs[&JobKey(3)].status(), JobStatus::Completed);
    assert_eq!((unfinished(1), unfinished(2), unfinished(3)), (400, 600, 0));
    state.apply(Command::Forget(vec![JobKey(1)]));
    assert_eq!(owner(&state, 1), None);
}

#[test]
fn snapshot_round_trip_preserves_workspaces_and_owners() {
    let mut state = JobsState::default();
    configure(&mut state, 1, vec![workspace("first", &[KEY])]);
    submit(&mut state, 1, Some(KEY));
    let bytes = state.to_bytes().unwrap();
    assert_eq!(JobsState::from_bytes(&bytes).unwrap(), state);
    let read = JobsState::from_bytes(&bytes).unwrap();
    assert_eq!(read.configuration.access, state.configuration.access);
    // The last five bytes are the sections of the crashes, of the jobs with long schedules, of the former
    // pools and, with two bytes, of the removed incarnations, without which earlier versions wrote snapshots.
    for cut in [2, 3, 4, 5] {
        let earlier = &bytes[..bytes.len() - cut];
        assert_eq!(JobsState::from_bytes(earlier).as_ref(), Ok(&state));
    }
    for cut in [1, 6] {
        assert!(JobsState::from_bytes(&bytes[..bytes.len() - cut]).is_err());
    }
}

/// Earlier versions knew no workspaces, so their snapshots end with the surges.
#[test]
fn snapshot_without_workspaces_is_decoded() {
    let mut state = JobsState::default();
    state.apply(Command::Configure(Arc::new(configuration(3, Vec::new()))));
    let earlier = postcard::to_stdvec(&(&state, &state.surges)).unwrap();
    let read = JobsState::from_bytes(&earlier).unwrap();
    assert_eq!(read.configuration.version, 3);
    assert_eq!(read.configuration.access, Access::default());
}

/// Commands of earlier versions keep their encoding, so that their logs can be replayed.
#[test]
fn earlier_commands_keep_their_encoding() {
    let submit = Command::Submit {
        job: JobKey(1),
        queue: queue_key("/a/"),
        spec: Arc::new(JobSpec::default()),
        at_ms: 7,
    };
    let configure = Command::Configure(Arc::new(configuration(9, Vec::new())));
    assert_eq!(postcard::to_stdvec(&submit).unwrap()[0], 2);
    let bytes = postcard::to_stdvec(&configure).unwrap();
    assert_eq!(bytes[..2], [1, 9]);
    let Command::Configure(read) = postcard::from_bytes(&bytes).unwrap() else {
        panic!("the command is decoded as another one");
    };
    assert_eq!(read.access, Access::default());
}

#[test]
fn weights_and_names_are_parsed_and_displayed() {
    let weights = ["0", "1.25", "159"].map(|text| text.parse::<Weight>().unwrap().to_string());
    assert_eq!(weights, ["0.000", "1.250", "159.000"]);
    for text in ["", "-1", "NaN", "inf", "x"] {
        assert!(text.parse::<Weight>().is_err(), "{text}");
    }
    assert!("".parse::<WorkspaceName>().is_err());
    assert_eq!("w".parse::<WorkspaceName>().unwrap().to_string(), "w");
}
