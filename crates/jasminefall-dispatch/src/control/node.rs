//! The replica, its state and, where it leads, the leader's knowledge.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use anyhow::Context;
use jasminefall_jobs::leader::{Effect, Leader, LeaderSettings, Now};
use jasminefall_jobs::prelude::*;
use jasminefall_platform::settings::PlatformSettings;
use jasminefall_replica::disk::{self, DiskDone, DiskJob};
use jasminefall_replica::prelude::*;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_wire::codec::{decode, encode};
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::peers::Peers;
use smol_str::SmolStr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use super::instances::{self, InstanceOrder};
use super::lines::{AllLines, Order, Target};
use crate::forwarding::Forwarder;
use crate::message::Answer;
use crate::metrics::Metrics;
use crate::settings::{address_of, peer_address, replica_at, site_key};

/// How often the clock moves the replica and the leader on.
const TICK: Duration = Duration::from_millis(25);
/// How long a leader gathers proposals, acknowledgements and room before it goes on; a fraction of a
/// sync, and each round costs a message to every other replica and a pass over what waits.
const GATHER: Duration = Duration::from_millis(2);
/// How often it is looked whether the group needs a change of its members, in ticks.
const REPAIR_TICKS: u64 = 8;
/// The silence after which a voter is replaced where another one is there, in milliseconds; longer
/// than a restart takes.
const REPLACE_AFTER_MS: u64 = 4_000;
/// A snapshot is made once this many entries have been applied since the last one.
const COMPACT_AFTER_ENTRIES: u64 = 20_000;
/// A snapshot is made once the log holds this much, or as much as the last snapshot.
const COMPACT_AFTER_BYTES: usize = 12 << 20;
/// With this many jobs waiting for the disk, messages of other replicas are dropped.
const MAX_DISK_JOBS: usize = 1_024;
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

struct Waiter {
    term: Term,
    proposed_at: Instant,
    answer: Option<oneshot::Sender<Result<Outcome, ProposeError>>>,
}

struct Inner {
    settings: PlatformSettings,
    key: SiteKey,
    replica: Replica,
    state: JobsState,
    applied: LogIndex,
    leader: Option<Leader>,
    fencing_token: u64,
    was_leader: bool,
    disk: SyncSender<DiskJob>,
    disk_jobs: usize,
    peers: Peers,
    plan: RepairPlan,
    waiting: BTreeMap<LogIndex, Waiter>,
    lines: AllLines,
    forwarders: BTreeMap<SocketAddr, Rc<Forwarder>>,
    ticks: u64,
    pump_due: bool,
    outdated: bool,
}

/// Reaches the node from the tasks of its thread.
#[derive(Clone)]
pub(super) struct Node {
    inner: Rc<RefCell<Inner>>,
    metrics: Metrics,
    synced: Rc<Cell<Option<UnboundedReceiver<DiskDone>>>>,
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
        let timing = jasminefall_replica::prelude::Settings::default();
        let applied = recovered.snapshot.index;
        let replica = Replica::new(own, timing, recovered, rand::random())
            .with_first_voters(first_voters)
            .with_others(seeds.into_iter().filter(|seed| *seed != own));
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
            fencing_token: 0,
            was_leader: false,
            disk,
            disk_jobs: 0,
            plan: RepairPlan::new(voters, REPLACE_AFTER_MS),
            waiting: BTreeMap::new(),
            lines: AllLines::default(),
            forwarders: BTreeMap::new(),
            ticks: 0,
            pump_due: false,
            outdated: false,
        };
        Ok(Self {
            inner: Rc::new(RefCell::new(inner)),
            metrics: Metrics::new(),
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

    pub(super) fn set_seeds(&self, settings: &PlatformSettings) {
        let mut inner = self.inner.borrow_mut();
        let own = inner.replica.id();
        let seeds = seeds_of(settings);
        inner
            .replica
            .set_others(seeds.into_iter().filter(|seed| *seed != own));
    }

    /// Returns whether this instance leads for certain and has taken up its work.
    pub(super) fn leads(&self) -> bool {
        let inner = self.inner.borrow();
        inner.leader.is_some() && inner.holds_lease()
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

    /// Returns where workers reach this instance, as IP:PORT.
    pub(super) fn control_address(&self) -> Option<SmolStr> {
        let inner = self.inner.borrow();
        inner
            .settings
            .control
            .map(|address| address.to_string().into())
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

    fn note_synced(&self, done: DiskDone) {
        let mut inner = self.inner.borrow_mut();
        inner.disk_jobs -= done.jobs;
        if let Some((index, term)) = done.last {
            inner.replica.synced(index, term);
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
            inner.repair();
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
        let (counts, (running, waiting)) = (leader.counts(), leader.load());
        let figures = [
            ("starts", counts.starts),
            ("starts_refused", counts.starts_refused),
            ("starts_unsure", counts.starts_unsure),
            ("stops", counts.stops),
            ("looks", counts.looks),
            ("jobs_accepted", counts.jobs_accepted),
            ("jobs_refused", counts.jobs_refused),
            ("maintained", counts.maintained),
            ("moved", counts.moved),
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

fn report(sender: &UnboundedSender<DiskDone>, done: DiskDone) {
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

impl Inner {
    /// Returns whether no other replica can have been elected.
    fn holds_lease(&self) -> bool {
        self.replica.read_index(monotonic_ms()).is_ok()
    }

    /// Applies what is committed and waits to be applied; returns whether the state is fresh then.
    fn refresh(&mut self, node: &Node) -> bool {
        let Ok(index) = self.replica.read_index(monotonic_ms()) else {
            return false;
        };
        if index > self.applied {
            self.pump(node);
        }
        index <= self.applied
    }

    fn propose(
        &mut self,
        command: &Command,
        answer: Option<oneshot::Sender<Result<Outcome, ProposeError>>>,
    ) -> Result<(), ProposeError> {
        let term = self.replica.term();
        let index = self.replica.propose(monotonic_ms(), encode(command));
        let index = index.map_err(|_| ProposeError::NotLeader)?;
        let proposed_at = Instant::now();
        let waiter = Waiter {
            term,
            proposed_at,
            answer,
        };
        self.waiting.insert(index, waiter);
        Ok(())
    }

    /// Sends a replica that asks for a place to the leader, since it may know only followers.
    fn pass_on(&self, message: &Message) {
        let leader = self
            .replica
            .leader()
            .filter(|leader| *leader != self.replica.id());
        if let (Body::Join { .. }, Some(leader)) = (&message.body, leader)
            && message.from != leader
        {
            let to = leader;
            self.peers.send(Message {
                to,
                ..message.clone()
            });
        }
    }

    /// Carries out what the replica asks for soon, together with what gathers until then.
    fn pump_soon(&mut self, node: &Node) {
        if !self.replica.is_leader() {
            return self.pump(node);
        }
        if std::mem::replace(&mut self.pump_due, true) {
            return;
        }
        let node = node.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(GATHER).await;
            let mut inner = node.inner.borrow_mut();
            inner.place(&node);
            inner.pump(&node);
        });
    }

    /// Carries out everything that the replica asks for.
    fn pump(&mut self, node: &Node) {
        self.pump_due = false;
        loop {
            let ready = self.replica.take_ready();
            if let Some(snapshot) = &ready.snapshot {
                self.load(snapshot);
            }
            let stores = ready.must_store() || !ready.messages_after_sync.is_empty();
            for message in ready.messages {
                self.peers.send(message);
            }
            if stores {
                self.store(DiskJob {
                    hard_state: ready.hard_state,
                    snapshot: ready.snapshot,
                    append: ready.append,
                    messages: ready.messages_after_sync,
                });
            }
            let is_idle = ready.committed.is_empty();
            for entry in ready.committed {
                self.apply(entry, node);
            }
            self.note_leadership();
            if is_idle {
                break;
            }
            self.settle_only(node);
        }
        self.compact_if_long();
    }

    fn store(&mut self, job: DiskJob) {
        self.disk_jobs += 1;
        if self.disk.send(job).is_err() {
            log::error!("event=disk_thread_gone remedy=\"the process starts again\"");
            std::process::exit(3);
        }
    }

    fn load(&mut self, snapshot: &Snapshot) {
        match JobsState::from_bytes(&snapshot.state) {
            Ok(state) => self.state = state,
            Err(error) => {
                log::error!(
                    "event=snapshot_unreadable error=\"{error}\" remedy=\"run one version\""
                );
                std::process::exit(3);
            }
        }
        self.applied = snapshot.index;
    }

    fn apply(&mut self, entry: Entry, node: &Node) {
        self.applied = entry.index;
        let command = match &entry.payload {
            Payload::Command(bytes) => match decode::<Command>(bytes) {
                Ok(command) => Some(command),
                Err(error) => {
                    log::error!(
                        "event=command_unreadable error=\"{error}\" remedy=\"run one version\""
                    );
                    std::process::exit(3);
                }
            },
            Payload::Membership(membership) => {
                log::info!(
                    "event=members voters={:?} learners={:?}",
                    membership.voters,
                    membership.learners
                );
                None
            }
            Payload::Noop => None,
        };
        let mut outcome = Outcome::Done;
        if let Some(command) = command {
            outcome = self.state.apply(command.clone());
            self.follow(&command, entry.term);
        }
        if let Some(waiter) = self.waiting.remove(&entry.index) {
            node.metrics.note_commit(waiter.proposed_at.elapsed());
            if let Some(answer) = waiter.answer {
                let result = if waiter.term == entry.term {
                    Ok(outcome)
                } else {
                    Err(ProposeError::Unknown)
                };
                let _ = answer.send(result);
            }
        }
    }

    /// Lets the leader follow a command that has been applied.
    fn follow(&mut self, command: &Command, term: Term) {
        let is_own_start = *command == Command::Lead
            && term == self.replica.term()
            && self.replica.is_leader()
            && self.leader.is_none();
        if is_own_start {
            let settings: LeaderSettings = self.settings.leader;
            self.fencing_token = term.0;
            self.leader = Some(Leader::new(settings, now(), &self.state));
            log::info!(
                "event=leads term={term} leaderships={} jobs={} lives={}",
                self.state.leaderships,
                self.state.jobs.len(),
                self.state.lives.len()
            );
        } else if let Some(leader) = &mut self.leader {
            leader.set_now(now());
            leader.take_applied(command, &self.state);
        }
    }

    fn note_leadership(&mut self) {
        let leads = self.replica.is_leader();
        if leads && !self.was_leader {
            log::info!("event=elected term={}", self.replica.term());
            if self.propose(&Command::Lead, None).is_err() {
                log::warn!("event=leadership_lost cause=\"before its first command\"");
            }
        }
        if !leads && self.was_leader {
            log::warn!(
                "event=follows term={} leader={:?}",
                self.replica.term(),
                self.replica.leader()
            );
            self.leader = None;
            self.fencing_token = 0;
            self.lines = AllLines::default();
            for (_, waiter) in std::mem::take(&mut self.waiting) {
                if let Some(answer) = waiter.answer {
                    let _ = answer.send(Err(ProposeError::Unknown));
                }
            }
        }
        self.was_leader = leads;
    }

    fn compact_if_long(&mut self) {
        let log = self.replica.log();
        let held = self.applied.0.saturating_sub(log.snapshot().index.0);
        let limit_bytes = COMPACT_AFTER_BYTES.max(log.snapshot().state.len());
        if held == 0 || (held < COMPACT_AFTER_ENTRIES && log.size_bytes() < limit_bytes) {
            return;
        }
        let state = match self.state.to_bytes() {
            Ok(state) => state,
            Err(error) => {
                log::error!("event=snapshot_failed error=\"{error}\"");
                return;
            }
        };
        if let Some(snapshot) = self.replica.compact(self.applied, state) {
            let append = self
                .replica
                .log()
                .after(snapshot.index, usize::MAX)
                .to_vec();
            self.store(DiskJob {
                hard_state: None,
                snapshot: Some(snapshot),
                append,
                messages: Vec::new(),
            });
        }
    }

    /// Begins the change that the membership needs next, where this replica leads.
    fn repair(&mut self) {
        if !self.replica.is_leader() {
            return;
        }
        let members = self.replica.members();
        let asking: Vec<_> = self.replica.asking().collect();
        let Some(change) = self.plan.next_change(self.replica.id(), &members, &asking) else {
            return;
        };
        match self.replica.change_membership(monotonic_ms(), change) {
            Ok(index) => log::info!("event=membership_change change=\"{change:?}\" index={index}"),
            Err(error) => {
                log::debug!("event=membership_waits change=\"{change:?}\" cause=\"{error}\"");
            }
        }
    }

    /// Starts what has found room meanwhile, unless another replica may have been elected.
    fn place(&mut self, node: &Node) {
        if self.holds_lease()
            && let Some(leader) = &mut self.leader
        {
            leader.set_now(now());
            leader.place(&self.state);
            self.settle_only(node);
        }
    }

    /// Carries out what the leader decided, then what the replica asks for.
    fn settle(&mut self, node: &Node) {
        self.settle_only(node);
        self.pump_soon(node);
    }

    /// Carries out what the leader decided, unless another one may have been elected.
    fn settle_only(&mut self, node: &Node) {
        if !self.holds_lease() {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let effects = leader.take_effects();
        for line in leader.take_log() {
            log::info!("{line}");
        }
        for effect in effects {
            self.carry_out(effect, node);
        }
    }

    fn carry_out(&mut self, effect: Effect, node: &Node) {
        let token = self.fencing_token;
        match effect {
            Effect::Propose(command) => {
                if self.propose(&command, None).is_err() {
                    log::warn!("event=proposal_dropped cause=\"leadership lost\"");
                }
            }
            Effect::Start(order) => self.send_order(node, order.worker, Order::Start(order)),
            Effect::Stop { worker, task, run } => {
                self.send_order(node, worker, Order::Stop(task, run));
            }
            Effect::Pace {
                worker,
                task,
                run,
                percent,
            } => self.send_order(node, worker, Order::Pace(task, run, percent)),
            Effect::Look(order) => self.send_order(node, order.worker, Order::Look(order)),
            Effect::Advise { step, workers } => match self.settings.advice {
                Some(address) => {
                    actix_rt::spawn(instances::advise(
                        node.clone(),
                        address,
                        token,
                        step,
                        workers,
                    ));
                }
                None => log::error!(
                    "event=advice_unasked step={step} remedy=\"name the advice service in the settings\""
                ),
            },
            Effect::ListInstances => {
                if let Some(address) = self.settings.instances {
                    actix_rt::spawn(instances::list(node.clone(), address, token));
                }
            }
            Effect::Maintain { instance, wave } => {
                self.order_instance(node, instance, InstanceOrder::Maintain(wave));
            }
            Effect::Move { instance, pool } => {
                self.order_instance(node, instance, InstanceOrder::Move(pool));
            }
        }
    }

    fn order_instance(&self, node: &Node, instance: SmolStr, order: InstanceOrder) {
        if let Some(address) = self.settings.instances {
            let token = self.fencing_token;
            actix_rt::spawn(instances::order(
                node.clone(),
                address,
                token,
                instance,
                order,
            ));
        }
    }

    fn send_order(
        &mut self,
        node: &Node,
        handle: jasminefall_jobs::leader::WorkerHandle,
        order: Order,
    ) {
        let Some(leader) = &self.leader else {
            return;
        };
        let Some(worker) = leader.worker(handle) else {
            return;
        };
        let Ok(address) = worker.address().parse() else {
            log::warn!(
                "event=worker_unreachable worker={} address={} remedy=\"announce IP:PORT\"",
                worker.life(),
                worker.address()
            );
            return;
        };
        let target = Target {
            handle,
            name: worker.life().worker.clone(),
            address,
            fencing_token: self.fencing_token,
        };
        self.lines.send(node, &target, order);
        if self.ticks.is_multiple_of(REPAIR_TICKS) {
            let Self { lines, leader, .. } = self;
            lines.keep(|handle| {
                leader
                    .as_ref()
                    .is_some_and(|known| known.worker(handle).is_some())
            });
        }
    }
}
