//! What workers speak.

use std::collections::{BTreeMap, BTreeSet};

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use jasminefall_core::prelude::*;
use jasminefall_policy::placement::Resources;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::ControlError;
use serde::{Deserialize, Serialize};

use super::{ErrorBody, refuse};
use crate::node::{NodeHandle, View};
use crate::settings::Settings;
use crate::worker_book::{Heard, TASK_LEASE_MS};

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

/// Says how a task ended, or that it is throttled.
#[derive(Debug, Clone, Deserialize)]
struct EndedBody {
    job: JobId,
    epoch: Epoch,
    result: TaskResult,
}

/// Says what a running task was last seen to use.
#[derive(Debug, Clone, Deserialize)]
struct UsageBody {
    job: JobId,
    epoch: Epoch,
    cpu_mcores: MilliCores,
    memory_bytes: Bytes,
}

/// Says what a worker runs and what has ended.
#[derive(Debug, Clone, Deserialize)]
struct HeartbeatBody {
    worker: WorkerId,
    #[serde(default)]
    incarnation: Incarnation,
    #[serde(default)]
    running: BTreeSet<TaskBody>,
    #[serde(default)]
    ended: Vec<EndedBody>,
    #[serde(default)]
    usage: Vec<UsageBody>,
    #[serde(default)]
    requests_in_progress: u64,
    #[serde(default)]
    software: SmolStr,
}

#[derive(Debug, Serialize)]
struct StartBody {
    job: JobId,
    epoch: Epoch,
    command: SmolStr,
    cpu_mcores: MilliCores,
    memory_bytes: Bytes,
}

/// Says what the worker is to do.
#[derive(Debug, Default, Serialize)]
struct InstructionsBody {
    lease_ms: DurationMs,
    start: Vec<StartBody>,
    throttle: Vec<TaskBody>,
    checkpoint: Vec<TaskBody>,
    stop: Vec<TaskBody>,
    drain: bool,
    reboot: bool,
}

/// Says why a heartbeat was not taken.
enum NotTaken {
    /// The process was started anew since.
    Outdated,
    /// This replica could not.
    Control(ControlError),
}

impl From<ControlError> for NotTaken {
    fn from(error: ControlError) -> Self {
        Self::Control(error)
    }
}

async fn heartbeat(handle: web::Data<NodeHandle>, body: web::Json<HeartbeatBody>) -> HttpResponse {
    match take(&handle, body.into_inner()).await {
        Ok(instructions) => HttpResponse::Ok().json(instructions),
        Err(NotTaken::Control(error)) => refuse(&error),
        Err(NotTaken::Outdated) => HttpResponse::Conflict().json(ErrorBody {
            error: "a later start of this worker is known; stop its tasks and end".to_owned(),
            leader_peer: None,
        }),
    }
}

async fn take(handle: &NodeHandle, body: HeartbeatBody) -> Result<InstructionsBody, NotTaken> {
    let instance = InstanceId::new(body.worker.as_str());
    let incarnation = body.incarnation;
    let hear = Command::RecordIncarnation {
        instance: instance.clone(),
        incarnation,
    };
    handle
        .decide(move |view| must_hear(view, &instance, incarnation).then_some(hear))
        .await?;
    if !body.ended.is_empty() {
        report(handle, &body).await?;
    }
    let looked = handle.look_fresh(move |view| grant(view, &body)).await?;
    looked.ok_or(NotTaken::Outdated)
}

/// Returns whether the state must learn of this start of the process, or of its return.
fn must_hear(view: &View, instance: &InstanceId, incarnation: Incarnation) -> bool {
    view.state.instances.get(instance).is_some_and(|known| {
        let is_new = known.incarnation.is_none_or(|old| old < incarnation);
        let is_back =
            known.condition == InstanceCondition::Failed && known.purpose == Purpose::Lost;
        is_new || (is_back && known.incarnation == Some(incarnation))
    })
}

async fn report(handle: &NodeHandle, body: &HeartbeatBody) -> Result<(), ControlError> {
    let reports = body.ended.iter().map(|ended| TaskReport {
        job: ended.job,
        worker: body.worker.clone(),
        epoch: ended.epoch,
        result: ended.result,
    });
    let reports: Vec<TaskReport> = reports.collect();
    let now_ms = monotonic_ms();
    let decided = handle.decide(move |view| {
        for report in &reports {
            note_health(view, report, now_ms);
        }
        Some(Command::Report(reports))
    });
    decided.await.map(|_| ())
}

fn note_health(view: &mut View, report: &TaskReport, now_ms: u64) {
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

/// Grants a lease and says what is to be done; none where the process was started anew since.
fn grant(view: &mut View, body: &HeartbeatBody) -> Option<InstructionsBody> {
    let now_ms = monotonic_ms();
    let instance = view
        .state
        .instances
        .get(&InstanceId::new(body.worker.as_str()));
    if instance.is_some_and(|known| known.incarnation != Some(body.incarnation)) {
        return None;
    }
    let condition = instance.map(|known| known.condition).unwrap_or_default();
    let heard = Heard::new(now_ms, body.requests_in_progress, body.software.clone());
    if !view.workers.grant(&body.worker, now_ms, heard) {
        return Some(InstructionsBody {
            stop: body.running.iter().copied().collect(),
            ..InstructionsBody::default()
        });
    }
    note_usage(view, body);
    let drains = matches!(
        condition,
        InstanceCondition::Cordoned | InstanceCondition::Draining
    );
    view.workers.note_drain(&body.worker, now_ms, drains);
    Some(InstructionsBody {
        lease_ms: TASK_LEASE_MS,
        drain: drains,
        reboot: condition == InstanceCondition::Rebooting,
        ..instructions(&view.state.jobs, body)
    })
}

/// Learns from usage of tasks that are still the current ones; other reports say nothing of them.
fn note_usage(view: &mut View, body: &HeartbeatBody) {
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

fn instructions(jobs: &Jobs, body: &HeartbeatBody) -> InstructionsBody {
    let mut wanted = BTreeMap::new();
    let mut instructions = InstructionsBody::default();
    for job in jobs.on_worker(&body.worker) {
        let Some(task) = job.task() else {
            continue;
        };
        let named = TaskBody {
            job: job.id,
            epoch: task.epoch,
        };
        wanted.insert(named, task.directive);
        match task.directive {
            TaskDirective::Stop | TaskDirective::Cancel => instructions.stop.push(named),
            TaskDirective::Checkpoint => instructions.checkpoint.push(named),
            TaskDirective::Throttle => instructions.throttle.push(named),
            TaskDirective::Run => {}
        }
        let runs = matches!(task.directive, TaskDirective::Run | TaskDirective::Throttle);
        if runs && !body.running.contains(&named) {
            instructions.start.push(StartBody {
                job: job.id,
                epoch: task.epoch,
                command: job.request.command.clone(),
                cpu_mcores: task.size.cpu_mcores,
                memory_bytes: task.size.memory_bytes,
            });
        }
    }
    let unwanted = body
        .running
        .iter()
        .filter(|task| !wanted.contains_key(task));
    instructions.stop.extend(unwanted.copied());
    instructions
}
