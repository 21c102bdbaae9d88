//! HTTP handlers with which callers submit and cancel jobs.

use std::rc::Rc;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use jasminefall_core::prelude::*;
use jasminefall_state::Outcome;
use jasminefall_state::prelude::*;
use serde::{Deserialize, Serialize};

use super::callers::ThreadContext;

const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Describes the job to submit.
#[derive(Debug, Deserialize)]
pub(crate) struct SubmitBody {
    key: IdempotencyKey,
    team: TeamId,
    #[serde(default)]
    kind: SmolStr,
    #[serde(default)]
    urgency: Urgency,
    cpu_mcores: MilliCores,
    memory_bytes: Bytes,
    #[serde(default)]
    accelerators: u64,
    #[serde(default)]
    idempotent: bool,
    #[serde(default)]
    can_checkpoint: bool,
    #[serde(default)]
    expected_ms: DurationMs,
    command: SmolStr,
}

#[derive(Debug, Serialize)]
struct AcceptedBody {
    job: JobId,
}

/// Submits a job and answers once it is durable.
pub(crate) async fn submit(
    thread: web::Data<Rc<ThreadContext>>,
    body: web::Json<SubmitBody>,
) -> HttpResponse {
    let body = body.into_inner();
    let command = Command::Submit(JobRequest {
        key: body.key,
        team: body.team,
        kind: body.kind,
        urgency: body.urgency,
        cpu_mcores: body.cpu_mcores,
        memory_bytes: body.memory_bytes,
        accelerators: body.accelerators,
        idempotent: body.idempotent,
        command: body.command,
        can_checkpoint: body.can_checkpoint,
        expected_ms: body.expected_ms,
    });
    match thread.control.propose(PROPOSAL_TIMEOUT, &command).await {
        Ok(Outcome::Accepted(job)) => HttpResponse::Accepted().json(AcceptedBody { job }),
        Ok(Outcome::Refused(refusal)) => {
            HttpResponse::UnprocessableEntity().body(format!("{refusal}\n"))
        }
        Ok(_) => HttpResponse::InternalServerError().finish(),
        Err(error) => HttpResponse::ServiceUnavailable().body(format!("{error}\n")),
    }
}

pub(crate) async fn cancel(
    thread: web::Data<Rc<ThreadContext>>,
    job: web::Path<u64>,
) -> HttpResponse {
    let command = Command::Cancel(vec![JobId::new(*job)]);
    match thread.control.propose(PROPOSAL_TIMEOUT, &command).await {
        Ok(_) => HttpResponse::NoContent().finish(),
        Err(error) => HttpResponse::ServiceUnavailable().body(format!("{error}\n")),
    }
}
