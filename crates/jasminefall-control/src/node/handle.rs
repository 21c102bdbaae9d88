//! Calls of the node from other threads.

use std::sync::{Arc, PoisonError, RwLock};

use actix::prelude::*;
use jasminefall_replica::prelude::MembershipChange;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::{ControlError, ProposeAnswer};
use tokio::sync::oneshot;

use super::members::MembersBody;
use super::messages::{ChangeMembers, Decide, Look, LookAt, LookAtMembers, Propose, Step};
use super::{Node, ReplicaStatus, View};

/// Reaches the node from any thread, also after the node has been restarted.
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

    /// Returns the members as the leader knows them.
    pub(crate) async fn members(&self) -> Result<MembersBody, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let answer = address.send(LookAtMembers).await;
        answer.unwrap_or(Err(ControlError::NotLeader(None)))
    }

    /// Begins a change of the membership; the inner error says why it was not begun.
    pub(crate) async fn change_members(
        &self,
        change: MembershipChange,
    ) -> Result<Result<(), String>, ControlError> {
        let address = self.get().ok_or(ControlError::NotLeader(None))?;
        let answer = address.send(ChangeMembers(change)).await;
        answer.unwrap_or(Err(ControlError::Unknown))
    }
}
