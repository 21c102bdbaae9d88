//! Published versions and the differences between them.

use actix_web::{HttpResponse, web};
use jasminefall_core::desired::differences;
use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use serde::Serialize;

use crate::api::{ErrorBody, error_response};
use crate::node::NodeHandle;

/// Adds the routes of published versions.
pub(super) fn add_routes(routes: &mut web::ServiceConfig) {
    routes
        .route("/v1/history", web::get().to(list_versions))
        .route("/v1/history/latest", web::get().to(get_latest))
        .route("/v1/history/{version}", web::get().to(get_version))
        .route("/v1/diff/{before}/{after}", web::get().to(diff));
}

/// Describes a published version without its text.
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

/// Returns the versions kept, latest first.
async fn list_versions(handle: web::Data<NodeHandle>) -> HttpResponse {
    let result = handle
        .with_fresh_view(|view| {
            let kept = view.state.configuration.history().rev();
            kept.map(VersionBody::new).collect::<Vec<_>>()
        })
        .await;
    result.map_or_else(
        |error| error_response(&error),
        |body| HttpResponse::Ok().json(body),
    )
}

#[derive(Debug, Serialize)]
struct TextBody {
    #[serde(flatten)]
    version: VersionBody,
    text: String,
}

async fn get_latest(handle: web::Data<NodeHandle>) -> HttpResponse {
    let result = handle
        .with_fresh_view(|view| {
            view.state
                .configuration
                .latest()
                .cloned()
                .unwrap_or_default()
        })
        .await;
    result.map_or_else(
        |error| error_response(&error),
        |published| version_response(&published),
    )
}

async fn get_version(handle: web::Data<NodeHandle>, version: web::Path<u64>) -> HttpResponse {
    let version = Version::new(*version);
    let result = handle
        .with_fresh_view(move |view| view.state.configuration.published(version).cloned())
        .await;
    match result {
        Ok(Some(published)) => version_response(&published),
        Ok(None) => not_retained(version),
        Err(error) => error_response(&error),
    }
}

fn version_response(published: &PublishedVersion) -> HttpResponse {
    HttpResponse::Ok().json(TextBody {
        version: VersionBody::new(published),
        text: published.text.to_string(),
    })
}

async fn diff(handle: web::Data<NodeHandle>, versions: web::Path<(u64, u64)>) -> HttpResponse {
    let (before, after) = versions.into_inner();
    let [before, after] = [before, after].map(Version::new);
    let result = handle
        .with_fresh_view(move |view| {
            let configuration = &view.state.configuration;
            let before = version_text(configuration, before).ok_or(before)?;
            let after = version_text(configuration, after).ok_or(after)?;
            Ok((before, after))
        })
        .await;
    match result {
        Ok(Ok((before, after))) => HttpResponse::Ok().json(differences(&before, &after)),
        Ok(Err(version)) => not_retained(version),
        Err(error) => error_response(&error),
    }
}

/// Returns the text of a version if it is kept; version zero has an empty text.
pub(super) fn version_text(configuration: &Configuration, version: Version) -> Option<String> {
    if version == Version::default() {
        return Some(String::new());
    }
    let published = configuration.published(version)?;
    Some(published.text.to_string())
}

/// Returns the response for a version that was never published or is no longer kept.
pub(super) fn not_retained(version: Version) -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody {
        error: format!(
            "version {version} is not kept; GET /v1/history lists the versions that are kept"
        ),
        leader_peer: None,
    })
}
