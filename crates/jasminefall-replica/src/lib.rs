//! Raft-like consensus as a state machine without I/O, and durable storage for its log.
//!
//! [`Replica`] implements the consensus algorithm: it takes messages and clock ticks, and returns a
//! [`Ready`] with entries to store, messages to send and entries to apply. [`Storage`] persists the
//! entries in one data folder. They are independent, so either can be embedded alone.
//!
//! ```
//! use jasminefall_replica::prelude::*;
//!
//! let id = ReplicaId(1);
//! let mut replica = Replica::new(id, Settings::default(), RecoveredState::with_voters([id]), 7);
//! replica.tick(10_000);
//! let ready = replica.take_ready();
//! assert!(ready.hard_state.is_some(), "a single voter elects itself and must store its vote first");
//! ```
//!
//! # Module map
//!
//! - [`types`]: terms, log indexes and identifiers
//! - [`entry`]: log entries and memberships
//! - [`message`]: messages between replicas
//! - [`log`]: the in-memory log
//! - [`replica`]: the consensus algorithm
//! - [`repair`]: the policy that chooses the next membership change
//! - [`storage`]: log and snapshot files
//! - [`disk`]: the thread that writes and syncs the files
//! - [`error`]: storage errors

pub mod disk;
pub mod entry;
pub mod error;
pub mod log;
pub mod message;
pub mod prelude;
pub mod repair;
pub mod replica;
pub mod storage;
pub mod types;

pub use replica::{Ready, Replica};
pub use storage::Storage;
