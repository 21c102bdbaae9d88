//! A leader, its log and its workers in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use jasminefall_jobs::leader::{
    Advice, AdviceFailure, AdviceRequestId, LeaderSettings, WorkerHandle,
};
use jasminefall_jobs::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::advice::Tickets;
use self::waits::Waits;
use super::plan::{self, Fault, Plan, Setup};
use super::rules::{Facts, Violation};
use super::worker::Worker;

mod advice;
mod fleet;
mod gangs;
mod log;
mod requests;
mod waits;

const TICK_MS: u64 = 10;
/// The most leaders that are lost after the one of [`LeaderLoss::BeforeCommand`].
const FURTHER_LOSSES: u32 = 3;
/// The most events that are listed for a broken rule.
const LISTED_EVENTS: usize = 40;
/// Time after which a request without an answer has failed, beyond the wait that it asks for.
const REQUEST_TIMEOUT_MS: u64 = 400;
const WALL_CLOCK_MS: u64 = 1_700_000_000_000;

/// A request of a leader on its way to the worker with the index `life`.
#[derive(Debug, Clone)]
struct Request {
    id: u64,
    life: usize,
    /// The index of the incarnation that the leader has sent it to.
    meant_for: usize,
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
    /// The leader is lost before the command with this number is committed.
    LeaderLostBefore {
        fencing_token: u64,
        number: u64,
    },
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
    /// A run of a gang ends if other members haven't started.
    CheckGang {
        life: usize,
        task: TaskId,
        run: u64,
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
    /// The result of a request to the advice service.
    AdviceArrives {
        fencing_token: u64,
        id: AdviceRequestId,
        result: Result<Advice, AdviceFailure>,
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
    /// How far the wall clock of the next incarnation goes back.
    clock_back_ms: u64,
    pool: &'static str,
}

/// Counts what happened, so that a test can tell that it tried what it is for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) starts: u64,
    /// Jobs without a task that crashes its workers, by their final status.
    pub(crate) completed: u64,
    pub(crate) failed: u64,
    pub(crate) crashes: u64,
    /// Runs that were lost with their worker.
    pub(crate) lost_runs: u64,
    pub(crate) lapses: u64,
    pub(crate) leaderships: u64,
    /// Leaders that were lost because of what they had proposed.
    pub(crate) log_cuts: u64,
    pub(crate) late_requests: u64,
    /// Requests that a later incarnation than the intended one has received.
    pub(crate) taken_by_successor: u64,
    /// The starts among them that have taken effect.
    pub(crate) started_by_successor: u64,
    pub(crate) departures: u64,
    pub(crate) capacity_changes: u64,
    pub(crate) advice: u64,
}

impl Counts {
    pub(crate) const fn add(&mut self, other: &Self) {
        self.starts += other.starts;
        self.completed += other.completed;
        self.failed += other.failed;
        self.lost_runs += other.lost_runs;
        self.crashes += other.crashes;
        self.lapses += other.lapses;
        self.leaderships += other.leaderships;
        self.log_cuts += other.log_cuts;
        self.late_requests += other.late_requests;
        self.taken_by_successor += other.taken_by_successor;
        self.started_by_successor += other.started_by_successor;
        self.departures += other.departures;
        self.capacity_changes += other.capacity_changes;
        self.advice += other.advice;
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
    /// The number of commands that leaders have proposed.
    proposed: u64,
    /// The numbers of the commands that were proposed while workers were being replaced.
    boundaries: Vec<u64>,
    /// The most leaders that can still be lost after the one of [`LeaderLoss::BeforeCommand`].
    further_losses: u32,
    /// Commands of clients that no leader has taken.
    client_commands: Vec<Command>,
    /// Requests of the current leader without an answer.
    requests: BTreeMap<u64, (WorkerHandle, Effect)>,
    /// All incarnations so far.
    workers: Vec<Worker>,
    slots: Vec<Slot>,
    tickets: Tickets,
    facts: Facts,
    waits: Waits,
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
        let configuration = plan::configuration(&setup);
        state.apply(Command::Configure(Arc::new(configuration)));
        let slots = plan.capacities.iter().map(|capacity| Slot {
            life: 0,
            capacity: *capacity,
            lossy_until_ms: 0,
            cut_until_ms: 0,
            heartbeats_lost: 0,
            clock_back_ms: 0,
            pool: plan::POOL,
        });
        let slots = slots.collect();
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
            proposed: 0,
            boundaries: Vec::new(),
            further_losses: FURTHER_LOSSES,
            client_commands: Vec::new(),
            requests: BTreeMap::new(),
            workers: Vec::new(),
            slots,
            tickets: Tickets::default(),
            facts: Facts::default(),
            waits: Waits::default(),
            counts: Counts::default(),
            journal: Vec::new(),
        };
        world.schedule_plan();
        world
    }

    fn schedule_plan(&mut self) {
        self.schedule(0, Event::LeaderElected);
        self.schedule(0, Event::Tick);
        for slot in 0..self.slots.len() {
            self.schedule(0, Event::WorkerJoins { slot });
        }
        for number in 0..self.plan.jobs.len() {
            self.schedule(self.plan.jobs[number].submit_at_ms, Event::Submit(number));
        }
        for (at_ms, fault) in self.plan.faults.clone() {
            self.schedule(at_ms, Event::Fault(fault));
        }
        self.schedule(self.setup.calm_from_ms, Event::CancelLongRunning);
    }

    /// Plays the schedule to its end or to the first broken rule.
    pub(crate) fn run(&mut self) -> Result<Counts, Violation> {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > self.setup.end_ms {
                break;
            }
            self.now_ms = at_ms;
            let may_be_over = matches!(event, Event::Tick) && self.setup.replacements.is_some();
            self.on_event(event);
            if may_be_over && self.is_over() {
                break;
            }
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

    /// Returns the numbers of the commands that were proposed while workers were being replaced, and of the
    /// first one after each such period.
    pub(crate) fn boundaries(&self) -> Vec<u64> {
        let boundaries: BTreeSet<_> = self.boundaries.iter().copied().collect();
        let with_next = boundaries.iter().flat_map(|number| [*number, *number + 1]);
        let with_next: BTreeSet<_> = with_next.filter(|number| *number < self.proposed).collect();
        with_next.into_iter().collect()
    }

    /// Returns whether a leader was lost because of [`LeaderLoss::BeforeCommand`].
    pub(crate) const fn has_cut_log(&self) -> bool {
        self.counts.log_cuts > 0
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
                if self.setup.checks_waits && self.now_ms.is_multiple_of(waits::CHECK_INTERVAL_MS) {
                    self.check_waits();
                }
            }
            Event::Commit { fencing_token } if fencing_token == self.fencing_token => self.commit(),
            Event::Commit { .. } => {}
            Event::LeaderElected => self.elect_leader(),
            Event::LeaderLostBefore {
                fencing_token,
                number,
            } => {
                if fencing_token == self.fencing_token && self.leadership.is_some() {
                    self.lose_leader_before(number);
                }
            }
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
            Event::CheckGang { life, task, run } => self.check_gang(life, task, run),
            Event::WorkerCrashes { life } => self.shut_down(life, true),
            Event::WorkerJoins { slot } => self.join(slot),
            Event::Deregister { life } => self.deregister(life),
            Event::DepartureArrives { life } => self.on_departure(life),
            Event::WorkerLeaves { life } => self.shut_down(life, false),
            Event::AdviceArrives {
                fencing_token,
                id,
                result,
            } if fencing_token == self.fencing_token => {
                self.counts.advice += 1;
                self.drive_leader(|leader, _| leader.on_advice(id, result));
            }
            Event::AdviceArrives { .. } => {}
        }
    }
}
