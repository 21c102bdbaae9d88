//! Counts of request outcomes, reported to control.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_state::prelude::*;
use jasminefall_wire::client::ControlClient;

use crate::outcome::Outcome;
use crate::shared::Shared;

const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Limits the pairs of service and team counted separately; further pairs are counted under empty
/// names.
const MAX_COUNTED_PAIRS: usize = 4_096;

/// Counts request outcomes by service and team.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    counts: BTreeMap<(ServiceId, TeamId), RequestCounts>,
}

impl Recorder {
    /// Counts an outcome, unless its cause lies with the caller.
    fn record(&mut self, service: ServiceId, team: TeamId, outcome: &Outcome) {
        if matches!(outcome, Outcome::NotRun(reason) if reason.is_caller_error()) {
            return;
        }
        let mut pair = (service, team);
        if self.counts.len() >= MAX_COUNTED_PAIRS && !self.counts.contains_key(&pair) {
            pair = Default::default();
        }
        let counts = self.counts.entry(pair).or_default();
        match outcome {
            Outcome::Answered(response) if response.status.is_server_error() => counts.failed += 1,
            Outcome::Answered(_) | Outcome::AnsweredNotKept(_) => counts.answered += 1,
            Outcome::NotRun(_) => counts.refused += 1,
            Outcome::MayHaveRun | Outcome::InProgress | Outcome::NoLongerKnown => {
                counts.unknown += 1;
            }
        }
    }

    fn drain(&mut self) -> Vec<Observation> {
        let counts = std::mem::take(&mut self.counts).into_iter();
        counts
            .map(|((service, team), counts)| Observation {
                service,
                team,
                counts,
            })
            .collect()
    }
}

/// Counts one request; a service or team that is not declared is counted under an empty name.
pub(crate) fn record(
    shared: &Shared,
    service: ServiceId,
    team: TeamId,
    outcome: &Outcome,
    elapsed: Duration,
) {
    let desired = shared.configuration().desired();
    let is_declared = desired
        .as_ref()
        .is_some_and(|known| known.services.contains_key(&service));
    let declared = Some(service).filter(|_| is_declared);
    shared.metrics.record(declared.as_ref(), outcome, elapsed);
    let known_team = desired.is_some_and(|known| known.teams.contains_key(&team));
    let team = if known_team { team } else { TeamId::default() };
    shared
        .recorder()
        .record(declared.unwrap_or_default(), team, outcome);
}

/// Reports the counts periodically; a batch that control did not confirm is resent unchanged.
pub(crate) async fn run(shared: Arc<Shared>) -> anyhow::Result<()> {
    let settings = &shared.settings;
    let client = ControlClient::new(
        &settings.control_addresses,
        &settings.site_key,
        CONTROL_CALL_TIMEOUT,
    );
    let started_at_ms = wall_ms();
    let mut counted_from_ms = monotonic_ms();
    for sequence in 1.. {
        tokio::time::sleep(settings.observation_interval_ms.to_duration()).await;
        let now_ms = monotonic_ms();
        let batch = ObservationBatch {
            entry: settings.name.clone(),
            started_at_ms,
            sequence,
            period_ms: DurationMs::new(now_ms.saturating_sub(counted_from_ms)),
            observations: shared.recorder().drain(),
        };
        counted_from_ms = now_ms;
        let command = Command::Observe(batch);
        while let Err(error) = client.propose(REPORT_TIMEOUT, &command).await {
            log::warn!("event=observations_delayed error=\"{error}\"");
        }
    }
    Ok(())
}
