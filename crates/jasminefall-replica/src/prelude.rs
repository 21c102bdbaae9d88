//! The types that nearly every user of the crate needs.

pub use crate::entry::{Entry, Membership, Payload, Snapshot};
pub use crate::error::StorageError;
pub use crate::message::{Body, Message};
pub use crate::replica::{
    HardState, NotLeader, ReadError, Ready, Recovered, Replica, Role, Settings,
};
pub use crate::storage::Storage;
pub use crate::types::{LogIndex, ReplicaId, Term};
