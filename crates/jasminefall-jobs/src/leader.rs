//! What the leader knows and decides.
//!
//! [`Leader`] performs no I/O. Clients, workers and the replicated log are its inputs. Each input is
//! followed by [`Leader::take_effects`], and some inputs together by [`Leader::place_waiting_tasks`], which starts
//! what has found room.
//! What the leader knows beyond the replicated state is rebuilt by a new leader from the lists that
//! workers keep, so that a start need not wait for a commit.
//!
//! - [`clients`]: submissions, states and cancels
//! - [`directory`]: finding workers by what they say of themselves
//! - [`workers`]: heartbeats and leases
//! - [`incarnations`]: which incarnations are over, and which replaces which
//! - [`responses`]: responses of workers to requests, and their lists of runs
//! - [`steps`]: which steps are open and what waits in them
//! - [`runs`]: the runs that take up room
//! - [`placement`]: starting what waits
//! - [`maintenance`]: maintenance waves
//! - [`fleet`]: where every instance is
//! - [`pools`]: how many instances each pool should have, and where they come from
//! - [`moves`]: moving instances from one pool to another
//! - [`advice`]: on which workers the policy of a queue permits a step
//! - [`best_effort`]: the pace of best-effort tasks beside others

mod advice;
mod best_effort;
mod clients;
mod directory;
mod fleet;
mod incarnations;
mod maintenance;
mod moves;
mod placement;
mod pools;
mod responses;
mod runs;
mod steps;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;

use self::best_effort::PaceTracker;
pub use self::clients::{QueryResponse, SubmitDecision};
use self::directory::Directory;
use self::fleet::Fleet;
pub use self::fleet::{InstanceResponse, ListedInstance};
use self::maintenance::MaintenanceTracker;
use self::moves::MoveTracker;
use self::pools::PoolPlanner;
pub(crate) use self::runs::{Run, RunState};
use self::steps::StepState;
pub use self::workers::{Worker, WorkerHandle};
use crate::ids::{IncarnationId, StepId, TaskId};
use crate::job::JobSpec;
use crate::policy::admission::PoolLoad;
use crate::policy::durations::DurationEstimator;
use crate::policy::mechanisms::Mechanisms;
use crate::policy::pools::InstanceUse;
use crate::policy::request_limiter::InstanceRequestLimiter;
use crate::state::{Command, JobsState};

/// Runs of one leadership are numbered from a multiple of this, so that they are above earlier ones.
const RUNS_PER_LEADERSHIP: u64 = 1 << 16;

/// Sets the times that the leader goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderSettings {
    /// The longest lease that a worker grants, in milliseconds; from the platform's settings.
    pub max_lease_ms: u64,
    /// The longest that a worker takes to stop a run, in milliseconds; from the platform's settings.
    pub stop_ms: u64,
    /// The time between two heartbeats of a worker, in milliseconds; from the platform's settings.
    pub heartbeat_ms: u64,
    /// The time in which a task that is off counts as away, in milliseconds; from the platform's
    /// settings.
    pub unavailability_notice_ms: u64,
    /// How long an instance is away for its maintenance, in milliseconds; from the platform's
    /// settings.
    pub maintenance_ms: u64,
    /// How long an instance is away when it changes its pool, in milliseconds; from the platform's
    /// settings.
    pub move_ms: u64,
    /// By how much a task is slower away from its data, in thousandths; from the platform's settings.
    pub remote_data_slowdown_millis: u64,
    /// How many requests about instances the platform accepts in a second; from the platform's
    /// settings, none where it names no limit.
    pub instance_requests_per_s: Option<u64>,
    /// How long a job that has ended is remembered, in milliseconds.
    pub ended_retention_ms: u64,
    /// Which mechanisms the decisions use; all, but in experiments.
    pub mechanisms: Mechanisms,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        Self {
            max_lease_ms: 6_000,
            stop_ms: 900,
            heartbeat_ms: 1_500,
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

/// Holds both clocks at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// A steady clock that counts suspension, in milliseconds.
    pub steady_ms: u64,
    /// The time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Asks the program to do something.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Proposes a command to the replicated log.
    Propose(Command),
    /// Asks a worker to start a task.
    Start(StartRequest),
    /// Asks a worker to stop a run.
    Stop {
        /// The worker.
        worker: WorkerHandle,
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
    },
    /// Asks a worker to let a run work at a share of its speed.
    Pace {
        /// The worker.
        worker: WorkerHandle,
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The share in per cent.
        percent: u64,
    },
    /// Asks a worker for its runs, acknowledges ends and extends the lease.
    Poll(PollRequest),
    /// Asks for which workers a step is permitted.
    Advise {
        /// The step.
        step: StepId,
        /// The workers to ask about.
        workers: Vec<SmolStr>,
    },
    /// Reads the list of instances.
    ListInstances,
    /// Sends an instance into maintenance.
    Maintain {
        /// The instance.
        instance: SmolStr,
        /// The wave that it belongs to.
        wave: u64,
    },
    /// Moves an instance to another pool.
    Move {
        /// The instance.
        instance: SmolStr,
        /// The pool to move it to.
        pool: SmolStr,
    },
}

/// Describes the start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// The worker.
    pub worker: WorkerHandle,
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: u64,
    /// The job, for the text that the task is given.
    pub spec: Arc<JobSpec>,
    /// Until when the start may take effect, and the lease granted with it, on the worker's clock.
    pub deadline_ms: u64,
    /// The checkpoint to resume from; empty where there is none.
    pub checkpoint: SmolStr,
    /// The ticket of the advice service, where the queue needs one.
    pub ticket: Option<SmolStr>,
}

/// Names the connection that a poll goes over; polls on different ones don't wait for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PollChannel {
    /// Is kept open until a run ends.
    LongPoll,
    /// Does the same beside it, while responses get lost.
    Redundant,
    /// Is answered at once: whether the worker answers, and whether a start has taken effect.
    Probe,
}

/// Describes a poll of a worker's runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// The worker.
    pub worker: WorkerHandle,
    /// The connection that it goes over.
    pub channel: PollChannel,
    /// The lease granted, on the worker's clock; none where nothing is to be held.
    pub deadline_ms: Option<u64>,
    /// The number of the last end that may be forgotten.
    pub acknowledged_upto: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait_ms: u64,
}

/// Counts what the leader decided, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Starts requested.
    pub starts: u64,
    /// Starts that a worker refused.
    pub starts_refused: u64,
    /// Starts without a response.
    pub starts_unanswered: u64,
    /// Runs told to stop.
    pub stops: u64,
    /// Polls of workers.
    pub polls: u64,
    /// Jobs accepted.
    pub jobs_accepted: u64,
    /// Jobs refused at once.
    pub jobs_refused: u64,
    /// Instances sent into maintenance.
    pub maintained: u64,
    /// Instances moved to another pool.
    pub moved: u64,
    /// Instance-milliseconds in pools that are in use, by what the instances were there for.
    pub instance_ms: InstanceUse,
}

/// Knows and decides what the leader of the control replicas does for jobs and workers.
#[derive(Debug)]
pub struct Leader {
    settings: LeaderSettings,
    now: Now,
    leader_since_ms: u64,
    first_run_number: u64,
    next_handle: u32,
    workers: BTreeMap<WorkerHandle, Worker>,
    directory: Directory,
    /// Incarnations on which an earlier leader may have started tasks and that have not answered
    /// yet.
    unreconciled: BTreeMap<IncarnationId, SmolStr>,
    /// Incarnations that are over for certain, and when they ended.
    ended_incarnations: HashMap<IncarnationId, u64>,
    steps: BTreeMap<StepId, StepState>,
    open_steps: BTreeMap<SmolStr, BTreeSet<(steps::Priority, StepId)>>,
    not_yet_due: BTreeSet<(u64, StepId)>,
    runs: HashMap<TaskId, Vec<Run>>,
    last_run_numbers: HashMap<TaskId, u64>,
    durations: DurationEstimator,
    fleet: Fleet,
    maintenance: MaintenanceTracker,
    pool_planner: PoolPlanner,
    moves: MoveTracker,
    /// Bounds the requests about instances.
    request_limiter: InstanceRequestLimiter,
    /// The load of every pool and when it was taken.
    load_cache: HashMap<SmolStr, (u64, PoolLoad)>,
    pacing: PaceTracker,
    dirty_pools: BTreeSet<SmolStr>,
    placement_retried_at_ms: u64,
    next_ended_jobs_at_ms: u64,
    /// Until when responses are taken to get lost, so that polls are doubled.
    response_loss_until_ms: u64,
    counts: Counts,
    effects: Vec<Effect>,
    log: Vec<String>,
}

impl Leader {
    /// Creates what a new leader knows from the replicated state, once its first command is applied.
    #[must_use]
    pub fn new(settings: LeaderSettings, now: Now, state: &JobsState) -> Self {
        let mut leader = Self {
            settings,
            now,
            leader_since_ms: now.steady_ms,
            first_run_number: state.leaderships.saturating_sub(1) * RUNS_PER_LEADERSHIP,
            next_handle: 0,
            workers: BTreeMap::new(),
            directory: Directory::default(),
            unreconciled: BTreeMap::new(),
            ended_incarnations: HashMap::new(),
            steps: BTreeMap::new(),
            open_steps: BTreeMap::new(),
            not_yet_due: BTreeSet::new(),
            runs: HashMap::new(),
            last_run_numbers: HashMap::new(),
            durations: DurationEstimator::default(),
            fleet: Fleet::default(),
            maintenance: MaintenanceTracker::default(),
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
            pacing: PaceTracker::default(),
            dirty_pools: BTreeSet::new(),
            placement_retried_at_ms: now.steady_ms,
            next_ended_jobs_at_ms: now.steady_ms,
            response_loss_until_ms: 0,
            counts: Counts::default(),
            effects: Vec::new(),
            log: Vec::new(),
        };
        for (incarnation, record) in &state.incarnations {
            leader
                .unreconciled
                .insert(incarnation.clone(), record.heartbeat.pool.clone());
            leader.add_worker(record.heartbeat.clone(), true);
        }
        for (key, job) in &state.jobs {
            if job.ended.is_none() {
                leader.open_job(*key, job, state);
            }
        }
        leader
    }

    /// Moves the clocks on; to be called before any other input.
    pub const fn set_now(&mut self, now: Now) {
        self.now = now;
    }

    /// Does what is due by the clock, such as leases that lapse and polls that are to be repeated.
    pub fn tick(&mut self, state: &JobsState) {
        self.check_workers(state);
        self.open_due_steps();
        self.retry_placement();
        self.resend_stops();
        self.refresh_instance_list();
        self.advance_maintenance(state);
        self.rebalance_pools(state);
        self.record_ended_jobs(state);
    }

    /// Starts what has found room since the last call.
    pub fn place_waiting_tasks(&mut self, state: &JobsState) {
        self.place_dirty_pools(state);
    }

    /// Hands over what the program has to do.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Hands over the log lines of the decisions made since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Returns what has been counted so far.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the worker behind a handle.
    #[must_use]
    pub fn worker(&self, handle: WorkerHandle) -> Option<&Worker> {
        self.workers.get(&handle)
    }

    /// Returns how many workers are known.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns how many tasks run, and how many wait, in every pool.
    #[must_use]
    pub fn task_counts(&self) -> (usize, usize) {
        let running = self.runs.values().map(Vec::len).sum();
        let waiting = self.steps.values().map(|step| step.waiting.len()).sum();
        (running, waiting)
    }

    fn propose(&mut self, command: Command) {
        self.effects.push(Effect::Propose(command));
    }

    fn log_event(&mut self, line: String) {
        self.log.push(line);
    }

    /// Returns a run number above every one that the task has had.
    fn next_run_number(&mut self, task: TaskId) -> u64 {
        let last = self
            .last_run_numbers
            .entry(task)
            .or_insert(self.first_run_number);
        *last += 1;
        *last
    }

    /// Records a run number that an earlier leader or an unknown request has used.
    fn record_run_number(&mut self, task: TaskId, run: u64) {
        let last = self
            .last_run_numbers
            .entry(task)
            .or_insert(self.first_run_number);
        *last = (*last).max(run);
    }
}
