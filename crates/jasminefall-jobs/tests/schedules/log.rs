//! The leader, its elections and its log.

use jasminefall_jobs::leader::{Now, PollRequest, StartRequest};
use jasminefall_jobs::prelude::*;
use rand::Rng;

use super::{Event, Leadership, WALL_CLOCK_MS, World};
use crate::plan::{self, ATTEMPTS, LeaderLoss, PlannedJob};
use crate::worker::Worker;

/// Names a command, with the worker that it is about.
fn kind_of(command: &Command) -> String {
    match command {
        Command::Register(heartbeat) => format!("register worker={}", heartbeat.incarnation),
        Command::Retire(incarnation) => format!("retire worker={incarnation}"),
        Command::RecordRunEnds { life, .. } => format!("record-run-ends worker={life}"),
        Command::Submit { job, .. } => format!("submit job={job}"),
        _ => "other".to_owned(),
    }
}

impl World {
    pub(super) fn drive_leader(&mut self, input: impl FnOnce(&mut Leader, &JobsState)) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let leader = &mut leadership.leader;
        leader.set_now(Now {
            steady_ms: self.now_ms + leadership.clock_offset_ms,
            wall_ms: self.now_ms + WALL_CLOCK_MS,
        });
        input(leader, &self.state);
        leader.place_waiting_tasks(&self.state);
        let mut effects = leader.take_effects();
        let lines = leader.take_log().into_iter();
        self.journal.extend(lines.map(|line| (self.now_ms, line)));
        // The leader repeats stops in the order of a hash map.
        effects.sort_by_key(|effect| match effect {
            Effect::Stop { task, run, .. } => Some((*task, *run)),
            _ => None,
        });
        for effect in effects {
            self.execute(effect);
        }
    }

    pub(super) fn execute(&mut self, effect: Effect) {
        let handle = match &effect {
            Effect::Propose(command) => return self.propose(command.clone()),
            Effect::Advise(request) => return self.on_advice_request(request.clone()),
            Effect::Start(StartRequest { worker, .. })
            | Effect::Poll(PollRequest { worker, .. })
            | Effect::Stop { worker, .. } => *worker,
            _ => return,
        };
        let known = self
            .leadership
            .as_ref()
            .and_then(|found| found.leader.worker(handle));
        let Some(incarnation) = known.map(|worker| worker.incarnation().clone()) else {
            return;
        };
        let is_meant = |worker: &Worker| worker.incarnation == incarnation;
        if let Some(life) = self.workers.iter().rposition(is_meant) {
            self.send(handle, life, effect);
        }
    }

    pub(super) fn propose(&mut self, command: Command) {
        if self.leadership.is_none() {
            self.client_commands.push(command);
            return;
        }
        let earlier_ms = self.proposals.back().map_or(0, |(at_ms, _)| *at_ms);
        let at_ms = earlier_ms.max(self.now_ms + self.random.random_range(10..300));
        self.proposals.push_back((at_ms, command));
        let fencing_token = self.fencing_token;
        self.schedule(at_ms, Event::Commit { fencing_token });
        let number = self.proposed;
        self.proposed += 1;
        if self.loses_leader_before(number) {
            let lost_ms = self.random.random_range(self.now_ms..at_ms);
            let loss = Event::LeaderLostBefore {
                fencing_token,
                number,
            };
            self.schedule(lost_ms, loss);
        }
    }

    /// Decides whether the leader is lost before the command with this number is committed.
    fn loses_leader_before(&mut self, number: u64) -> bool {
        let first_restart_ms = self.plan.first_restart_ms;
        let is_boundary = first_restart_ms.is_some_and(|first_ms| self.now_ms >= first_ms)
            && self.is_replacing_workers();
        if is_boundary {
            self.boundaries.push(number);
        }
        match self.setup.leader_loss {
            LeaderLoss::BeforeCommand(lost) if number == lost => true,
            LeaderLoss::BeforeCommand(lost) if number > lost && is_boundary => {
                let is_lost = self.further_losses > 0 && self.random.random_ratio(1, 12);
                self.further_losses -= u32::from(is_lost);
                is_lost
            }
            _ => false,
        }
    }

    /// Ends the leadership; the log ends before the command with this number.
    pub(super) fn lose_leader_before(&mut self, number: u64) {
        let first = self.proposed - self.proposals.len() as u64;
        let committed = usize::try_from(number.saturating_sub(first)).unwrap_or(0);
        if let Some((_, command)) = self.proposals.get(committed) {
            let kind = kind_of(command);
            self.note(format!("leader lost before number={number} command={kind}"));
        }
        self.counts.log_cuts += 1;
        let absent_ms = self.random.random_range(300..2_500);
        self.end_leadership(committed, absent_ms);
    }

    pub(super) fn commit(&mut self) {
        while let Some((_, command)) = self
            .proposals
            .pop_front_if(|(at_ms, _)| *at_ms <= self.now_ms)
        {
            self.apply(&command);
            self.drive_leader(|leader, state| leader.on_applied(&command, state));
        }
    }

    pub(super) fn apply(&mut self, command: &Command) {
        self.state.apply(command.clone());
        if let Command::RecordRunEnds { life, ends } = command {
            for end in ends {
                self.note(format!(
                    "recorded task={} run={} kind={} worker={life}",
                    end.task,
                    end.run,
                    end.kind.as_str()
                ));
            }
        }
        self.check_failed_jobs();
    }

    pub(super) fn check_failed_jobs(&mut self) {
        for (key, job) in &self.state.jobs {
            if job.status() == JobStatus::Failed {
                self.facts.on_job_failed(*key, ATTEMPTS, self.now_ms);
            }
        }
    }

    /// Ends the leadership; a part of its proposals is committed, the others are lost.
    pub(super) fn lose_leader(&mut self, absent_ms: u64) {
        if self.leadership.is_some() {
            let committed = self.random.random_range(0..=self.proposals.len());
            self.end_leadership(committed, absent_ms);
        }
    }

    /// Ends the leadership; the first proposals are committed, the others are lost.
    fn end_leadership(&mut self, committed: usize, absent_ms: u64) {
        self.leadership = None;
        self.note("leader lost".to_owned());
        self.waits.disturb(self.now_ms + absent_ms);
        self.requests.clear();
        for (number, (_, command)) in std::mem::take(&mut self.proposals).into_iter().enumerate() {
            if number < committed {
                self.apply(&command);
            } else if matches!(command, Command::Submit { .. } | Command::Cancel(_)) {
                self.client_commands.push(command);
            }
        }
        self.schedule(self.now_ms + absent_ms, Event::LeaderElected);
    }

    pub(super) fn elect_leader(&mut self) {
        self.fencing_token += self.random.random_range(1..=3);
        self.state.apply(Command::Lead);
        self.facts
            .on_election(&self.workers, &self.state, self.now_ms);
        let clock_offset_ms = self.random.random_range(100_000..10_000_000);
        let now = Now {
            steady_ms: self.now_ms + clock_offset_ms,
            wall_ms: self.now_ms + WALL_CLOCK_MS,
        };
        let leader = Leader::new(self.settings, now, &self.state);
        self.leadership = Some(Leadership {
            leader,
            clock_offset_ms,
        });
        self.counts.leaderships += 1;
        self.note(format!(
            "leader elected fencing_token={}",
            self.fencing_token
        ));
        for command in std::mem::take(&mut self.client_commands) {
            self.propose(command);
        }
        self.drive_leader(Leader::tick);
    }

    pub(super) fn submit(&mut self, number: usize) {
        let job = &self.plan.jobs[number];
        self.propose(Command::Submit {
            job: job.key,
            queue: plan::queue_key(),
            spec: job.spec.clone(),
            at_ms: self.now_ms + WALL_CLOCK_MS,
        });
    }

    pub(super) fn cancel_long_running(&mut self) {
        let jobs = self.plan.jobs.iter().filter(|job| job.long_running);
        let keys: Vec<_> = jobs.map(|job| job.key).collect();
        for key in keys {
            self.propose(Command::Cancel(key));
        }
    }

    /// Returns whether the faults are over and every job has ended.
    pub(super) fn is_over(&self) -> bool {
        let has_ended = |job: &PlannedJob| {
            let job = self.state.jobs.get(&job.key);
            job.is_some_and(|job| job.status().is_final())
        };
        self.now_ms > self.setup.calm_from_ms && self.plan.jobs.iter().all(has_ended)
    }

    pub(super) fn check_progress(&mut self) {
        let is_healthy = |job: &&PlannedJob| !job.long_running && !self.plan.is_deadly(job.key);
        for job in self.plan.jobs.iter().filter(is_healthy) {
            let status = self.state.jobs.get(&job.key).map(Job::status);
            match status {
                Some(JobStatus::Completed) => self.counts.completed += 1,
                Some(JobStatus::Failed) => self.counts.failed += 1,
                _ => self.facts.on_unfinished(job.key, status, self.now_ms),
            }
        }
    }
}
