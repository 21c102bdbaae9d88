//! Command line, settings, logging and supervision shared by the programs.
//!
//! ```
//! use jasminefall_runtime::settings::SettingsFile;
//!
//! let file = SettingsFile::parse("entry.ini", "[entry]\nname = e1\n");
//! assert_eq!(file.document.section("entry").unwrap().text("name"), Some("e1"));
//! ```
//!
//! # Module map
//!
//! - [`command_line`]: the options that every daemon takes
//! - [`daemon`]: from the command line of a daemon to its exit code
//! - [`settings`]: settings files
//! - [`logging`]: one line of key=value pairs an event
//! - [`metrics`]: the page that a metrics collector scrapes
//! - [`supervisor`]: children that are restarted with back-off
//! - [`tls`]: TLS of listeners
//! - [`tokens`]: operators' tokens
//! - [`clock`]: wall and monotonic time in milliseconds

pub mod clock;
pub mod command_line;
pub mod daemon;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod supervisor;
pub mod tls;
pub mod tokens;
