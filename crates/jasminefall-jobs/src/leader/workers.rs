//! Heartbeats of workers and their leases.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::{Effect, Leader, LookLane, LookOrder};
use crate::ids::{LifeId, TaskId};
use crate::job::Resources;
use crate::policy::health::Health;
use crate::state::{Command, JobsState};
use crate::worker::Heartbeat;

/// The part of time that a worker's clock may lose against ours, in thousandths; the platform
/// promises 2 %, and a half is added.
const CLOCK_DRIFT_MILLIS: u64 = 30;
/// How long after a failed look the next one goes out, in milliseconds.
const LOOK_RETRY_MS: u64 = 300;
/// How long after an answer was lost looks are doubled, in milliseconds; answers get lost for some
/// seconds on end, and a second look costs little.
const LOSSY_FOR_MS: u64 = 5_000;
/// How long a worker may keep a look open, in milliseconds; a lease is renewed as often.
const LOOK_WAIT_MS: u64 = 1_000;
/// The silence after which a worker without runs is forgotten, in heartbeats.
const FORGET_AFTER_HEARTBEATS: u64 = 4;
/// The silence after which nothing new is started on a worker, in heartbeats.
const DOUBT_AFTER_HEARTBEATS: u64 = 3;

/// Names a worker within one leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerHandle(pub u32);

/// Says where the exchange of looks with a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LookState {
    /// None is under way.
    Idle,
    /// One is under way.
    UnderWay {
        /// When it was sent.
        sent_at_ms: u64,
    },
    /// The ends of the last one are being made durable.
    Noting,
    /// The last one failed; the next goes out at this time.
    RetryAt(u64),
}

/// Holds what the leader knows of one life of a worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The latest heartbeat.
    pub(crate) heartbeat: Heartbeat,
    /// When this leader first heard of it.
    pub(crate) joined_at_ms: u64,
    pub(crate) heard_at_ms: u64,
    /// When the list of runs was last read.
    pub(crate) read_at_ms: u64,
    /// Whether the life is noted in the replicated state, which a start has to wait for.
    pub(crate) registered: bool,
    /// Whether this leader has read the worker's list of runs, which fences earlier leaders.
    pub(crate) adopted: bool,
    /// A reading of the worker's clock, and when it came.
    pub(crate) clock: (u64, u64),
    /// The latest lease that may have been granted, on the worker's clock.
    pub(crate) lease_until_ms: u64,
    /// The looks, by the connection that they go over.
    pub(crate) looks: [LookState; 3],
    /// The worker's clock in the latest list that was read.
    pub(crate) list_clock_ms: u64,
    /// When it can be told whether a start without an answer has taken effect.
    pub(crate) check_at_ms: Option<u64>,
    /// The number of the last end that has been dealt with.
    pub(crate) ends_seen: u64,
    /// The number of the last end that is durable.
    pub(crate) ends_noted: u64,
    /// Whether an end has been noted that the worker has not been told of.
    pub(crate) owes_acknowledgement: bool,
    pub(crate) runs: BTreeMap<TaskId, u64>,
    pub(crate) used: Resources,
    /// How many of the runs are of tasks that last.
    pub(crate) lasting_runs: usize,
    /// Whether the last order or look got no answer.
    pub(crate) doubtful: bool,
    pub(crate) full_until_ms: u64,
    pub(crate) health: Health,
    /// Whether the worker is being emptied for maintenance or a move.
    pub(crate) emptying: bool,
}

impl Worker {
    /// Returns the life that the worker is in.
    #[must_use]
    pub const fn life(&self) -> &LifeId {
        &self.heartbeat.life
    }

    /// Returns where the worker takes orders, as IP:PORT.
    #[must_use]
    pub const fn address(&self) -> &SmolStr {
        &self.heartbeat.address
    }

    /// Returns the least that the worker's clock can show by now.
    const fn clock_at_least(&self, now_ms: u64) -> u64 {
        let (clock_ms, read_at_ms) = self.clock;
        let passed_ms = now_ms.saturating_sub(read_at_ms);
        clock_ms + passed_ms - passed_ms * CLOCK_DRIFT_MILLIS / 1_000
    }

    /// Returns what the worker's clock should show by now.
    pub(crate) const fn clock_now(&self, now_ms: u64) -> u64 {
        let (clock_ms, read_at_ms) = self.clock;
        clock_ms + now_ms.saturating_sub(read_at_ms)
    }

    pub(crate) const fn read_clock(&mut self, clock_ms: u64, now_ms: u64) {
        if clock_ms >= self.clock_at_least(now_ms) {
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
        self.adopted && self.runs.is_empty() && self.ends_seen <= self.ends_noted
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
        let leaves = heartbeat
            .instance
            .as_ref()
            .is_some_and(|instance| self.upkeep.awaits(instance) || self.moves.awaits(instance));
        let worker = Worker {
            // The clock of a life that only an earlier leader heard is not known yet.
            clock: (if registered { 0 } else { heartbeat.clock_ms }, now_ms),
            heartbeat,
            joined_at_ms: if registered { 0 } else { now_ms },
            heard_at_ms: now_ms,
            read_at_ms: now_ms,
            registered,
            adopted: false,
            lease_until_ms: 0,
            looks: [LookState::Idle; 3],
            list_clock_ms: 0,
            check_at_ms: None,
            ends_seen: 0,
            ends_noted: 0,
            owes_acknowledgement: false,
            runs: BTreeMap::new(),
            used: Resources::default(),
            lasting_runs: 0,
            doubtful: false,
            full_until_ms: 0,
            health: Health::default(),
            emptying: leaves,
        };
        self.workers.insert(handle, worker);
        handle
    }

    /// Takes a heartbeat; returns whether it is from the life that is known, or a new one.
    pub fn take_heartbeat(&mut self, heartbeat: Heartbeat, state: &JobsState) -> bool {
        self.end_earlier_lives(&heartbeat, state);
        let known = self.directory.of_life(&heartbeat.life);
        let Some(handle) = known else {
            if self.over.contains_key(&heartbeat.life) || self.has_later_life(&heartbeat) {
                self.note(format!(
                    "event=heartbeat_ignored worker={} cause=over sequence={}",
                    heartbeat.life, heartbeat.sequence
                ));
                return false;
            }
            self.note(format!(
                "event=worker_joined worker={} pool={} address={} sequence={}",
                heartbeat.life, heartbeat.pool, heartbeat.address, heartbeat.sequence
            ));
            self.propose(Command::Register(Box::new(heartbeat.clone())));
            let pool = heartbeat.pool.clone();
            if let Some(instance) = &heartbeat.instance {
                self.fleet.note_up(instance, &pool, &heartbeat.life.worker);
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
        worker.heard_at_ms = now_ms;
        worker.read_clock(heartbeat.clock_ms, now_ms);
        if heartbeat.sequence < worker.heartbeat.sequence {
            return true;
        }
        let starts_draining = heartbeat.draining && !worker.heartbeat.draining;
        let before = &worker.heartbeat;
        let may_hold_more = was_silent
            || before.capacity != heartbeat.capacity
            || before.labels != heartbeat.labels
            || before.draining != heartbeat.draining;
        let (life, pool) = (heartbeat.life.clone(), heartbeat.pool.clone());
        let (before, address) = (&worker.heartbeat.address, &heartbeat.address);
        if before != address {
            self.directory.move_address(handle, before, address);
        }
        // A life stays in the pool and on the instance where it began.
        worker.heartbeat = Heartbeat {
            instance: worker.heartbeat.instance.clone(),
            pool: worker.heartbeat.pool.clone(),
            ..heartbeat.clone()
        };
        if starts_draining {
            self.note(format!("event=worker_drains worker={life} pool={pool}"));
            self.propose(Command::Register(Box::new(heartbeat)));
        }
        if may_hold_more {
            self.dirty_pools.insert(pool);
        }
        true
    }

    /// Returns how long a lease that nobody renews can last by our clock.
    const fn longest_lapse_ms(&self) -> u64 {
        let lease_ms = self.settings.max_lease_ms;
        lease_ms + lease_ms * CLOCK_DRIFT_MILLIS / 1_000
    }

    /// Looks after every worker: leases that have lapsed, silence, and looks that are due.
    pub(super) fn check_workers(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let lapsed_since_lead = now_ms >= self.leads_since_ms + self.longest_lapse_ms();
        let forget_after_ms = self.settings.heartbeat_ms * FORGET_AFTER_HEARTBEATS;
        let mut gone = Vec::new();
        for (handle, worker) in &self.workers {
            let silent_ms = now_ms.saturating_sub(worker.heard_at_ms);
            let lapsed = if worker.adopted {
                worker.clock_at_least(now_ms) > worker.lease_until_ms
            } else {
                lapsed_since_lead
            };
            if lapsed && silent_ms >= forget_after_ms {
                gone.push(*handle);
            }
        }
        for handle in gone {
            self.end_life(handle, "silent", state);
        }
        if lapsed_since_lead && !self.unsettled.is_empty() {
            let pools: BTreeSet<_> = std::mem::take(&mut self.unsettled).into_values().collect();
            self.dirty_pools.extend(pools);
        }
        self.drop_lapsed_runs();
        let handles: Vec<_> = self.workers.keys().copied().collect();
        for handle in handles {
            self.look_if_due(handle, state);
        }
    }

    /// Drops the runs of workers that do not answer, once their lease has lapsed for certain.
    fn drop_lapsed_runs(&mut self) {
        let now_ms = self.now.steady_ms;
        let mut lapsed = Vec::new();
        for (handle, worker) in &self.workers {
            if worker.doubtful
                && worker.adopted
                && !worker.runs.is_empty()
                && worker.clock_at_least(now_ms) > worker.lease_until_ms
            {
                lapsed.push(*handle);
            }
        }
        for handle in lapsed {
            let Some(worker) = self.workers.get(&handle) else {
                continue;
            };
            let life = worker.life().clone();
            let runs: Vec<_> = worker
                .runs
                .iter()
                .map(|(task, run)| (*task, *run))
                .collect();
            self.note(format!(
                "event=lease_lapsed worker={life} runs={} lease_until_ms={} clock_ms={}",
                runs.len(),
                worker.lease_until_ms,
                worker.clock_at_least(now_ms)
            ));
            for (task, run) in runs {
                self.remove_run(task, run);
                self.drop_run(task, run);
            }
        }
    }

    /// Sends the looks that are due.
    pub(super) fn look_if_due(&mut self, handle: WorkerHandle, state: &JobsState) {
        for lane in [LookLane::Held, LookLane::Second, LookLane::Check] {
            self.look_over(handle, lane, state);
        }
    }

    fn look_over(&mut self, handle: WorkerHandle, lane: LookLane, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        let max_lease_ms = self.settings.max_lease_ms;
        let is_lossy = now_ms < self.lossy_until_ms && self.settings.mechanisms.doubled_looks;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let is_due = match worker.looks[lane as usize] {
            LookState::Idle => true,
            LookState::RetryAt(at_ms) => now_ms >= at_ms,
            LookState::UnderWay { .. } | LookState::Noting => false,
        };
        // A worker that does not answer is given no longer lease, or it would never lapse.
        let holds = !worker.runs.is_empty() && worker.adopted && !worker.doubtful;
        let is_needed = match lane {
            LookLane::Held => {
                !worker.adopted
                    || !worker.runs.is_empty()
                    || worker.owes_acknowledgement
                    || worker.doubtful
            }
            LookLane::Second => is_lossy && holds,
            LookLane::Check => {
                let is_time = worker.check_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
                worker.adopted && (worker.doubtful || is_time)
            }
        };
        if !is_due || !is_needed {
            return;
        }
        let holds = holds && lane != LookLane::Check;
        let deadline_ms = holds.then(|| worker.clock_now(now_ms) + max_lease_ms);
        if let Some(deadline_ms) = deadline_ms {
            worker.lease_until_ms = worker.lease_until_ms.max(deadline_ms);
        }
        let noted_upto = state
            .lives
            .get(worker.life())
            .map_or(0, |note| note.noted_upto);
        let wait_ms = if holds { LOOK_WAIT_MS } else { 0 };
        worker.owes_acknowledgement = false;
        worker.looks[lane as usize] = LookState::UnderWay { sent_at_ms: now_ms };
        self.counts.looks += 1;
        self.effects.push(Effect::Look(LookOrder {
            worker: handle,
            lane,
            deadline_ms,
            acknowledged_upto: noted_upto,
            wait_ms,
        }));
    }

    /// Notes that an answer got lost.
    pub(super) const fn note_loss(&mut self) {
        self.lossy_until_ms = self.now.steady_ms + LOSSY_FOR_MS;
    }

    /// Notes that a look got no answer.
    pub(super) fn fail_look(&mut self, handle: WorkerHandle, lane: LookLane) {
        let now_ms = self.now.steady_ms;
        self.note_loss();
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let failed = std::mem::replace(
            &mut worker.looks[lane as usize],
            LookState::RetryAt(now_ms + LOOK_RETRY_MS),
        );
        worker.owes_acknowledgement = true;
        // Another look that was answered meanwhile tells that only this answer was lost.
        let has_answered = matches!(
            failed,
            LookState::UnderWay { sent_at_ms } if worker.adopted && worker.read_at_ms > sent_at_ms
        );
        if has_answered {
            worker.looks[lane as usize] = LookState::Idle;
            return;
        }
        let was_doubtful = std::mem::replace(&mut worker.doubtful, true);
        if !was_doubtful {
            let line = format!("event=worker_lost worker={} cause=no-answer", worker.life());
            self.note(line);
        }
    }

    /// Returns whether a worker has been silent for so long that nothing new goes there.
    pub(super) const fn is_silent(&self, worker: &Worker) -> bool {
        is_silent(worker, self.now.steady_ms, self.settings.heartbeat_ms)
    }
}

const fn is_silent(worker: &Worker, now_ms: u64, heartbeat_ms: u64) -> bool {
    now_ms.saturating_sub(worker.heard_at_ms) > heartbeat_ms * DOUBT_AFTER_HEARTBEATS
}
