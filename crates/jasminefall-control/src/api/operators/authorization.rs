//! Authentication by token and authorization by role.
//!
//! A request requires the operate role unless it is known to be read-only.

use actix_web::body::{EitherBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{AUTHORIZATION, WWW_AUTHENTICATE};
use actix_web::http::{Method, StatusCode};
use actix_web::middleware::Next;
use actix_web::{Error, HttpMessage, HttpResponse, web};
use jasminefall_runtime::tokens::{Operator, Role, Tokens};

use crate::api::ErrorBody;

const SCHEME: &str = "Bearer ";
/// The paths whose POST requests are read-only.
const READ_ONLY_POST_PATHS: [&str; 1] = ["/v1/check"];

/// Passes on a request if its token has the required role, and refuses it otherwise.
pub(super) async fn authorize(
    tokens: web::Data<Tokens>,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<EitherBody<impl MessageBody>>, Error> {
    let required = required_role(request.method(), request.path());
    let operator = bearer_token(&request).and_then(|secret| tokens.authenticate(secret));
    let rejection = match operator {
        None => unknown_token(),
        Some(operator) if operator.role < required => insufficient_role(operator, required),
        Some(operator) => {
            if required == Role::Operate {
                log_request(operator, &request);
            }
            request.extensions_mut().insert(operator.clone());
            let response = next.call(request).await?;
            return Ok(response.map_into_left_body());
        }
    };
    log::warn!(
        "event=operator_refused status={} method={} path=\"{}\" peer={}",
        rejection.status().as_u16(),
        request.method(),
        request.path().escape_debug(),
        peer_address(&request)
    );
    Ok(request.into_response(rejection).map_into_right_body())
}

fn required_role(method: &Method, path: &str) -> Role {
    if method.is_safe() || READ_ONLY_POST_PATHS.contains(&path) {
        Role::Read
    } else {
        Role::Operate
    }
}

/// Returns the secret in the `Authorization` header of a request.
fn bearer_token(request: &ServiceRequest) -> Option<&[u8]> {
    let value = request.headers().get(AUTHORIZATION)?.as_bytes();
    value.strip_prefix(SCHEME.as_bytes())
}

fn unknown_token() -> HttpResponse {
    let body = ErrorBody {
        error:
            "the token of the request is missing or unknown; send `Authorization: Bearer TOKEN` \
                with a token whose SHA-256 the control settings declare under [token.NAME]"
                .to_owned(),
        leader_peer: None,
    };
    HttpResponse::Unauthorized()
        .insert_header((WWW_AUTHENTICATE, "Bearer"))
        .json(body)
}

fn insufficient_role(operator: &Operator, required: Role) -> HttpResponse {
    let Operator { name, role } = operator;
    let error = format!(
        "the token `{name}` has the role {role}, the request requires {required}; \
         use a token of that role"
    );
    let leader_peer = None;
    HttpResponse::build(StatusCode::FORBIDDEN).json(ErrorBody { error, leader_peer })
}

fn log_request(operator: &Operator, request: &ServiceRequest) {
    log::info!(
        "event=operator_request operator=\"{}\" method={} path=\"{}\" peer={}",
        operator.name,
        request.method(),
        request.path().escape_debug(),
        peer_address(request)
    );
}

fn peer_address(request: &ServiceRequest) -> String {
    request
        .peer_addr()
        .map_or_else(|| "unknown".to_owned(), |address| address.to_string())
}
