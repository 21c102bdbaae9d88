//! What workers speak.

use std::collections::BTreeSet;

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;
use serde::{Deserialize, Serialize};

use super::refuse;
use crate::node::NodeHandle;
use crate::settings::Settings;

/// How long a worker may go on with its tasks, counted from when it asked.
const TASK_LEASE_MS: DurationMs = DurationMs::new(5_000);

/// Starts the workers' listener.
pub(crate) fn start(settings: &Settings, handle: NodeHandle) -> std::io::Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(handle.clone()))
            .route("/v1/heartbeat", web::post().to(heartbeat))
    });
    let server = server.workers(1).bind(settings.workers)?;
    Ok(server.run())
}

/// Identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct TaskBody {
    job: JobId,
    epoch: Epoch,
}

#[derive(Debug, Deserialize)]
struct EndedBody {
    job: JobId,
    epoch: Epoch,
    result: TaskResult,
}

/// Says what a worker runs and what has ended.
#[derive(Debug, Deserialize)]
struct HeartbeatBody {
    worker: WorkerId,
    #[serde(default)]
    running: BTreeSet<TaskBody>,
    #[serde(default)]
    ended: Vec<EndedBody>,
}

#[derive(Debug, Serialize)]
struct StartBody {
    job: JobId,
    epoch: Epoch,
    command: SmolStr,
}

/// Says what the worker is to do.
#[derive(Debug, Serialize)]
struct InstructionsBody {
    lease_ms: DurationMs,
    start: Vec<StartBody>,
    stop: Vec<TaskBody>,
}

async fn heartbeat(handle: web::Data<NodeHandle>, body: web::Json<HeartbeatBody>) -> HttpResponse {
    let HeartbeatBody {
        worker,
        running,
        ended,
    } = body.into_inner();
    if !ended.is_empty() {
        let report = |ended: EndedBody| TaskReport {
            job: ended.job,
            worker: worker.clone(),
            epoch: ended.epoch,
            result: ended.result,
        };
        let reports = ended.into_iter().map(report).collect();
        if let Err(error) = handle.propose(Command::Report(reports)).await {
            return refuse(&error);
        }
    }
    let looked = handle
        .look_fresh(move |view| {
            view.workers.note(worker.clone(), monotonic_ms());
            instructions(&view.state.jobs, &worker, &running)
        })
        .await;
    looked.map_or_else(|error| refuse(&error), |body| HttpResponse::Ok().json(body))
}

fn instructions(jobs: &Jobs, worker: &WorkerId, running: &BTreeSet<TaskBody>) -> InstructionsBody {
    let mut wanted = BTreeSet::new();
    let mut start = Vec::new();
    for job in jobs.on_worker(worker) {
        let JobState::Placed { epoch, .. } = job.state else {
            continue;
        };
        let task = TaskBody { job: job.id, epoch };
        wanted.insert(task);
        if !running.contains(&task) {
            start.push(StartBody {
                job: job.id,
                epoch,
                command: job.request.command.clone(),
            });
        }
    }
    let stop = running.difference(&wanted).copied().collect();
    InstructionsBody {
        lease_ms: TASK_LEASE_MS,
        start,
        stop,
    }
}
