//! Replicated, durable state as a state machine that performs no I/O, with its log files beside it.
//!
//! [`Replica`] is the consensus algorithm: messages and ticks go in, a [`Ready`] with entries to
//! store, messages to send and entries to apply comes out. [`Storage`] keeps the entries in one data
//! folder. The two know nothing of each other, so either can be embedded alone.
//!
//! ```
//! use jasminefall_replica::prelude::*;
//!
//! let id = ReplicaId(1);
//! let mut replica = Replica::new(id, Settings::default(), RecoveredState::with_voters([id]), 7);
//! replica.tick(10_000);
//! let ready = replica.take_ready();
//! assert!(ready.hard_state.is_some(), "a lone voter elects itself and stores its vote first");
//! ```
//!
//! # Module map
//!
//! - [`types`]: terms, indexes and identifiers
//! - [`entry`]: log entries and memberships
//! - [`message`]: what replicas send each other
//! - [`log`]: the entries held in memory
//! - [`replica`]: the algorithm
//! - [`repair`]: which change of the membership a group needs next
//! - [`storage`]: the files
//! - [`disk`]: the thread that syncs them
//! - [`error`]: what can go wrong with the files

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
