//! Published versions of the desired state.

use std::collections::BTreeMap;
use std::sync::Arc;

use jasminefall_core::desired::DESIRED_STATE_FILE;
use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, Refusal};

/// Asks for a desired state to be published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Names the change, so that a resend gets the first answer again.
    pub change: ChangeId,
    /// Who asks.
    pub operator: SmolStr,
    /// The version that the text was written against.
    pub base: Version,
    /// The INI text.
    pub text: String,
}

/// Holds one published version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Published {
    /// The version.
    pub version: Version,
    /// Who published it.
    pub operator: SmolStr,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// The INI text.
    pub text: Arc<str>,
}

/// Holds the published versions and what each change was answered.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    history: Vec<Published>,
    answers: BTreeMap<ChangeId, Outcome>,
    desired: Arc<DesiredState>,
}

impl Configuration {
    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.history
            .last()
            .map(|published| published.version)
            .unwrap_or_default()
    }

    /// Returns the latest published text with its origin.
    #[must_use]
    pub fn latest(&self) -> Option<&Published> {
        self.history.last()
    }

    /// Returns the objects of the latest version.
    #[must_use]
    pub fn desired(&self) -> &Arc<DesiredState> {
        &self.desired
    }

    /// Returns every version kept, oldest first.
    #[must_use]
    pub fn history(&self) -> &[Published] {
        &self.history
    }

    /// Publishes a desired state if it holds as a whole and was written against the latest version.
    pub fn apply(&mut self, now_ms: u64, request: ApplyRequest) -> Outcome {
        if let Some(answer) = self.answers.get(&request.change) {
            return answer.clone();
        }
        let change = request.change.clone();
        let outcome = match self.publish(now_ms, request) {
            Ok(version) => Outcome::Published(version),
            Err(refusal) => Outcome::Refused(refusal),
        };
        self.answers.insert(change, outcome.clone());
        outcome
    }

    fn publish(&mut self, now_ms: u64, request: ApplyRequest) -> Result<Version, Refusal> {
        if let Some(latest) = self
            .latest()
            .filter(|latest| latest.version != request.base)
        {
            return Err(Refusal::Conflict {
                current: latest.version,
                operator: latest.operator.clone(),
                at_ms: latest.at_ms,
            });
        }
        let desired =
            DesiredState::parse(DESIRED_STATE_FILE, &request.text).map_err(Refusal::Faulty)?;
        let version = self.version().next();
        self.desired = Arc::new(desired);
        self.history.push(Published {
            version,
            operator: request.operator,
            at_ms: now_ms,
            text: request.text.into(),
        });
        Ok(version)
    }
}
