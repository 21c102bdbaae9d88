//! Fakes at the interfaces and a fault-injecting proxy, for tests and measurements.
//!
//! # Module map
//!
//! - [`backend`]: a backend server that records every run
//! - [`caller`]: a caller that reads outcomes
//! - [`raw_backend`]: a backend server that answers with given bytes
//! - [`worker`]: a worker that runs tasks by waiting
//! - [`proxy`]: a TCP proxy that injects faults
//! - [`heartbeats`]: many workers as small stand-ins
//! - [`usage`]: what a process costs
//! - [`site`]: the real processes of a small site on one loopback address

pub mod backend;
pub mod caller;
pub mod heartbeats;
pub mod proxy;
pub mod raw_backend;
pub mod site;
pub mod usage;
pub mod worker;
