//! The replica with its state, and the handle by which others reach it.
//!
//! - [`handle`]: calls from other threads
//! - [`members`]: the membership and its repair
//! - [`messages`]: what the actor is asked

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
use jasminefall_wire::message::{ControlError, ProposeAnswer};
use jasminefall_wire::peers::Peers;
use tokio::sync::oneshot;

pub(crate) use self::handle::NodeHandle;
use self::messages::Synced;
use crate::entry_leases::EntryLeases;
use crate::settings::{ReplicaAddresses, Settings};
use crate::worker_book::WorkerBook;

const TICK: Duration = Duration::from_millis(20);
const LIVENESS_CHECK: Duration = Duration::from_millis(50);
const REPAIR_INTERVAL: Duration = Duration::from_millis(200);
/// A snapshot is made once this many entries have been applied since the last one.
const COMPACT_AFTER_ENTRIES: u64 = 10_000;
/// A snapshot is made once the log holds this much, or as much as the last snapshot.
const COMPACT_AFTER_BYTES: usize = 16 << 20;
const MAX_WAITING: usize = 10_000;
const MAX_WAITING_BYTES: usize = 64 << 20;
/// With this many jobs waiting for the disk, proposals are refused and messages dropped.
const MAX_DISK_JOBS: usize = 1_024;
const MAILBOX_LENGTH: usize = 16_384;

/// Holds what may be looked at, on the leader or on any replica.
pub(crate) struct View {
    /// The replicated state as applied here.
    pub(crate) state: ClusterState,
    /// The leases that entries hold; meaningful on the leader only.
    pub(crate) entry_leases: EntryLeases,
    /// What workers said; meaningful on the leader only.
    pub(crate) workers: WorkerBook,
}

/// Describes a replica for operators.
#[derive(Debug, Clone, serde::Serialize)]
pub(crate) struct ReplicaStatus {
    /// The replica.
    pub(crate) replica: ReplicaId,
    /// The leader that it follows.
    pub(crate) leader: Option<ReplicaId>,
    /// Its term.
    pub(crate) term: Term,
    /// The last index known to be committed.
    pub(crate) commit: LogIndex,
}

/// Waits for the outcome of a proposal.
struct Waiter {
    term: Term,
    size_bytes: usize,
    answer: oneshot::Sender<ProposeAnswer>,
}

/// Runs the replica as an actor.
struct Node {
    replica: Replica,
    view: View,
    applied: LogIndex,
    was_leader: bool,
    disk: SyncSender<DiskJob>,
    disk_jobs: usize,
    peers: Peers,
    addresses: BTreeMap<ReplicaId, ReplicaAddresses>,
    repair_policy: RepairPolicy,
    waiting: BTreeMap<LogIndex, Waiter>,
    waiting_bytes: usize,
    pump_due: bool,
    outdated: Rc<Cell<bool>>,
}

/// Opens the storage, runs the node and returns when it has stopped.
pub(crate) async fn run(settings: Rc<Settings>, handle: NodeHandle) -> anyhow::Result<()> {
    let (storage, recovered) = Storage::open(&settings.data_folder, Incarnation(wall_ms()))?;
    let state = match recovered.snapshot.index {
        LogIndex(0) => ClusterState::default(),
        _ => ClusterState::from_bytes(&recovered.snapshot.state)
            .context("the snapshot is of another version; start the version that wrote it")?,
    };
    let (sender, receiver) = oneshot::channel::<Addr<Node>>();
    let mut receiver = Some(receiver);
    let mut address = None;
    let done = move |done: DiskCompletion| {
        if let Some(receiver) = receiver.take() {
            address = receiver.blocking_recv().ok();
        }
        if let Some(address) = &address {
            address.do_send(Synced(done));
        }
    };
    let done = std::sync::Mutex::new(done);
    let call_done = move |stored| done.lock().unwrap_or_else(PoisonError::into_inner)(stored);
    let (disk, thread) = disk::start(storage, call_done)?;
    let node = Node::new(&settings, recovered, state, disk);
    let outdated = node.outdated.clone();
    let address = Node::create(move |context| {
        context.set_mailbox_capacity(MAILBOX_LENGTH);
        node
    });
    let _ = sender.send(address.clone());
    handle.set(address.clone());
    while address.connected() {
        tokio::time::sleep(LIVENESS_CHECK).await;
    }
    // The files may be opened again only once the thread that writes them has ended.
    while !thread.is_finished() {
        tokio::time::sleep(LIVENESS_CHECK).await;
    }
    if outdated.get() {
        set_aside(&settings.data_folder)?;
    }
    anyhow::bail!("the replica stopped")
}

/// Sets a folder aside that holds less than the replica was seen to have stored.
fn set_aside(folder: &Path) -> anyhow::Result<()> {
    let mut name = folder.as_os_str().to_owned();
    name.push(format!("-outdated-{}", wall_ms()));
    std::fs::rename(folder, &name).context("the outdated data folder cannot be set aside")?;
    let kept = Path::new(&name).display();
    log::error!(
        "event=data_folder_outdated kept=\"{kept}\" remedy=\"none needed: the replica rejoins empty\""
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
        let others = addresses.iter().filter(|(id, _)| **id != settings.replica);
        let others: BTreeMap<_, _> = others.map(|(id, replica)| (*id, replica.peer)).collect();
        let first_voters = addresses.iter().filter(|(_, replica)| replica.first_voter);
        let first_voters: Vec<_> = first_voters.map(|(id, _)| *id).collect();
        let places = addresses.iter();
        let places = places.map(|(id, replica)| (*id, replica.data_centre.clone()));
        let repair_policy = RepairPolicy::new(first_voters.len(), settings.replace_after_ms.get())
            .with_data_centres(places.collect());
        let timing = jasminefall_replica::prelude::Settings::default();
        let replica = Replica::new(settings.replica, timing, recovered, rand::random())
            .with_first_voters(first_voters)
            .with_known_peers(addresses.keys().copied());
        let view = View {
            state,
            entry_leases: EntryLeases::default(),
            workers: WorkerBook::new(monotonic_ms()),
        };
        Self {
            replica,
            view,
            applied,
            was_leader: false,
            disk,
            disk_jobs: 0,
            peers: Peers::new(&settings.site_key, move |id| others.get(&id).copied()),
            addresses,
            repair_policy,
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            pump_due: false,
            outdated: Rc::default(),
        }
    }

    /// Carries out everything that the replica asks for.
    fn pump(&mut self) {
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
        for entry in ready.committed {
            self.apply(entry);
        }
        self.note_leadership();
        self.compact_if_long();
    }

    fn store(&mut self, job: DiskJob) {
        self.disk_jobs += 1;
        if self.disk.send(job).is_err() {
            log::error!("event=disk_thread_gone");
            log::logger().flush();
            std::process::exit(3);
        }
    }

    /// Returns whether the disk lags so far that no more work may be taken.
    const fn is_disk_behind(&self) -> bool {
        self.disk_jobs >= MAX_DISK_JOBS
    }

    fn load(&mut self, snapshot: &Snapshot) {
        match ClusterState::from_bytes(&snapshot.state) {
            Ok(state) => self.view.state = state,
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

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let outcome = match &entry.payload {
            Payload::Command(bytes) => {
                match jasminefall_wire::codec::decode::<StampedCommand>(bytes) {
                    Ok(stamped) => self.view.state.apply(stamped),
                    Err(error) => {
                        log::error!(
                            "event=command_unreadable error=\"{error}\" remedy=\"run one version\""
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
        if let Some(waiter) = self.waiting.remove(&entry.index) {
            self.waiting_bytes -= waiter.size_bytes;
            let answer = if waiter.term == entry.term {
                Ok(outcome)
            } else {
                Err(ControlError::Unknown)
            };
            let _ = waiter.answer.send(answer);
        }
    }

    fn note_leadership(&mut self) {
        let leads = self.replica.is_leader();
        if leads && !self.was_leader {
            log::info!("event=leads term={}", self.replica.term());
            self.view.entry_leases.start_over(monotonic_ms());
            self.view.workers = WorkerBook::new(monotonic_ms());
        }
        if !leads && self.was_leader {
            log::info!("event=follows term={}", self.replica.term());
            self.waiting_bytes = 0;
            for (_, waiter) in std::mem::take(&mut self.waiting) {
                let _ = waiter.answer.send(Err(ControlError::Unknown));
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
        let state = self.view.state.to_bytes();
        if let Some(snapshot) = self.replica.compact(self.applied, state) {
            let log = self.replica.log();
            let append = log.entries_after(snapshot.index, usize::MAX).to_vec();
            self.store(DiskJob {
                hard_state: None,
                snapshot: Some(snapshot),
                append,
                messages: Vec::new(),
            });
        }
    }

    fn not_leader(&self, known: NotLeader) -> ControlError {
        let leader = known.leader.filter(|leader| *leader != self.replica.id());
        let addresses = leader.and_then(|leader| self.addresses.get(&leader));
        ControlError::NotLeader(addresses.map(|addresses| addresses.peer.to_string().into()))
    }

    /// Returns an error unless what is looked at here is fresh.
    fn require_fresh(&self) -> Result<(), ControlError> {
        match self.replica.read_index(monotonic_ms()) {
            Ok(index) if index <= self.applied => Ok(()),
            Ok(_) | Err(ReadError::NoLease) => Err(ControlError::NotLeader(None)),
            Err(ReadError::NotLeader(known)) => Err(self.not_leader(known)),
        }
    }

    /// Stops the actor where its files proved to be an older copy; they are then set aside.
    fn stop_if_outdated(&self, context: &mut Context<Self>) {
        if self.replica.is_outdated() {
            self.outdated.set(true);
            context.stop();
        }
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |node, context| {
            node.replica.tick(monotonic_ms());
            node.pump();
            node.stop_if_outdated(context);
        });
        context.run_interval(REPAIR_INTERVAL, |node, _| node.repair());
    }
}
