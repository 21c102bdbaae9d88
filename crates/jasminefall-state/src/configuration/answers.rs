//! The answers to changes of the desired state.

use std::collections::{BTreeMap, VecDeque};

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, Refusal};

/// The most answers that are kept: about two days of the planned 1,600 changes a day.
pub const MAX_CHANGE_ANSWERS: usize = 4_000;

/// Holds the answer to one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Answer {
    /// The hash of the base and the text of the change.
    digest: [u8; 32],
    outcome: Outcome,
}

/// Holds the answers to the latest changes, so that a resend gets the first answer.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(super) struct Answers {
    by_change: BTreeMap<ChangeId, Answer>,
    /// The changes in the order in which they were answered.
    order: VecDeque<ChangeId>,
}

impl Answers {
    /// Returns the first answer to a change, or a refusal if its identifier named another change.
    pub(super) fn get(&self, change: &ChangeId, digest: &[u8; 32]) -> Option<Outcome> {
        let answer = self.by_change.get(change)?;
        Some(if answer.digest == *digest {
            answer.outcome.clone()
        } else {
            Outcome::Refused(Refusal::ChangeReused)
        })
    }

    /// Inserts an answer and evicts the oldest one beyond the bound.
    pub(super) fn insert(&mut self, change: ChangeId, digest: [u8; 32], outcome: Outcome) {
        self.by_change
            .insert(change.clone(), Answer { digest, outcome });
        self.order.push_back(change);
        if self.order.len() > MAX_CHANGE_ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_change.remove(&oldest);
        }
    }
}
