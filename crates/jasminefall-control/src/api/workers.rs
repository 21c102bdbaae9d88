//! HTTP listener for heartbeats of workers.

use std::collections::{BTreeMap, BTreeSet};

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::ControlError;
use serde::{Deserialize, Serialize};

use super::{ErrorBody, error_response};
use crate::node::{NodeHandle, View};
use crate::settings::Settings;
use crate::worker_registry::{HeartbeatRecord, TASK_LEASE_MS};

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

/// Reports the result of a task, or that it is throttled.
#[derive(Debug, Clone, Deserialize)]
struct EndedTaskBody {
    job: JobId,
    epoch: Epoch,
    result: TaskResult,
}

/// Reports the latest resource usage of a running task.
#[derive(Debug, Clone, Deserialize)]
struct TaskUsageBody {
    job: JobId,
    epoch: Epoch,
    cpu_mcores: MilliCores,
    memory_bytes: Bytes,
}

/// Reports the tasks of a worker and the state of its backend server.
#[derive(Debug, Clone, Deserialize)]
struct HeartbeatBody {
    worker: WorkerId,
    #[serde(default)]
    incarnation: Incarnation,
    #[serde(default)]
    running: BTreeSet<TaskBody>,
    #[serde(default)]
    ended: Vec<EndedTaskBody>,
    #[serde(default)]
    usage: Vec<TaskUsageBody>,
    #[serde(default)]
    requests_in_progress: u64,
    #[serde(default)]
    software: SmolStr,
}

#[derive(Debug, Serialize)]
struct StartTaskBody {
    job: JobId,
    epoch: Epoch,
    command: SmolStr,
    cpu_mcores: MilliCores,
    memory_bytes: Bytes,
}

/// Carries the worker's lease and its instructions.
#[derive(Debug, Default, Serialize)]
struct InstructionsBody {
    lease_ms: DurationMs,
    start: Vec<StartTaskBody>,
    throttle: Vec<TaskBody>,
    checkpoint: Vec<TaskBody>,
    stop: Vec<TaskBody>,
    drain: bool,
    reboot: bool,
}

/// Describes why a heartbeat was not processed.
enum HeartbeatError {
    /// A later incarnation of the worker process is registered.
    OutdatedIncarnation,
    /// This replica could not process it.
    Control(ControlError),
}

impl From<ControlError> for HeartbeatError {
    fn from(error: ControlError) -> Self {
        Self::Control(error)
    }
}

async fn heartbeat(handle: web::Data<NodeHandle>, body: web::Json<HeartbeatBody>) -> HttpResponse {
    match process_heartbeat(&handle, body.into_inner()).await {
        Ok(instructions) => HttpResponse::Ok().json(instructions),
        Err(HeartbeatError::Control(error)) => error_response(&error),
        Err(HeartbeatError::OutdatedIncarnation) => HttpResponse::Conflict().json(ErrorBody {
            error: "a later incarnation of this worker is registered; stop all tasks of this \
                    process and exit"
                .to_owned(),
            leader_peer: None,
        }),
    }
}

async fn process_heartbeat(
    handle: &NodeHandle,
    body: HeartbeatBody,
) -> Result<InstructionsBody, HeartbeatError> {
    let instance = InstanceId::new(body.worker.as_str());
    let incarnation = body.incarnation;
    let record = Command::RecordIncarnation {
        instance: instance.clone(),
        incarnation,
    };
    handle
        .propose_from_view(move |view| {
            must_record_incarnation(view, &instance, incarnation).then_some(record)
        })
        .await?;
    if !body.ended.is_empty() {
        report_ended_tasks(handle, &body).await?;
    }
    let result = handle
        .with_fresh_view(move |view| renew_lease(view, &body))
        .await?;
    result.ok_or(HeartbeatError::OutdatedIncarnation)
}

/// Returns whether the state must record a new incarnation, or the return of a lost instance.
fn must_record_incarnation(view: &View, instance: &InstanceId, incarnation: Incarnation) -> bool {
    view.state.instances.get(instance).is_some_and(|known| {
        let is_new = known.incarnation.is_none_or(|old| old < incarnation);
        let is_back =
            known.condition == InstanceCondition::Failed && known.purpose == Purpose::Lost;
        is_new || (is_back && known.incarnation == Some(incarnation))
    })
}

async fn report_ended_tasks(handle: &NodeHandle, body: &HeartbeatBody) -> Result<(), ControlError> {
    let reports = body.ended.iter().map(|ended| TaskReport {
        job: ended.job,
        worker: body.worker.clone(),
        epoch: ended.epoch,
        result: ended.result,
    });
    let reports: Vec<TaskReport> = reports.collect();
    let now_ms = monotonic_ms();
    let proposal = handle.propose_from_view(move |view| {
        for report in &reports {
            record_task_result(view, report, now_ms);
        }
        Some(Command::Report(reports))
    });
    proposal.await.map(|_| ())
}

/// Counts a completed or failed task for the health of its worker, unless the report is of an
/// earlier placement of the job.
fn record_task_result(view: &mut View, report: &TaskReport, now_ms: u64) {
    let job = view.state.jobs.get(report.job);
    let task = job.and_then(Job::task);
    let Some(job) = job.filter(|_| task.is_some_and(|task| task.epoch == report.epoch)) else {
        return;
    };
    match report.result {
        TaskResult::Completed => view
            .workers
            .health
            .record_completion(&report.worker, now_ms),
        TaskResult::Failed => view
            .workers
            .health
            .record_failure(&report.worker, job.id, now_ms),
        TaskResult::Stopped
        | TaskResult::Checkpointed
        | TaskResult::Throttled
        | TaskResult::NotStarted => {}
    }
}

/// Renews the lease and returns the instructions, or `None` if another incarnation of the worker is
/// registered.
fn renew_lease(view: &mut View, body: &HeartbeatBody) -> Option<InstructionsBody> {
    let now_ms = monotonic_ms();
    let instance = view
        .state
        .instances
        .get(&InstanceId::new(body.worker.as_str()));
    if instance.is_some_and(|known| known.incarnation != Some(body.incarnation)) {
        return None;
    }
    let condition = instance.map(|known| known.condition).unwrap_or_default();
    let heartbeat_record =
        HeartbeatRecord::new(now_ms, body.requests_in_progress, body.software.clone());
    if !view
        .workers
        .renew_lease(&body.worker, now_ms, heartbeat_record)
    {
        return Some(InstructionsBody {
            stop: body.running.iter().copied().collect(),
            ..InstructionsBody::default()
        });
    }
    record_usage(view, body);
    let is_draining = matches!(
        condition,
        InstanceCondition::Cordoned | InstanceCondition::Draining
    );
    view.workers.record_drain(&body.worker, now_ms, is_draining);
    Some(InstructionsBody {
        lease_ms: TASK_LEASE_MS,
        drain: is_draining,
        reboot: condition == InstanceCondition::Rebooting,
        ..instructions(&view.state.jobs, body)
    })
}

/// Records the usage of tasks with the current epoch; other reports belong to earlier tasks.
fn record_usage(view: &mut View, body: &HeartbeatBody) {
    for usage in &body.usage {
        let job = view.state.jobs.get(usage.job);
        let current = job.filter(|job| job.task().is_some_and(|task| task.epoch == usage.epoch));
        if let Some(job) = current {
            let used = Resources {
                cpu_mcores: usage.cpu_mcores,
                memory_bytes: usage.memory_bytes,
                accelerators: 0,
            };
            view.workers
                .sizes
                .record_usage(&job.request.kind, job.id, &used);
        }
    }
}

/// Compares the tasks placed on a worker with those that it runs, and returns what it must start,
/// throttle, checkpoint or stop.
fn instructions(jobs: &Jobs, body: &HeartbeatBody) -> InstructionsBody {
    let mut assigned = BTreeMap::new();
    let mut instructions = InstructionsBody::default();
    for job in jobs.on_worker(&body.worker) {
        let Some(task) = job.task() else {
            continue;
        };
        let task_id = TaskBody {
            job: job.id,
            epoch: task.epoch,
        };
        assigned.insert(task_id, task.directive);
        match task.directive {
            TaskDirective::Stop | TaskDirective::Cancel => instructions.stop.push(task_id),
            TaskDirective::Checkpoint => instructions.checkpoint.push(task_id),
            TaskDirective::Throttle => instructions.throttle.push(task_id),
            TaskDirective::Run => {}
        }
        let runs = matches!(task.directive, TaskDirective::Run | TaskDirective::Throttle);
        if runs && !body.running.contains(&task_id) {
            instructions.start.push(StartTaskBody {
                job: job.id,
                epoch: task.epoch,
                command: job.request.command.clone(),
                cpu_mcores: task.size.cpu_mcores,
                memory_bytes: task.size.memory_bytes,
            });
        }
    }
    let unassigned = body
        .running
        .iter()
        .filter(|task| !assigned.contains_key(task));
    instructions.stop.extend(unassigned.copied());
    instructions
}
