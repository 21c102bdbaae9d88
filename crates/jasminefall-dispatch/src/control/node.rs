//! The replica, its state and, where it leads, the leader's knowledge.
//!
//! - [`inner`]: what a node holds and carries out

mod inner;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use jasminefall_jobs::leader::{Leader, Now};
use jasminefall_jobs::policy::receivers::{HeartbeatReceiver, assign_receiver};
use jasminefall_jobs::prelude::*;
use jasminefall_platform::settings::PlatformSettings;
use jasminefall_replica::disk::{self, DiskCompletion};
use jasminefall_replica::prelude::*;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_wire::peers::Peers;
use smol_str::SmolStr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{oneshot, watch};

use self::inner::Inner;
use super::instances::PlatformClient;
use super::lines::AllLines;
use crate::forwarding::Forwarder;
use crate::http::budget::ConnectionBudget;
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::settings::{address_of, peer_address, replica_at, site_key};

/// How often the clock moves the replica and the leader on.
const TICK: Duration = Duration::from_millis(25);
/// The shortest silence of a leader after which others stand for election, in milliseconds; some
/// times what a commit takes on the platform's slowest disks.
const ELECTION_TIMEOUT_MS: u64 = 700;
/// The time between heartbeats of a leader, in milliseconds; several fit into that silence.
const LEADER_HEARTBEAT_MS: u64 = 120;
/// How often it is looked whether the group needs a change of its members, in ticks.
const REPAIR_TICKS: u64 = 8;
/// The silence after which a voter is replaced where another one is there, in milliseconds; longer
/// than a restart takes.
const REPLACE_AFTER_MS: u64 = 4_000;
/// With this many jobs waiting for the disk, messages of other replicas are dropped.
const MAX_DISK_JOBS: usize = 1_024;
/// The part of the accepted connections that heartbeats may take up at the leader, in per cent; the
/// others are left for operators and for workers that have not been told where to go.
const HEARTBEATS_PERCENT: usize = 50;
/// The most proposals that may wait to be committed.
const MAX_WAITING: usize = 20_000;

/// Says why a proposal has no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProposeError {
    /// Nothing was proposed.
    NotLeader,
    /// The proposal may be committed, or not.
    Unknown,
}

/// Reaches the node from the tasks of its thread.
#[derive(Clone)]
pub(super) struct Node {
    inner: Rc<RefCell<Inner>>,
    metrics: Metrics,
    worker_connections: ConnectionBudget,
    /// How many workers may send their heartbeats to this instance where it leads.
    most_at_leader: usize,
    platform: Rc<PlatformClient>,
    synced: Rc<Cell<Option<UnboundedReceiver<DiskCompletion>>>>,
}

impl Node {
    /// Opens the data folder and starts the disk thread.
    pub(super) fn open(settings: &PlatformSettings) -> anyhow::Result<Self> {
        let folder = settings
            .data_folder
            .clone()
            .context("no data folder is set")?;
        let folder = std::path::PathBuf::from(folder).join("replica");
        let (storage, recovered) = Storage::open(&folder, Incarnation(wall_ms()))?;
        let state = match recovered.snapshot.index {
            LogIndex(0) => JobsState::default(),
            _ => JobsState::from_bytes(&recovered.snapshot.state)
                .context("the snapshot is of another version; start the version that wrote it")?,
        };
        let (sender, receiver) = unbounded_channel();
        let (disk, _thread) = disk::start(storage, move |done| report(&sender, done))?;
        let own = replica_at(peer_address(settings, settings.address));
        let seeds = seeds_of(settings);
        let first_voters = if settings.first_start {
            seeds.clone()
        } else {
            Vec::new()
        };
        let timing = jasminefall_replica::prelude::Settings {
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            heartbeat_ms: LEADER_HEARTBEAT_MS,
            ..jasminefall_replica::prelude::Settings::default()
        };
        let applied = recovered.snapshot.index;
        let replica = Replica::new(own, timing, recovered, rand::random())
            .with_first_voters(first_voters)
            .with_known_peers(seeds.into_iter().filter(|seed| *seed != own));
        let voters = settings.losses_to_bear * 2 + 1;
        let key = site_key(settings);
        let inner = Inner {
            peers: Peers::new(&key, address_of),
            key,
            settings: settings.clone(),
            replica,
            state,
            applied,
            leader: None,
            leader_address: watch::Sender::new(None),
            fencing_token: 0,
            was_leader: false,
            disk,
            disk_jobs: 0,
            repair_policy: RepairPolicy::new(voters, REPLACE_AFTER_MS),
            waiting: BTreeMap::new(),
            lines: AllLines::default(),
            forwarders: BTreeMap::new(),
            ticks: 0,
            pump_due: false,
            outdated: false,
        };
        let accepted = ConnectionBudget::accepted(settings.max_descriptors).total();
        Ok(Self {
            inner: Rc::new(RefCell::new(inner)),
            metrics: Metrics::new(),
            worker_connections: ConnectionBudget::opened(settings.max_descriptors),
            most_at_leader: accepted * HEARTBEATS_PERCENT / 100,
            platform: Rc::default(),
            synced: Rc::new(Cell::new(Some(receiver))),
        })
    }

    /// Moves the node on by its clock and its disk; returns only on failure.
    pub(super) async fn run(self) -> anyhow::Result<()> {
        let mut synced = self.synced.take().context("the node runs already")?;
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(done) = synced.recv() => self.note_synced(done),
                _ = ticks.tick() => self.tick(),
            }
            if self.inner.borrow().outdated {
                anyhow::bail!(
                    "the data folder holds less than was acknowledged; remove it to rejoin empty"
                );
            }
        }
    }

    pub(super) fn id(&self) -> ReplicaId {
        self.inner.borrow().replica.id()
    }

    pub(super) fn name(&self) -> SmolStr {
        self.inner.borrow().settings.name.clone()
    }

    pub(super) fn metrics(&self) -> Metrics {
        self.metrics.clone()
    }

    /// Returns the budget for connections to workers.
    pub(super) fn worker_connections(&self) -> ConnectionBudget {
        self.worker_connections.clone()
    }

    /// Returns what calls the platform.
    pub(super) fn platform(&self) -> Rc<PlatformClient> {
        self.platform.clone()
    }

    pub(super) fn set_seeds(&self, settings: &PlatformSettings) {
        let mut inner = self.inner.borrow_mut();
        let own = inner.replica.id();
        let seeds = seeds_of(settings);
        inner
            .replica
            .set_known_peers(seeds.into_iter().filter(|seed| *seed != own));
    }

    /// Returns whether this instance leads for certain and has taken up its work.
    pub(super) fn leads(&self) -> bool {
        let inner = self.inner.borrow();
        inner.leader.is_some() && inner.holds_lease()
    }

    /// Returns whether this instance leads for certain, in the leadership with this token.
    pub(super) fn leads_with(&self, fencing_token: u64) -> bool {
        let inner = self.inner.borrow();
        inner.fencing_token == fencing_token && inner.leader.is_some() && inner.holds_lease()
    }

    /// Returns where the leader that this instance follows is reached.
    pub(super) fn known_leader(&self) -> Option<SocketAddr> {
        let inner = self.inner.borrow();
        let leader = inner
            .replica
            .leader()
            .filter(|leader| *leader != inner.replica.id());
        leader.and_then(address_of)
    }

    /// Returns where this instance is reached by others.
    pub(super) fn address(&self) -> SocketAddr {
        let inner = self.inner.borrow();
        peer_address(&inner.settings, inner.settings.address)
    }

    /// Follows where the leader is reached, as this instance knows it; itself once it has taken up its
    /// work.
    pub(super) fn leader_changes(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.inner.borrow().leader_address.subscribe()
    }

    /// Returns the answer of an instance that does not lead.
    pub(super) fn not_leader(&self) -> Answer {
        let inner = self.inner.borrow();
        let membership = inner.replica.membership();
        let members = membership
            .voters
            .iter()
            .copied()
            .filter_map(address_of)
            .collect();
        drop(inner);
        Answer::NotLeader {
            leader: self.known_leader(),
            members,
        }
    }

    /// Returns what forwards calls to one instance.
    pub(super) fn forwarder(&self, address: SocketAddr) -> Rc<Forwarder> {
        let mut inner = self.inner.borrow_mut();
        let key = inner.key.clone();
        let create = || Rc::new(Forwarder::new(key, vec![address]));
        inner
            .forwarders
            .entry(address)
            .or_insert_with(create)
            .clone()
    }

    /// Returns where a worker had better send its heartbeats, as IP:PORT.
    pub(super) fn receiver_of(&self, worker: &str) -> Option<SmolStr> {
        let inner = self.inner.borrow();
        let own = inner.settings.control?;
        let workers = inner.leader.as_ref().map_or(0, Leader::worker_count);
        // The members are only looked up where the heartbeats are shared.
        if workers <= self.most_at_leader {
            return Some(own.to_string().into());
        }
        let members = inner.replica.members().into_iter();
        let receivers = members.filter_map(|member| {
            let is_own = member.id == inner.replica.id();
            Some(HeartbeatReceiver {
                address: SocketAddr::new(address_of(member.id)?.ip(), own.port()),
                silent_ms: if is_own { 0 } else { member.silent_ms },
            })
        });
        let receivers: Vec<_> = receivers.collect();
        let chosen = assign_receiver(worker, workers, self.most_at_leader, own, &receivers);
        Some(chosen.to_string().into())
    }

    /// Looks at the state where it is fresh.
    pub(super) fn read_fresh<T>(&self, look: impl FnOnce(&JobsState) -> T) -> Option<T> {
        let mut inner = self.inner.borrow_mut();
        let is_fresh = inner.refresh(self) && inner.leader.is_some();
        is_fresh.then(|| look(&inner.state))
    }

    /// Answers from the state where it is fresh.
    pub(super) fn read(&self, look: impl FnOnce(&JobsState) -> Answer) -> Answer {
        self.read_fresh(look).unwrap_or_else(|| self.not_leader())
    }

    /// Looks at the state as it is here.
    pub(super) fn read_state<T>(&self, look: impl FnOnce(&JobsState) -> T) -> T {
        look(&self.inner.borrow().state)
    }

    /// Gives the leader an input and carries out what follows, where this instance leads.
    pub(super) fn turn<T>(&self, input: impl FnOnce(&mut Leader, &JobsState) -> T) -> Option<T> {
        let mut inner = self.inner.borrow_mut();
        if !inner.refresh(self) {
            return None;
        }
        let now = now();
        let Inner { leader, state, .. } = &mut *inner;
        let leader = leader.as_mut()?;
        leader.set_now(now);
        let value = input(leader, state);
        inner.settle(self);
        Some(value)
    }

    /// Gives the leader an input that belongs to one leadership.
    pub(super) fn turn_for(&self, fencing_token: u64, input: impl FnOnce(&mut Leader, &JobsState)) {
        let mut inner = self.inner.borrow_mut();
        if inner.fencing_token != fencing_token {
            return;
        }
        let Inner { leader, state, .. } = &mut *inner;
        let Some(leader) = leader.as_mut() else {
            return;
        };
        leader.set_now(now());
        input(leader, state);
        inner.settle(self);
    }

    /// Proposes a command and waits until it is applied here.
    pub(super) async fn propose(&self, command: Command) -> Result<Outcome, ProposeError> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut inner = self.inner.borrow_mut();
            if !inner.refresh(self) || inner.waiting.len() >= MAX_WAITING {
                return Err(ProposeError::NotLeader);
            }
            inner.propose(&command, Some(sender))?;
            inner.pump_soon(self);
        }
        receiver.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Takes messages of other replicas.
    pub(super) fn step(&self, messages: Vec<Message>) {
        let mut inner = self.inner.borrow_mut();
        if inner.disk_jobs >= MAX_DISK_JOBS {
            return;
        }
        for message in messages {
            inner.pass_on(&message);
            inner.replica.step(monotonic_ms(), message);
        }
        inner.pump_soon(self);
    }

    fn note_synced(&self, done: DiskCompletion) {
        let mut inner = self.inner.borrow_mut();
        inner.disk_jobs -= done.job_count;
        if let Some((index, term)) = done.last_entry {
            inner.replica.mark_synced(index, term);
        }
        for message in done.messages {
            if message.to == inner.replica.id() {
                inner.replica.step(monotonic_ms(), message);
            } else {
                inner.peers.send(message);
            }
        }
        inner.pump_soon(self);
    }

    fn tick(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.ticks += 1;
        inner.replica.tick(monotonic_ms());
        if inner.ticks.is_multiple_of(REPAIR_TICKS) {
            let Inner {
                repair_policy,
                replica,
                ..
            } = &mut *inner;
            repair_policy.propose_next_change(replica, monotonic_ms());
        }
        inner.outdated = inner.replica.is_outdated();
        if inner.refresh(self) {
            let Inner { leader, state, .. } = &mut *inner;
            if let Some(leader) = leader {
                leader.set_now(now());
                leader.tick(state);
                self.set_metrics(leader);
            }
            inner.settle(self);
        }
        inner.pump(self);
    }

    fn set_metrics(&self, leader: &Leader) {
        let (counts, (running, waiting)) = (leader.counts(), leader.task_counts());
        let uses = counts.instance_ms;
        let figures = [
            ("starts", counts.starts),
            ("starts_refused", counts.starts_refused),
            ("starts_unsure", counts.starts_unanswered),
            ("stops", counts.stops),
            ("looks", counts.polls),
            ("jobs_accepted", counts.jobs_accepted),
            ("jobs_refused", counts.jobs_refused),
            ("maintained", counts.maintained),
            ("moved", counts.moved),
            ("instance_seconds_working", uses.working / 1_000),
            ("instance_seconds_held", uses.held / 1_000),
            ("instance_seconds_expected", uses.expected / 1_000),
            ("instance_seconds_idle", uses.idle / 1_000),
            ("workers", leader.worker_count() as u64),
            ("tasks_running", running as u64),
            ("tasks_waiting", waiting as u64),
        ];
        for (decision, count) in figures {
            self.metrics.set(decision, count);
        }
    }
}

fn now() -> Now {
    Now {
        steady_ms: monotonic_ms(),
        wall_ms: wall_ms(),
    }
}

fn report(sender: &UnboundedSender<DiskCompletion>, done: DiskCompletion) {
    if sender.send(done).is_err() {
        log::debug!("event=disk_done_late");
    }
}

fn seeds_of(settings: &PlatformSettings) -> Vec<ReplicaId> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| replica_at(peer_address(settings, seed.ip())))
        .collect()
}
