//! The outcome of a request and its HTTP response.

use actix_web::HttpResponse;
use actix_web::body::{BodySize, MessageBody};
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_LENGTH, RETRY_AFTER};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::headers::HeaderList;

/// Gives the caller the outcome of its request, as in [`Outcome::name`].
pub(crate) const OUTCOME_HEADER: &str = "Jasminefall-Outcome";
const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// The reason why a request did not run; no byte of it has reached a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// The request is invalid; the text says why and gives a remedy.
    InvalidRequest(SmolStr),
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive before the deadline.
    BodyTimeout,
    /// The service is not declared.
    UnknownService,
    /// The entry holds no configuration in force.
    NoConfiguration,
    /// No slot became free in time.
    NoSlotInTime,
    /// The requests ahead in the queue take too long for a slot to become free in time.
    Overloaded {
        /// The time after which to retry.
        retry_after_s: u64,
    },
    /// No backend server could be reached.
    BackendUnreachable,
    /// Control did not confirm the claim.
    ClaimUnconfirmed,
    /// Control cannot store more claims at present.
    ClaimTableFull,
    /// The key was used for another request.
    KeyReused,
    /// The caller disconnected before the request ran.
    CallerDisconnected,
}

impl NotRun {
    const fn status(&self) -> StatusCode {
        match self {
            Self::InvalidRequest(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout | Self::CallerDisconnected => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NoConfiguration
            | Self::NoSlotInTime
            | Self::Overloaded { .. }
            | Self::BackendUnreachable
            | Self::ClaimTableFull
            | Self::ClaimUnconfirmed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether the cause lies with the caller, not with the service.
    pub(crate) const fn is_caller_error(&self) -> bool {
        matches!(
            self,
            Self::InvalidRequest(_)
                | Self::UnknownService
                | Self::KeyReused
                | Self::BodyTooLarge
                | Self::BodyTimeout
                | Self::CallerDisconnected
        )
    }

    const fn retry_after_s(&self) -> u64 {
        match self {
            Self::Overloaded { retry_after_s } => *retry_after_s,
            _ => DEFAULT_RETRY_AFTER_S,
        }
    }

    fn message(&self) -> &str {
        match self {
            Self::InvalidRequest(message) => message,
            Self::BodyTooLarge => "the body is too large; send at most 8 MiB",
            Self::BodyTimeout => {
                "the body did not arrive in time; send it faster or allow more time"
            }
            Self::UnknownService => "the service is not declared; check the name in the path",
            Self::NoConfiguration => "this entry holds no configuration in force; try again",
            Self::NoSlotInTime => "no backend server was free in time; try again later",
            Self::Overloaded { .. } => {
                "the service cannot answer in time; try again after the time in Retry-After"
            }
            Self::BackendUnreachable => "no backend server could be reached; try again later",
            Self::ClaimUnconfirmed => {
                "the request could not be claimed; try again with the same key"
            }
            Self::ClaimTableFull => {
                "no more keys can be stored; use keys that carry their issue time"
            }
            Self::KeyReused => "the key was used for another request; choose a new key",
            Self::CallerDisconnected => "the caller disconnected",
        }
    }
}

/// The outcome of a request.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    /// It ran, and this is the complete response.
    Answered(BackendResponse),
    /// It ran and was answered earlier; the response was too large to be kept.
    AnsweredNotKept(StatusCode),
    /// It did not run.
    NotRun(NotRun),
    /// It may have run, as no complete response was received.
    MayHaveRun,
    /// Another attempt of the same request holds the claim and may still run.
    InProgress,
    /// Control no longer stores whether it ran.
    NoLongerKnown,
}

/// Holds a complete response of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendResponse {
    pub(crate) status: StatusCode,
    /// The end-to-end headers, in the received order.
    pub(crate) headers: HeaderList,
    pub(crate) body: Bytes,
    /// The `Content-Length` of a response that has no body, such as to a HEAD request.
    pub(crate) content_length: Option<u64>,
}

impl Outcome {
    /// Returns the value of the outcome in the response header and in metrics.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::AnsweredNotKept(_) => "answered-not-kept",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun | Self::InProgress => "may-have-run",
            Self::NoLongerKnown => "no-longer-known",
        }
    }

    /// Converts the outcome into the response to the caller.
    pub(crate) fn into_response(self) -> HttpResponse {
        match self {
            Self::Answered(response) => response.into_response(),
            Self::AnsweredNotKept(status) => text_response(
                StatusCode::GONE,
                "answered-not-kept",
                &format!(
                    "the request ran and was answered with status {status}; \
                     the response was too large to be kept"
                ),
            ),
            Self::NotRun(reason) => {
                let mut response = text_response(reason.status(), "not-run", reason.message());
                if reason.status() == StatusCode::SERVICE_UNAVAILABLE {
                    add_retry_after(&mut response, reason.retry_after_s());
                }
                response
            }
            Self::MayHaveRun => text_response(
                StatusCode::GATEWAY_TIMEOUT,
                "may-have-run",
                "the request may have run; resend it with the same key",
            ),
            Self::InProgress => {
                let mut response = text_response(
                    StatusCode::CONFLICT,
                    "may-have-run",
                    "the same request is in progress; resend it with the same key",
                );
                add_retry_after(&mut response, DEFAULT_RETRY_AFTER_S);
                response
            }
            Self::NoLongerKnown => text_response(
                StatusCode::GONE,
                "no-longer-known",
                "whether the request ran is no longer known; it is not run again",
            ),
        }
    }
}

impl BackendResponse {
    fn into_response(self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        for (name, value) in self.headers {
            response.append_header((name, value));
        }
        response.insert_header((OUTCOME_HEADER, "answered"));
        match self.content_length {
            Some(length) if self.status == StatusCode::NOT_MODIFIED => {
                response.insert_header((CONTENT_LENGTH, length)).finish()
            }
            Some(length) => response.body(HeadBody(length)),
            None => response.body(self.body),
        }
    }
}

fn text_response(status: StatusCode, outcome: &'static str, message: &str) -> HttpResponse {
    HttpResponse::build(status)
        .insert_header((OUTCOME_HEADER, outcome))
        .content_type("text/plain")
        .body(format!("{message}\n"))
}

fn add_retry_after(response: &mut HttpResponse, retry_after_s: u64) {
    response
        .headers_mut()
        .insert(RETRY_AFTER, retry_after_s.into());
}

/// A body that sets `Content-Length` but sends no bytes, for responses to HEAD requests.
struct HeadBody(u64);

impl MessageBody for HeadBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0)
    }

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Self::Error>>> {
        std::task::Poll::Ready(None)
    }
}
