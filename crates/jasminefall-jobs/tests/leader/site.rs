//! A leader with modelled workers and a log that commits when it is told to.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use jasminefall_jobs::leader::{
    Effect, InstanceAnswer, Leader, LeaderSettings, ListedInstance, LookOrder, Now, StartOrder,
    WorkerHandle,
};
use jasminefall_jobs::prelude::*;
use smol_str::{SmolStr, format_smolstr};

pub(crate) const ATTEMPTS: u32 = 3;
pub(crate) const POOL: &str = "render";
pub(crate) const STANDBY: &str = "spare";
const HOST: &str = "queue.example";
const PREFIX: &str = "/render/";

/// Returns a job of steps with so many tasks each.
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
pub(crate) fn lasting(tasks: u32) -> JobSpec {
    let mut job = job(&[tasks], 500);
    job.steps[0].long_running = true;
    job
}

/// Returns the name of a task of a job without occurrences.
pub(crate) const fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId {
        job: JobKey(job),
        occurrence: 0,
        step,
        index,
    }
}

/// Models a worker by the page of its interface.
#[derive(Debug, Default, Clone)]
struct ModelledWorker {
    running: BTreeMap<TaskId, RunRow>,
    ended: Vec<RunEnd>,
    ends: u64,
}

/// Holds a leader, its state, and the workers.
pub(crate) struct Site {
    pub(crate) state: JobsState,
    leader: Leader,
    now: Now,
    workers: BTreeMap<SmolStr, ModelledWorker>,
    names: BTreeMap<WorkerHandle, SmolStr>,
    looks: VecDeque<LookOrder>,
    starts: Vec<StartOrder>,
    stops: Vec<TaskId>,
    maintenance: Vec<SmolStr>,
    seen: Vec<Effect>,
    log: VecDeque<Command>,
    commits: bool,
    silent: Vec<SmolStr>,
}

impl Site {
    /// Creates a site with so many workers of 16 cores in one pool.
    pub(crate) fn new(workers: usize) -> Self {
        Self::with_settings(workers, LeaderSettings::default())
    }

    /// Creates such a site with a leader that goes by other settings.
    pub(crate) fn with_settings(workers: usize, settings: LeaderSettings) -> Self {
        let mut state = JobsState::default();
        state.apply(Command::Configure(Arc::new(configuration())));
        state.apply(Command::Lead);
        let now = Now {
            steady_ms: 100_000,
            wall_ms: 1_000_000,
        };
        let leader = Leader::new(settings, now, &state);
        let mut site = Self {
            state,
            leader,
            now,
            workers: BTreeMap::new(),
            names: BTreeMap::new(),
            looks: VecDeque::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            maintenance: Vec::new(),
            seen: Vec::new(),
            log: VecDeque::new(),
            commits: true,
            silent: Vec::new(),
        };
        for number in 0..workers {
            let name = format_smolstr!("i-{number}");
            site.workers.insert(name, ModelledWorker::default());
        }
        site.beat();
        site.answer_looks();
        // Orders about instances wait until no earlier leader's can be under way.
        site.pass(4_000);
        site.answer_looks();
        site
    }

    fn heartbeat(&self, number: usize, name: &SmolStr) -> Heartbeat {
        Heartbeat {
            life: LifeId {
                worker: name.clone(),
                born_ms: 1,
            },
            instance: Some(format_smolstr!("m-{number}")),
            pool: POOL.into(),
            address: format_smolstr!("10.0.0.{number}:80"),
            capacity: Resources {
                cpu_millis: 16_000,
                memory_mb: 32_000,
                gpus: 0,
            },
            clock_ms: self.now.steady_ms,
            sequence: self.now.steady_ms,
            ..Heartbeat::default()
        }
    }

    /// Lets a worker speak of another address or a later life than the site models.
    pub(crate) fn hear(&mut self, number: usize, changed: impl FnOnce(&mut Heartbeat)) -> bool {
        let name = format_smolstr!("i-{number}");
        let mut heartbeat = self.heartbeat(number, &name);
        heartbeat.sequence += 1;
        changed(&mut heartbeat);
        let known = self.leader.take_heartbeat(heartbeat, &self.state);
        self.settle();
        known
    }

    /// Lets another worker begin, and say so.
    pub(crate) fn add_worker(&mut self) {
        let name = format_smolstr!("i-{}", self.workers.len());
        self.workers.insert(name, ModelledWorker::default());
        self.beat();
    }

    /// Lets a worker leave, and beat no more.
    pub(crate) fn depart(&mut self, name: &str) {
        self.silent.push(name.into());
        self.leader.take_departure(name, &self.state);
        self.settle();
    }

    /// Returns how many workers the leader knows.
    pub(crate) fn worker_count(&self) -> usize {
        self.leader.worker_count()
    }

    /// Lets every worker say that it is there.
    pub(crate) fn beat(&mut self) {
        let names: Vec<_> = self.workers.keys().cloned().enumerate().collect();
        for (number, name) in names {
            if self.silent.contains(&name) {
                continue;
            }
            let heartbeat = self.heartbeat(number, &name);
            self.leader.take_heartbeat(heartbeat, &self.state);
        }
        self.settle();
    }

    /// Lets time pass in steps, with heartbeats.
    pub(crate) fn pass(&mut self, passes_ms: u64) {
        for step in 0..passes_ms.div_ceil(50) {
            self.now.steady_ms += 50;
            self.now.wall_ms += 50;
            self.leader.set_now(self.now);
            if step % 20 == 0 {
                self.beat();
            }
            self.leader.tick(&self.state);
            self.settle();
        }
    }

    fn settle(&mut self) {
        loop {
            self.leader.place(&self.state);
            let effects = self.leader.take_effects();
            self.leader.take_log();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.take(effect);
            }
            self.apply_log();
        }
    }

    fn take(&mut self, effect: Effect) {
        self.seen.push(effect.clone());
        match effect {
            Effect::Propose(command) => self.log.push_back(command),
            Effect::Start(order) => {
                self.learn(order.worker);
                self.starts.push(order);
            }
            Effect::Stop { task, .. } => self.stops.push(task),
            Effect::Look(order) => {
                self.learn(order.worker);
                self.looks.push_back(order);
            }
            Effect::Maintain { instance, .. } => self.maintenance.push(instance),
            // The standby pool takes other instances only, so that each test keeps its own.
            Effect::Move { instance, pool } => {
                let answer = InstanceAnswer::Impossible;
                self.leader
                    .take_move_answer(&instance, &pool, answer, &self.state);
            }
            Effect::Pace { .. } | Effect::Advise { .. } | Effect::ListInstances => {}
        }
    }

    fn learn(&mut self, handle: WorkerHandle) {
        if let Some(worker) = self.leader.worker(handle) {
            self.names.insert(handle, worker.life().worker.clone());
        }
    }

    fn apply_log(&mut self) {
        while self.commits
            && let Some(command) = self.log.pop_front()
        {
            self.state.apply(command.clone());
            self.leader.take_applied(&command, &self.state);
        }
    }

    /// Commits nothing until told otherwise.
    pub(crate) fn hold_commits(&mut self) {
        self.commits = false;
    }

    /// Commits what has been proposed, and goes on committing.
    pub(crate) fn commit_all(&mut self) {
        self.commits = true;
        self.apply_log();
        self.settle();
    }

    /// Commits a command of somebody else.
    pub(crate) fn apply(&mut self, command: Command) {
        self.state.apply(command.clone());
        self.leader.take_applied(&command, &self.state);
        self.settle();
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

    pub(crate) fn status(&self, key: u64) -> Option<JobStatus> {
        self.state.jobs.get(&JobKey(key)).map(Job::status)
    }

    pub(crate) fn take_starts(&mut self) -> Vec<StartOrder> {
        std::mem::take(&mut self.starts)
    }

    pub(crate) fn take_stops(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.stops)
    }

    pub(crate) fn take_maintenance(&mut self) -> Vec<SmolStr> {
        std::mem::take(&mut self.maintenance)
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.seen)
    }

    fn worker(&mut self, handle: WorkerHandle) -> &mut ModelledWorker {
        let name = self.names[&handle].clone();
        self.workers.get_mut(&name).expect("the worker is modelled")
    }

    fn run(&mut self, order: &StartOrder) {
        let row = RunRow {
            task: order.task,
            run: order.run,
            checkpoint: SmolStr::default(),
            percent: 0,
            gauge: None,
        };
        self.worker(order.worker).running.insert(order.task, row);
    }

    /// Carries a start out and lets its answer arrive.
    pub(crate) fn accept(&mut self, order: &StartOrder) {
        self.run(order);
        let clock_ms = self.now.steady_ms;
        let answer = OrderAnswer::Accepted { clock_ms };
        self.leader.take_start_answer(order, &answer, &self.state);
        self.settle();
    }

    pub(crate) fn accept_all(&mut self, orders: &[StartOrder]) {
        for order in orders {
            self.accept(order);
        }
    }

    /// Lets a start be lost on its way, its answer with it.
    pub(crate) fn lose_answer(&mut self, order: &StartOrder) {
        self.leader
            .take_start_answer(order, &OrderAnswer::Unknown, &self.state);
        self.settle();
    }

    /// Lets tasks that last be wholly at work, and be seen so.
    pub(crate) fn at_work(&mut self, orders: &[StartOrder]) {
        for order in orders {
            let worker = self.worker(order.worker);
            worker
                .running
                .get_mut(&order.task)
                .expect("the task runs")
                .percent = 100;
        }
        self.answer_looks();
    }

    /// Ends a run without a word to the leader.
    pub(crate) fn end_unheard(&mut self, order: &StartOrder, kind: EndKind) {
        let worker = self.worker(order.worker);
        worker.running.remove(&order.task);
        worker.ends += 1;
        let number = worker.ends;
        worker.ended.push(RunEnd {
            number,
            task: order.task,
            run: order.run,
            kind,
            checkpoint: SmolStr::default(),
        });
    }

    /// Ends a run and lets the leader read it.
    pub(crate) fn end(&mut self, order: &StartOrder, kind: EndKind) {
        self.end_unheard(order, kind);
        self.answer_looks();
    }

    /// Answers every look that is under way.
    pub(crate) fn answer_looks(&mut self) {
        for _ in 0..64 {
            let Some(look) = self.looks.pop_front() else {
                return;
            };
            self.learn(look.worker);
            if !self.workers.contains_key(&self.names[&look.worker]) {
                let unanswered = Err(OrderAnswer::Unknown);
                self.leader
                    .take_look(look.worker, look.lane, unanswered, &self.state);
                self.settle();
                continue;
            }
            let clock_ms = self.now.steady_ms;
            let worker = self.worker(look.worker);
            worker
                .ended
                .retain(|end| end.number > look.acknowledged_upto);
            let list = RunList {
                clock_ms,
                born_ms: 1,
                running: worker.running.values().cloned().collect(),
                ended: worker.ended.clone(),
            };
            let nothing_new = list.ended.is_empty();
            self.leader
                .take_look(look.worker, look.lane, Ok(list), &self.state);
            self.settle();
            // A look that found nothing would be held open; the next one waits to be answered.
            if nothing_new && self.looks.len() >= self.workers.len() {
                return;
            }
        }
    }

    /// Lets the look at the worker that got a start go without an answer.
    pub(crate) fn fail_look_at(&mut self, order: &StartOrder) {
        let position = self
            .looks
            .iter()
            .position(|look| look.worker == order.worker);
        let look = position.and_then(|position| self.looks.remove(position));
        let look = look.expect("a look is under way");
        self.leader.take_look(
            look.worker,
            look.lane,
            Err(OrderAnswer::Unknown),
            &self.state,
        );
        self.settle();
    }

    /// Takes a worker away for good, without a word; returns the tasks that ran there.
    pub(crate) fn forget_worker(&mut self, name: &str) -> Vec<TaskId> {
        let worker = self.workers.remove(name).expect("the worker is modelled");
        worker.running.into_keys().collect()
    }

    /// Ends everything that runs on a worker as done, and lets the leader read it.
    pub(crate) fn end_running(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("the worker is modelled");
        for (task, row) in std::mem::take(&mut worker.running) {
            worker.ends += 1;
            worker.ended.push(RunEnd {
                number: worker.ends,
                task,
                run: row.run,
                kind: EndKind::Done,
                checkpoint: SmolStr::default(),
            });
        }
        self.answer_looks();
    }

    /// Lets one more worker join and be read.
    pub(crate) fn join(&mut self) {
        let name = format_smolstr!("i-{}", self.workers.len());
        self.workers.insert(name, ModelledWorker::default());
        self.beat();
        self.answer_looks();
    }

    /// Lets the worker that got a start fall silent.
    pub(crate) fn silence(&mut self, order: &StartOrder) {
        let name = self.names[&order.worker].clone();
        self.silent.push(name);
    }

    /// Lets looks at silent workers go without an answer.
    pub(crate) fn fail_looks_at_silent(&mut self) {
        for look in std::mem::take(&mut self.looks) {
            self.learn(look.worker);
            if self.silent.contains(&self.names[&look.worker]) {
                let unanswered = Err(OrderAnswer::Unknown);
                self.leader
                    .take_look(look.worker, look.lane, unanswered, &self.state);
                self.settle();
            } else {
                self.looks.push_back(look);
            }
        }
    }

    /// Lets another replica take the lead; it knows the state and nothing else.
    pub(crate) fn change_leader(&mut self) {
        self.state.apply(Command::Lead);
        self.leader = Leader::new(LeaderSettings::default(), self.now, &self.state);
        self.names.clear();
        self.looks.clear();
        self.log.clear();
        self.starts.clear();
        self.leader.tick(&self.state);
        self.settle();
    }

    /// Lets the leader read which instances there are.
    pub(crate) fn list_instances(&mut self) {
        let names = self.workers.keys().enumerate();
        let listed = names.map(|(number, name)| ListedInstance {
            worker: Some(name.clone()),
            ..listed(&format!("m-{number}"), POOL)
        });
        let listed: Vec<_> = listed.collect();
        self.list(&listed);
    }

    pub(crate) fn list(&mut self, listed: &[ListedInstance]) {
        self.leader.take_instances(listed, &self.state);
        self.settle();
    }

    /// Asks for a wave in which one instance may be down at once.
    pub(crate) fn start_wave(&mut self, instances: &[&str]) {
        self.start_wave_of(instances, 1);
    }

    pub(crate) fn start_wave_of(&mut self, instances: &[&str], max_down: u32) {
        let plan = Wave {
            instances: instances.iter().map(SmolStr::new).collect(),
            duration_ms: 20_000,
            max_down,
            ..Wave::default()
        };
        let held = std::mem::replace(&mut self.commits, true);
        self.state.apply(Command::StartWave { wave: 1, plan });
        self.commits = held;
    }

    pub(crate) fn answer_maintenance(&mut self, instance: &SmolStr, answer: InstanceAnswer) {
        self.leader
            .take_maintenance_answer(1, instance, answer, &self.state);
        self.settle();
    }
}

/// Returns an instance that is up and carries no worker that the list names.
pub(crate) fn listed(instance: &str, pool: &str) -> ListedInstance {
    ListedInstance {
        instance: instance.into(),
        pool: pool.into(),
        worker: None,
        up: true,
        is_away: false,
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
