//! Signals, settings reload and draining of in-flight requests at shutdown.

use std::cell::Cell;
use std::path::PathBuf;
use std::time::Duration;

use jasminefall_platform::settings::PlatformSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::settings::load;

/// How often the settings file is read again if no SIGHUP arrives.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How often draining checks for remaining in-flight requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Counts in-flight requests and records whether the process is shutting down.
#[derive(Debug, Default)]
pub struct RequestTracker {
    in_flight: Cell<usize>,
    stopping: Cell<bool>,
}

impl RequestTracker {
    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin(self: &std::rc::Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Returns the number of in-flight requests.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns whether the process is shutting down.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Marks the process as shutting down.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        log::info!("event=stopping in_flight={}", self.in_flight());
    }

    /// Waits until no request is in flight, for at most `limit`.
    pub async fn drain(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.in_flight() > 0 && Instant::now() < until {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        // The last responses are queued in the HTTP server; it needs time to send them before the
        // process exits.
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(std::rc::Rc<RequestTracker>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0
            .in_flight
            .set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error if the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Calls `on_change` with the new settings when the file changes, and on every SIGHUP.
///
/// An invalid file is logged and ignored; the current settings remain in force.
///
/// # Errors
///
/// Returns the system's error if the signal handler cannot be installed.
pub async fn watch_settings(
    path: PathBuf,
    mut current: PlatformSettings,
    on_change: impl Fn(&PlatformSettings),
) -> anyhow::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        let signalled = wait_for_check(&mut hangup).await;
        match load(&path) {
            Ok(loaded) => {
                if signalled || loaded != current {
                    let seeds = &loaded.seeds;
                    log::info!(
                        "event=reloaded changed={} seeds={seeds:?}",
                        loaded != current
                    );
                    on_change(&loaded);
                }
                current = loaded;
            }
            Err(problems) => log::error!("event=reload_refused cause=\"{problems}\""),
        }
    }
}

/// Waits for SIGHUP or for the next periodic check; returns whether SIGHUP arrived.
async fn wait_for_check(hangup: &mut Signal) -> bool {
    tokio::select! {
        _ = hangup.recv() => true,
        () = sleep(SETTINGS_CHECK_INTERVAL) => false,
    }
}
