//! Claims, which make a request that is not idempotent run at most once.
//!
//! A claim reserves the idempotency key of a request in control's replicated state for one attempt.
//! The recorded result of the attempt answers resends of the request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use jasminefall_core::prelude::*;
use jasminefall_state::claims::KeptHeader;
use jasminefall_state::prelude::{
    ClaimRelease, ClaimRequest, ClaimResponse, ClaimResult, Command, KeptResponse, RecordedResult,
};
use jasminefall_wire::client::ControlClient;
use sha2::{Digest, Sha256};

use crate::batch::Batcher;
use crate::outcome::{BackendResponse, NotRun, Outcome};
use crate::shared::{PendingWork, Shared};

/// Limits how long control may take to commit a claim before the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);
/// Limits the size of a response that is kept for resends.
const MAX_KEPT_RESPONSE_BYTES: usize = 64 << 10;
const MIN_POLL_PAUSE: Duration = Duration::from_millis(20);
const MAX_POLL_PAUSE: Duration = Duration::from_millis(500);

/// Returns the digest that distinguishes different requests with the same key.
pub(crate) fn request_digest(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [method, path] {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    hasher.update(body);
    hasher.finalize().into()
}

/// Makes, completes and releases claims, batched into common commits.
#[derive(Clone)]
pub(crate) struct ClaimClient {
    shared: Arc<Shared>,
    claims: Rc<Batcher<ClaimRequest>>,
    records: Rc<Batcher<ClaimResult>>,
    releases: Rc<Batcher<ClaimRelease>>,
}

impl ClaimClient {
    /// Creates the claim client of a thread.
    pub(crate) fn new(shared: &Arc<Shared>, control: &Rc<ControlClient>) -> Self {
        let max_batch = shared.settings.max_claim_batch;
        Self {
            shared: shared.clone(),
            claims: Batcher::new(control, Command::Claim, CLAIM_TIMEOUT, max_batch),
            records: Batcher::new(control, Command::Record, RECORD_TIMEOUT, max_batch),
            releases: Batcher::new(control, Command::Release, RECORD_TIMEOUT, max_batch),
        }
    }

    /// Claims a request.
    ///
    /// While another attempt holds the claim, its result is polled for until the deadline.
    ///
    /// # Errors
    ///
    /// Returns the outcome for the caller if the request must not run.
    pub(crate) async fn claim(
        &self,
        request: &ClaimRequest,
        deadline: Instant,
    ) -> Result<(), Outcome> {
        let mut pause = MIN_POLL_PAUSE;
        loop {
            match self.claims.submit(request.clone()).await {
                Ok(Some(ClaimResponse::Granted)) => return Ok(()),
                Ok(Some(ClaimResponse::Held)) => {}
                Ok(Some(response)) => return Err(denied_outcome(response)),
                Ok(None) | Err(_) => {
                    // Control may have granted the claim although it did not confirm it.
                    self.release(request);
                    return Err(Outcome::NotRun(NotRun::ClaimUnconfirmed));
                }
            }
            if Instant::now() + pause >= deadline {
                return Err(Outcome::InProgress);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_POLL_PAUSE);
        }
    }

    /// Releases the claim of a request of which no byte was sent.
    pub(crate) fn release(&self, request: &ClaimRequest) {
        let release = ClaimRelease {
            key: request.key.clone(),
            entry: request.entry.clone(),
            attempt: request.attempt,
        };
        let (releases, pending_work) = (self.releases.clone(), PendingWork::new(&self.shared));
        actix_rt::spawn(async move {
            if releases.submit(release).await.is_err() {
                log::warn!("event=release_failed effect=\"the claim expires with its lease\"");
            }
            drop(pending_work);
        });
    }

    /// Records the outcome of a claimed request of which bytes may have been sent.
    pub(crate) fn record(&self, request: &ClaimRequest, outcome: &Outcome) {
        let recorded = ClaimResult {
            key: request.key.clone(),
            result: to_recorded(outcome),
        };
        let (records, pending_work) = (self.records.clone(), PendingWork::new(&self.shared));
        actix_rt::spawn(async move {
            if records.submit(recorded).await.is_err() {
                log::warn!("event=record_failed effect=\"a resend is answered with may-have-run\"");
            }
            drop(pending_work);
        });
    }
}

fn denied_outcome(response: ClaimResponse) -> Outcome {
    match response {
        ClaimResponse::Granted | ClaimResponse::Held => Outcome::InProgress,
        ClaimResponse::Answered(result) => from_recorded(result),
        ClaimResponse::KeyReused => Outcome::NotRun(NotRun::KeyReused),
        ClaimResponse::NoLongerKnown => Outcome::NoLongerKnown,
        ClaimResponse::Full => Outcome::NotRun(NotRun::ClaimTableFull),
        ClaimResponse::KeyFromFuture => {
            Outcome::NotRun(NotRun::InvalidRequest(SmolStr::new_static(
                "the key's issue time is in the future; correct the caller's clock",
            )))
        }
    }
}

fn to_recorded(outcome: &Outcome) -> RecordedResult {
    let Outcome::Answered(response) = outcome else {
        return RecordedResult::MayHaveRun;
    };
    let headers = response.headers.iter().map(|(name, value)| KeptHeader {
        name: SmolStr::new(name.as_str()),
        value: value.as_bytes().to_vec(),
    });
    let kept = KeptResponse {
        status: response.status.as_u16(),
        headers: headers.collect(),
        body: response.body.to_vec(),
    };
    if kept.kept_bytes() > MAX_KEPT_RESPONSE_BYTES {
        let status = kept.status;
        return RecordedResult::TooLarge { status };
    }
    RecordedResult::Kept(kept)
}

fn from_recorded(result: RecordedResult) -> Outcome {
    let status = |status| StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    match result {
        RecordedResult::Kept(kept) => Outcome::Answered(BackendResponse {
            status: status(kept.status),
            headers: kept
                .headers
                .into_iter()
                .filter_map(restore_header)
                .collect(),
            body: kept.body.into(),
            content_length: None,
        }),
        RecordedResult::TooLarge { status: code } => Outcome::AnsweredNotKept(status(code)),
        RecordedResult::MayHaveRun => Outcome::MayHaveRun,
    }
}

fn restore_header(header: KeptHeader) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
    let value = HeaderValue::from_bytes(&header.value).ok()?;
    Some((name, value))
}
