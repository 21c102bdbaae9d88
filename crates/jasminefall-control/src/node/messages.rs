//! The messages of the actor and their handlers.

use actix::prelude::*;
use jasminefall_replica::disk::DiskCompletion;
use jasminefall_replica::prelude::MembershipChange;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_state::prelude::*;
use jasminefall_wire::message::{ControlError, ProposeResponse};
use tokio::sync::oneshot;

use super::members::MembersBody;
use super::{
    MAX_PENDING_PROPOSAL_BYTES, MAX_PENDING_PROPOSALS, Node, PendingProposal, ReplicaStatus, View,
};

/// Reports completed jobs of the disk thread.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct DiskCompleted(pub(super) DiskCompletion);

impl Handler<DiskCompleted> for Node {
    type Result = ();

    fn handle(&mut self, DiskCompleted(completion): DiskCompleted, _: &mut Self::Context) {
        self.pending_disk_jobs -= completion.job_count;
        if let Some((index, term)) = completion.last_entry {
            self.replica.mark_synced(index, term);
        }
        for message in completion.messages {
            if message.to == self.replica.id() {
                self.replica.step(monotonic_ms(), message);
            } else {
                self.peers.send(message);
            }
        }
        self.process_ready();
    }
}

/// Delivers messages of other replicas to the replica.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct StepMessages(pub(super) Vec<jasminefall_replica::prelude::Message>);

impl Handler<StepMessages> for Node {
    type Result = ();

    fn handle(&mut self, StepMessages(messages): StepMessages, _: &mut Self::Context) {
        if self.is_disk_behind() {
            return;
        }
        for message in messages {
            self.replica.step(monotonic_ms(), message);
        }
        self.process_ready();
    }
}

/// Processes the proposals that were accepted since the previous `ProcessReady`, as one batch.
#[derive(Message)]
#[rtype(result = "()")]
struct ProcessReady;

impl Handler<ProcessReady> for Node {
    type Result = ();

    fn handle(&mut self, _: ProcessReady, _: &mut Self::Context) {
        self.is_processing_scheduled = false;
        self.process_ready();
    }
}

/// Proposes a command.
#[derive(Message)]
#[rtype(result = "ProposeResponse")]
pub(super) struct Propose(pub(super) Command);

impl Handler<Propose> for Node {
    type Result = ResponseFuture<ProposeResponse>;

    fn handle(&mut self, Propose(command): Propose, context: &mut Self::Context) -> Self::Result {
        self.propose(command, context)
    }
}

pub(super) type DecideFn = Box<dyn FnOnce(&mut View) -> Option<Command> + Send>;

/// Calls a function with the fresh view and proposes the command that it returns, without handling
/// another message in between.
#[derive(Message)]
#[rtype(result = "Result<Option<Outcome>, ControlError>")]
pub(super) struct ProposeFromView(pub(super) DecideFn);

impl Handler<ProposeFromView> for Node {
    type Result = ResponseFuture<Result<Option<Outcome>, ControlError>>;

    fn handle(
        &mut self,
        ProposeFromView(decide): ProposeFromView,
        context: &mut Self::Context,
    ) -> Self::Result {
        if let Err(error) = self.require_fresh() {
            return Box::pin(async { Err(error) });
        }
        let Some(command) = decide(&mut self.view) else {
            return Box::pin(async { Ok(None) });
        };
        let response = self.propose(command, context);
        Box::pin(async { response.await.map(Some) })
    }
}

impl Node {
    /// Proposes a command; the response is sent once the command has been applied on this replica.
    fn propose(
        &mut self,
        command: Command,
        context: &mut Context<Self>,
    ) -> ResponseFuture<ProposeResponse> {
        let is_full = self.pending_proposals.len() >= MAX_PENDING_PROPOSALS
            || self.pending_proposal_bytes >= MAX_PENDING_PROPOSAL_BYTES;
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
            Err(error) => {
                let error = self.not_leader_error(error);
                return Box::pin(async { Err(error) });
            }
        };
        let (response, receiver) = oneshot::channel();
        let pending = PendingProposal {
            term: self.replica.term(),
            size_bytes,
            response,
        };
        self.pending_proposals.insert(index, pending);
        self.pending_proposal_bytes += size_bytes;
        // Proposals that are already in the mailbox are handled first and join the same batch.
        if !std::mem::replace(&mut self.is_processing_scheduled, true) {
            context.address().do_send(ProcessReady);
        }
        Box::pin(async { receiver.await.unwrap_or(Err(ControlError::Unknown)) })
    }
}

pub(super) type ViewFn =
    Box<dyn FnOnce(&mut View, &ReplicaStatus, Result<(), ControlError>) + Send>;

/// Calls a function with the view, fresh or not.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct WithView(pub(super) ViewFn);

impl Handler<WithView> for Node {
    type Result = ();

    fn handle(&mut self, WithView(access): WithView, _: &mut Self::Context) {
        let status = ReplicaStatus {
            replica: self.replica.id(),
            leader: self.replica.leader(),
            term: self.replica.term(),
            commit: self.replica.commit_index(),
        };
        let fresh = self.require_fresh();
        access(&mut self.view, &status, fresh);
    }
}

/// Requests the status of the members as seen by the leader.
#[derive(Message)]
#[rtype(result = "Result<MembersBody, ControlError>")]
pub(super) struct GetMembers;

impl Handler<GetMembers> for Node {
    type Result = Result<MembersBody, ControlError>;

    fn handle(&mut self, _: GetMembers, _: &mut Self::Context) -> Self::Result {
        self.require_fresh()?;
        Ok(self.members_body())
    }
}

/// Proposes a membership change; the inner error gives the reason if it is refused.
#[derive(Message)]
#[rtype(result = "Result<Result<(), String>, ControlError>")]
pub(super) struct ChangeMembers(pub(super) MembershipChange);

impl Handler<ChangeMembers> for Node {
    type Result = Result<Result<(), String>, ControlError>;

    fn handle(&mut self, change: ChangeMembers, _: &mut Self::Context) -> Self::Result {
        self.require_fresh()?;
        let proposed = self.replica.change_membership(monotonic_ms(), change.0);
        self.process_ready();
        Ok(proposed.map(|_| ()).map_err(|error| error.to_string()))
    }
}
