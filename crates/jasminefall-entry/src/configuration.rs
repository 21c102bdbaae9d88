//! The desired state that the entry acts on, under its lease.

use std::sync::Arc;

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::Renewal;

/// Holds the configuration and until when the entry may act on it.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    /// The latest version ever taken; an older one is never taken again.
    highest_version: Version,
    published_at_ms: u64,
    desired: Option<Arc<DesiredState>>,
    lease_expires_at_ms: u64,
}

impl Configuration {
    /// Returns the version that the entry may act on, zero for none.
    pub(crate) const fn version(&self) -> Version {
        match self.desired {
            Some(_) => self.highest_version,
            None => Version::new(0),
        }
    }

    /// Returns when the version held was published, by control's wall clock.
    pub(crate) const fn published_at_ms(&self) -> u64 {
        self.published_at_ms
    }

    /// Returns the desired state while the lease runs.
    pub(crate) fn in_force(&self, now_ms: u64) -> Option<Arc<DesiredState>> {
        self.desired
            .clone()
            .filter(|_| now_ms < self.lease_expires_at_ms)
    }

    /// Returns the latest desired state held, in force or not.
    pub(crate) fn desired(&self) -> Option<Arc<DesiredState>> {
        self.desired.clone()
    }

    /// Takes a renewal that was asked for at `requested_at_ms`.
    ///
    /// An older version changes nothing. A refusal ends the lease at once.
    pub(crate) fn renew(&mut self, requested_at_ms: u64, renewal: Renewal) {
        let Some(lease_ms) = renewal.lease_ms else {
            self.desired = None;
            return;
        };
        if let Some(published) = renewal.published {
            if published.version < self.highest_version {
                log::error!(
                    "event=configuration_refused version={} cause=\"version {} was taken before\"",
                    published.version,
                    self.highest_version
                );
                return;
            }
            self.adopt(&published);
        }
        let until_ms = requested_at_ms + lease_ms.get();
        self.lease_expires_at_ms = self.lease_expires_at_ms.max(until_ms);
    }

    /// Takes a version, which was judged before it was published.
    fn adopt(&mut self, published: &Published) {
        self.highest_version = published.version;
        self.published_at_ms = published.at_ms;
        self.desired = Some(Arc::new(DesiredState::read_published(&published.text)));
        log::info!("event=configuration_taken version={}", self.highest_version);
    }
}

#[cfg(test)]
mod tests;
