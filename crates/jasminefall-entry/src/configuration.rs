//! The desired state that the entry acts on, under its lease.

use std::sync::Arc;

use jasminefall_core::desired::DESIRED_STATE_FILE;
use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::Renewal;

/// Holds the configuration and until when the entry may act on it.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    version: Version,
    published_at_ms: u64,
    desired: Option<Arc<DesiredState>>,
    lease_until_ms: u64,
}

impl Configuration {
    /// Returns the version held.
    pub(crate) const fn version(&self) -> Version {
        self.version
    }

    /// Returns when the version held was published, by control's wall clock.
    pub(crate) const fn published_at_ms(&self) -> u64 {
        self.published_at_ms
    }

    /// Returns the desired state while the lease runs.
    pub(crate) fn in_force(&self, now_ms: u64) -> Option<Arc<DesiredState>> {
        self.desired
            .clone()
            .filter(|_| now_ms < self.lease_until_ms)
    }

    /// Returns the latest desired state held, in force or not.
    pub(crate) fn desired(&self) -> Option<Arc<DesiredState>> {
        self.desired.clone()
    }

    /// Takes a renewal that was asked for at `asked_at_ms`; an older version changes nothing.
    pub(crate) fn renew(&mut self, asked_at_ms: u64, renewal: Renewal) {
        if let Some(published) = renewal.published {
            if published.version < self.version {
                return;
            }
            self.take(&published);
        }
        self.lease_until_ms = self
            .lease_until_ms
            .max(asked_at_ms + renewal.lease_ms.get());
    }

    fn take(&mut self, published: &Published) {
        match DesiredState::parse(DESIRED_STATE_FILE, &published.text) {
            Ok(desired) => {
                self.version = published.version;
                self.published_at_ms = published.at_ms;
                self.desired = Some(Arc::new(desired));
                log::info!("event=configuration_taken version={}", self.version);
            }
            Err(problems) => {
                let count = problems.list.len();
                log::error!(
                    "event=configuration_refused version={} faults={count}",
                    published.version
                );
            }
        }
    }
}
