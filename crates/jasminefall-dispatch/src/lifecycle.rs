//! Signals to stop and to reload.

use std::cell::Cell;
use std::path::PathBuf;
use std::time::Duration;

use jasminefall_platform::settings::PlatformSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::settings::load;

/// How often the settings file is looked at without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(2);
/// How often it is looked whether the calls under way have been answered.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// Counts the calls that are being answered, and says whether the process is about to stop.
#[derive(Debug, Default)]
pub struct RequestTracker {
    in_flight: Cell<usize>,
    stopping: Cell<bool>,
}

impl RequestTracker {
    /// Notes that a call is being answered, until the guard is dropped.
    #[must_use]
    pub fn begin(self: &std::rc::Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Returns how many calls are being answered.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns whether the process is about to stop.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Says that the process is about to stop.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        log::info!("event=stopping in_flight={}", self.in_flight());
    }

    /// Waits until every call has been answered, for a limited time.
    pub async fn drain(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.in_flight() > 0 && Instant::now() < until {
            sleep(STOP_CHECK).await;
        }
        // The last answers have been handed over; they leave before the process does.
        sleep(STOP_CHECK).await;
    }
}

/// Holds a call open for as long as it lives.
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
/// Returns the system's error where signals cannot be listened for.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Calls `changed` with the settings whenever the file says something new, on SIGHUP or without.
///
/// A file that does not hold is passed over with a log line; the settings in force stay.
///
/// # Errors
///
/// Returns the system's error where signals cannot be listened for.
pub async fn watch_settings(
    path: PathBuf,
    mut held: PlatformSettings,
    changed: impl Fn(&PlatformSettings),
) -> anyhow::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        let signalled = wait(&mut hangup).await;
        match load(&path) {
            Ok(read) => {
                if signalled || read != held {
                    let seeds = &read.seeds;
                    log::info!("event=reloaded changed={} seeds={seeds:?}", read != held);
                    changed(&read);
                }
                held = read;
            }
            Err(problems) => log::error!("event=reload_refused cause=\"{problems}\""),
        }
    }
}

async fn wait(hangup: &mut Signal) -> bool {
    tokio::select! {
        _ = hangup.recv() => true,
        () = sleep(SETTINGS_CHECK) => false,
    }
}
