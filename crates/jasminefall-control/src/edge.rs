//! What operators and workers speak: HTTP with JSON bodies, as docs/INTERFACES.md describes.
//!
//! The modules below translate and decide nothing.

pub(crate) mod fleet;
pub(crate) mod operators;
mod operators_members;
pub(crate) mod service_levels;
pub(crate) mod workers;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use jasminefall_wire::message::ControlError;
use serde::Serialize;

/// Says why a call was not carried out, and the remedy.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    /// What went wrong.
    pub(crate) error: String,
    /// The peer address of the leader, where the call should have gone there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) leader_peer: Option<String>,
}

/// Returns the response to a call that this replica did not carry out.
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
