//! HTTP handlers of the membership of the control group.

use actix_web::{HttpResponse, web};
use jasminefall_replica::prelude::{MembershipChange, ReplicaId};

use super::{ErrorBody, error_response};
use crate::node::NodeHandle;

/// Adds the routes of the membership.
pub(super) fn add_routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/members", web::get().to(members))
        .route("/v1/members/{replica}/remove", web::post().to(remove));
}

async fn members(handle: web::Data<NodeHandle>) -> HttpResponse {
    match handle.members().await {
        Ok(body) => HttpResponse::Ok().json(body),
        Err(error) => error_response(&error),
    }
}

async fn remove(handle: web::Data<NodeHandle>, replica: web::Path<u64>) -> HttpResponse {
    let change = MembershipChange::Remove(ReplicaId(*replica));
    match handle.change_members(change).await {
        Ok(Ok(())) => HttpResponse::Accepted().finish(),
        Ok(Err(error)) => HttpResponse::Conflict().json(ErrorBody {
            error,
            leader_peer: None,
        }),
        Err(error) => error_response(&error),
    }
}
