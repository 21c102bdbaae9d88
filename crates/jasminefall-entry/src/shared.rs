//! What the threads of an entry share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::backends::Backends;
use crate::configuration::Configuration;
use crate::dispatch::Dispatcher;
use crate::metrics::Metrics;
use crate::recorder::Recorder;
use crate::settings::Settings;

/// Holds what the threads of an entry share.
///
/// Each lock is held for one decision and never across a wait; where two are needed, they are taken
/// in the order of the fields.
pub(crate) struct Shared {
    /// The settings.
    pub(crate) settings: Settings,
    /// What a metrics collector sees.
    pub(crate) metrics: Metrics,
    configuration: Mutex<Configuration>,
    backends: Mutex<Backends>,
    dispatch: Mutex<Dispatcher>,
    stopping: AtomicBool,
    pending_work: AtomicU64,
    recorder: Mutex<Recorder>,
    /// Wakes the exchange with other entries when requests wait that they could help with.
    pub(crate) loans_needed: Notify,
}

impl Shared {
    /// Creates the state of an entry that has heard nothing yet.
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

    /// Returns the configuration.
    pub(crate) fn configuration(&self) -> MutexGuard<'_, Configuration> {
        self.configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what backend servers announced.
    pub(crate) fn backends(&self) -> MutexGuard<'_, Backends> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the queues and slots.
    pub(crate) fn dispatch(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts of what became of requests.
    pub(crate) fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a stop has been asked for.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Notes that a stop has been asked for.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns how many pieces of work a stop must still wait for.
    pub(crate) fn pending_work(&self) -> u64 {
        self.pending_work.load(Ordering::Relaxed)
    }
}

/// Stands for a piece of work that a stop waits for, until dropped.
pub(crate) struct PendingWork(Arc<Shared>);

impl PendingWork {
    /// Notes a piece of work.
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
