//! Requests from workers and operators, and requests that entries forward.

use std::sync::Arc;
use std::time::Duration;

use jasminefall_jobs::leader::{CancelDecision, QueryResponse, SubmitDecision};
use jasminefall_jobs::prelude::*;
use jasminefall_platform::control_requests::{
    ControlRequest, decode_control_request, encode_heartbeat_response, encode_wave_state,
};
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_wire::extended::Extended;
use smol_str::SmolStr;

use super::node::{Node, ProposeError};
use crate::forwarding::{ForwardError, NO_LEADER_RETRY_S, call_leader};
use crate::http::server::{HttpRequest, HttpResponse};
use crate::message::{ClientOperation, Request, Response};
use crate::time_limit::TimeLimit;

/// The longest time for forwarding a request from a follower to the leader; workers and operators try
/// another instance after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);

/// Handles an HTTP request from a worker or an operator.
pub(super) async fn handle_http(node: Node, http_request: HttpRequest) -> HttpResponse {
    let decoded =
        decode_control_request(&http_request.method, &http_request.path, &http_request.body);
    let (response, cause) = match decoded {
        Ok(Some(decoded)) => {
            let request = match decoded {
                ControlRequest::Heartbeat(heartbeat) => Request::Heartbeat(heartbeat),
                ControlRequest::Departure(worker) => Request::Departure(worker),
                ControlRequest::PutConfiguration(configuration) => {
                    let access = Box::new(configuration.access.clone());
                    Request::PutConfigurationWithAccess(configuration, access)
                }
                ControlRequest::ReadConfiguration => Request::ReadConfiguration,
                ControlRequest::StartWave(number, wave) => Request::StartWave(number, wave),
                ControlRequest::WaveState(number) => Request::WaveState(number),
            };
            encode_response(handle_or_forward(&node, request).await)
        }
        Ok(None) => (
            HttpResponse::new(404).with_error("no such call"),
            "unknown-call",
        ),
        Err(error) => (HttpResponse::new(400).with_error(error), "invalid"),
    };
    let is_routine = cause == "heartbeat" || (cause == "document" && response.status == 200);
    if !is_routine {
        log::info!(
            "event=control_answered method={} path={} status={} cause={cause}",
            http_request.method,
            http_request.path,
            response.status
        );
    }
    response
}

/// Handles a request if this instance is the leader, and otherwise forwards it to the leader.
async fn handle_or_forward(node: &Node, request: Request) -> Response {
    if node.is_active_leader() {
        return handle_as_leader(node, request).await;
    }
    let own = node.address();
    let call = async |leader, remaining| {
        if leader == own {
            return Ok(handle_as_leader(node, request.clone()).await);
        }
        node.forwarder(leader).forward(remaining, &request).await
    };
    match call_leader(node.leader_changes(), FORWARD_TIMEOUT, call).await {
        Ok(response) => response,
        Err(ForwardError::NotExecuted) => node.not_leader(),
        Err(ForwardError::Unknown) => Response::Unknown,
    }
}

/// Converts a response to an HTTP response and its cause for the log.
fn encode_response(response: Response) -> (HttpResponse, &'static str) {
    match response {
        Response::Accepted => (HttpResponse::new(200).with_body("{}"), "accepted"),
        Response::HeartbeatNoted { next } => {
            let body = encode_heartbeat_response(next.as_deref());
            (HttpResponse::new(200).with_body(body), "heartbeat")
        }
        Response::Document(document) => (HttpResponse::new(200).with_body(document), "document"),
        Response::Wave { complete } => (
            HttpResponse::new(200).with_body(encode_wave_state(complete)),
            "wave",
        ),
        Response::Invalid(message) => (HttpResponse::new(400).with_error(message), "invalid"),
        Response::NotFound => (HttpResponse::new(404).with_error("not found"), "not-found"),
        Response::NotLeader { .. } => {
            let response = HttpResponse::new(503).with_error("no leader is known; try again");
            (response.with_retry_after_s(NO_LEADER_RETRY_S), "no-leader")
        }
        Response::NoConfiguration => (
            HttpResponse::new(503).with_error("no configuration yet"),
            "no-configuration",
        ),
        _ => {
            let message = "no definite response; send the same request again";
            (HttpResponse::new(503).with_error(message), "unclear")
        }
    }
}

/// Handles a request that another instance has forwarded, unless its time limit has passed.
pub(super) async fn handle_forwarded(
    node: &Node,
    received: Extended<Request, TimeLimit>,
) -> Response {
    let Some(limit) = received.extension else {
        let response = handle_as_leader(node, received.message).await;
        return response.for_earlier_release();
    };
    if limit.has_passed(monotonic_ms()) {
        log::warn!(
            "event=request_expired request={} path={} limit={limit:?}",
            received.message.name(),
            received.message.client_path()
        );
        return Response::Expired;
    }
    handle_as_leader(node, received.message).await
}

/// Handles a request on the leader; on a follower, returns a response with the leader's address.
pub(super) async fn handle_as_leader(node: &Node, request: Request) -> Response {
    if !node.is_active_leader() {
        return node.not_leader();
    }
    match request {
        Request::Client {
            host,
            path,
            call: operation,
        } => handle_client_operation(node, (&host, &path), None, operation).await,
        Request::ClientWithKey {
            host,
            path,
            operation,
            api_key,
        } => handle_client_operation(node, (&host, &path), Some(api_key), operation).await,
        Request::Heartbeat(heartbeat) => handle_heartbeat(node, *heartbeat).await,
        Request::Departure(worker) => {
            let recorded = node.with_leader(|leader, state| leader.on_departure(&worker, state));
            match recorded {
                Some(()) => Response::Accepted,
                None => node.not_leader(),
            }
        }
        Request::PutConfiguration(configuration) => {
            put_configuration(node, *configuration, Access::default()).await
        }
        Request::PutConfigurationWithAccess(configuration, access) => {
            put_configuration(node, *configuration, *access).await
        }
        Request::ReadConfiguration => node.read_response(|state| {
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
                    Response::Invalid("the number belongs to another wave; use a new number".into())
                }
                Ok(_) => Response::Accepted,
                Err(error) => proposal_error(node, error),
            }
        }
        Request::WaveState(number) => node.read_response(|state| match state.waves.get(&number) {
            Some(wave) => Response::Wave {
                complete: wave.is_complete(),
            },
            None => Response::NotFound,
        }),
    }
}

fn proposal_error(node: &Node, error: ProposeError) -> Response {
    match error {
        ProposeError::NotLeader => node.not_leader(),
        ProposeError::Unknown => Response::Unknown,
    }
}

async fn handle_heartbeat(node: &Node, heartbeat: Heartbeat) -> Response {
    // The draining state is made durable before the response, since the worker then relies on it even
    // if the leader changes.
    let is_draining = heartbeat.draining;
    let incarnation = heartbeat.incarnation.clone();
    let worker = incarnation.worker.clone();
    let to_register = heartbeat.clone();
    let recorded = node.with_leader(|leader, state| leader.on_heartbeat(heartbeat, state));
    match recorded {
        Some(true) if is_draining => {
            let is_durable = node.read_local(|state| {
                state
                    .incarnations
                    .get(&incarnation)
                    .is_some_and(|record| record.heartbeat.draining)
            });
            if !is_durable
                && let Err(error) = node.propose(Command::Register(Box::new(to_register))).await
            {
                return proposal_error(node, error);
            }
        }
        Some(_) => {}
        None => return node.not_leader(),
    }
    Response::HeartbeatNoted {
        next: node.heartbeat_receiver(&worker),
    }
}

async fn put_configuration(node: &Node, configuration: Configuration, access: Access) -> Response {
    let version = configuration.version;
    let command = Command::ConfigureWithAccess {
        configuration: Arc::new(configuration),
        access: Arc::new(access),
    };
    match node.propose(command).await {
        Ok(outcome) => {
            log::info!("event=configuration_put version={version} outcome={outcome:?}");
            Response::Accepted
        }
        Err(error) => proposal_error(node, error),
    }
}

/// Holds what a client's call refers to, and for whom it is made.
struct CallTarget {
    queue: Queue,
    /// The path below the queue's prefix, which names the job; empty for the queue itself.
    job_path: SmolStr,
    /// The workspace that the call belongs to; `None` on a public queue without a key.
    workspace: Option<Workspace>,
    /// The key of the call, which is checked again when a job becomes durable.
    api_key: Option<ApiKeyDigest>,
}

impl CallTarget {
    /// Finds the queue of a call by the configuration in force, and checks that the client may use it.
    ///
    /// # Errors
    ///
    /// Returns the response that refuses the call.
    fn find(
        configuration: &Configuration,
        (host, path): (&str, &str),
        api_key: Option<ApiKeyDigest>,
    ) -> Result<Self, Response> {
        if configuration.document.is_empty() {
            return Err(Response::NoConfiguration);
        }
        let Some((queue, job_path)) = configuration.find_queue(host, path) else {
            return Err(Response::NoQueue);
        };
        let workspace = match configuration.access.caller(&queue.key, api_key.as_ref()) {
            Caller::Workspace(workspace) => Some(workspace.clone()),
            Caller::Public => None,
            Caller::Unauthorized => {
                log::info!(
                    "event=call_unauthorized queue={} path={path} has_key={} version={}",
                    queue.name,
                    api_key.is_some(),
                    configuration.version
                );
                return Err(Response::Unauthorized);
            }
        };
        Ok(Self {
            queue: queue.clone(),
            job_path: job_path.into(),
            workspace,
            api_key,
        })
    }
}

/// Handles a client's operation. The configuration in force decides in this order whether the queue
/// exists, whether the client may use it, and whether the operation is valid.
async fn handle_client_operation(
    node: &Node,
    (host, path): (&str, &str),
    api_key: Option<ApiKeyDigest>,
    operation: ClientOperation,
) -> Response {
    let found = node
        .read_linearizable(|state| CallTarget::find(&state.configuration, (host, path), api_key));
    let target = match found {
        None => return node.not_leader(),
        Some(Err(response)) => return response,
        Some(Ok(target)) => target,
    };
    let queue = &target.queue;
    if target.job_path.is_empty() {
        return match operation {
            ClientOperation::Read => {
                let waiting =
                    node.with_leader(|leader, state| leader.waiting_jobs(&queue.key, state));
                query_response(node, waiting)
            }
            ClientOperation::SubmitInvalid(error) => Response::Invalid(error),
            ClientOperation::Submit(_) | ClientOperation::Cancel => {
                Response::Invalid("the path names no job; append a job key".into())
            }
        };
    }
    let Ok(key) = target.job_path.parse::<JobKey>() else {
        return match operation {
            ClientOperation::Submit(_) => {
                Response::Invalid("a job key has 16 hexadecimal digits".into())
            }
            ClientOperation::SubmitInvalid(error) => Response::Invalid(error),
            ClientOperation::Read | ClientOperation::Cancel => Response::NotFound,
        };
    };
    match operation {
        ClientOperation::SubmitInvalid(error) => Response::Invalid(error),
        ClientOperation::Submit(spec) => submit(node, key, &target, *spec).await,
        ClientOperation::Read => {
            let status = node.with_leader(|leader, state| leader.status(&queue.key, key, state));
            query_response(node, status)
        }
        ClientOperation::Cancel => cancel(node, key, queue).await,
    }
}

fn query_response(node: &Node, response: Option<QueryResponse>) -> Response {
    match response {
        None => node.not_leader(),
        Some(QueryResponse::NoQueue) => Response::NoQueue,
        Some(QueryResponse::NoJob) => Response::NotFound,
        Some(QueryResponse::Status(status)) => Response::Status(status),
        Some(QueryResponse::Waiting(count)) => {
            Response::Waiting(u64::try_from(count).unwrap_or(u64::MAX))
        }
    }
}

async fn submit(node: &Node, key: JobKey, target: &CallTarget, spec: JobSpec) -> Response {
    let (queue, workspace) = (&target.queue, target.workspace.as_ref());
    let decision = node.with_leader(|leader, state| {
        leader.decide_submission(key, (queue, workspace), &spec, state)
    });
    match decision {
        None => node.not_leader(),
        Some(SubmitDecision::AlreadyAccepted) => Response::Accepted,
        Some(SubmitDecision::KeyInUse) => key_in_use(),
        Some(SubmitDecision::CancelledEarlier) => Response::CancelledEarlier,
        Some(SubmitDecision::RetryAfter { after_ms }) => Response::RetryAfter { after_ms },
        Some(SubmitDecision::OverCap { step }) => Response::Invalid(
            format!(
                "a task of step {step}, or its gang, needs more than the cap of the workspace; use \
                 smaller tasks or ask the operator to raise the cap"
            )
            .into(),
        ),
        Some(SubmitDecision::Propose) => {
            let command = Command::SubmitWithKey {
                job: key,
                queue: queue.key.clone(),
                spec: Arc::new(spec),
                // Zero marks early cancellations.
                at_ms: wall_ms().max(1),
                api_key: target.api_key,
            };
            match node.propose(command).await {
                Ok(Outcome::NoQueue) => Response::NoQueue,
                Ok(Outcome::Unauthorized) => Response::Unauthorized,
                Ok(Outcome::CancelledEarlier) => Response::CancelledEarlier,
                Ok(Outcome::KeyInUse) => key_in_use(),
                Ok(_) => Response::Accepted,
                Err(error) => proposal_error(node, error),
            }
        }
    }
}

/// Returns the response to a job whose key names a job of another queue. Workers know a task by the key of its
/// job only, so the two couldn't be told apart there.
fn key_in_use() -> Response {
    Response::Invalid(
        "the key names a job of another queue; the job was not accepted and never runs; use a new key"
            .into(),
    )
}

async fn cancel(node: &Node, key: JobKey, queue: &Queue) -> Response {
    let decide =
        || node.with_leader(|leader, state| leader.decide_cancellation(key, &queue.key, state));
    let mut decision = decide();
    if let Some(CancelDecision::CancelEarly(command)) = decision {
        if let Err(error) = node.propose(command).await {
            return proposal_error(node, error);
        }
        // A submission that was committed first is known by now.
        decision = decide();
    }
    match decision {
        None => node.not_leader(),
        Some(CancelDecision::NoJob) => Response::NotFound,
        Some(CancelDecision::RetryAfter { after_ms }) => Response::RetryAfter { after_ms },
        Some(CancelDecision::Cancel) => match node.propose(Command::Cancel(key)).await {
            Ok(Outcome::Unknown) => Response::NotFound,
            Ok(_) => Response::Accepted,
            Err(error) => proposal_error(node, error),
        },
        // The job was removed meanwhile, so nothing is left to cancel.
        Some(CancelDecision::CancelEarly(_)) => Response::Unknown,
    }
}
