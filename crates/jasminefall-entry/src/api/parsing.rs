//! Parsing of callers' requests: deadline, idempotency key, and whether a claim is needed.

use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::http::{Method, Uri};
use bytes::Bytes;
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::{ClaimKey, ClaimRequest};
use smol_str::format_smolstr;

use crate::claims;
use crate::dispatch::SlotRequest;
use crate::forward::OutgoingRequest;
use crate::headers;
use crate::outcome::NotRun;
use crate::requests::PreparedRequest;
use crate::shared::Shared;

const KEY_HEADER: &str = "Idempotency-Key";
const TEAM_HEADER: &str = "Jasminefall-Team";
const URGENCY_HEADER: &str = "Jasminefall-Urgency";
const TIMEOUT_HEADER: &str = "Jasminefall-Timeout-Ms";
/// Gives the time at which the idempotency key was issued, in milliseconds since 1970.
const KEY_TIME_HEADER: &str = "Jasminefall-Key-Time-Ms";
/// Identifies one request in the logs of all processes.
const REQUEST_HEADER: &str = "jasminefall-request";
/// Gives the backend server the remaining milliseconds in which a response is still of use.
const REMAINING_TIME_HEADER: &str = "jasminefall-timeout-ms";
const MAX_KEY_BYTES: usize = 255;
const UUID_TEXT_BYTES: usize = 36;
const UUID_VERSION_POSITION: usize = 14;

/// Returns the desired state in force.
pub(super) fn in_force(shared: &Shared) -> Result<Arc<DesiredState>, NotRun> {
    let desired = shared.configuration().in_force(monotonic_ms());
    desired.ok_or(NotRun::NoConfiguration)
}

/// Returns the team named by a request, whether or not it is declared.
pub(super) fn team(request: &HttpRequest) -> TeamId {
    TeamId::new(header(request, TEAM_HEADER).unwrap_or_default())
}

fn urgency(request: &HttpRequest) -> Result<Urgency, NotRun> {
    let text = header(request, URGENCY_HEADER);
    let read = text.map_or_else(|| Ok(Urgency::default()), str::parse);
    read.map_err(|error| NotRun::InvalidRequest(format_smolstr!("{URGENCY_HEADER}: {error}")))
}

/// Returns the time after which the response is no longer of use.
pub(super) fn deadline(
    request: &HttpRequest,
    declared: &ServiceDeclaration,
    arrived: Instant,
) -> Result<Instant, NotRun> {
    let timeout_ms = millis_header(request, TIMEOUT_HEADER)?.unwrap_or(declared.timeout_ms.get());
    // A slot is lent for as long as the service's own timeout, so no request may run longer.
    Ok(arrived + Duration::from_millis(timeout_ms.min(declared.timeout_ms.get())))
}

/// Prepares a request whose body was read completely.
pub(super) fn prepare(
    shared: &Arc<Shared>,
    request: &HttpRequest,
    declared: &ServiceDeclaration,
    service: ServiceId,
    operation: &str,
    body: Bytes,
    deadline: Instant,
) -> Result<PreparedRequest, NotRun> {
    let attempt = next_attempt();
    let path = request.uri().path_and_query();
    let path = backend_path(path.map_or("/", |path| path.as_str()), &service)?;
    let claim = if is_idempotent(declared, operation, request.method()) {
        None
    } else {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let digest = claims::request_digest(request.method().as_str(), &path.to_string(), &body);
        Some(ClaimRequest {
            key: claim_key(request)?,
            entry: shared.settings.name.clone(),
            attempt,
            digest,
            lease_ms: DurationMs::new(u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)),
            issued_at_ms: issued_at_ms(request)?,
        })
    };
    let mut headers = headers::end_to_end(request.headers());
    let request_id = format_smolstr!("{}-{attempt:x}", shared.settings.name);
    headers.push((
        HeaderName::from_static(REQUEST_HEADER),
        header_value(&request_id)?,
    ));
    let remaining = deadline.saturating_duration_since(Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.push((
        HeaderName::from_static(REMAINING_TIME_HEADER),
        remaining_ms.into(),
    ));
    let slot_request = SlotRequest {
        service,
        team: team(request),
        urgency: urgency(request)?,
        body_bytes: body.len(),
        deadline,
    };
    Ok(PreparedRequest {
        slot_request,
        outgoing: Rc::new(OutgoingRequest {
            method: request.method().clone(),
            uri: path,
            headers,
            body,
            deadline,
        }),
        claim,
    })
}

/// Returns the next attempt number of this entry.
///
/// The first number is random, so that attempts of a restarted entry are not taken for earlier
/// ones.
fn next_attempt() -> u64 {
    static FIRST: OnceLock<u64> = OnceLock::new();
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let first = *FIRST.get_or_init(rand::random);
    first.wrapping_add(COUNT.fetch_add(1, Ordering::Relaxed))
}

fn claim_key(request: &HttpRequest) -> Result<ClaimKey, NotRun> {
    let key = header(request, KEY_HEADER).unwrap_or_default();
    let team = header(request, TEAM_HEADER).unwrap_or_default();
    if key.is_empty() {
        return Err(NotRun::InvalidRequest(format_smolstr!(
            "the operation is not idempotent; add {KEY_HEADER}"
        )));
    }
    if key.len() > MAX_KEY_BYTES || team.len() > MAX_KEY_BYTES {
        return Err(NotRun::InvalidRequest(format_smolstr!(
            "{KEY_HEADER} or {TEAM_HEADER} is too long; use at most {MAX_KEY_BYTES} bytes each"
        )));
    }
    Ok(ClaimKey {
        team: TeamId::new(team),
        key: IdempotencyKey::new(key),
    })
}

/// Returns when a key was issued, from the key time header or else from a key that is a UUID of
/// version 7.
fn issued_at_ms(request: &HttpRequest) -> Result<Option<u64>, NotRun> {
    let explicit_time = millis_header(request, KEY_TIME_HEADER)?;
    Ok(explicit_time.or_else(|| uuid_time_ms(header(request, KEY_HEADER)?)))
}

fn uuid_time_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let is_uuid = bytes.len() == UUID_TEXT_BYTES && bytes[UUID_VERSION_POSITION] == b'7';
    if !is_uuid
        || [8, 13, 18, 23]
            .iter()
            .any(|position| bytes[*position] != b'-')
    {
        return None;
    }
    let digits = format!("{}{}", key.get(..8)?, key.get(9..13)?);
    u64::from_str_radix(&digits, 16).ok()
}

fn millis_header(request: &HttpRequest, name: &str) -> Result<Option<u64>, NotRun> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or_else(|| {
        NotRun::InvalidRequest(format_smolstr!(
            "{name} is not a whole number; give milliseconds"
        ))
    })
}

/// Strips `/call/SERVICE` from a path.
fn backend_path(path: &str, service: &ServiceId) -> Result<Uri, NotRun> {
    let prefix = format!("/call/{service}");
    let path = path.strip_prefix(prefix.as_str()).unwrap_or(path);
    path.parse()
        .map_err(|_| NotRun::InvalidRequest("the path is not valid; encode it as a URI".into()))
}

fn header_value(text: &str) -> Result<HeaderValue, NotRun> {
    HeaderValue::from_str(text).map_err(|_| {
        NotRun::InvalidRequest(
            "the entry's name is not a valid header value; rename the entry".into(),
        )
    })
}

fn is_idempotent(declared: &ServiceDeclaration, operation: &str, method: &Method) -> bool {
    if declared.non_idempotent.contains(operation) {
        return false;
    }
    declared.idempotent.contains(operation) || method.is_safe()
}

fn header<'request>(request: &'request HttpRequest, name: &str) -> Option<&'request str> {
    request.headers().get(name)?.to_str().ok()
}
