//! The three outcomes of a request.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use smol_str::SmolStr;

/// The header that names the outcome.
const OUTCOME_HEADER: &str = "Jasminefall-Outcome";
const RETRY_AFTER_S: u64 = 1;

/// Says why a request did not run: no byte of it has reached a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// The caller's request is at fault.
    Bad(SmolStr),
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
    Unreachable,
    /// Control could not make the claim.
    NoClaim,
    /// The same request is under way.
    UnderWay,
    /// The key was used for another request.
    KeyReused,
}

impl NotRun {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Bad(_) => StatusCode::BAD_REQUEST,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::UnderWay => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NoConfiguration
            | Self::NoSlotInTime
            | Self::Overloaded { .. }
            | Self::Unreachable
            | Self::NoClaim => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether the caller's own request is the cause.
    pub(crate) const fn is_callers_fault(&self) -> bool {
        matches!(
            self,
            Self::Bad(_) | Self::UnknownService | Self::UnderWay | Self::KeyReused
        )
    }

    const fn retry_after_s(&self) -> u64 {
        match self {
            Self::Overloaded { retry_after_s } => *retry_after_s,
            _ => RETRY_AFTER_S,
        }
    }

    fn message(&self) -> &str {
        match self {
            Self::Bad(message) => message,
            Self::UnknownService => "the service is not declared; check the name in the path",
            Self::NoConfiguration => "this entry holds no configuration in force; try again",
            Self::NoSlotInTime => "no backend server was free in time; try again later",
            Self::Overloaded { .. } => {
                "the service cannot answer in time; try again after the time in Retry-After"
            }
            Self::Unreachable => "no backend server could be reached; try again later",
            Self::NoClaim => "the request could not be claimed; try again with the same key",
            Self::UnderWay => "the same request is under way; try again with the same key",
            Self::KeyReused => "the key was used for another request; choose a new key",
        }
    }
}

/// Says what came of a request.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    /// It ran and this is the whole answer.
    Answered(Answer),
    /// It did not run.
    NotRun(NotRun),
    /// It may have run.
    MayHaveRun,
}

/// Holds a whole answer.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The media type.
    pub(crate) content_type: SmolStr,
    /// The body.
    pub(crate) body: Bytes,
}

impl Outcome {
    /// Returns the word that stands for the outcome.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Returns the outcome as the caller sees it.
    pub(crate) fn into_response(self) -> HttpResponse {
        match self {
            Self::Answered(answer) => HttpResponse::build(answer.status)
                .insert_header((OUTCOME_HEADER, "answered"))
                .insert_header(("Content-Type", answer.content_type.as_str()))
                .body(answer.body),
            Self::NotRun(reason) => {
                let mut response = HttpResponse::build(reason.status());
                response.insert_header((OUTCOME_HEADER, "not-run"));
                if reason.status() == StatusCode::SERVICE_UNAVAILABLE {
                    response.insert_header(("Retry-After", reason.retry_after_s().to_string()));
                }
                response.body(format!("{}\n", reason.message()))
            }
            Self::MayHaveRun => HttpResponse::GatewayTimeout()
                .insert_header((OUTCOME_HEADER, "may-have-run"))
                .body("the request may have run; ask again with the same key\n"),
        }
    }
}
