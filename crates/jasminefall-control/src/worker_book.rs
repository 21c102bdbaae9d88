//! What workers said of themselves to this leader.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;

/// How long a worker counts as live after its latest heartbeat.
const LIVE_MS: u64 = 3_000;

/// Remembers when each worker was heard.
#[derive(Debug, Default)]
pub(crate) struct WorkerBook {
    heard_at_ms: BTreeMap<WorkerId, u64>,
}

impl WorkerBook {
    /// Notes a heartbeat.
    pub(crate) fn note(&mut self, worker: WorkerId, now_ms: u64) {
        self.heard_at_ms.insert(worker, now_ms);
    }

    /// Returns whether a worker was heard lately.
    pub(crate) fn is_live(&self, worker: &WorkerId, now_ms: u64) -> bool {
        self.heard_at_ms
            .get(worker)
            .is_some_and(|heard_at_ms| now_ms < heard_at_ms + LIVE_MS)
    }
}
