//! A worker that runs tasks by waiting, and keeps to its leases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long before the end of its lease the worker stops its tasks.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
const REBOOT_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Default, Deserialize)]
struct Instructions {
    lease_ms: u64,
    start: Vec<Start>,
    throttle: Vec<Task>,
    checkpoint: Vec<Task>,
    stop: Vec<Task>,
    drain: bool,
    reboot: bool,
}

/// Identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Task {
    /// The job.
    pub job: u64,
    /// The epoch of the task.
    pub epoch: u64,
}

#[derive(Debug, Deserialize)]
struct Start {
    job: u64,
    epoch: u64,
    command: String,
}

/// Says when a task ran.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// When it started.
    pub started_at: Instant,
    /// When it ended, if it has.
    pub ended_at: Option<Instant>,
}

/// Holds what a test may look at and change while the worker runs.
#[derive(Debug, Default)]
pub struct WorkerState {
    /// Every task that ran, in order of start.
    pub runs: Vec<Run>,
    /// How often the worker rebooted.
    pub reboots: u32,
    /// Whether the worker stays away at its next reboot.
    pub stays_down: bool,
    /// Whether the worker has been told to take no new work.
    pub draining: bool,
    /// The software that it reports.
    pub software: String,
}

/// Runs a fake worker in the test's own process; it ends when this is dropped.
pub struct FakeWorker {
    shared: Arc<Mutex<WorkerState>>,
    running: tokio::task::JoinHandle<()>,
}

impl Drop for FakeWorker {
    fn drop(&mut self) {
        self.running.abort();
    }
}

impl FakeWorker {
    /// Starts a worker against the control replicas.
    #[must_use]
    pub fn start(worker: &str, control: &[SocketAddr]) -> Self {
        let shared = Arc::new(Mutex::new(WorkerState::default()));
        let (worker, control) = (worker.to_owned(), control.to_vec());
        let state = shared.clone();
        let running = actix_rt::spawn(async move { run_with(&worker, &control, state).await });
        Self { shared, running }
    }

    /// Returns what may be looked at and changed.
    pub fn state(&self) -> MutexGuard<'_, WorkerState> {
        lock(&self.shared)
    }
}

fn lock(shared: &Mutex<WorkerState>) -> MutexGuard<'_, WorkerState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a fake worker against the control replicas for ever.
///
/// The command `wait N` completes after N milliseconds; any other command fails at once.
pub async fn run(worker: &str, control: &[SocketAddr]) {
    run_with(worker, control, Arc::default()).await;
}

async fn run_with(worker: &str, control: &[SocketAddr], shared: Arc<Mutex<WorkerState>>) {
    loop {
        Process::new(worker, shared.clone()).run(control).await;
        lock(&shared).reboots += 1;
        tokio::time::sleep(REBOOT_TIME).await;
        while lock(&shared).stays_down {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }
}

/// Runs from one boot to the next.
struct Process {
    worker: String,
    incarnation: u128,
    /// The running tasks with the time at which each completes.
    running: BTreeMap<Task, Instant>,
    /// Every task that this process started or refused to start.
    known: BTreeSet<Task>,
    ended: Vec<Value>,
    lease_until: Instant,
    shared: Arc<Mutex<WorkerState>>,
}

impl Process {
    fn new(worker: &str, shared: Arc<Mutex<WorkerState>>) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            worker: worker.to_owned(),
            incarnation: since.unwrap_or_default().as_millis(),
            running: BTreeMap::new(),
            known: BTreeSet::new(),
            ended: Vec::new(),
            lease_until: Instant::now(),
            shared,
        }
    }

    /// Runs until the worker is told to reboot.
    async fn run(mut self, control: &[SocketAddr]) {
        loop {
            self.end_completed();
            let body = self.body();
            let sent_ended = self.ended.len();
            let beat = heartbeat(control, &body);
            let answered = self.until_answered(beat).await;
            if let Some((asked_at, instructions)) = answered {
                self.ended.drain(..sent_ended);
                if instructions.reboot {
                    return;
                }
                self.follow(asked_at, instructions);
            }
            let pause_until = Instant::now() + HEARTBEAT_INTERVAL;
            while Instant::now() < pause_until {
                self.stop_without_lease();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits for an answer while the lease is watched.
    async fn until_answered<T>(&mut self, beat: impl Future<Output = T>) -> T {
        let mut beat = std::pin::pin!(beat);
        loop {
            self.stop_without_lease();
            let pause = Duration::from_millis(20);
            if let Ok(answer) = tokio::time::timeout(pause, &mut beat).await {
                return answer;
            }
        }
    }

    fn body(&self) -> Value {
        let named = |task: &Task| json!({"job": task.job, "epoch": task.epoch});
        let running: Vec<Value> = self.running.keys().map(named).collect();
        let software = lock(&self.shared).software.clone();
        json!({
            "worker": self.worker, "incarnation": self.incarnation, "running": running,
            "ended": self.ended, "requests_in_progress": 0, "software": software,
        })
    }

    fn end_completed(&mut self) {
        let now = Instant::now();
        let ready = self.running.iter().filter(|(_, end)| **end <= now);
        let ready: Vec<Task> = ready.map(|(task, _)| *task).collect();
        for task in ready {
            self.end(task, "completed");
        }
    }

    fn stop_without_lease(&mut self) {
        if Instant::now() + LEASE_MARGIN < self.lease_until {
            return;
        }
        let running: Vec<Task> = self.running.keys().copied().collect();
        for task in running {
            self.running.remove(&task);
            self.note_end(task);
        }
    }

    fn follow(&mut self, asked_at: Instant, instructions: Instructions) {
        self.lease_until = asked_at + Duration::from_millis(instructions.lease_ms);
        lock(&self.shared).draining = instructions.drain;
        let has_lease = Instant::now() + LEASE_MARGIN < self.lease_until;
        for start in instructions.start {
            let task = Task {
                job: start.job,
                epoch: start.epoch,
            };
            if has_lease && self.known.insert(task) {
                self.start(task, &start.command);
            }
        }
        for task in instructions.throttle {
            self.ended.push(ended(task, "throttled"));
        }
        for task in instructions.checkpoint {
            self.stop(task, "checkpointed");
        }
        for task in instructions.stop {
            self.stop(task, "stopped");
        }
    }

    fn start(&mut self, task: Task, command: &str) {
        let wait = command.strip_prefix("wait ");
        let Some(wait_ms) = wait.and_then(|text| text.parse().ok()) else {
            self.ended.push(ended(task, "failed"));
            return;
        };
        let from = Instant::now();
        self.running
            .insert(task, from + Duration::from_millis(wait_ms));
        lock(&self.shared).runs.push(Run {
            task,
            started_at: from,
            ended_at: None,
        });
    }

    fn stop(&mut self, task: Task, result: &str) {
        if self.running.contains_key(&task) {
            self.end(task, result);
        } else if self.known.insert(task) {
            self.ended.push(ended(task, "not-started"));
        }
    }

    fn end(&mut self, task: Task, result: &str) {
        self.running.remove(&task);
        self.ended.push(ended(task, result));
        self.note_end(task);
    }

    fn note_end(&self, task: Task) {
        let mut shared = lock(&self.shared);
        let run = shared.runs.iter_mut().rev().find(|run| run.task == task);
        if let Some(run) = run {
            run.ended_at = Some(Instant::now());
        }
    }
}

fn ended(task: Task, result: &str) -> Value {
    json!({"job": task.job, "epoch": task.epoch, "result": result})
}

/// Returns when the answered attempt asked, and what it was told.
async fn heartbeat(control: &[SocketAddr], body: &Value) -> Option<(Instant, Instructions)> {
    let client = awc::Client::builder()
        .disable_redirects()
        .timeout(HEARTBEAT_TIMEOUT)
        .finish();
    for address in control {
        let asked_at = Instant::now();
        let sent = client
            .post(format!("http://{address}/v1/heartbeat"))
            .send_json(body)
            .await;
        if let Ok(mut response) = sent
            && response.status().is_success()
        {
            let instructions = response.json().await.ok()?;
            return Some((asked_at, instructions));
        }
    }
    None
}
