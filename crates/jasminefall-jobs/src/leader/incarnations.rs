//! Replacement and end of worker incarnations.

use super::handovers::Successor;
use super::{Leader, Worker, WorkerHandle};
use crate::ids::IncarnationId;
use crate::state::{Command, JobsState};
use crate::worker::Heartbeat;

/// The number of heartbeat intervals for which an ended incarnation has to go on sending heartbeats until it
/// counts as ended by mistake.
const OUTLIVED_HEARTBEATS: u64 = 2;

/// Describes an incarnation that has ended permanently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedIncarnation {
    /// When it ended, on the leader's steady clock.
    ended_at_ms: u64,
    /// The number of the last run end that was processed.
    ends_seen: u64,
    /// The incarnation's clock in the first heartbeat since then, and when that arrived on the leader's
    /// steady clock.
    first_heartbeat: Option<(u64, u64)>,
}

impl EndedIncarnation {
    /// Records a heartbeat; returns whether the incarnation must have gone on since its end.
    ///
    /// Heartbeats that were held up may span some time on the worker's clock, but arrive together.
    fn is_outlived(&mut self, clock_ms: u64, now_ms: u64, heartbeat_ms: u64) -> bool {
        let margin_ms = heartbeat_ms * OUTLIVED_HEARTBEATS;
        let (first_clock_ms, received_at_ms) =
            *self.first_heartbeat.get_or_insert((clock_ms, now_ms));
        clock_ms >= first_clock_ms + margin_ms && now_ms >= received_at_ms + margin_ms
    }
}

impl Leader {
    /// Returns whether the sender of a heartbeat has ended. One that was ended by mistake is forgotten, so
    /// that it can join again; it gets tasks once it has answered a poll.
    pub(super) fn has_ended(&mut self, heartbeat: &Heartbeat) -> bool {
        let (now_ms, heartbeat_ms) = (self.now.steady_ms, self.settings.heartbeat_ms);
        let incarnation = &heartbeat.incarnation;
        let Some(ended) = self.ended_incarnations.get_mut(incarnation) else {
            return false;
        };
        let is_outlived = ended.is_outlived(heartbeat.clock_ms, now_ms, heartbeat_ms);
        if heartbeat.draining || !is_outlived {
            return true;
        }
        let ended = *ended;
        self.log_event(format!(
            "event=worker_readmitted worker={incarnation} ended_ms_ago={}",
            now_ms.saturating_sub(ended.ended_at_ms)
        ));
        self.ended_incarnations.remove(incarnation);
        self.silent_incarnations
            .insert(incarnation.clone(), (ended.ends_seen, now_ms));
        false
    }

    /// Returns the number of the last run end that was processed of an incarnation, which may have ended.
    pub(super) fn ends_seen(&self, incarnation: &IncarnationId) -> u64 {
        let handle = self.directory.by_incarnation(incarnation);
        let worker = handle.and_then(|handle| self.workers.get(&handle));
        let ended = self.ended_incarnations.get(incarnation);
        let silent = self.silent_incarnations.get(incarnation);
        let known = worker.map(|worker| worker.ends_seen);
        let known = known.or_else(|| ended.map(|ended| ended.ends_seen));
        known
            .or_else(|| silent.map(|(ends_seen, _)| *ends_seen))
            .unwrap_or_default()
    }

    /// Processes a worker's deregistration: ends its draining incarnations.
    ///
    /// The worker ends only once it has received the acknowledgement, or some time later without one,
    /// so an incarnation that may have runs is kept until they have ended or its lease has expired.
    pub fn on_departure(&mut self, worker: &str, state: &JobsState) {
        let handles: Vec<_> = self.directory.by_name(worker).collect();
        for handle in handles {
            let Some(known) = self.workers.get_mut(&handle) else {
                continue;
            };
            if !known.heartbeat.draining {
                continue;
            }
            let has_no_runs = known.has_no_runs();
            let is_first_notice = !std::mem::replace(&mut known.departing, true);
            let line = format!(
                "event=worker_departs worker={} runs={} reconciled={}",
                known.incarnation(),
                known.runs.len(),
                known.reconciled
            );
            if is_first_notice {
                self.log_event(line);
            }
            if has_no_runs {
                self.end_incarnation_permanently(handle, "left", Successor::None, state);
            }
        }
    }

    /// Ends earlier incarnations with the same name, address or instance as the sender of a
    /// heartbeat, since it has replaced them.
    pub(super) fn end_earlier_incarnations(&mut self, heartbeat: &Heartbeat, state: &JobsState) {
        let is_earlier = |handle: &WorkerHandle| {
            let known = self.workers.get(handle);
            known.is_some_and(|known| {
                known.incarnation().started_at_ms < heartbeat.incarnation.started_at_ms
            })
        };
        let mut earlier = self.directory.matching_identity(heartbeat);
        earlier.retain(is_earlier);
        self.record_crashes_of_vanished(heartbeat, state);
        for handle in earlier {
            let known = self.workers.get(&handle);
            let is_same_worker = known
                .is_some_and(|known| known.incarnation().worker == heartbeat.incarnation.worker);
            let successor = if is_same_worker {
                Successor::SameWorker
            } else {
                Successor::None
            };
            self.end_replaced_incarnation(handle, successor, state);
        }
    }

    /// Ends an incarnation that another one has replaced. Unless that was to be expected, the worker has
    /// crashed.
    pub(super) fn end_replaced_incarnation(
        &mut self,
        handle: WorkerHandle,
        successor: Successor,
        state: &JobsState,
    ) {
        let has_crashed = self
            .workers
            .get(&handle)
            .is_some_and(|worker| !worker.departing && self.ends_unexpectedly(&worker.heartbeat));
        if has_crashed {
            self.record_worker_crash(handle, state);
        }
        self.end_incarnation_permanently(handle, "replaced", successor, state);
    }

    /// Returns whether a later incarnation has replaced the sender of a heartbeat.
    pub(super) fn has_later_incarnation(&self, heartbeat: &Heartbeat) -> bool {
        let matching_identity = self.directory.matching_identity(heartbeat);
        let mut known = matching_identity
            .iter()
            .filter_map(|handle| self.workers.get(handle));
        known.any(|known| known.incarnation().started_at_ms > heartbeat.incarnation.started_at_ms)
    }

    /// Ends an incarnation and records its end, so that a delayed heartbeat does not add it again.
    pub(super) fn end_incarnation_permanently(
        &mut self,
        handle: WorkerHandle,
        cause: &str,
        successor: Successor,
        state: &JobsState,
    ) {
        if let Some(worker) = self.workers.get(&handle) {
            let ended = EndedIncarnation {
                ended_at_ms: self.now.steady_ms,
                ends_seen: worker.ends_seen,
                first_heartbeat: None,
            };
            self.ended_incarnations
                .insert(worker.incarnation().clone(), ended);
        }
        self.end_incarnation(handle, cause, successor, state);
    }

    /// Ends the incarnation on an instance that has been taken down, unless `outlives` states that it may
    /// have begun afterwards; returns this incarnation.
    ///
    /// The platform's response doesn't tell when it took the instance down, nor by whose request.
    pub(super) fn end_incarnation_on(
        &mut self,
        instance: &str,
        cause: &str,
        outlives: impl Fn(&Worker) -> bool,
        state: &JobsState,
    ) -> Option<WorkerHandle> {
        if let Some(handle) = self.worker_on(instance) {
            if self.workers.get(&handle).is_some_and(outlives) {
                return Some(handle);
            }
            // Without runs and late starts, there is nothing that a next incarnation could take.
            let may_leave_starts = self.workers.get(&handle).is_some_and(|worker| {
                !worker.has_no_runs()
                    || self.late_starts.has_start_for(&worker.incarnation().worker)
            });
            let successor = if may_leave_starts {
                Successor::SameWorker
            } else {
                Successor::None
            };
            self.end_incarnation_permanently(handle, cause, successor, state);
        }
        if let Some(known) = self.fleet.instances.get_mut(instance) {
            known.worker = None;
        }
        None
    }

    /// Lets the worker on an instance be given tasks again.
    pub(super) fn stop_evacuation(&mut self, instance: &str) {
        let handle = self.worker_on(instance);
        if let Some(worker) = handle.and_then(|handle| self.workers.get_mut(&handle)) {
            worker.evacuating = false;
            let pool = worker.heartbeat.pool.clone();
            self.dirty_pools.insert(pool);
        }
    }

    /// Removes the records of ended and silent incarnations that are older than the retention time.
    pub(super) fn expire_ended_incarnations(&mut self) {
        let now_ms = self.now.steady_ms;
        let ended_retention_ms = self.settings.ended_retention_ms;
        self.ended_incarnations
            .retain(|_, ended| now_ms < ended.ended_at_ms + ended_retention_ms);
        self.silent_incarnations
            .retain(|_, (_, at_ms)| now_ms < *at_ms + ended_retention_ms);
    }

    /// Removes an incarnation on which no run can be active any more, and requeues its tasks, except those
    /// that its successor may have started. A later heartbeat can add it again, since the worker may only
    /// have been unreachable.
    pub(super) fn end_incarnation(
        &mut self,
        handle: WorkerHandle,
        cause: &str,
        successor: Successor,
        state: &JobsState,
    ) {
        self.record_confirmed_ends(handle);
        let Some(worker) = self.workers.remove(&handle) else {
            return;
        };
        let incarnation = worker.incarnation().clone();
        self.directory.remove(handle, &worker.heartbeat);
        self.advice.forget_worker(handle);
        self.log_event(format!(
            "event=worker_removed worker={incarnation} cause={cause} runs={} heartbeat_age_ms={}",
            worker.runs.len(),
            self.now
                .steady_ms
                .saturating_sub(worker.last_heartbeat_at_ms)
        ));
        let runs: Vec<_> = worker.runs.into_iter().collect();
        let ended_runs = match successor {
            Successor::None => {
                self.mark_reconciled(&incarnation);
                if self.will_be_recorded(&incarnation, state) {
                    self.propose(Command::Retire(incarnation));
                }
                runs
            }
            Successor::SameWorker => self.begin_handover(&worker.heartbeat, runs),
        };
        for (task, run) in ended_runs {
            self.requeue_run(task, run);
        }
        self.dirty_pools.insert(worker.heartbeat.pool);
    }

    /// Records that each run that an earlier leader started on an incarnation is known or has
    /// ended.
    pub(super) fn mark_reconciled(&mut self, incarnation: &IncarnationId) {
        if let Some(pools) = self.unreconciled.remove(incarnation) {
            self.dirty_pools.extend(pools);
        }
    }

    /// Returns whether a pool may have unknown runs that an earlier leader started.
    pub(super) fn is_unreconciled(&self, pool: &str) -> bool {
        self.unreconciled
            .values()
            .any(|unreconciled_pools| unreconciled_pools.contains(pool))
    }
}
