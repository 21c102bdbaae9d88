//! Programs that run jobs of steps on workers: entry and control.
//!
//! An entry takes clients' calls and forwards them to the leader. A control instance holds a replica
//! of the state; the one that leads decides, tells workers what to run and listens to them.
//!
//! # Module map
//!
//! - [`settings`]: what both programs are told
//! - [`message`]: the calls that are forwarded to the leader
//! - [`forwarding`]: finding the leader
//! - [`http`]: HTTP listeners and connections
//! - [`entry`]: the entry program
//! - [`control`]: the control program
//! - [`unresponsive`]: which control instances are passed over
//! - [`metrics`]: what a metrics collector sees
//! - [`lifecycle`]: signals to stop and to reload

pub mod control;
pub mod entry;
pub mod forwarding;
pub mod http;
pub mod lifecycle;
pub mod message;
pub mod metrics;
pub mod settings;
pub mod unresponsive;

/// Returns the path of the settings file that the command line names.
///
/// The daemon has read the file by then; it is needed again to follow its changes.
#[must_use]
pub fn settings_path() -> std::path::PathBuf {
    let mut arguments = std::env::args().skip_while(|argument| argument != "--settings");
    arguments.nth(1).unwrap_or_default().into()
}
