//! Calls to the node's actor from any thread.

use std::sync::{Arc, PoisonError, RwLock};

use actix::prelude::*;
use jasminefall_replica::prelude::MembershipChange;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::{ControlError, ProposeResponse};
use tokio::sync::oneshot;

use super::members::MembersBody;
use super::messages::{
    ChangeMembers, GetMembers, Propose, ProposeFromView, StepMessages, ViewFn, WithView,
};
use super::{Node, ReplicaStatus, View};

/// Sends messages to the current node from any thread, and stays valid when the node is restarted.
#[derive(Clone, Default)]
pub(crate) struct NodeHandle(Arc<RwLock<Option<Addr<Node>>>>);

impl NodeHandle {
    pub(super) fn set(&self, address: Addr<Node>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    fn get(&self) -> Option<Addr<Node>> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Passes on messages of other replicas. A full mailbox drops them, which the consensus
    /// protocol tolerates like a loss in the network.
    pub(crate) fn step(&self, messages: Vec<jasminefall_replica::prelude::Message>) {
        if let Some(address) = self.get() {
            let _ = address.try_send(StepMessages(messages));
        }
    }

    /// Proposes a command and waits until it is committed and applied.
    pub(crate) async fn propose(&self, command: Command) -> ProposeResponse {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        address
            .send(Propose(command))
            .await
            .unwrap_or(Err(ControlError::Unknown))
    }

    /// Calls `decide` with the fresh view and proposes the command that it returns.
    ///
    /// The node handles no other message between the decision and the proposal. Returns `None` if
    /// no command was proposed.
    pub(crate) async fn propose_from_view(
        &self,
        decide: impl FnOnce(&mut View) -> Option<Command> + Send + 'static,
    ) -> Result<Option<Outcome>, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let sent = address.send(ProposeFromView(Box::new(decide))).await;
        sent.unwrap_or(Err(ControlError::Unknown))
    }

    /// Calls `access` with the view if it is fresh, which requires that this replica is the leader.
    pub(crate) async fn with_fresh_view<T: Send + 'static>(
        &self,
        access: impl FnOnce(&mut View) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        self.with_local_view(move |view, _, fresh| fresh.map(|()| access(view)))
            .await
            .and_then(|result| result)
    }

    /// Calls `access` with the view of this replica; its last argument is an error unless the view
    /// is fresh.
    pub(crate) async fn with_local_view<T: Send + 'static>(
        &self,
        access: impl FnOnce(&mut View, &ReplicaStatus, Result<(), ControlError>) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let (sender, receiver) = oneshot::channel();
        let boxed: ViewFn = Box::new(move |view, status, fresh| {
            let _ = sender.send(access(view, status, fresh));
        });
        address
            .send(WithView(boxed))
            .await
            .map_err(|_| ControlError::NotLeader(None))?;
        receiver.await.map_err(|_| ControlError::NotLeader(None))
    }

    /// Returns the status of the members as seen by the leader.
    pub(crate) async fn members(&self) -> Result<MembersBody, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let response = address.send(GetMembers).await;
        response.unwrap_or(Err(ControlError::NotLeader(None)))
    }

    /// Proposes a membership change; the inner error gives the reason if it is refused.
    pub(crate) async fn change_members(
        &self,
        change: MembershipChange,
    ) -> Result<Result<(), String>, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let response = address.send(ChangeMembers(change)).await;
        response.unwrap_or(Err(ControlError::Unknown))
    }
}
