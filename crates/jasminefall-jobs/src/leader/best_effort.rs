//! Pacing of best-effort tasks beside tasks with a tail latency target.

use std::collections::HashMap;

use super::{Effect, Leader, RunState, WorkerHandle};
use crate::ids::TaskId;
use crate::policy::pace::{PACE_SETTLING_MS, next_pace_percent};

/// Holds when the pace of each best-effort task last changed, on the leader's steady clock.
#[derive(Debug, Clone, Default)]
pub(crate) struct PaceTracker {
    changed_at_ms: HashMap<TaskId, u64>,
}

impl PaceTracker {
    /// Removes a task whose run has ended.
    pub(crate) fn remove(&mut self, task: TaskId) {
        self.changed_at_ms.remove(&task);
    }
}

impl Leader {
    /// Adjusts the pace of the best-effort tasks on a worker to the worst tail latency of the tasks
    /// there, each in percent of its target.
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
        for (task, number, current_percent) in best_effort {
            let changed_at_ms = self.pacing.changed_at_ms.get(&task).copied();
            let percent = next_pace_percent(current_percent, worst_tail_percent);
            if percent == current_percent
                || changed_at_ms.is_some_and(|at_ms| now_ms < at_ms + PACE_SETTLING_MS)
            {
                continue;
            }
            self.pacing.changed_at_ms.insert(task, now_ms);
            if let Some(run) = self.run_mut(task, number) {
                run.pace_percent = percent;
            }
            self.log_event(format!(
                "event=pace_set task={task} run={number} percent={percent} before={current_percent} \
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
