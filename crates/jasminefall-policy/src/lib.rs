//! Every decision of jasminefall as a pure function of state, observations and time.
//!
//! Nothing here performs I/O, reads a clock or starts a thread; random numbers come from a generator
//! that the caller passes in.
//!
//! ```
//! use jasminefall_policy::slots::home_slots;
//!
//! let shares: u32 = (0..6).map(|entry| home_slots(8, entry, 6, 3)).sum();
//! assert_eq!(shares, 8, "the shares of all entries make up the backend server's slots");
//! ```
//!
//! # Module map
//!
//! - [`slots`]: how the slots of a backend server are shared by the entries
//! - [`admission`]: which requests wait, in which order they get slots, which are refused at once
//! - [`ejection`]: which backend servers are left out because they fail what they are given
//! - [`placement`]: which worker gets a job
//! - [`sizing`]: what a job really needs, by kind
//! - [`worker_health`]: whether a worker or its jobs are at fault
//! - [`capacity`]: how much spare a site holds and what is borrowed for a wave
//! - [`preemption`]: how urgent work gets room
//! - [`waves`]: which instances of a maintenance wave are taken next

pub mod admission;
pub mod capacity;
pub mod ejection;
pub mod placement;
pub mod preemption;
pub mod sizing;
pub mod slots;
pub mod waves;
pub mod worker_health;
