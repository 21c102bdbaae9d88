//! The actor that runs the replica and applies its committed log entries to the state.
//!
//! - [`handle`]: calls of the actor from other threads
//! - [`members`]: the membership of the control group and its repair
//! - [`messages`]: the messages of the actor and their handlers

mod handle;
mod members;
mod messages;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::PoisonError;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use actix::prelude::*;
use anyhow::Context as _;
use jasminefall_replica::disk::{self, DiskCompletion, DiskJob};
use jasminefall_replica::prelude::*;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_state::prelude::*;
use jasminefall_wire::message::{ControlError, ProposeResponse};
use jasminefall_wire::peers::Peers;
use tokio::sync::oneshot;

pub(crate) use self::handle::NodeHandle;
use self::messages::DiskCompleted;
use crate::entry_leases::EntryLeases;
use crate::settings::{ReplicaAddresses, Settings};
use crate::worker_registry::WorkerRegistry;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MEMBERSHIP_REPAIR_INTERVAL: Duration = Duration::from_millis(200);
/// A snapshot is taken once this many log entries have been applied since the last one.
const COMPACT_AFTER_ENTRIES: u64 = 10_000;
/// A snapshot is taken once the log is at least as large as both this and the last snapshot.
const COMPACT_AFTER_BYTES: usize = 16 << 20;
const MAX_PENDING_PROPOSALS: usize = 10_000;
const MAX_PENDING_PROPOSAL_BYTES: usize = 64 << 20;
/// With this many pending jobs of the disk thread, proposals are refused and messages are dropped.
const MAX_PENDING_DISK_JOBS: usize = 1_024;
const MAILBOX_CAPACITY_MESSAGES: usize = 16_384;

/// Holds the data that callers can access through the node.
///
/// The view is fresh on a leader with a read lease that has applied every log entry up to its read
/// index; reads of the state are then linearizable.
pub(crate) struct View {
    /// The replicated state after the log entries that this replica has applied.
    pub(crate) state: ClusterState,
    /// The leases of entries on the configuration; valid on the leader only.
    pub(crate) entry_leases: EntryLeases,
    /// The heartbeats and leases of workers; valid on the leader only.
    pub(crate) workers: WorkerRegistry,
}

/// Describes a replica for operators.
#[derive(Debug, Clone, serde::Serialize)]
pub(crate) struct ReplicaStatus {
    /// The identifier of the replica.
    pub(crate) replica: ReplicaId,
    /// The leader of the current term, if known.
    pub(crate) leader: Option<ReplicaId>,
    /// The current term.
    pub(crate) term: Term,
    /// The highest log index known to be committed.
    pub(crate) commit: LogIndex,
}

/// Holds a proposal whose outcome is not yet known.
struct PendingProposal {
    term: Term,
    size_bytes: usize,
    response: oneshot::Sender<ProposeResponse>,
}

/// Runs the replica and its state machine as an actor.
struct Node {
    replica: Replica,
    view: View,
    /// The index of the last log entry in the state of `view`.
    applied: LogIndex,
    /// Whether this replica was the leader when leadership changes were last handled.
    was_leader: bool,
    disk: SyncSender<DiskJob>,
    pending_disk_jobs: usize,
    peers: Peers,
    addresses: BTreeMap<ReplicaId, ReplicaAddresses>,
    repair_policy: RepairPolicy,
    pending_proposals: BTreeMap<LogIndex, PendingProposal>,
    pending_proposal_bytes: usize,
    /// Whether a `ProcessReady` message is in the mailbox.
    is_processing_scheduled: bool,
    /// Set once the actor stops because its files are an outdated copy; read by [`run`].
    is_outdated: Rc<Cell<bool>>,
}

/// Opens the storage and runs the node until it stops; never returns `Ok`.
///
/// # Errors
///
/// Returns an error if the storage or its snapshot cannot be read, and also once the node has
/// stopped, so that the supervisor restarts it.
pub(crate) async fn run(settings: Rc<Settings>, handle: NodeHandle) -> anyhow::Result<()> {
    let (storage, recovered) = Storage::open(&settings.data_folder, Incarnation(wall_ms()))?;
    let state = match recovered.snapshot.index {
        LogIndex(0) => ClusterState::default(),
        _ => ClusterState::from_bytes(&recovered.snapshot.state).context(
            "the snapshot was written by another version of the program; start that version",
        )?,
    };
    // The disk thread starts before the actor, so it receives the actor's address over a channel.
    let (address_sender, address_receiver) = oneshot::channel::<Addr<Node>>();
    let mut address_receiver = Some(address_receiver);
    let mut address = None;
    let send_completion = move |completion: DiskCompletion| {
        if let Some(receiver) = address_receiver.take() {
            address = receiver.blocking_recv().ok();
        }
        if let Some(address) = &address {
            address.do_send(DiskCompleted(completion));
        }
    };
    // The mutex makes an `Fn` of the `FnMut`; only the disk thread locks it.
    let send_completion = std::sync::Mutex::new(send_completion);
    let on_completion = move |completion| {
        send_completion
            .lock()
            .unwrap_or_else(PoisonError::into_inner)(completion);
    };
    let (disk, thread) = disk::start(storage, on_completion)?;
    let node = Node::new(&settings, recovered, state, disk);
    let is_outdated = node.is_outdated.clone();
    let address = Node::create(move |context| {
        context.set_mailbox_capacity(MAILBOX_CAPACITY_MESSAGES);
        node
    });
    let _ = address_sender.send(address.clone());
    handle.set(address.clone());
    while address.connected() {
        tokio::time::sleep(EXIT_POLL_INTERVAL).await;
    }
    // The storage must not be reopened while the disk thread may still write to it.
    while !thread.is_finished() {
        tokio::time::sleep(EXIT_POLL_INTERVAL).await;
    }
    if is_outdated.get() {
        rename_outdated_folder(&settings.data_folder)?;
    }
    anyhow::bail!("the replica stopped")
}

/// Renames a data folder that holds less than other replicas have observed of this replica, so that
/// the replica rejoins with an empty folder.
fn rename_outdated_folder(folder: &Path) -> anyhow::Result<()> {
    let mut name = folder.as_os_str().to_owned();
    name.push(format!("-outdated-{}", wall_ms()));
    std::fs::rename(folder, &name).context("the outdated data folder cannot be renamed")?;
    let kept = Path::new(&name).display();
    log::error!(
        "event=data_folder_outdated kept=\"{kept}\" \
         remedy=\"none needed: the replica rejoins empty\""
    );
    Ok(())
}

impl Node {
    fn new(
        settings: &Settings,
        recovered: RecoveredState,
        state: ClusterState,
        disk: SyncSender<DiskJob>,
    ) -> Self {
        let applied = recovered.snapshot.index;
        let addresses = settings.replicas.clone();
        let peers = addresses.iter().filter(|(id, _)| **id != settings.replica);
        let peers: BTreeMap<_, _> = peers.map(|(id, replica)| (*id, replica.peer)).collect();
        let first_voters = addresses.iter().filter(|(_, replica)| replica.first_voter);
        let first_voters: Vec<_> = first_voters.map(|(id, _)| *id).collect();
        let data_centres = addresses.iter();
        let data_centres = data_centres.map(|(id, replica)| (*id, replica.data_centre.clone()));
        let repair_policy = RepairPolicy::new(first_voters.len(), settings.replace_after_ms.get())
            .with_data_centres(data_centres.collect());
        let timing = jasminefall_replica::prelude::Settings::default();
        let replica = Replica::new(settings.replica, timing, recovered, rand::random())
            .with_first_voters(first_voters)
            .with_known_peers(addresses.keys().copied());
        let view = View {
            state,
            entry_leases: EntryLeases::default(),
            workers: WorkerRegistry::new(monotonic_ms()),
        };
        Self {
            replica,
            view,
            applied,
            was_leader: false,
            disk,
            pending_disk_jobs: 0,
            peers: Peers::new(&settings.site_key, move |id| peers.get(&id).copied()),
            addresses,
            repair_policy,
            pending_proposals: BTreeMap::new(),
            pending_proposal_bytes: 0,
            is_processing_scheduled: false,
            is_outdated: Rc::default(),
        }
    }

    /// Sends the messages, submits the disk jobs and applies the committed entries of the replica.
    fn process_ready(&mut self) {
        let ready = self.replica.take_ready();
        if let Some(snapshot) = &ready.snapshot {
            self.restore(snapshot);
        }
        let needs_disk = ready.must_store() || !ready.messages_after_sync.is_empty();
        for message in ready.messages {
            self.peers.send(message);
        }
        if needs_disk {
            self.submit_disk_job(DiskJob {
                hard_state: ready.hard_state,
                snapshot: ready.snapshot,
                append: ready.append,
                messages: ready.messages_after_sync,
            });
        }
        for entry in ready.committed {
            self.apply(entry);
        }
        self.handle_leadership_change();
        self.compact_if_due();
    }

    /// Submits a job to the disk thread, and exits the process if the thread has stopped.
    fn submit_disk_job(&mut self, job: DiskJob) {
        self.pending_disk_jobs += 1;
        if self.disk.send(job).is_err() {
            log::error!("event=disk_thread_stopped remedy=\"the process exits to be restarted\"");
            log::logger().flush();
            std::process::exit(3);
        }
    }

    /// Returns whether the disk thread has too many pending jobs to accept further work.
    const fn is_disk_behind(&self) -> bool {
        self.pending_disk_jobs >= MAX_PENDING_DISK_JOBS
    }

    /// Replaces the state by that of a snapshot; exits the process if it cannot be decoded.
    fn restore(&mut self, snapshot: &Snapshot) {
        match ClusterState::from_bytes(&snapshot.state) {
            Ok(state) => self.view.state = state,
            Err(error) => {
                log::error!(
                    "event=snapshot_unreadable error=\"{error}\" \
                     remedy=\"run the same version on all control instances\""
                );
                log::logger().flush();
                std::process::exit(3);
            }
        }
        self.applied = snapshot.index;
    }

    /// Applies a committed log entry and answers its proposal if it was made on this replica.
    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let outcome = match &entry.payload {
            Payload::Command(bytes) => {
                match jasminefall_wire::codec::decode::<StampedCommand>(bytes) {
                    Ok(stamped) => self.view.state.apply(stamped),
                    Err(error) => {
                        log::error!(
                            "event=command_unreadable error=\"{error}\" \
                             remedy=\"run the same version on all control instances\""
                        );
                        log::logger().flush();
                        std::process::exit(3);
                    }
                }
            }
            Payload::Noop => Outcome::Done,
            Payload::Membership(membership) => {
                log::info!(
                    "event=members voters={:?} learners={:?}",
                    membership.voters,
                    membership.learners
                );
                Outcome::Done
            }
        };
        if let Some(pending) = self.pending_proposals.remove(&entry.index) {
            self.pending_proposal_bytes -= pending.size_bytes;
            let response = if pending.term == entry.term {
                Ok(outcome)
            } else {
                Err(ControlError::Unknown)
            };
            let _ = pending.response.send(response);
        }
    }

    fn handle_leadership_change(&mut self) {
        let is_leader = self.replica.is_leader();
        if is_leader && !self.was_leader {
            log::info!("event=leads term={}", self.replica.term());
            self.view.entry_leases.reset(monotonic_ms());
            self.view.workers = WorkerRegistry::new(monotonic_ms());
        }
        if !is_leader && self.was_leader {
            log::info!("event=follows term={}", self.replica.term());
            self.pending_proposal_bytes = 0;
            for (_, pending) in std::mem::take(&mut self.pending_proposals) {
                let _ = pending.response.send(Err(ControlError::Unknown));
            }
        }
        self.was_leader = is_leader;
    }

    fn compact_if_due(&mut self) {
        let log = self.replica.log();
        let applied_entries = self.applied.0.saturating_sub(log.snapshot().index.0);
        let limit_bytes = COMPACT_AFTER_BYTES.max(log.snapshot().state.len());
        if applied_entries == 0
            || (applied_entries < COMPACT_AFTER_ENTRIES && log.size_bytes() < limit_bytes)
        {
            return;
        }
        let state = self.view.state.to_bytes();
        if let Some(snapshot) = self.replica.compact(self.applied, state) {
            let log = self.replica.log();
            let append = log.entries_after(snapshot.index, usize::MAX).to_vec();
            self.submit_disk_job(DiskJob {
                hard_state: None,
                snapshot: Some(snapshot),
                append,
                messages: Vec::new(),
            });
        }
    }

    fn not_leader_error(&self, error: NotLeader) -> ControlError {
        let leader = error.leader.filter(|leader| *leader != self.replica.id());
        let addresses = leader.and_then(|leader| self.addresses.get(&leader));
        ControlError::NotLeader(addresses.map(|addresses| addresses.peer.to_string().into()))
    }

    /// Returns an error unless the view is fresh.
    fn require_fresh(&self) -> Result<(), ControlError> {
        match self.replica.read_index(monotonic_ms()) {
            Ok(index) if index <= self.applied => Ok(()),
            Ok(_) | Err(ReadError::NoLease) => Err(ControlError::NotLeader(None)),
            Err(ReadError::NotLeader(error)) => Err(self.not_leader_error(error)),
        }
    }

    /// Stops the actor if its files are an outdated copy, so that [`run`] renames their folder.
    fn stop_if_outdated(&self, context: &mut Context<Self>) {
        if self.replica.is_outdated() {
            self.is_outdated.set(true);
            context.stop();
        }
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK_INTERVAL, |node, context| {
            node.replica.tick(monotonic_ms());
            node.process_ready();
            node.stop_if_outdated(context);
        });
        context.run_interval(MEMBERSHIP_REPAIR_INTERVAL, |node, _| node.repair());
    }
}
