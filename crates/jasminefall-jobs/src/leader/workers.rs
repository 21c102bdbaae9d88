//! Workers, their leases and polls.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::handovers::Successor;
use super::lease::{LeaseBound, LeaseGrant};
use super::{Effect, Leader, PollChannel, PollRequest};
use crate::ids::{IncarnationId, TaskId};
use crate::job::Resources;
use crate::policy::health::WorkerHealth;
use crate::state::JobsState;
use crate::worker::Heartbeat;

/// How far a worker's clock may fall behind the leader's, in thousandths of the elapsed time; the
/// platform guarantees at most 2 %, and half of that is added as a margin.
const CLOCK_DRIFT_MILLIS: u64 = 30;
/// How old a reading of a worker's clock can be when it is received, in milliseconds; above the time for which
/// heartbeats and responses are under way.
const MAX_READING_AGE_MS: u64 = 10_000;
/// The delay between a failed poll and the next one on the same channel, in milliseconds.
const POLL_RETRY_MS: u64 = 300;
/// How long redundant polls are sent after a lost response, in milliseconds; responses tend to get
/// lost for several seconds in a row, and a second poll costs little.
const RESPONSE_LOSS_WINDOW_MS: u64 = 5_000;
/// How long a worker may hold a poll open, in milliseconds; each poll renews the lease, so this is
/// also the interval between renewals.
const LONG_POLL_WAIT_MS: u64 = 1_000;
/// The time after which a request to a worker is given up, beyond the wait that a poll asks for, in milliseconds; until
/// then it may be received.
pub const REQUEST_TIMEOUT_MS: u64 = 400;
/// The number of missed heartbeats after which a worker whose lease has expired is removed.
const REMOVE_AFTER_MISSED_HEARTBEATS: u64 = 4;
/// The number of missed heartbeats after which no new task is started on a worker.
const SILENT_AFTER_MISSED_HEARTBEATS: u64 = 3;

/// Identifies a worker incarnation within one leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerHandle(pub u32);

/// Describes the state of one poll channel to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PollState {
    /// No poll is in flight.
    Idle,
    /// A poll has been sent and its response is outstanding.
    InFlight {
        /// When the poll was sent, on the leader's steady clock.
        sent_at_ms: u64,
        /// The number of the latest end that the poll acknowledges; zero if it acknowledges none.
        acknowledged_upto: u64,
    },
    /// The run ends listed by the last response are being committed.
    AwaitingCommit,
    /// The last poll failed; the next one is due at this time, on the leader's steady clock.
    RetryAt(u64),
}

/// Holds the leader's state for one incarnation of a worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The latest heartbeat.
    pub(crate) heartbeat: Heartbeat,
    /// When this leader received the first heartbeat; zero for an incarnation that it read from the
    /// replicated state.
    pub(crate) joined_at_ms: u64,
    pub(crate) last_heartbeat_at_ms: u64,
    /// When the last run list was received.
    pub(crate) listed_at_ms: u64,
    /// Whether the incarnation is recorded in the replicated state; no task is started before that.
    pub(crate) registered: bool,
    /// Whether this leader has received a run list from the worker. After the poll for it, the
    /// worker refuses requests of earlier leaders.
    pub(crate) reconciled: bool,
    /// A reading of the worker's clock, and the leader's steady clock when it was received.
    pub(crate) clock_reading: (u64, u64),
    pub(crate) lease: LeaseBound,
    /// The state of each poll channel, indexed by [`PollChannel`].
    pub(crate) polls: [PollState; 3],
    /// The worker's clock in the latest run list; an older list is outdated.
    pub(crate) list_clock_ms: u64,
    /// Time from which a probe shows whether a start without a response has taken effect, on the
    /// leader's steady clock.
    pub(crate) probe_at_ms: Option<u64>,
    /// The number of the last end that this leader had processed before it removed the incarnation as silent;
    /// the commit of this end may still be under way.
    settled_upto: u64,
    /// The number of the last run end that was processed.
    pub(crate) ends_seen: u64,
    /// The number of the last run end that is committed.
    pub(crate) ends_recorded: u64,
    /// The number of the last run end that a poll with a response has acknowledged.
    pub(crate) ends_acknowledged: u64,
    /// Whether received run ends still have to be acknowledged to the worker.
    pub(crate) acknowledgement_due: bool,
    /// The tasks with a run on the worker, and the number of the run.
    pub(crate) runs: BTreeMap<TaskId, u64>,
    /// The resources that the runs reserve.
    pub(crate) used: Resources,
    /// The number of runs of long-running tasks.
    pub(crate) long_running_runs: usize,
    /// The number of runs whose needs are unknown.
    pub(crate) runs_of_unknown_needs: usize,
    /// End of the period in which responses of the worker are assumed to get lost, so that it is polled
    /// twice, on the leader's steady clock.
    pub(crate) response_loss_until_ms: u64,
    /// Whether the last request or poll got no response.
    pub(crate) unresponsive: bool,
    /// End of the time in which no task is placed on the worker, on the leader's steady clock.
    pub(crate) backoff_until_ms: u64,
    pub(crate) health: WorkerHealth,
    /// Whether the worker has deregistered, so that it ends once it has received the response.
    pub(crate) departing: bool,
    /// Whether the worker is being evacuated for maintenance or a move.
    pub(crate) evacuating: bool,
    /// When the platform confirmed a maintenance that may have ended this incarnation, or may have been over
    /// before it began, on the leader's steady clock. A run list that is polled later shows that it goes on;
    /// until then it gets no tasks.
    pub(crate) doubted_since_ms: Option<u64>,
}

impl Worker {
    /// Returns the identifier of this incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> &IncarnationId {
        &self.heartbeat.incarnation
    }

    /// Returns the address for requests to the worker, as IP:PORT.
    #[must_use]
    pub const fn address(&self) -> &SmolStr {
        &self.heartbeat.address
    }

    /// Returns the lowest value that the worker's clock can have now, given its maximum drift.
    const fn min_clock_ms(&self, now_ms: u64) -> u64 {
        let (clock_ms, observed_at_ms) = self.clock_reading;
        let elapsed_ms = now_ms.saturating_sub(observed_at_ms);
        clock_ms + without_clock_drift_ms(elapsed_ms)
    }

    /// Returns the lowest value that the worker's clock can have had at a time that has passed, which may be
    /// before the latest reading.
    const fn min_past_clock_ms(&self, at_ms: u64) -> u64 {
        let (clock_ms, observed_at_ms) = self.clock_reading;
        if at_ms >= observed_at_ms {
            self.min_clock_ms(at_ms)
        } else {
            clock_ms.saturating_sub(observed_at_ms - at_ms)
        }
    }

    /// Returns the highest value that the worker's clock can have now, given its maximum drift.
    const fn max_clock_ms(&self, now_ms: u64) -> u64 {
        let (clock_ms, observed_at_ms) = self.clock_reading;
        let elapsed_ms = now_ms.saturating_sub(observed_at_ms) + MAX_READING_AGE_MS;
        clock_ms + elapsed_ms + elapsed_ms * CLOCK_DRIFT_MILLIS / 1_000
    }

    /// Records a reading of the clock in a response, unless it is of another incarnation, which has answered in place
    /// of this one; returns whether it can be of this one. This clock had passed another one's reading before the
    /// request, or can't have reached it yet.
    ///
    /// Without the time of the request a reading may be of any time in the past. The first run list replaces
    /// what is known of the clock before.
    pub(super) fn observe_response_clock(
        &mut self,
        clock_ms: u64,
        sent_at_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let had_passed =
            sent_at_ms.is_some_and(|sent_at_ms| clock_ms < self.min_past_clock_ms(sent_at_ms));
        let is_own = !self.reconciled || (!had_passed && clock_ms <= self.max_clock_ms(now_ms));
        if is_own {
            self.observe_clock(clock_ms, now_ms);
        }
        is_own
    }

    /// Returns the value of the worker's clock now, assuming no drift.
    pub(crate) const fn estimated_clock_ms(&self, now_ms: u64) -> u64 {
        let (clock_ms, observed_at_ms) = self.clock_reading;
        clock_ms + now_ms.saturating_sub(observed_at_ms)
    }

    /// Records a reading of the worker's clock. A reading below the lowest value that the clock can
    /// have now was delayed, so it is ignored.
    pub(crate) const fn observe_clock(&mut self, clock_ms: u64, now_ms: u64) {
        if clock_ms >= self.min_clock_ms(now_ms) {
            self.clock_reading = (clock_ms, now_ms);
        }
    }

    /// Returns the time since the worker sent its latest heartbeat, by its own clock, so that a delayed
    /// or stored heartbeat counts as old.
    pub(crate) const fn heartbeat_age_ms(&self, now_ms: u64) -> u64 {
        self.estimated_clock_ms(now_ms)
            .saturating_sub(self.heartbeat.clock_ms)
    }

    /// Returns the unreserved part of the worker's capacity.
    #[must_use]
    pub const fn free(&self) -> Resources {
        self.heartbeat.capacity.minus(&self.used)
    }

    /// Returns whether the worker's instance can be taken down: the worker has no runs, and every
    /// run end that it listed is committed, so that none is lost with the worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.has_no_runs() && self.ends_seen <= self.ends_recorded
    }

    /// Returns the number up to which the run ends of the worker are recorded.
    pub(crate) fn recorded_upto(&self, state: &JobsState) -> u64 {
        let recorded_upto = state.ends_recorded_upto(self.incarnation());
        recorded_upto.max(self.settled_upto)
    }

    /// Returns the number of the latest end that a poll acknowledges; zero if it acknowledges none.
    ///
    /// A poll may reach the next incarnation of the worker, which would drop ends with the same numbers, so
    /// no poll repeats an acknowledgement that the worker has answered, and none carries one while the worker
    /// doesn't respond or before this leader has read its run list.
    fn acknowledgement(&self, state: &JobsState) -> u64 {
        let recorded_upto = self.recorded_upto(state);
        let is_outstanding = self.ends_seen.min(recorded_upto) > self.ends_acknowledged;
        if is_outstanding && self.reconciled && !self.unresponsive {
            recorded_upto
        } else {
            0
        }
    }

    /// Returns whether no run can be active on the worker.
    pub(crate) fn has_no_runs(&self) -> bool {
        self.reconciled && self.runs.is_empty()
    }

    /// Returns whether the worker has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.heartbeat.labels.iter().any(|known| known == label)
    }
}

impl Leader {
    /// Adds an incarnation; `registered` is set for an incarnation read from the replicated state.
    pub(super) fn add_worker(&mut self, heartbeat: Heartbeat, registered: bool) -> WorkerHandle {
        let handle = WorkerHandle(self.next_handle);
        self.next_handle += 1;
        self.directory.add(handle, &heartbeat);
        let now_ms = self.now.steady_ms;
        let evacuating = heartbeat.instance.as_ref().is_some_and(|instance| {
            self.maintenance.is_pending(instance) || self.moves.is_pending(instance)
        });
        let silent = self.silent_incarnations.remove(&heartbeat.incarnation);
        let settled_upto = silent.map_or(0, |(ends_seen, _)| ends_seen);
        let worker = Worker {
            // The clock in a stored heartbeat is outdated; the first run list supplies the current
            // one.
            clock_reading: (if registered { 0 } else { heartbeat.clock_ms }, now_ms),
            heartbeat,
            joined_at_ms: if registered { 0 } else { now_ms },
            last_heartbeat_at_ms: now_ms,
            listed_at_ms: now_ms,
            registered,
            reconciled: false,
            lease: LeaseBound::new(),
            polls: [PollState::Idle; 3],
            list_clock_ms: 0,
            probe_at_ms: None,
            settled_upto,
            ends_seen: settled_upto,
            ends_recorded: settled_upto,
            ends_acknowledged: 0,
            acknowledgement_due: false,
            runs: BTreeMap::new(),
            used: Resources::default(),
            long_running_runs: 0,
            runs_of_unknown_needs: 0,
            response_loss_until_ms: 0,
            unresponsive: false,
            backoff_until_ms: 0,
            health: WorkerHealth::default(),
            departing: false,
            evacuating,
            doubted_since_ms: None,
        };
        self.workers.insert(handle, worker);
        handle
    }

    /// Returns the longest time, on the leader's clock, that a lease lasts without renewal.
    pub(super) const fn max_lease_on_local_clock_ms(&self) -> u64 {
        let lease_ms = self.settings.max_lease_ms;
        lease_ms + lease_ms * CLOCK_DRIFT_MILLIS / 1_000
    }

    /// Returns the latest end of a lease that a request sent now may grant to the next incarnation of its worker,
    /// on the leader's clock.
    pub(super) const fn max_successor_lease_until_ms(&self) -> u64 {
        self.now.steady_ms + REQUEST_TIMEOUT_MS + self.max_lease_on_local_clock_ms()
    }

    /// Returns whether the next incarnation of a worker may have a run that was meant for this one; only a run
    /// list proves which one has it.
    fn may_run_on_successor(&self, worker: &Worker) -> bool {
        let mut runs = worker.runs.iter();
        !worker.lease.has_expired_for_successor(self.now.steady_ms)
            && runs.any(|(task, number)| self.run(*task, *number).is_some_and(|run| !run.listed))
    }

    /// Removes silent workers and the runs of expired leases, and sends the polls that are due.
    pub(super) fn check_workers(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let earlier_leases_expired =
            now_ms >= self.leader_since_ms + self.max_lease_on_local_clock_ms();
        let remove_after_ms = self.settings.heartbeat_ms * REMOVE_AFTER_MISSED_HEARTBEATS;
        let (mut departed, mut removable, mut draining) = (Vec::new(), Vec::new(), Vec::new());
        for (handle, worker) in &self.workers {
            let silent_ms = now_ms.saturating_sub(worker.last_heartbeat_at_ms);
            let lease_expired = if worker.reconciled {
                worker.lease.has_expired(worker.min_clock_ms(now_ms))
            } else {
                earlier_leases_expired
            };
            let lease_expired = lease_expired && !self.may_run_on_successor(worker);
            if worker.departing && (lease_expired || worker.has_no_runs()) {
                departed.push(*handle);
            } else if lease_expired && silent_ms >= remove_after_ms {
                removable.push(*handle);
            }
            if worker.heartbeat.draining && worker.long_running_runs > 0 {
                draining.push(*handle);
            }
        }
        for handle in departed {
            self.end_incarnation_permanently(handle, "left", Successor::None, state);
        }
        for handle in removable {
            self.record_vanished(handle);
            self.record_silent(handle);
            self.end_incarnation(handle, "silent", Successor::None, state);
        }
        for handle in draining {
            self.stop_long_running_runs(handle);
        }
        if earlier_leases_expired && !self.unreconciled.is_empty() {
            let pools: BTreeSet<_> = std::mem::take(&mut self.unreconciled)
                .into_values()
                .flatten()
                .collect();
            self.dirty_pools.extend(pools);
        }
        self.requeue_runs_of_expired_leases();
        self.expire_handovers();
        let handles: Vec<_> = self.workers.keys().copied().collect();
        for handle in handles {
            self.poll_if_due(handle, state);
        }
    }

    /// Remembers which ends of an incarnation have been processed, should it return and list them again.
    fn record_silent(&mut self, handle: WorkerHandle) {
        let now_ms = self.now.steady_ms;
        if let Some(worker) = self.workers.get(&handle) {
            let incarnation = worker.incarnation().clone();
            self.silent_incarnations
                .insert(incarnation, (worker.ends_seen, now_ms));
        }
    }

    /// Stops the long-running tasks on a draining worker, so that they restart elsewhere before it
    /// leaves; they count as unavailable from the start of draining.
    fn stop_long_running_runs(&mut self, handle: WorkerHandle) {
        let Some(worker) = self.workers.get(&handle) else {
            return;
        };
        let runs = worker.runs.iter().map(|(task, run)| (*task, *run));
        let is_long_running = |(task, _): &(TaskId, u64)| {
            let step = self.steps.get(&task.step_id());
            step.is_some_and(|step| step.step().long_running)
        };
        let runs: Vec<_> = runs.filter(is_long_running).collect();
        for (task, run) in runs {
            self.stop_run(task, run, "worker-drains");
        }
    }

    /// Removes the runs of unresponsive workers once their lease has expired even at the maximum
    /// clock drift, and requeues their tasks.
    fn requeue_runs_of_expired_leases(&mut self) {
        let now_ms = self.now.steady_ms;
        let mut expired = Vec::new();
        for (handle, worker) in &self.workers {
            if worker.unresponsive
                && worker.reconciled
                && !worker.runs.is_empty()
                && worker.lease.has_expired(worker.min_clock_ms(now_ms))
                && !self.may_run_on_successor(worker)
            {
                expired.push(*handle);
            }
        }
        for handle in expired {
            self.record_vanished(handle);
            let Some(worker) = self.workers.get(&handle) else {
                continue;
            };
            let incarnation = worker.incarnation().clone();
            let runs: Vec<_> = worker
                .runs
                .iter()
                .map(|(task, run)| (*task, *run))
                .collect();
            self.log_event(format!(
                "event=lease_lapsed worker={incarnation} runs={} lease_until_ms={} granted_by={} clock_ms={} leader_age_ms={}",
                runs.len(),
                worker.lease.until_ms(),
                worker.lease.granted_by().as_str(),
                worker.min_clock_ms(now_ms),
                now_ms.saturating_sub(self.leader_since_ms)
            ));
            self.counts.leases_expired += 1;
            for (task, run) in runs {
                self.remove_run(task, run);
                self.requeue_run(task, run);
            }
        }
    }

    /// Sends every poll to a worker that is due.
    pub(super) fn poll_if_due(&mut self, handle: WorkerHandle, state: &JobsState) {
        for channel in [
            PollChannel::LongPoll,
            PollChannel::Redundant,
            PollChannel::Probe,
        ] {
            self.poll_channel_if_due(handle, channel, state);
        }
    }

    fn poll_channel_if_due(
        &mut self,
        handle: WorkerHandle,
        channel: PollChannel,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        let max_lease_ms = self.settings.max_lease_ms;
        let successor_until_ms = self.max_successor_lease_until_ms();
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let has_recent_response_loss =
            now_ms < worker.response_loss_until_ms && self.settings.mechanisms.redundant_polls;
        let is_due = match worker.polls[channel as usize] {
            PollState::Idle => true,
            PollState::RetryAt(at_ms) => now_ms >= at_ms,
            PollState::InFlight { .. } | PollState::AwaitingCommit => false,
        };
        let awaits_ends = !worker.runs.is_empty() && worker.reconciled && !worker.unresponsive;
        // The lease of an unresponsive or departing worker is not extended; otherwise it would never
        // expire.
        let extends_lease = awaits_ends && !worker.departing;
        let is_needed = match channel {
            PollChannel::LongPoll => {
                !worker.reconciled
                    || !worker.runs.is_empty()
                    || worker.acknowledgement_due
                    || worker.unresponsive
            }
            PollChannel::Redundant => has_recent_response_loss && extends_lease,
            PollChannel::Probe => {
                let is_probe_due = worker.probe_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
                worker.reconciled && (worker.unresponsive || is_probe_due)
            }
        };
        if !is_due || !is_needed {
            return;
        }
        let extends_lease = extends_lease && channel != PollChannel::Probe;
        let deadline_ms = extends_lease.then(|| worker.estimated_clock_ms(now_ms) + max_lease_ms);
        if let Some(deadline_ms) = deadline_ms {
            worker.lease.extend(deadline_ms, LeaseGrant::Poll);
            worker.lease.extend_for_successor(successor_until_ms);
        }
        let acknowledged_upto = worker.acknowledgement(state);
        let wait_ms = if awaits_ends && channel != PollChannel::Probe {
            LONG_POLL_WAIT_MS
        } else {
            0
        };
        worker.acknowledgement_due = false;
        worker.polls[channel as usize] = PollState::InFlight {
            sent_at_ms: now_ms,
            acknowledged_upto,
        };
        self.counts.polls += 1;
        self.effects.push(Effect::Poll(PollRequest {
            worker: handle,
            channel,
            deadline_ms,
            acknowledged_upto,
            wait_ms,
        }));
    }

    /// Enables redundant polls of a worker for a while after a response of it got lost.
    pub(super) fn record_response_loss(&mut self, handle: WorkerHandle) {
        let until_ms = self.now.steady_ms + RESPONSE_LOSS_WINDOW_MS;
        if let Some(worker) = self.workers.get_mut(&handle) {
            worker.response_loss_until_ms = until_ms;
        }
    }

    /// Processes a poll without a response.
    pub(super) fn on_poll_failure(&mut self, handle: WorkerHandle, channel: PollChannel) {
        let now_ms = self.now.steady_ms;
        self.record_response_loss(handle);
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let previous = std::mem::replace(
            &mut worker.polls[channel as usize],
            PollState::RetryAt(now_ms + POLL_RETRY_MS),
        );
        worker.acknowledgement_due = true;
        // A run list received since this poll was sent shows that only this response was lost.
        let has_answered_since = matches!(
            previous,
            PollState::InFlight { sent_at_ms, .. } if worker.reconciled && worker.listed_at_ms > sent_at_ms
        );
        if has_answered_since {
            worker.polls[channel as usize] = PollState::Idle;
            return;
        }
        let was_unresponsive = std::mem::replace(&mut worker.unresponsive, true);
        if !was_unresponsive {
            let line = format!(
                "event=worker_unresponsive worker={} cause=no-answer",
                worker.incarnation()
            );
            self.log_event(line);
        }
    }

    /// Returns whether a worker has missed so many heartbeats that no new task is started there.
    pub(super) const fn is_silent(&self, worker: &Worker) -> bool {
        is_silent(worker, self.now.steady_ms, self.settings.heartbeat_ms)
    }
}

/// Returns the part of a time on the leader's clock that passes on every worker's clock.
pub(super) const fn without_clock_drift_ms(elapsed_ms: u64) -> u64 {
    elapsed_ms - elapsed_ms * CLOCK_DRIFT_MILLIS / 1_000
}

pub(super) const fn is_silent(worker: &Worker, now_ms: u64, heartbeat_ms: u64) -> bool {
    now_ms.saturating_sub(worker.last_heartbeat_at_ms)
        > heartbeat_ms * SILENT_AFTER_MISSED_HEARTBEATS
}
