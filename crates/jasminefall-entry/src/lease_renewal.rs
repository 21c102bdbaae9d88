//! Renewal of the lease on the configuration.

use std::sync::Arc;
use std::time::Duration;

use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_wire::client::ControlClient;
use jasminefall_wire::message::RenewRequest;

use crate::shared::Shared;

const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Renews the lease until the task is dropped.
pub(crate) async fn run(shared: Arc<Shared>) -> anyhow::Result<()> {
    let settings = &shared.settings;
    let client = ControlClient::new(
        &settings.control_addresses,
        &settings.site_key,
        CONTROL_CALL_TIMEOUT,
    );
    let incarnation = Incarnation::new(wall_ms());
    loop {
        let requested_at_ms = monotonic_ms();
        let holds = shared.configuration().version();
        let request = RenewRequest {
            entry: settings.name.clone(),
            holds,
            incarnation,
        };
        match client.renew(&request).await {
            Ok(renewal) => {
                let is_new = renewal.published.is_some();
                let is_refused = renewal.lease_ms.is_none();
                if is_refused {
                    log_refusal(&settings.name);
                }
                shared.configuration().renew(requested_at_ms, renewal);
                if is_new || (is_refused && holds > Version::default()) {
                    // Reports to control without delay which version is held now.
                    continue;
                }
            }
            Err(error) => log::warn!("event=renewal_failed error=\"{error}\""),
        }
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}

fn log_refusal(entry: &EntryId) {
    log::error!(
        "event=renewal_refused entry=\"{entry}\" cause=\"not declared\" \
         remedy=\"add [entry.{entry}] to the desired state or correct `name` in the settings\""
    );
}
