//! Heartbeats of workers and their leases.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::{Effect, Leader, PollChannel, PollRequest};
use crate::ids::{IncarnationId, TaskId};
use crate::job::Resources;
use crate::policy::health::WorkerHealth;
use crate::state::{Command, JobsState};
use crate::worker::Heartbeat;

/// The part of time that a worker's clock may lose against ours, in thousandths; the platform
/// promises 2 %, and a half is added.
const CLOCK_DRIFT_MILLIS: u64 = 30;
/// How long after a failed poll the next one goes out, in milliseconds.
const POLL_RETRY_MS: u64 = 300;
/// How long after a response was lost polls are doubled, in milliseconds; responses get lost for
/// some seconds on end, and a second poll costs little.
const RESPONSE_LOSS_WINDOW_MS: u64 = 5_000;
/// How long a worker may keep a poll open, in milliseconds; a lease is renewed as often.
const LONG_POLL_WAIT_MS: u64 = 1_000;
/// The silence after which a worker without runs is forgotten, in heartbeats.
const REMOVE_AFTER_MISSED_HEARTBEATS: u64 = 4;
/// The silence after which nothing new is started on a worker, in heartbeats.
const SILENT_AFTER_MISSED_HEARTBEATS: u64 = 3;

/// Names a worker within one leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerHandle(pub u32);

/// Says where the exchange of polls with a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PollState {
    /// None is under way.
    Idle,
    /// One is under way.
    InFlight {
        /// When it was sent.
        sent_at_ms: u64,
    },
    /// The ends of the last one are being made durable.
    AwaitingCommit,
    /// The last one failed; the next goes out at this time.
    RetryAt(u64),
}

/// Holds what the leader knows of one incarnation of a worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The latest heartbeat.
    pub(crate) heartbeat: Heartbeat,
    /// When this leader first heard of it.
    pub(crate) joined_at_ms: u64,
    pub(crate) last_heartbeat_at_ms: u64,
    /// When the list of runs was last read.
    pub(crate) listed_at_ms: u64,
    /// Whether the incarnation is recorded in the replicated state, which a start has to wait for.
    pub(crate) registered: bool,
    /// Whether this leader has read the worker's list of runs, which fences earlier leaders.
    pub(crate) reconciled: bool,
    /// A reading of the worker's clock, and when it came.
    pub(crate) clock: (u64, u64),
    /// The latest lease that may have been granted, on the worker's clock.
    pub(crate) lease_until_ms: u64,
    /// The polls, by the connection that they go over.
    pub(crate) polls: [PollState; 3],
    /// The worker's clock in the latest list that was read.
    pub(crate) list_clock_ms: u64,
    /// When it can be told whether a start without a response has taken effect.
    pub(crate) probe_at_ms: Option<u64>,
    /// The number of the last end that has been dealt with.
    pub(crate) ends_seen: u64,
    /// The number of the last end that is durable.
    pub(crate) ends_recorded: u64,
    /// Whether an end has been recorded that the worker has not been told of.
    pub(crate) acknowledgement_due: bool,
    pub(crate) runs: BTreeMap<TaskId, u64>,
    pub(crate) used: Resources,
    /// How many of the runs are of long-running tasks.
    pub(crate) long_running_runs: usize,
    /// Whether the last request or poll got no response.
    pub(crate) unresponsive: bool,
    pub(crate) backoff_until_ms: u64,
    pub(crate) health: WorkerHealth,
    /// Whether the worker is being evacuated for maintenance or a move.
    pub(crate) evacuating: bool,
}

impl Worker {
    /// Returns the incarnation that the worker is in.
    #[must_use]
    pub const fn incarnation(&self) -> &IncarnationId {
        &self.heartbeat.incarnation
    }

    /// Returns where the worker takes requests, as IP:PORT.
    #[must_use]
    pub const fn address(&self) -> &SmolStr {
        &self.heartbeat.address
    }

    /// Returns the least that the worker's clock can show by now.
    const fn min_clock_ms(&self, now_ms: u64) -> u64 {
        let (clock_ms, observed_at_ms) = self.clock;
        let passed_ms = now_ms.saturating_sub(observed_at_ms);
        clock_ms + passed_ms - passed_ms * CLOCK_DRIFT_MILLIS / 1_000
    }

    /// Returns what the worker's clock should show by now.
    pub(crate) const fn estimated_clock_ms(&self, now_ms: u64) -> u64 {
        let (clock_ms, observed_at_ms) = self.clock;
        clock_ms + now_ms.saturating_sub(observed_at_ms)
    }

    pub(crate) const fn observe_clock(&mut self, clock_ms: u64, now_ms: u64) {
        if clock_ms >= self.min_clock_ms(now_ms) {
            self.clock = (clock_ms, now_ms);
        }
    }

    /// Returns what is left of the worker's capacity.
    #[must_use]
    pub const fn free(&self) -> Resources {
        self.heartbeat.capacity.minus(&self.used)
    }

    /// Returns whether the worker can be sent away: nothing runs there, and no end that only its
    /// list holds would be lost with it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reconciled && self.runs.is_empty() && self.ends_seen <= self.ends_recorded
    }

    /// Returns whether the worker has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.heartbeat.labels.iter().any(|known| known == label)
    }
}

impl Leader {
    pub(super) fn add_worker(&mut self, heartbeat: Heartbeat, registered: bool) -> WorkerHandle {
        let handle = WorkerHandle(self.next_handle);
        self.next_handle += 1;
        self.directory.add(handle, &heartbeat);
        let now_ms = self.now.steady_ms;
        let is_pending = heartbeat.instance.as_ref().is_some_and(|instance| {
            self.maintenance.is_pending(instance) || self.moves.is_pending(instance)
        });
        let worker = Worker {
            // The clock of an incarnation that only an earlier leader heard is not known yet.
            clock: (if registered { 0 } else { heartbeat.clock_ms }, now_ms),
            heartbeat,
            joined_at_ms: if registered { 0 } else { now_ms },
            last_heartbeat_at_ms: now_ms,
            listed_at_ms: now_ms,
            registered,
            reconciled: false,
            lease_until_ms: 0,
            polls: [PollState::Idle; 3],
            list_clock_ms: 0,
            probe_at_ms: None,
            ends_seen: 0,
            ends_recorded: 0,
            acknowledgement_due: false,
            runs: BTreeMap::new(),
            used: Resources::default(),
            long_running_runs: 0,
            unresponsive: false,
            backoff_until_ms: 0,
            health: WorkerHealth::default(),
            evacuating: is_pending,
        };
        self.workers.insert(handle, worker);
        handle
    }

    /// Takes a heartbeat; returns whether it is from the incarnation that is known, or a new one.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, state: &JobsState) -> bool {
        self.end_earlier_incarnations(&heartbeat, state);
        let known = self.directory.by_incarnation(&heartbeat.incarnation);
        let Some(handle) = known else {
            if self.ended_incarnations.contains_key(&heartbeat.incarnation)
                || self.has_later_incarnation(&heartbeat)
            {
                self.log_event(format!(
                    "event=heartbeat_ignored worker={} cause=over sequence={}",
                    heartbeat.incarnation, heartbeat.sequence
                ));
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
            return true;
        };
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
        let starts_draining = heartbeat.draining && !worker.heartbeat.draining;
        let before = &worker.heartbeat;
        let may_hold_more = was_silent
            || before.capacity != heartbeat.capacity
            || before.labels != heartbeat.labels
            || before.draining != heartbeat.draining;
        let (incarnation, pool) = (heartbeat.incarnation.clone(), heartbeat.pool.clone());
        let (before, address) = (&worker.heartbeat.address, &heartbeat.address);
        if before != address {
            self.directory.update_address(handle, before, address);
        }
        // An incarnation stays in the pool and on the instance where it began.
        worker.heartbeat = Heartbeat {
            instance: worker.heartbeat.instance.clone(),
            pool: worker.heartbeat.pool.clone(),
            ..heartbeat.clone()
        };
        if starts_draining {
            self.log_event(format!(
                "event=worker_drains worker={incarnation} pool={pool}"
            ));
            self.propose(Command::Register(Box::new(heartbeat)));
        }
        if may_hold_more {
            self.dirty_pools.insert(pool);
        }
        true
    }

    /// Returns how long a lease that nobody renews can last by our clock.
    const fn max_lease_on_local_clock_ms(&self) -> u64 {
        let lease_ms = self.settings.max_lease_ms;
        lease_ms + lease_ms * CLOCK_DRIFT_MILLIS / 1_000
    }

    /// Looks after every worker: leases that have lapsed, silence, and polls that are due.
    pub(super) fn check_workers(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let earlier_leases_lapsed =
            now_ms >= self.leader_since_ms + self.max_lease_on_local_clock_ms();
        let remove_after_ms = self.settings.heartbeat_ms * REMOVE_AFTER_MISSED_HEARTBEATS;
        let mut expired = Vec::new();
        for (handle, worker) in &self.workers {
            let silent_ms = now_ms.saturating_sub(worker.last_heartbeat_at_ms);
            let lapsed = if worker.reconciled {
                worker.min_clock_ms(now_ms) > worker.lease_until_ms
            } else {
                earlier_leases_lapsed
            };
            if lapsed && silent_ms >= remove_after_ms {
                expired.push(*handle);
            }
        }
        for handle in expired {
            self.end_incarnation(handle, "silent", state);
        }
        if earlier_leases_lapsed && !self.unreconciled.is_empty() {
            let pools: BTreeSet<_> = std::mem::take(&mut self.unreconciled)
                .into_values()
                .collect();
            self.dirty_pools.extend(pools);
        }
        self.drop_lapsed_runs();
        let handles: Vec<_> = self.workers.keys().copied().collect();
        for handle in handles {
            self.poll_if_due(handle, state);
        }
    }

    /// Drops the runs of workers that do not answer, once their lease has lapsed for certain.
    fn drop_lapsed_runs(&mut self) {
        let now_ms = self.now.steady_ms;
        let mut lapsed = Vec::new();
        for (handle, worker) in &self.workers {
            if worker.unresponsive
                && worker.reconciled
                && !worker.runs.is_empty()
                && worker.min_clock_ms(now_ms) > worker.lease_until_ms
            {
                lapsed.push(*handle);
            }
        }
        for handle in lapsed {
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
                "event=lease_lapsed worker={incarnation} runs={} lease_until_ms={} clock_ms={}",
                runs.len(),
                worker.lease_until_ms,
                worker.min_clock_ms(now_ms)
            ));
            for (task, run) in runs {
                self.remove_run(task, run);
                self.drop_run(task, run);
            }
        }
    }

    /// Sends the polls that are due.
    pub(super) fn poll_if_due(&mut self, handle: WorkerHandle, state: &JobsState) {
        for channel in [
            PollChannel::LongPoll,
            PollChannel::Redundant,
            PollChannel::Probe,
        ] {
            self.poll_over(handle, channel, state);
        }
    }

    fn poll_over(&mut self, handle: WorkerHandle, channel: PollChannel, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let max_lease_ms = self.settings.max_lease_ms;
        let loses_responses =
            now_ms < self.response_loss_until_ms && self.settings.mechanisms.redundant_polls;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let is_due = match worker.polls[channel as usize] {
            PollState::Idle => true,
            PollState::RetryAt(at_ms) => now_ms >= at_ms,
            PollState::InFlight { .. } | PollState::AwaitingCommit => false,
        };
        // A worker that does not answer is given no longer lease, or it would never lapse.
        let holds = !worker.runs.is_empty() && worker.reconciled && !worker.unresponsive;
        let is_needed = match channel {
            PollChannel::LongPoll => {
                !worker.reconciled
                    || !worker.runs.is_empty()
                    || worker.acknowledgement_due
                    || worker.unresponsive
            }
            PollChannel::Redundant => loses_responses && holds,
            PollChannel::Probe => {
                let is_time = worker.probe_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
                worker.reconciled && (worker.unresponsive || is_time)
            }
        };
        if !is_due || !is_needed {
            return;
        }
        let holds = holds && channel != PollChannel::Probe;
        let deadline_ms = holds.then(|| worker.estimated_clock_ms(now_ms) + max_lease_ms);
        if let Some(deadline_ms) = deadline_ms {
            worker.lease_until_ms = worker.lease_until_ms.max(deadline_ms);
        }
        let recorded_upto = state
            .incarnations
            .get(worker.incarnation())
            .map_or(0, |record| record.recorded_upto);
        let wait_ms = if holds { LONG_POLL_WAIT_MS } else { 0 };
        worker.acknowledgement_due = false;
        worker.polls[channel as usize] = PollState::InFlight { sent_at_ms: now_ms };
        self.counts.polls += 1;
        self.effects.push(Effect::Poll(PollRequest {
            worker: handle,
            channel,
            deadline_ms,
            acknowledged_upto: recorded_upto,
            wait_ms,
        }));
    }

    /// Records that a response got lost.
    pub(super) const fn record_response_loss(&mut self) {
        self.response_loss_until_ms = self.now.steady_ms + RESPONSE_LOSS_WINDOW_MS;
    }

    /// Records that a poll got no response.
    pub(super) fn on_poll_failure(&mut self, handle: WorkerHandle, channel: PollChannel) {
        let now_ms = self.now.steady_ms;
        self.record_response_loss();
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let failed = std::mem::replace(
            &mut worker.polls[channel as usize],
            PollState::RetryAt(now_ms + POLL_RETRY_MS),
        );
        worker.acknowledgement_due = true;
        // Another poll that was answered meanwhile tells that only this response was lost.
        let has_answered = matches!(
            failed,
            PollState::InFlight { sent_at_ms } if worker.reconciled && worker.listed_at_ms > sent_at_ms
        );
        if has_answered {
            worker.polls[channel as usize] = PollState::Idle;
            return;
        }
        let was_unresponsive = std::mem::replace(&mut worker.unresponsive, true);
        if !was_unresponsive {
            let line = format!(
                "event=worker_lost worker={} cause=no-answer",
                worker.incarnation()
            );
            self.log_event(line);
        }
    }

    /// Returns whether a worker has been silent for so long that nothing new goes there.
    pub(super) const fn is_silent(&self, worker: &Worker) -> bool {
        is_silent(worker, self.now.steady_ms, self.settings.heartbeat_ms)
    }
}

const fn is_silent(worker: &Worker, now_ms: u64, heartbeat_ms: u64) -> bool {
    now_ms.saturating_sub(worker.last_heartbeat_at_ms)
        > heartbeat_ms * SILENT_AFTER_MISSED_HEARTBEATS
}
