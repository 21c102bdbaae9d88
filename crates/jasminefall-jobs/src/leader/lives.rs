//! Lives of workers: which are over, and which replaces which.

use super::{Leader, WorkerHandle};
use crate::ids::LifeId;
use crate::state::{Command, JobsState};
use crate::worker::Heartbeat;

impl Leader {
    /// Takes the word of a worker that it ends; nothing runs on it afterwards.
    pub fn take_departure(&mut self, worker: &str, state: &JobsState) {
        let drains = |handle: &WorkerHandle| {
            let known = self.workers.get(handle);
            known.is_some_and(|known| known.heartbeat.draining)
        };
        let handles: Vec<_> = self.directory.named(worker).filter(drains).collect();
        for handle in handles {
            self.end_life_for_good(handle, "left", state);
        }
    }

    /// Ends the lives of a worker that the one speaking now has replaced.
    pub(super) fn end_earlier_lives(&mut self, heartbeat: &Heartbeat, state: &JobsState) {
        let is_earlier = |handle: &WorkerHandle| {
            let known = self.workers.get(handle);
            known.is_some_and(|known| known.life().born_ms < heartbeat.life.born_ms)
        };
        let mut earlier = self.directory.alike(heartbeat);
        earlier.retain(is_earlier);
        for handle in earlier {
            self.end_life_for_good(handle, "replaced", state);
        }
    }

    /// Returns whether a later life than the one speaking is known in its place.
    pub(super) fn has_later_life(&self, heartbeat: &Heartbeat) -> bool {
        let alike = self.directory.alike(heartbeat);
        let mut known = alike.iter().filter_map(|handle| self.workers.get(handle));
        known.any(|known| known.life().born_ms > heartbeat.life.born_ms)
    }

    /// Forgets a life that cannot speak again; a heartbeat that was held up on its way must not bring
    /// it back.
    pub(super) fn end_life_for_good(
        &mut self,
        handle: WorkerHandle,
        cause: &str,
        state: &JobsState,
    ) {
        if let Some(worker) = self.workers.get(&handle) {
            let life = worker.life().clone();
            self.over.insert(life, self.now.steady_ms);
        }
        self.end_life(handle, cause, state);
    }

    /// Notes that the platform has sent an instance away; what ran there is over.
    pub(super) fn note_sent_away(&mut self, instance: &str, cause: &str, state: &JobsState) {
        if let Some(handle) = self.worker_on(instance) {
            self.end_life_for_good(handle, cause, state);
        }
        if let Some(known) = self.fleet.instances.get_mut(instance) {
            known.worker = None;
        }
    }

    /// Forgets which lives were over long ago.
    pub(super) fn forget_lives_over(&mut self) {
        let now_ms = self.now.steady_ms;
        let remember_ms = self.settings.remember_ms;
        self.over.retain(|_, at_ms| now_ms < *at_ms + remember_ms);
    }

    /// Forgets a life on which nothing can run any more; what ran there waits again. The worker may only
    /// have been silent, and speak again.
    pub(super) fn end_life(&mut self, handle: WorkerHandle, cause: &str, state: &JobsState) {
        let Some(worker) = self.workers.remove(&handle) else {
            return;
        };
        let life = worker.life().clone();
        self.directory.remove(handle, &worker.heartbeat);
        self.note(format!(
            "event=worker_gone worker={life} cause={cause} runs={} heard_ms_ago={}",
            worker.runs.len(),
            self.now.steady_ms.saturating_sub(worker.heard_at_ms)
        ));
        for (task, run) in worker.runs {
            self.drop_run(task, run);
        }
        self.settle_life(&life);
        self.dirty_pools.insert(worker.heartbeat.pool);
        if state.lives.contains_key(&life) || worker.registered {
            self.propose(Command::Retire(life));
        }
    }

    /// Notes that it is known what an earlier leader left on a life.
    pub(super) fn settle_life(&mut self, life: &LifeId) {
        if let Some(pool) = self.unsettled.remove(life) {
            self.dirty_pools.insert(pool);
        }
    }

    /// Returns whether an earlier leader may have left something unknown in a pool.
    pub(super) fn is_unsettled(&self, pool: &str) -> bool {
        self.unsettled.values().any(|unsettled| unsettled == pool)
    }
}
