//! Invariants of instances, jobs and waves under random commands with losses of workers and racks.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use jasminefall_state::jobs::capacity;
use jasminefall_state::prelude::*;
use proptest::prelude::*;

const INSTANCES: usize = 12;
const RACKS: usize = 3;
const TASK_RESULTS: [TaskResult; 6] = [
    TaskResult::Completed,
    TaskResult::Failed,
    TaskResult::Stopped,
    TaskResult::Checkpointed,
    TaskResult::Throttled,
    TaskResult::NotStarted,
];
const DIRECTIVES: [TaskDirective; 5] = [
    TaskDirective::Run,
    TaskDirective::Throttle,
    TaskDirective::Checkpoint,
    TaskDirective::Stop,
    TaskDirective::Cancel,
];
const WAVE_ACTIONS: [WaveAction; 4] = [
    WaveAction::Start,
    WaveAction::Pause,
    WaveAction::Resume,
    WaveAction::Abort,
];

/// Declares three racks of four instances: two pools of five and one of two spares.
fn desired() -> String {
    let mut text = "[fleet]\nname = test\n[budget.one]\nmax_unavailable = 1\n\
        [budget.two]\nmax_unavailable = 2\n[pool.red]\nbudget = one\n[pool.blue]\nbudget = two\n\
        [pool.spare]\nbudget = one\nspare = true\n[team.guild]\nquota = 20cores\n\
        [team.school]\nquota = 6cores\n[wave.all]\npools = red, blue, spare\n[wave.reds]\npools = red\n"
        .to_owned();
    for number in 0..INSTANCES {
        let pool = ["red", "blue", "spare"][number / 5];
        let rack = number % RACKS;
        text += &format!(
            "[instance.w{number}]\npool = {pool}\ndata_centre = dc{rack}\nrack = r{rack}\n\
             cpu = 4cores\nmemory = 8GiB\n"
        );
    }
    text
}

/// Holds random numbers that select a command, together with the state.
#[derive(Debug, Clone, Copy)]
struct Pick {
    kind: u8,
    target: u64,
    detail: usize,
    flags: [bool; 3],
}

fn picks() -> impl Strategy<Value = Vec<Pick>> {
    let pick = (0..32u8, 1..40u64, 0..64usize, any::<[bool; 3]>());
    let pick = pick.prop_map(|(kind, target, detail, flags)| Pick {
        kind,
        target,
        detail,
        flags,
    });
    prop::collection::vec(pick, 1..300)
}

fn id(number: u64) -> InstanceId {
    InstanceId::new(format!("w{}", number % INSTANCES as u64))
}

fn worker(number: u64) -> WorkerId {
    WorkerId::new(id(number).as_str())
}

fn command(state: &ClusterState, number: usize, pick: Pick) -> Command {
    match pick.kind {
        0..5 => submit(number, pick),
        5..12 => place(state, pick),
        12..16 => report(state, pick),
        16 => Command::Cancel(vec![JobId::new(pick.target)]),
        17..19 => set_directive(state, pick),
        19 => mark_rack_lost(pick),
        20 => mark_worker_lost(pick),
        21..24 => record_incarnation(state, pick),
        24..30 => step(state, pick),
        _ => wave(pick),
    }
}

fn submit(number: usize, pick: Pick) -> Command {
    let [idempotent, can_checkpoint, urgent] = pick.flags;
    Command::Submit(JobRequest {
        key: IdempotencyKey::new(format!("k{number}")),
        team: TeamId::new(["guild", "school"][pick.detail % 2]),
        urgency: [Urgency::Background, Urgency::Urgent][usize::from(urgent)],
        cpu_mcores: MilliCores::new(1_000 + 1_000 * (pick.target % 4)),
        memory_bytes: Bytes::new((1 + pick.detail as u64 % 8) << 30),
        idempotent,
        can_checkpoint,
        ..JobRequest::default()
    })
}

fn place(state: &ClusterState, pick: Pick) -> Command {
    let job = JobId::new(pick.target);
    let known = state.jobs.get(job);
    Command::Place(vec![Placement {
        job,
        worker: worker(pick.detail as u64),
        size: known.map(|job| job.request.need()).unwrap_or_default(),
        borrowed: pick.flags[0],
    }])
}

fn epoch_of(state: &ClusterState, job: JobId) -> Epoch {
    let task = state.jobs.get(job).and_then(Job::task);
    task.map(|task| task.epoch).unwrap_or_default()
}

fn report(state: &ClusterState, pick: Pick) -> Command {
    let job = JobId::new(pick.target);
    let stale = pick.flags == [true; 3];
    let epoch = if stale {
        Epoch::new(0)
    } else {
        epoch_of(state, job)
    };
    let (worker, result) = (worker(0), TASK_RESULTS[pick.detail % TASK_RESULTS.len()]);
    Command::Report(vec![TaskReport {
        job,
        worker,
        epoch,
        result,
    }])
}

fn set_directive(state: &ClusterState, pick: Pick) -> Command {
    let job = JobId::new(pick.target);
    let (epoch, directive) = (
        epoch_of(state, job),
        DIRECTIVES[pick.detail % DIRECTIVES.len()],
    );
    Command::SetDirectives(vec![DirectiveChange {
        job,
        epoch,
        directive,
    }])
}

fn mark_rack_lost(pick: Pick) -> Command {
    let rack = pick.detail % RACKS;
    let workers = (0..INSTANCES).filter(|number| number % RACKS == rack);
    let lost = workers.map(|number| LostWorker {
        worker: worker(number as u64),
        alone: false,
    });
    Command::MarkWorkersLost(lost.collect())
}

fn mark_worker_lost(pick: Pick) -> Command {
    Command::MarkWorkersLost(vec![LostWorker {
        worker: worker(pick.target),
        alone: true,
    }])
}

fn record_incarnation(state: &ClusterState, pick: Pick) -> Command {
    let instance = id(pick.target);
    let known = state.instances.get(&instance);
    let known = known
        .and_then(|instance| instance.incarnation)
        .unwrap_or_default();
    let incarnation = if pick.flags[0] { known.next() } else { known };
    Command::RecordIncarnation {
        instance,
        incarnation,
    }
}

fn step(state: &ClusterState, pick: Pick) -> Command {
    let instance = id(pick.target);
    let epoch = state
        .instances
        .get(&instance)
        .map(|instance| instance.epoch);
    let epoch = epoch.unwrap_or_default();
    let stale = pick.flags == [true; 3];
    let actions = [
        InstanceAction::Cordon(Purpose::Maintenance),
        InstanceAction::Cordon(Purpose::Move("blue".into())),
        InstanceAction::Cordon(Purpose::Move("red".into())),
        InstanceAction::Cordon(Purpose::Held("ada".into())),
        InstanceAction::Drain,
        InstanceAction::Reboot,
        InstanceAction::HandOver,
        InstanceAction::Return,
        InstanceAction::GiveUp,
    ];
    Command::Step(InstanceStep {
        instance,
        epoch: if stale { epoch.next() } else { epoch },
        action: actions[pick.detail % actions.len()].clone(),
    })
}

fn wave(pick: Pick) -> Command {
    Command::Wave(WaveRequest {
        wave: WaveId::new(["all", "reds"][usize::from(pick.flags[0])]),
        operator: "ada".into(),
        action: WAVE_ACTIONS[pick.detail % WAVE_ACTIONS.len()],
    })
}

fn started_state() -> ClusterState {
    let mut state = ClusterState::default();
    let request = ApplyRequest {
        change: "c".into(),
        operator: "ada".into(),
        base: Version::default(),
        text: desired(),
    };
    let command = Command::Apply(request);
    let outcome = state.apply(StampedCommand { at_ms: 1, command });
    assert!(matches!(outcome, Outcome::Published(_)), "{outcome:?}");
    for number in 0..INSTANCES {
        let command = Command::RecordIncarnation {
            instance: id(number as u64),
            incarnation: Incarnation::new(1),
        };
        state.apply(StampedCommand { at_ms: 1, command });
    }
    state
}

/// Counts the instances in service naively, by a scan of all instances.
fn naive_in_service(state: &ClusterState, pool: &str) -> u64 {
    let instances = state.instances.iter();
    let counted = instances.filter(|(_, instance)| {
        instance.pool.as_str() == pool && instance.condition == InstanceCondition::InService
    });
    counted.count() as u64
}

fn check_nothing_overcommitted(state: &ClusterState) {
    let desired = state.configuration.desired();
    let mut by_worker: BTreeMap<WorkerId, Resources> = BTreeMap::new();
    let mut by_team: BTreeMap<TeamId, u64> = BTreeMap::new();
    let mut epochs = BTreeSet::new();
    for job in state.jobs.iter() {
        let Some(task) = job.task() else { continue };
        assert!(epochs.insert(task.epoch), "two tasks share an epoch");
        let held = by_worker.entry(task.worker.clone()).or_default();
        held.add(&task.size);
        if task.borrowed {
            let urgent = job.request.urgency == Urgency::Urgent;
            assert!(!urgent && job.request.is_preemptible());
        } else {
            let held = by_team.entry(job.request.team.clone()).or_default();
            *held += task.size.cpu_mcores.get();
        }
    }
    for (worker, held) in &by_worker {
        let declared = &desired.instances[&InstanceId::new(worker.as_str())];
        assert!(held.fits_in(&capacity(declared)), "{worker} holds {held}");
        assert_eq!(
            *held,
            state.jobs.allocated_on(worker),
            "the counted resources of {worker}"
        );
    }
    for (team, declared) in &desired.teams {
        let held = by_team.get(team).copied().unwrap_or(0);
        assert!(held <= declared.quota_mcores.get(), "{team} over quota");
        assert_eq!(
            held,
            state.jobs.cpu_within_quota(team).get(),
            "the counted quota of {team}"
        );
    }
}

/// Checks budgets, epochs, moves and reboots against the state before the command.
fn check_instances(before: &ClusterState, after: &ClusterState, command: &Command) {
    let planned = matches!(command, Command::Step(_));
    for (pool, required) in [("red", 4), ("blue", 3)] {
        let was = naive_in_service(before, pool);
        let is = naive_in_service(after, pool);
        assert_eq!(is, after.instances.pool_count(&pool.into()).in_service);
        let broke = planned && is < was && is < required;
        assert!(!broke, "a planned step exceeded the budget of {pool}");
    }
    for (id, now) in after.instances.iter() {
        let was = before
            .instances
            .get(id)
            .expect("every instance stays declared");
        let fenced = now.epoch == was.epoch.next() || now == was;
        assert!(fenced, "{id} changed without an increment of its epoch");
        let idle = before.jobs.is_idle(&WorkerId::new(id.as_str()));
        if now.pool != was.pool {
            assert_eq!(
                was.condition,
                InstanceCondition::Draining,
                "{id} changed pools without draining"
            );
            assert!(idle, "{id} changed pools with a task");
        }
        if now.condition == InstanceCondition::Rebooting && was.condition != now.condition {
            assert!(idle, "{id} rebooted with a task");
            assert!(
                before.waves.requires_maintenance(id),
                "{id} rebooted without a running wave"
            );
        }
    }
}

/// Checks that a final job state never changes, that a job has one task at a time and that a job
/// that is not idempotent runs at most once.
fn check_jobs(before: &ClusterState, after: &ClusterState, command: &Command) {
    for job in after.jobs.iter() {
        let Some(was) = before.jobs.get(job.id) else {
            continue;
        };
        assert!(
            !was.state.has_ended() || was == job,
            "the ended job {} changed",
            job.id
        );
        let (old, new) = (was.task(), job.task());
        if let (Some(old), Some(new)) = (old, new) {
            assert_eq!(old.epoch, new.epoch, "job {} has two tasks", job.id);
        }
        let lost = matches!(
            command,
            Command::MarkWorkersLost(_) | Command::RecordIncarnation { .. }
        );
        let reruns = old.is_some() && job.state == JobState::Waiting;
        let twice = lost && reruns && !job.request.idempotent;
        assert!(!twice, "job {} may run twice", job.id);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn budgets_pools_capacities_quotas_and_epochs_hold_under_random_commands(picks in picks()) {
        let mut state = started_state();
        for (number, pick) in picks.into_iter().enumerate() {
            let command = command(&state, number, pick);
            let before = state.clone();
            let at_ms = 10 * number as u64;
            state.apply(StampedCommand { at_ms, command: command.clone() });
            check_nothing_overcommitted(&state);
            check_instances(&before, &state, &command);
            check_jobs(&before, &state, &command);
        }
        let restored = ClusterState::from_bytes(&state.to_bytes()).expect("an encoded state decodes");
        prop_assert!(restored == state);
    }
}
