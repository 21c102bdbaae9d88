//! The latest checkpoints of the tasks of a step.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::job::StepSpec;
use crate::state::StepProgress;

/// Holds the latest checkpoint of each task of a step, or of the whole gang.
///
/// The members of a gang only work together if all of them resume from the same checkpoint, which may be that
/// of any member.
#[derive(Debug, Clone, Default)]
pub(crate) struct Checkpoints {
    is_gang: bool,
    /// The run that left the checkpoint, and the checkpoint, by the index of the task; zero for a gang.
    by_index: HashMap<u32, (u64, SmolStr)>,
}

impl Checkpoints {
    /// Creates the checkpoints that the replicated state holds.
    pub(crate) fn resumed(spec: &StepSpec, progress: &StepProgress) -> Self {
        let mut checkpoints = Self {
            is_gang: spec.gang,
            by_index: HashMap::new(),
        };
        for (task, index) in progress.tasks.iter().zip(0..) {
            checkpoints.record(index, task.checkpoint_run, &task.checkpoint);
        }
        checkpoints
    }

    /// Records the checkpoint that a run has left, unless a later run has left one.
    pub(crate) fn record(&mut self, index: u32, run: u64, checkpoint: &SmolStr) {
        if checkpoint.is_empty() {
            return;
        }
        let latest = self.by_index.entry(self.key(index)).or_default();
        if run >= latest.0 {
            *latest = (run, checkpoint.clone());
        }
    }

    /// Returns the checkpoint from which a task resumes; empty if there is none.
    pub(crate) fn of(&self, index: u32) -> SmolStr {
        let latest = self.by_index.get(&self.key(index));
        latest.map_or_else(SmolStr::default, |(_, checkpoint)| checkpoint.clone())
    }

    const fn key(&self, index: u32) -> u32 {
        if self.is_gang { 0 } else { index }
    }
}
