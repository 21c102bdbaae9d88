//! Crash records and the ends by which a job fails, in logs and snapshots that earlier versions
//! share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jasminefall_jobs::leader::{LeaderSettings, Now, PollRequest, StartRequest};
use jasminefall_jobs::prelude::*;
use jasminefall_jobs::state::{
    IncarnationRecord, JobOwner, MAX_CRASHED_RUNS, MAX_ENDS_TO_FAIL, Occurrence, Occurrences,
    StepProgress, SurgeRecord, TaskProgress,
};
use proptest::prelude::*;
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};

const ATTEMPTS: u32 = 3;
const KEY: &str = "first-key";
/// The steps of [`job_spec`].
const PLAIN: u16 = 0;
const GANG: u16 = 1;
const LONG_RUNNING: u16 = 2;

fn queue_key() -> QueueKey {
    QueueKey {
        host: "queue.example".into(),
        path_prefix: "/render/".into(),
    }
}

/// Returns a configuration with one queue, or with none.
fn configuration(version: u64, attempts: Option<u32>) -> Configuration {
    let queue = |attempts| Queue {
        name: "render".into(),
        key: queue_key(),
        pool: "render".into(),
        call_timeout_ms: 1_000,
        attempts,
        ..Queue::default()
    };
    let pool = Pool {
        name: "render".into(),
        ..Pool::default()
    };
    let workspace = Workspace {
        name: WorkspaceName::new("first"),
        keys: vec![ApiKeyDigest::of(KEY)],
        ..Workspace::default()
    };
    Configuration {
        version,
        queues: attempts.map(queue).into_iter().collect(),
        pools: vec![pool],
        access: Access::new(BTreeSet::from([queue_key()]), vec![workspace]),
        ..Configuration::default()
    }
}

fn configure(version: u64, attempts: Option<u32>) -> Command {
    let configuration = configuration(version, attempts);
    Command::ConfigureWithAccess {
        access: Arc::new(configuration.access.clone()),
        configuration: Arc::new(configuration),
    }
}

/// Returns a job with two plain tasks, a gang of two and, if asked for, a long-running task.
fn job_spec(is_endless: bool) -> JobSpec {
    let step = |tasks, cpu_millis| StepSpec {
        tasks,
        needs: Resources {
            cpu_millis,
            ..Resources::default()
        },
        ..StepSpec::default()
    };
    let mut steps = vec![step(2, 100), step(2, 300)];
    steps[usize::from(GANG)].gang = true;
    if is_endless {
        steps.push(step(1, 500));
        steps[usize::from(LONG_RUNNING)].long_running = true;
    }
    JobSpec {
        steps,
        ..JobSpec::default()
    }
}

fn submit(job: u64) -> Command {
    Command::SubmitWithKey {
        job: JobKey(job),
        queue: queue_key(),
        spec: Arc::new(job_spec(job % 2 == 1)),
        at_ms: 7,
        api_key: Some(ApiKeyDigest::of(KEY)),
    }
}

fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId {
        job: JobKey(job),
        occurrence: 0,
        step,
        index,
    }
}

fn incarnation(number: u64) -> IncarnationId {
    IncarnationId {
        worker: format_smolstr!("i-{number}"),
        started_at_ms: number,
    }
}

fn register(number: u64) -> Command {
    Command::Register(Box::new(Heartbeat {
        incarnation: incarnation(number),
        ..Heartbeat::default()
    }))
}

fn record(number: u64, ends: Vec<RunEnd>) -> Command {
    Command::RecordRunEnds {
        life: incarnation(number),
        ends,
    }
}

fn end(number: u64, task: TaskId, run: u64, kind: EndKind) -> RunEnd {
    RunEnd {
        number,
        task,
        run,
        kind,
        checkpoint: SmolStr::default(),
    }
}

/// Returns a state with the jobs 1 and 2 and the incarnation 1, which has reported five ends.
fn started_state() -> JobsState {
    let mut state = JobsState::default();
    for command in [configure(1, Some(ATTEMPTS)), register(1)] {
        state.apply(command);
    }
    for job in [1, 2] {
        assert_eq!(state.apply(submit(job)), Outcome::Done);
    }
    let stopped = end(5, task(2, PLAIN, 0), 1, EndKind::Stopped);
    state.apply(record(1, vec![stopped]));
    state
}

/// Applies one record of each run, as reports on incarnation 1.
fn crash(state: &mut JobsState, task: TaskId, runs: &[u64]) {
    for run in runs {
        state.apply(record(1, vec![RunEnd::crashed(task, *run)]));
    }
}

/// Gives a task up and returns the number of ends that this takes.
fn give_up(state: &mut JobsState, number: u64, task: TaskId) -> usize {
    let ends = state.ends_to_fail(&incarnation(number), task, 9);
    let count = ends.len();
    state.apply(record(number, ends));
    count
}

fn status(state: &JobsState, job: u64) -> JobStatus {
    state.jobs[&JobKey(job)].status()
}

#[test]
fn crash_record_has_a_number_and_kind_that_earlier_versions_skip() {
    let crash = RunEnd::crashed(task(1, PLAIN, 0), 4);
    assert_eq!((crash.number, crash.kind), (0, EndKind::Lapsed));
    assert!(crash.is_crash());
    assert!(!end(1, crash.task, 4, EndKind::Lapsed).is_crash());
    assert!(!end(0, crash.task, 4, EndKind::Stopped).is_crash());
    let bytes = postcard::to_stdvec(&crash).unwrap();
    assert_eq!(postcard::from_bytes::<RunEnd>(&bytes).unwrap(), crash);
    assert_eq!(bytes, [0, 1, 0, 0, 0, 4, 3, 0]);
}

#[test]
fn crash_changes_nothing_but_the_count() {
    let before = started_state();
    let mut state = before.clone();
    crash(&mut state, task(1, PLAIN, 0), &[4]);
    assert_eq!(state.crashes_of(task(1, PLAIN, 0)), 1);
    assert_eq!(state.crashes_of(task(1, PLAIN, 1)), 0);
    assert_eq!(status(&state, 1), JobStatus::Queued);
    state.crashes.clear();
    assert_eq!(state, before);
}

#[test]
fn crash_that_two_leaders_record_counts_once() {
    let mut state = started_state();
    let task = task(1, PLAIN, 0);
    crash(&mut state, task, &[4, 4]);
    let again = vec![RunEnd::crashed(task, 4), RunEnd::crashed(task, 4)];
    state.apply(record(2, again));
    assert_eq!(state.crashes_of(task), 1);
    crash(&mut state, task, &[65_537]);
    assert_eq!(state.crashes_of(task), 2);
    assert_eq!(state.crashes[&task].last_run(), Some(65_537));
}

/// The crash of an unreachable worker may be noticed after that of the worker of a later run.
#[test]
fn crash_that_is_noticed_after_a_later_one_counts() {
    let mut state = started_state();
    crash(&mut state, task(1, PLAIN, 0), &[5, 3]);
    assert_eq!(state.crashes_of(task(1, PLAIN, 0)), 2);
}

#[test]
fn crash_on_an_unregistered_incarnation_counts() {
    let mut state = started_state();
    let crashes = vec![RunEnd::crashed(task(1, GANG, 1), 4)];
    assert_eq!(state.apply(record(77, crashes)), Outcome::Unknown);
    assert_eq!(state.crashes_of(task(1, GANG, 1)), 1);
}

#[test]
fn number_of_crashes_of_a_long_running_task_is_bounded() {
    let mut state = started_state();
    let task = task(1, LONG_RUNNING, 0);
    let runs: Vec<u64> = (1..100).collect();
    crash(&mut state, task, &runs);
    assert_eq!(state.crashes_of(task) as usize, MAX_CRASHED_RUNS);
    assert_eq!(state.crashes[&task].last_run(), Some(99));
}

#[test]
fn crash_of_an_unknown_or_ended_job_or_an_unknown_or_done_task_is_ignored() {
    let mut state = started_state();
    state.apply(Command::Cancel(JobKey(2)));
    let done = end(6, task(1, PLAIN, 1), 1, EndKind::Done);
    state.apply(record(1, vec![done]));
    for task in [
        task(3, PLAIN, 0),
        task(2, PLAIN, 0),
        task(1, PLAIN, 1),
        task(1, PLAIN, 2),
        task(1, 3, 0),
        TaskId {
            occurrence: 1,
            ..task(1, PLAIN, 0)
        },
    ] {
        crash(&mut state, task, &[4]);
        assert!(state.crashes.is_empty(), "{task}");
    }
}

#[test]
fn done_task_and_done_gang_drop_their_crashes() {
    let mut state = started_state();
    for index in [0, 1] {
        crash(&mut state, task(1, PLAIN, index), &[4]);
        crash(&mut state, task(1, GANG, index), &[4]);
    }
    crash(&mut state, task(1, LONG_RUNNING, 0), &[4]);
    let ends = [PLAIN, GANG, LONG_RUNNING].iter().zip(6..);
    let ends = ends.map(|(step, number)| end(number, task(1, *step, 0), 5, EndKind::Done));
    let ends = ends.collect();
    state.apply(record(1, ends));
    let left: Vec<_> = state.crashes.keys().copied().collect();
    assert_eq!(left, [task(1, PLAIN, 1), task(1, LONG_RUNNING, 0)]);
}

#[test]
fn ended_or_forgotten_job_drops_its_crashes_only() {
    let complete = || {
        let mut ends = vec![end(6, task(2, PLAIN, 0), 5, EndKind::Done)];
        ends.push(end(7, task(2, PLAIN, 1), 5, EndKind::Done));
        ends.push(end(8, task(2, GANG, 1), 5, EndKind::Done));
        record(1, ends)
    };
    let failures = (6..9).map(|number| end(number, task(2, PLAIN, 0), 5, EndKind::Failed));
    let fail = record(1, failures.collect());
    for (command, expected) in [
        (complete(), Some(JobStatus::Completed)),
        (fail, Some(JobStatus::Failed)),
        (Command::Cancel(JobKey(2)), Some(JobStatus::Cancelled)),
        (Command::Forget(vec![JobKey(2)]), None),
    ] {
        let mut state = started_state();
        for job in [1, 2] {
            crash(&mut state, task(job, PLAIN, 0), &[4]);
            crash(&mut state, task(job, GANG, 0), &[4]);
        }
        state.apply(command);
        let ended = state.jobs.get(&JobKey(2)).map(Job::status);
        assert_eq!(ended, expected);
        let left: Vec<_> = state.crashes.keys().copied().collect();
        let expected = [task(1, PLAIN, 0), task(1, GANG, 0)];
        assert_eq!(left, expected, "{ended:?}");
    }
}

#[test]
fn giving_up_takes_the_failures_that_the_queue_still_permits() {
    for failures in 0..ATTEMPTS {
        for step in [PLAIN, GANG] {
            let mut state = started_state();
            let ends = (0..failures).map(|position| {
                let task = task(1, step, position % 2);
                let task = if step == GANG {
                    task
                } else {
                    self::task(1, step, 1)
                };
                end(6 + u64::from(position), task, 4, EndKind::Failed)
            });
            let ends = ends.collect();
            state.apply(record(1, ends));
            let given_up = task(1, step, 1);
            assert_eq!(
                give_up(&mut state, 1, given_up),
                (ATTEMPTS - failures) as usize
            );
            assert_eq!(status(&state, 1), JobStatus::Failed);
            let owner = &state.owners[&JobKey(1)];
            assert_eq!(owner.unfinished.cpu_millis, 2 * 100 + 2 * 300 + 500);
        }
    }
}

#[test]
fn giving_up_continues_the_numbers_of_the_incarnation() {
    let mut state = started_state();
    let numbers = |state: &JobsState, number| {
        let ends = state.ends_to_fail(&incarnation(number), task(1, PLAIN, 0), 9);
        ends.iter().map(|end| end.number).collect::<Vec<_>>()
    };
    assert_eq!(numbers(&state, 1), [6, 7, 8]);
    assert_eq!(numbers(&state, 2), [1, 2, 3]);
    let crash = RunEnd::crashed(task(1, PLAIN, 0), 9);
    assert!(state.ends_to_fail(&incarnation(2), task(1, PLAIN, 0), 9)[0].number > crash.number);
    give_up(&mut state, 2, task(1, PLAIN, 0));
    assert_eq!(status(&state, 1), JobStatus::Queued);
    state.apply(register(2));
    give_up(&mut state, 2, task(1, PLAIN, 0));
    assert_eq!(status(&state, 1), JobStatus::Failed);
}

#[test]
fn giving_up_twice_changes_nothing_more() {
    let mut state = started_state();
    let ends = state.ends_to_fail(&incarnation(1), task(1, PLAIN, 0), 9);
    state.apply(record(1, ends.clone()));
    let given_up = state.clone();
    state.apply(record(1, ends));
    assert_eq!(state, given_up);
    assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 1)), 0);
    assert_eq!(state, given_up);
}

#[test]
fn job_that_no_failure_can_end_is_not_given_up() {
    let mut state = started_state();
    let done = end(6, task(1, PLAIN, 1), 1, EndKind::Done);
    state.apply(record(1, vec![done]));
    state.apply(Command::Cancel(JobKey(2)));
    for task in [
        task(1, LONG_RUNNING, 0),
        task(1, PLAIN, 1),
        task(1, PLAIN, 2),
        task(1, 3, 0),
        task(2, PLAIN, 0),
        task(3, PLAIN, 0),
    ] {
        assert_eq!(give_up(&mut state, 1, task), 0, "{task}");
    }
}

#[test]
fn giving_up_follows_the_configuration_in_force() {
    for (attempts, expected) in [(Some(0), 1), (Some(1), 1), (Some(2), 1), (Some(5), 4)] {
        let mut state = started_state();
        let failed = end(6, task(1, PLAIN, 0), 1, EndKind::Failed);
        state.apply(record(1, vec![failed]));
        state.apply(configure(2, attempts));
        assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 0)), expected);
        assert_eq!(status(&state, 1), JobStatus::Failed, "{attempts:?}");
    }
}

/// Without the queue there is no limit, so one more failure counts but ends nothing.
#[test]
fn job_of_an_undeclared_queue_gets_one_more_failure() {
    let mut state = started_state();
    state.apply(configure(2, None));
    assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 0)), 1);
    assert_eq!(status(&state, 1), JobStatus::Running);
    state.apply(configure(3, Some(ATTEMPTS)));
    assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 0)), 2);
    assert_eq!(status(&state, 1), JobStatus::Failed);
}

#[test]
fn giving_up_is_bounded_for_a_queue_that_permits_any_number_of_failures() {
    let mut state = started_state();
    state.apply(configure(2, Some(MAX_ENDS_TO_FAIL + 1)));
    let bound = MAX_ENDS_TO_FAIL as usize;
    assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 0)), bound);
    assert_eq!(status(&state, 1), JobStatus::Running);
    assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 0)), 1);
    assert_eq!(status(&state, 1), JobStatus::Failed);
}

#[test]
fn giving_up_stops_at_the_last_number() {
    let mut state = started_state();
    let last = end(u64::MAX - 1, task(2, PLAIN, 0), 1, EndKind::Stopped);
    state.apply(record(1, vec![last]));
    assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 0)), 1);
    assert_eq!(give_up(&mut state, 1, task(1, PLAIN, 0)), 0);
}

/// Returns a snapshot without the section of the removed incarnations.
fn snapshot_without_retired(state: &JobsState) -> Vec<u8> {
    let mut bytes = state.to_bytes().unwrap();
    let section = postcard::to_stdvec(&state.retired).unwrap();
    assert!(bytes.ends_with(&section));
    bytes.truncate(bytes.len() - section.len());
    bytes
}

/// Returns a snapshot that also lacks the section of the former pools, which must be empty.
fn snapshot_without_former_pools(state: &JobsState) -> Vec<u8> {
    let mut bytes = snapshot_without_retired(state);
    assert_eq!(bytes.pop(), Some(0));
    bytes
}

/// Returns a snapshot that also lacks the section of the jobs with long schedules, which must be empty.
fn snapshot_without_long_schedules(state: &JobsState) -> Vec<u8> {
    let mut bytes = snapshot_without_former_pools(state);
    assert_eq!(bytes.pop(), Some(0));
    bytes
}

/// Returns the state that is read from a snapshot without the former pools: each queue with active jobs may
/// have had the pool of each incarnation.
fn with_assumed_former_pools(mut state: JobsState) -> JobsState {
    let active = state.jobs.values().filter(|job| job.ended.is_none());
    let records = state.incarnations.values();
    let pools: BTreeSet<_> = records
        .map(|record| record.heartbeat.pool.clone())
        .collect();
    state.former_pools = active
        .map(|job| (job.queue.clone(), pools.clone()))
        .collect();
    assert!(!state.former_pools.is_empty());
    state
}

/// Returns a snapshot as versions before the crashes write it.
fn earlier_snapshot(state: &JobsState) -> Vec<u8> {
    let mut bytes = snapshot_without_long_schedules(state);
    let section = postcard::to_stdvec(&state.crashes).unwrap();
    assert!(bytes.ends_with(&section));
    bytes.truncate(bytes.len() - section.len());
    bytes
}

#[test]
fn snapshot_round_trip_preserves_crashes() {
    let mut state = started_state();
    let without_crashes = earlier_snapshot(&state);
    assert_eq!(
        JobsState::from_bytes(&without_crashes).unwrap(),
        with_assumed_former_pools(state.clone())
    );
    crash(&mut state, task(1, PLAIN, 0), &[4, 7]);
    crash(&mut state, task(2, GANG, 1), &[65_537]);
    let bytes = state.to_bytes().unwrap();
    assert!(bytes.starts_with(&without_crashes));
    assert_eq!(JobsState::from_bytes(&bytes).unwrap(), state);
}

/// A snapshot may be cut only where those of earlier versions end.
#[test]
fn truncated_snapshot_with_crashes_is_rejected() {
    let mut state = started_state();
    let earlier_lengths = [
        postcard::to_stdvec(&state).unwrap().len(),
        postcard::to_stdvec(&(&state, &state.surges)).unwrap().len(),
        earlier_snapshot(&state).len(),
    ];
    crash(&mut state, task(1, PLAIN, 0), &[4, 7]);
    let bytes = state.to_bytes().unwrap();
    let earlier_lengths = [
        &earlier_lengths[..],
        &[
            snapshot_without_long_schedules(&state).len(),
            snapshot_without_former_pools(&state).len(),
            snapshot_without_retired(&state).len(),
        ],
    ]
    .concat();
    for cut in 0..bytes.len() {
        let is_decoded = JobsState::from_bytes(&bytes[..cut]).is_ok();
        assert_eq!(is_decoded, earlier_lengths.contains(&cut), "{cut} bytes");
    }
}

#[test]
fn earlier_version_ignores_the_crashes_in_a_snapshot() {
    let mut state = started_state();
    crash(&mut state, task(1, PLAIN, 0), &[4, 7]);
    let read = earlier::decode(&state.to_bytes().unwrap());
    state.crashes.clear();
    assert_eq!(read, state);
}

/// Holds a leader and its replicated state, in which proposed commands are committed at once.
struct Control {
    leader: Leader,
    state: JobsState,
    starts: Vec<StartRequest>,
    polls: Vec<PollRequest>,
    /// The log lines and the proposed commands since the last look.
    log: Vec<String>,
    proposed: Vec<Command>,
}

impl Control {
    /// Creates a leader with one worker, which has accepted the tasks of job 2.
    fn new() -> Self {
        let mut state = JobsState::default();
        state.apply(configure(1, Some(ATTEMPTS)));
        state.apply(Command::Lead);
        let now = Now {
            steady_ms: 100_000,
            wall_ms: 1_000_000,
        };
        let mut control = Self {
            leader: Leader::new(LeaderSettings::default(), now, &state),
            state,
            starts: Vec::new(),
            polls: Vec::new(),
            log: Vec::new(),
            proposed: Vec::new(),
        };
        let heartbeat = Heartbeat {
            incarnation: incarnation(1),
            pool: "render".into(),
            address: "10.0.0.1:80".into(),
            capacity: Resources {
                cpu_millis: 16_000,
                ..Resources::default()
            },
            clock_ms: 100_000,
            sequence: 1,
            ..Heartbeat::default()
        };
        control.leader.on_heartbeat(heartbeat, &control.state);
        control.process_effects();
        control.answer_poll(Vec::new(), Vec::new());
        control.commit(submit(2));
        let accepted = WorkerResponse::Accepted { clock_ms: 100_000 };
        for start in control.starts.clone() {
            control
                .leader
                .on_start_response(&start, &accepted, &control.state);
        }
        control.process_effects();
        control.forget_effects();
        control
    }

    fn commit(&mut self, command: Command) {
        self.state.apply(command.clone());
        self.leader.on_applied(&command, &self.state);
        self.process_effects();
    }

    fn process_effects(&mut self) {
        loop {
            self.leader.place_waiting_tasks(&self.state);
            self.log.extend(self.leader.take_log());
            let effects = self.leader.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Propose(command) => {
                        self.proposed.push(command.clone());
                        self.state.apply(command.clone());
                        self.leader.on_applied(&command, &self.state);
                    }
                    Effect::Start(request) => self.starts.push(request),
                    Effect::Poll(request) => self.polls.push(request),
                    _ => {}
                }
            }
        }
    }

    fn answer_poll(&mut self, running: Vec<RunProgress>, ended: Vec<RunEnd>) {
        let poll = self.polls.pop().expect("a poll is in flight");
        let list = RunList {
            clock_ms: 100_000,
            started_at_ms: 1,
            running,
            ended,
        };
        self.leader
            .on_poll_response(poll.worker, poll.channel, Ok(list), &self.state);
        self.process_effects();
    }

    fn running(&self) -> Vec<RunProgress> {
        let running = self.starts.iter().map(|start| RunProgress {
            task: start.task,
            run: start.run,
            checkpoint: SmolStr::default(),
            percent: 50,
            gauge: None,
        });
        running.collect()
    }

    fn forget_effects(&mut self) {
        self.log.clear();
        self.proposed.clear();
    }
}

#[test]
fn leader_neither_restarts_nor_closes_anything_for_a_crash_record() {
    let mut control = Control::new();
    let (starts, polls) = (control.starts.len(), control.polls.len());
    assert_eq!(starts, 4);
    let crash = RunEnd::crashed(control.starts[0].task, control.starts[0].run);
    control.commit(record(1, vec![crash.clone()]));
    assert_eq!(control.state.crashes_of(crash.task), 1);
    control.commit(Command::Cancel(JobKey(2)));
    control.forget_effects();
    control.commit(record(1, vec![crash]));
    assert_eq!((control.starts.len(), control.polls.len()), (starts, polls));
    assert!(control.log.is_empty() && control.proposed.is_empty());
}

/// A poll that waits for the commit of a reported end is not sent earlier for a crash.
#[test]
fn leader_acknowledges_nothing_for_a_crash_record() {
    let mut control = Control::new();
    let StartRequest { task, run, .. } = control.starts[0];
    let mut uncommitted = control.state.clone();
    let poll = control.polls.pop().expect("a poll is in flight");
    let list = RunList {
        clock_ms: 100_000,
        started_at_ms: 1,
        running: control.running()[1..].to_vec(),
        ended: vec![end(1, task, run, EndKind::Failed)],
    };
    let polls = |leader: &mut Leader| {
        let effects = leader.take_effects().into_iter();
        let polls = effects.filter_map(|effect| match effect {
            Effect::Poll(poll) => Some(poll.acknowledged_upto),
            _ => None,
        });
        polls.collect::<Vec<_>>()
    };
    let leader = &mut control.leader;
    leader.on_poll_response(poll.worker, poll.channel, Ok(list.clone()), &uncommitted);
    assert_eq!(polls(leader), []);
    let crash = record(1, vec![RunEnd::crashed(task, run)]);
    uncommitted.apply(crash.clone());
    leader.on_applied(&crash, &uncommitted);
    assert_eq!(polls(leader), []);
    let reported = record(1, list.ended);
    uncommitted.apply(reported.clone());
    leader.on_applied(&reported, &uncommitted);
    assert_eq!(polls(leader), [1]);
}

#[test]
fn crash_record_in_the_list_of_a_worker_is_not_proposed() {
    let mut control = Control::new();
    let crash = RunEnd::crashed(control.starts[0].task, control.starts[0].run);
    let starts = control.starts.len();
    let running = control.running();
    control.answer_poll(running, vec![crash]);
    assert!(control.proposed.is_empty(), "{:?}", control.proposed);
    assert_eq!(control.starts.len(), starts);
    assert!(control.state.crashes.is_empty());
}

#[test]
fn leader_logs_the_end_of_a_given_up_job_once() {
    let mut control = Control::new();
    let given_up = control.starts[0].task;
    let crash = RunEnd::crashed(given_up, control.starts[0].run);
    let ends = control
        .state
        .ends_to_fail(&incarnation(1), given_up, crash.run);
    assert_eq!(ends.len(), 3);
    control.commit(record(1, [vec![crash], ends].concat()));
    let ended = |line: &&String| line.starts_with("event=job_ended");
    let lines: Vec<_> = control.log.iter().filter(ended).collect();
    assert_eq!(
        lines,
        ["event=job_ended job=0000000000000002 status=Failed"]
    );
    assert_eq!(control.starts.len(), 4);
}

/// The decoding of snapshots and the rules for ends of versions without crash records, which may
/// run side by side with this one.
mod earlier {
    use super::*;

    #[derive(Deserialize)]
    struct Fields {
        leaderships: u64,
        configuration: Arc<Configuration>,
        jobs: BTreeMap<JobKey, Job>,
        incarnations: BTreeMap<IncarnationId, IncarnationRecord>,
        waves: BTreeMap<u64, Wave>,
    }

    #[derive(Deserialize)]
    struct WorkspaceFields {
        access: Access,
        owners: BTreeMap<JobKey, JobOwner>,
    }

    pub(super) fn decode(bytes: &[u8]) -> JobsState {
        let (fields, rest) = postcard::take_from_bytes::<Fields>(bytes).unwrap();
        let (surges, rest) =
            postcard::take_from_bytes::<BTreeMap<SmolStr, SurgeRecord>>(rest).unwrap();
        let workspaces: WorkspaceFields = postcard::from_bytes(rest).unwrap();
        let mut configuration = fields.configuration;
        Arc::make_mut(&mut configuration).access = workspaces.access;
        JobsState {
            leaderships: fields.leaderships,
            configuration,
            jobs: fields.jobs,
            incarnations: fields.incarnations,
            waves: fields.waves,
            surges,
            owners: workspaces.owners,
            crashes: BTreeMap::new(),
            ..JobsState::default()
        }
    }

    pub(super) fn apply(state: &mut JobsState, command: Command) -> Outcome {
        match command {
            Command::RecordRunEnds { life, ends } => record_ends(state, &life, &ends),
            other => state.apply(other),
        }
    }

    fn record_ends(state: &mut JobsState, life: &IncarnationId, ends: &[RunEnd]) -> Outcome {
        let Some(record) = state.incarnations.get_mut(life) else {
            return Outcome::Unknown;
        };
        for end in ends {
            if end.number <= record.recorded_upto {
                continue;
            }
            record.recorded_upto = end.number;
            let Some(job) = state.jobs.get_mut(&end.task.job) else {
                continue;
            };
            let queue = state.configuration.queue(&job.queue);
            let unfinished = record_end(job, end, queue.map(|queue| queue.attempts));
            if let Some(owner) = state.owners.get_mut(&end.task.job) {
                owner.unfinished = owner.unfinished.component_max(&unfinished);
            }
        }
        Outcome::Done
    }

    fn unfinished_needs(job: &Job) -> Resources {
        let steps = job.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().zip(&job.spec.steps);
            steps.map(|(progress, spec)| {
                let unfinished = spec.tasks.saturating_sub(progress.done);
                spec.needs.times(u64::from(unfinished))
            })
        });
        steps.fold(Resources::default(), |sum, needs| sum.plus(&needs))
    }

    fn end_job(job: &mut Job, status: JobStatus) {
        job.ended = Some(status);
        job.occurrences = Occurrences::default();
        job.spec = Arc::new(JobSpec::default());
    }

    fn record_end(job: &mut Job, end: &RunEnd, attempts: Option<u32>) -> Resources {
        let none = Resources::default();
        if job.ended.is_some() {
            return none;
        }
        job.has_run = true;
        let step_index = usize::from(end.task.step);
        let Some(spec) = job.spec.steps.get(step_index) else {
            return none;
        };
        let occurrence = job.occurrences.get_mut(end.task.occurrence as usize);
        let Some(step) = occurrence.and_then(|occurrence| occurrence.steps.get_mut(step_index))
        else {
            return none;
        };
        if step.tasks.len() <= end.task.index as usize {
            return none;
        }
        let failures = record_end_of_step(step, spec, end);
        let is_exhausted = attempts.is_some_and(|attempts| failures >= attempts.max(1));
        if is_exhausted && !spec.long_running {
            let unfinished = unfinished_needs(job);
            end_job(job, JobStatus::Failed);
            return unfinished;
        }
        let is_done = |step: &StepProgress| step.done as usize == step.tasks.len();
        let is_done = |occurrence: &Occurrence| occurrence.steps.iter().all(is_done);
        if job.occurrences.iter().all(is_done) {
            end_job(job, JobStatus::Completed);
        }
        none
    }

    fn record_end_of_step(step: &mut StepProgress, spec: &StepSpec, end: &RunEnd) -> u32 {
        let task: &mut TaskProgress = &mut step.tasks[end.task.index as usize];
        if !end.checkpoint.is_empty() && end.run >= task.checkpoint_run {
            task.checkpoint = end.checkpoint.clone();
            task.checkpoint_run = end.run;
        }
        match end.kind {
            EndKind::Done if spec.long_running => 0,
            EndKind::Done if spec.gang => {
                step.done = spec.tasks;
                for task in &mut step.tasks {
                    task.done = true;
                }
                0
            }
            EndKind::Done => {
                if !task.done {
                    task.done = true;
                    step.done += 1;
                }
                0
            }
            EndKind::Failed if spec.long_running || task.done => 0,
            EndKind::Failed if spec.gang => {
                step.gang_failures += 1;
                step.gang_failures
            }
            EndKind::Failed => {
                task.failures += 1;
                task.failures
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::GangBroken | EndKind::GangIncomplete => 0,
        }
    }
}

/// Describes a random command; numbers that depend on the state are taken when it is created.
#[derive(Debug, Clone)]
enum Pick {
    Submit(u64),
    Cancel(u64),
    Forget(u64),
    Register(u64),
    Retire(u64),
    Configure(Option<u32>),
    Lead,
    /// An incarnation, and how far the number of the end is above the last one.
    Report(u64, u64, TaskId, EndKind),
    Crash(u64, TaskId, u64),
    GiveUp(u64, TaskId),
    /// The record of a crash with the ends that give the task up.
    CrashAndGiveUp(u64, TaskId, u64),
}

fn any_task() -> impl Strategy<Value = TaskId> {
    (1..5_u64, 0..4_u16, 0..3_u32).prop_map(|(job, step, index)| task(job, step, index))
}

fn any_kind() -> impl Strategy<Value = EndKind> {
    prop_oneof![
        4 => Just(EndKind::Done),
        3 => Just(EndKind::Failed),
        1 => Just(EndKind::Stopped),
        1 => Just(EndKind::Lapsed),
        1 => Just(EndKind::GangBroken),
    ]
}

fn any_pick() -> impl Strategy<Value = Pick> {
    let job = 1..5_u64;
    let number = 1..4_u64;
    prop_oneof![
        4 => job.clone().prop_map(Pick::Submit),
        1 => job.clone().prop_map(Pick::Cancel),
        1 => job.prop_map(Pick::Forget),
        2 => number.clone().prop_map(Pick::Register),
        1 => number.clone().prop_map(Pick::Retire),
        1 => proptest::option::of(0..5_u32).prop_map(Pick::Configure),
        1 => Just(Pick::Lead),
        8 => (number.clone(), 0..3_u64, any_task(), any_kind())
            .prop_map(|(number, above, task, kind)| Pick::Report(number, above, task, kind)),
        8 => (number.clone(), any_task(), 0..20_u64)
            .prop_map(|(number, task, run)| Pick::Crash(number, task, run)),
        2 => (number.clone(), any_task()).prop_map(|(number, task)| Pick::GiveUp(number, task)),
        1 => (number, any_task(), 0..20_u64)
            .prop_map(|(number, task, run)| Pick::CrashAndGiveUp(number, task, run)),
    ]
}

fn command(state: &JobsState, pick: Pick) -> Command {
    match pick {
        Pick::Submit(job) => submit(job),
        Pick::Cancel(job) => Command::Cancel(JobKey(job)),
        Pick::Forget(job) => Command::Forget(vec![JobKey(job)]),
        Pick::Register(number) => register(number),
        Pick::Retire(number) => Command::Retire(incarnation(number)),
        Pick::Configure(attempts) => configure(state.configuration.version + 1, attempts),
        Pick::Lead => Command::Lead,
        Pick::Report(number, above, task, kind) => {
            let known = state.incarnations.get(&incarnation(number));
            let recorded_upto = known.map_or(0, |record| record.recorded_upto);
            let mut end = end(recorded_upto + above, task, 4, kind);
            end.checkpoint = format_smolstr!("{}", recorded_upto % 3);
            record(number, vec![end])
        }
        Pick::Crash(number, task, run) => record(number, vec![RunEnd::crashed(task, run)]),
        Pick::GiveUp(number, task) => {
            record(number, state.ends_to_fail(&incarnation(number), task, 9))
        }
        Pick::CrashAndGiveUp(number, task, run) => {
            let mut ends = vec![RunEnd::crashed(task, run)];
            ends.extend(state.ends_to_fail(&incarnation(number), task, run));
            record(number, ends)
        }
    }
}

/// Checks that crashes are recorded only under tasks that may run again.
fn check_crashes(state: &JobsState) {
    for (task, crashes) in &state.crashes {
        let job = &state.jobs[&task.job];
        assert_eq!(job.ended, None, "{task}");
        let step = &job.occurrences[task.occurrence as usize].steps[usize::from(task.step)];
        assert!(!step.tasks[task.index as usize].done, "{task}");
        assert!((1..=MAX_CRASHED_RUNS).contains(&(crashes.count() as usize)));
    }
}

/// Checks that giving a task up ends its job if the incarnation and the queue are known.
fn check_given_up(before: &JobsState, after: &JobsState, pick: &Pick) {
    let (Pick::GiveUp(number, task) | Pick::CrashAndGiveUp(number, task, _)) = pick else {
        return;
    };
    let Some(job) = before.jobs.get(&task.job) else {
        return;
    };
    let ends = before.ends_to_fail(&incarnation(*number), *task, 9);
    let is_effective = before.incarnations.contains_key(&incarnation(*number))
        && before.configuration.queue(&job.queue).is_some();
    if is_effective && !ends.is_empty() {
        assert_eq!(after.jobs[&task.job].ended, Some(JobStatus::Failed));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn earlier_version_gets_the_same_jobs_from_the_same_log(
        picks in proptest::collection::vec(any_pick(), 1..120),
    ) {
        let mut state = started_state();
        let mut earlier_state = state.clone();
        for pick in picks {
            let command = command(&state, pick.clone());
            let before = state.clone();
            let outcome = state.apply(command.clone());
            prop_assert_eq!(earlier::apply(&mut earlier_state, command), outcome);
            check_crashes(&state);
            check_given_up(&before, &state, &pick);
            let mut without_crashes = state.clone();
            without_crashes.crashes.clear();
            prop_assert_eq!(&without_crashes, &earlier_state);
            prop_assert_eq!(without_crashes.to_bytes(), earlier_state.to_bytes());
        }
    }

    #[test]
    fn replay_from_any_snapshot_reaches_the_same_state(
        picks in proptest::collection::vec(any_pick(), 1..40),
    ) {
        let mut state = started_state();
        let mut snapshots = vec![state.to_bytes().unwrap()];
        let mut log = Vec::new();
        for pick in picks {
            let command = command(&state, pick);
            log.push(command.clone());
            state.apply(command);
            snapshots.push(state.to_bytes().unwrap());
        }
        for (applied, snapshot) in snapshots.iter().enumerate() {
            let mut replayed = JobsState::from_bytes(snapshot).unwrap();
            for command in &log[applied..] {
                replayed.apply(command.clone());
            }
            prop_assert_eq!(&replayed, &state, "from the snapshot after {} commands", applied);
        }
    }

    #[test]
    fn order_and_repetition_of_records_make_no_difference(
        (records, shuffled) in proptest::collection::vec((1..9_u64, any_task(), 0..40_u64), 1..100)
            .prop_flat_map(|records| {
                let repeated = [records.clone(), records.clone()].concat();
                (Just(records), Just(repeated).prop_shuffle())
            }),
    ) {
        let apply = |records: &[(u64, TaskId, u64)]| {
            let mut state = started_state();
            for (number, task, run) in records {
                state.apply(record(*number, vec![RunEnd::crashed(*task, *run)]));
            }
            state
        };
        prop_assert_eq!(apply(&records), apply(&shuffled));
        let mut at_once = started_state();
        let ends = shuffled.iter().map(|(_, task, run)| RunEnd::crashed(*task, *run));
        let ends = ends.collect();
        at_once.apply(record(1, ends));
        prop_assert_eq!(apply(&records), at_once);
    }
}
