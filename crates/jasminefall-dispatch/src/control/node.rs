//! The replica, its state and, on the leader, the scheduling decisions.
//!
//! - [`inner`]: state of a node and execution of the replica's and the leader's output

mod inner;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use jasminefall_jobs::leader::{Leader, Now, WorkerHandle};
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
use super::platform_client::PlatformClient;
use super::worker_channels::ChannelsByWorker;
use crate::forwarding::Forwarder;
use crate::http::budget::ConnectionBudget;
use crate::message::Response;
use crate::metrics::Metrics;
use crate::settings::{peer_address, replica_address, replica_id_at, site_key};

/// The interval between ticks of the replica and of the leader.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The shortest time without a leader's messages after which followers start an election, in
/// milliseconds; several times as long as a commit on the platform's slowest disks.
const ELECTION_TIMEOUT_MS: u64 = 700;
/// The interval between a leader's heartbeats, in milliseconds; several fit into the election timeout.
const LEADER_HEARTBEAT_MS: u64 = 120;
/// How often the membership is checked for a necessary change, in ticks.
const REPAIR_INTERVAL_TICKS: u64 = 4;
/// The interval at which the metrics of workspaces are updated, in ticks.
const WORKSPACE_METRICS_INTERVAL_TICKS: u64 = 40;
/// The time without messages from a voter after which another available replica replaces it, in
/// milliseconds; a silent leader is replaced by an election within the same time. The replaced voter stays a
/// learner if it returns.
const REPLACE_AFTER_MS: u64 = 2 * ELECTION_TIMEOUT_MS;
/// The number of pending disk jobs at which messages from other replicas are dropped.
const MAX_DISK_JOBS: usize = 1_024;
/// The share of accepted connections that heartbeats may use on the leader, in percent. The rest is for
/// operators and for workers that have not been assigned a heartbeat receiver.
const HEARTBEAT_CONNECTIONS_PERCENT: usize = 50;
/// The largest number of proposals that wait to be committed; further ones are refused.
const MAX_PENDING_PROPOSALS: usize = 20_000;

/// Reports why the outcome of a proposal is not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProposeError {
    /// The command was not proposed.
    NotLeader,
    /// The command was proposed; it may or may not be committed.
    Unknown,
}

/// Gives the tasks of one thread shared access to the node.
#[derive(Clone)]
pub(super) struct Node {
    inner: Rc<RefCell<Inner>>,
    metrics: Metrics,
    worker_connections: ConnectionBudget,
    /// The largest number of workers that all send their heartbeats to the leader.
    max_workers_at_leader: usize,
    platform: Rc<PlatformClient>,
    /// The completed disk jobs; taken by [`Self::run`].
    disk_completions: Rc<Cell<Option<UnboundedReceiver<DiskCompletion>>>>,
}

impl Node {
    /// Opens the data folder and starts the disk thread.
    pub(super) fn open(settings: &PlatformSettings) -> anyhow::Result<Self> {
        let folder = settings
            .data_folder
            .clone()
            .context("the settings lack a data folder; set its path")?;
        let folder = std::path::PathBuf::from(folder).join("replica");
        let (storage, recovered) = Storage::open(&folder, Incarnation(wall_ms()))?;
        let state = match recovered.snapshot.index {
            LogIndex(0) => JobsState::default(),
            _ => JobsState::from_bytes(&recovered.snapshot.state).context(
                "the snapshot has the format of another version; start the version that wrote it",
            )?,
        };
        let (sender, receiver) = unbounded_channel();
        let (disk, _thread) = disk::start(storage, move |completion| {
            send_completion(&sender, completion);
        })?;
        let own_id = replica_id_at(peer_address(settings, settings.address));
        let seeds = seed_replicas(settings);
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
        let replica = Replica::new(own_id, timing, recovered, rand::random())
            .with_first_voters(first_voters)
            .with_known_peers(seeds.into_iter().filter(|seed| *seed != own_id));
        let voters = settings.tolerated_failures * 2 + 1;
        let key = site_key(settings);
        let inner = Inner {
            peers: Peers::new(&key, replica_address),
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
            pending_proposals: BTreeMap::new(),
            channels: ChannelsByWorker::default(),
            forwarders: BTreeMap::new(),
            ticks: 0,
            processing_scheduled: false,
            outdated: false,
        };
        let accepted = ConnectionBudget::for_accepted(settings.max_descriptors).total();
        Ok(Self {
            inner: Rc::new(RefCell::new(inner)),
            metrics: Metrics::new(),
            worker_connections: ConnectionBudget::for_opened(settings.max_descriptors),
            max_workers_at_leader: accepted * HEARTBEAT_CONNECTIONS_PERCENT / 100,
            platform: Rc::default(),
            disk_completions: Rc::new(Cell::new(Some(receiver))),
        })
    }

    /// Processes ticks and completed disk jobs; returns only on failure.
    pub(super) async fn run(self) -> anyhow::Result<()> {
        let mut disk_completions = self
            .disk_completions
            .take()
            .context("the node is already running")?;
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(completion) = disk_completions.recv() => self.handle_disk_completion(completion),
                _ = ticks.tick() => self.tick(),
            }
            if self.inner.borrow().outdated {
                anyhow::bail!(
                    "the data folder lacks entries that this replica has acknowledged; remove it to rejoin empty"
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

    pub(super) fn platform_client(&self) -> Rc<PlatformClient> {
        self.platform.clone()
    }

    pub(super) fn set_seeds(&self, settings: &PlatformSettings) {
        let mut inner = self.inner.borrow_mut();
        let own_id = inner.replica.id();
        let seeds = seed_replicas(settings);
        inner
            .replica
            .set_known_peers(seeds.into_iter().filter(|seed| *seed != own_id));
    }

    /// Returns whether this instance holds the leader lease and has applied its first command as the
    /// leader.
    pub(super) fn is_active_leader(&self) -> bool {
        let inner = self.inner.borrow();
        inner.leader.is_some() && inner.holds_lease()
    }

    /// Returns whether this instance is the active leader and its leadership has this token.
    pub(super) fn holds_leadership(&self, fencing_token: u64) -> bool {
        let inner = self.inner.borrow();
        inner.fencing_token == fencing_token && inner.leader.is_some() && inner.holds_lease()
    }

    /// Returns the peer address of the leader that this instance follows; `None` on the leader itself.
    pub(super) fn followed_leader(&self) -> Option<SocketAddr> {
        let inner = self.inner.borrow();
        let leader = inner
            .replica
            .leader()
            .filter(|leader| *leader != inner.replica.id());
        leader.and_then(replica_address)
    }

    /// Returns the peer address of this instance.
    pub(super) fn address(&self) -> SocketAddr {
        let inner = self.inner.borrow();
        peer_address(&inner.settings, inner.settings.address)
    }

    /// Returns a receiver of the leader's peer address as known to this instance, including its own
    /// address once it is the active leader.
    pub(super) fn leader_changes(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.inner.borrow().leader_address.subscribe()
    }

    /// Returns the response of an instance that is not the leader.
    pub(super) fn not_leader(&self) -> Response {
        let inner = self.inner.borrow();
        let membership = inner.replica.membership();
        let members = membership
            .voters
            .iter()
            .copied()
            .filter_map(replica_address)
            .collect();
        drop(inner);
        Response::NotLeader {
            leader: self.followed_leader(),
            members,
        }
    }

    /// Returns the forwarder to the instance at a peer address.
    pub(super) fn forwarder(&self, address: SocketAddr) -> Rc<Forwarder> {
        let mut inner = self.inner.borrow_mut();
        if let Some(forwarder) = inner.forwarders.get(&address) {
            return forwarder.clone();
        }
        let forwarder = Forwarder::new(inner.key.clone(), vec![address]).with_leader(address);
        let forwarder = Rc::new(forwarder);
        let Inner {
            forwarders,
            replica,
            ..
        } = &mut *inner;
        let voters = &replica.membership().voters;
        forwarders.retain(|known, _| voters.contains(&replica_id_at(*known)));
        forwarders.insert(address, forwarder.clone());
        forwarder
    }

    /// Returns the address to which a worker should send its heartbeats, as IP:PORT.
    pub(super) fn heartbeat_receiver(&self, worker: &str) -> Option<SmolStr> {
        let inner = self.inner.borrow();
        let own = inner.settings.control_address?;
        let workers = inner.leader.as_ref().map_or(0, Leader::worker_count);
        // The members are needed only if the heartbeats are distributed over several instances.
        if workers <= self.max_workers_at_leader {
            return Some(own.to_string().into());
        }
        let members = inner.replica.members().into_iter();
        let receivers = members.filter_map(|member| {
            let is_own = member.id == inner.replica.id();
            Some(HeartbeatReceiver {
                address: SocketAddr::new(replica_address(member.id)?.ip(), own.port()),
                silent_ms: if is_own { 0 } else { member.silent_ms },
            })
        });
        let receivers: Vec<_> = receivers.collect();
        let chosen = assign_receiver(worker, workers, self.max_workers_at_leader, own, &receivers);
        Some(chosen.to_string().into())
    }

    /// Reads the state linearizably; returns `None` if this instance is not the active leader.
    pub(super) fn read_linearizable<T>(&self, read: impl FnOnce(&JobsState) -> T) -> Option<T> {
        let mut inner = self.inner.borrow_mut();
        let is_current = inner.catch_up(self) && inner.leader.is_some();
        is_current.then(|| read(&inner.state))
    }

    /// Returns a response from a linearizable read, or the response of a non-leader.
    pub(super) fn read_response(&self, read: impl FnOnce(&JobsState) -> Response) -> Response {
        self.read_linearizable(read)
            .unwrap_or_else(|| self.not_leader())
    }

    /// Reads the local state, which may lag behind the leader.
    pub(super) fn read_local<T>(&self, read: impl FnOnce(&JobsState) -> T) -> T {
        read(&self.inner.borrow().state)
    }

    /// Calls `input` with the leader and the current state, and then executes the resulting effects.
    ///
    /// Returns `None` if this instance is not the active leader.
    pub(super) fn with_leader<T>(
        &self,
        input: impl FnOnce(&mut Leader, &JobsState) -> T,
    ) -> Option<T> {
        let mut inner = self.inner.borrow_mut();
        if !inner.catch_up(self) {
            return None;
        }
        let now = now();
        let Inner { leader, state, .. } = &mut *inner;
        let leader = leader.as_mut()?;
        leader.set_now(now);
        let value = input(leader, state);
        inner.execute_effects_and_schedule(self);
        Some(value)
    }

    /// Calls `input` with the leader and the current state and executes the resulting effects, unless the
    /// leadership with this token has ended.
    pub(super) fn with_leadership(
        &self,
        fencing_token: u64,
        input: impl FnOnce(&mut Leader, &JobsState),
    ) {
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
        inner.execute_effects_and_schedule(self);
    }

    /// Returns whether a task may be started on a worker: this instance still leads with the fencing token
    /// and has not ended the worker's incarnation since the request was queued.
    pub(super) fn may_start_on(&self, worker: WorkerHandle, fencing_token: u64) -> bool {
        let inner = self.inner.borrow();
        let leader = inner.leader.as_ref();
        inner.fencing_token == fencing_token
            && inner.holds_lease()
            && leader.is_some_and(|leader| leader.worker(worker).is_some())
    }

    /// Proposes a command and waits until it is applied on this instance.
    pub(super) async fn propose(&self, command: Command) -> Result<Outcome, ProposeError> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut inner = self.inner.borrow_mut();
            if !inner.catch_up(self) || inner.pending_proposals.len() >= MAX_PENDING_PROPOSALS {
                return Err(ProposeError::NotLeader);
            }
            inner.propose(&command, Some(sender))?;
            inner.schedule_processing(self);
        }
        receiver.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Processes messages from other replicas; drops them while [`MAX_DISK_JOBS`] disk jobs are pending.
    pub(super) fn step(&self, messages: Vec<Message>) {
        let mut inner = self.inner.borrow_mut();
        if inner.disk_jobs >= MAX_DISK_JOBS {
            return;
        }
        for message in messages {
            inner.forward_join(&message);
            inner.replica.step(monotonic_ms(), message);
        }
        inner.schedule_processing(self);
    }

    fn handle_disk_completion(&self, completion: DiskCompletion) {
        let mut inner = self.inner.borrow_mut();
        inner.disk_jobs -= completion.job_count;
        if let Some((index, term)) = completion.last_entry {
            inner.replica.mark_synced(index, term);
        }
        for message in completion.messages {
            if message.to == inner.replica.id() {
                inner.replica.step(monotonic_ms(), message);
            } else {
                inner.peers.send(message);
            }
        }
        inner.schedule_processing(self);
    }

    fn tick(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.ticks += 1;
        inner.replica.tick(monotonic_ms());
        if inner.ticks.is_multiple_of(REPAIR_INTERVAL_TICKS) {
            let Inner {
                repair_policy,
                replica,
                ..
            } = &mut *inner;
            repair_policy.propose_next_change(replica, monotonic_ms());
        }
        inner.outdated = inner.replica.is_outdated();
        if inner.catch_up(self) {
            let Inner {
                leader,
                state,
                ticks,
                ..
            } = &mut *inner;
            if let Some(leader) = leader {
                leader.set_now(now());
                leader.tick(state);
                self.publish_metrics(leader);
                if ticks.is_multiple_of(WORKSPACE_METRICS_INTERVAL_TICKS) {
                    self.metrics.set_workspaces(leader.workspace_uses());
                }
            }
            inner.execute_effects_and_schedule(self);
        }
        if inner.leader.is_none() {
            // A follower must not keep reporting waits that have ended since.
            self.metrics.clear_longest_waits();
        }
        inner.process_ready(self);
    }

    fn publish_metrics(&self, leader: &Leader) {
        let (counts, (running, waiting)) = (leader.counts(), leader.task_counts());
        let uses = counts.instance_ms;
        let gauges = [
            ("starts", counts.starts),
            ("starts_refused", counts.starts_refused),
            ("starts_unsure", counts.starts_unanswered),
            ("leases_expired", counts.leases_expired),
            ("crashes", counts.crashes),
            ("crashed_runs", counts.crashed_runs),
            ("jobs_given_up", counts.jobs_given_up),
            ("advice_requests", counts.advice_requests),
            ("advice_workers", counts.advice_workers),
            ("advice_failures", counts.advice_failures),
            (
                "steps_awaiting_advice",
                leader.steps_awaiting_advice() as u64,
            ),
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
        for (decision, count) in gauges {
            self.metrics.set_decision_count(decision, count);
        }
        self.metrics.set_longest_waits(leader.longest_waits());
    }
}

fn now() -> Now {
    Now {
        steady_ms: monotonic_ms(),
        wall_ms: wall_ms(),
    }
}

fn send_completion(sender: &UnboundedSender<DiskCompletion>, completion: DiskCompletion) {
    // Sending fails at shutdown, since the node has dropped the receiver.
    if sender.send(completion).is_err() {
        log::debug!("event=disk_completion_dropped");
    }
}

fn seed_replicas(settings: &PlatformSettings) -> Vec<ReplicaId> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| replica_id_at(peer_address(settings, seed.ip())))
        .collect()
}
