//! How far the run ends of incarnations that were removed have been recorded.
//!
//! A worker that was only cut off returns and lists ends again that were recorded before its removal. Only
//! the replicated state tells every later leader which they are.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::JobsState;
use crate::ids::IncarnationId;

/// The largest number of removed incarnations that are kept; above the number of workers of a large site,
/// all of which can be cut off at the same time.
pub const MAX_RETIRED_INCARNATIONS: usize = 4_096;

/// Holds how far the run ends of removed incarnations have been recorded.
///
/// An incarnation stays when it returns, since it begins a new record then. Beyond
/// [`MAX_RETIRED_INCARNATIONS`] the one that was removed first is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RetiredIncarnations {
    by_incarnation: BTreeMap<IncarnationId, RetiredIncarnation>,
    /// The number of removals so far.
    removals: u64,
}

/// Holds what remains of one removed incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct RetiredIncarnation {
    /// The number of the last recorded run end.
    recorded_upto: u64,
    /// The number of its latest removal, counted over all incarnations.
    removal: u64,
}

impl RetiredIncarnations {
    /// Returns the number of incarnations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_incarnation.is_empty()
    }

    /// Records the removal of an incarnation; one without recorded ends needs none.
    pub(super) fn record(&mut self, incarnation: IncarnationId, recorded_upto: u64) {
        let known = self.recorded_upto(&incarnation);
        if known.max(recorded_upto) == 0 {
            return;
        }
        self.removals += 1;
        let retired = RetiredIncarnation {
            recorded_upto: known.max(recorded_upto),
            removal: self.removals,
        };
        self.by_incarnation.insert(incarnation, retired);
        if self.by_incarnation.len() > MAX_RETIRED_INCARNATIONS {
            let first = self
                .by_incarnation
                .iter()
                .min_by_key(|(_, retired)| retired.removal);
            if let Some(first) = first.map(|(incarnation, _)| incarnation.clone()) {
                self.by_incarnation.remove(&first);
            }
        }
    }

    fn recorded_upto(&self, incarnation: &IncarnationId) -> u64 {
        let retired = self.by_incarnation.get(incarnation);
        retired.map_or(0, |retired| retired.recorded_upto)
    }
}

impl JobsState {
    /// Returns the number up to which the run ends of an incarnation are recorded, in its current record or
    /// before its removals.
    #[must_use]
    pub fn ends_recorded_upto(&self, incarnation: &IncarnationId) -> u64 {
        let record = self.incarnations.get(incarnation);
        let recorded_upto = record.map_or(0, |record| record.recorded_upto);
        recorded_upto.max(self.retired.recorded_upto(incarnation))
    }
}
