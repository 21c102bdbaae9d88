//! A state with three workers, and helpers that apply commands to it.
#![allow(dead_code, missing_docs, unreachable_pub)]

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;

pub const DESIRED: &str = "[fleet]\nname = test\n[budget.one]\n[pool.general]\nbudget = one\n\
    [team.guild]\nquota = 8cores\n[wave.all]\npools = general\n[wave.again]\npools = general\n[wave.later]\npools = general\nafter = all\n\
    [instance.w1]\npool = general\ndata_centre = dc1\nrack = r1\n\
    [instance.w2]\npool = general\ndata_centre = dc1\nrack = r1\n\
    [instance.w3]\npool = general\ndata_centre = dc1\nrack = r2\n";

pub fn apply(state: &mut ClusterState, command: Command) -> Outcome {
    let at_ms = state.now_ms;
    state.apply(StampedCommand { at_ms, command })
}

pub fn publish(state: &mut ClusterState, change: &str, text: &str) -> Outcome {
    let base = state.configuration.version();
    let request = ApplyRequest {
        change: change.into(),
        operator: "ada".into(),
        base,
        text: text.to_owned(),
    };
    apply(state, Command::Apply(request))
}

pub fn started_state() -> ClusterState {
    let mut state = ClusterState::default();
    publish(&mut state, "first", DESIRED);
    for worker in ["w1", "w2", "w3"] {
        record_incarnation(&mut state, worker, 1);
    }
    state
}

pub fn record_incarnation(state: &mut ClusterState, worker: &str, incarnation: u64) {
    let command = Command::RecordIncarnation {
        instance: worker.into(),
        incarnation: Incarnation::new(incarnation),
    };
    apply(state, command);
}

pub fn request(key: &str, idempotent: bool) -> JobRequest {
    JobRequest {
        key: key.into(),
        team: "guild".into(),
        cpu_mcores: MilliCores::new(1_000),
        memory_bytes: Bytes::new(1 << 30),
        idempotent,
        ..JobRequest::default()
    }
}

pub fn submit(state: &mut ClusterState, request: JobRequest) -> JobId {
    match apply(state, Command::Submit(request)) {
        Outcome::Accepted(id) => id,
        other => panic!("the job was not accepted: {other:?}"),
    }
}

pub fn place(state: &mut ClusterState, job: JobId, worker: &str) -> Epoch {
    let known = state.jobs.get(job).expect("the job is kept");
    let placement = Placement {
        job,
        worker: worker.into(),
        size: known.request.need(),
        borrowed: false,
    };
    apply(state, Command::Place(vec![placement]));
    let task = state.jobs.get(job).and_then(Job::task);
    task.expect("the placement is valid").epoch
}

pub fn report(state: &mut ClusterState, job: JobId, epoch: Epoch, result: TaskResult) {
    let report = TaskReport {
        job,
        worker: "w1".into(),
        epoch,
        result,
    };
    apply(state, Command::Report(vec![report]));
}

pub fn mark_lost(state: &mut ClusterState, worker: &str, alone: bool) {
    let worker = worker.into();
    apply(
        state,
        Command::MarkWorkersLost(vec![LostWorker { worker, alone }]),
    );
}

pub fn job_state(state: &ClusterState, job: JobId) -> JobState {
    state.jobs.get(job).expect("the job is kept").state.clone()
}

fn instance_step(state: &ClusterState, instance: &str, action: InstanceAction) -> InstanceStep {
    let instance = InstanceId::new(instance);
    let epoch = state
        .instances
        .get(&instance)
        .expect("the instance is declared")
        .epoch;
    InstanceStep {
        instance,
        epoch,
        action,
    }
}

pub fn step(state: &mut ClusterState, instance: &str, action: InstanceAction) -> Outcome {
    let step = instance_step(state, instance, action);
    apply(state, Command::Step(step))
}

/// Quarantines a worker; the state ignores the action of the step.
pub fn quarantine_worker(state: &mut ClusterState, instance: &str) -> Outcome {
    let step = instance_step(state, instance, InstanceAction::Return);
    apply(state, Command::SetAside(step))
}

pub fn wave(state: &mut ClusterState, wave: &str, action: WaveAction) {
    let request = WaveRequest {
        wave: wave.into(),
        operator: "ada".into(),
        action,
    };
    assert_eq!(apply(state, Command::Wave(request)), Outcome::Done);
}

pub fn maintain(state: &mut ClusterState, instance: &str, incarnation: u64) {
    let cordon = InstanceAction::Cordon(Purpose::Maintenance);
    for action in [cordon, InstanceAction::Drain, InstanceAction::Reboot] {
        assert_eq!(step(state, instance, action), Outcome::Done);
    }
    record_incarnation(state, instance, incarnation);
    assert_eq!(step(state, instance, InstanceAction::Return), Outcome::Done);
}
