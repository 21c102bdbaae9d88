//! Command line, settings, logging, metrics, TLS and supervision shared by the programs.
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
//! - [`command_line`]: command line options of the daemons
//! - [`daemon`]: entry point of the daemons
//! - [`settings`]: loading and validating settings files
//! - [`logging`]: log lines of key=value pairs
//! - [`metrics`]: HTTP endpoint for a metrics collector
//! - [`supervisor`]: restarting failed tasks with exponential backoff
//! - [`tls`]: TLS configuration of listeners
//! - [`tokens`]: bearer tokens of operators
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
