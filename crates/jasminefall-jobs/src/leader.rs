//! The leader's in-memory state and its scheduling decisions.
//!
//! [`Leader`] performs no I/O. Its inputs are requests of clients, responses and heartbeats of
//! workers, and commands applied from the replicated log. After each input the caller collects
//! [`Leader::take_effects`]; after a batch of inputs it calls [`Leader::place_waiting_tasks`],
//! which starts the tasks that now fit on a worker.
//!
//! State that is not replicated, such as the runs on each worker, is rebuilt by a new leader from
//! the run lists that the workers keep, so that a start need not wait for a commit.
//!
//! - `clients`: submissions, status queries and cancellations
//! - `directory`: index of the workers by name, address, instance and pool
//! - `heartbeats`: heartbeats of workers
//! - `workers`: workers, their leases and polls
//! - `lease`: the time until which a worker may hold a lease
//! - `incarnations`: which incarnations have ended, and which replaces which
//! - `checkpoints`: the latest checkpoints of the tasks of a step
//! - `late_starts`: starts that may be carried out after their worker has restarted
//! - `handovers`: starts that the next incarnation of their worker may have taken
//! - `records`: records of incarnations that are to be added or removed
//! - `responses`: responses of workers to requests, and their run lists
//! - `schedules`: occurrences of scheduled jobs
//! - `steps`: open steps and their waiting tasks
//! - `usage`: resources that the tasks of each workspace use, and the caps on them
//! - `runs`: runs that hold resources on a worker
//! - `placement`: placement of waiting tasks on workers
//! - `suspects`: tasks under which workers have crashed
//! - `isolation`: placement of these tasks on workers of their own
//! - `maintenance`: maintenance waves
//! - `fleet`: the pool and state of every instance
//! - `pools`: target sizes of the pools, and the moves that reach them
//! - `moves`: moves of instances between pools
//! - `advice`: workers on which the policy of a queue permits a step
//! - `best_effort`: pacing of best-effort tasks
//! - `failures`: failed runs, which speak against their task or their worker
//! - `waits`: how long tasks wait for a run, and why

mod advice;
mod best_effort;
mod checkpoints;
mod clients;
mod directory;
mod failures;
mod fleet;
mod handovers;
mod heartbeats;
mod incarnations;
mod isolation;
mod late_starts;
mod lease;
mod maintenance;
mod moves;
mod placement;
mod pools;
mod records;
mod responses;
mod runs;
mod schedules;
mod steps;
mod suspects;
mod usage;
mod waits;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;

use self::advice::AdviceTracker;
pub use self::advice::{Advice, AdviceFailure, AdviceRequest, AdviceRequestId};
use self::best_effort::PaceTracker;
use self::clients::CachedLoad;
pub use self::clients::{CancelDecision, QueryResponse, SubmitDecision};
use self::directory::Directory;
use self::failures::FailedTasks;
use self::fleet::Fleet;
pub use self::fleet::{InstanceList, InstanceResponse, ListedInstance};
use self::handovers::Handovers;
use self::incarnations::EndedIncarnation;
use self::isolation::HoldPeriod;
use self::late_starts::LateStarts;
use self::maintenance::MaintenanceTracker;
use self::moves::MoveTracker;
use self::pools::PoolPlanner;
use self::records::PendingRecords;
pub(crate) use self::runs::{Run, RunState};
use self::schedules::Schedules;
use self::steps::StepState;
use self::suspects::Suspects;
use self::usage::UsageTracker;
pub use self::usage::WorkspaceUse;
pub use self::waits::WaitReason;
use self::waits::Waits;
pub use self::workers::{REQUEST_TIMEOUT_MS, Worker, WorkerHandle};
use crate::ids::{IncarnationId, StepId, TaskId};
use crate::job::JobSpec;
use crate::policy::durations::DurationEstimator;
use crate::policy::mechanisms::Mechanisms;
use crate::policy::pools::InstanceUse;
use crate::policy::request_limiter::InstanceRequestLimiter;
use crate::state::{Command, JobsState};

/// Run numbers that each leadership has for a task. A leadership counts from a multiple of this
/// number, so that its run numbers exceed those of all earlier leaders.
const RUNS_PER_LEADERSHIP: u64 = 1 << 16;
/// The most incarnations that one log line names.
const LOGGED_INCARNATIONS: usize = 50;

/// Holds the time limits, rates and mechanisms of the leader.
///
/// All fields come from the platform's settings, except `mechanisms`, which is given on the command
/// line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderSettings {
    /// Maximum lease that a worker accepts, in milliseconds.
    pub max_lease_ms: u64,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    pub stop_ms: u64,
    /// Interval between two heartbeats of a worker, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time, beyond one heartbeat interval, after which a worker's reduced capacity binds every start,
    /// in milliseconds.
    pub capacity_notice_ms: u64,
    /// Time after which a task that no longer works counts as unavailable, in milliseconds.
    pub unavailability_notice_ms: u64,
    /// Time that an instance is down for its maintenance, in milliseconds.
    pub maintenance_ms: u64,
    /// Time that an instance is down while it moves to another pool, in milliseconds.
    pub move_ms: u64,
    /// Factor by which a task is slower on a worker away from its data, in thousandths.
    pub remote_data_slowdown_millis: u64,
    /// Rate of instance requests (maintenance and moves) that the platform accepts, per second;
    /// `None` means no limit.
    pub instance_requests_per_s: Option<u64>,
    /// Time for which ended jobs and ended incarnations are retained, in milliseconds.
    pub ended_retention_ms: u64,
    /// Mechanisms that the decisions use; all of them by default, fewer in experiments.
    pub mechanisms: Mechanisms,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        Self {
            max_lease_ms: 6_000,
            stop_ms: 900,
            heartbeat_ms: 1_500,
            capacity_notice_ms: 3_000,
            unavailability_notice_ms: 4_500,
            maintenance_ms: 2_000,
            move_ms: 1_500,
            remote_data_slowdown_millis: 2_000,
            instance_requests_per_s: None,
            ended_retention_ms: 600_000,
            mechanisms: Mechanisms::ALL,
        }
    }
}

/// Holds a reading of both clocks at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// Monotonic clock that includes the time in which the machine was suspended, in milliseconds.
    pub steady_ms: u64,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Describes an action that the caller carries out for the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Proposes a command to the replicated log.
    Propose(Command),
    /// Asks a worker to start a task.
    Start(StartRequest),
    /// Asks a worker to stop a run.
    Stop {
        /// The worker that receives the request.
        worker: WorkerHandle,
        /// The task that the run belongs to.
        task: TaskId,
        /// The number of the run of the task.
        run: u64,
    },
    /// Asks a worker to limit a run to a share of its full speed.
    Pace {
        /// The worker that receives the request.
        worker: WorkerHandle,
        /// The task that the run belongs to.
        task: TaskId,
        /// The number of the run of the task.
        run: u64,
        /// The share in percent of full speed.
        percent: u64,
    },
    /// Asks a worker for its run list, acknowledges recorded ends and extends the lease.
    Poll(PollRequest),
    /// Asks the advice service on which workers a step is permitted.
    Advise(AdviceRequest),
    /// Requests the platform's list of instances.
    ListInstances {
        /// The time of the request, on the leader's steady clock in milliseconds.
        requested_at_ms: u64,
    },
    /// Sends an instance into maintenance.
    Maintain {
        /// The name of the instance that enters maintenance.
        instance: SmolStr,
        /// The maintenance wave of the instance.
        wave: u64,
    },
    /// Moves an instance to another pool.
    Move {
        /// The name of the instance that changes its pool.
        instance: SmolStr,
        /// The name of the destination pool.
        pool: SmolStr,
    },
}

/// Describes the start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// The worker that is asked to start the task.
    pub worker: WorkerHandle,
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: u64,
    /// The specification of the job, which holds the payload of the task.
    pub spec: Arc<JobSpec>,
    /// End of the lease granted with the start, on the worker's clock in milliseconds; the start
    /// takes no effect after it.
    pub deadline_ms: u64,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: SmolStr,
    /// The ticket of the advice service; `None` unless the queue requires advice.
    pub ticket: Option<SmolStr>,
}

/// Identifies the connection of a poll; polls over different channels don't wait for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PollChannel {
    /// Long poll, which the worker answers once a run has ended or the wait time is over.
    LongPoll,
    /// Second long poll, sent in parallel to the first while responses get lost.
    Redundant,
    /// Short poll, answered at once; checks whether the worker responds and whether a start has
    /// taken effect.
    Probe,
}

/// Describes a poll of a worker's run list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// The worker whose run list is polled.
    pub worker: WorkerHandle,
    /// The connection of the poll.
    pub channel: PollChannel,
    /// End of the lease granted, on the worker's clock in milliseconds; `None` if no lease is
    /// extended.
    pub deadline_ms: Option<u64>,
    /// Number of the latest end that is durable; the worker may drop it and all earlier ones.
    pub acknowledged_upto: u64,
    /// Maximum time that the worker waits for an end before it answers, in milliseconds.
    pub wait_ms: u64,
}

/// Holds counters of the leader's decisions, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Starts requested.
    pub starts: u64,
    /// Starts that a worker refused.
    pub starts_refused: u64,
    /// Starts that got no response, so that their outcome is unknown.
    pub starts_unanswered: u64,
    /// Workers whose lease expired while runs were active there.
    pub leases_expired: u64,
    /// Workers that crashed while runs were active there.
    pub crashes: u64,
    /// Runs that ended with the crash of their worker.
    pub crashed_runs: u64,
    /// Jobs that were ended since a task of them crashes its workers.
    pub jobs_given_up: u64,
    /// Requests to the advice service.
    pub advice_requests: u64,
    /// Workers named in these requests.
    pub advice_workers: u64,
    /// Requests to the advice service without a result.
    pub advice_failures: u64,
    /// Requests to stop a run.
    pub stops: u64,
    /// Polls of workers.
    pub polls: u64,
    /// Jobs accepted.
    pub jobs_accepted: u64,
    /// Submissions refused by admission control.
    pub jobs_refused: u64,
    /// Instances sent into maintenance.
    pub maintained: u64,
    /// Instances moved to another pool.
    pub moved: u64,
    /// Instance-milliseconds in the pools that are in use, by the use of the instances.
    pub instance_ms: InstanceUse,
}

/// Schedules jobs on workers and instances on pools, as the leader of the control replicas.
#[derive(Debug)]
pub struct Leader {
    settings: LeaderSettings,
    now: Now,
    leader_since_ms: u64,
    first_run_number: u64,
    next_handle: u32,
    workers: BTreeMap<WorkerHandle, Worker>,
    directory: Directory,
    /// Incarnations on which an earlier leader may have started tasks and whose run list this
    /// leader has not read yet, with the pools of these tasks: a worker may take starts that were meant for
    /// its previous incarnation in another pool.
    unreconciled: BTreeMap<IncarnationId, BTreeSet<SmolStr>>,
    /// Incarnations that have ended permanently.
    ended_incarnations: HashMap<IncarnationId, EndedIncarnation>,
    /// Incarnations that were removed as silent and may return, with the number of the last end that was
    /// processed, and when, on the steady clock.
    silent_incarnations: HashMap<IncarnationId, (u64, u64)>,
    handovers: Handovers,
    pending_records: PendingRecords,
    late_starts: LateStarts,
    steps: BTreeMap<StepId, StepState>,
    schedules: Schedules,
    /// Steps whose tasks may start, by pool and in the order in which they are placed.
    open_steps: BTreeMap<SmolStr, BTreeSet<(steps::Priority, StepId)>>,
    /// Steps that wait for their due time, in milliseconds since 1970.
    not_yet_due: BTreeSet<(u64, StepId)>,
    runs: HashMap<TaskId, Vec<Run>>,
    usage: UsageTracker,
    last_run_numbers: HashMap<TaskId, u64>,
    failed_tasks: FailedTasks,
    suspects: Suspects,
    /// The workers that are held for suspects, or have been recently.
    hold_periods: BTreeMap<WorkerHandle, HoldPeriod>,
    durations: DurationEstimator,
    fleet: Fleet,
    maintenance: MaintenanceTracker,
    pool_planner: PoolPlanner,
    moves: MoveTracker,
    /// Limits the rate of maintenance and move requests.
    request_limiter: InstanceRequestLimiter,
    load_cache: HashMap<SmolStr, CachedLoad>,
    /// When the shares of each pool were computed last, on the steady clock.
    shares_ranked_at_ms: HashMap<SmolStr, u64>,
    pacing: PaceTracker,
    advice: AdviceTracker,
    waits: Waits,
    /// Pools in which a waiting task may fit by now, so that placement has to run.
    dirty_pools: BTreeSet<SmolStr>,
    placement_retried_at_ms: u64,
    next_ended_jobs_at_ms: u64,
    counts: Counts,
    effects: Vec<Effect>,
    log_lines: Vec<String>,
}

/// Returns the leadership that started a run.
const fn leadership_of_run(run: u64) -> u64 {
    run.saturating_sub(1) / RUNS_PER_LEADERSHIP + 1
}

/// Returns the number below all run numbers of a leadership and above those of the earlier ones.
const fn first_run_number(leadership: u64) -> u64 {
    leadership.saturating_sub(1) * RUNS_PER_LEADERSHIP
}

impl Leader {
    /// Creates the state of a new leader from the replicated state, after the command that begins
    /// its leadership has been applied.
    #[must_use]
    pub fn new(settings: LeaderSettings, now: Now, state: &JobsState) -> Self {
        let mut leader = Self {
            settings,
            now,
            leader_since_ms: now.steady_ms,
            first_run_number: first_run_number(state.leaderships),
            next_handle: 0,
            workers: BTreeMap::new(),
            directory: Directory::default(),
            unreconciled: BTreeMap::new(),
            ended_incarnations: HashMap::new(),
            silent_incarnations: HashMap::new(),
            handovers: Handovers::default(),
            pending_records: PendingRecords::default(),
            late_starts: LateStarts::default(),
            steps: BTreeMap::new(),
            schedules: Schedules::default(),
            open_steps: BTreeMap::new(),
            not_yet_due: BTreeSet::new(),
            runs: HashMap::new(),
            usage: UsageTracker::resumed(now.wall_ms, state),
            last_run_numbers: HashMap::new(),
            failed_tasks: FailedTasks::default(),
            suspects: Suspects::resumed(state),
            hold_periods: BTreeMap::new(),
            durations: DurationEstimator::default(),
            fleet: Fleet::default(),
            maintenance: MaintenanceTracker::resumed(state),
            pool_planner: if settings.mechanisms.recorded_surges {
                PoolPlanner::resumed(now, state)
            } else {
                PoolPlanner::default()
            },
            moves: MoveTracker::default(),
            request_limiter: InstanceRequestLimiter::new(
                settings.instance_requests_per_s,
                now.steady_ms,
            ),
            load_cache: HashMap::new(),
            shares_ranked_at_ms: HashMap::new(),
            pacing: PaceTracker::default(),
            advice: AdviceTracker::default(),
            waits: Waits::default(),
            dirty_pools: BTreeSet::new(),
            placement_retried_at_ms: now.steady_ms,
            next_ended_jobs_at_ms: now.steady_ms,
            counts: Counts::default(),
            effects: Vec::new(),
            log_lines: Vec::new(),
        };
        for (incarnation, record) in &state.incarnations {
            leader
                .unreconciled
                .insert(incarnation.clone(), [record.heartbeat.pool.clone()].into());
            leader.add_worker(record.heartbeat.clone(), true);
        }
        leader.log_known_incarnations(state);
        for (key, job) in &state.jobs {
            if job.ended.is_none() {
                leader.open_job(*key, job, true, state);
            }
        }
        leader.end_early_cancellations(state);
        leader
    }

    /// Sets the current time; call this before passing any other input.
    pub const fn set_now(&mut self, now: Now) {
        self.now = now;
    }

    /// Performs the actions that are due by time, such as ending expired leases and repeating
    /// polls.
    pub fn tick(&mut self, state: &JobsState) {
        self.check_workers(state);
        self.advance_schedules(state);
        self.open_due_steps();
        self.retry_placement();
        self.resend_stops();
        self.advance_late_starts();
        self.refresh_instance_list();
        self.advance_maintenance(state);
        self.rebalance_pools(state);
        self.record_ended_jobs(state);
        self.report_waits(state);
    }

    /// Starts waiting tasks in the pools that have changed since the last call.
    pub fn place_waiting_tasks(&mut self, state: &JobsState) {
        self.advance_schedules(state);
        self.place_dirty_pools(state);
    }

    /// Returns the effects decided since the last call, oldest first.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the log lines of the decisions made since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Returns the counters since the start of this leadership.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the worker with a handle, or `None` if its incarnation has ended.
    #[must_use]
    pub fn worker(&self, handle: WorkerHandle) -> Option<&Worker> {
        self.workers.get(&handle)
    }

    /// Returns the number of incarnations that have not ended.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the number of steps that wait for tickets of the advice service.
    #[must_use]
    pub fn steps_awaiting_advice(&self) -> usize {
        self.advice.unmet_count()
    }

    /// Returns the number of runs and the number of waiting tasks, summed over all pools.
    #[must_use]
    pub fn task_counts(&self) -> (usize, usize) {
        let running = self.runs.values().map(Vec::len).sum();
        let waiting = self.steps.values().map(|step| step.waiting.len()).sum();
        (running, waiting)
    }

    fn propose(&mut self, command: Command) {
        self.pending_records.record_proposed(&command);
        self.effects.push(Effect::Propose(command));
    }

    /// Logs the incarnations that a new leader knows from the replicated state.
    fn log_known_incarnations(&mut self, state: &JobsState) {
        let known: Vec<_> = state.incarnations.keys().collect();
        for incarnations in known.chunks(LOGGED_INCARNATIONS) {
            let names: Vec<_> = incarnations.iter().map(ToString::to_string).collect();
            self.log_event(format!(
                "event=workers_inherited count={} workers={}",
                names.len(),
                names.join(",")
            ));
        }
    }

    fn log_event(&mut self, line: String) {
        self.log_lines.push(line);
    }

    /// Returns a run number greater than all earlier ones of the task.
    fn next_run_number(&mut self, task: TaskId) -> u64 {
        let last = self
            .last_run_numbers
            .entry(task)
            .or_insert(self.first_run_number);
        *last += 1;
        *last
    }

    /// Records a run number that is in use, so that the next run of the task gets a greater one.
    fn record_run_number(&mut self, task: TaskId, run: u64) {
        let last = self
            .last_run_numbers
            .entry(task)
            .or_insert(self.first_run_number);
        *last = (*last).max(run);
    }
}
