//! The desired state in force at this entry, held under a lease.

use std::sync::Arc;

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use jasminefall_wire::message::Renewal;

/// Holds the configuration and the end of its lease.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    /// The highest version adopted so far; an older one is never adopted afterwards.
    highest_version: Version,
    published_at_ms: u64,
    desired: Option<Arc<DesiredState>>,
    lease_expires_at_ms: u64,
}

impl Configuration {
    /// Returns the version held, or zero if there is none.
    pub(crate) const fn version(&self) -> Version {
        match self.desired {
            Some(_) => self.highest_version,
            None => Version::new(0),
        }
    }

    /// Returns when the adopted version was published, by control's wall clock.
    pub(crate) const fn published_at_ms(&self) -> u64 {
        self.published_at_ms
    }

    /// Returns the desired state while its lease is valid.
    pub(crate) fn in_force(&self, now_ms: u64) -> Option<Arc<DesiredState>> {
        self.desired
            .clone()
            .filter(|_| now_ms < self.lease_expires_at_ms)
    }

    /// Returns the desired state held, whether or not its lease is valid.
    pub(crate) fn desired(&self) -> Option<Arc<DesiredState>> {
        self.desired.clone()
    }

    /// Applies a renewal that was requested at `requested_at_ms`, from which the lease counts.
    ///
    /// A renewal with an older version changes nothing. A refusal ends the lease immediately.
    pub(crate) fn renew(&mut self, requested_at_ms: u64, renewal: Renewal) {
        let Some(lease_ms) = renewal.lease_ms else {
            self.desired = None;
            return;
        };
        if let Some(published) = renewal.published {
            if published.version < self.highest_version {
                log::error!(
                    "event=configuration_refused version={} \
                     cause=\"older than version {}, which was in force here\"",
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

    /// Adopts a version; it needs no check, since control validated it before publication.
    fn adopt(&mut self, published: &PublishedVersion) {
        self.highest_version = published.version;
        self.published_at_ms = published.at_ms;
        self.desired = Some(Arc::new(DesiredState::read_published(&published.text)));
        log::info!(
            "event=configuration_adopted version={}",
            self.highest_version
        );
    }
}

#[cfg(test)]
mod tests;
