//! A leader with simulated workers and a log whose commits can be paused.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use jasminefall_jobs::leader::{
    Advice, AdviceFailure, AdviceRequest, CancelDecision, Effect, InstanceList, InstanceResponse,
    Leader, LeaderSettings, ListedInstance, Now, PollRequest, QueryResponse, StartRequest,
    SubmitDecision, WaitReason, WorkerHandle, WorkspaceUse,
};
use jasminefall_jobs::prelude::*;
use smol_str::{SmolStr, format_smolstr};

pub(crate) const ATTEMPTS: u32 = 3;
pub(crate) const POOL: &str = "render";
pub(crate) const STANDBY: &str = "spare";
/// The validity of the tickets of the advice service.
pub(crate) const ADVICE_VALID_MS: u64 = 3_000;
/// The capacity of a worker.
pub(crate) const CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mb: 32_000,
    gpus: 0,
};
/// A pool that is in the configuration only after [`Harness::set_queue_pool`].
pub(crate) const OTHER_POOL: &str = "encode";
const HOST: &str = "queue.example";
const PREFIX: &str = "/render/";

/// Returns a job with one step per element of `tasks`, which is the number of its tasks.
pub(crate) fn job(tasks: &[u32], cpu_millis: u64) -> JobSpec {
    let steps = tasks.iter().map(|tasks| StepSpec {
        tasks: *tasks,
        needs: Resources {
            cpu_millis,
            memory_mb: 10,
            gpus: 0,
        },
        estimated_ms: 1_000,
        ..StepSpec::default()
    });
    JobSpec {
        payload: "text".to_owned(),
        steps: steps.collect(),
        schedule: None,
    }
}

/// Returns a job whose tasks run until it is cancelled.
pub(crate) fn long_running_job(tasks: u32) -> JobSpec {
    let mut job = job(&[tasks], 500);
    job.steps[0].long_running = true;
    job
}

/// Returns the id of a task of a job without a schedule.
pub(crate) const fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId {
        job: JobKey(job),
        occurrence: 0,
        step,
        index,
    }
}

/// Simulates the run list of a worker, as its interface defines it.
#[derive(Debug, Clone)]
struct SimulatedWorker {
    started_at_ms: u64,
    running: BTreeMap<TaskId, RunProgress>,
    ended: Vec<RunEnd>,
    last_end_number: u64,
    /// The latest lease end that the worker was granted, on its clock.
    lease_until_ms: u64,
}

impl Default for SimulatedWorker {
    fn default() -> Self {
        Self {
            started_at_ms: 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            lease_until_ms: 0,
        }
    }
}

/// Holds a leader, its replicated state and simulated workers.
pub(crate) struct Harness {
    pub(crate) state: JobsState,
    leader: Leader,
    now: Now,
    workers: BTreeMap<SmolStr, SimulatedWorker>,
    worker_names: BTreeMap<WorkerHandle, SmolStr>,
    /// Polls without a response yet.
    polls: VecDeque<PollRequest>,
    starts: Vec<StartRequest>,
    stops: Vec<TaskId>,
    maintenance: Vec<SmolStr>,
    effects: Vec<Effect>,
    log_lines: Vec<String>,
    /// The most starts that one pass of the leader has requested.
    max_starts_in_pass: usize,
    /// Proposed commands that are not committed yet.
    log: VecDeque<Command>,
    commits_enabled: bool,
    /// Workers that send no heartbeats.
    silent: Vec<SmolStr>,
    /// Workers that neither send nor receive anything.
    cut_off: Vec<SmolStr>,
    /// The capacity of workers that do not have [`CAPACITY`].
    capacities: BTreeMap<SmolStr, Resources>,
    /// Workers in [`OTHER_POOL`].
    in_other_pool: Vec<SmolStr>,
    /// Instances that the platform does not move for now.
    busy_instances: Vec<SmolStr>,
    /// Whether the platform reports each move as done.
    moves_are_done: bool,
    /// Requests to the advice service without a response yet.
    advice_requests: VecDeque<AdviceRequest>,
}

impl Harness {
    /// Creates a leader with default settings and workers of 16 cores in one pool.
    pub(crate) fn new(workers: usize) -> Self {
        Self::with_settings(workers, LeaderSettings::default())
    }

    /// Creates a leader with other settings and workers of 16 cores in one pool.
    pub(crate) fn with_settings(workers: usize, settings: LeaderSettings) -> Self {
        let mut state = JobsState::default();
        state.apply(Command::Configure(Arc::new(configuration())));
        state.apply(Command::Lead);
        let now = Now {
            steady_ms: 100_000,
            wall_ms: 1_000_000,
        };
        let leader = Leader::new(settings, now, &state);
        let mut harness = Self {
            state,
            leader,
            now,
            workers: BTreeMap::new(),
            worker_names: BTreeMap::new(),
            polls: VecDeque::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            maintenance: Vec::new(),
            effects: Vec::new(),
            log_lines: Vec::new(),
            max_starts_in_pass: 0,
            log: VecDeque::new(),
            commits_enabled: true,
            silent: Vec::new(),
            cut_off: Vec::new(),
            capacities: BTreeMap::new(),
            in_other_pool: Vec::new(),
            busy_instances: Vec::new(),
            moves_are_done: false,
            advice_requests: VecDeque::new(),
        };
        for number in 0..workers {
            let name = format_smolstr!("i-{number}");
            harness.workers.insert(name, SimulatedWorker::default());
        }
        harness.send_heartbeats();
        harness.answer_polls();
        // Waits out the delay of a new leader's first instance requests, since an earlier leader
        // may have sent some.
        harness.advance(4_000);
        harness.answer_polls();
        harness
    }

    fn heartbeat(&self, number: usize, name: &SmolStr) -> Heartbeat {
        Heartbeat {
            incarnation: IncarnationId {
                worker: name.clone(),
                started_at_ms: self.started_at_ms(name),
            },
            instance: Some(format_smolstr!("m-{number}")),
            pool: if self.in_other_pool.contains(name) {
                OTHER_POOL.into()
            } else {
                POOL.into()
            },
            address: format_smolstr!("10.0.0.{number}:80"),
            capacity: self.capacities.get(name).copied().unwrap_or(CAPACITY),
            clock_ms: self.now.steady_ms,
            sequence: self.now.steady_ms,
            ..Heartbeat::default()
        }
    }

    /// Returns whether nothing runs on a worker.
    pub(crate) fn is_idle(&self, name: &str) -> bool {
        let worker = self.workers.get(name);
        worker.is_none_or(|worker| worker.running.is_empty())
    }

    /// Returns the start time of a worker's present incarnation.
    pub(crate) fn started_at_ms(&self, name: &str) -> u64 {
        let worker = self.workers.get(name);
        worker.map_or(1, |worker| worker.started_at_ms)
    }

    /// Crashes the worker that received a start.
    pub(crate) fn crash_worker(&mut self, request: &StartRequest) -> SmolStr {
        let name = self.worker_name(request);
        self.remove_worker(&name);
        name
    }

    /// Starts a crashed worker again under another name, and lets the leader read its run list.
    pub(crate) fn restart_worker(&mut self, name: &SmolStr) {
        let restarted = format_smolstr!("{name}-restarted");
        let worker = SimulatedWorker {
            started_at_ms: self.now.wall_ms,
            ..SimulatedWorker::default()
        };
        self.workers.insert(restarted, worker);
        self.send_heartbeats();
        self.answer_polls();
    }

    /// Restarts a worker under its name; the leader learns of it from the next heartbeat or run list.
    pub(crate) fn restart_under_name(&mut self, name: &SmolStr) {
        self.restart_under_name_at(name, self.now.wall_ms);
    }

    /// Restarts a worker under its name at a time on its own wall clock.
    pub(crate) fn restart_under_name_at(&mut self, name: &SmolStr, started_at_ms: u64) {
        let worker = SimulatedWorker {
            started_at_ms,
            ..SimulatedWorker::default()
        };
        self.workers.insert(name.clone(), worker);
    }

    /// Delivers an edited heartbeat, for example with another address or a later incarnation;
    /// returns whether the leader accepts its incarnation.
    pub(crate) fn heartbeat_with(
        &mut self,
        number: usize,
        edit: impl FnOnce(&mut Heartbeat),
    ) -> bool {
        let name = format_smolstr!("i-{number}");
        let mut heartbeat = self.heartbeat(number, &name);
        heartbeat.sequence += 1;
        edit(&mut heartbeat);
        let is_accepted = self.leader.on_heartbeat(heartbeat, &self.state);
        self.process_effects();
        is_accepted
    }

    /// Changes the capacity of a worker; the leader learns of it from the next heartbeat.
    pub(crate) fn set_capacity(&mut self, name: &str, capacity: Resources) {
        self.capacities.insert(name.into(), capacity);
    }

    /// Lets the platform reject moves of an instance as busy.
    pub(crate) fn set_busy(&mut self, instance: &str) {
        self.busy_instances.push(instance.into());
    }

    /// Lets the platform report moves as done, without an effect on the workers.
    pub(crate) const fn report_moves_as_done(&mut self) {
        self.moves_are_done = true;
    }

    /// Stops the heartbeats of a worker.
    pub(crate) fn stop_heartbeats(&mut self, name: &str) {
        self.silent.push(name.into());
    }

    /// Resumes the heartbeats of a worker.
    pub(crate) fn resume_heartbeats(&mut self, name: &str) {
        self.silent.retain(|silent| silent != name);
    }

    /// Cuts a worker off from the leader.
    pub(crate) fn cut_off(&mut self, name: &str) {
        self.cut_off.push(name.into());
    }

    /// Connects a worker again.
    pub(crate) fn reconnect(&mut self, name: &str) {
        self.cut_off.retain(|cut_off| cut_off != name);
    }

    /// Returns whether a worker is cut off.
    pub(crate) fn is_cut_off(&self, name: &str) -> bool {
        self.cut_off.iter().any(|cut_off| cut_off == name)
    }

    /// Returns whether the lease of the runs on a worker has expired.
    pub(crate) fn has_expired_lease(&self, name: &str) -> bool {
        self.now.steady_ms > self.workers[name].lease_until_ms
    }

    /// Puts a configuration in force in which workers start tasks that do not fit.
    pub(crate) fn accept_overload(&mut self) {
        let mut configuration = configuration();
        configuration.version += 1;
        for pool in &mut configuration.pools {
            pool.refuses_overload = false;
        }
        self.apply(Command::Configure(Arc::new(configuration)));
    }

    /// Adds a worker and delivers a heartbeat of every worker.
    pub(crate) fn start_worker(&mut self) {
        let name = format_smolstr!("i-{}", self.workers.len());
        self.workers.insert(name, SimulatedWorker::default());
        self.send_heartbeats();
    }

    /// Puts a configuration in force whose queue needs tickets of the advice service.
    pub(crate) fn require_advice(&mut self) {
        self.require_advice_in_pool(POOL);
    }

    /// Puts a configuration in force that has [`OTHER_POOL`], and whose queue uses a pool and needs tickets
    /// of the advice service.
    pub(crate) fn require_advice_in_pool(&mut self, pool: &str) {
        let mut changed = configuration();
        changed.version = self.state.configuration.version + 1;
        changed.queues[0].needs_advice = true;
        changed.queues[0].pool = pool.into();
        changed.pools.push(Pool {
            name: OTHER_POOL.into(),
            ..changed.pools[0].clone()
        });
        self.apply(Command::Configure(Arc::new(changed)));
    }

    /// Returns the oldest request to the advice service that has no response.
    pub(crate) fn take_advice_request(&mut self) -> Option<AdviceRequest> {
        self.advice_requests.pop_front()
    }

    /// Delivers the result of a request to the advice service.
    pub(crate) fn deliver_advice(
        &mut self,
        request: &AdviceRequest,
        result: Result<Advice, AdviceFailure>,
    ) {
        self.leader.on_advice(request.id, result);
        self.process_effects();
    }

    /// Answers all requests to the advice service; it permits every step on the given workers only.
    pub(crate) fn answer_advice(&mut self, permitted: &[SmolStr]) {
        while let Some(request) = self.take_advice_request() {
            let named = request.workers.iter();
            let granted = named.filter(|worker| permitted.contains(worker));
            let granted = granted.map(|worker| (worker.clone(), format_smolstr!("t-{worker}")));
            let advice = Advice {
                granted: granted.collect(),
                valid_ms: ADVICE_VALID_MS,
            };
            self.deliver_advice(&request, Ok(advice));
        }
    }

    /// Refuses a start on its worker because of its ticket.
    pub(crate) fn refuse_ticket(&mut self, request: &StartRequest) {
        let response = WorkerResponse::Refused {
            refusal: Refusal::Ticket,
            clock_ms: Some(self.now.steady_ms),
        };
        self.leader
            .on_start_response(request, &response, &self.state);
        self.process_effects();
    }

    /// Adds a worker in [`OTHER_POOL`] and lets the leader read its run list.
    pub(crate) fn start_ready_worker_in_other_pool(&mut self) {
        let name = format_smolstr!("i-{}", self.workers.len());
        self.in_other_pool.push(name);
        self.start_ready_worker();
    }

    /// Puts a configuration in force that has [`OTHER_POOL`], and whose queue uses a pool.
    pub(crate) fn set_queue_pool(&mut self, version: u64, pool: &str) {
        let mut changed = configuration();
        changed.version = version;
        changed.queues[0].pool = pool.into();
        changed.pools.push(Pool {
            name: OTHER_POOL.into(),
            ..changed.pools[0].clone()
        });
        self.apply(Command::Configure(Arc::new(changed)));
    }

    /// Puts a configuration in force without the queue.
    pub(crate) fn remove_queue(&mut self, version: u64) {
        let changed = Configuration {
            version,
            queues: Vec::new(),
            ..configuration()
        };
        self.apply(Command::Configure(Arc::new(changed)));
    }

    /// Deregisters a worker, which sends no further heartbeats.
    pub(crate) fn depart(&mut self, name: &str) {
        self.silent.push(name.into());
        self.leader.on_departure(name, &self.state);
        self.process_effects();
    }

    /// Returns the number of incarnations that the leader has not ended.
    pub(crate) fn worker_count(&self) -> usize {
        self.leader.worker_count()
    }

    /// Delivers a heartbeat of every worker that is not silent.
    pub(crate) fn send_heartbeats(&mut self) {
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for name in names {
            if self.silent.contains(&name) || self.cut_off.contains(&name) {
                continue;
            }
            let heartbeat = self.heartbeat(instance_number(&name), &name);
            self.leader.on_heartbeat(heartbeat, &self.state);
        }
        self.process_effects();
    }

    /// Advances the clocks in steps of 50 ms, with a tick in each and heartbeats every second.
    pub(crate) fn advance(&mut self, duration_ms: u64) {
        for step in 0..duration_ms.div_ceil(50) {
            self.now.steady_ms += 50;
            self.now.wall_ms += 50;
            self.leader.set_now(self.now);
            if step % 20 == 0 {
                self.send_heartbeats();
            }
            self.leader.tick(&self.state);
            self.process_effects();
        }
    }

    /// Advances the clocks by some milliseconds, with one tick.
    pub(crate) fn advance_by(&mut self, elapsed_ms: u64) {
        self.now.steady_ms += elapsed_ms;
        self.now.wall_ms += elapsed_ms;
        self.leader.set_now(self.now);
        self.leader.tick(&self.state);
        self.process_effects();
    }

    fn process_effects(&mut self) {
        loop {
            self.leader.place_waiting_tasks(&self.state);
            let effects = self.leader.take_effects();
            self.log_lines.extend(self.leader.take_log());
            if effects.is_empty() {
                return;
            }
            let is_start = |effect: &&Effect| matches!(effect, Effect::Start(_));
            let starts = effects.iter().filter(is_start).count();
            self.max_starts_in_pass = self.max_starts_in_pass.max(starts);
            for effect in effects {
                self.on_effect(effect);
            }
            self.apply_log();
        }
    }

    fn on_effect(&mut self, effect: Effect) {
        self.effects.push(effect.clone());
        match effect {
            Effect::Propose(command) => self.log.push_back(command),
            Effect::Start(request) => {
                self.record_worker_name(request.worker);
                self.starts.push(request);
            }
            Effect::Stop { task, .. } => self.stops.push(task),
            Effect::Poll(request) => {
                self.record_worker_name(request.worker);
                self.polls.push_back(request);
            }
            Effect::Maintain { instance, .. } => self.maintenance.push(instance),
            // Rejects all moves by default, so that the instances of a test stay in their pool.
            Effect::Move { instance, pool } => {
                let response = if self.moves_are_done {
                    InstanceResponse::Done
                } else if self.busy_instances.contains(&instance) {
                    InstanceResponse::Busy
                } else {
                    InstanceResponse::Impossible
                };
                self.leader
                    .on_move_response(&instance, &pool, response, &self.state);
            }
            Effect::Advise(request) => self.advice_requests.push_back(request),
            Effect::Pace { .. } | Effect::ListInstances { .. } => {}
        }
    }

    fn record_worker_name(&mut self, handle: WorkerHandle) {
        if let Some(worker) = self.leader.worker(handle) {
            self.worker_names
                .insert(handle, worker.incarnation().worker.clone());
        }
    }

    fn apply_log(&mut self) {
        while self.commits_enabled
            && let Some(command) = self.log.pop_front()
        {
            self.state.apply(command.clone());
            self.leader.on_applied(&command, &self.state);
        }
    }

    /// Stops committing proposed commands.
    pub(crate) fn pause_commits(&mut self) {
        self.commits_enabled = false;
    }

    /// Commits the proposed commands and all later ones.
    pub(crate) fn resume_commits(&mut self) {
        self.commits_enabled = true;
        self.apply_log();
        self.process_effects();
    }

    /// Commits the oldest proposed commands while commits are paused; returns how many there were.
    pub(crate) fn commit_proposed(&mut self, most: usize) -> usize {
        let count = most.min(self.log.len());
        for command in self.log.drain(..count).collect::<Vec<_>>() {
            self.commit(command);
        }
        count
    }

    /// Commits a command that the leader has not proposed.
    pub(crate) fn apply(&mut self, command: Command) {
        self.commit(command);
    }

    /// Applies a command; returns its outcome.
    pub(crate) fn commit(&mut self, command: Command) -> Outcome {
        let outcome = self.state.apply(command.clone());
        self.leader.on_applied(&command, &self.state);
        self.process_effects();
        outcome
    }

    pub(crate) fn submit(&mut self, key: u64, spec: JobSpec) {
        let queue = configuration().queues[0].key.clone();
        self.apply(Command::Submit {
            job: JobKey(key),
            queue,
            spec: Arc::new(spec),
            at_ms: self.now.wall_ms,
        });
    }

    /// Submits a job without a key as the control program does; returns the leader's decision.
    pub(crate) fn submit_decided(&mut self, key: u64, spec: JobSpec) -> SubmitDecision {
        let queue = self.state.configuration.queues[0].clone();
        let decision =
            self.leader
                .decide_submission(JobKey(key), (&queue, None), &spec, &self.state);
        if decision == SubmitDecision::Propose {
            self.commit_submission(key, spec);
        }
        decision
    }

    /// Commits a submission without a key, whatever the leader would decide; returns its outcome.
    pub(crate) fn commit_submission(&mut self, key: u64, spec: JobSpec) -> Outcome {
        self.commit(Command::SubmitWithKey {
            job: JobKey(key),
            queue: self.queue(),
            spec: Arc::new(spec),
            at_ms: self.now.wall_ms,
            api_key: None,
        })
    }

    /// Cancels a job as the control program does; returns the leader's last decision.
    pub(crate) fn cancel(&mut self, key: u64) -> CancelDecision {
        let mut decision = self.decide_cancellation(key);
        if let CancelDecision::CancelEarly(command) = decision {
            self.apply(command);
            decision = self.decide_cancellation(key);
        }
        if decision == CancelDecision::Cancel {
            self.apply(Command::Cancel(JobKey(key)));
        }
        decision
    }

    pub(crate) fn decide_cancellation(&mut self, key: u64) -> CancelDecision {
        let queue = self.queue();
        self.leader
            .decide_cancellation(JobKey(key), &queue, &self.state)
    }

    /// Returns the leader's response to a query of a job.
    pub(crate) fn query(&self, key: u64) -> QueryResponse {
        self.leader.status(&self.queue(), JobKey(key), &self.state)
    }

    /// Returns the leader's response to a query of the queue.
    pub(crate) fn waiting_jobs(&self) -> QueryResponse {
        self.leader.waiting_jobs(&self.queue(), &self.state)
    }

    pub(crate) fn queue(&self) -> QueueKey {
        self.state.configuration.queues[0].key.clone()
    }

    /// Puts a configuration in force whose queue requires a key.
    pub(crate) fn configure_workspaces(&mut self, version: u64, workspaces: Vec<Workspace>) {
        let configuration = Configuration {
            version,
            ..configuration()
        };
        let keyed = configuration.queues.iter().map(|queue| queue.key.clone());
        let access = Access::new(keyed.collect(), workspaces);
        self.apply(Command::ConfigureWithAccess {
            configuration: Arc::new(configuration),
            access: Arc::new(access),
        });
    }

    /// Submits a job with an API key as the control program does; returns the leader's decision.
    pub(crate) fn submit_with_key(
        &mut self,
        key: u64,
        api_key: &str,
        spec: JobSpec,
    ) -> SubmitDecision {
        let queue = self.state.configuration.queues[0].clone();
        let api_key = ApiKeyDigest::of(api_key);
        let caller = self
            .state
            .configuration
            .access
            .caller(&queue.key, Some(&api_key));
        let workspace = match caller {
            Caller::Workspace(workspace) => Some(workspace.clone()),
            Caller::Public | Caller::Unauthorized => None,
        };
        let (key, by) = (JobKey(key), (&queue, workspace.as_ref()));
        let decision = self.leader.decide_submission(key, by, &spec, &self.state);
        if decision == SubmitDecision::Propose {
            self.apply(Command::SubmitWithKey {
                job: key,
                queue: queue.key.clone(),
                spec: Arc::new(spec),
                at_ms: self.now.wall_ms,
                api_key: Some(api_key),
            });
        }
        decision
    }

    /// Returns what the runs of a workspace use and may use.
    pub(crate) fn workspace_use(&self, workspace: &str) -> WorkspaceUse {
        let mut uses = self.leader.workspace_uses();
        let found = uses.find(|(name, _)| name.as_str() == workspace);
        found.map(|(_, uses)| uses).unwrap_or_default()
    }

    /// Returns the reading of the clock of every worker.
    pub(crate) const fn worker_clock_ms(&self) -> u64 {
        self.now.steady_ms
    }

    pub(crate) const fn wall_ms(&self) -> u64 {
        self.now.wall_ms
    }

    /// Returns the most starts that one pass of the leader has requested.
    pub(crate) const fn max_starts_in_pass(&self) -> usize {
        self.max_starts_in_pass
    }

    /// Returns the number of waiting tasks that the leader holds.
    pub(crate) fn waiting_tasks(&self) -> usize {
        self.leader.task_counts().1
    }

    /// Returns the number of recorded crashes under a task.
    pub(crate) fn crashes_of(&self, task: TaskId) -> u32 {
        self.state.crashes_of(task)
    }

    pub(crate) fn status(&self, key: u64) -> Option<JobStatus> {
        self.state.jobs.get(&JobKey(key)).map(Job::status)
    }

    pub(crate) fn take_starts(&mut self) -> Vec<StartRequest> {
        std::mem::take(&mut self.starts)
    }

    pub(crate) fn take_stops(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.stops)
    }

    pub(crate) fn take_maintenance(&mut self) -> Vec<SmolStr> {
        std::mem::take(&mut self.maintenance)
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the log lines of an event since the last call for any event.
    pub(crate) fn take_log_lines(&mut self, event: &str) -> Vec<String> {
        let prefix = format!("event={event} ");
        let mut lines = std::mem::take(&mut self.log_lines);
        lines.retain(|line| line.starts_with(&prefix));
        lines
    }

    /// Returns the longest wait for a reason, in milliseconds.
    pub(crate) fn longest_wait_ms(&self, reason: WaitReason) -> u64 {
        let mut waits = self.leader.longest_waits();
        let found = waits.find(|(known, _)| *known == reason);
        found.map_or(0, |(_, longest_ms)| longest_ms)
    }

    /// Refuses a start on its worker for lack of room.
    pub(crate) fn refuse_start(&mut self, request: &StartRequest) {
        let response = WorkerResponse::Refused {
            refusal: Refusal::NoRoom,
            clock_ms: Some(self.now.steady_ms),
        };
        self.leader
            .on_start_response(request, &response, &self.state);
        self.process_effects();
    }

    fn worker(&mut self, handle: WorkerHandle) -> &mut SimulatedWorker {
        let name = self.worker_names[&handle].clone();
        self.workers
            .get_mut(&name)
            .expect("the worker has not been removed")
    }

    fn record_start(&mut self, request: &StartRequest) {
        let progress = RunProgress {
            task: request.task,
            run: request.run,
            checkpoint: SmolStr::default(),
            percent: 0,
            gauge: None,
        };
        let worker = self.worker(request.worker);
        worker.lease_until_ms = worker.lease_until_ms.max(request.deadline_ms);
        worker.running.insert(request.task, progress);
    }

    /// Carries out a start on its worker and delivers the response.
    pub(crate) fn accept_start(&mut self, request: &StartRequest) {
        self.accept_start_at(request, self.now.steady_ms);
    }

    /// Carries out a start on its worker and delivers the response with a reading of the worker's clock.
    pub(crate) fn accept_start_at(&mut self, request: &StartRequest, clock_ms: u64) {
        self.record_start(request);
        let response = WorkerResponse::Accepted { clock_ms };
        self.leader
            .on_start_response(request, &response, &self.state);
        self.process_effects();
    }

    pub(crate) fn accept_starts(&mut self, requests: &[StartRequest]) {
        for request in requests {
            self.accept_start(request);
        }
    }

    /// Carries out a start on its worker and loses the response.
    pub(crate) fn accept_start_unanswered(&mut self, request: &StartRequest) {
        self.record_start(request);
        self.lose_start_response(request);
    }

    /// Loses a start request before it reaches its worker, so that the leader gets no response.
    pub(crate) fn lose_start_response(&mut self, request: &StartRequest) {
        self.leader
            .on_start_response(request, &WorkerResponse::Unknown, &self.state);
        self.process_effects();
    }

    /// Accepts the stop of a run that its worker does not have.
    pub(crate) fn accept_stop_of_absent_run(&mut self, effect: &Effect) {
        self.accept_stop_at(effect, self.now.steady_ms);
    }

    /// Accepts a stop on its worker, and delivers the response with a reading of the worker's clock.
    pub(crate) fn accept_stop_at(&mut self, effect: &Effect, clock_ms: u64) {
        let Effect::Stop { worker, task, run } = effect else {
            panic!("the effect stops no run: {effect:?}");
        };
        let response = WorkerResponse::Accepted { clock_ms };
        self.leader
            .on_stop_response(*worker, (*task, *run), &response, &self.state);
        self.process_effects();
    }

    /// Sets the runs of long-running tasks to 100 percent and answers the polls.
    pub(crate) fn report_full_progress(&mut self, requests: &[StartRequest]) {
        for request in requests {
            let worker = self.worker(request.worker);
            worker
                .running
                .get_mut(&request.task)
                .expect("the task runs on the worker of its start")
                .percent = 100;
        }
        self.answer_polls();
    }

    /// Sets the checkpoint of a run, with which it also ends, and answers the polls.
    pub(crate) fn report_checkpoint(&mut self, request: &StartRequest, checkpoint: &str) {
        let worker = self.worker(request.worker);
        let run = worker.running.get_mut(&request.task);
        run.expect("the task runs on the worker of its start")
            .checkpoint = checkpoint.into();
        self.answer_polls();
    }

    /// Ends a run without answering a poll.
    pub(crate) fn end_unreported(&mut self, request: &StartRequest, kind: EndKind) {
        let name = self.worker_name(request);
        self.end_on_worker(&name, request, kind);
    }

    /// Ends a run on a worker, whose handle may have changed since the start, without answering a poll.
    pub(crate) fn end_on_worker(&mut self, name: &str, request: &StartRequest, kind: EndKind) {
        let worker = self
            .workers
            .get_mut(name)
            .expect("the worker has not been removed");
        let checkpoint = worker.running.remove(&request.task);
        let checkpoint = checkpoint.map_or_else(SmolStr::default, |run| run.checkpoint);
        worker.last_end_number += 1;
        let number = worker.last_end_number;
        worker.ended.push(RunEnd {
            number,
            task: request.task,
            run: request.run,
            kind,
            checkpoint,
        });
    }

    /// Returns the name of the worker that the present leader has asked to start a task.
    pub(crate) fn worker_name(&self, request: &StartRequest) -> SmolStr {
        self.worker_names[&request.worker].clone()
    }

    /// Ends a run and answers the polls.
    pub(crate) fn end_run(&mut self, request: &StartRequest, kind: EndKind) {
        self.end_unreported(request, kind);
        self.answer_polls();
    }

    /// Answers the polls in flight; polls to removed workers get no response.
    pub(crate) fn answer_polls(&mut self) {
        for _ in 0..64 {
            match self.answer_next_poll() {
                None => return,
                // Stops here, since a worker holds the remaining long polls open until a run ends.
                Some(0) if self.polls.len() >= self.workers.len() => return,
                Some(_) => {}
            }
        }
    }

    /// Answers each poll that is in flight once.
    pub(crate) fn answer_each_poll(&mut self) {
        for _ in 0..self.polls.len() {
            self.answer_next_poll();
        }
    }

    /// Answers the oldest poll in flight and returns the number of ends in the list, or `None` without
    /// a poll. A poll to a removed worker gets no response and counts as one end.
    pub(crate) fn answer_next_poll(&mut self) -> Option<usize> {
        let poll = self.polls.pop_front()?;
        self.record_worker_name(poll.worker);
        let name = self.worker_names[&poll.worker].clone();
        let clock_ms = self.now.steady_ms;
        let reachable = self.workers.get_mut(&name);
        let reachable = reachable.filter(|_| !self.cut_off.contains(&name));
        let list = reachable.map(|worker| {
            let granted_ms = poll.deadline_ms.unwrap_or(0);
            worker.lease_until_ms = worker.lease_until_ms.max(granted_ms);
            worker
                .ended
                .retain(|end| end.number > poll.acknowledged_upto);
            RunList {
                clock_ms,
                started_at_ms: worker.started_at_ms,
                running: worker.running.values().cloned().collect(),
                ended: worker
                    .ended
                    .iter()
                    .take(RunList::MAX_ENDS)
                    .cloned()
                    .collect(),
            }
        });
        let ends = list.as_ref().map_or(1, |list| list.ended.len());
        let response = list.ok_or(WorkerResponse::Unknown);
        self.leader
            .on_poll_response(poll.worker, poll.channel, response, &self.state);
        self.process_effects();
        Some(ends)
    }

    /// Fails the poll of the worker that received a start.
    pub(crate) fn fail_poll(&mut self, request: &StartRequest) {
        let position = self
            .polls
            .iter()
            .position(|poll| poll.worker == request.worker);
        let poll = position.and_then(|position| self.polls.remove(position));
        let poll = poll.expect("a poll of the worker is in flight");
        self.leader.on_poll_response(
            poll.worker,
            poll.channel,
            Err(WorkerResponse::Unknown),
            &self.state,
        );
        self.process_effects();
    }

    /// Removes a worker without deregistering it; returns the tasks that ran on it.
    pub(crate) fn remove_worker(&mut self, name: &str) -> Vec<TaskId> {
        let worker = self
            .workers
            .remove(name)
            .expect("the worker has not been removed");
        worker.running.into_keys().collect()
    }

    /// Ends all runs on a worker as done and answers the polls.
    pub(crate) fn complete_runs(&mut self, name: &str) {
        let worker = self
            .workers
            .get_mut(name)
            .expect("the worker has not been removed");
        for (task, progress) in std::mem::take(&mut worker.running) {
            worker.last_end_number += 1;
            worker.ended.push(RunEnd {
                number: worker.last_end_number,
                task,
                run: progress.run,
                kind: EndKind::Done,
                checkpoint: SmolStr::default(),
            });
        }
        self.answer_polls();
    }

    /// Adds a worker and lets the leader read its run list.
    pub(crate) fn start_ready_worker(&mut self) {
        let name = format_smolstr!("i-{}", self.workers.len());
        self.workers.insert(name, SimulatedWorker::default());
        self.send_heartbeats();
        self.answer_polls();
    }

    /// Adds the run list of a worker that the leader knows by a heartbeat, and lets the leader read it.
    pub(crate) fn add_run_list(&mut self, name: &str, started_at_ms: u64) {
        let worker = SimulatedWorker {
            started_at_ms,
            ..SimulatedWorker::default()
        };
        self.workers.insert(name.into(), worker);
        self.answer_polls();
    }

    /// Stops the heartbeats of the worker that received a start.
    pub(crate) fn silence_worker(&mut self, request: &StartRequest) {
        let name = self.worker_name(request);
        self.silent.push(name);
    }

    /// Lets silent workers send heartbeats again.
    pub(crate) fn end_silence(&mut self) {
        self.silent.clear();
    }

    /// Fails the polls of silent workers.
    pub(crate) fn fail_polls_of_silent_workers(&mut self) {
        for poll in std::mem::take(&mut self.polls) {
            self.record_worker_name(poll.worker);
            if self.silent.contains(&self.worker_names[&poll.worker]) {
                let no_response = Err(WorkerResponse::Unknown);
                self.leader
                    .on_poll_response(poll.worker, poll.channel, no_response, &self.state);
                self.process_effects();
            } else {
                self.polls.push_back(poll);
            }
        }
    }

    /// Replaces the leader by a new one, which is created from the replicated state only.
    pub(crate) fn change_leader(&mut self) {
        self.state.apply(Command::Lead);
        self.leader = Leader::new(LeaderSettings::default(), self.now, &self.state);
        self.worker_names.clear();
        self.polls.clear();
        self.advice_requests.clear();
        self.log.clear();
        self.starts.clear();
        self.leader.tick(&self.state);
        self.process_effects();
    }

    /// Commits the oldest proposed commands while commits are paused, replaces the leader, and commits what the new one
    /// proposes; returns whether there were that many.
    pub(crate) fn change_leader_after(&mut self, committed: usize) -> bool {
        let count = self.commit_proposed(committed);
        self.commits_enabled = true;
        self.change_leader();
        count == committed
    }

    /// Delivers an instance list with one instance per worker.
    pub(crate) fn list_instances(&mut self) {
        let names = self.workers.keys().enumerate();
        let listed = names.map(|(number, name)| ListedInstance {
            worker: Some(name.clone()),
            ..up_instance(&format!("m-{number}"), POOL)
        });
        let listed: Vec<_> = listed.collect();
        self.deliver_instance_list(&listed);
    }

    /// Delivers an instance list that was requested just now.
    pub(crate) fn deliver_instance_list(&mut self, listed: &[ListedInstance]) {
        self.deliver_instance_list_requested_at(self.now.steady_ms, listed);
    }

    /// Delivers an instance list that was requested at an earlier time.
    pub(crate) fn deliver_instance_list_requested_at(
        &mut self,
        requested_at_ms: u64,
        listed: &[ListedInstance],
    ) {
        let list = InstanceList {
            requested_at_ms,
            instances: listed.to_vec(),
        };
        self.leader.on_instance_list(&list, &self.state);
        self.process_effects();
    }

    /// Starts a wave with a `max_down` of one.
    pub(crate) fn start_wave(&mut self, instances: &[&str]) {
        self.start_wave_with_limit(instances, 1);
    }

    /// Starts wave 1; commits it even while commits are paused.
    pub(crate) fn start_wave_with_limit(&mut self, instances: &[&str], max_down: u32) {
        let plan = Wave {
            instances: instances.iter().map(SmolStr::new).collect(),
            duration_ms: 20_000,
            max_down,
            ..Wave::default()
        };
        let previously_enabled = std::mem::replace(&mut self.commits_enabled, true);
        self.apply(Command::StartWave { wave: 1, plan });
        self.commits_enabled = previously_enabled;
    }

    /// Returns the leader's steady clock.
    pub(crate) fn steady_ms(&self) -> u64 {
        self.now.steady_ms
    }

    pub(crate) fn respond_to_maintenance(
        &mut self,
        instance: &SmolStr,
        response: InstanceResponse,
    ) {
        self.leader
            .on_maintenance_response(1, instance, response, &self.state);
        self.process_effects();
    }
}

/// Returns the number of the instance of a worker, which follows the first hyphen of its name.
pub(crate) fn instance_number(name: &str) -> usize {
    let number = name.split('-').nth(1).and_then(|text| text.parse().ok());
    number.expect("the name of a worker holds the number of its instance")
}

/// Returns an instance that is up and for which the list names no worker.
pub(crate) fn up_instance(instance: &str, pool: &str) -> ListedInstance {
    ListedInstance {
        instance: instance.into(),
        pool: pool.into(),
        worker: None,
        up: true,
        is_unavailable: false,
        in_maintenance: false,
    }
}

fn configuration() -> Configuration {
    let pool = |name: &str, standby| Pool {
        name: name.into(),
        refuses_overload: true,
        standby,
    };
    Configuration {
        version: 1,
        document: b"{}".to_vec(),
        queues: vec![Queue {
            name: "render".into(),
            key: QueueKey {
                host: HOST.into(),
                path_prefix: PREFIX.into(),
            },
            pool: POOL.into(),
            call_timeout_ms: 3_000,
            latency_target_ms: 600,
            attempts: ATTEMPTS,
            stretch_millis: 1_600,
            ..Queue::default()
        }],
        pools: vec![pool(POOL, false), pool(STANDBY, true)],
        ..Configuration::default()
    }
}
