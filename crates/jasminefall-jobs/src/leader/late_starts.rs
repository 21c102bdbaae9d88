//! Starts without an answer that may be carried out after their worker has restarted under its name.
//!
//! The deadline of a start binds only the incarnation that it was sent to, since the clock of the next one
//! starts anew. So a task is started again once the deadline has passed, and each later incarnation of the
//! worker is told to stop the earlier run, after which it refuses the start.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::{Effect, Leader, StartRequest, WorkerHandle};
use crate::ids::TaskId;
use crate::worker::{Heartbeat, WorkerResponse};

/// The longest time after its request for which a start may still be carried out, in milliseconds.
const MAX_START_DELAY_MS: u64 = 20_000;
/// The time after which a stop without an answer is repeated, in milliseconds.
const STOP_RETRY_MS: u64 = 500;

/// Describes a start that may still be carried out.
#[derive(Debug, Clone)]
struct LateStart {
    worker: SmolStr,
    /// The start of the incarnation that the request was sent to, in milliseconds since 1970.
    started_at_ms: u64,
    requested_at_ms: u64,
    /// The later incarnation that was told to stop the run.
    stop: Option<LateStop>,
}

/// Describes the stop of a late start.
#[derive(Debug, Clone, Copy)]
struct LateStop {
    worker: WorkerHandle,
    requested_at_ms: u64,
    accepted: bool,
}

/// Holds the starts without a definite answer, by their task and run.
#[derive(Debug, Clone, Default)]
pub(crate) struct LateStarts(BTreeMap<(TaskId, u64), LateStart>);

impl LateStarts {
    /// Returns whether a later incarnation of a worker may carry out a start.
    pub(super) fn has_start_for(&self, worker: &str) -> bool {
        self.0.values().any(|start| start.worker == worker)
    }

    /// Removes a start that has been carried out or refused.
    pub(super) fn settle(&mut self, task: TaskId, run: u64) {
        self.0.remove(&(task, run));
    }

    /// Returns the starts that another incarnation of their worker has not been told to stop yet, or has not
    /// answered in time. A later one may have an earlier start time, if the worker's time of day was set back.
    fn unstopped(
        &self,
        worker: &Heartbeat,
        handle: WorkerHandle,
        now_ms: u64,
    ) -> Vec<(TaskId, u64)> {
        let incarnation = &worker.incarnation;
        let starts = self.0.iter().filter(|(_, start)| {
            let is_stopped = start.stop.is_some_and(|stop| {
                let is_pending = now_ms < stop.requested_at_ms + STOP_RETRY_MS;
                stop.worker == handle && (stop.accepted || is_pending)
            });
            start.worker == incarnation.worker
                && start.started_at_ms != incarnation.started_at_ms
                && !is_stopped
        });
        starts.map(|(key, _)| *key).collect()
    }
}

impl Leader {
    /// Records a start that is about to be requested.
    pub(super) fn record_start(&mut self, request: &StartRequest) {
        let Some(worker) = self.workers.get(&request.worker) else {
            return;
        };
        let start = LateStart {
            worker: worker.incarnation().worker.clone(),
            started_at_ms: worker.incarnation().started_at_ms,
            requested_at_ms: self.now.steady_ms,
            stop: None,
        };
        self.late_starts
            .0
            .insert((request.task, request.run), start);
    }

    /// Removes a start with a definite response.
    pub(super) fn settle_start(&mut self, request: &StartRequest, response: &WorkerResponse) {
        let is_definite = matches!(
            response,
            WorkerResponse::Accepted { .. }
                | WorkerResponse::Refused { .. }
                | WorkerResponse::NotSent
        );
        if is_definite {
            self.late_starts.settle(request.task, request.run);
        }
    }

    /// Tells the sender of a heartbeat to stop the runs whose starts its earlier incarnations may have left
    /// behind. Those that it has taken over are left to the handover.
    pub(super) fn stop_late_starts(&mut self, heartbeat: &Heartbeat) {
        if self.late_starts.0.is_empty() {
            return;
        }
        let now_ms = self.now.steady_ms;
        let Some(handle) = self.directory.by_incarnation(&heartbeat.incarnation) else {
            return;
        };
        for (task, run) in self.late_starts.unstopped(heartbeat, handle, now_ms) {
            if self.run_mut(task, run).is_some() {
                continue;
            }
            self.log_event(format!(
                "event=late_start_stopped task={task} run={run} worker={}",
                heartbeat.incarnation
            ));
            self.counts.stops += 1;
            self.effects.push(Effect::Stop {
                worker: handle,
                task,
                run,
            });
            if let Some(start) = self.late_starts.0.get_mut(&(task, run)) {
                start.stop = Some(LateStop {
                    worker: handle,
                    requested_at_ms: now_ms,
                    accepted: false,
                });
            }
        }
    }

    /// Repeats unanswered stops of late starts, and removes the starts that can no longer be carried out.
    pub(super) fn advance_late_starts(&mut self) {
        let now_ms = self.now.steady_ms;
        let starts = &mut self.late_starts.0;
        starts.retain(|_, start| now_ms < start.requested_at_ms + MAX_START_DELAY_MS);
        let unanswered = starts.values().filter_map(|start| start.stop);
        let workers: Vec<_> = unanswered
            .filter(|stop| !stop.accepted && now_ms >= stop.requested_at_ms + STOP_RETRY_MS)
            .filter_map(|stop| self.workers.get(&stop.worker))
            .map(|worker| worker.heartbeat.clone())
            .collect();
        for heartbeat in workers {
            self.stop_late_starts(&heartbeat);
        }
    }

    /// Records that a worker has accepted the stop of a late start, so that it refuses the start.
    pub(super) fn record_late_stop(&mut self, worker: WorkerHandle, task: TaskId, run: u64) {
        if let Some(start) = self.late_starts.0.get_mut(&(task, run))
            && let Some(stop) = &mut start.stop
            && stop.worker == worker
        {
            stop.accepted = true;
        }
    }
}
