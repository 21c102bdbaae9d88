//! Measures commits per second of three replicas with real files and a delay of 1 ms per message,
//! and the time to start from existing files.
//!
//! Run it with `cargo run --release -p jasminefall-replica --example measure_commits`; it takes about
//! a minute.

use std::collections::BinaryHeap;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use jasminefall_replica::prelude::*;

const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Time to form the group and elect a leader; commits during it are not counted.
const WARM_UP_TIME: Duration = Duration::from_secs(1);
const MEASURED_TIME: Duration = Duration::from_secs(2);
const ROUND_COUNT: usize = 3;
const COMMAND_BYTES: usize = 200;
/// The numbers of proposed but uncommitted commands to measure with.
const OUTSTANDING_COMMANDS: [usize; 5] = [1, 8, 64, 512, 4_096];
/// The entries between two snapshots in the measurement of the start.
const COMPACT_AFTER_ENTRIES: u64 = 10_000;

/// A message and its arrival time; the earliest arrival is the greatest, for use in a max-heap.
struct Arrival(Instant, Message);

impl PartialEq for Arrival {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for Arrival {}
impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.0.cmp(&self.0)
    }
}

/// A replica with its files, run on its own thread.
struct Member {
    replica: Replica,
    storage: Storage,
    start: Instant,
    outstanding: usize,
    pending: Vec<(LogIndex, Instant)>,
    latencies_us: Vec<u64>,
    network: Vec<Sender<Arrival>>,
}

impl Member {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn run(mut self, receiver: &Receiver<Arrival>, end: Instant) -> Vec<u64> {
        let mut in_flight = BinaryHeap::new();
        while Instant::now() < end {
            let next = in_flight.peek().map(|Arrival(at, _)| *at);
            let wait = next.map_or(Duration::from_millis(10), |at| {
                at.saturating_duration_since(Instant::now())
            });
            if let Ok(arrival) = receiver.recv_timeout(wait) {
                in_flight.push(arrival);
            }
            in_flight.extend(receiver.try_iter());
            while in_flight
                .peek()
                .is_some_and(|Arrival(at, _)| *at <= Instant::now())
            {
                let Some(Arrival(_, message)) = in_flight.pop() else {
                    break;
                };
                self.replica.step(self.now_ms(), message);
            }
            self.replica.tick(self.now_ms());
            self.process_ready();
            // Commits free capacity for new proposals, which are sent immediately.
            if self.propose() {
                self.process_ready();
            }
        }
        self.latencies_us
    }

    fn propose(&mut self) -> bool {
        let before = self.pending.len();
        while self.replica.is_leader() && self.pending.len() < self.outstanding {
            let command = vec![7; COMMAND_BYTES];
            match self.replica.propose(self.now_ms(), command) {
                Ok(index) => self.pending.push((index, Instant::now())),
                Err(_) => return false,
            }
        }
        self.pending.len() > before
    }

    fn process_ready(&mut self) {
        let ready = self.replica.take_ready();
        self.send(ready.messages);
        if ready.hard_state.is_some() || !ready.append.is_empty() {
            self.storage
                .store(ready.hard_state, &ready.append)
                .expect("writing to the data folder must succeed");
        }
        if let Some(last) = ready.append.last() {
            self.replica.mark_synced(last.index, last.term);
        }
        let id = self.replica.id();
        let (own, others): (Vec<_>, Vec<_>) = ready
            .messages_after_sync
            .into_iter()
            .partition(|message| message.to == id);
        self.send(others);
        let now_ms = self.now_ms();
        own.into_iter()
            .for_each(|message| self.replica.step(now_ms, message));
        let commit = self.replica.commit_index();
        let done = self.pending.partition_point(|(index, _)| *index <= commit);
        for (_, proposed) in self.pending.drain(..done) {
            let latency_us = u64::try_from(proposed.elapsed().as_micros()).unwrap_or(u64::MAX);
            if self.start.elapsed() >= WARM_UP_TIME {
                self.latencies_us.push(latency_us);
            }
        }
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            let to = message.to.0 as usize - 1;
            let _ = self.network[to].send(Arrival(Instant::now() + MESSAGE_DELAY, message));
        }
    }
}

/// Runs three replicas and returns the latency of each commit, in microseconds.
fn run_group(folder: &Path, outstanding: usize) -> Vec<u64> {
    let ids = [1, 2, 3].map(ReplicaId);
    let (senders, receivers): (Vec<_>, Vec<_>) = ids.iter().map(|_| channel()).unzip();
    let start = Instant::now();
    let end = start + WARM_UP_TIME + MEASURED_TIME;
    let threads: Vec<_> = ids
        .into_iter()
        .zip(receivers)
        .map(|(id, receiver)| {
            let (storage, recovered) =
                Storage::open(&folder.join(id.to_string()), Incarnation(id.0))
                    .expect("creating the data folder must succeed");
            let replica = Replica::new(id, Settings::default(), recovered, id.0);
            let member = Member {
                replica: replica.with_first_voters(ids),
                storage,
                start,
                outstanding,
                pending: Vec::new(),
                latencies_us: Vec::new(),
                network: senders.clone(),
            };
            std::thread::spawn(move || member.run(&receiver, end))
        })
        .collect();
    threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("a replica thread must not panic"))
        .collect()
}

fn percentile_ms(sorted_us: &[u64], per_mille: usize) -> f64 {
    let position = (sorted_us.len() * per_mille / 1_000).min(sorted_us.len().saturating_sub(1));
    sorted_us.get(position).copied().unwrap_or_default() as f64 / 1_000.0
}

fn measure_commits() {
    println!("outstanding  commits/s (each round)  p50 ms  p99 ms");
    let mut results = OUTSTANDING_COMMANDS.map(|_| (Vec::new(), Vec::new()));
    for _ in 0..ROUND_COUNT {
        for (outstanding, (rates, latencies)) in OUTSTANDING_COMMANDS.into_iter().zip(&mut results)
        {
            let folder = tempfile::tempdir().expect("creating the data folder must succeed");
            let taken = run_group(folder.path(), outstanding);
            rates.push(taken.len() as u64 / MEASURED_TIME.as_secs());
            latencies.extend(taken);
        }
    }
    for (outstanding, (rates, mut latencies)) in OUTSTANDING_COMMANDS.into_iter().zip(results) {
        latencies.sort_unstable();
        let (median_ms, tail_ms) = (
            percentile_ms(&latencies, 500),
            percentile_ms(&latencies, 990),
        );
        println!("{outstanding:11}  {rates:?}  {median_ms:.2}  {tail_ms:.2}");
    }
}

/// Fills a folder with changes, with or without snapshots, and returns the time to start from it.
fn measure_start(changes: u64, compacts: bool) -> Duration {
    let folder = tempfile::tempdir().expect("creating the data folder must succeed");
    let (mut storage, _) = Storage::open(folder.path(), Incarnation(1))
        .expect("creating the data folder must succeed");
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![7; COMMAND_BYTES]),
    };
    for first in (1..=changes).step_by(100) {
        let entries: Vec<_> = (first..first + 100).map(entry).collect();
        storage
            .store(None, &entries)
            .expect("writing to the data folder must succeed");
        let last = first + 99;
        if compacts && last % COMPACT_AFTER_ENTRIES == 0 {
            let snapshot = Snapshot {
                index: LogIndex(last),
                term: Term(1),
                membership: Membership::with_voters([ReplicaId(1)]),
                state: vec![7; 1 << 20],
            };
            storage
                .store_snapshot(&snapshot, &[])
                .expect("writing to the data folder must succeed");
        }
    }
    drop(storage);
    let start = Instant::now();
    let (_, recovered) = Storage::open(folder.path(), Incarnation(2))
        .expect("reopening the data folder must succeed");
    let mut replica = Replica::new(ReplicaId(1), Settings::default(), recovered, 1);
    replica.tick(0);
    start.elapsed()
}

fn main() {
    println!("start: changes, with snapshots, the whole history (naive)");
    for changes in [1_000, 10_000, 100_000] {
        let mut runs: Vec<_> = (0..5)
            .map(|_| (measure_start(changes, true), measure_start(changes, false)))
            .collect();
        runs.sort_unstable();
        println!("{changes:7} {:?} {:?}", runs[2].0, runs[2].1);
    }
    measure_commits();
}
