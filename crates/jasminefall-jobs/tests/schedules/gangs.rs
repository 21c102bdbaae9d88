//! Gangs, whose members start and end together.

use jasminefall_jobs::prelude::*;

use super::{Event, World};

/// Time after its start at which a member ends if another one doesn't run, in milliseconds.
const START_WINDOW_MS: u64 = 2_000;
/// Time after the end of a member at which the others end, in milliseconds.
const END_DELAY_MS: u64 = 20;

impl World {
    pub(super) fn after_gang_start(&mut self, life: usize, task: TaskId, run: u64) {
        let check = Event::CheckGang { life, task, run };
        self.schedule(self.now_ms + START_WINDOW_MS, check);
    }

    /// Ends a run of a gang of which not all members run.
    pub(super) fn check_gang(&mut self, life: usize, task: TaskId, run: u64) {
        let size = self.gang_size(task).unwrap_or(0);
        if self.members(task, run).len() < size {
            self.end_run(life, task, run, EndKind::GangIncomplete);
        }
    }

    /// Ends the other members of a gang after the end of one of them.
    pub(super) fn end_gang(&mut self, task: TaskId, run: u64, kind: EndKind) {
        if self.gang_size(task).is_none() {
            return;
        }
        let kind = if kind == EndKind::Done {
            EndKind::Done
        } else {
            EndKind::GangBroken
        };
        for (life, task) in self.members(task, run) {
            let end = Event::RunEnds {
                life,
                task,
                run,
                kind,
            };
            self.schedule(self.now_ms + END_DELAY_MS, end);
        }
    }

    fn gang_size(&self, task: TaskId) -> Option<usize> {
        let planned = self.plan.jobs.iter().find(|job| job.key == task.job)?;
        let step = &planned.spec.steps[usize::from(task.step)];
        step.gang.then_some(step.tasks as usize)
    }

    /// Returns the members that run under this number, with their workers.
    fn members(&self, task: TaskId, run: u64) -> Vec<(usize, TaskId)> {
        let workers = self.workers.iter().enumerate();
        let running = workers.flat_map(|(life, worker)| {
            let runs = worker.running.keys();
            runs.map(move |(known, number)| (life, *known, *number))
        });
        let is_member = |known: &TaskId| known.step_id() == task.step_id();
        running
            .filter(|(_, known, number)| is_member(known) && *number == run)
            .map(|(life, known, _)| (life, known))
            .collect()
    }
}
