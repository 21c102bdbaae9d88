//! Identifiers, quantities and declared objects of jasminefall.
//!
//! This is the small stable crate that all others stand on. It performs no I/O: it reads text that
//! somebody else has loaded and never looks at a clock.
//!
//! ```
//! use jasminefall_core::prelude::*;
//!
//! let text = "[fleet]\nname = demo\n[service.render]\n[team.guild]\n";
//! let desired = DesiredState::parse("site.ini", text).expect("the whole holds");
//! assert!(desired.services.contains_key(&ServiceId::new("render")));
//! ```
//!
//! # Module map
//!
//! - [`ids`]: names and numbers that identify things
//! - [`units`]: durations and sizes with their units
//! - [`urgency`]: how urgent a piece of work is
//! - [`document`]: INI text with the line of every key
//! - [`problem`]: what is wrong with a text, where, and the remedy
//! - [`desired`]: the declared objects and the check of the whole

pub mod desired;
pub mod document;
pub mod ids;
pub mod prelude;
pub mod problem;
pub mod units;
pub mod urgency;
