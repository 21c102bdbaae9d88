//! HTTP listeners for operators and workers with JSON bodies; docs/INTERFACES.md describes the
//! interface.
//!
//! The modules translate between HTTP and the node and keep no state of their own.

pub(crate) mod fleet;
pub(crate) mod operators;
mod operators_members;
pub(crate) mod service_levels;
pub(crate) mod workers;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use jasminefall_wire::message::ControlError;
use serde::Serialize;

/// Reports why a request was not executed.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    /// The cause with its remedy.
    pub(crate) error: String,
    /// The peer address of the leader, if the request must go to the leader and the leader is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) leader_peer: Option<String>,
}

/// Returns the response to a request that this replica did not execute.
pub(crate) fn error_response(error: &ControlError) -> HttpResponse {
    let status = match error {
        ControlError::NotLeader(_) => StatusCode::MISDIRECTED_REQUEST,
        ControlError::Unknown => StatusCode::GATEWAY_TIMEOUT,
        ControlError::Busy => StatusCode::SERVICE_UNAVAILABLE,
    };
    let leader_peer = match error {
        ControlError::NotLeader(leader) => leader.as_ref().map(ToString::to_string),
        ControlError::Unknown | ControlError::Busy => None,
    };
    HttpResponse::build(status).json(ErrorBody {
        error: error.to_string(),
        leader_peer,
    })
}
