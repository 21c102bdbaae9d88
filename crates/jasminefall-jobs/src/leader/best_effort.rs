//! The pace of best-effort tasks beside others.

use std::collections::HashMap;

use super::{Effect, Leader, RunState, WorkerHandle};
use crate::ids::TaskId;
use crate::policy::pace::{PACE_SETTLING_MS, next_pace_percent};

/// Follows the pace that was set for best-effort tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct PaceTracker {
    changed_at_ms: HashMap<TaskId, u64>,
}

impl PaceTracker {
    /// Forgets a task whose run is over.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.changed_at_ms.remove(&task);
    }
}

impl Leader {
    /// Sets the pace of the best-effort tasks on a worker by the tails of what serves there.
    pub(super) fn pace_worker(&mut self, handle: WorkerHandle) {
        let now_ms = self.now.steady_ms;
        let Some(worker) = self.workers.get(&handle) else {
            return;
        };
        let mut worst_tail_percent = 0;
        let mut best_effort = Vec::new();
        for (task, number) in &worker.runs {
            let Some(step) = self.steps.get(&task.step_id()) else {
                continue;
            };
            let runs = self.runs.get(task).into_iter().flatten();
            let Some(run) = runs.into_iter().find(|run| run.number == *number) else {
                continue;
            };
            if step.step().best_effort && run.state == RunState::Running {
                best_effort.push((*task, *number, run.pace_percent));
            }
            if let (Some(target_ms), Some(tail_ms)) = (step.step().tail_target_ms, run.gauge) {
                worst_tail_percent = worst_tail_percent.max(tail_ms * 100 / target_ms.max(1));
            }
        }
        for (task, number, held_percent) in best_effort {
            let changed = self.pacing.changed_at_ms.get(&task).copied();
            let percent = next_pace_percent(held_percent, worst_tail_percent);
            if percent == held_percent || changed.is_some_and(|at| now_ms < at + PACE_SETTLING_MS) {
                continue;
            }
            self.pacing.changed_at_ms.insert(task, now_ms);
            if let Some(run) = self.run_mut(task, number) {
                run.pace_percent = percent;
            }
            self.log_event(format!(
                "event=pace_set task={task} run={number} percent={percent} before={held_percent} \
                 worst_tail_percent={worst_tail_percent}"
            ));
            self.effects.push(Effect::Pace {
                worker: handle,
                task,
                run: number,
                percent,
            });
        }
    }
}
