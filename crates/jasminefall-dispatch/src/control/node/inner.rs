//! What a node holds, and how it carries out what its replica and its leader ask for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use jasminefall_jobs::leader::{Effect, Leader, LeaderSettings};
use jasminefall_jobs::prelude::*;
use jasminefall_platform::settings::PlatformSettings;
use jasminefall_replica::disk::DiskJob;
use jasminefall_replica::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::codec::{decode, encode};
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::peers::Peers;
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};

use super::super::instances::{self, InstanceOrder};
use super::super::lines::{AllLines, Order, Target};
use super::{Node, ProposeError, REPAIR_TICKS, now};
use crate::forwarding::Forwarder;
use crate::settings::address_of;

/// How long a leader gathers proposals, acknowledgements and room before it goes on; a fraction of a
/// sync, and each round costs a message to every other replica and a pass over what waits.
const GATHER: Duration = Duration::from_millis(2);
/// A snapshot is made once this many entries have been applied since the last one.
const COMPACT_AFTER_ENTRIES: u64 = 20_000;
/// A snapshot is made once the log holds this much, or as much as the last snapshot.
const COMPACT_AFTER_BYTES: usize = 12 << 20;

/// Waits for the outcome of a proposal.
pub(super) struct Waiter {
    term: Term,
    proposed_at: Instant,
    answer: Option<oneshot::Sender<Result<Outcome, ProposeError>>>,
}

/// Holds the replica, its state and, where it leads, the leader's knowledge.
pub(super) struct Inner {
    pub(super) settings: PlatformSettings,
    pub(super) key: SiteKey,
    pub(super) replica: Replica,
    pub(super) state: JobsState,
    pub(super) applied: LogIndex,
    pub(super) leader: Option<Leader>,
    /// Where the leader is reached, for calls that wait for one.
    pub(super) leader_address: watch::Sender<Option<SocketAddr>>,
    pub(super) fencing_token: u64,
    pub(super) was_leader: bool,
    pub(super) disk: SyncSender<DiskJob>,
    pub(super) disk_jobs: usize,
    pub(super) peers: Peers,
    pub(super) repair_policy: RepairPolicy,
    pub(super) waiting: BTreeMap<LogIndex, Waiter>,
    pub(super) lines: AllLines,
    pub(super) forwarders: BTreeMap<SocketAddr, Rc<Forwarder>>,
    pub(super) ticks: u64,
    pub(super) pump_due: bool,
    pub(super) outdated: bool,
}

impl Inner {
    /// Returns whether no other replica can have been elected.
    pub(super) fn holds_lease(&self) -> bool {
        self.replica.read_index(monotonic_ms()).is_ok()
    }

    /// Applies what is committed and waits to be applied; returns whether the state is fresh then.
    pub(super) fn refresh(&mut self, node: &Node) -> bool {
        let Ok(index) = self.replica.read_index(monotonic_ms()) else {
            return false;
        };
        if index > self.applied {
            self.pump(node);
        }
        index <= self.applied
    }

    pub(super) fn propose(
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
    pub(super) fn pass_on(&self, message: &Message) {
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
    pub(super) fn pump_soon(&mut self, node: &Node) {
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
    pub(super) fn pump(&mut self, node: &Node) {
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
        self.note_leader_address();
        self.compact_if_long();
    }

    fn note_leader_address(&self) {
        let is_ready = |leader: &ReplicaId| *leader != self.replica.id() || self.leader.is_some();
        let leader = self.replica.leader().filter(is_ready).and_then(address_of);
        self.leader_address.send_if_modified(|known| {
            let is_new = *known != leader;
            *known = leader;
            is_new
        });
    }

    pub(super) fn store(&mut self, job: DiskJob) {
        self.disk_jobs += 1;
        if self.disk.send(job).is_err() {
            log::error!("event=disk_thread_gone remedy=\"the process starts again\"");
            log::logger().flush();
            std::process::exit(3);
        }
    }

    pub(super) fn load(&mut self, snapshot: &Snapshot) {
        match JobsState::from_bytes(&snapshot.state) {
            Ok(state) => self.state = state,
            Err(error) => {
                log::error!(
                    "event=snapshot_unreadable error=\"{error}\" remedy=\"run one version\""
                );
                log::logger().flush();
                std::process::exit(3);
            }
        }
        self.applied = snapshot.index;
    }

    pub(super) fn apply(&mut self, entry: Entry, node: &Node) {
        self.applied = entry.index;
        let command = match &entry.payload {
            Payload::Command(bytes) => match decode::<Command>(bytes) {
                Ok(command) => Some(command),
                Err(error) => {
                    log::error!(
                        "event=command_unreadable error=\"{error}\" remedy=\"run one version\""
                    );
                    log::logger().flush();
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
    pub(super) fn follow(&mut self, command: &Command, term: Term) {
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
                self.state.incarnations.len()
            );
        } else if let Some(leader) = &mut self.leader {
            leader.set_now(now());
            leader.on_applied(command, &self.state);
        }
    }

    pub(super) fn note_leadership(&mut self) {
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

    pub(super) fn compact_if_long(&mut self) {
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
                .entries_after(snapshot.index, usize::MAX)
                .to_vec();
            self.store(DiskJob {
                hard_state: None,
                snapshot: Some(snapshot),
                append,
                messages: Vec::new(),
            });
        }
    }

    /// Starts what has found room meanwhile, unless another replica may have been elected.
    pub(super) fn place(&mut self, node: &Node) {
        if self.holds_lease()
            && let Some(leader) = &mut self.leader
        {
            leader.set_now(now());
            leader.place_waiting_tasks(&self.state);
            self.settle_only(node);
        }
    }

    /// Carries out what the leader decided, then what the replica asks for.
    pub(super) fn settle(&mut self, node: &Node) {
        self.settle_only(node);
        self.pump_soon(node);
    }

    /// Carries out what the leader decided, unless another one may have been elected.
    pub(super) fn settle_only(&mut self, node: &Node) {
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

    pub(super) fn carry_out(&mut self, effect: Effect, node: &Node) {
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
            Effect::Poll(order) => self.send_order(node, order.worker, Order::Look(order)),
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

    pub(super) fn order_instance(&self, node: &Node, instance: SmolStr, order: InstanceOrder) {
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

    pub(super) fn send_order(
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
                worker.incarnation(),
                worker.address()
            );
            return;
        };
        let target = Target {
            handle,
            name: worker.incarnation().worker.clone(),
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
