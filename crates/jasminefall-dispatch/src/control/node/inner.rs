//! State of a node, and execution of the output of its replica and its leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use jasminefall_jobs::leader::{AdviceFailure, Effect, Leader, LeaderSettings};
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

use super::super::platform_client::{self, InstanceRequest};
use super::super::worker_channels::{ChannelsByWorker, Target, WorkerRequest};
use super::{Node, ProposeError, now};
use crate::forwarding::Forwarder;
use crate::settings::replica_address;

/// How long a leader collects proposals, acknowledgements and freed capacity before it processes them,
/// since each round costs a message to every other replica and a pass over the waiting tasks. The time
/// is a fraction of the duration of a disk sync.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// How often the channels to ended incarnations are closed, in ticks.
const CHANNEL_CHECK_INTERVAL_TICKS: u64 = 8;
/// The number of entries applied since the last snapshot at which a new snapshot is made.
const COMPACT_AFTER_ENTRIES: u64 = 20_000;
/// The size of the log at which a new snapshot is made, or the size of the last snapshot if that is
/// larger.
const COMPACT_AFTER_BYTES: usize = 12 << 20;

/// Holds a proposal until its entry is applied.
pub(super) struct PendingProposal {
    term: Term,
    proposed_at: Instant,
    outcome: Option<oneshot::Sender<Result<Outcome, ProposeError>>>,
}

/// Holds the replica, its state and, on the leader, the scheduling decisions.
pub(super) struct Inner {
    pub(super) settings: PlatformSettings,
    pub(super) key: SiteKey,
    pub(super) replica: Replica,
    pub(super) state: JobsState,
    /// The index of the last entry applied to `state`.
    pub(super) applied: LogIndex,
    /// The scheduler; present from the first applied command of a leadership until its end.
    pub(super) leader: Option<Leader>,
    /// The leader's peer address, for requests that wait for a leader.
    pub(super) leader_address: watch::Sender<Option<SocketAddr>>,
    /// The term of the current leadership; zero on followers.
    pub(super) fencing_token: u64,
    pub(super) was_leader: bool,
    pub(super) disk: SyncSender<DiskJob>,
    /// The number of disk jobs that are not completed.
    pub(super) disk_jobs: usize,
    pub(super) peers: Peers,
    pub(super) repair_policy: RepairPolicy,
    pub(super) pending_proposals: BTreeMap<LogIndex, PendingProposal>,
    pub(super) channels: ChannelsByWorker,
    pub(super) forwarders: BTreeMap<SocketAddr, Rc<Forwarder>>,
    pub(super) ticks: u64,
    pub(super) processing_scheduled: bool,
    /// Whether the data folder lacks entries that this replica has acknowledged.
    pub(super) outdated: bool,
}

impl Inner {
    /// Returns whether this replica holds the leader lease, so that no other replica can have been
    /// elected.
    pub(super) fn holds_lease(&self) -> bool {
        self.replica.read_index(monotonic_ms()).is_ok()
    }

    /// Applies committed entries; returns whether the state includes every entry up to the read index.
    pub(super) fn catch_up(&mut self, node: &Node) -> bool {
        let Ok(index) = self.replica.read_index(monotonic_ms()) else {
            return false;
        };
        if index > self.applied {
            self.process_ready(node);
        }
        index <= self.applied
    }

    /// Proposes a command; its outcome is sent to `outcome` when the entry is applied.
    pub(super) fn propose(
        &mut self,
        command: &Command,
        outcome: Option<oneshot::Sender<Result<Outcome, ProposeError>>>,
    ) -> Result<(), ProposeError> {
        let term = self.replica.term();
        let index = self.replica.propose(monotonic_ms(), encode(command));
        let index = index.map_err(|_| ProposeError::NotLeader)?;
        let proposed_at = Instant::now();
        let pending = PendingProposal {
            term,
            proposed_at,
            outcome,
        };
        self.pending_proposals.insert(index, pending);
        Ok(())
    }

    /// Forwards a join request to the leader, since the joining replica may know only followers.
    pub(super) fn forward_join(&self, message: &Message) {
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

    /// Processes the replica's output: after the batch window on the leader, immediately on followers.
    pub(super) fn schedule_processing(&mut self, node: &Node) {
        if !self.replica.is_leader() {
            return self.process_ready(node);
        }
        if std::mem::replace(&mut self.processing_scheduled, true) {
            return;
        }
        let node = node.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(BATCH_WINDOW).await;
            let mut inner = node.inner.borrow_mut();
            inner.place_waiting_tasks(&node);
            inner.process_ready(&node);
        });
    }

    /// Processes all pending output of the replica: messages, disk jobs and committed entries.
    pub(super) fn process_ready(&mut self, node: &Node) {
        self.processing_scheduled = false;
        loop {
            let ready = self.replica.take_ready();
            if let Some(snapshot) = &ready.snapshot {
                self.load_snapshot(snapshot);
            }
            let must_write = ready.must_store() || !ready.messages_after_sync.is_empty();
            for message in ready.messages {
                self.peers.send(message);
            }
            if must_write {
                self.store(DiskJob {
                    hard_state: ready.hard_state,
                    snapshot: ready.snapshot,
                    append: ready.append,
                    messages: ready.messages_after_sync,
                });
            }
            let is_done = ready.committed.is_empty();
            for entry in ready.committed {
                self.apply_entry(entry, node);
            }
            self.update_leadership();
            if is_done {
                break;
            }
            self.execute_effects(node);
        }
        self.publish_leader_address();
        self.compact_if_due();
    }

    /// Publishes the leader's address; this instance counts as the leader only once it is active.
    fn publish_leader_address(&self) {
        let is_active = |leader: &ReplicaId| *leader != self.replica.id() || self.leader.is_some();
        let leader = self
            .replica
            .leader()
            .filter(is_active)
            .and_then(replica_address);
        self.leader_address.send_if_modified(|published| {
            let is_changed = *published != leader;
            *published = leader;
            is_changed
        });
    }

    pub(super) fn store(&mut self, job: DiskJob) {
        self.disk_jobs += 1;
        if self.disk.send(job).is_err() {
            log::error!("event=disk_thread_stopped remedy=\"the process exits to be restarted\"");
            log::logger().flush();
            std::process::exit(3);
        }
    }

    pub(super) fn load_snapshot(&mut self, snapshot: &Snapshot) {
        match JobsState::from_bytes(&snapshot.state) {
            Ok(state) => self.state = state,
            Err(error) => {
                log::error!(
                    "event=snapshot_unreadable error=\"{error}\" remedy=\"run the same version on all control instances\""
                );
                log::logger().flush();
                std::process::exit(3);
            }
        }
        self.applied = snapshot.index;
    }

    pub(super) fn apply_entry(&mut self, entry: Entry, node: &Node) {
        self.applied = entry.index;
        let command = match &entry.payload {
            Payload::Command(bytes) => match decode::<Command>(bytes) {
                Ok(command) => Some(command),
                Err(error) => {
                    log::error!(
                        "event=command_unreadable error=\"{error}\" remedy=\"run the same version on all control instances\""
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
            self.notify_leader(&command, entry.term);
        }
        if let Some(pending) = self.pending_proposals.remove(&entry.index) {
            node.metrics.record_commit(pending.proposed_at.elapsed());
            if let Some(sender) = pending.outcome {
                let result = if pending.term == entry.term {
                    Ok(outcome)
                } else {
                    Err(ProposeError::Unknown)
                };
                let _ = sender.send(result);
            }
        }
    }

    /// Passes an applied command to the leader, or creates the leader if the command starts this
    /// instance's leadership.
    pub(super) fn notify_leader(&mut self, command: &Command, term: Term) {
        let starts_leadership = *command == Command::Lead
            && term == self.replica.term()
            && self.replica.is_leader()
            && self.leader.is_none();
        if starts_leadership {
            let settings: LeaderSettings = self.settings.leader;
            self.fencing_token = term.0;
            self.leader = Some(Leader::new(settings, now(), &self.state));
            log::info!(
                "event=leads term={term} leaderships={} jobs={} incarnations={}",
                self.state.leaderships,
                self.state.jobs.len(),
                self.state.incarnations.len()
            );
        } else if let Some(leader) = &mut self.leader {
            leader.set_now(now());
            leader.on_applied(command, &self.state);
        }
    }

    /// Proposes the first command of a new leadership, or discards the state of an ended one.
    pub(super) fn update_leadership(&mut self) {
        let is_leader = self.replica.is_leader();
        if is_leader && !self.was_leader {
            log::info!("event=elected term={}", self.replica.term());
            if self.propose(&Command::Lead, None).is_err() {
                log::warn!("event=leadership_lost cause=\"before its first command\"");
            }
        }
        if !is_leader && self.was_leader {
            log::warn!(
                "event=follows term={} leader={:?}",
                self.replica.term(),
                self.replica.leader()
            );
            self.leader = None;
            self.fencing_token = 0;
            self.channels = ChannelsByWorker::default();
            for (_, pending) in std::mem::take(&mut self.pending_proposals) {
                if let Some(sender) = pending.outcome {
                    let _ = sender.send(Err(ProposeError::Unknown));
                }
            }
        }
        self.was_leader = is_leader;
    }

    /// Makes a snapshot and truncates the log if the log is long enough.
    pub(super) fn compact_if_due(&mut self) {
        let log = self.replica.log();
        let applied_count = self.applied.0.saturating_sub(log.snapshot().index.0);
        let limit_bytes = COMPACT_AFTER_BYTES.max(log.snapshot().state.len());
        if applied_count == 0
            || (applied_count < COMPACT_AFTER_ENTRIES && log.size_bytes() < limit_bytes)
        {
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

    /// Places waiting tasks for which capacity is free, unless another replica may have been elected.
    pub(super) fn place_waiting_tasks(&mut self, node: &Node) {
        if self.holds_lease()
            && let Some(leader) = &mut self.leader
        {
            leader.set_now(now());
            leader.place_waiting_tasks(&self.state);
            self.execute_effects(node);
        }
    }

    /// Executes the leader's effects, then schedules processing of the replica's output.
    pub(super) fn execute_effects_and_schedule(&mut self, node: &Node) {
        self.execute_effects(node);
        self.schedule_processing(node);
    }

    /// Executes the leader's effects, unless another replica may have been elected.
    pub(super) fn execute_effects(&mut self, node: &Node) {
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
            self.execute_effect(effect, node);
        }
    }

    pub(super) fn execute_effect(&mut self, effect: Effect, node: &Node) {
        let token = self.fencing_token;
        match effect {
            Effect::Propose(command) => {
                if self.propose(&command, None).is_err() {
                    log::warn!("event=proposal_dropped cause=\"leadership lost\"");
                }
            }
            Effect::Start(request) => {
                self.send_worker_request(node, request.worker, WorkerRequest::Start(request));
            }
            Effect::Stop { worker, task, run } => {
                self.send_worker_request(node, worker, WorkerRequest::Stop(task, run));
            }
            Effect::Pace {
                worker,
                task,
                run,
                percent,
            } => self.send_worker_request(node, worker, WorkerRequest::Pace(task, run, percent)),
            Effect::Poll(request) => {
                self.send_worker_request(node, request.worker, WorkerRequest::Poll(request));
            }
            Effect::Advise(request) => match self.settings.advice_address {
                Some(address) => {
                    actix_rt::spawn(platform_client::request_advice(
                        node.clone(),
                        address,
                        token,
                        request,
                    ));
                }
                None => {
                    log::error!(
                        "event=advice_not_configured step={} remedy=\"set the address of the advice service in the settings\"",
                        request.step
                    );
                    if let Some(leader) = &mut self.leader {
                        leader.on_advice(request.id, Err(AdviceFailure::NotConfigured));
                    }
                }
            },
            Effect::ListInstances { requested_at_ms } => {
                if let Some(address) = self.settings.instance_api_address {
                    actix_rt::spawn(platform_client::list_instances(
                        node.clone(),
                        address,
                        token,
                        requested_at_ms,
                    ));
                }
            }
            Effect::Maintain { instance, wave } => {
                self.send_instance_request(node, instance, InstanceRequest::Maintain(wave));
            }
            Effect::Move { instance, pool } => {
                self.send_instance_request(node, instance, InstanceRequest::Move(pool));
            }
        }
    }

    pub(super) fn send_instance_request(
        &self,
        node: &Node,
        instance: SmolStr,
        request: InstanceRequest,
    ) {
        if let Some(address) = self.settings.instance_api_address {
            let token = self.fencing_token;
            actix_rt::spawn(platform_client::send_instance_request(
                node.clone(),
                address,
                token,
                instance,
                request,
            ));
        }
    }

    pub(super) fn send_worker_request(
        &mut self,
        node: &Node,
        handle: jasminefall_jobs::leader::WorkerHandle,
        request: WorkerRequest,
    ) {
        let Some(leader) = &self.leader else {
            return;
        };
        let Some(worker) = leader.worker(handle) else {
            return;
        };
        let Ok(address) = worker.address().parse() else {
            log::warn!(
                "event=worker_unreachable worker={} address={} remedy=\"let the worker announce its address as IP:PORT\"",
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
        self.channels.send(node, &target, request);
        // Closes the channels to ended incarnations only at some ticks, since this reads all channels.
        if self.ticks.is_multiple_of(CHANNEL_CHECK_INTERVAL_TICKS) {
            let Self {
                channels, leader, ..
            } = self;
            channels.retain(|handle| {
                leader
                    .as_ref()
                    .is_some_and(|leader| leader.worker(handle).is_some())
            });
        }
    }
}
