//! Claims for requests that run at most once.

use std::time::Duration;

use bytes::Bytes;
use jasminefall_core::prelude::*;
use jasminefall_state::claims::ClaimKey;
use jasminefall_state::prelude::*;
use jasminefall_wire::client::ControlClient;
use sha2::{Digest, Sha256};

use actix_web::http::StatusCode;

use crate::outcome::{Answer, NotRun, Outcome};

const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the digest by which two requests with one key are told apart.
pub(crate) fn digest(operation: &str, body: &Bytes) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(operation.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().into()
}

/// Claims a request; returns the outcome where it must not run.
pub(crate) async fn claim(client: &ControlClient, request: ClaimRequest) -> Result<(), Outcome> {
    let command = Command::Claim(vec![request]);
    let answer = match client.propose(CLAIM_TIMEOUT, &command).await {
        Ok(jasminefall_state::Outcome::Claimed(mut answers)) => answers.pop(),
        Ok(_) | Err(_) => None,
    };
    match answer {
        Some(ClaimAnswer::Granted) => Ok(()),
        Some(ClaimAnswer::Held) => Err(Outcome::NotRun(NotRun::UnderWay)),
        Some(ClaimAnswer::KeyReused) => Err(Outcome::NotRun(NotRun::KeyReused)),
        Some(ClaimAnswer::Answered(recorded)) => Err(restore(recorded)),
        None => Err(Outcome::NotRun(NotRun::NoClaim)),
    }
}

/// Records what came of a claimed request.
pub(crate) async fn record(client: &ControlClient, key: ClaimKey, outcome: &Outcome) {
    let recorded = match outcome {
        Outcome::Answered(answer) => RecordedAnswer {
            key,
            status: answer.status.as_u16(),
            content_type: answer.content_type.clone(),
            body: answer.body.to_vec(),
        },
        Outcome::NotRun(_) | Outcome::MayHaveRun => RecordedAnswer {
            key,
            status: 0,
            content_type: SmolStr::default(),
            body: Vec::new(),
        },
    };
    if let Err(error) = client
        .propose(RECORD_TIMEOUT, &Command::Record(vec![recorded]))
        .await
    {
        log::warn!("event=record_failed error=\"{error}\"");
    }
}

fn restore(recorded: RecordedAnswer) -> Outcome {
    match StatusCode::from_u16(recorded.status) {
        Ok(status) => Outcome::Answered(Answer {
            status,
            content_type: recorded.content_type,
            body: recorded.body.into(),
        }),
        Err(_) => Outcome::MayHaveRun,
    }
}
