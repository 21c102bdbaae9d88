//! The outcomes of a request.

use actix_web::HttpResponse;
use actix_web::body::{BodySize, MessageBody};
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_LENGTH, RETRY_AFTER};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::headers::HeaderList;

/// The header that names the outcome.
pub(crate) const OUTCOME_HEADER: &str = "Jasminefall-Outcome";
const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// Says why a request did not run: no byte of it has reached a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// The caller's request is at fault.
    InvalidRequest(SmolStr),
    /// The body is larger than is taken.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// The service is not declared.
    UnknownService,
    /// The entry holds no configuration in force.
    NoConfiguration,
    /// No slot became free in time.
    NoSlotInTime,
    /// No slot can become free in time: what is ahead takes too long.
    Overloaded {
        /// When it is worth trying again.
        retry_after_s: u64,
    },
    /// No backend server could be reached.
    BackendUnreachable,
    /// Control could not make the claim.
    ClaimUnconfirmed,
    /// No more claims can be remembered now.
    ClaimTableFull,
    /// The key was used for another request.
    KeyReused,
    /// The caller has gone.
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

    /// Returns whether the caller's own request is the cause.
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
            Self::BodyTimeout => "the body did not come in time; send it faster or allow more time",
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
                "no more keys can be remembered; use keys that carry their time"
            }
            Self::KeyReused => "the key was used for another request; choose a new key",
            Self::CallerDisconnected => "the caller has gone",
        }
    }
}

/// Says what came of a request.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    /// It ran and this is the whole answer.
    Answered(BackendResponse),
    /// It ran and was answered earlier; the answer was too large to be kept.
    AnsweredNotKept(StatusCode),
    /// It did not run.
    NotRun(NotRun),
    /// It may have run.
    MayHaveRun,
    /// It is under way through another attempt, which may yet run.
    InProgress,
    /// Whether it ran is no longer remembered.
    NoLongerKnown,
}

/// Holds a whole answer.
#[derive(Debug, Clone)]
pub(crate) struct BackendResponse {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The end-to-end headers.
    pub(crate) headers: HeaderList,
    /// The body.
    pub(crate) body: Bytes,
    /// The length that the answer to a HEAD request announced.
    pub(crate) content_length: Option<u64>,
}

impl Outcome {
    /// Returns the word that stands for the outcome.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::AnsweredNotKept(_) => "answered-not-kept",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun | Self::InProgress => "may-have-run",
            Self::NoLongerKnown => "no-longer-known",
        }
    }

    /// Returns the outcome as the caller sees it.
    pub(crate) fn into_response(self) -> HttpResponse {
        match self {
            Self::Answered(answer) => answer.into_response(),
            Self::AnsweredNotKept(status) => text_response(
                StatusCode::GONE,
                "answered-not-kept",
                &format!(
                    "the request ran and was answered with status {status}; the answer was too large to be kept"
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
                "the request may have run; ask again with the same key",
            ),
            Self::InProgress => {
                let mut response = text_response(
                    StatusCode::CONFLICT,
                    "may-have-run",
                    "the same request is under way; ask again with the same key",
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

/// Stands for a body whose length is announced and whose bytes are never sent.
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
