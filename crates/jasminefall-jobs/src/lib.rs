//! Jobs of dependent steps: their model, the replicated state, and the decisions of the leader.
//!
//! The crate performs no I/O and reads no clock. [`Leader`] handles input from clients, workers and
//! the replicated log and returns [`Effect`]s that the program executes.
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
//! - [`ids`]: identifiers of jobs, steps, tasks, queues and worker incarnations
//! - [`job`]: job specifications, resources and their validation
//! - [`configuration`]: declarations of queues, pools and client limits
//! - [`workspace`]: callers' keys, and the shares and caps of workspaces
//! - [`worker`]: heartbeats, run reports and responses of workers
//! - [`state`]: replicated state machine of the control replicas
//! - [`leader`]: volatile state and decisions of the leader
//! - [`policy`]: pure functions and estimators behind the leader's decisions

pub mod configuration;
pub mod ids;
pub mod job;
pub mod leader;
pub mod policy;
pub mod prelude;
pub mod state;
pub mod worker;
pub mod workspace;

pub use leader::{Effect, Leader};
