//! No start brings a worker that accepts overload over its capacity, which may shrink and grow.

use std::collections::BTreeMap;

use jasminefall_jobs::leader::StartRequest;
use jasminefall_jobs::prelude::*;
use proptest::prelude::*;
use smol_str::{SmolStr, format_smolstr};

use crate::harness::{CAPACITY, Harness, job, long_running_job};

const WORKER: &str = "i-0";

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1_000,
        ..CAPACITY
    }
}

/// Returns a site with workers of 16 cores that start whatever they are told to.
fn accepting_overload(workers: usize) -> Harness {
    let mut harness = Harness::new(workers);
    harness.accept_overload();
    harness.send_heartbeats();
    harness
}

#[test]
fn shrunk_capacity_applies_from_the_next_heartbeat() {
    let mut harness = accepting_overload(1);
    harness.set_capacity(WORKER, cores(4));
    harness.send_heartbeats();
    harness.submit(1, job(&[10], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// Waiting tasks start with the heartbeat that reports the growth, not with a later tick.
#[test]
fn grown_capacity_is_used_at_once() {
    let mut harness = accepting_overload(1);
    harness.set_capacity(WORKER, Resources::default());
    harness.send_heartbeats();
    harness.submit(1, job(&[10], 1_000));
    assert!(harness.take_starts().is_empty());
    harness.set_capacity(WORKER, cores(6));
    harness.send_heartbeats();
    assert_eq!(harness.take_starts().len(), 6);
}

/// The stored heartbeat of a new leader does not show that the worker has shrunk since.
#[test]
fn new_leader_awaits_a_heartbeat_before_it_relies_on_a_capacity() {
    let mut harness = accepting_overload(1);
    harness.set_capacity(WORKER, cores(4));
    harness.change_leader();
    harness.answer_polls();
    harness.submit(1, job(&[10], 1_000));
    assert!(harness.take_starts().is_empty());
    harness.send_heartbeats();
    harness.advance(100);
    assert_eq!(harness.take_starts().len(), 4);
}

#[test]
fn new_leader_knows_the_capacity_that_its_predecessor_was_told_last() {
    let mut harness = Harness::new(1);
    harness.set_capacity(WORKER, cores(4));
    harness.advance(1_000);
    harness.change_leader();
    harness.answer_polls();
    harness.submit(1, job(&[10], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// The worker may have shrunk right after its last heartbeat; the start takes effect within 0.8 s.
#[test]
fn capacity_from_before_missed_heartbeats_is_not_relied_on() {
    let mut harness = accepting_overload(1);
    harness.stop_heartbeats(WORKER);
    harness.advance(3_500);
    harness.submit(1, job(&[1], 1_000));
    assert_eq!(harness.take_starts().len(), 1, "two heartbeats are missing");
    harness.advance(200);
    harness.submit(2, job(&[1], 1_000));
    assert!(harness.take_starts().is_empty());
    harness.resume_heartbeats(WORKER);
    harness.advance(100);
    assert_eq!(harness.take_starts().len(), 1);
}

/// A delayed heartbeat shows that the worker was there, but not what its capacity is now.
#[test]
fn delayed_heartbeat_does_not_confirm_the_capacity() {
    let mut harness = accepting_overload(1);
    let sent_at_ms = harness.worker_clock_ms();
    harness.stop_heartbeats(WORKER);
    harness.advance(4_000);
    harness.heartbeat_with(0, |heartbeat| {
        heartbeat.clock_ms = sent_at_ms + 50;
        heartbeat.sequence = sent_at_ms + 50;
    });
    harness.submit(1, job(&[1], 1_000));
    assert!(harness.take_starts().is_empty());
}

/// Guards against a capacity that a later heartbeat has replaced.
#[test]
fn overtaken_heartbeat_does_not_restore_the_capacity() {
    let mut harness = accepting_overload(1);
    let sent_at_ms = harness.worker_clock_ms();
    harness.set_capacity(WORKER, cores(4));
    harness.advance(100);
    harness.send_heartbeats();
    harness.heartbeat_with(0, |heartbeat| {
        heartbeat.capacity = CAPACITY;
        heartbeat.sequence = sent_at_ms + 50;
    });
    harness.submit(1, job(&[10], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// The replicated state does not tell what the tasks of an ended job need.
#[test]
fn nothing_is_placed_beside_a_run_of_unknown_needs() {
    let mut harness = accepting_overload(1);
    harness.submit(1, job(&[1], 12_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.state.apply(Command::Cancel(JobKey(1)));
    harness.change_leader();
    harness.send_heartbeats();
    harness.answer_polls();
    harness.submit(2, job(&[1], 8_000));
    assert!(harness.take_starts().is_empty());
    harness.end_run(&starts[0], EndKind::Stopped);
    assert_eq!(harness.take_starts().len(), 1);
}

/// The record of a workspace's job bounds what its runs need, so that the rest of the worker is used.
#[test]
fn run_of_an_ended_job_of_a_workspace_counts_as_its_largest_task() {
    let mut harness = Harness::new(1);
    let workspace = Workspace {
        name: WorkspaceName::new("first"),
        keys: vec![ApiKeyDigest::of("key")],
        weight: "100".parse().unwrap(),
        cap: ResourceCap::default(),
    };
    harness.configure_workspaces(2, vec![workspace]);
    harness.submit_with_key(1, "key", job(&[1], 12_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.state.apply(Command::Cancel(JobKey(1)));
    harness.change_leader();
    harness.send_heartbeats();
    harness.answer_polls();
    harness.submit_with_key(2, "key", job(&[6], 1_000));
    assert_eq!(harness.take_starts().len(), 4);
}

/// A best-effort task needs memory only, which is free, but the worker has less processor time than its
/// runs need.
#[test]
fn nothing_is_placed_on_a_worker_whose_runs_exceed_its_capacity() {
    let mut harness = accepting_overload(1);
    harness.submit(1, job(&[8], 1_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.set_capacity(WORKER, cores(4));
    harness.send_heartbeats();
    let mut best_effort = job(&[1], 1_000);
    best_effort.steps[0].best_effort = true;
    harness.submit(2, best_effort);
    assert!(harness.take_starts().is_empty());
    for start in &starts[..4] {
        harness.end_run(start, EndKind::Done);
    }
    assert_eq!(harness.take_starts().len(), 1);
}

/// Work that has begun is not thrown away, and tasks that last stay available.
#[test]
fn shrink_below_what_runs_stops_nothing() {
    let mut harness = accepting_overload(1);
    harness.submit(1, long_running_job(4));
    harness.submit(2, job(&[4], 1_000));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 8);
    harness.accept_starts(&starts);
    harness.set_capacity(WORKER, cores(1));
    harness.advance(5_000);
    assert!(harness.take_stops().is_empty());
    assert!(harness.take_starts().is_empty());
}

/// A shrunk worker has no room for the job now, but may have it later.
#[test]
fn job_that_fits_no_worker_any_more_starts_once_one_has_grown() {
    let mut harness = accepting_overload(1);
    harness.submit(1, job(&[1], 8_000));
    let starts = harness.take_starts();
    harness.accept_starts(&starts);
    harness.set_capacity(WORKER, cores(4));
    harness.send_heartbeats();
    harness.end_run(&starts[0], EndKind::Failed);
    harness.advance(10_000);
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.status(1), Some(JobStatus::Running));
    harness.set_capacity(WORKER, cores(8));
    harness.send_heartbeats();
    assert_eq!(harness.take_starts().len(), 1);
}

const WORKERS: usize = 2;
/// The time after a shrink for which the earlier capacity still counts, in milliseconds.
const SHRINK_NOTICE_MS: u64 = 4_500;

#[derive(Debug, Clone)]
enum Event {
    Submit {
        tasks: u32,
        cores: u64,
        best_effort: bool,
    },
    Accept,
    AcceptUnanswered,
    Lose,
    End(EndKind),
    Cancel,
    ChangeLeader,
    SetCapacity {
        worker: usize,
        cores: u64,
    },
    StopHeartbeats(usize),
    ResumeHeartbeats(usize),
    DelayedHeartbeat {
        worker: usize,
        sent_ago_ms: u64,
    },
    CutOff(usize),
    Reconnect(usize),
    Wait {
        duration_ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let submit = (1_u32..6, 1_u64..9, prop::bool::weighted(0.2));
    let submit = submit.prop_map(|(tasks, cores, best_effort)| Event::Submit {
        tasks,
        cores,
        best_effort,
    });
    let kinds = [EndKind::Done, EndKind::Failed, EndKind::Stopped];
    let capacity = (0..WORKERS, 0_u64..17);
    prop_oneof![
        4 => submit,
        8 => Just(Event::Accept),
        1 => Just(Event::AcceptUnanswered),
        1 => Just(Event::Lose),
        4 => prop::sample::select(kinds.to_vec()).prop_map(Event::End),
        1 => Just(Event::Cancel),
        1 => Just(Event::ChangeLeader),
        2 => capacity.prop_map(|(worker, cores)| Event::SetCapacity { worker, cores }),
        1 => (0..WORKERS).prop_map(Event::StopHeartbeats),
        1 => (0..WORKERS).prop_map(Event::ResumeHeartbeats),
        1 => (0..WORKERS, 0_u64..60).prop_map(|(worker, hundreds)| Event::DelayedHeartbeat {
            worker,
            sent_ago_ms: hundreds * 100,
        }),
        1 => (0..WORKERS).prop_map(Event::CutOff),
        2 => (0..WORKERS).prop_map(Event::Reconnect),
        4 => (1_u64..25).prop_map(|hundreds| Event::Wait {
            duration_ms: hundreds * 100,
        }),
    ]
}

fn reserved(start: &StartRequest) -> Resources {
    start.spec.steps[usize::from(start.task.step)].reserved()
}

/// Holds what runs on the workers and their capacities, observed from outside the leader.
struct Observer {
    harness: Harness,
    /// The starts that have not reached their worker.
    requested: Vec<StartRequest>,
    active: BTreeMap<TaskId, (SmolStr, StartRequest)>,
    /// Each capacity of each worker, and the time since when it has it.
    capacities: BTreeMap<SmolStr, Vec<(u64, Resources)>>,
    jobs: u64,
}

impl Observer {
    fn new() -> Self {
        let harness = accepting_overload(WORKERS);
        let names = (0..WORKERS).map(|number| format_smolstr!("i-{number}"));
        Self {
            capacities: names.map(|name| (name, vec![(0, CAPACITY)])).collect(),
            harness,
            requested: Vec::new(),
            active: BTreeMap::new(),
            jobs: 0,
        }
    }

    /// Returns the most that a worker may hold now, with each capacity that it had within the notice.
    fn counted_capacity(&self, name: &str) -> Resources {
        let since_ms = self.harness.worker_clock_ms() - SHRINK_NOTICE_MS;
        let capacities = &self.capacities[name];
        let until_ms = capacities.iter().skip(1).map(|(from_ms, _)| *from_ms);
        let counted = capacities
            .iter()
            .zip(until_ms.chain([u64::MAX]))
            .filter(|(_, until_ms)| *until_ms >= since_ms);
        counted.fold(Resources::default(), |counted, ((_, capacity), _)| {
            counted.component_max(capacity)
        })
    }

    fn capacity_at(&self, name: &str, at_ms: u64) -> Resources {
        let capacities = self.capacities[name].iter();
        let mut until = capacities.filter(|(from_ms, _)| *from_ms <= at_ms);
        until
            .next_back()
            .map_or(CAPACITY, |(_, capacity)| *capacity)
    }

    fn used(&self, name: &str) -> Resources {
        let on_worker = self.active.values().filter(|(worker, _)| worker == name);
        on_worker.fold(Resources::default(), |sum, (_, start)| {
            sum.plus(&reserved(start))
        })
    }

    /// Collects the starts that can still take effect.
    fn collect_starts(&mut self) {
        self.requested.extend(self.harness.take_starts());
        let clock_ms = self.harness.worker_clock_ms();
        self.requested.retain(|start| start.deadline_ms >= clock_ms);
    }

    fn carry_out_start(&mut self, is_answered: bool) {
        let Some(start) = self.requested.pop() else {
            return;
        };
        let name = self.harness.worker_name(&start);
        if self.harness.is_cut_off(&name) {
            return self.harness.lose_start_response(&start);
        }
        if is_answered {
            self.harness.accept_start(&start);
        } else {
            self.harness.accept_start_unanswered(&start);
        }
        let task = start.task;
        let earlier = self.active.insert(task, (name.clone(), start));
        assert!(earlier.is_none(), "two runs of {task} are active");
        let (counted, used) = (self.counted_capacity(&name), self.used(&name));
        assert!(
            counted.can_fit(&used),
            "{name} runs {used:?} on {counted:?}"
        );
    }

    fn end_run(&mut self, kind: EndKind) {
        if let Some((_, (name, start))) = self.active.pop_first() {
            self.harness.end_on_worker(&name, &start, kind);
            self.harness.answer_polls();
        }
    }

    fn end_runs_of_expired_leases(&mut self) {
        let harness = &mut self.harness;
        self.active.retain(|_, (name, start)| {
            let is_expired = harness.has_expired_lease(name);
            if is_expired {
                harness.end_on_worker(name, start, EndKind::Lapsed);
            }
            !is_expired
        });
    }

    fn wait(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 100 {
            self.harness.advance(100);
            self.end_runs_of_expired_leases();
            for _ in 0..WORKERS {
                self.harness.answer_polls();
            }
        }
    }

    fn on_event(&mut self, event: &Event) {
        let name_of = |worker: usize| format_smolstr!("i-{worker}");
        match *event {
            Event::Submit {
                tasks,
                cores,
                best_effort,
            } => {
                self.jobs += 1;
                let mut job = job(&[tasks], cores * 1_000);
                job.steps[0].best_effort = best_effort;
                self.harness.submit(self.jobs, job);
            }
            Event::Accept => self.carry_out_start(true),
            Event::AcceptUnanswered => self.carry_out_start(false),
            Event::Lose => {
                if let Some(start) = self.requested.pop() {
                    self.harness.lose_start_response(&start);
                }
            }
            Event::End(kind) => self.end_run(kind),
            Event::Cancel => self.harness.apply(Command::Cancel(JobKey(self.jobs))),
            Event::ChangeLeader => {
                // The workers refuse the requests of the earlier leader.
                self.requested.clear();
                self.harness.change_leader();
            }
            Event::SetCapacity { worker, cores: now } => {
                let (name, at_ms) = (name_of(worker), self.harness.worker_clock_ms());
                self.harness.set_capacity(&name, cores(now));
                let capacities = self.capacities.entry(name).or_default();
                capacities.push((at_ms, cores(now)));
            }
            Event::StopHeartbeats(worker) => self.harness.stop_heartbeats(&name_of(worker)),
            Event::ResumeHeartbeats(worker) => self.harness.resume_heartbeats(&name_of(worker)),
            Event::DelayedHeartbeat {
                worker,
                sent_ago_ms,
            } => {
                let sent_at_ms = self.harness.worker_clock_ms() - sent_ago_ms;
                let capacity = self.capacity_at(&name_of(worker), sent_at_ms);
                self.harness.heartbeat_with(worker, |heartbeat| {
                    heartbeat.capacity = capacity;
                    heartbeat.clock_ms = sent_at_ms;
                    heartbeat.sequence = sent_at_ms;
                });
            }
            Event::CutOff(worker) => self.harness.cut_off(&name_of(worker)),
            Event::Reconnect(worker) => self.harness.reconnect(&name_of(worker)),
            Event::Wait { duration_ms } => self.wait(duration_ms),
        }
        self.collect_starts();
    }

    /// Restores the capacities, and carries out and ends everything; returns how many tasks of one core
    /// the workers then hold.
    fn drained_room(&mut self) -> usize {
        for worker in 0..WORKERS {
            self.on_event(&Event::Reconnect(worker));
            self.on_event(&Event::ResumeHeartbeats(worker));
            let cores = 16;
            self.on_event(&Event::SetCapacity { worker, cores });
        }
        // The longest quarantine of a worker on which tasks failed lasts 16 s.
        for _ in 0..40 {
            self.on_event(&Event::Wait { duration_ms: 500 });
            while !self.requested.is_empty() {
                self.carry_out_start(true);
            }
            while !self.active.is_empty() {
                self.end_run(EndKind::Done);
            }
        }
        self.collect_starts();
        self.jobs += 1;
        self.harness.submit(self.jobs, job(&[100], 1_000));
        self.collect_starts();
        self.requested.len()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// No start brings a worker over a capacity of which the leader could know, and no room is lost.
    #[test]
    fn no_start_exceeds_the_capacity_of_its_worker(events in prop::collection::vec(event(), 1..80)) {
        let mut observer = Observer::new();
        for event in events {
            observer.on_event(&event);
        }
        prop_assert_eq!(observer.drained_room(), WORKERS * 16);
    }
}
