//! Published versions and what differs between them.

use actix_web::{HttpResponse, web};
use jasminefall_core::desired::differences;
use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use serde::Serialize;

use crate::edge::{ErrorBody, refuse};
use crate::node::NodeHandle;

/// Adds the calls of this module.
pub(super) fn add_routes(routes: &mut web::ServiceConfig) {
    routes
        .route("/v1/history", web::get().to(list))
        .route("/v1/history/latest", web::get().to(latest))
        .route("/v1/history/{version}", web::get().to(one))
        .route("/v1/diff/{before}/{after}", web::get().to(difference));
}

/// Describes a version without its text.
#[derive(Debug, Serialize)]
struct VersionBody {
    version: Version,
    operator: SmolStr,
    at_ms: u64,
    change: ChangeId,
    text_bytes: usize,
}

impl VersionBody {
    fn new(published: &PublishedVersion) -> Self {
        Self {
            version: published.version,
            operator: published.operator.clone(),
            at_ms: published.at_ms,
            change: published.change.clone(),
            text_bytes: published.text.len(),
        }
    }
}

/// Lists the versions kept, latest first.
async fn list(handle: web::Data<NodeHandle>) -> HttpResponse {
    let looked = handle
        .look_fresh(|view| {
            let kept = view.state.configuration.history().rev();
            kept.map(VersionBody::new).collect::<Vec<_>>()
        })
        .await;
    looked.map_or_else(|error| refuse(&error), |body| HttpResponse::Ok().json(body))
}

#[derive(Debug, Serialize)]
struct TextBody {
    #[serde(flatten)]
    version: VersionBody,
    text: String,
}

async fn latest(handle: web::Data<NodeHandle>) -> HttpResponse {
    let looked = handle
        .look_fresh(|view| {
            view.state
                .configuration
                .latest()
                .cloned()
                .unwrap_or_default()
        })
        .await;
    looked.map_or_else(|error| refuse(&error), |published| show(&published))
}

async fn one(handle: web::Data<NodeHandle>, version: web::Path<u64>) -> HttpResponse {
    let version = Version::new(*version);
    let looked = handle
        .look_fresh(move |view| view.state.configuration.published(version).cloned())
        .await;
    match looked {
        Ok(Some(published)) => show(&published),
        Ok(None) => not_kept(version),
        Err(error) => refuse(&error),
    }
}

fn show(published: &PublishedVersion) -> HttpResponse {
    HttpResponse::Ok().json(TextBody {
        version: VersionBody::new(published),
        text: published.text.to_string(),
    })
}

async fn difference(
    handle: web::Data<NodeHandle>,
    versions: web::Path<(u64, u64)>,
) -> HttpResponse {
    let (before, after) = versions.into_inner();
    let [before, after] = [before, after].map(Version::new);
    let looked = handle
        .look_fresh(move |view| {
            let configuration = &view.state.configuration;
            let before = text(configuration, before).ok_or(before)?;
            let after = text(configuration, after).ok_or(after)?;
            Ok((before, after))
        })
        .await;
    match looked {
        Ok(Ok((before, after))) => HttpResponse::Ok().json(differences(&before, &after)),
        Ok(Err(version)) => not_kept(version),
        Err(error) => refuse(&error),
    }
}

/// Returns the text of a version that is kept; version zero is empty.
pub(super) fn text(configuration: &Configuration, version: Version) -> Option<String> {
    if version == Version::default() {
        return Some(String::new());
    }
    let published = configuration.published(version)?;
    Some(published.text.to_string())
}

/// Returns the answer for a version that was never published or is kept no longer.
pub(super) fn not_kept(version: Version) -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody {
        error: format!("version {version} is not kept; GET /v1/history lists those that are"),
        leader_peer: None,
    })
}
