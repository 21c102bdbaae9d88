//! The replica with its state, and the handle by which others reach it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use actix::prelude::*;
use anyhow::Context as _;
use jasminefall_replica::prelude::*;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_state::prelude::*;
use jasminefall_wire::message::{ControlError, ProposeAnswer};
use tokio::sync::oneshot;

use crate::disk::{self, DiskDone, DiskJob};
use crate::entry_leases::EntryLeases;
use crate::peers::Peers;
use crate::settings::{ReplicaAddresses, Settings};
use crate::worker_book::WorkerBook;

const TICK: Duration = Duration::from_millis(20);
const LIVENESS_CHECK: Duration = Duration::from_millis(50);
/// A snapshot is made once this many entries have been applied since the last one.
const COMPACT_AFTER_ENTRIES: usize = 10_000;
const MAX_WAITING: usize = 10_000;
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

/// Runs the replica as an actor.
struct Node {
    replica: Replica,
    view: View,
    applied: LogIndex,
    was_leader: bool,
    disk: SyncSender<DiskJob>,
    peers: Peers,
    addresses: BTreeMap<ReplicaId, ReplicaAddresses>,
    waiting: BTreeMap<LogIndex, (Term, oneshot::Sender<ProposeAnswer>)>,
}

/// Opens the storage, runs the node and returns when it has stopped.
pub(crate) async fn run(settings: Rc<Settings>, handle: NodeHandle) -> anyhow::Result<()> {
    let (storage, recovered) = Storage::open(&settings.data_folder)?;
    let voters = settings.replicas.keys().copied();
    let recovered = with_first_membership(recovered, Recovered::with_voters(voters));
    let state = match recovered.snapshot.index {
        LogIndex(0) => ClusterState::default(),
        _ => ClusterState::from_bytes(&recovered.snapshot.state)
            .context("the snapshot is of another version; start the version that wrote it")?,
    };
    let (sender, receiver) = oneshot::channel::<Addr<Node>>();
    let mut receiver = Some(receiver);
    let mut address = None;
    let done = move |done: DiskDone| {
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
    anyhow::bail!("the replica stopped")
}

fn with_first_membership(recovered: Option<Recovered>, first: Recovered) -> Recovered {
    let Some(mut recovered) = recovered else {
        return first;
    };
    if recovered.snapshot.index == LogIndex(0) {
        recovered.snapshot = first.snapshot;
    }
    recovered
}

impl Node {
    fn new(
        settings: &Settings,
        recovered: Recovered,
        state: ClusterState,
        disk: SyncSender<DiskJob>,
    ) -> Self {
        let applied = recovered.snapshot.index;
        let addresses = settings.replicas.clone();
        let others = addresses.iter().filter(|(id, _)| **id != settings.replica);
        let others = others.map(|(id, replica)| (*id, replica.peer)).collect();
        let timing = jasminefall_replica::prelude::Settings::default();
        let view = View {
            state,
            entry_leases: EntryLeases::default(),
            workers: WorkerBook::new(monotonic_ms()),
        };
        Self {
            replica: Replica::new(settings.replica, timing, recovered, rand::random()),
            view,
            applied,
            was_leader: false,
            disk,
            peers: Peers::start(others, &settings.site_key),
            addresses,
            waiting: BTreeMap::new(),
        }
    }

    /// Carries out everything that the replica asks for.
    fn pump(&mut self) {
        let ready = self.replica.take_ready();
        if let Some(snapshot) = &ready.snapshot {
            self.load(snapshot);
        }
        ready
            .messages
            .into_iter()
            .for_each(|message| self.peers.send(message));
        let stores =
            ready.hard_state.is_some() || ready.snapshot.is_some() || !ready.append.is_empty();
        if stores || !ready.messages_after_sync.is_empty() {
            let following = Vec::new();
            self.store(DiskJob {
                hard_state: ready.hard_state,
                snapshot: ready.snapshot.map(|snapshot| (snapshot, following)),
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

    fn store(&self, job: DiskJob) {
        if self.disk.send(job).is_err() {
            log::error!("event=disk_thread_gone");
            std::process::exit(3);
        }
    }

    fn load(&mut self, snapshot: &Snapshot) {
        match ClusterState::from_bytes(&snapshot.state) {
            Ok(state) => self.view.state = state,
            Err(error) => {
                log::error!(
                    "event=snapshot_unreadable error=\"{error}\" remedy=\"run one version\""
                );
                std::process::exit(3);
            }
        }
        self.applied = snapshot.index;
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        let outcome = match &entry.payload {
            Payload::Command(bytes) => match postcard_stamped(bytes) {
                Ok(stamped) => self.view.state.apply(stamped),
                Err(error) => {
                    log::error!(
                        "event=command_unreadable error=\"{error}\" remedy=\"run one version\""
                    );
                    std::process::exit(3);
                }
            },
            Payload::Noop | Payload::Membership(_) => Outcome::Done,
        };
        if let Some((term, waiter)) = self.waiting.remove(&entry.index) {
            let answer = if term == entry.term {
                Ok(outcome)
            } else {
                Err(ControlError::Unknown)
            };
            let _ = waiter.send(answer);
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
            for (_, (_, waiter)) in std::mem::take(&mut self.waiting) {
                let _ = waiter.send(Err(ControlError::Unknown));
            }
        }
        self.was_leader = leads;
    }

    fn compact_if_long(&mut self) {
        let held = self
            .applied
            .0
            .saturating_sub(self.replica.log().snapshot().index.0);
        if held < COMPACT_AFTER_ENTRIES as u64 {
            return;
        }
        if let Some(snapshot) = self
            .replica
            .compact(self.applied, self.view.state.to_bytes())
        {
            let following = self
                .replica
                .log()
                .after(snapshot.index, usize::MAX)
                .to_vec();
            self.store(DiskJob {
                hard_state: None,
                snapshot: Some((snapshot, following)),
                append: Vec::new(),
                messages: Vec::new(),
            });
        }
    }

    /// Proposes a command; the answer comes once it has been applied here.
    fn propose(&mut self, command: Command) -> ResponseFuture<ProposeAnswer> {
        if self.waiting.len() >= MAX_WAITING {
            return Box::pin(async { Err(ControlError::Busy) });
        }
        let stamped = Stamped {
            at_ms: wall_ms(),
            command,
        };
        let payload = Payload::Command(jasminefall_wire::codec::encode(&stamped));
        let index = match self.replica.propose(monotonic_ms(), payload) {
            Ok(index) => index,
            Err(known) => {
                let error = self.not_leader(known);
                return Box::pin(async { Err(error) });
            }
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(index, (self.replica.term(), sender));
        self.pump();
        Box::pin(async { receiver.await.unwrap_or(Err(ControlError::Unknown)) })
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
}

fn postcard_stamped(bytes: &[u8]) -> Result<Stamped, capnp::Error> {
    jasminefall_wire::codec::decode(bytes)
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |node, _| {
            node.replica.tick(monotonic_ms());
            node.pump();
        });
    }
}

/// Reports what the disk thread has done.
#[derive(Message)]
#[rtype(result = "()")]
struct Synced(DiskDone);

impl Handler<Synced> for Node {
    type Result = ();

    fn handle(&mut self, Synced(done): Synced, _: &mut Self::Context) {
        if let Some((index, term)) = done.last {
            self.replica.synced(index, term);
        }
        for message in done.messages {
            if message.to == self.replica.id() {
                self.replica.step(monotonic_ms(), message);
            } else {
                self.peers.send(message);
            }
        }
        self.pump();
    }
}

/// Brings messages of other replicas.
#[derive(Message)]
#[rtype(result = "()")]
struct Step(Vec<jasminefall_replica::prelude::Message>);

impl Handler<Step> for Node {
    type Result = ();

    fn handle(&mut self, Step(messages): Step, _: &mut Self::Context) {
        for message in messages {
            self.replica.step(monotonic_ms(), message);
        }
        self.pump();
    }
}

/// Proposes a command.
#[derive(Message)]
#[rtype(result = "ProposeAnswer")]
struct Propose(Command);

impl Handler<Propose> for Node {
    type Result = ResponseFuture<ProposeAnswer>;

    fn handle(&mut self, Propose(command): Propose, _: &mut Self::Context) -> Self::Result {
        self.propose(command)
    }
}

type Decision = Box<dyn FnOnce(&mut View) -> Option<Command> + Send>;

/// Looks at the fresh state and proposes what follows from it, with nothing handled in between.
#[derive(Message)]
#[rtype(result = "Result<Option<Outcome>, ControlError>")]
struct Decide(Decision);

impl Handler<Decide> for Node {
    type Result = ResponseFuture<Result<Option<Outcome>, ControlError>>;

    fn handle(&mut self, Decide(decide): Decide, _: &mut Self::Context) -> Self::Result {
        if let Err(error) = self.require_fresh() {
            return Box::pin(async { Err(error) });
        }
        let Some(command) = decide(&mut self.view) else {
            return Box::pin(async { Ok(None) });
        };
        let answer = self.propose(command);
        Box::pin(async { answer.await.map(Some) })
    }
}

type Look = Box<dyn FnOnce(&mut View, &ReplicaStatus, Result<(), ControlError>) + Send>;

/// Looks at what the node holds.
#[derive(Message)]
#[rtype(result = "()")]
struct LookAt(Look);

impl Handler<LookAt> for Node {
    type Result = ();

    fn handle(&mut self, LookAt(look): LookAt, _: &mut Self::Context) {
        let status = ReplicaStatus {
            replica: self.replica.id(),
            leader: self.replica.leader(),
            term: self.replica.term(),
            commit: self.replica.commit_index(),
        };
        let fresh = self.require_fresh();
        look(&mut self.view, &status, fresh);
    }
}

/// Reaches the node from any thread, also after the node has been restarted.
#[derive(Clone, Default)]
pub(crate) struct NodeHandle(Arc<RwLock<Option<Addr<Node>>>>);

impl NodeHandle {
    fn set(&self, address: Addr<Node>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    fn get(&self) -> Option<Addr<Node>> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Hands over messages of other replicas; a full mailbox drops them, as a network would.
    pub(crate) fn step(&self, messages: Vec<jasminefall_replica::prelude::Message>) {
        if let Some(address) = self.get() {
            let _ = address.try_send(Step(messages));
        }
    }

    /// Proposes a command and waits for its outcome.
    pub(crate) async fn propose(&self, command: Command) -> ProposeAnswer {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        address
            .send(Propose(command))
            .await
            .unwrap_or(Err(ControlError::Unknown))
    }

    /// Looks at the fresh state and proposes what follows from it, with nothing handled in between.
    pub(crate) async fn decide(
        &self,
        decide: impl FnOnce(&mut View) -> Option<Command> + Send + 'static,
    ) -> Result<Option<Outcome>, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let sent = address.send(Decide(Box::new(decide))).await;
        sent.unwrap_or(Err(ControlError::Unknown))
    }

    /// Looks at the state where it is fresh, which only the leader can promise.
    pub(crate) async fn look_fresh<T: Send + 'static>(
        &self,
        look: impl FnOnce(&mut View) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        self.look(move |view, _, fresh| fresh.map(|()| look(view)))
            .await
            .and_then(|result| result)
    }

    /// Looks at the state as it is here, fresh or not.
    pub(crate) async fn look<T: Send + 'static>(
        &self,
        look: impl FnOnce(&mut View, &ReplicaStatus, Result<(), ControlError>) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let (sender, receiver) = oneshot::channel();
        let boxed: Look = Box::new(move |view, status, fresh| {
            let _ = sender.send(look(view, status, fresh));
        });
        address
            .send(LookAt(boxed))
            .await
            .map_err(|_| ControlError::NotLeader(None))?;
        receiver.await.map_err(|_| ControlError::NotLeader(None))
    }
}
