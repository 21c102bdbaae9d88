//! Records of incarnations that this leader has proposed to add or to remove.
//!
//! A command takes effect after those that were proposed before it. What it finds is therefore decided by the
//! latest proposals rather than by the replicated state, which doesn't include them yet.

use std::collections::HashMap;

use super::Leader;
use crate::ids::IncarnationId;
use crate::state::{Command, JobsState};

/// Counts the proposals for the record of one incarnation that have not been applied yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct PendingRecord {
    additions: usize,
    removals: usize,
    /// Whether the latest proposal adds the record.
    is_recorded: bool,
}

/// Holds the proposals that have not been applied yet, by the incarnation that they add or remove.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingRecords(HashMap<IncarnationId, PendingRecord>);

impl PendingRecords {
    /// Records a proposed command.
    pub(super) fn record_proposed(&mut self, command: &Command) {
        match command {
            Command::Register(heartbeat) => {
                let pending = self.0.entry(heartbeat.incarnation.clone()).or_default();
                pending.additions += 1;
                pending.is_recorded = true;
            }
            Command::Retire(incarnation) => {
                let pending = self.0.entry(incarnation.clone()).or_default();
                pending.removals += 1;
                pending.is_recorded = false;
            }
            _ => {}
        }
    }

    /// Records a command that has been applied.
    pub(super) fn record_applied(&mut self, command: &Command) {
        let incarnation = match command {
            Command::Register(heartbeat) => &heartbeat.incarnation,
            Command::Retire(incarnation) => incarnation,
            _ => return,
        };
        let Some(pending) = self.0.get_mut(incarnation) else {
            return;
        };
        let count = match command {
            Command::Retire(_) => &mut pending.removals,
            _ => &mut pending.additions,
        };
        *count = count.saturating_sub(1);
        if pending.additions + pending.removals == 0 {
            self.0.remove(incarnation);
        }
    }

    /// Returns whether the record of an incarnation is going to be removed, even if it is added again later.
    pub(super) fn awaits_removal(&self, incarnation: &IncarnationId) -> bool {
        let pending = self.0.get(incarnation);
        pending.is_some_and(|pending| pending.removals > 0)
    }
}

impl Leader {
    /// Returns whether an incarnation has a record once all proposals have been applied.
    pub(super) fn will_be_recorded(&self, incarnation: &IncarnationId, state: &JobsState) -> bool {
        let pending = self.pending_records.0.get(incarnation);
        pending.map_or_else(
            || state.incarnations.contains_key(incarnation),
            |pending| pending.is_recorded,
        )
    }
}
