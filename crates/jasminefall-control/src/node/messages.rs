//! What the actor is asked.

use actix::prelude::*;
use jasminefall_replica::disk::DiskCompletion;
use jasminefall_replica::prelude::MembershipChange;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_state::prelude::*;
use jasminefall_wire::message::{ControlError, ProposeAnswer};
use tokio::sync::oneshot;

use super::members::MembersBody;
use super::{MAX_WAITING, MAX_WAITING_BYTES, Node, ReplicaStatus, View, Waiter};

/// Reports what the disk thread has done.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Synced(pub(super) DiskCompletion);

impl Handler<Synced> for Node {
    type Result = ();

    fn handle(&mut self, Synced(done): Synced, _: &mut Self::Context) {
        self.disk_jobs -= done.job_count;
        if let Some((index, term)) = done.last_entry {
            self.replica.mark_synced(index, term);
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
pub(super) struct Step(pub(super) Vec<jasminefall_replica::prelude::Message>);

impl Handler<Step> for Node {
    type Result = ();

    fn handle(&mut self, Step(messages): Step, _: &mut Self::Context) {
        if self.is_disk_behind() {
            return;
        }
        for message in messages {
            self.replica.step(monotonic_ms(), message);
        }
        self.pump();
    }
}

/// Carries out what has gathered since the first proposal that is not under way yet.
#[derive(Message)]
#[rtype(result = "()")]
struct Pump;

impl Handler<Pump> for Node {
    type Result = ();

    fn handle(&mut self, _: Pump, _: &mut Self::Context) {
        self.pump_due = false;
        self.pump();
    }
}

/// Proposes a command.
#[derive(Message)]
#[rtype(result = "ProposeAnswer")]
pub(super) struct Propose(pub(super) Command);

impl Handler<Propose> for Node {
    type Result = ResponseFuture<ProposeAnswer>;

    fn handle(&mut self, Propose(command): Propose, context: &mut Self::Context) -> Self::Result {
        self.propose(command, context)
    }
}

pub(super) type Decision = Box<dyn FnOnce(&mut View) -> Option<Command> + Send>;

/// Looks at the fresh state and proposes what follows from it, with nothing handled in between.
#[derive(Message)]
#[rtype(result = "Result<Option<Outcome>, ControlError>")]
pub(super) struct Decide(pub(super) Decision);

impl Handler<Decide> for Node {
    type Result = ResponseFuture<Result<Option<Outcome>, ControlError>>;

    fn handle(&mut self, Decide(decide): Decide, context: &mut Self::Context) -> Self::Result {
        if let Err(error) = self.require_fresh() {
            return Box::pin(async { Err(error) });
        }
        let Some(command) = decide(&mut self.view) else {
            return Box::pin(async { Ok(None) });
        };
        let answer = self.propose(command, context);
        Box::pin(async { answer.await.map(Some) })
    }
}

impl Node {
    /// Proposes a command; the answer comes once it has been applied here.
    fn propose(
        &mut self,
        command: Command,
        context: &mut Context<Self>,
    ) -> ResponseFuture<ProposeAnswer> {
        let is_full = self.waiting.len() >= MAX_WAITING || self.waiting_bytes >= MAX_WAITING_BYTES;
        if is_full || self.is_disk_behind() {
            return Box::pin(async { Err(ControlError::Busy) });
        }
        let stamped = StampedCommand {
            at_ms: wall_ms(),
            command,
        };
        let bytes = jasminefall_wire::codec::encode(&stamped);
        let size_bytes = bytes.len();
        let index = match self.replica.propose(monotonic_ms(), bytes) {
            Ok(index) => index,
            Err(known) => {
                let error = self.not_leader(known);
                return Box::pin(async { Err(error) });
            }
        };
        let (answer, receiver) = oneshot::channel();
        let waiter = Waiter {
            term: self.replica.term(),
            size_bytes,
            answer,
        };
        self.waiting.insert(index, waiter);
        self.waiting_bytes += size_bytes;
        // Proposals that are already in the mailbox travel with this one.
        if !std::mem::replace(&mut self.pump_due, true) {
            context.address().do_send(Pump);
        }
        Box::pin(async { receiver.await.unwrap_or(Err(ControlError::Unknown)) })
    }
}

pub(super) type Look = Box<dyn FnOnce(&mut View, &ReplicaStatus, Result<(), ControlError>) + Send>;

/// Looks at what the node holds.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct LookAt(pub(super) Look);

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

/// Asks for the members as the leader knows them.
#[derive(Message)]
#[rtype(result = "Result<MembersBody, ControlError>")]
pub(super) struct LookAtMembers;

impl Handler<LookAtMembers> for Node {
    type Result = Result<MembersBody, ControlError>;

    fn handle(&mut self, _: LookAtMembers, _: &mut Self::Context) -> Self::Result {
        self.require_fresh()?;
        Ok(self.members())
    }
}

/// Begins a change of the membership; the error says why it was not begun.
#[derive(Message)]
#[rtype(result = "Result<Result<(), String>, ControlError>")]
pub(super) struct ChangeMembers(pub(super) MembershipChange);

impl Handler<ChangeMembers> for Node {
    type Result = Result<Result<(), String>, ControlError>;

    fn handle(&mut self, change: ChangeMembers, _: &mut Self::Context) -> Self::Result {
        self.require_fresh()?;
        let begun = self.replica.change_membership(monotonic_ms(), change.0);
        self.pump();
        Ok(begun.map(|_| ()).map_err(|error| error.to_string()))
    }
}
