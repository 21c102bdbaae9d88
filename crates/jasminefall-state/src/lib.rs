//! The deterministic state that the control replicas agree on.
//!
//! [`ClusterState::apply`] takes one [`Command`] at a time, in log order, and returns its
//! [`Outcome`]. It reads no clock and no random numbers: time enters as a value of the command and
//! never runs backwards.
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
//! - [`command`]: what can be asked of the state
//! - [`outcome`]: what comes of a command
//! - [`cluster`]: the state as a whole
//! - [`configuration`]: published versions of the desired state
//! - [`claims`]: requests that run at most once
//! - [`jobs`]: jobs and their tasks on workers
//! - [`service_levels`]: what became of requests over time
//! - [`pools`]: instances with their pool and condition, and the budget check
//! - [`waves`]: maintenance waves and their progress
//! - `fleet`: steps that touch instances, jobs and waves together

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
