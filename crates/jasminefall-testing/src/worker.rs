//! A fake worker whose tasks only wait; it stops its tasks before its lease expires.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time before the expiry of its lease at which the worker stops its tasks.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
const REBOOT_DURATION: Duration = Duration::from_millis(300);

/// Holds the response to a heartbeat.
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
    /// The number of the job.
    pub job: u64,
    /// The epoch, which distinguishes the runs of one job.
    pub epoch: u64,
}

#[derive(Debug, Deserialize)]
struct Start {
    job: u64,
    epoch: u64,
    command: String,
}

/// Records when a task ran.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// The task that was run.
    pub task: Task,
    /// The time of its start.
    pub started_at: Instant,
    /// The time of its end; `None` while it runs.
    pub ended_at: Option<Instant>,
}

/// Holds the state of a worker that tests may read and change while it runs.
#[derive(Debug, Default)]
pub struct WorkerState {
    /// All runs, in order of start.
    pub runs: Vec<Run>,
    /// The number of reboots.
    pub reboots: u32,
    /// Whether the worker stays down after its next reboot, as long as this is set.
    pub stays_down: bool,
    /// Whether the latest instructions drain the worker, so that it gets no new tasks.
    pub draining: bool,
    /// The software version that the heartbeats report.
    pub software: String,
}

/// Runs a fake worker as a task of the current process; the worker stops when this is dropped.
pub struct FakeWorker {
    state: Arc<Mutex<WorkerState>>,
    running: tokio::task::JoinHandle<()>,
}

impl Drop for FakeWorker {
    fn drop(&mut self) {
        self.running.abort();
    }
}

impl FakeWorker {
    /// Starts a worker that sends its heartbeats to the given control replicas.
    #[must_use]
    pub fn start(worker: &str, control: &[SocketAddr]) -> Self {
        let state = Arc::new(Mutex::new(WorkerState::default()));
        let (worker, control) = (worker.to_owned(), control.to_vec());
        let worker_state = state.clone();
        let running =
            actix_rt::spawn(async move { run_with(&worker, &control, worker_state).await });
        Self { state, running }
    }

    /// Locks the worker's state; the worker pauses while the guard is held.
    pub fn state(&self) -> MutexGuard<'_, WorkerState> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<WorkerState>) -> MutexGuard<'_, WorkerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a fake worker forever; its heartbeats go to the given control replicas.
///
/// The command `wait N` completes after N milliseconds; any other command fails immediately.
pub async fn run(worker: &str, control: &[SocketAddr]) {
    run_with(worker, control, Arc::default()).await;
}

async fn run_with(worker: &str, control: &[SocketAddr], state: Arc<Mutex<WorkerState>>) {
    loop {
        Incarnation::new(worker, state.clone()).run(control).await;
        lock(&state).reboots += 1;
        tokio::time::sleep(REBOOT_DURATION).await;
        while lock(&state).stays_down {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }
}

/// Runs one incarnation of a worker, from one boot to the next.
struct Incarnation {
    worker: String,
    incarnation: u128,
    /// The running tasks, each with the time of its completion.
    running: BTreeMap<Task, Instant>,
    /// The tasks that this incarnation has started or refused to start; none is started again.
    seen: BTreeSet<Task>,
    ended: Vec<Value>,
    lease_until: Instant,
    state: Arc<Mutex<WorkerState>>,
}

impl Incarnation {
    fn new(worker: &str, state: Arc<Mutex<WorkerState>>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            worker: worker.to_owned(),
            incarnation: since_epoch.unwrap_or_default().as_millis(),
            running: BTreeMap::new(),
            seen: BTreeSet::new(),
            ended: Vec::new(),
            lease_until: Instant::now(),
            state,
        }
    }

    /// Runs until the control replicas instruct the worker to reboot.
    async fn run(mut self, control: &[SocketAddr]) {
        loop {
            self.end_due_tasks();
            let body = self.body();
            let reported_ends = self.ended.len();
            let response = heartbeat(control, &body);
            let received = self.await_response(response).await;
            if let Some((sent_at, instructions)) = received {
                self.ended.drain(..reported_ends);
                if instructions.reboot {
                    return;
                }
                self.apply_instructions(sent_at, instructions);
            }
            let pause_until = Instant::now() + HEARTBEAT_INTERVAL;
            while Instant::now() < pause_until {
                self.stop_tasks_without_lease();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits for a response and stops the tasks if the lease expires meanwhile.
    async fn await_response<T>(&mut self, response: impl Future<Output = T>) -> T {
        let mut response = std::pin::pin!(response);
        loop {
            self.stop_tasks_without_lease();
            let pause = Duration::from_millis(20);
            if let Ok(output) = tokio::time::timeout(pause, &mut response).await {
                return output;
            }
        }
    }

    fn body(&self) -> Value {
        let to_json = |task: &Task| json!({"job": task.job, "epoch": task.epoch});
        let running: Vec<Value> = self.running.keys().map(to_json).collect();
        let software = lock(&self.state).software.clone();
        json!({
            "worker": self.worker, "incarnation": self.incarnation, "running": running,
            "ended": self.ended, "requests_in_progress": 0, "software": software,
        })
    }

    fn end_due_tasks(&mut self) {
        let now = Instant::now();
        let due = self.running.iter().filter(|(_, end)| **end <= now);
        let due: Vec<Task> = due.map(|(task, _)| *task).collect();
        for task in due {
            self.end(task, "completed");
        }
    }

    fn stop_tasks_without_lease(&mut self) {
        if Instant::now() + LEASE_MARGIN < self.lease_until {
            return;
        }
        let running: Vec<Task> = self.running.keys().copied().collect();
        for task in running {
            self.running.remove(&task);
            self.record_end(task);
        }
    }

    fn apply_instructions(&mut self, sent_at: Instant, instructions: Instructions) {
        self.lease_until = sent_at + Duration::from_millis(instructions.lease_ms);
        lock(&self.state).draining = instructions.drain;
        let has_lease = Instant::now() + LEASE_MARGIN < self.lease_until;
        for start in instructions.start {
            let task = Task {
                job: start.job,
                epoch: start.epoch,
            };
            if has_lease && self.seen.insert(task) {
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
        lock(&self.state).runs.push(Run {
            task,
            started_at: from,
            ended_at: None,
        });
    }

    fn stop(&mut self, task: Task, result: &str) {
        if self.running.contains_key(&task) {
            self.end(task, result);
        } else if self.seen.insert(task) {
            self.ended.push(ended(task, "not-started"));
        }
    }

    fn end(&mut self, task: Task, result: &str) {
        self.running.remove(&task);
        self.ended.push(ended(task, result));
        self.record_end(task);
    }

    fn record_end(&self, task: Task) {
        let mut state = lock(&self.state);
        let run = state.runs.iter_mut().rev().find(|run| run.task == task);
        if let Some(run) = run {
            run.ended_at = Some(Instant::now());
        }
    }
}

fn ended(task: Task, result: &str) -> Value {
    json!({"job": task.job, "epoch": task.epoch, "result": result})
}

/// Sends a heartbeat to the control replicas in turn until one accepts it; returns when that
/// attempt was sent, since the lease counts from then, and the instructions.
async fn heartbeat(control: &[SocketAddr], body: &Value) -> Option<(Instant, Instructions)> {
    let client = awc::Client::builder()
        .disable_redirects()
        .timeout(HEARTBEAT_TIMEOUT)
        .finish();
    for address in control {
        let sent_at = Instant::now();
        let sent = client
            .post(format!("http://{address}/v1/heartbeat"))
            .send_json(body)
            .await;
        if let Ok(mut response) = sent
            && response.status().is_success()
        {
            let instructions = response.json().await.ok()?;
            return Some((sent_at, instructions));
        }
    }
    None
}
