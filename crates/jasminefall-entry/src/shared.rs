//! The state that all threads of an entry share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::backends::Backends;
use crate::configuration::Configuration;
use crate::dispatch::Dispatcher;
use crate::metrics::Metrics;
use crate::recorder::Recorder;
use crate::settings::Settings;

/// Holds the state that all threads of an entry share.
///
/// Each lock is held for one decision and never across an await. Code that holds two locks acquires
/// them in the order of the fields, to avoid deadlocks.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    configuration: Mutex<Configuration>,
    backends: Mutex<Backends>,
    dispatch: Mutex<Dispatcher>,
    stopping: AtomicBool,
    pending_work: AtomicU64,
    recorder: Mutex<Recorder>,
    /// Wakes the exchange with other entries when they could lend slots for queued requests.
    pub(crate) loans_needed: Notify,
}

impl Shared {
    /// Creates the state of an entry without a configuration and without backend servers.
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings,
            metrics: Metrics::default(),
            configuration: Mutex::default(),
            backends: Mutex::default(),
            dispatch: Mutex::default(),
            stopping: AtomicBool::new(false),
            pending_work: AtomicU64::new(0),
            recorder: Mutex::default(),
            loans_needed: Notify::new(),
        }
    }

    /// Locks the configuration.
    pub(crate) fn configuration(&self) -> MutexGuard<'_, Configuration> {
        self.configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the backend servers.
    pub(crate) fn backends(&self) -> MutexGuard<'_, Backends> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queues and slots.
    pub(crate) fn dispatch(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the counts of request outcomes.
    pub(crate) fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Starts the graceful stop, which makes the readiness check fail.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the number of tasks that a stop must still wait for.
    pub(crate) fn pending_work(&self) -> u64 {
        self.pending_work.load(Ordering::Relaxed)
    }
}

/// Delays a stop until dropped; counts one task in [`Shared::pending_work`].
pub(crate) struct PendingWork(Arc<Shared>);

impl PendingWork {
    /// Counts one more pending task.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        shared.pending_work.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for PendingWork {
    fn drop(&mut self) {
        self.0.pending_work.fetch_sub(1, Ordering::Relaxed);
    }
}
