//! One incarnation of a simulated worker, as the interface of workers defines it.

use std::collections::BTreeMap;

use jasminefall_jobs::leader::{PollRequest, StartRequest};
use jasminefall_jobs::prelude::*;

/// Holds a run that is active on a worker.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRun {
    pub(crate) needs: Resources,
    pub(crate) stops: bool,
}

/// A long poll that waits for the end of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldPoll {
    pub(crate) request: u64,
    pub(crate) is_answered: bool,
}

/// Holds the clock, lease and runs of one incarnation.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) slot: usize,
    pub(crate) incarnation: IncarnationId,
    pub(crate) is_up: bool,
    pub(crate) draining: bool,
    pub(crate) sends_heartbeats: bool,
    pub(crate) heartbeats: u64,
    pub(crate) capacity: Resources,
    pub(crate) running: BTreeMap<(TaskId, u64), ActiveRun>,
    pub(crate) ended: Vec<RunEnd>,
    pub(crate) held_polls: Vec<HeldPoll>,
    pub(crate) lease_until_ms: u64,
    /// The fencing token of the last leader that has received a run list.
    pub(crate) listed_for: Option<u64>,
    started_at_ms: u64,
    first_clock_ms: u64,
    slow_millis: u64,
    fencing_token: u64,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    highest_ended: BTreeMap<TaskId, u64>,
}

impl Worker {
    pub(crate) fn new(
        (slot, incarnation): (usize, IncarnationId),
        capacity: Resources,
        started_at_ms: u64,
        (first_clock_ms, slow_millis): (u64, u64),
    ) -> Self {
        Self {
            slot,
            incarnation,
            is_up: true,
            draining: false,
            sends_heartbeats: true,
            heartbeats: 0,
            capacity,
            running: BTreeMap::new(),
            ended: Vec::new(),
            held_polls: Vec::new(),
            lease_until_ms: 0,
            listed_for: None,
            started_at_ms,
            first_clock_ms,
            slow_millis,
            fencing_token: 0,
            last_end: 0,
            highest_ended: BTreeMap::new(),
        }
    }

    pub(crate) const fn clock_ms(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms - self.started_at_ms;
        self.first_clock_ms + elapsed_ms * (1_000 - self.slow_millis) / 1_000
    }

    /// Returns the first time at which the lease has expired on the worker's clock.
    pub(crate) const fn lapse_at_ms(&self) -> u64 {
        let lasts_ms = (self.lease_until_ms + 1).saturating_sub(self.first_clock_ms);
        self.started_at_ms + (lasts_ms * 1_000).div_ceil(1_000 - self.slow_millis)
    }

    /// Returns whether requests with a fencing token have an effect, and records the token.
    pub(crate) fn accepts(&mut self, fencing_token: u64) -> bool {
        let is_accepted = fencing_token >= self.fencing_token;
        self.fencing_token = self.fencing_token.max(fencing_token);
        is_accepted
    }

    fn extend_lease(&mut self, deadline_ms: u64, max_lease_ms: u64, now_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + max_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest_ms));
    }

    pub(crate) fn used(&self) -> Resources {
        let needs = self.running.values().map(|run| run.needs);
        needs.fold(Resources::default(), |sum, needs| sum.plus(&needs))
    }

    /// Carries out a start; returns the reason of a refusal, otherwise whether the run is new.
    pub(crate) fn start(
        &mut self,
        request: &StartRequest,
        (max_lease_ms, refuses_overload): (u64, bool),
        now_ms: u64,
    ) -> Result<bool, Refusal> {
        if self.clock_ms(now_ms) > request.deadline_ms {
            return Err(Refusal::Late);
        }
        self.extend_lease(request.deadline_ms, max_lease_ms, now_ms);
        let (task, number) = (request.task, request.run);
        if self.running.contains_key(&(task, number)) {
            return Ok(false);
        }
        if self
            .highest_ended
            .get(&task)
            .is_some_and(|highest| number <= *highest)
        {
            return Err(Refusal::OldRun);
        }
        let needs = request.spec.steps[usize::from(task.step)].needs;
        if refuses_overload && !self.capacity.minus(&self.used()).can_fit(&needs) {
            return Err(Refusal::NoRoom);
        }
        let run = ActiveRun {
            needs,
            stops: false,
        };
        self.running.insert((task, number), run);
        Ok(true)
    }

    /// Begins to stop a run; returns whether it was active and not being stopped.
    pub(crate) fn stop(&mut self, task: TaskId, number: u64) -> bool {
        let highest = self.highest_ended.entry(task).or_default();
        *highest = (*highest).max(number);
        let run = self.running.get_mut(&(task, number));
        run.is_some_and(|run| !std::mem::replace(&mut run.stops, true))
    }

    /// Drops the acknowledged ends and extends the lease.
    pub(crate) fn poll(&mut self, poll: &PollRequest, max_lease_ms: u64, now_ms: u64) {
        self.ended.retain(|end| end.number > poll.acknowledged_upto);
        if let Some(deadline_ms) = poll.deadline_ms {
            self.extend_lease(deadline_ms, max_lease_ms, now_ms);
        }
    }

    /// Ends an active run and lists its end; returns the number of the end.
    pub(crate) fn end(&mut self, task: TaskId, number: u64, kind: EndKind) -> Option<u64> {
        self.running.remove(&(task, number))?;
        let highest = self.highest_ended.entry(task).or_default();
        *highest = (*highest).max(number);
        self.last_end += 1;
        self.ended.push(RunEnd {
            number: self.last_end,
            task,
            run: number,
            kind,
            checkpoint: "".into(),
        });
        Some(self.last_end)
    }

    pub(crate) fn list(&self, now_ms: u64) -> RunList {
        let running = self.running.keys().map(|(task, run)| RunProgress {
            task: *task,
            run: *run,
            checkpoint: "".into(),
            percent: 50,
            gauge: None,
        });
        RunList {
            clock_ms: self.clock_ms(now_ms),
            started_at_ms: self.incarnation.started_at_ms,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    pub(crate) fn heartbeat(&mut self, pool: &str, now_ms: u64) -> Heartbeat {
        self.heartbeats += 1;
        Heartbeat {
            incarnation: self.incarnation.clone(),
            instance: Some(smol_str::format_smolstr!("m-{}", self.slot)),
            pool: pool.into(),
            address: smol_str::format_smolstr!("10.0.0.{}:80", self.slot),
            capacity: self.capacity,
            draining: self.draining,
            clock_ms: self.clock_ms(now_ms),
            sequence: self.heartbeats,
            ..Heartbeat::default()
        }
    }

    /// Ends the incarnation with everything that runs on it; returns the active runs.
    pub(crate) fn shut_down(&mut self) -> Vec<(TaskId, u64)> {
        self.is_up = false;
        self.ended.clear();
        self.held_polls.clear();
        std::mem::take(&mut self.running).into_keys().collect()
    }
}
