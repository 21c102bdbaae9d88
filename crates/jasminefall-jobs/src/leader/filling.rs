//! The pace of tasks that fill beside others.

use std::collections::HashMap;

use crate::ids::TaskId;

/// Follows the pace that was set for tasks that fill.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pacing {
    changed_at_ms: HashMap<TaskId, u64>,
}

impl Pacing {
    /// Forgets a task whose run is over.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.changed_at_ms.remove(&task);
    }
}
