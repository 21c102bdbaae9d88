//! Jobs of steps: their model, the state that control replicas agree on, and the leader's decisions.
//!
//! Nothing here performs I/O or reads a clock. The leader's [`Leader`] takes what clients, workers
//! and the replicated log say, and hands back [`Effect`]s for the program to carry out.
//!
//! ```
//! use jasminefall_jobs::prelude::*;
//!
//! let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
//! assert_eq!(task.step, 1);
//! assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
//! ```
//!
//! # Module map
//!
//! - [`ids`]: names of jobs, tasks, queues and incarnations of workers
//! - [`job`]: what a client submits
//! - [`configuration`]: queues and pools as one whole
//! - [`worker`]: what a worker says of itself
//! - [`state`]: what the control replicas agree on
//! - [`leader`]: what the leader knows and decides
//! - [`policy`]: the leader's decisions as pure functions

pub mod configuration;
pub mod ids;
pub mod job;
pub mod leader;
pub mod policy;
pub mod prelude;
pub mod state;
pub mod worker;

pub use leader::{Effect, Leader};
