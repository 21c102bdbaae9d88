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
use crate::forwarding::{ForwardError, NO_LEADER_RETRY_S, follow_leader};
use crate::http::server::{Call, Reply};
use crate::message::{Answer, ClientCall, Request};

/// How long a call on a follower may take; callers turn to another instance after a second.
const FORWARD_LIMIT: Duration = Duration::from_millis(900);

/// Answers a worker or an operator.
pub(super) async fn answer(node: Node, call: Call) -> Reply {
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
        Ok(None) => (Reply::new(404).with_error("no such call"), "unknown-call"),
        Err(error) => (Reply::new(400).with_error(error), "invalid"),
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
async fn decide_or_forward(node: &Node, request: Request) -> Answer {
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
    match follow_leader(node.leader_changes(), FORWARD_LIMIT, call).await {
        Ok(answer) => answer,
        Err(ForwardError::NotTaken) => node.not_leader(),
        Err(ForwardError::Unknown) => Answer::Unknown,
    }
}

fn encode(answer: Answer) -> (Reply, &'static str) {
    match answer {
        Answer::Accepted => (Reply::new(200).with_body("{}"), "accepted"),
        Answer::HeartbeatNoted { next } => {
            let body = encode_heartbeat_answer(next.as_deref());
            (Reply::new(200).with_body(body), "heartbeat")
        }
        Answer::Document(document) => (Reply::new(200).with_body(document), "document"),
        Answer::Wave { complete } => (
            Reply::new(200).with_body(encode_wave_state(complete)),
            "wave",
        ),
        Answer::Invalid(what) => (Reply::new(400).with_error(what), "invalid"),
        Answer::NotFound => (Reply::new(404).with_error("not found"), "not-found"),
        Answer::NotLeader { .. } => {
            let reply = Reply::new(503).with_error("no leader is known; try again");
            (reply.with_retry_after_s(NO_LEADER_RETRY_S), "no-leader")
        }
        Answer::NoConfiguration => (
            Reply::new(503).with_error("no configuration yet"),
            "no-configuration",
        ),
        _ => {
            let what = "no clear answer; send the same call again";
            (Reply::new(503).with_error(what), "unclear")
        }
    }
}

/// Answers a call where this instance leads.
pub(super) async fn decide(node: &Node, request: Request) -> Answer {
    if !node.leads() {
        return node.not_leader();
    }
    match request {
        Request::Client { host, path, call } => decide_client(node, &host, &path, call).await,
        Request::Heartbeat(heartbeat) => note_heartbeat(node, *heartbeat).await,
        Request::Departure(worker) => {
            let noted = node.turn(|leader, state| leader.on_departure(&worker, state));
            match noted {
                Some(()) => Answer::Accepted,
                None => node.not_leader(),
            }
        }
        Request::PutConfiguration(whole) => put_configuration(node, *whole).await,
        Request::ReadConfiguration => node.read(|state| {
            if state.configuration.document.is_empty() {
                Answer::NoConfiguration
            } else {
                Answer::Document(state.configuration.document.clone())
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
                    Answer::Invalid("the number names another wave; take a new one".into())
                }
                Ok(_) => Answer::Accepted,
                Err(error) => refused(node, error),
            }
        }
        Request::WaveState(number) => node.read(|state| match state.waves.get(&number) {
            Some(wave) => Answer::Wave {
                complete: wave.is_complete(),
            },
            None => Answer::NotFound,
        }),
    }
}

fn refused(node: &Node, error: ProposeError) -> Answer {
    match error {
        ProposeError::NotLeader => node.not_leader(),
        ProposeError::Unknown => Answer::Unknown,
    }
}

async fn note_heartbeat(node: &Node, heartbeat: Heartbeat) -> Answer {
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
    Answer::HeartbeatNoted {
        next: node.receiver_of(&worker),
    }
}

async fn put_configuration(node: &Node, whole: Configuration) -> Answer {
    let version = whole.version;
    match node.propose(Command::Configure(Arc::new(whole))).await {
        Ok(outcome) => {
            log::info!("event=configuration_put version={version} outcome={outcome:?}");
            Answer::Accepted
        }
        Err(error) => refused(node, error),
    }
}

async fn decide_client(node: &Node, host: &str, path: &str, call: ClientCall) -> Answer {
    let found = node.read_fresh(|state| {
        if state.configuration.document.is_empty() {
            return Err(Answer::NoConfiguration);
        }
        match state.configuration.find_queue(host, path) {
            Some((queue, rest)) => Ok((queue.clone(), SmolStr::new(rest))),
            None => Err(Answer::NoQueue),
        }
    });
    let (queue, rest) = match found {
        None => return node.not_leader(),
        Some(Err(answer)) => return answer,
        Some(Ok(found)) => found,
    };
    if rest.is_empty() {
        return match call {
            ClientCall::Read => {
                let waiting = node.turn(|leader, state| leader.waiting_jobs(&queue.key, state));
                to_answer(node, waiting)
            }
            ClientCall::Submit(_) | ClientCall::Cancel => Answer::Invalid("name a job".into()),
        };
    }
    let Ok(key) = rest.parse::<JobKey>() else {
        return match call {
            ClientCall::Submit(_) => {
                Answer::Invalid("a job is named by 16 hexadecimal digits".into())
            }
            ClientCall::Read | ClientCall::Cancel => Answer::NotFound,
        };
    };
    match call {
        ClientCall::Submit(spec) => submit(node, key, &queue, *spec).await,
        ClientCall::Read => {
            let status = node.turn(|leader, state| leader.status(&queue.key, key, state));
            to_answer(node, status)
        }
        ClientCall::Cancel => cancel(node, key, &queue).await,
    }
}

fn to_answer(node: &Node, reply: Option<QueryResponse>) -> Answer {
    match reply {
        None => node.not_leader(),
        Some(QueryResponse::NoQueue) => Answer::NoQueue,
        Some(QueryResponse::NoJob) => Answer::NotFound,
        Some(QueryResponse::Status(status)) => Answer::Status(status),
        Some(QueryResponse::Waiting(count)) => {
            Answer::Waiting(u64::try_from(count).unwrap_or(u64::MAX))
        }
    }
}

async fn submit(node: &Node, key: JobKey, queue: &Queue, spec: JobSpec) -> Answer {
    let decision = node.turn(|leader, state| leader.decide_submission(key, queue, &spec, state));
    match decision {
        None => node.not_leader(),
        Some(SubmitDecision::AlreadyAccepted) => Answer::Accepted,
        Some(SubmitDecision::RetryAfter { after_ms }) => Answer::ComeBack { after_ms },
        Some(SubmitDecision::Propose) => {
            let command = Command::Submit {
                job: key,
                queue: queue.key.clone(),
                spec: Arc::new(spec),
                at_ms: wall_ms(),
            };
            match node.propose(command).await {
                Ok(_) => Answer::Accepted,
                Err(error) => refused(node, error),
            }
        }
    }
}

async fn cancel(node: &Node, key: JobKey, queue: &Queue) -> Answer {
    let known = node.read_fresh(|state| {
        state
            .jobs
            .get(&key)
            .is_some_and(|job| job.queue == queue.key)
    });
    match known {
        None => node.not_leader(),
        Some(false) => Answer::NotFound,
        Some(true) => match node.propose(Command::Cancel(key)).await {
            Ok(Outcome::Unknown) => Answer::NotFound,
            Ok(_) => Answer::Accepted,
            Err(error) => refused(node, error),
        },
    }
}
