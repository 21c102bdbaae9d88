//! A leader, its log and its workers in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use jasminefall_jobs::leader::{LeaderSettings, Now, PollRequest, StartRequest, WorkerHandle};
use jasminefall_jobs::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::format_smolstr;

use super::plan::{self, ATTEMPTS, CALM_FROM_MS, END_MS, Fault, POOL, Plan, Setup};
use super::rules::{Facts, Start, Violation};
use super::worker::{HeldPoll, Worker};

const TICK_MS: u64 = 10;
/// The most events that are listed for a broken rule.
const LISTED_EVENTS: usize = 60;
/// Time after which a request without an answer has failed, beyond the wait that it asks for.
const REQUEST_TIMEOUT_MS: u64 = 400;
const WALL_CLOCK_MS: u64 = 1_700_000_000_000;
const FULL_CAPACITY: Resources = Resources {
    cpu_millis: 8_000,
    memory_mb: 16_000,
    gpus: 0,
};

/// A request of a leader on its way to the worker with the index `life`.
#[derive(Debug, Clone)]
struct Request {
    id: u64,
    life: usize,
    fencing_token: u64,
    effect: Effect,
    is_answered: bool,
}

#[derive(Debug, Clone)]
enum Answer {
    Run(WorkerResponse),
    List(Result<RunList, WorkerResponse>),
}

#[derive(Debug)]
enum Event {
    Tick,
    Commit {
        fencing_token: u64,
    },
    LeaderElected,
    Fault(Fault),
    Submit(usize),
    CancelLongRunning,
    RequestArrives(Request),
    PollWaited {
        life: usize,
        request: u64,
    },
    AnswerArrives {
        request: u64,
        life: usize,
        answer: Answer,
    },
    SendHeartbeat {
        life: usize,
    },
    HeartbeatArrives(Box<Heartbeat>),
    LeaseExpires {
        life: usize,
    },
    RunEnds {
        life: usize,
        task: TaskId,
        run: u64,
        kind: EndKind,
    },
    WorkerCrashes {
        life: usize,
    },
    WorkerJoins {
        slot: usize,
    },
    Deregister {
        life: usize,
    },
    DepartureArrives {
        life: usize,
    },
    WorkerLeaves {
        life: usize,
    },
}

/// A replica that leads, with the clock of its machine.
struct Leadership {
    leader: Leader,
    clock_offset_ms: u64,
}

/// A place for a worker: an instance and an address.
#[derive(Debug, Clone, Copy)]
struct Slot {
    life: usize,
    capacity: Resources,
    lossy_until_ms: u64,
    cut_until_ms: u64,
    /// Heartbeats lost one after the other.
    heartbeats_lost: u32,
}

/// Counts what happened, so that a test can tell that it tried what it is for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) starts: u64,
    pub(crate) completed: u64,
    pub(crate) crashes: u64,
    pub(crate) lapses: u64,
    pub(crate) leaderships: u64,
    pub(crate) late_requests: u64,
    pub(crate) departures: u64,
    pub(crate) capacity_changes: u64,
}

impl Counts {
    pub(crate) const fn add(&mut self, other: &Self) {
        self.starts += other.starts;
        self.completed += other.completed;
        self.crashes += other.crashes;
        self.lapses += other.lapses;
        self.leaderships += other.leaderships;
        self.late_requests += other.late_requests;
        self.departures += other.departures;
        self.capacity_changes += other.capacity_changes;
    }
}

pub(crate) struct World {
    setup: Setup,
    settings: LeaderSettings,
    random: StdRng,
    plan: Plan,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    state: JobsState,
    leadership: Option<Leadership>,
    fencing_token: u64,
    /// Proposed commands and the times at which they are committed.
    proposals: VecDeque<(u64, Command)>,
    /// Commands of clients that no leader has taken.
    client_commands: Vec<Command>,
    /// Requests of the current leader without an answer.
    requests: BTreeMap<u64, (WorkerHandle, Effect)>,
    /// All incarnations so far.
    workers: Vec<Worker>,
    slots: Vec<Slot>,
    facts: Facts,
    counts: Counts,
    journal: Vec<(u64, String)>,
}

/// Returns the worker that a recorded line is about.
fn worker_in(line: &str) -> Option<&str> {
    let (_, rest) = line.split_once("worker=")?;
    rest.split(' ').next()
}

impl World {
    pub(crate) fn new(setup: Setup, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let plan = Plan::new(&setup, &mut random);
        let mut state = JobsState::default();
        let configuration = plan::configuration(setup.refuses_overload);
        state.apply(Command::Configure(Arc::new(configuration)));
        let slot = Slot {
            life: 0,
            capacity: FULL_CAPACITY,
            lossy_until_ms: 0,
            cut_until_ms: 0,
            heartbeats_lost: 0,
        };
        let mut world = Self {
            setup,
            settings: LeaderSettings::default(),
            random,
            plan,
            now_ms: 0,
            events: BTreeMap::new(),
            next_event: 0,
            state,
            leadership: None,
            fencing_token: 0,
            proposals: VecDeque::new(),
            client_commands: Vec::new(),
            requests: BTreeMap::new(),
            workers: Vec::new(),
            slots: vec![slot; setup.workers],
            facts: Facts::default(),
            counts: Counts::default(),
            journal: Vec::new(),
        };
        world.schedule_plan();
        world
    }

    fn schedule_plan(&mut self) {
        self.schedule(0, Event::LeaderElected);
        self.schedule(0, Event::Tick);
        for slot in 0..self.setup.workers {
            self.schedule(0, Event::WorkerJoins { slot });
        }
        for number in 0..self.plan.jobs.len() {
            self.schedule(self.plan.jobs[number].submit_at_ms, Event::Submit(number));
        }
        for (at_ms, fault) in self.plan.faults.clone() {
            self.schedule(at_ms, Event::Fault(fault));
        }
        self.schedule(CALM_FROM_MS, Event::CancelLongRunning);
    }

    /// Plays the schedule to its end or to the first broken rule.
    pub(crate) fn run(&mut self) -> Result<Counts, Violation> {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > END_MS {
                break;
            }
            self.now_ms = at_ms;
            self.on_event(event);
            if let Some(violation) = self.facts.take_violation() {
                return Err(violation);
            }
        }
        self.check_progress();
        match self.facts.take_violation() {
            Some(violation) => Err(violation),
            None => Ok(self.counts),
        }
    }

    /// Returns the last recorded events of the task or job of a violation and of the workers that its
    /// runs were on.
    pub(crate) fn events_of(&self, violation: &Violation) -> Vec<String> {
        let subject = violation.subject();
        let is_subject = |line: &str| format!("{line} ").contains(&subject);
        let on_subject = self.journal.iter().filter(|(_, line)| is_subject(line));
        let workers: BTreeSet<_> = on_subject.filter_map(|(_, line)| worker_in(line)).collect();
        let concerns = |line: &str| {
            let is_on_worker = worker_in(line).is_some_and(|worker| workers.contains(worker));
            is_subject(line)
                || line.starts_with("leader ")
                || (is_on_worker && !line.contains("task="))
        };
        let lines = self.journal.iter().rev().filter(|(_, line)| concerns(line));
        let lines = lines
            .take(LISTED_EVENTS)
            .map(|(at_ms, line)| format!("{at_ms:>6} {line}"));
        let mut last: Vec<_> = lines.collect();
        last.reverse();
        last
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events
            .insert((at_ms.max(self.now_ms), self.next_event), event);
    }

    fn after(&mut self, delay: std::ops::Range<u64>, event: Event) {
        let at_ms = self.now_ms + self.random.random_range(delay);
        self.schedule(at_ms, event);
    }

    fn note(&mut self, line: String) {
        self.journal.push((self.now_ms, line));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.schedule(self.now_ms + TICK_MS, Event::Tick);
                self.drive_leader(Leader::tick);
            }
            Event::Commit { fencing_token } if fencing_token == self.fencing_token => self.commit(),
            Event::Commit { .. } => {}
            Event::LeaderElected => self.elect_leader(),
            Event::Fault(fault) => self.on_fault(fault),
            Event::Submit(number) => self.submit(number),
            Event::CancelLongRunning => self.cancel_long_running(),
            Event::RequestArrives(request) => self.on_request(request),
            Event::PollWaited { life, request } => self.answer_held_polls(life, Some(request)),
            Event::AnswerArrives {
                request,
                life,
                answer,
            } => self.on_answer(request, life, answer),
            Event::SendHeartbeat { life } => self.send_heartbeat(life),
            Event::HeartbeatArrives(heartbeat) => self.drive_leader(|leader, state| {
                leader.on_heartbeat(*heartbeat, state);
            }),
            Event::LeaseExpires { life } => self.expire_lease(life),
            Event::RunEnds {
                life,
                task,
                run,
                kind,
            } => self.end_run(life, task, run, kind),
            Event::WorkerCrashes { life } => self.shut_down(life, true),
            Event::WorkerJoins { slot } => self.join(slot),
            Event::Deregister { life } => self.deregister(life),
            Event::DepartureArrives { life } => self.on_departure(life),
            Event::WorkerLeaves { life } => self.shut_down(life, false),
        }
    }

    // The leader and its log.

    fn drive_leader(&mut self, input: impl FnOnce(&mut Leader, &JobsState)) {
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

    fn execute(&mut self, effect: Effect) {
        let handle = match &effect {
            Effect::Propose(command) => return self.propose(command.clone()),
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

    fn propose(&mut self, command: Command) {
        if self.leadership.is_none() {
            self.client_commands.push(command);
            return;
        }
        let earlier_ms = self.proposals.back().map_or(0, |(at_ms, _)| *at_ms);
        let at_ms = earlier_ms.max(self.now_ms + self.random.random_range(10..300));
        self.proposals.push_back((at_ms, command));
        let fencing_token = self.fencing_token;
        self.schedule(at_ms, Event::Commit { fencing_token });
    }

    fn commit(&mut self) {
        while let Some((_, command)) = self
            .proposals
            .pop_front_if(|(at_ms, _)| *at_ms <= self.now_ms)
        {
            self.apply(&command);
            self.drive_leader(|leader, state| leader.on_applied(&command, state));
        }
    }

    fn apply(&mut self, command: &Command) {
        self.state.apply(command.clone());
        if let Command::RecordRunEnds { life, ends } = command {
            for end in ends {
                self.note(format!(
                    "recorded task={} run={} kind={} worker={life}",
                    end.task,
                    end.run,
                    end.kind.as_str()
                ));
                self.check_job(end.task.job);
            }
        }
    }

    fn check_job(&mut self, key: JobKey) {
        let failed = Some(JobStatus::Failed);
        if self.state.jobs.get(&key).map(Job::status) == failed {
            self.facts.on_job_failed(key, ATTEMPTS, self.now_ms);
        }
    }

    /// Ends the leadership; a part of its proposals is committed, the others are lost.
    fn lose_leader(&mut self, absent_ms: u64) {
        if self.leadership.take().is_none() {
            return;
        }
        self.note("leader lost".to_owned());
        self.requests.clear();
        let committed = self.random.random_range(0..=self.proposals.len());
        for (number, (_, command)) in std::mem::take(&mut self.proposals).into_iter().enumerate() {
            if number < committed {
                self.apply(&command);
            } else if matches!(command, Command::Submit { .. } | Command::Cancel(_)) {
                self.client_commands.push(command);
            }
        }
        self.schedule(self.now_ms + absent_ms, Event::LeaderElected);
    }

    fn elect_leader(&mut self) {
        self.fencing_token += self.random.random_range(1..=3);
        self.state.apply(Command::Lead);
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

    fn submit(&mut self, number: usize) {
        let job = &self.plan.jobs[number];
        self.propose(Command::Submit {
            job: job.key,
            queue: plan::queue_key(),
            spec: job.spec.clone(),
            at_ms: self.now_ms + WALL_CLOCK_MS,
        });
    }

    fn cancel_long_running(&mut self) {
        let jobs = self.plan.jobs.iter().filter(|job| job.long_running);
        let keys: Vec<_> = jobs.map(|job| job.key).collect();
        for key in keys {
            self.propose(Command::Cancel(key));
        }
    }

    fn check_progress(&mut self) {
        for job in self.plan.jobs.iter().filter(|job| !job.long_running) {
            let status = self.state.jobs.get(&job.key).map(Job::status);
            if status == Some(JobStatus::Completed) {
                self.counts.completed += 1;
            } else if !self.facts.may_fail(job.key, ATTEMPTS) && !self.plan.is_deadly(job.key) {
                self.facts.on_unfinished(job.key, status, self.now_ms);
            }
        }
    }

    // Requests to workers and their answers.

    fn send(&mut self, handle: WorkerHandle, life: usize, effect: Effect) {
        self.next_event += 1;
        let id = self.next_event;
        self.requests.insert(id, (handle, effect.clone()));
        let slot = self.slots[self.workers[life].slot];
        let (is_cut, is_lossy) = (
            self.now_ms < slot.cut_until_ms,
            self.now_ms < slot.lossy_until_ms,
        );
        let (wait_ms, is_list) = match &effect {
            Effect::Poll(poll) => (poll.wait_ms, true),
            _ => (0, false),
        };
        // In a lossy period, requests queue behind others without an answer.
        let queued_ms = if is_lossy && !is_list && self.random.random_ratio(1, 4) {
            self.random.random_range(0..1_000)
        } else {
            0
        };
        let unknown = if is_list {
            Answer::List(Err(WorkerResponse::Unknown))
        } else {
            Answer::Run(WorkerResponse::Unknown)
        };
        let timeout_ms = self.now_ms + queued_ms + wait_ms + REQUEST_TIMEOUT_MS;
        self.schedule(
            timeout_ms,
            Event::AnswerArrives {
                request: id,
                life,
                answer: unknown,
            },
        );
        let is_harmed =
            is_cut || (is_lossy && self.random.random_ratio(self.plan.harmed_percent, 100));
        let mut delay_ms = queued_ms + self.random.random_range(1..4);
        if is_harmed {
            match self.random.random_range(0..if is_cut { 6 } else { 10 }) {
                0..4 => delay_ms = self.random.random_range(2_000..12_000),
                4..6 => return,
                _ => {}
            }
        }
        self.counts.late_requests += u64::from(delay_ms >= 2_000);
        let request = Request {
            id,
            life,
            fencing_token: self.fencing_token,
            effect,
            is_answered: !is_harmed,
        };
        self.schedule(self.now_ms + delay_ms, Event::RequestArrives(request));
    }

    fn on_request(&mut self, request: Request) {
        let current = self.slots[self.workers[request.life].slot].life;
        let failure = if !self.workers[current].is_up {
            let is_refused = self.random.random_ratio(1, 2);
            if is_refused {
                WorkerResponse::NotSent
            } else {
                WorkerResponse::Unknown
            }
        } else if current != request.life {
            WorkerResponse::OtherIncarnation
        } else if !self.workers[current].accepts(request.fencing_token) {
            WorkerResponse::Refused {
                clock_ms: Some(self.workers[current].clock_ms(self.now_ms)),
                refusal: Refusal::Fenced,
            }
        } else {
            return match &request.effect {
                Effect::Start(start) => self.on_start(&request, start),
                Effect::Stop { task, run, .. } => self.on_stop(&request, *task, *run),
                Effect::Poll(poll) => self.on_poll(&request, poll),
                _ => {}
            };
        };
        let answer = match request.effect {
            Effect::Poll(_) => Answer::List(Err(failure)),
            _ => Answer::Run(failure),
        };
        self.answer(&request, answer);
    }

    fn on_start(&mut self, request: &Request, start: &StartRequest) {
        let (life, now_ms, task, run) = (request.life, self.now_ms, start.task, start.run);
        let worker = &mut self.workers[life];
        let limits = (self.settings.max_lease_ms, self.setup.refuses_overload);
        let outcome = worker.start(start, limits, now_ms);
        let clock_ms = worker.clock_ms(now_ms);
        let (lease_until_ms, lapse_at_ms) = (worker.lease_until_ms, worker.lapse_at_ms());
        let incarnation = worker.incarnation.clone();
        self.note(format!(
            "start task={task} run={run} worker={incarnation} outcome={outcome:?} clock_ms={clock_ms} lease_until_ms={lease_until_ms}"
        ));
        self.schedule(lapse_at_ms, Event::LeaseExpires { life });
        if outcome == Ok(true) {
            self.begin_run(life, start);
        }
        let response = match outcome {
            Ok(_) => WorkerResponse::Accepted { clock_ms },
            Err(refusal) => WorkerResponse::Refused {
                clock_ms: Some(clock_ms),
                refusal,
            },
        };
        self.answer(request, Answer::Run(response));
    }

    /// Checks the rules on a start that has taken effect, and decides how the run goes.
    fn begin_run(&mut self, life: usize, request: &StartRequest) {
        let (task, run) = (request.task, request.run);
        let step = &request.spec.steps[usize::from(task.step)];
        let dependencies = step.after.iter().flat_map(|before| {
            let count = request.spec.steps[usize::from(*before)].tasks;
            (0..count).map(|index| TaskId {
                step: *before,
                index,
                ..task
            })
        });
        let start = Start {
            at_ms: self.now_ms,
            task,
            run,
            life,
            long_running: step.long_running,
        };
        let dependencies: Vec<_> = dependencies.collect();
        let heartbeat_ms = self.settings.heartbeat_ms;
        self.facts
            .on_start(&start, &self.workers, &dependencies, heartbeat_ms);
        self.counts.starts += 1;
        let behaviour = self.plan.behaviours[&task];
        if let Some(after_ms) = behaviour.crash_after_ms {
            return self.schedule(self.now_ms + after_ms, Event::WorkerCrashes { life });
        }
        let kind = if self.random.random_ratio(behaviour.fail_percent, 100) {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        let is_endless = step.long_running && kind == EndKind::Done;
        if !is_endless {
            let duration_ms = behaviour.duration_ms.min(10_000);
            self.schedule(
                self.now_ms + duration_ms,
                Event::RunEnds {
                    life,
                    task,
                    run,
                    kind,
                },
            );
        }
    }

    fn on_stop(&mut self, request: &Request, task: TaskId, run: u64) {
        let (life, worker) = (request.life, &mut self.workers[request.life]);
        let clock_ms = worker.clock_ms(self.now_ms);
        let (stops, incarnation) = (worker.stop(task, run), worker.incarnation.clone());
        self.note(format!(
            "stop task={task} run={run} worker={incarnation} active={stops}"
        ));
        if stops {
            let kind = EndKind::Stopped;
            let longest_ms = self.settings.stop_ms;
            self.after(
                1..longest_ms,
                Event::RunEnds {
                    life,
                    task,
                    run,
                    kind,
                },
            );
        }
        self.answer(request, Answer::Run(WorkerResponse::Accepted { clock_ms }));
    }

    fn on_poll(&mut self, request: &Request, poll: &PollRequest) {
        let (life, now_ms) = (request.life, self.now_ms);
        let worker = &mut self.workers[life];
        worker.poll(poll, self.settings.max_lease_ms, now_ms);
        let lapse_at_ms = worker.lapse_at_ms();
        let is_held = poll.wait_ms > 0 && worker.ended.is_empty();
        if is_held {
            let is_answered = request.is_answered;
            worker.held_polls.push(HeldPoll {
                request: request.id,
                is_answered,
            });
        }
        let line = format!(
            "poll worker={} fencing_token={} deadline_ms={:?} acknowledged_upto={} clock_ms={} lease_until_ms={}",
            worker.incarnation,
            request.fencing_token,
            poll.deadline_ms,
            poll.acknowledged_upto,
            worker.clock_ms(now_ms),
            worker.lease_until_ms,
        );
        self.note(line);
        self.schedule(lapse_at_ms, Event::LeaseExpires { life });
        self.facts
            .on_acknowledged(life, poll.acknowledged_upto, &self.workers);
        if is_held {
            self.schedule(
                now_ms + poll.wait_ms,
                Event::PollWaited {
                    life,
                    request: request.id,
                },
            );
        } else {
            let list = self.workers[life].list(now_ms);
            self.answer(request, Answer::List(Ok(list)));
        }
    }

    /// Answers the poll with an id, or all polls that a worker holds.
    fn answer_held_polls(&mut self, life: usize, request: Option<u64>) {
        let worker = &mut self.workers[life];
        let is_due = |held: &HeldPoll| request.is_none_or(|request| request == held.request);
        let due: Vec<_> = worker
            .held_polls
            .extract_if(.., |held| is_due(held))
            .collect();
        let list = worker.list(self.now_ms);
        for held in due.into_iter().filter(|held| held.is_answered) {
            let (request, answer) = (held.request, Answer::List(Ok(list.clone())));
            self.after(
                1..4,
                Event::AnswerArrives {
                    request,
                    life,
                    answer,
                },
            );
        }
    }

    fn answer(&mut self, request: &Request, answer: Answer) {
        if request.is_answered {
            let (request, life) = (request.id, request.life);
            self.after(
                1..4,
                Event::AnswerArrives {
                    request,
                    life,
                    answer,
                },
            );
        }
    }

    fn on_answer(&mut self, request: u64, life: usize, answer: Answer) {
        let is_cut = self.now_ms < self.slots[self.workers[life].slot].cut_until_ms;
        let is_response = !matches!(
            answer,
            Answer::Run(WorkerResponse::Unknown | WorkerResponse::NotSent)
                | Answer::List(Err(WorkerResponse::Unknown | WorkerResponse::NotSent))
        );
        if is_cut && is_response {
            return;
        }
        let Some((handle, effect)) = self.requests.remove(&request) else {
            return;
        };
        self.drive_leader(|leader, state| match (effect, answer) {
            (Effect::Start(start), Answer::Run(response)) => {
                leader.on_start_response(&start, &response, state);
            }
            (Effect::Poll(poll), Answer::List(list)) => {
                leader.on_poll_response(handle, poll.channel, list, state);
            }
            (_, Answer::Run(response)) => leader.on_run_response(handle, &response, state),
            (_, Answer::List(_)) => {}
        });
    }

    // Workers.

    fn join(&mut self, slot: usize) {
        let life = self.workers.len();
        let incarnation = IncarnationId {
            worker: format_smolstr!("i-{slot}-{life}"),
            started_at_ms: WALL_CLOCK_MS + self.now_ms,
        };
        let clock = (
            self.random.random_range(1_000..5_000_000),
            self.random.random_range(0..=20),
        );
        let capacity = self.slots[slot].capacity;
        self.note(format!("joins worker={incarnation}"));
        let worker = Worker::new((slot, incarnation), capacity, self.now_ms, clock);
        self.workers.push(worker);
        self.slots[slot].life = life;
        self.facts.on_capacity(life, self.now_ms, capacity);
        self.send_heartbeat(life);
    }

    fn send_heartbeat(&mut self, life: usize) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[life];
        if !worker.is_up || !worker.sends_heartbeats {
            return;
        }
        let heartbeat = worker.heartbeat(POOL, now_ms);
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
            return;
        }
        self.slots[slot].heartbeats_lost = 0;
        self.after(1..20, Event::HeartbeatArrives(Box::new(heartbeat)));
    }

    fn expire_lease(&mut self, life: usize) {
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

    fn end_run(&mut self, life: usize, task: TaskId, run: u64, kind: EndKind) {
        let Some(number) = self.workers[life].end(task, run, kind) else {
            return;
        };
        let incarnation = &self.workers[life].incarnation;
        self.note(format!(
            "end {number} task={task} run={run} worker={incarnation} kind={}",
            kind.as_str()
        ));
        self.facts.on_end(life, task, run, (kind, number));
        self.answer_held_polls(life, None);
    }

    fn shut_down(&mut self, life: usize, is_crash: bool) {
        if !self.workers[life].is_up {
            return;
        }
        let runs = self.workers[life].shut_down();
        let incarnation = self.workers[life].incarnation.clone();
        self.note(format!("down worker={incarnation} crash={is_crash}"));
        for (task, run) in &runs {
            self.note(format!("lost task={task} run={run} worker={incarnation}"));
        }
        self.facts.on_shutdown(life, &runs, is_crash);
        self.counts.crashes += u64::from(is_crash);
        let slot = self.workers[life].slot;
        self.after(2_000..4_000, Event::WorkerJoins { slot });
    }

    fn on_fault(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        match fault {
            Fault::Lossy { slot, lasts_ms } => {
                let slot = &mut self.slots[slot];
                slot.lossy_until_ms = slot.lossy_until_ms.max(now_ms + lasts_ms);
            }
            Fault::Cut { slot, lasts_ms } => {
                let slot = &mut self.slots[slot];
                slot.cut_until_ms = slot.cut_until_ms.max(now_ms + lasts_ms);
                let incarnation = self.workers[slot.life].incarnation.clone();
                self.note(format!("cut worker={incarnation} lasts_ms={lasts_ms}"));
            }
            Fault::Crash { slot } => self.shut_down(self.slots[slot].life, true),
            Fault::Drain { slot } => self.drain(self.slots[slot].life),
            Fault::LeaderLost { absent_ms } => self.lose_leader(absent_ms),
            Fault::Capacity { slot, percent } => self.change_capacity(slot, percent),
        }
    }

    fn change_capacity(&mut self, slot: usize, percent: u64) {
        let capacity = Resources {
            cpu_millis: FULL_CAPACITY.cpu_millis * percent / 100,
            ..FULL_CAPACITY
        };
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
    fn drain(&mut self, life: usize) {
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
    fn deregister(&mut self, life: usize) {
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

    fn on_departure(&mut self, life: usize) {
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
