//! The recorded outcomes of changes of the desired state.

use std::collections::{BTreeMap, VecDeque};

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, Refusal};

/// The most outcomes that are kept: about two days of the planned 1,600 changes a day.
pub const MAX_CHANGE_OUTCOMES: usize = 4_000;

/// Holds the outcome of one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedOutcome {
    /// The hash of the base and the text of the change.
    digest: [u8; 32],
    outcome: Outcome,
}

/// Holds the outcomes of the latest changes, so that a resend gets the first outcome.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(super) struct ChangeOutcomes {
    by_change: BTreeMap<ChangeId, RecordedOutcome>,
    /// The changes in the order in which their outcomes were recorded.
    order: VecDeque<ChangeId>,
}

impl ChangeOutcomes {
    /// Returns the first outcome of a change, or a refusal if its identifier named another change.
    pub(super) fn get(&self, change: &ChangeId, digest: &[u8; 32]) -> Option<Outcome> {
        let recorded = self.by_change.get(change)?;
        Some(if recorded.digest == *digest {
            recorded.outcome.clone()
        } else {
            Outcome::Refused(Refusal::ChangeReused)
        })
    }

    /// Inserts an outcome and evicts the oldest one beyond the bound.
    pub(super) fn insert(&mut self, change: ChangeId, digest: [u8; 32], outcome: Outcome) {
        self.by_change
            .insert(change.clone(), RecordedOutcome { digest, outcome });
        self.order.push_back(change);
        if self.order.len() > MAX_CHANGE_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_change.remove(&oldest);
        }
    }
}
