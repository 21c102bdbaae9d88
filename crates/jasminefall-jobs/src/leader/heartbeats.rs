//! Heartbeats of workers.

use super::workers::is_silent;
use super::{Leader, WorkerHandle};
use crate::state::{Command, JobsState};
use crate::worker::Heartbeat;

impl Leader {
    /// Processes a heartbeat; returns false for an incarnation that has ended or been replaced, or
    /// whose pool is not in the configuration or isn't that of the known incarnation.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, state: &JobsState) -> bool {
        let known = self.directory.by_incarnation(&heartbeat.incarnation);
        // Checked before the heartbeat can replace another incarnation, since its sender is no worker.
        if let Some(cause) = self.foreign_pool(known, &heartbeat, state) {
            self.log_ignored(&heartbeat, cause);
            return false;
        }
        // Start times order incarnations only while the worker's time of day isn't set back, so that an ended one may seem
        // to be later than the present one.
        if self.ended_incarnations.contains_key(&heartbeat.incarnation)
            && self.ignores_as_ended(&heartbeat)
        {
            return false;
        }
        self.end_earlier_incarnations(&heartbeat, state);
        let is_accepted = match known {
            Some(handle) => self.update_worker(handle, heartbeat.clone(), state),
            None => self.join_worker(heartbeat.clone()),
        };
        self.complete_handovers(&heartbeat);
        if known.is_none() {
            self.stop_late_starts(&heartbeat);
        }
        is_accepted
    }

    /// Returns why the pool of a heartbeat shows that another writer has sent it. The pool of an incarnation
    /// never changes, and stays its own if the configuration no longer declares it.
    fn foreign_pool(
        &self,
        known: Option<WorkerHandle>,
        heartbeat: &Heartbeat,
        state: &JobsState,
    ) -> Option<&'static str> {
        let known = known.and_then(|handle| self.workers.get(&handle));
        match known {
            Some(worker) => (worker.heartbeat.pool != heartbeat.pool).then_some("other-pool"),
            None => {
                let configuration = &state.configuration;
                let is_unknown = !configuration.pools.is_empty()
                    && configuration.pool(&heartbeat.pool).is_none();
                is_unknown.then_some("unknown-pool")
            }
        }
    }

    fn log_ignored(&mut self, heartbeat: &Heartbeat, cause: &str) {
        self.log_event(format!(
            "event=heartbeat_ignored worker={} cause={cause} pool={} sequence={}",
            heartbeat.incarnation, heartbeat.pool, heartbeat.sequence
        ));
    }

    /// Adds the sender of a heartbeat, unless its incarnation has ended or been replaced.
    fn join_worker(&mut self, heartbeat: Heartbeat) -> bool {
        if self.ignores_as_ended(&heartbeat) {
            return false;
        }
        self.log_event(format!(
            "event=worker_joined worker={} pool={} address={} sequence={}",
            heartbeat.incarnation, heartbeat.pool, heartbeat.address, heartbeat.sequence
        ));
        self.propose(Command::Register(Box::new(heartbeat.clone())));
        let pool = heartbeat.pool.clone();
        if let Some(instance) = &heartbeat.instance {
            self.fleet
                .record_up(instance, &pool, &heartbeat.incarnation.worker);
        }
        self.add_worker(heartbeat, false);
        self.dirty_pools.insert(pool);
        true
    }

    /// Returns whether a heartbeat is ignored, since its sender has ended or been replaced.
    fn ignores_as_ended(&mut self, heartbeat: &Heartbeat) -> bool {
        let is_ignored = self.has_later_incarnation(heartbeat) || self.has_ended(heartbeat);
        if is_ignored {
            self.log_ignored(heartbeat, "incarnation-ended");
            self.probe_known_incarnations(heartbeat);
        }
        is_ignored
    }

    /// Probes the known incarnations of the worker that has sent an ignored heartbeat: if its time of day was set
    /// back, its latest incarnation seems to be an earlier one, and only a run list shows which one there is. A
    /// heartbeat of an incarnation that is known to have ended was delayed.
    fn probe_known_incarnations(&mut self, ignored: &Heartbeat) {
        if self.ended_incarnations.contains_key(&ignored.incarnation) {
            return;
        }
        let now_ms = self.now.steady_ms;
        for handle in self.directory.by_name(&ignored.incarnation.worker) {
            if let Some(worker) = self.workers.get_mut(&handle) {
                worker.probe_at_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Updates a known worker; returns false if it has been removed since.
    fn update_worker(
        &mut self,
        handle: WorkerHandle,
        heartbeat: Heartbeat,
        state: &JobsState,
    ) -> bool {
        let now_ms = self.now.steady_ms;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return false;
        };
        let was_silent = is_silent(worker, now_ms, self.settings.heartbeat_ms);
        worker.last_heartbeat_at_ms = now_ms;
        worker.observe_clock(heartbeat.clock_ms, now_ms);
        if heartbeat.sequence < worker.heartbeat.sequence {
            return true;
        }
        if worker.doubted_since_ms.is_some() {
            // Only a response proves that the incarnation goes on, since the heartbeat may have been delayed.
            worker.probe_at_ms.get_or_insert(now_ms);
        }
        let starts_draining = heartbeat.draining && !worker.heartbeat.draining;
        let previous = &worker.heartbeat;
        let may_accept_more = was_silent
            || previous.capacity != heartbeat.capacity
            || previous.labels != heartbeat.labels
            || previous.draining != heartbeat.draining;
        let (previous_address, address) = (&previous.address, &heartbeat.address);
        if previous_address != address {
            self.directory
                .update_address(handle, previous_address, address);
        }
        // The instance of an incarnation never changes.
        worker.heartbeat = Heartbeat {
            instance: previous.instance.clone(),
            ..heartbeat
        };
        let heartbeat = worker.heartbeat.clone();
        if may_accept_more {
            self.dirty_pools.insert(heartbeat.pool.clone());
        }
        if starts_draining {
            self.log_event(format!(
                "event=worker_drains worker={} pool={}",
                heartbeat.incarnation, heartbeat.pool
            ));
        }
        if self.has_unrecorded_capacity(&heartbeat, state) || starts_draining {
            self.propose(Command::Register(Box::new(heartbeat)));
        }
        true
    }

    /// Returns whether the capacity of a worker differs from the recorded one, which the next leader would
    /// rely on.
    fn has_unrecorded_capacity(&mut self, heartbeat: &Heartbeat, state: &JobsState) -> bool {
        let recorded = state.incarnations.get(&heartbeat.incarnation);
        if recorded.is_none_or(|recorded| recorded.heartbeat.capacity == heartbeat.capacity) {
            return false;
        }
        let capacity = &heartbeat.capacity;
        self.log_event(format!(
            "event=capacity_changed worker={} pool={} cpu_millis={} memory_mb={} gpus={}",
            heartbeat.incarnation,
            heartbeat.pool,
            capacity.cpu_millis,
            capacity.memory_mb,
            capacity.gpus
        ));
        true
    }
}
