//! Re-exports of the commonly used types.

pub use crate::entry::{Entry, Membership, Payload, Snapshot};
pub use crate::error::StorageError;
pub use crate::message::{Body, Message};
pub use crate::repair::{DataCentre, RepairPolicy};
pub use crate::replica::{
    HardState, MemberStatus, MembershipChange, MembershipChangeError, NotLeader, ReadError, Ready,
    RecoveredState, Replica, Role, Settings,
};
pub use crate::storage::{FileOperations, Storage};
pub use crate::types::{Incarnation, LogIndex, ReplicaId, Term};
