//! Incarnations of workers: which are over, and which replaces which.

use super::{Leader, WorkerHandle};
use crate::ids::IncarnationId;
use crate::state::{Command, JobsState};
use crate::worker::Heartbeat;

impl Leader {
    /// Takes the word of a worker that it ends; nothing runs on it afterwards.
    pub fn on_departure(&mut self, worker: &str, state: &JobsState) {
        let drains = |handle: &WorkerHandle| {
            let known = self.workers.get(handle);
            known.is_some_and(|known| known.heartbeat.draining)
        };
        let handles: Vec<_> = self.directory.by_name(worker).filter(drains).collect();
        for handle in handles {
            self.end_incarnation_permanently(handle, "left", state);
        }
    }

    /// Ends the incarnations of a worker that the one speaking now has replaced.
    pub(super) fn end_earlier_incarnations(&mut self, heartbeat: &Heartbeat, state: &JobsState) {
        let is_earlier = |handle: &WorkerHandle| {
            let known = self.workers.get(handle);
            known.is_some_and(|known| {
                known.incarnation().started_at_ms < heartbeat.incarnation.started_at_ms
            })
        };
        let mut earlier = self.directory.matching_identity(heartbeat);
        earlier.retain(is_earlier);
        for handle in earlier {
            self.end_incarnation_permanently(handle, "replaced", state);
        }
    }

    /// Returns whether a later incarnation than the one speaking is known in its place.
    pub(super) fn has_later_incarnation(&self, heartbeat: &Heartbeat) -> bool {
        let matching_identity = self.directory.matching_identity(heartbeat);
        let mut known = matching_identity
            .iter()
            .filter_map(|handle| self.workers.get(handle));
        known.any(|known| known.incarnation().started_at_ms > heartbeat.incarnation.started_at_ms)
    }

    /// Forgets an incarnation that cannot speak again; a heartbeat that was held up on its way must
    /// not bring it back.
    pub(super) fn end_incarnation_permanently(
        &mut self,
        handle: WorkerHandle,
        cause: &str,
        state: &JobsState,
    ) {
        if let Some(worker) = self.workers.get(&handle) {
            let incarnation = worker.incarnation().clone();
            self.ended_incarnations
                .insert(incarnation, self.now.steady_ms);
        }
        self.end_incarnation(handle, cause, state);
    }

    /// Records that the platform has sent an instance away; what ran there is over.
    pub(super) fn on_instance_sent_away(&mut self, instance: &str, cause: &str, state: &JobsState) {
        if let Some(handle) = self.worker_on(instance) {
            self.end_incarnation_permanently(handle, cause, state);
        }
        if let Some(known) = self.fleet.instances.get_mut(instance) {
            known.worker = None;
        }
    }

    /// Forgets which incarnations were over long ago.
    pub(super) fn prune_ended_incarnations(&mut self) {
        let now_ms = self.now.steady_ms;
        let ended_retention_ms = self.settings.ended_retention_ms;
        self.ended_incarnations
            .retain(|_, at_ms| now_ms < *at_ms + ended_retention_ms);
    }

    /// Forgets an incarnation on which nothing can run any more; what ran there waits again. The
    /// worker may only have been silent, and speak again.
    pub(super) fn end_incarnation(&mut self, handle: WorkerHandle, cause: &str, state: &JobsState) {
        let Some(worker) = self.workers.remove(&handle) else {
            return;
        };
        let incarnation = worker.incarnation().clone();
        self.directory.remove(handle, &worker.heartbeat);
        self.log_event(format!(
            "event=worker_gone worker={incarnation} cause={cause} runs={} heard_ms_ago={}",
            worker.runs.len(),
            self.now
                .steady_ms
                .saturating_sub(worker.last_heartbeat_at_ms)
        ));
        for (task, run) in worker.runs {
            self.drop_run(task, run);
        }
        self.mark_reconciled(&incarnation);
        self.dirty_pools.insert(worker.heartbeat.pool);
        if state.incarnations.contains_key(&incarnation) || worker.registered {
            self.propose(Command::Retire(incarnation));
        }
    }

    /// Records that it is known what an earlier leader left on an incarnation.
    pub(super) fn mark_reconciled(&mut self, incarnation: &IncarnationId) {
        if let Some(pool) = self.unreconciled.remove(incarnation) {
            self.dirty_pools.insert(pool);
        }
    }

    /// Returns whether an earlier leader may have left something unknown in a pool.
    pub(super) fn is_unreconciled(&self, pool: &str) -> bool {
        self.unreconciled
            .values()
            .any(|unreconciled| unreconciled == pool)
    }
}
