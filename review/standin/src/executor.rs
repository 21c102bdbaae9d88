//! Simulated executors, which keep leases, fence numbers, run numbers and their capacity.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, call, serve};
use crate::record::{Record, wall_ms};

/// The longest lease and the time of a stop, as in the settings of the processes.
pub const HOLD_MAX_MS: u64 = 6_000;
const STOP_MS: u64 = 100;
/// How long a member of a gang waits for the others, and the interval of checkpoints.
const GANG_TIMEOUT_MS: u64 = 3_000;
const CHECKPOINT_MS: u64 = 500;
pub const HEARTBEAT_MS: u64 = 1_500;

/// A run that is present on an executor.
#[derive(Clone)]
struct Run {
    number: u64,
    ends_at_ms: u64,
    stops_at_ms: Option<u64>,
    /// When a work item that lasts is at work.
    works_from_ms: u64,
    cpu: u64,
    /// The checkpoint that the start carried.
    resumed_from: String,
    takes_ms: u64,
}

/// The members of one run of a gang, on all executors.
#[derive(Default)]
struct Gang {
    members: BTreeMap<String, String>,
    first_at: Option<Instant>,
    /// When all members were present with the same checkpoint.
    whole_at: Option<Instant>,
    broken: bool,
}

/// What happened on an executor.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub kind: &'static str,
    pub executor: String,
    pub task: String,
    pub run: u64,
}

/// The events on all executors, and how long the tasks of a payload take.
pub struct Ledger {
    pub record: Arc<Record>,
    pub events: Mutex<Vec<Event>>,
    /// The processor need of each task, by job; executors are not told it.
    pub cpu_of_job: Mutex<BTreeMap<String, u64>>,
    /// The number of members of each gang, by job; its tasks take checkpoints.
    pub gang_sizes: Mutex<BTreeMap<String, usize>>,
    gangs: Mutex<BTreeMap<(String, u64), Gang>>,
    /// Violations that were seen at once.
    pub violations: Mutex<Vec<String>>,
    /// The runs that are present on executors that are up: task to executors and runs.
    present: Mutex<BTreeMap<String, Vec<(String, u64)>>>,
}

impl Ledger {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            events: Mutex::default(),
            cpu_of_job: Mutex::default(),
            gang_sizes: Mutex::default(),
            gangs: Mutex::default(),
            violations: Mutex::default(),
            present: Mutex::default(),
        })
    }

    fn add(&self, kind: &'static str, executor: &str, task: &str, run: u64) {
        let at_ms = self.record.now_ms();
        self.record
            .line(format!("{executor} {kind} task={task} run={run}"));
        let event = Event {
            at_ms,
            kind,
            executor: executor.into(),
            task: task.into(),
            run,
        };
        self.events.lock().unwrap().push(event);
        let mut present = self.present.lock().unwrap();
        let runs = present.entry(task.to_owned()).or_default();
        if kind == "starts" {
            runs.push((executor.into(), run));
            if runs.len() > 1 {
                let text = format!("TWICE: {task} runs at the same time as {runs:?}");
                self.record.line(&text);
                self.violations.lock().unwrap().push(text);
            }
        } else {
            runs.retain(|known| *known != (executor.to_owned(), run));
        }
    }

    fn gang_size(&self, task: &str) -> Option<usize> {
        self.gang_sizes
            .lock()
            .unwrap()
            .get(task.split('.').next().unwrap_or_default())
            .copied()
    }

    /// Records that a member of a gang is present. The members work once all are, if they resume from
    /// the same checkpoint.
    fn join_gang(&self, task: &str, run: u64, checkpoint: &str) {
        let Some(size) = self.gang_size(task) else {
            return;
        };
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.entry((step_of(task), run)).or_default();
        gang.first_at.get_or_insert_with(Instant::now);
        gang.members.insert(task.to_owned(), checkpoint.to_owned());
        if gang.members.len() == size {
            let is_same = gang.members.values().all(|known| known == checkpoint);
            if is_same {
                gang.whole_at = Some(Instant::now());
            }
            let members = gang.members.clone();
            drop(gangs);
            self.record.line(format!(
                "gang {} run={run} is present; same checkpoint: {is_same}; {members:?}",
                step_of(task)
            ));
        }
    }

    /// Records that a member of a gang has ended without being done.
    fn break_gang(&self, task: &str, run: u64) {
        if self.gang_size(task).is_some() {
            self.gangs
                .lock()
                .unwrap()
                .entry((step_of(task), run))
                .or_default()
                .broken = true;
        }
    }

    /// Returns the work of a member of a gang so far, in milliseconds, and how it ends, if it does.
    fn gang_progress(&self, task: &str, run: &Run) -> Option<(u64, Option<&'static str>)> {
        self.gang_size(task)?;
        let gangs = self.gangs.lock().unwrap();
        let gang = gangs.get(&(step_of(task), run.number))?;
        let worked_ms = gang
            .whole_at
            .map_or(0, |at| at.elapsed().as_millis() as u64);
        let total_ms = worked_ms + checkpoint_ms(&run.resumed_from);
        let waited_ms = gang
            .first_at
            .map_or(0, |at| at.elapsed().as_millis() as u64);
        let how = if gang.broken {
            Some("broken")
        } else if gang.whole_at.is_some() {
            (total_ms >= run.takes_ms).then_some("done")
        } else {
            (waited_ms >= GANG_TIMEOUT_MS).then_some("alone")
        };
        Some((total_ms, how))
    }

    /// Returns the events of a kind whose task belongs to a job.
    pub fn of_job(&self, kind: &str, job: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        let matching = events
            .iter()
            .filter(|event| event.kind == kind && event.task.starts_with(job));
        matching.cloned().collect()
    }
}

struct State {
    id: String,
    pool: String,
    born_ms: u64,
    clock_start: Instant,
    up: bool,
    /// Whether the path between this executor and all processes of the system is cut.
    cut: bool,
    /// How many check-ins of this life have been acknowledged.
    check_ins: u64,
    fence: u64,
    sequence: u64,
    last_end: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    highest: BTreeMap<String, u64>,
    beat_to: Option<SocketAddr>,
    connections: Vec<TcpStream>,
}

/// One executor address, with the life that uses it now.
pub struct Executor {
    pub machine: String,
    pub address: SocketAddr,
    pub cpu: u64,
    labels: Vec<String>,
    controls: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Executor {
    /// Starts an executor and its check-ins.
    pub fn start(
        name: &str,
        (pool, cpu): (&str, u64),
        controls: &[SocketAddr],
        ledger: &Arc<Ledger>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let executor = Arc::new(Self {
            machine: format!("m-{name}"),
            address: listener.local_addr().unwrap(),
            cpu,
            labels: vec!["a".into(), "r1-1".into()],
            controls: controls.to_vec(),
            ledger: ledger.clone(),
            state: Mutex::new(State {
                id: format!("i-{name}"),
                pool: pool.into(),
                born_ms: wall_ms(),
                clock_start: Instant::now(),
                up: true,
                cut: false,
                check_ins: 0,
                fence: 0,
                sequence: 0,
                last_end: 0,
                lease_until_ms: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                highest: BTreeMap::new(),
                beat_to: None,
                connections: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        let (accepting, handling) = (executor.clone(), executor.clone());
        serve(
            listener,
            move |stream| accepting.accept(stream),
            move |request| handling.handle(&request),
        );
        let beating = executor.clone();
        let _ = thread::Builder::new()
            .stack_size(256 << 10)
            .spawn(move || beating.send_check_ins());
        let ticking = executor.clone();
        let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.end_due_runs();
            }
        });
        executor
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    pub fn pool(&self) -> String {
        self.state.lock().unwrap().pool.clone()
    }

    /// Cuts or restores the path to all processes of the system.
    pub fn set_cut(&self, cut: bool) {
        let mut state = self.state.lock().unwrap();
        state.cut = cut;
        self.ledger.record.line(format!(
            "{} is {}",
            state.id,
            if cut { "cut off" } else { "reachable again" }
        ));
        drop(state);
        self.changed.notify_all();
    }

    /// Waits until the next check-in of this executor is acknowledged.
    pub fn wait_for_check_in(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut state = self.state.lock().unwrap();
        let before = state.check_ins;
        while state.check_ins == before {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        true
    }

    fn accept(&self, stream: &TcpStream) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return false;
        }
        if let Ok(copy) = stream.try_clone() {
            state.connections.push(copy);
        }
        true
    }

    /// Ends this life: everything that runs is gone, and the channels are closed.
    pub fn go_down(&self, cause: &str) {
        let mut state = self.state.lock().unwrap();
        self.ledger
            .record
            .line(format!("{} goes down: {cause}", state.id));
        state.up = false;
        for (task, run) in std::mem::take(&mut state.running) {
            self.ledger.add("lost", &state.id, &task, run.number);
            self.ledger.break_gang(&task, run.number);
        }
        for connection in std::mem::take(&mut state.connections) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Begins a new life at the same address, under `id`; it knows nothing of before.
    pub fn come_up(&self, id: &str, pool: &str) {
        let mut state = self.state.lock().unwrap();
        let cut = state.cut;
        *state = State {
            id: id.into(),
            pool: pool.into(),
            born_ms: wall_ms(),
            clock_start: Instant::now(),
            up: true,
            cut,
            check_ins: 0,
            fence: 0,
            sequence: 0,
            last_end: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
            beat_to: None,
            connections: Vec::new(),
        };
        self.ledger
            .record
            .line(format!("{id} begins a life, born={}", state.born_ms));
        drop(state);
        self.changed.notify_all();
    }

    fn end_due_runs(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.up || state.running.is_empty() {
            return;
        }
        let now_ms = clock_ms(&state);
        let due: Vec<_> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let gang = self.ledger.gang_progress(task, run);
                let how = if now_ms > state.lease_until_ms {
                    "lapsed"
                } else if run.stops_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                    "stopped"
                } else if let Some((_, how)) = gang {
                    how?
                } else if now_ms >= run.ends_at_ms {
                    "done"
                } else {
                    return None;
                };
                let checkpoint =
                    gang.map_or_else(String::new, |(worked_ms, _)| checkpoint_at(worked_ms));
                Some((task.clone(), run.number, how, checkpoint))
            })
            .collect();
        for (task, number, how, checkpoint) in due {
            state.running.remove(&task);
            state.last_end += 1;
            if how != "done" {
                self.ledger.break_gang(&task, number);
            }
            let end = (state.last_end, task.clone(), number, how, checkpoint);
            state.ended.push(end);
            self.ledger.add(how, &state.id, &task, number);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Option<(u16, Value)> {
        let mut state = self.state.lock().unwrap();
        // What arrives during a cut is held up, and lost, since its sender gives up meanwhile.
        if state.cut {
            while state.cut {
                state = self.changed.wait(state).unwrap();
            }
            return None;
        }
        if !state.up {
            return None;
        }
        if request.path == "/healthz" {
            return Some((200, json!({})));
        }
        let now_ms = clock_ms(&state);
        let target = request.header("Target-Instance");
        if !target.is_empty() && target != state.id {
            return Some((421, json!({ "clock_ms": now_ms })));
        }
        let body = &request.body;
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        let refuse = |reason: &str| Some((409, json!({ "clock_ms": now_ms, "reason": reason })));
        if fence < state.fence {
            return refuse("fence");
        }
        state.fence = fence;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadline_ms"].as_u64();
        match request.path.as_str() {
            "/run-start" => {
                let deadline_ms = deadline_ms.unwrap_or(0);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|run| run.number == number)
                {
                    return Some((200, json!({ "clock_ms": now_ms })));
                }
                if deadline_ms < now_ms {
                    return refuse("late");
                }
                state.lease_until_ms = state
                    .lease_until_ms
                    .max(deadline_ms.min(now_ms + HOLD_MAX_MS));
                if state
                    .highest
                    .get(&task)
                    .is_some_and(|highest| number <= *highest)
                    || state.running.contains_key(&task)
                {
                    return refuse("old");
                }
                let job = task.split('.').next().unwrap_or_default();
                let cpu = self
                    .ledger
                    .cpu_of_job
                    .lock()
                    .unwrap()
                    .get(job)
                    .copied()
                    .unwrap_or(0);
                let used: u64 = state.running.values().map(|run| run.cpu).sum();
                if used + cpu > self.cpu {
                    return refuse("room");
                }
                let saved = body["saved"].as_str().unwrap_or_default().to_owned();
                let spec = body["spec"].as_str().unwrap_or_default();
                // A payload `last=MS` names a work item that lasts, and is at work after MS.
                let startup_ms: Option<u64> =
                    spec.strip_prefix("last=").and_then(|ms| ms.parse().ok());
                let takes_ms = spec
                    .strip_prefix("ms=")
                    .and_then(|ms| ms.parse().ok())
                    .unwrap_or(500);
                state.highest.insert(task.clone(), number);
                let run = Run {
                    number,
                    ends_at_ms: startup_ms.map_or(now_ms + takes_ms, |_| u64::MAX),
                    works_from_ms: now_ms + startup_ms.unwrap_or(0),
                    stops_at_ms: None,
                    cpu,
                    resumed_from: saved.clone(),
                    takes_ms,
                };
                state.running.insert(task.clone(), run);
                self.ledger.add("starts", &state.id, &task, number);
                self.ledger.join_gang(&task, number, &saved);
                Some((200, json!({ "clock_ms": now_ms })))
            }
            "/run-stop" => {
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(number);
                if let Some(run) = state
                    .running
                    .get_mut(&task)
                    .filter(|run| run.number <= number)
                {
                    run.stops_at_ms.get_or_insert(now_ms + STOP_MS);
                }
                Some((200, json!({ "clock_ms": now_ms })))
            }
            "/pace" => Some((200, json!({ "clock_ms": now_ms }))),
            "/hold" => {
                let seen_upto = body["seen_upto"].as_u64().unwrap_or(0);
                state.ended.retain(|end| end.0 > seen_upto);
                if let Some(deadline_ms) = deadline_ms {
                    state.lease_until_ms = state
                        .lease_until_ms
                        .max(deadline_ms.min(now_ms + HOLD_MAX_MS));
                }
                let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                let born_ms = state.born_ms;
                loop {
                    if !state.up || state.born_ms != born_ms {
                        return None;
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !state.ended.is_empty() || left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let now_ms = clock_ms(&state);
                let running: Vec<_> = state
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let gang = self.ledger.gang_progress(task, run);
                        let checkpoint = gang
                            .map_or_else(String::new, |(worked_ms, _)| checkpoint_at(worked_ms));
                        let is_at_work = run.ends_at_ms == u64::MAX && now_ms >= run.works_from_ms;
                        json!([
                            task,
                            run.number,
                            checkpoint,
                            if is_at_work { 100 } else { 50 }
                        ])
                    })
                    .collect();
                let ended: Vec<_> = state
                    .ended
                    .iter()
                    .take(500)
                    .map(|(n, task, run, how, saved)| json!([n, task, run, how, saved]))
                    .collect();
                Some((
                    200,
                    json!({ "clock_ms": now_ms, "born": state.born_ms, "running": running, "ended": ended }),
                ))
            }
            _ => Some((404, json!({}))),
        }
    }

    /// Sends a check-in at the start of each life and then at intervals; after a failure or a second
    /// without a response, calls the next node.
    fn send_check_ins(&self) {
        let mut next_node = self.address.port() as usize;
        loop {
            let mut state = self.state.lock().unwrap();
            while !state.up {
                state = self.changed.wait(state).unwrap();
            }
            state.sequence += 1;
            let (id, born_ms) = (state.id.clone(), state.born_ms);
            let body = json!({
                "backend": state.pool, "address": self.address.to_string(), "zone": "a", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "capacity": { "cpu": self.cpu, "mem_mb": 32_768, "gpu": 0 }, "labels": self.labels,
                "clock_ms": clock_ms(&state), "sequence": state.sequence, "born": born_ms,
                "machine": self.machine,
            });
            let first = state
                .beat_to
                .unwrap_or(self.controls[next_node % self.controls.len()]);
            drop(state);
            let mut to = first;
            for _ in 0..self.controls.len() {
                let path = format!("/Instances.Heartbeat/{id}");
                let sent = if self.state.lock().unwrap().cut {
                    // The opening packet is lost, and is sent again only after a second.
                    thread::sleep(Duration::from_secs(1));
                    Err(std::io::ErrorKind::TimedOut.into())
                } else {
                    call(
                        to,
                        "POST",
                        &path,
                        &[],
                        &body.to_string(),
                        Duration::from_secs(1),
                    )
                };
                if let Ok((200, response)) = sent {
                    let named = response["heartbeat_addr"]
                        .as_str()
                        .and_then(|text| text.parse().ok());
                    let mut state = self.state.lock().unwrap();
                    if state.born_ms == born_ms {
                        state.check_ins += 1;
                        state.beat_to = named.or(state.beat_to);
                        if state.check_ins == 1 {
                            self.ledger.record.line(format!(
                                "{id} born={born_ms}: first check-in acknowledged by {to}"
                            ));
                        }
                    }
                    drop(state);
                    self.changed.notify_all();
                    break;
                }
                self.ledger
                    .record
                    .line(format!("{id} check-in at {to} failed"));
                let mut state = self.state.lock().unwrap();
                state.beat_to = None;
                if state.born_ms != born_ms || !state.up {
                    break;
                }
                drop(state);
                next_node += 1;
                to = self.controls[next_node % self.controls.len()];
            }
            let until = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
            let mut state = self.state.lock().unwrap();
            while state.born_ms == born_ms {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
        }
    }
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

/// Returns the work that a checkpoint holds, in milliseconds.
fn checkpoint_ms(checkpoint: &str) -> u64 {
    checkpoint
        .strip_prefix("ck-")
        .and_then(|count| count.parse::<u64>().ok())
        .unwrap_or(0)
        * CHECKPOINT_MS
}

fn checkpoint_at(worked_ms: u64) -> String {
    let count = worked_ms / CHECKPOINT_MS;
    if count == 0 {
        String::new()
    } else {
        format!("ck-{count}")
    }
}

fn clock_ms(state: &State) -> u64 {
    state.clock_start.elapsed().as_millis() as u64 + 1_000
}
