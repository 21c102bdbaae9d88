//! Samples of commands and states.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jasminefall_jobs::prelude::*;
use jasminefall_jobs::state::{
    IncarnationRecord, JobOwner, Occurrence, Occurrences, RetiredIncarnations, StepProgress,
    SurgeRecord, TaskProgress,
};

use crate::samples::{
    access, api_key, configuration, heartbeat, incarnation, job_spec, queue_key, resources, wave,
};

fn job_key() -> JobKey {
    JobKey(0x5c0e_7a21_d94b_36f8)
}

/// Returns one run end of each kind.
fn run_ends() -> Vec<RunEnd> {
    let kinds = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
        EndKind::GangBroken,
        EndKind::GangIncomplete,
    ];
    let numbered = (1_u32..).zip(kinds);
    let ends = numbered.map(|(number, kind)| RunEnd {
        number: number.into(),
        task: TaskId {
            job: job_key(),
            occurrence: 2,
            step: 1,
            index: number % 3,
        },
        run: 65_537,
        kind,
        checkpoint: "half".into(),
    });
    ends.collect()
}

fn surge() -> SurgeRecord {
    SurgeRecord {
        began_at_ms: 5_000,
        peak_millis: 90_000,
    }
}

/// Returns one command of each variant, with a name.
pub(crate) fn commands() -> Vec<(&'static str, Command)> {
    let commands = [
        Command::Lead,
        Command::Configure(Arc::new(configuration())),
        Command::Submit {
            job: job_key(),
            queue: queue_key(),
            spec: Arc::new(job_spec()),
            at_ms: 1_700_000_000_789,
        },
        Command::Cancel(job_key()),
        Command::Register(Box::new(heartbeat())),
        Command::Retire(incarnation()),
        Command::RecordRunEnds {
            life: incarnation(),
            ends: run_ends(),
        },
        Command::StartWave {
            wave: 6,
            plan: wave(),
        },
        Command::RecordMaintained {
            wave: 6,
            instance: "machine-17".into(),
        },
        Command::Forget(vec![job_key(), JobKey(1)]),
        Command::RecordEndedJobs {
            jobs: vec![job_key(), JobKey(1)],
            at_ms: 1_700_000_000_790,
        },
        Command::RecordSurge {
            pool: "editor".into(),
            rise: surge(),
        },
        Command::ConfigureWithAccess {
            configuration: Arc::new(configuration()),
            access: Arc::new(access()),
        },
        Command::SubmitWithKey {
            job: job_key(),
            queue: queue_key(),
            spec: Arc::new(job_spec()),
            at_ms: 1_700_000_000_791,
            api_key: Some(api_key()),
        },
    ];
    commands
        .into_iter()
        .map(|command| (command_name(&command), command))
        .collect()
}

/// Returns the name of a variant; a control instance exits if its release does not know a variant.
fn command_name(command: &Command) -> &'static str {
    match command {
        Command::Lead => "lead",
        Command::Configure(_) => "configure",
        Command::Submit { .. } => "submit",
        Command::Cancel(_) => "cancel",
        Command::Register(_) => "register",
        Command::Retire(_) => "retire",
        Command::RecordRunEnds { .. } => "record_run_ends",
        Command::StartWave { .. } => "start_wave",
        Command::RecordMaintained { .. } => "record_maintained",
        Command::Forget(_) => "forget",
        Command::RecordEndedJobs { .. } => "record_ended_jobs",
        Command::RecordSurge { .. } => "record_surge",
        Command::ConfigureWithAccess { .. } => "configure_with_access",
        Command::SubmitWithKey { .. } => "submit_with_key",
    }
}

/// Returns a state with an active job and one job for each final status.
pub(crate) fn state() -> JobsState {
    let task = TaskProgress {
        done: true,
        failures: 2,
        checkpoint: "half".into(),
        checkpoint_run: 65_537,
    };
    let step = StepProgress {
        done: 1,
        gang_failures: 3,
        tasks: vec![task, TaskProgress::default()],
    };
    let active = Job {
        queue: queue_key(),
        spec: Arc::new(job_spec()),
        accepted_at_ms: 1_700_000_000_789,
        ended_at_ms: None,
        ended: None,
        has_run: true,
        occurrences: vec![Occurrence { steps: vec![step] }].into(),
    };
    let statuses = [
        JobStatus::Queued,
        JobStatus::Running,
        JobStatus::Completed,
        JobStatus::Failed,
        JobStatus::Cancelled,
    ];
    let ended = (1..).zip(statuses).map(|(key, status)| {
        let job = Job {
            ended_at_ms: Some(1_700_000_001_000),
            ended: Some(status),
            has_run: false,
            occurrences: Occurrences::default(),
            spec: Arc::default(),
            ..active.clone()
        };
        (JobKey(key), job)
    });
    let record = IncarnationRecord {
        heartbeat: heartbeat(),
        recorded_upto: 9,
    };
    let owner = JobOwner {
        workspace: WorkspaceName::new("schools"),
        unfinished: resources(400),
        largest_task: resources(200),
    };
    JobsState {
        leaderships: 5,
        configuration: Arc::new(Configuration {
            access: access(),
            ..configuration()
        }),
        jobs: ended.chain([(job_key(), active.clone())]).collect(),
        incarnations: BTreeMap::from([(incarnation(), record)]),
        waves: BTreeMap::from([(6, wave())]),
        surges: BTreeMap::from([("editor".into(), surge())]),
        owners: BTreeMap::from([(job_key(), owner)]),
        crashes: BTreeMap::new(),
        // What is assumed for a snapshot without this section.
        former_pools: BTreeMap::from([(queue_key(), BTreeSet::from([heartbeat().pool]))]),
        early_cancellations: BTreeSet::new(),
        retired: RetiredIncarnations::default(),
    }
}
