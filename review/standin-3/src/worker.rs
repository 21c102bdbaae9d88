//! Workers: they run tasks under a lease, keep the highest fencing token, and send heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Reply, Request, Server};
use crate::record::{line, unix_ms};

/// `hold_max_ms` of the settings.
const MAX_LEASE_MS: u64 = 6_000;
/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long a stop takes; at most `stop_ms`.
const STOP_TAKES_MS: u64 = 50;

/// What happens in a run, by its task and number.
#[derive(Clone, Copy)]
pub struct Work {
    pub duration_ms: u64,
    pub end: &'static str,
}

/// An observation of a worker.
#[derive(Clone, Debug)]
pub struct Event {
    pub worker: String,
    /// `start`, `noted` or the kind of an end.
    pub kind: String,
    pub task: String,
    pub run: u64,
}

struct Run {
    number: u64,
    started_at: Instant,
    saved: String,
    stop_at: Option<Instant>,
    work: Work,
}

/// One life of a worker.
struct Life {
    born: u64,
    boot: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, String, String)>,
    next_end: u64,
    refused_upto: BTreeMap<String, u64>,
    stop: Arc<AtomicBool>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        // Each life's clock starts anew.
        1_000 + u64::try_from(self.boot.elapsed().as_millis()).unwrap()
    }
}

/// What all workers share.
#[derive(Default)]
pub struct Fleet {
    pub events: Mutex<Vec<Event>>,
    /// The control addresses.
    pub controls: Mutex<Vec<SocketAddr>>,
    /// When each order to a worker arrived.
    pub orders: Mutex<Vec<Instant>>,
    /// Leaves the next start unanswered and carries it out after this time, in milliseconds.
    pub late_start_ms: Mutex<Option<u64>>,
    /// The worker that has left a start unanswered.
    pub late_worker: Mutex<Option<String>>,
    /// Cuts off the next worker that lists an end as `failed`, for this time, in milliseconds.
    pub cut_after_failure_ms: Mutex<Option<u64>>,
    /// The worker that has been cut off, and when.
    pub cut_worker: Mutex<Option<(String, Instant)>>,
    /// When a heartbeat was acknowledged last.
    pub acknowledged_at: Mutex<Option<Instant>>,
    /// The address that the latest answer to a heartbeat named, which is that of the leader.
    pub receiver: Mutex<Option<SocketAddr>>,
}

impl Fleet {
    fn note(&self, worker: &str, kind: &str, task: &str, run: u64, saved: &str) {
        line(format_args!(
            "worker {worker}: {kind} {task} run {run} saved {saved:?}"
        ));
        self.events.lock().unwrap().push(Event {
            worker: worker.to_owned(),
            kind: kind.to_owned(),
            task: task.to_owned(),
            run,
        });
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}

/// A worker with its address.
pub struct Worker {
    pub name: String,
    pub machine: String,
    pub address: SocketAddr,
    fleet: Arc<Fleet>,
    work_of: Box<dyn Fn(&str, u64, &str) -> Work + Send + Sync>,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    /// Until when no byte reaches the worker or leaves it.
    cut_until: Mutex<Option<Instant>>,
    server: Mutex<Option<Server>>,
}

impl Worker {
    pub fn new(
        (name, machine, address): (&str, &str, SocketAddr),
        fleet: &Arc<Fleet>,
        work_of: impl Fn(&str, u64, &str) -> Work + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            machine: machine.to_owned(),
            address,
            fleet: fleet.clone(),
            work_of: Box::new(work_of),
            life: Mutex::default(),
            changed: Condvar::new(),
            cut_until: Mutex::default(),
            server: Mutex::default(),
        })
    }

    /// Begins a life.
    pub fn start(self: &Arc<Self>) {
        let stop = Arc::new(AtomicBool::new(false));
        let born = unix_ms();
        line(format_args!("worker {} starts, born {born}", self.name));
        *self.life.lock().unwrap() = Some(Life {
            born,
            boot: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            refused_upto: BTreeMap::new(),
            stop: stop.clone(),
        });
        let worker = self.clone();
        let server = Server::start(self.address, move |request| worker.handle(request));
        *self.server.lock().unwrap() = Some(server.expect("the worker's address is free"));
        let (worker, ticking) = (self.clone(), stop.clone());
        std::thread::spawn(move || {
            while !ticking.load(Ordering::SeqCst) {
                worker.end_due_runs();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let worker = self.clone();
        std::thread::spawn(move || worker.send_heartbeats(&stop));
    }

    /// Ends the life: nothing runs any more and the port is closed.
    pub fn crash(&self) {
        let life = self.life.lock().unwrap().take();
        if let Some(life) = life {
            life.stop.store(true, Ordering::SeqCst);
            line(format_args!(
                "worker {} crashes with {} runs",
                self.name,
                life.running.len()
            ));
            for (task, run) in &life.running {
                self.fleet.note(&self.name, "crashed", task, run.number, "");
            }
        }
        self.changed.notify_all();
        *self.server.lock().unwrap() = None;
    }

    /// Waits until the worker isn't cut off; returns whether it was.
    fn wait_for_cut(&self) -> bool {
        let until = *self.cut_until.lock().unwrap();
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        let left = left.filter(|left| !left.is_zero());
        if let Some(left) = left {
            std::thread::sleep(left);
        }
        left.is_some()
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        // The sender has given up by then, so that the request is lost.
        if self.wait_for_cut() {
            return Reply::Close;
        }
        if request
            .header("target-instance")
            .is_some_and(|target| target != self.name)
        {
            return Reply::Status(421, "{}".to_owned());
        }
        self.fleet.orders.lock().unwrap().push(Instant::now());
        let body = request.json();
        match request.path.as_str() {
            "/run-start" => {
                let late_ms = self.fleet.late_start_ms.lock().unwrap().take();
                if let Some(after_ms) = late_ms {
                    *self.fleet.late_worker.lock().unwrap() = Some(self.name.clone());
                    line(format_args!(
                        "worker {}: start of {} run {} left unanswered",
                        self.name, body["task"], body["run"]
                    ));
                    let worker = self.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(after_ms));
                        let (status, body) = worker.start_run(&body);
                        line(format_args!(
                            "worker {}: late start carried out: {status} {body}",
                            worker.name
                        ));
                    });
                    std::thread::sleep(Duration::from_millis(1_500));
                    return Reply::Close;
                }
                let (status, body) = self.start_run(&body);
                Reply::Status(status, body.to_string())
            }
            "/run-stop" => self.with_life(&body, |life| {
                let (task, run) = (text(&body["task"]), number(&body["run"]));
                line(format_args!(
                    "worker {}: stop of {task} run {run}",
                    self.name
                ));
                let upto = life.refused_upto.entry(task.clone()).or_default();
                *upto = (*upto).max(run);
                if let Some(running) = life.running.get_mut(&task)
                    && running.number == run
                {
                    let at = Instant::now() + Duration::from_millis(STOP_TAKES_MS);
                    running.stop_at.get_or_insert(at);
                }
                (200, json!({ "clock_ms": life.clock_ms() }))
            }),
            "/hold" => self.hold(&body),
            "/pace" => self.with_life(&body, |life| (200, json!({ "clock_ms": life.clock_ms() }))),
            _ => Reply::Status(404, "{}".to_owned()),
        }
    }

    /// Checks the fencing token, and calls `act` unless it is too low.
    fn with_life(&self, body: &Value, act: impl FnOnce(&mut Life) -> (u16, Value)) -> Reply {
        let mut life = self.life.lock().unwrap();
        let Some(life) = life.as_mut() else {
            return Reply::Close;
        };
        let token = number(&body["fencing_token"]);
        if token < life.fence {
            let body = json!({ "clock_ms": life.clock_ms(), "reason": "fence" });
            return Reply::Status(409, body.to_string());
        }
        life.fence = token;
        let (status, body) = act(life);
        Reply::Status(status, body.to_string())
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        let (task, run) = (text(&body["task"]), number(&body["run"]));
        let mut life = self.life.lock().unwrap();
        let Some(life) = life.as_mut() else {
            return (0, json!("the worker is down"));
        };
        let clock_ms = life.clock_ms();
        let refuse = |reason: &str| (409, json!({ "clock_ms": clock_ms, "reason": reason }));
        let token = number(&body["fencing_token"]);
        if token < life.fence {
            return refuse("fence");
        }
        life.fence = token;
        let deadline_ms = number(&body["deadline_ms"]);
        if clock_ms > deadline_ms {
            return refuse("late");
        }
        let lease_ms = deadline_ms.min(clock_ms + MAX_LEASE_MS);
        life.lease_until_ms = life.lease_until_ms.max(lease_ms);
        if let Some(running) = life.running.get(&task) {
            return if running.number == run {
                (200, json!({ "clock_ms": clock_ms }))
            } else {
                refuse("old")
            };
        }
        if life
            .refused_upto
            .get(&task)
            .is_some_and(|upto| run <= *upto)
        {
            return refuse("old");
        }
        let given = text(&body["saved"]);
        let work = (self.work_of)(&task, run, &body["spec"].as_str().unwrap_or_default());
        self.fleet.note(&self.name, "start", &task, run, &given);
        let now = Instant::now();
        life.running.insert(
            task,
            Run {
                number: run,
                started_at: now,
                saved: given,
                stop_at: None,
                work,
            },
        );
        (200, json!({ "clock_ms": clock_ms }))
    }

    fn hold(&self, body: &Value) -> Reply {
        let mut guard = self.life.lock().unwrap();
        let token = number(&body["fencing_token"]);
        let until = Instant::now() + Duration::from_millis(number(&body["wait_ms"]));
        {
            let Some(life) = guard.as_mut() else {
                return Reply::Close;
            };
            let clock_ms = life.clock_ms();
            if token < life.fence {
                let body = json!({ "clock_ms": clock_ms, "reason": "fence" });
                return Reply::Status(409, body.to_string());
            }
            life.fence = token;
            if let Some(deadline_ms) = body["deadline_ms"].as_u64() {
                let lease_ms = deadline_ms.min(clock_ms + MAX_LEASE_MS);
                life.lease_until_ms = life.lease_until_ms.max(lease_ms);
            }
            let seen_upto = number(&body["seen_upto"]);
            for (end, task, run, _, _) in &life.ended {
                if *end <= seen_upto {
                    self.fleet.note(&self.name, "noted", task, *run, "");
                }
            }
            life.ended.retain(|(end, ..)| *end > seen_upto);
        }
        loop {
            let Some(life) = guard.as_ref() else {
                return Reply::Close;
            };
            let now = Instant::now();
            if !life.ended.is_empty() || now >= until {
                let running: Vec<_> = life
                    .running
                    .iter()
                    .map(|(task, run)| json!([task, run.number, run.saved, percent(run), 0]))
                    .collect();
                let ended: Vec<_> = life.ended.iter().map(|end| json!(end)).collect();
                let list = json!({ "clock_ms": life.clock_ms(), "born": life.born,
                    "running": running, "ended": ended });
                if life.ended.iter().any(|(.., how, _)| how == "failed")
                    && let Some(cut_ms) = self.fleet.cut_after_failure_ms.lock().unwrap().take()
                {
                    line(format_args!(
                        "worker {} is cut off after this list: {list}",
                        self.name
                    ));
                    let now = Instant::now();
                    *self.cut_until.lock().unwrap() = Some(now + Duration::from_millis(cut_ms));
                    *self.fleet.cut_worker.lock().unwrap() = Some((self.name.clone(), now));
                }
                return Reply::Status(200, list.to_string());
            }
            guard = self.changed.wait_timeout(guard, until - now).unwrap().0;
        }
    }

    fn end_due_runs(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return;
        };
        let (now, clock_ms) = (Instant::now(), life.clock_ms());
        let has_lapsed = clock_ms > life.lease_until_ms;
        let mut ends = Vec::new();
        for (task, run) in &life.running {
            let worked_ms = worked_ms(run, now);
            let kind = if has_lapsed {
                "lapsed"
            } else if run.stop_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if worked_ms >= run.work.duration_ms {
                run.work.end
            } else {
                continue;
            };
            ends.push((task.clone(), kind));
        }
        for (task, kind) in &ends {
            let Some(run) = life.running.remove(task) else {
                continue;
            };
            let upto = life.refused_upto.entry(task.clone()).or_default();
            *upto = (*upto).max(run.number);
            self.fleet
                .note(&self.name, kind, task, run.number, &run.saved);
            let end = life.next_end;
            life.next_end += 1;
            life.ended
                .push((end, task.clone(), run.number, (*kind).to_owned(), run.saved));
        }
        if !ends.is_empty() {
            self.changed.notify_all();
        }
    }

    fn send_heartbeats(&self, stop: &AtomicBool) {
        let born = self
            .life
            .lock()
            .unwrap()
            .as_ref()
            .map_or(0, |life| life.born);
        let mut receiver: Option<SocketAddr> = None;
        for sequence in 1_u64.. {
            let controls = self.fleet.controls.lock().unwrap().clone();
            let candidates: Vec<_> = receiver.into_iter().chain(controls).collect();
            for address in candidates {
                self.wait_for_cut();
                let clock_ms = match self.life.lock().unwrap().as_ref() {
                    Some(life) if life.born == born => life.clock_ms(),
                    _ => return,
                };
                let body = json!({ "backend": "pool-a", "address": self.address.to_string(),
                    "zone": "a", "version": "v1", "slots": 8, "state": "ready",
                    "cold_remaining_ms": 0, "born": born, "machine": self.machine,
                    "capacity": { "cpu": 16000, "mem_mb": 32768, "gpu": 0 },
                    "labels": ["a", "r1-1"], "clock_ms": clock_ms, "sequence": sequence });
                let path = format!("/Instances.Heartbeat/{}", self.name);
                let limit = Duration::from_secs(1);
                let answer = http::send(address, limit, "POST", &path, &[], &body.to_string());
                if let Some(answer) = answer.filter(|answer| answer.status / 100 == 2) {
                    let named: Value = serde_json::from_str(&answer.body).unwrap_or_default();
                    let named = named["heartbeat_addr"].as_str();
                    receiver = named.and_then(|text| text.parse().ok()).or(receiver);
                    *self.fleet.receiver.lock().unwrap() = receiver;
                    *self.fleet.acknowledged_at.lock().unwrap() = Some(Instant::now());
                    break;
                }
                receiver = None;
                if stop.load(Ordering::SeqCst) {
                    return;
                }
            }
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

fn worked_ms(run: &Run, now: Instant) -> u64 {
    let worked = now.saturating_duration_since(run.started_at);
    u64::try_from(worked.as_millis()).unwrap()
}

fn percent(run: &Run) -> u64 {
    (worked_ms(run, Instant::now()) * 100 / run.work.duration_ms.max(1)).min(100)
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn number(value: &Value) -> u64 {
    value.as_u64().unwrap_or(0)
}
