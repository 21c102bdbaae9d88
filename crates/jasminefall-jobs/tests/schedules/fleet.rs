//! Workers that join, end, drain and leave.

use jasminefall_jobs::prelude::*;
use rand::Rng;
use smol_str::format_smolstr;

use super::{Event, WALL_CLOCK_MS, World};
use crate::plan::{Fault, POOL, SPARE_POOL};
use crate::worker::Worker;

impl World {
    pub(super) fn join(&mut self, slot: usize) {
        let life = self.workers.len();
        // The first workers have no predecessor in their slot.
        let previous = self.workers.get(self.slots[slot].life);
        let previous = previous.filter(|previous| previous.slot == slot);
        let keeps_name = self.random.random_ratio(1, 4) || self.setup.restarts_under_name;
        let name = match previous {
            Some(previous) if keeps_name => previous.incarnation.worker.clone(),
            _ => format_smolstr!("i-{slot}-{life}"),
        };
        let clock_back_ms = std::mem::take(&mut self.slots[slot].clock_back_ms);
        let incarnation = IncarnationId {
            worker: name,
            started_at_ms: WALL_CLOCK_MS + self.now_ms - clock_back_ms,
        };
        let previous_clock_ms = previous.map(|previous| previous.clock_ms(self.now_ms));
        let clock = (
            self.first_clock_ms(previous_clock_ms),
            self.random.random_range(0..=20),
        );
        let capacity = self.slots[slot].capacity;
        self.note(format!("joins worker={incarnation}"));
        self.waits.disturb(self.now_ms);
        let worker = Worker::new((slot, incarnation), capacity, self.now_ms, clock);
        self.workers.push(worker);
        self.slots[slot].life = life;
        self.facts.on_capacity(life, self.now_ms, capacity);
        self.send_heartbeat(life);
    }

    /// Draws the first value of a worker's clock. After most replacements it is near the value that the clock
    /// of the previous incarnation would have, above or below, so that one can be taken for the other.
    fn first_clock_ms(&mut self, previous_ms: Option<u64>) -> u64 {
        const NEAR_MS: u64 = 12_000;
        let near_ms = previous_ms.filter(|_| self.setup.replacements.is_some());
        match near_ms {
            Some(near_ms) if self.random.random_ratio(2, 3) => {
                let lowest_ms = near_ms.saturating_sub(NEAR_MS).max(1_000);
                self.random.random_range(lowest_ms..near_ms + NEAR_MS)
            }
            _ => self.random.random_range(1_000..5_000_000),
        }
    }

    pub(super) fn send_heartbeat(&mut self, life: usize) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[life];
        if !worker.is_up || !worker.sends_heartbeats {
            return;
        }
        let heartbeat = worker.heartbeat(self.slots[worker.slot].pool, now_ms);
        let slot = worker.slot;
        let interval_ms = self.settings.heartbeat_ms;
        self.after(
            interval_ms * 9 / 10..interval_ms * 11 / 10,
            Event::SendHeartbeat { life },
        );
        let is_cut = now_ms < self.slots[slot].cut_until_ms;
        let is_lossy = now_ms < self.slots[slot].lossy_until_ms;
        let one_in = if is_lossy { 3 } else { 20 };
        let is_lost = self.slots[slot].heartbeats_lost < 2 && self.random.random_ratio(1, one_in);
        if is_cut || is_lost {
            self.slots[slot].heartbeats_lost += 1;
            if self.random.random_ratio(1, 2) {
                let late = Event::HeartbeatArrives(Box::new(heartbeat));
                self.after(2_000..12_000, late);
            }
            return;
        }
        self.slots[slot].heartbeats_lost = 0;
        self.after(1..20, Event::HeartbeatArrives(Box::new(heartbeat)));
    }

    pub(super) fn expire_lease(&mut self, life: usize) {
        let worker = &self.workers[life];
        if !worker.is_up || worker.clock_ms(self.now_ms) <= worker.lease_until_ms {
            return;
        }
        self.facts.on_lapse(life);
        let runs: Vec<_> = worker.running.keys().copied().collect();
        if !runs.is_empty() {
            self.counts.lapses += 1;
            self.note(format!(
                "lease expired worker={}",
                self.workers[life].incarnation
            ));
        }
        for (task, run) in runs {
            self.end_run(life, task, run, EndKind::Lapsed);
        }
    }

    pub(super) fn end_run(&mut self, life: usize, task: TaskId, run: u64, kind: EndKind) {
        let Some(number) = self.workers[life].end(task, run, kind) else {
            return;
        };
        let incarnation = &self.workers[life].incarnation;
        self.note(format!(
            "end {number} task={task} run={run} worker={incarnation} kind={}",
            kind.as_str()
        ));
        self.facts.on_end(life, task, run, (kind, number));
        self.waits.on_end(task, self.now_ms);
        self.end_gang(task, run, kind);
        self.answer_held_polls(life, None);
    }

    pub(super) fn shut_down(&mut self, life: usize, is_crash: bool) {
        if !self.workers[life].is_up {
            return;
        }
        let restart_ms = match self.setup.restart_ms {
            Some(restart_ms) => restart_ms..restart_ms + 1,
            None if self.setup.restarts_under_name => 100..1_000,
            None => 2_000..4_000,
        };
        let restart_ms = self.random.random_range(restart_ms);
        self.replace(life, is_crash, restart_ms);
    }

    /// Ends an incarnation that is up; the next one begins after a while.
    fn replace(&mut self, life: usize, is_crash: bool, restart_ms: u64) {
        let runs = self.workers[life].shut_down();
        let incarnation = self.workers[life].incarnation.clone();
        self.note(format!("down worker={incarnation} crash={is_crash}"));
        for (task, run) in &runs {
            self.note(format!("lost task={task} run={run} worker={incarnation}"));
            self.waits.on_end(*task, self.now_ms);
            self.end_gang(*task, *run, EndKind::GangBroken);
        }
        self.facts.on_shutdown(life, &runs, is_crash);
        self.waits.disturb(self.now_ms);
        self.counts.lost_runs += runs.len() as u64;
        self.counts.crashes += u64::from(is_crash);
        let slot = self.workers[life].slot;
        self.schedule(self.now_ms + restart_ms, Event::WorkerJoins { slot });
    }

    pub(super) fn on_fault(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        match fault {
            Fault::Lossy { slot, lasts_ms } => {
                let slot = &mut self.slots[slot];
                slot.lossy_until_ms = slot.lossy_until_ms.max(now_ms + lasts_ms);
                self.waits.disturb(now_ms + lasts_ms);
            }
            Fault::Cut { slot, lasts_ms } => {
                let slot = &mut self.slots[slot];
                slot.cut_until_ms = slot.cut_until_ms.max(now_ms + lasts_ms);
                self.waits.disturb(now_ms + lasts_ms);
                let incarnation = self.workers[slot.life].incarnation.clone();
                self.note(format!("cut worker={incarnation} lasts_ms={lasts_ms}"));
            }
            Fault::Crash { slot } => self.shut_down(self.slots[slot].life, true),
            Fault::Restart {
                slot,
                after_ms,
                clock_back_ms,
            } => {
                let life = self.slots[slot].life;
                if self.workers[life].is_up {
                    self.slots[slot].clock_back_ms = clock_back_ms;
                    self.replace(life, true, after_ms);
                }
            }
            Fault::Move { slot, after_ms } => self.move_worker(slot, after_ms),
            Fault::Drain { slot } => self.drain(self.slots[slot].life),
            Fault::LeaderLost { absent_ms } => self.lose_leader(absent_ms),
            Fault::Capacity { slot, percent } => self.change_capacity(slot, percent),
        }
    }

    /// Takes a worker down, which begins again in the other pool; the pool of one that is down changes, too.
    fn move_worker(&mut self, slot: usize, after_ms: u64) {
        let other_pool = if self.slots[slot].pool == POOL {
            SPARE_POOL
        } else {
            POOL
        };
        self.slots[slot].pool = other_pool;
        let life = self.slots[slot].life;
        let incarnation = self.workers[life].incarnation.clone();
        self.note(format!("moves worker={incarnation} to_pool={other_pool}"));
        if self.workers[life].is_up {
            // Nothing announces it, so the leader can't tell it from a crash.
            self.replace(life, true, after_ms);
        }
    }

    /// Returns whether a worker is being replaced or leaves, or isn't known to the leader and the log as it is.
    pub(super) fn is_replacing_workers(&self) -> bool {
        self.slots.iter().any(|slot| {
            let worker = &self.workers[slot.life];
            let name = &worker.incarnation.worker;
            let recorded = self.state.incarnations.keys();
            let mut recorded = recorded.filter(|known| known.worker == *name);
            let is_recorded_alone =
                recorded.next() == Some(&worker.incarnation) && recorded.next().is_none();
            let is_listed = worker.listed_for == Some(self.fencing_token);
            !worker.is_up || worker.draining || !is_recorded_alone || !is_listed
        })
    }

    pub(super) fn change_capacity(&mut self, slot: usize, percent: u64) {
        let full = self.plan.capacities[slot];
        let capacity = Resources {
            cpu_millis: full.cpu_millis * percent / 100,
            ..full
        };
        self.waits.disturb(self.now_ms);
        self.slots[slot].capacity = capacity;
        self.counts.capacity_changes += 1;
        let life = self.slots[slot].life;
        self.workers[life].capacity = capacity;
        let incarnation = self.workers[life].incarnation.clone();
        self.note(format!(
            "capacity worker={incarnation} cpu_millis={}",
            capacity.cpu_millis
        ));
        self.facts.on_capacity(life, self.now_ms, capacity);
    }

    /// Announces the departure of a worker by a heartbeat.
    pub(super) fn drain(&mut self, life: usize) {
        let worker = &mut self.workers[life];
        if !worker.is_up || std::mem::replace(&mut worker.draining, true) {
            return;
        }
        let incarnation = worker.incarnation.clone();
        self.note(format!("drains worker={incarnation}"));
        self.send_heartbeat(life);
        self.after(1_000..6_000, Event::Deregister { life });
    }

    /// Sends the deregistration; without an acknowledgement the worker leaves some seconds later.
    pub(super) fn deregister(&mut self, life: usize) {
        if !self.workers[life].is_up {
            return;
        }
        self.counts.departures += 1;
        self.workers[life].sends_heartbeats = false;
        self.after(1_000..5_000, Event::WorkerLeaves { life });
        if self.now_ms >= self.slots[self.workers[life].slot].cut_until_ms {
            self.after(1..20, Event::DepartureArrives { life });
        }
    }

    pub(super) fn on_departure(&mut self, life: usize) {
        let incarnation = self.workers[life].incarnation.clone();
        self.note(format!(
            "deregisters worker={incarnation} up={}",
            self.workers[life].is_up
        ));
        let has_leader = self.leadership.is_some();
        self.drive_leader(|leader, state| leader.on_departure(&incarnation.worker, state));
        if has_leader && self.random.random_ratio(2, 3) {
            self.after(1..30, Event::WorkerLeaves { life });
        }
    }
}
