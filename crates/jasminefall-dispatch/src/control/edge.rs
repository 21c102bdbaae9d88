//! What workers and operators call, and what entries forward.

use std::sync::Arc;
use std::time::Duration;

use jasminefall_jobs::leader::{QueryResponse, SubmitDecision};
use jasminefall_jobs::prelude::*;
use jasminefall_platform::control_calls::{
    ControlCall, decode_call, encode_heartbeat_answer, encode_wave_state,
};
use jasminefall_runtime::clock::wall_ms;
use smol_str::SmolStr;

use super::node::{Node, ProposeError};
use crate::forwarding::{ForwardError, NO_LEADER_RETRY_S, call_leader};
use crate::http::server::{HttpRequest, HttpResponse};
use crate::message::{ClientOperation, Request, Response};

/// How long a call on a follower may take; callers turn to another instance after a second.
const FORWARD_LIMIT: Duration = Duration::from_millis(900);

/// Answers a worker or an operator.
pub(super) async fn answer(node: Node, call: HttpRequest) -> HttpResponse {
    let decoded = decode_call(&call.method, &call.path, &call.body);
    let (reply, cause) = match decoded {
        Ok(Some(decoded)) => {
            let request = match decoded {
                ControlCall::Heartbeat(heartbeat) => Request::Heartbeat(heartbeat),
                ControlCall::Departure(worker) => Request::Departure(worker),
                ControlCall::PutConfiguration(whole) => Request::PutConfiguration(whole),
                ControlCall::ReadConfiguration => Request::ReadConfiguration,
                ControlCall::StartWave(number, wave) => Request::StartWave(number, wave),
                ControlCall::WaveState(number) => Request::WaveState(number),
            };
            encode(decide_or_forward(&node, request).await)
        }
        Ok(None) => (
            HttpResponse::new(404).with_error("no such call"),
            "unknown-call",
        ),
        Err(error) => (HttpResponse::new(400).with_error(error), "invalid"),
    };
    let is_routine = cause == "heartbeat" || (cause == "document" && reply.status == 200);
    if !is_routine {
        log::info!(
            "event=control_answered method={} path={} status={} cause={cause}",
            call.method,
            call.path,
            reply.status
        );
    }
    reply
}

/// Decides a call where this instance leads, and otherwise forwards it to the leader.
async fn decide_or_forward(node: &Node, request: Request) -> Response {
    if node.leads() {
        return decide(node, request).await;
    }
    let own = node.address();
    let call = async |leader, left| {
        if leader == own {
            return Ok(decide(node, request.clone()).await);
        }
        node.forwarder(leader).forward(left, &request).await
    };
    match call_leader(node.leader_changes(), FORWARD_LIMIT, call).await {
        Ok(answer) => answer,
        Err(ForwardError::NotExecuted) => node.not_leader(),
        Err(ForwardError::Unknown) => Response::Unknown,
    }
}

fn encode(answer: Response) -> (HttpResponse, &'static str) {
    match answer {
        Response::Accepted => (HttpResponse::new(200).with_body("{}"), "accepted"),
        Response::HeartbeatNoted { next } => {
            let body = encode_heartbeat_answer(next.as_deref());
            (HttpResponse::new(200).with_body(body), "heartbeat")
        }
        Response::Document(document) => (HttpResponse::new(200).with_body(document), "document"),
        Response::Wave { complete } => (
            HttpResponse::new(200).with_body(encode_wave_state(complete)),
            "wave",
        ),
        Response::Invalid(what) => (HttpResponse::new(400).with_error(what), "invalid"),
        Response::NotFound => (HttpResponse::new(404).with_error("not found"), "not-found"),
        Response::NotLeader { .. } => {
            let reply = HttpResponse::new(503).with_error("no leader is known; try again");
            (reply.with_retry_after_s(NO_LEADER_RETRY_S), "no-leader")
        }
        Response::NoConfiguration => (
            HttpResponse::new(503).with_error("no configuration yet"),
            "no-configuration",
        ),
        _ => {
            let what = "no clear answer; send the same call again";
            (HttpResponse::new(503).with_error(what), "unclear")
        }
    }
}

/// Answers a call where this instance leads.
pub(super) async fn decide(node: &Node, request: Request) -> Response {
    if !node.leads() {
        return node.not_leader();
    }
    match request {
        Request::Client {
            host,
            path,
            call: operation,
        } => decide_client(node, &host, &path, operation).await,
        Request::Heartbeat(heartbeat) => note_heartbeat(node, *heartbeat).await,
        Request::Departure(worker) => {
            let noted = node.turn(|leader, state| leader.on_departure(&worker, state));
            match noted {
                Some(()) => Response::Accepted,
                None => node.not_leader(),
            }
        }
        Request::PutConfiguration(whole) => put_configuration(node, *whole).await,
        Request::ReadConfiguration => node.read(|state| {
            if state.configuration.document.is_empty() {
                Response::NoConfiguration
            } else {
                Response::Document(state.configuration.document.clone())
            }
        }),
        Request::StartWave(number, mut wave) => {
            wave.accepted_at_ms = wall_ms();
            let command = Command::StartWave {
                wave: number,
                plan: *wave,
            };
            match node.propose(command).await {
                Ok(Outcome::Conflict) => {
                    Response::Invalid("the number names another wave; take a new one".into())
                }
                Ok(_) => Response::Accepted,
                Err(error) => refused(node, error),
            }
        }
        Request::WaveState(number) => node.read(|state| match state.waves.get(&number) {
            Some(wave) => Response::Wave {
                complete: wave.is_complete(),
            },
            None => Response::NotFound,
        }),
    }
}

fn refused(node: &Node, error: ProposeError) -> Response {
    match error {
        ProposeError::NotLeader => node.not_leader(),
        ProposeError::Unknown => Response::Unknown,
    }
}

async fn note_heartbeat(node: &Node, heartbeat: Heartbeat) -> Response {
    // That a worker drains must outlast this leader before the worker relies on it.
    let drains = heartbeat.draining;
    let incarnation = heartbeat.incarnation.clone();
    let worker = incarnation.worker.clone();
    let held = heartbeat.clone();
    let noted = node.turn(|leader, state| leader.on_heartbeat(heartbeat, state));
    match noted {
        Some(_) if drains => {
            let is_durable = node.read_state(|state| {
                state
                    .incarnations
                    .get(&incarnation)
                    .is_some_and(|record| record.heartbeat.draining)
            });
            if !is_durable && let Err(error) = node.propose(Command::Register(Box::new(held))).await
            {
                return refused(node, error);
            }
        }
        Some(_) => {}
        None => return node.not_leader(),
    }
    Response::HeartbeatNoted {
        next: node.receiver_of(&worker),
    }
}

async fn put_configuration(node: &Node, whole: Configuration) -> Response {
    let version = whole.version;
    match node.propose(Command::Configure(Arc::new(whole))).await {
        Ok(outcome) => {
            log::info!("event=configuration_put version={version} outcome={outcome:?}");
            Response::Accepted
        }
        Err(error) => refused(node, error),
    }
}

async fn decide_client(
    node: &Node,
    host: &str,
    path: &str,
    operation: ClientOperation,
) -> Response {
    let found = node.read_fresh(|state| {
        if state.configuration.document.is_empty() {
            return Err(Response::NoConfiguration);
        }
        match state.configuration.find_queue(host, path) {
            Some((queue, rest)) => Ok((queue.clone(), SmolStr::new(rest))),
            None => Err(Response::NoQueue),
        }
    });
    let (queue, rest) = match found {
        None => return node.not_leader(),
        Some(Err(answer)) => return answer,
        Some(Ok(found)) => found,
    };
    if rest.is_empty() {
        return match operation {
            ClientOperation::Read => {
                let waiting = node.turn(|leader, state| leader.waiting_jobs(&queue.key, state));
                to_answer(node, waiting)
            }
            ClientOperation::Submit(_) | ClientOperation::Cancel => {
                Response::Invalid("name a job".into())
            }
        };
    }
    let Ok(key) = rest.parse::<JobKey>() else {
        return match operation {
            ClientOperation::Submit(_) => {
                Response::Invalid("a job is named by 16 hexadecimal digits".into())
            }
            ClientOperation::Read | ClientOperation::Cancel => Response::NotFound,
        };
    };
    match operation {
        ClientOperation::Submit(spec) => submit(node, key, &queue, *spec).await,
        ClientOperation::Read => {
            let status = node.turn(|leader, state| leader.status(&queue.key, key, state));
            to_answer(node, status)
        }
        ClientOperation::Cancel => cancel(node, key, &queue).await,
    }
}

fn to_answer(node: &Node, reply: Option<QueryResponse>) -> Response {
    match reply {
        None => node.not_leader(),
        Some(QueryResponse::NoQueue) => Response::NoQueue,
        Some(QueryResponse::NoJob) => Response::NotFound,
        Some(QueryResponse::Status(status)) => Response::Status(status),
        Some(QueryResponse::Waiting(count)) => {
            Response::Waiting(u64::try_from(count).unwrap_or(u64::MAX))
        }
    }
}

async fn submit(node: &Node, key: JobKey, queue: &Queue, spec: JobSpec) -> Response {
    let decision = node.turn(|leader, state| leader.decide_submission(key, queue, &spec, state));
    match decision {
        None => node.not_leader(),
        Some(SubmitDecision::AlreadyAccepted) => Response::Accepted,
        Some(SubmitDecision::RetryAfter { after_ms }) => Response::RetryAfter { after_ms },
        Some(SubmitDecision::Propose) => {
            let command = Command::Submit {
                job: key,
                queue: queue.key.clone(),
                spec: Arc::new(spec),
                at_ms: wall_ms(),
            };
            match node.propose(command).await {
                Ok(_) => Response::Accepted,
                Err(error) => refused(node, error),
            }
        }
    }
}

async fn cancel(node: &Node, key: JobKey, queue: &Queue) -> Response {
    let known = node.read_fresh(|state| {
        state
            .jobs
            .get(&key)
            .is_some_and(|job| job.queue == queue.key)
    });
    match known {
        None => node.not_leader(),
        Some(false) => Response::NotFound,
        Some(true) => match node.propose(Command::Cancel(key)).await {
            Ok(Outcome::Unknown) => Response::NotFound,
            Ok(_) => Response::Accepted,
            Err(error) => refused(node, error),
        },
    }
}
