//! Re-exports the crates of jasminefall that other programs can embed.
//!
//! ```
//! use jasminefall::core::prelude::*;
//!
//! assert_eq!("4s".parse::<DurationMs>(), Ok(DurationMs::new(4_000)));
//! ```

pub use jasminefall_core as core;
pub use jasminefall_policy as policy;
pub use jasminefall_replica as replica;
