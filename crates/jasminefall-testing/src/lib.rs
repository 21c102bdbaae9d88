//! Fake peers, a fault-injecting proxy and a site of real processes, for tests and measurements.
//!
//! # Module map
//!
//! - [`backend`]: a fake backend server that records the requests it runs
//! - [`counting_backend`]: a fake backend server that counts requests in progress and connections
//! - [`caller`]: an HTTP client of an entry that reads the outcome header
//! - [`raw_backend`]: a fake backend server that responds with given bytes
//! - [`worker`]: a fake worker whose tasks only wait
//! - [`proxy`]: a TCP proxy that injects faults
//! - [`heartbeats`]: a load generator that sends the heartbeats of many workers
//! - [`usage`]: processor time, memory and traffic of a process
//! - [`site`]: a small site of real processes on one loopback address

pub mod backend;
pub mod caller;
pub mod counting_backend;
pub mod heartbeats;
pub mod proxy;
pub mod raw_backend;
pub mod site;
pub mod usage;
pub mod worker;
