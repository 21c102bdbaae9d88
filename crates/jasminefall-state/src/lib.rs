//! The deterministic state machine that the control replicas apply.
//!
//! [`ClusterState::apply`] applies one [`Command`] at a time, in log order, and returns its
//! [`Outcome`]. It reads neither a clock nor random numbers, so that every replica reaches the same
//! state: each command carries its time, and the time of the state never decreases.
//!
//! ```
//! use jasminefall_state::prelude::*;
//!
//! let mut state = ClusterState::default();
//! let outcome = state.apply(StampedCommand { at_ms: 5, command: Command::Tick });
//! assert_eq!(outcome, Outcome::Done);
//! assert_eq!(state.now_ms, 5);
//! ```
//!
//! # Module map
//!
//! - [`command`]: commands of the state machine
//! - [`outcome`]: results of commands
//! - [`cluster`]: the replicated state
//! - [`configuration`]: published versions of the desired state
//! - [`claims`]: claims, by which a request runs at most once
//! - [`jobs`]: jobs and their tasks on workers
//! - [`service_levels`]: request counts over time
//! - [`pools`]: instances with their pool and condition, and the budget check
//! - [`waves`]: maintenance waves and their progress
//! - `fleet`: commands that change instances, jobs and waves together

pub mod claims;
pub mod cluster;
pub mod command;
pub mod configuration;
mod fleet;
pub mod jobs;
pub mod outcome;
pub mod pools;
pub mod prelude;
pub mod service_levels;
pub mod waves;

pub use cluster::ClusterState;
pub use command::{Command, StampedCommand};
pub use outcome::{Outcome, Refusal};
