//! Decision logic of jasminefall as pure functions of state, observations and time.
//!
//! The crate performs no I/O, reads no clock and starts no threads. The caller passes in the time
//! and any random number generator.
//!
//! ```
//! use jasminefall_policy::slots::home_slots;
//!
//! let shares: u32 = (0..6).map(|entry| home_slots(8, entry, 6, 3)).sum();
//! assert_eq!(shares, 8, "the home slots of all entries add up to the backend server's slots");
//! ```
//!
//! # Module map
//!
//! - [`slots`]: division of a backend server's slots among the entries
//! - [`admission`]: admission, fair ordering and refusal of requests
//! - [`ejection`]: exclusion of backend servers because their requests fail
//! - [`placement`]: selection of a worker for a job
//! - [`sizing`]: estimates of a job's resource usage, by kind
//! - [`worker_health`]: attribution of task failures to a worker or to its jobs
//! - [`capacity`]: spare instances of a site and instances borrowed for a wave
//! - [`preemption`]: throttling, checkpointing or stopping tasks to place urgent jobs
//! - [`waves`]: selection of the next instances of a maintenance wave

pub mod admission;
pub mod capacity;
pub mod ejection;
pub mod placement;
pub mod preemption;
pub mod sizing;
pub mod slots;
pub mod waves;
pub mod worker_health;
