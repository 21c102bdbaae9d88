//! Executors: they take orders, hold leases, run work items and list their runs and ends.
//!
//! The `spec` of a job tells a stand-in how its work items behave, as `key=value` pairs joined by `;`:
//! `work` is the duration in milliseconds (work that lasts has none), `cpu` and `mem` are the room of a work
//! item, `save` is the checkpoint interval in milliseconds, and `gang` is the number of members of a gang.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Reply, Request, Server, call};
use crate::record::Record;
use crate::site::{GANG_TIMEOUT_MS, HEARTBEAT_MS, HOLD_MAX_MS, RESTORE_MS};

const TICK: Duration = Duration::from_millis(4);
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);
const MAX_LISTED_ENDS: usize = 500;
/// How long a stop takes; the pages allow 900 ms.
const STOP_TAKES_MS: u64 = 600;
const CPU: u64 = 16_000;
const MEM_MB: u64 = 32_768;

#[derive(Debug, Clone, Default)]
struct Spec {
    work_ms: Option<u64>,
    cpu: u64,
    mem_mb: u64,
    save_ms: u64,
    gang: usize,
}

impl Spec {
    fn parse(text: &str) -> Self {
        let mut spec = Self::default();
        for (key, value) in text.split(';').filter_map(|pair| pair.split_once('=')) {
            let number: u64 = value.parse().unwrap_or(0);
            match key {
                "work" => spec.work_ms = Some(number),
                "cpu" => spec.cpu = number,
                "mem" => spec.mem_mb = number,
                "save" => spec.save_ms = number,
                "gang" => spec.gang = number as usize,
                _ => {}
            }
        }
        spec
    }
}

#[derive(Debug, Clone)]
struct Run {
    number: u64,
    spec: Spec,
    since: Instant,
    /// When the work began or goes on; `None` while a member of a gang waits for the others.
    works_since: Option<Instant>,
    /// The value that the start carried.
    resumed: String,
    stop_at: Option<Instant>,
}

impl Run {
    fn progress_ms(&self, now: Instant) -> u64 {
        let resumed_ms = self.resumed.get(..8);
        let resumed_ms = resumed_ms.and_then(|text| u64::from_str_radix(text, 16).ok());
        let worked = self
            .works_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let restore_ms = if self.resumed.is_empty() {
            0
        } else {
            RESTORE_MS
        };
        resumed_ms.unwrap_or(0) + (worked.as_millis() as u64).saturating_sub(restore_ms)
    }

    /// Returns the latest checkpoint; one is made at each interval, and at a stop.
    fn saved(&self, task: &str, now: Instant, at_stop: bool) -> String {
        let interval_ms = self.spec.save_ms;
        let progress_ms = self.progress_ms(now);
        if interval_ms == 0 || self.works_since.is_none() {
            return self.resumed.clone();
        }
        let saved_ms = if at_stop {
            progress_ms
        } else {
            progress_ms / interval_ms * interval_ms
        };
        let job = task.get(..8).unwrap_or_default();
        if saved_ms == 0 {
            String::new()
        } else {
            format!("{saved_ms:08x}{job}").max(self.resumed.clone())
        }
    }

    fn percent(&self, now: Instant) -> u64 {
        match self.spec.work_ms {
            Some(work_ms) => self.progress_ms(now) * 100 / work_ms.max(1),
            None => (now.saturating_duration_since(self.since).as_millis() as u64 / 5).min(100),
        }
    }
}

/// What the platform lists of a machine.
pub struct Machine {
    pub name: String,
    pub pool: String,
    pub up: bool,
    pub executor: String,
    pub labels: Vec<String>,
    pub capacity: Value,
}

/// One executor; a crash ends its life, and the next life holds and knows nothing of before.
struct Executor {
    id: String,
    machine: String,
    pool: String,
    labels: Vec<String>,
    address: SocketAddr,
    up: bool,
    born_ms: u64,
    born: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    highest: BTreeMap<String, u64>,
    sequence: u64,
    heartbeat_to: Option<SocketAddr>,
    server: Option<Server>,
}

impl Executor {
    fn clock_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.born).as_millis() as u64
    }

    fn list(&self, now: Instant) -> Value {
        let running = self.running.iter().map(|(task, run)| {
            json!([
                task,
                run.number,
                run.saved(task, now, false),
                run.percent(now),
                run.spec.cpu
            ])
        });
        let ended = self.ended.iter().take(MAX_LISTED_ENDS);
        let ended =
            ended.map(|(number, task, run, how, saved)| json!([number, task, run, how, saved]));
        json!({ "clock_ms": self.clock_ms(now), "born": self.born_ms,
            "running": running.collect::<Vec<_>>(), "ended": ended.collect::<Vec<_>>() })
    }
}

/// What the executors have seen of one run.
#[derive(Debug, Clone)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub executor: String,
    pub began_s: f64,
    pub ended_s: Option<f64>,
    pub how: &'static str,
    /// When an order took note of the end.
    pub noted_s: Option<f64>,
}

/// An order that gets no answer and is carried out later.
struct LateStart {
    job: String,
    after: Duration,
    executor: Option<usize>,
}

struct State {
    executors: Vec<Executor>,
    seen: Vec<Seen>,
    late: Option<LateStart>,
    answer_delay_ms: Option<(u64, u64)>,
    random: u64,
}

#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
    controls: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Fleet {
    pub fn new(record: Arc<Record>, controls: Vec<SocketAddr>) -> Self {
        let state = State {
            executors: Vec::new(),
            seen: Vec::new(),
            late: None,
            answer_delay_ms: None,
            random: u64::from(std::process::id()) * 0x9e37_79b9_7f4a_7c15 | 1,
        };
        let fleet = Self {
            state: Arc::new(Mutex::new(state)),
            record,
            controls,
            stopped: Arc::default(),
        };
        let ticking = fleet.clone();
        thread::spawn(move || {
            while !ticking.is_stopped() {
                ticking.tick();
                sleep(TICK);
            }
        });
        fleet
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Adds an executor of a service and starts it.
    pub fn add(&self, pool: &str, kind: &str, address: SocketAddr) -> Result<usize, String> {
        let position = {
            let mut state = self.lock();
            let number = state.executors.len();
            state.executors.push(Executor {
                id: format!("i-{number:08x}"),
                machine: format!("m-{number:05x}"),
                pool: pool.to_owned(),
                labels: vec![kind.to_owned(), format!("r1-{}", number / 4)],
                address,
                up: false,
                born_ms: 0,
                born: Instant::now(),
                fence: 0,
                lease_until_ms: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                highest: BTreeMap::new(),
                sequence: 0,
                heartbeat_to: None,
                server: None,
            });
            number
        };
        self.begin_life(position)?;
        let beating = self.clone();
        thread::spawn(move || beating.send_heartbeats(position));
        Ok(position)
    }

    /// Starts the next life of an executor, under the same id.
    pub fn begin_life(&self, position: usize) -> Result<(), String> {
        let fleet = self.clone();
        let handler = Arc::new(move |request: Request| fleet.handle(position, &request));
        let (address, silent) = {
            let mut state = self.lock();
            let executor = &mut state.executors[position];
            (executor.address, executor.server.take())
        };
        drop(silent);
        let server = Server::start(address, handler).map_err(|error| error.to_string())?;
        let mut state = self.lock();
        let executor = &mut state.executors[position];
        executor.up = true;
        executor.born_ms = unix_ms();
        executor.born = Instant::now();
        executor.fence = 0;
        executor.lease_until_ms = 0;
        executor.running.clear();
        executor.ended.clear();
        executor.last_end = 0;
        executor.highest.clear();
        executor.sequence = 0;
        executor.heartbeat_to = None;
        executor.server = Some(server);
        let line = format!("executor {} of {} is up", executor.id, executor.pool);
        drop(state);
        self.record.line(line);
        Ok(())
    }

    /// Crashes an executor whose machine falls silent: its channels stay open without an answer.
    pub fn crash_dark(&self, position: usize) {
        let mut state = self.lock();
        let executor = &mut state.executors[position];
        executor.up = false;
        self.record.line(format_args!(
            "executor {} crashes and falls silent",
            executor.id
        ));
        let tasks: Vec<String> = executor.running.keys().cloned().collect();
        for task in tasks {
            self.end(&mut state, position, &task, "lost");
        }
    }

    /// Crashes an executor: everything on it ends, and nothing is listed any more.
    pub fn crash(&self, position: usize) {
        let server = {
            let mut state = self.lock();
            let executor = &mut state.executors[position];
            executor.up = false;
            self.record
                .line(format_args!("executor {} ends at once", executor.id));
            let tasks: Vec<String> = executor.running.keys().cloned().collect();
            let server = executor.server.take();
            for task in tasks {
                self.end(&mut state, position, &task, "lost");
            }
            server
        };
        drop(server);
    }

    /// Makes the first start order for a job get no answer, and be carried out after this time.
    pub fn answer_start_late(&self, job: &str, after: Duration) {
        self.lock().late = Some(LateStart {
            job: job.to_owned(),
            after,
            executor: None,
        });
    }

    /// Returns the executor whose start order is carried out late.
    pub fn late_executor(&self) -> Option<usize> {
        self.lock().late.as_ref()?.executor
    }

    /// Sets how long the executors take to answer each call.
    pub fn set_answer_delay(&self, range_ms: (u64, u64)) {
        self.lock().answer_delay_ms = Some(range_ms);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Returns the control address that heartbeats are sent to by now.
    pub fn heartbeat_receiver(&self) -> Option<SocketAddr> {
        let state = self.lock();
        state
            .executors
            .iter()
            .find_map(|executor| executor.heartbeat_to)
    }

    /// Returns the position of the executor that runs a work item of a job, if any.
    pub fn running_on(&self, task: &str) -> Option<usize> {
        let state = self.lock();
        let mut executors = state.executors.iter();
        executors.position(|executor| executor.running.contains_key(task))
    }

    /// Returns the number of work items of a job that run now.
    pub fn running_of(&self, job: &str) -> usize {
        let state = self.lock();
        let running = state
            .executors
            .iter()
            .flat_map(|executor| executor.running.keys());
        running.filter(|task| task.starts_with(job)).count()
    }

    /// Returns the processor room in use and in all, in thousandths of a core, of the executors that are up.
    pub fn room(&self) -> (u64, u64) {
        let state = self.lock();
        let up = state.executors.iter().filter(|executor| executor.up);
        up.fold((0, 0), |(used, all), executor| {
            let runs = executor.running.values();
            let cpu: u64 = runs.map(|run| run.spec.cpu).sum();
            (used + cpu, all + CPU)
        })
    }

    /// Starts another executor on the machine of one that has ended.
    pub fn begin_new_executor(&self, position: usize) -> Result<(), String> {
        self.lock().executors[position].id.push('n');
        self.begin_life(position)
    }

    /// Returns the machines as the platform sees them.
    pub fn machines(&self) -> Vec<Machine> {
        let state = self.lock();
        let machines = state.executors.iter().map(|executor| Machine {
            name: executor.machine.clone(),
            pool: executor.pool.clone(),
            up: executor.up,
            executor: executor.id.clone(),
            labels: executor.labels.clone(),
            capacity: json!({ "cpu": CPU, "mem_mb": MEM_MB, "gpu": 0 }),
        });
        machines.collect()
    }

    /// Returns the id and the start of the executor that was added last.
    pub fn last_life(&self) -> Option<(String, u64)> {
        let state = self.lock();
        let executor = state.executors.last()?;
        Some((executor.id.clone(), executor.born_ms))
    }

    /// Returns the position of the executor on a machine.
    pub fn position_of(&self, machine: &str) -> Option<usize> {
        let state = self.lock();
        let mut executors = state.executors.iter();
        executors.position(|executor| executor.machine == machine)
    }

    /// Returns the number of executors.
    pub fn count(&self) -> usize {
        self.lock().executors.len()
    }

    /// Returns whether a check-in of each executor has been acknowledged.
    pub fn all_acknowledged(&self) -> bool {
        let state = self.lock();
        let mut executors = state.executors.iter();
        executors.all(|executor| executor.heartbeat_to.is_some())
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let servers: Vec<_> = {
            let mut state = self.lock();
            let executors = state.executors.iter_mut();
            executors.map(|executor| executor.server.take()).collect()
        };
        drop(servers);
    }

    fn send_heartbeats(&self, position: usize) {
        let mut next_control = position;
        while !self.is_stopped() {
            let beat = {
                let mut state = self.lock();
                let executor = &mut state.executors[position];
                executor.sequence += 1;
                executor.up.then(|| {
                    let body = json!({ "backend": executor.pool, "address": executor.address.to_string(),
                        "zone": "port-louis", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                        "capacity": { "cpu": CPU, "mem_mb": MEM_MB, "gpu": 0 }, "labels": executor.labels,
                        "clock_ms": executor.clock_ms(Instant::now()), "sequence": executor.sequence,
                        "born": executor.born_ms, "machine": executor.machine });
                    (format!("/Instances.Heartbeat/{}", executor.id), body, executor.heartbeat_to, executor.born_ms)
                })
            };
            let Some((path, body, to, born_ms)) = beat else {
                sleep(Duration::from_millis(50));
                continue;
            };
            let to = to.unwrap_or_else(|| {
                next_control += 1;
                self.controls[next_control % self.controls.len()]
            });
            let answer = call(to, "POST", &path, &to.to_string(), &body, HEARTBEAT_LIMIT);
            let mut state = self.lock();
            let executor = &mut state.executors[position];
            if executor.born_ms != born_ms {
                continue;
            }
            if let Some((200..=299, body)) = answer {
                let next = body["heartbeat_addr"]
                    .as_str()
                    .and_then(|text| text.parse().ok());
                executor.heartbeat_to = next.or(executor.heartbeat_to);
                drop(state);
                let until = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
                while Instant::now() < until && !self.is_stopped() {
                    sleep(Duration::from_millis(20));
                    let state = self.lock();
                    if !state.executors[position].up || state.executors[position].born_ms != born_ms
                    {
                        break;
                    }
                }
            } else {
                executor.heartbeat_to = None;
                drop(state);
                sleep(Duration::from_millis(20));
            }
        }
    }

    /// Waits as long as an executor takes to answer a call.
    fn delay_answer(&self) {
        let delay_ms = {
            let mut state = self.lock();
            let Some((min_ms, max_ms)) = state.answer_delay_ms else {
                return;
            };
            state.random ^= state.random << 13;
            state.random ^= state.random >> 7;
            state.random ^= state.random << 17;
            min_ms + state.random % (max_ms - min_ms + 1)
        };
        sleep(Duration::from_millis(delay_ms));
    }

    fn handle(&self, position: usize, request: &Request) -> Reply {
        self.delay_answer();
        let body = request.json();
        if request.path == "/run-start" && self.defer(position, request) {
            return Reply::Silence;
        }
        let is_target = {
            let state = self.lock();
            let executor = &state.executors[position];
            if !executor.up {
                return Reply::Silence;
            }
            let target = request.headers.get("target-instance");
            target.is_none_or(|target| *target == executor.id)
        };
        if !is_target {
            return Reply::Answer(421, json!({}));
        }
        match request.path.as_str() {
            "/run-start" => self.start(position, &body),
            "/run-stop" => self.stop_run(position, &body),
            "/hold" => self.hold(position, &body),
            "/pace" => self.pace(position, &body),
            _ => Reply::Answer(404, json!({})),
        }
    }

    /// Defers a start order that is to be carried out late; returns whether it is one.
    fn defer(&self, position: usize, request: &Request) -> bool {
        let body = request.json();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        let Some(late) = &mut state.late else {
            return false;
        };
        if late.executor.is_some() || !task.starts_with(&late.job) {
            return false;
        }
        late.executor = Some(position);
        let after = late.after;
        drop(state);
        self.record.line(format_args!(
            "start {task} run {} to executor {position} gets no answer; it is carried out {} ms later",
            body["run"],
            after.as_millis()
        ));
        let fleet = self.clone();
        let target = request.headers.get("target-instance").cloned();
        thread::spawn(move || {
            sleep(after);
            if fleet.is_stopped() {
                return;
            }
            let is_up = {
                let state = fleet.lock();
                let executor = &state.executors[position];
                executor.up && target.is_none_or(|target| target == executor.id)
            };
            if is_up {
                let reply = fleet.start(position, &body);
                if let Reply::Answer(status, answer) = reply {
                    fleet
                        .record
                        .line(format_args!("late start {task} -> {status} {answer}"));
                }
            }
        });
        true
    }

    /// Checks the fence number of an order and keeps the highest; returns the refusal of a lower one.
    fn check_fence(&self, executor: &mut Executor, body: &Value) -> Option<Reply> {
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < executor.fence {
            return Some(refusal(executor, "fence"));
        }
        executor.fence = fence;
        None
    }

    fn start(&self, position: usize, body: &Value) -> Reply {
        let now = Instant::now();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        let spec = Spec::parse(body["spec"].as_str().unwrap_or_default());
        let saved = body["saved"].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        let executor = &mut state.executors[position];
        if let Some(refusal) = self.check_fence(executor, body) {
            return refusal;
        }
        let clock_ms = executor.clock_ms(now);
        if executor
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return Reply::Answer(200, json!({ "clock_ms": clock_ms }));
        }
        if clock_ms > deadline_ms {
            return refusal(executor, "late");
        }
        executor.lease_until_ms = executor
            .lease_until_ms
            .max(deadline_ms.min(clock_ms + HOLD_MAX_MS));
        if number <= executor.highest.get(&task).copied().unwrap_or(0) {
            return refusal(executor, "old");
        }
        let runs = executor.running.values();
        let (cpu, mem_mb) = runs.fold((spec.cpu, spec.mem_mb), |(cpu, mem_mb), run| {
            (cpu + run.spec.cpu, mem_mb + run.spec.mem_mb)
        });
        if cpu > CPU || mem_mb > MEM_MB || executor.running.contains_key(&task) {
            return refusal(executor, "room");
        }
        executor.highest.insert(task.clone(), number);
        let is_gang = spec.gang > 0;
        let run = Run {
            number,
            spec,
            since: now,
            works_since: (!is_gang).then_some(now),
            resumed: saved.clone(),
            stop_at: None,
        };
        executor.running.insert(task.clone(), run);
        let id = executor.id.clone();
        self.record.line(format_args!(
            "begin {task} run {number} on {id} saved={saved:?}"
        ));
        state.seen.push(Seen {
            task,
            run: number,
            executor: id,
            began_s: self.record.elapsed_s(),
            ended_s: None,
            how: "",
            noted_s: None,
        });
        Reply::Answer(200, json!({ "clock_ms": clock_ms }))
    }

    fn stop_run(&self, position: usize, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default();
        let number = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let executor = &mut state.executors[position];
        if let Some(refusal) = self.check_fence(executor, body) {
            return refusal;
        }
        let highest = executor.highest.entry(task.to_owned()).or_default();
        *highest = number.max(*highest);
        if let Some(run) = executor.running.get_mut(task)
            && run.number == number
            && run.stop_at.is_none()
        {
            run.stop_at = Some(Instant::now() + Duration::from_millis(STOP_TAKES_MS));
            self.record
                .line(format_args!("stop {task} run {number} on {}", executor.id));
        }
        Reply::Answer(
            200,
            json!({ "clock_ms": executor.clock_ms(Instant::now()) }),
        )
    }

    fn pace(&self, position: usize, body: &Value) -> Reply {
        let mut state = self.lock();
        let executor = &mut state.executors[position];
        if let Some(refusal) = self.check_fence(executor, body) {
            return refusal;
        }
        Reply::Answer(
            200,
            json!({ "clock_ms": executor.clock_ms(Instant::now()) }),
        )
    }

    fn hold(&self, position: usize, body: &Value) -> Reply {
        let now = Instant::now();
        let until = now + Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let seen_upto = body["seen_upto"].as_u64().unwrap_or(0);
        let born_ms = {
            let mut state = self.lock();
            let state = &mut *state;
            let executor = &mut state.executors[position];
            if let Some(refusal) = self.check_fence(executor, body) {
                return refusal;
            }
            if let Some(deadline_ms) = body["deadline_ms"].as_u64() {
                let max_ms = executor.clock_ms(now) + HOLD_MAX_MS;
                executor.lease_until_ms = executor.lease_until_ms.max(deadline_ms.min(max_ms));
            }
            let (noted, open): (Vec<_>, Vec<_>) =
                executor.ended.drain(..).partition(|end| end.0 <= seen_upto);
            executor.ended = open;
            for (_, task, run, ..) in noted {
                let seen = state.seen.iter_mut().rev();
                let mut seen = seen.filter(|seen| seen.executor == executor.id);
                if let Some(seen) = seen.find(|seen| seen.task == task && seen.run == run) {
                    seen.noted_s = Some(self.record.elapsed_s());
                }
            }
            executor.born_ms
        };
        loop {
            let now = Instant::now();
            {
                let state = self.lock();
                let executor = &state.executors[position];
                if !executor.up || executor.born_ms != born_ms {
                    return Reply::Silence;
                }
                if !executor.ended.is_empty() || now >= until {
                    return Reply::Answer(200, executor.list(now));
                }
            }
            sleep(TICK);
        }
    }

    /// Ends a run, and with it the other members of its gang.
    fn end(&self, state: &mut State, position: usize, task: &str, how: &'static str) {
        let now = Instant::now();
        let executor = &mut state.executors[position];
        let Some(run) = executor.running.remove(task) else {
            return;
        };
        let saved = run.saved(task, now, how == "stopped");
        if how != "lost" {
            executor.last_end += 1;
            let end = (
                executor.last_end,
                task.to_owned(),
                run.number,
                how,
                saved.clone(),
            );
            executor.ended.push(end);
        }
        let id = executor.id.clone();
        self.record.line(format_args!(
            "end {task} run {} on {id} {how} saved={saved:?} progress_ms={}",
            run.number,
            run.progress_ms(now)
        ));
        let seen = state.seen.iter_mut().rev();
        let mut seen = seen.filter(|seen| seen.executor == id && seen.ended_s.is_none());
        if let Some(seen) = seen.find(|seen| seen.task == task && seen.run == run.number) {
            seen.ended_s = Some(self.record.elapsed_s());
            seen.how = how;
        }
        if run.spec.gang == 0 || how == "broken" || how == "alone" {
            return;
        }
        let step = step_of(task);
        let others: Vec<(usize, String)> = members(state, step, run.number);
        let how = if how == "done" { "done" } else { "broken" };
        for (other, task) in others {
            // A member that waits for the others is not affected by their ends.
            let works = state.executors[other].running[&task].works_since.is_some();
            if works && how == "done" {
                self.end_quietly(state, other, &task);
            } else if works {
                self.end(state, other, &task, "broken");
            }
        }
    }

    /// Ends a member of a gang as done.
    fn end_quietly(&self, state: &mut State, position: usize, task: &str) {
        if let Some(run) = state.executors[position].running.get_mut(task) {
            run.spec.gang = 0;
        }
        self.end(state, position, task, "done");
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let state = &mut *state;
        self.join_gangs(state, now);
        let mut due = Vec::new();
        for (position, executor) in state.executors.iter().enumerate() {
            let has_lapsed = executor.clock_ms(now) > executor.lease_until_ms;
            for (task, run) in &executor.running {
                let waited = now.saturating_duration_since(run.since).as_millis() as u64;
                let is_done = run
                    .spec
                    .work_ms
                    .is_some_and(|work_ms| run.progress_ms(now) >= work_ms);
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stop_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if run.works_since.is_some() && is_done {
                    "done"
                } else if run.works_since.is_none() && waited >= GANG_TIMEOUT_MS {
                    "alone"
                } else {
                    continue;
                };
                due.push((position, task.clone(), how));
            }
        }
        for (position, task, how) in due {
            self.end(state, position, &task, how);
        }
    }

    /// Lets gangs work whose members are all present. Members that carry different values can't resume
    /// together, so they keep waiting for the others.
    fn join_gangs(&self, state: &mut State, now: Instant) {
        let mut waiting: BTreeMap<(String, u64, String), Vec<(usize, String)>> = BTreeMap::new();
        for (position, executor) in state.executors.iter().enumerate() {
            for (task, run) in &executor.running {
                if run.spec.gang > 0 && run.works_since.is_none() && run.stop_at.is_none() {
                    let key = (step_of(task).to_owned(), run.number, run.resumed.clone());
                    waiting
                        .entry(key)
                        .or_default()
                        .push((position, task.clone()));
                }
            }
        }
        for ((step, number, saved), members) in waiting {
            let (first, task) = &members[0];
            if members.len() < state.executors[*first].running[task].spec.gang {
                continue;
            }
            self.record.line(format_args!(
                "gang {step} run {number} works from {saved:?}"
            ));
            for (position, task) in members {
                if let Some(run) = state.executors[position].running.get_mut(&task) {
                    run.works_since = Some(now);
                }
            }
        }
    }
}

fn refusal(executor: &Executor, reason: &str) -> Reply {
    let clock_ms = executor.clock_ms(Instant::now());
    Reply::Answer(409, json!({ "clock_ms": clock_ms, "reason": reason }))
}

/// Returns the step of a work item, ID.K.STEP.
pub fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn members(state: &State, step: &str, number: u64) -> Vec<(usize, String)> {
    let executors = state.executors.iter().enumerate();
    let members = executors.flat_map(|(position, executor)| {
        let runs = executor.running.iter();
        let runs = runs.filter(|(task, run)| run.number == number && step_of(task) == step);
        runs.map(move |(task, _)| (position, task.clone()))
    });
    members.collect()
}
