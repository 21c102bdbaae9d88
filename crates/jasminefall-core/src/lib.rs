//! Identifiers, quantities and declared objects of jasminefall.
//!
//! All other crates depend on this one. It performs no I/O and reads no clock; callers pass in the
//! texts to parse.
//!
//! ```
//! use jasminefall_core::prelude::*;
//!
//! let text = "[fleet]\nname = demo\n[service.render]\n[team.guild]\n";
//! let desired = DesiredState::parse("site.ini", text).expect("the text is valid");
//! assert!(desired.services.contains_key(&ServiceId::new("render")));
//! ```
//!
//! # Module map
//!
//! - [`ids`]: textual and numeric identifiers
//! - [`units`]: quantities with units
//! - [`urgency`]: urgency classes of work
//! - [`document`]: INI parser that records the line of every key
//! - [`problem`]: problems of a text with location and remedy
//! - [`desired`]: declared objects and their validation

pub mod desired;
pub mod document;
pub mod ids;
pub mod prelude;
pub mod problem;
pub mod units;
pub mod urgency;
