//! A worker that runs tasks by waiting.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Deserialize)]
struct Instructions {
    start: Vec<Start>,
    stop: Vec<Task>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
struct Task {
    job: u64,
    epoch: u64,
}

#[derive(Debug, Deserialize)]
struct Start {
    job: u64,
    epoch: u64,
    command: String,
}

/// Runs a fake worker against the control replicas for ever.
///
/// The command `wait N` completes after N milliseconds; any other command fails at once.
pub async fn run(worker: &str, control: &[SocketAddr]) {
    let mut running: BTreeMap<Task, Instant> = BTreeMap::new();
    let mut ended: Vec<Value> = Vec::new();
    loop {
        let now = Instant::now();
        for task in running
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(task, _)| *task)
            .collect::<Vec<_>>()
        {
            running.remove(&task);
            ended.push(json!({"job": task.job, "epoch": task.epoch, "result": "completed"}));
        }
        let tasks: Vec<_> = running
            .keys()
            .map(|task| json!({"job": task.job, "epoch": task.epoch}))
            .collect();
        let body = json!({"worker": worker, "running": tasks, "ended": ended});
        if let Some(instructions) = heartbeat(control, &body).await {
            ended.clear();
            for start in instructions.start {
                let task = Task {
                    job: start.job,
                    epoch: start.epoch,
                };
                match start
                    .command
                    .strip_prefix("wait ")
                    .and_then(|text| text.parse().ok())
                {
                    Some(wait_ms) => {
                        running.insert(task, Instant::now() + Duration::from_millis(wait_ms));
                    }
                    None => ended
                        .push(json!({"job": task.job, "epoch": task.epoch, "result": "failed"})),
                }
            }
            instructions.stop.iter().for_each(|task| {
                running.remove(task);
            });
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn heartbeat(control: &[SocketAddr], body: &Value) -> Option<Instructions> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(2))
        .finish();
    for address in control {
        let sent = client
            .post(format!("http://{address}/v1/heartbeat"))
            .send_json(body)
            .await;
        if let Ok(mut response) = sent
            && response.status().is_success()
        {
            return response.json().await.ok();
        }
    }
    None
}
