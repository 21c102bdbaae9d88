//! Starts that the next incarnation of their worker may have taken.
//!
//! A worker that restarts under its name accepts requests that were meant for its previous incarnation,
//! since a request names the worker only. Neither the fencing token nor the deadline of a start prevents
//! this: the new incarnation has seen no token, and its clock starts anew. Only a run list proves which
//! incarnation a run is on, so a run that no list has shown is kept when its incarnation ends. It is
//! handed over to the next incarnation, which either lists the run or accepts a stop, after which it
//! refuses the start.
//!
//! A later leader knows nothing of these runs. So that it polls the worker before it starts tasks that an
//! earlier leader may have started, the replicated state holds a record of an earlier incarnation of the
//! worker until it holds one of the next incarnation.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::{Leader, RunState, WorkerHandle};
use crate::ids::{IncarnationId, TaskId};
use crate::state::{Command, JobsState};
use crate::worker::{Heartbeat, WorkerResponse};

/// The delay between an accepted stop and the probe that proves it, in milliseconds; the run list of the
/// probe has to be later than the stop on the worker's clock.
const PROOF_DELAY_MS: u64 = 10;

/// States whether a later incarnation may accept the requests to one that ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Successor {
    /// No incarnation accepts them.
    None,
    /// An incarnation of the same worker may accept them.
    SameWorker,
}

/// Holds what the next incarnation of a worker takes over from one that has ended.
#[derive(Debug, Clone)]
struct Handover {
    instance: Option<SmolStr>,
    address: SmolStr,
    /// The start of the latest incarnation that has ended, in milliseconds since 1970.
    started_at_ms: u64,
    /// The runs that no run list has shown.
    runs: Vec<(TaskId, u64)>,
    /// The ended incarnations on which earlier leaders may have started tasks.
    unreconciled: Vec<IncarnationId>,
    /// The ended incarnations that are still recorded in the replicated state.
    recorded: Vec<IncarnationId>,
    ended_at_ms: u64,
}

/// Holds the handovers to workers whose next incarnation is not known yet, by the name of the worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct Handovers {
    by_worker: BTreeMap<SmolStr, Handover>,
}

impl Leader {
    /// Keeps the runs of an ended incarnation that no run list has shown for the next incarnation of its
    /// worker, and returns the others.
    pub(super) fn begin_handover(
        &mut self,
        heartbeat: &Heartbeat,
        runs: Vec<(TaskId, u64)>,
    ) -> Vec<(TaskId, u64)> {
        let incarnation = &heartbeat.incarnation;
        let (listed, unlisted): (Vec<_>, Vec<_>) = runs
            .into_iter()
            .partition(|(task, number)| self.run_mut(*task, *number).is_none_or(|run| run.listed));
        let is_unreconciled = self.unreconciled.contains_key(incarnation);
        self.log_event(format!(
            "event=handover_started worker={incarnation} runs={} unreconciled={is_unreconciled}",
            unlisted.len()
        ));
        let ended_at_ms = self.now.steady_ms;
        let handover = self
            .handovers
            .by_worker
            .entry(incarnation.worker.clone())
            .or_insert_with(|| Handover {
                instance: heartbeat.instance.clone(),
                address: heartbeat.address.clone(),
                started_at_ms: incarnation.started_at_ms,
                runs: Vec::new(),
                unreconciled: Vec::new(),
                recorded: Vec::new(),
                ended_at_ms,
            });
        handover.ended_at_ms = ended_at_ms;
        handover.started_at_ms = handover.started_at_ms.max(incarnation.started_at_ms);
        handover.runs.extend(unlisted);
        handover
            .unreconciled
            .extend(is_unreconciled.then(|| incarnation.clone()));
        handover.recorded.push(incarnation.clone());
        // A leader may know both incarnations from the replicated state.
        if let Some(successor) = self.directory.by_name(&incarnation.worker).max() {
            self.complete_handover(successor);
        }
        listed
    }

    /// Completes the handover to an incarnation, if there is one.
    fn complete_handover(&mut self, successor: WorkerHandle) {
        let Some(worker) = self.workers.get(&successor) else {
            return;
        };
        let incarnation = worker.incarnation().clone();
        if let Some(handover) = self.handovers.by_worker.remove(&incarnation.worker) {
            self.hand_over(handover, successor, &incarnation);
        }
    }

    /// Completes the handovers to the sender of a heartbeat, and ends those that it makes impossible because
    /// another worker uses the instance or the address by now.
    pub(super) fn complete_handovers(&mut self, heartbeat: &Heartbeat) {
        if self.handovers.by_worker.is_empty() {
            return;
        }
        let incarnation = &heartbeat.incarnation;
        let Some(successor) = self.directory.by_incarnation(incarnation) else {
            return;
        };
        self.complete_handover(successor);
        // A delayed heartbeat may be of a worker that was there before.
        let is_superseded = |handover: &Handover| {
            incarnation.started_at_ms > handover.started_at_ms
                && (handover.address == heartbeat.address
                    || (handover.instance.is_some() && handover.instance == heartbeat.instance))
        };
        self.abandon_handovers(is_superseded);
    }

    /// Requeues the runs that no incarnation has taken over within the maximum lease.
    pub(super) fn expire_handovers(&mut self) {
        let expired_before_ms = self
            .now
            .steady_ms
            .saturating_sub(self.max_lease_on_local_clock_ms());
        self.abandon_handovers(|handover| handover.ended_at_ms <= expired_before_ms);
    }

    fn abandon_handovers(&mut self, is_over: impl Fn(&Handover) -> bool) {
        let over = self.handovers.by_worker.iter();
        let over: Vec<_> = over
            .filter(|(_, handover)| is_over(handover))
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            let Some(handover) = self.handovers.by_worker.remove(&name) else {
                continue;
            };
            self.log_event(format!(
                "event=handover_abandoned worker={name} runs={}",
                handover.runs.len()
            ));
            for (task, number) in handover.runs {
                self.requeue_run(task, number);
            }
            for incarnation in handover.unreconciled {
                self.mark_reconciled(&incarnation);
            }
            self.retire_incarnations(handover.recorded);
        }
    }

    fn hand_over(
        &mut self,
        handover: Handover,
        successor: WorkerHandle,
        incarnation: &IncarnationId,
    ) {
        self.log_event(format!(
            "event=handover_completed worker={incarnation} runs={}",
            handover.runs.len()
        ));
        for (task, number) in handover.runs {
            let Some(mut run) = self.remove_run(task, number) else {
                continue;
            };
            run.worker = successor;
            run.start_deadline_ms = u64::MAX;
            run.state = match run.state {
                // Repeats the stop, which the ended incarnation may have received.
                RunState::Stopping { .. } => RunState::Stopping { requested_at_ms: 0 },
                _ => RunState::Unconfirmed,
            };
            self.add_run(run);
        }
        // Requests to the ended incarnation may still be under way.
        let successor_until_ms = self.max_successor_lease_until_ms();
        let mut is_reconciled = false;
        if let Some(worker) = self.workers.get_mut(&successor) {
            worker.lease.extend_for_successor(successor_until_ms);
            is_reconciled = worker.reconciled;
        }
        for ended in handover.unreconciled {
            let Some(pools) = self.unreconciled.remove(&ended) else {
                continue;
            };
            if is_reconciled {
                self.dirty_pools.extend(pools);
            } else {
                // Added to its own pool, which may be another one.
                let known = self.unreconciled.entry(incarnation.clone());
                known.or_default().extend(pools);
            }
        }
        // Follows the registration of the successor in the log, which has been proposed.
        self.retire_incarnations(handover.recorded);
    }

    /// Removes the records of ended incarnations, except of those that have returned.
    fn retire_incarnations(&mut self, ended: Vec<IncarnationId>) {
        for incarnation in ended {
            if self.directory.by_incarnation(&incarnation).is_none() {
                self.propose(Command::Retire(incarnation));
            }
        }
    }

    /// Processes the response to a stop request.
    pub fn on_stop_response(
        &mut self,
        handle: WorkerHandle,
        (task, number): (TaskId, u64),
        response: &WorkerResponse,
        state: &JobsState,
    ) {
        self.on_run_response(handle, response, state);
        let WorkerResponse::Accepted { clock_ms } = response else {
            return;
        };
        self.record_late_stop(handle, task, number);
        let Some(run) = self.run_mut(task, number) else {
            return;
        };
        if run.worker != handle || run.start_deadline_ms != u64::MAX {
            return;
        }
        // The worker refuses the start from now on.
        run.start_deadline_ms = *clock_ms;
        if let Some(worker) = self.workers.get_mut(&handle) {
            worker.probe_at_ms = Some(self.now.steady_ms + PROOF_DELAY_MS);
        }
    }
}
