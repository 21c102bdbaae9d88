//! The entry and control programs, which run jobs of steps on workers.
//!
//! An entry accepts client requests and forwards them to the leader. A control instance holds a
//! replica of the state. The leading control instance makes the scheduling decisions, sends requests
//! to workers and receives their heartbeats.
//!
//! # Module map
//!
//! - [`settings`]: settings of both programs
//! - [`message`]: requests that are forwarded to the leader, and their responses
//! - [`time_limit`]: time limits of forwarded requests
//! - [`forwarding`]: locating the leader and forwarding requests to it
//! - [`http`]: HTTP server, HTTP client and connection limits
//! - [`entry`]: the entry program
//! - [`control`]: the control program
//! - [`unresponsive`]: control instances that are temporarily skipped
//! - [`metrics`]: metrics of both programs, and their HTTP endpoint
//! - [`lifecycle`]: signals, settings reload and draining of requests at shutdown

pub mod control;
pub mod entry;
pub mod forwarding;
pub mod http;
pub mod lifecycle;
pub mod message;
pub mod metrics;
pub mod settings;
pub mod time_limit;
pub mod unresponsive;

/// Returns the path given with `--settings`; empty if the option is missing.
///
/// The daemon has already read the file; the path is needed again to watch the file for changes.
#[must_use]
pub fn settings_path() -> std::path::PathBuf {
    let mut arguments = std::env::args().skip_while(|argument| argument != "--settings");
    arguments.nth(1).unwrap_or_default().into()
}
