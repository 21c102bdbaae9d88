//! The replicated state.

use serde::{Deserialize, Serialize};

use crate::claims::Claims;
use crate::command::{Command, StampedCommand};
use crate::configuration::Configuration;
use crate::jobs::Jobs;
use crate::outcome::Outcome;
use crate::pools::Instances;
use crate::service_levels::ServiceLevels;
use crate::waves::Waves;

/// Holds the state that the control replicas replicate.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ClusterState {
    /// The latest time of any applied command, in milliseconds since 1970.
    pub now_ms: u64,
    /// The published versions of the desired state.
    pub configuration: Configuration,
    /// The claims, which ensure that a request runs at most once.
    pub claims: Claims,
    /// The jobs and their tasks.
    pub jobs: Jobs,
    /// The request counts over time.
    pub service_levels: ServiceLevels,
    /// The instances with their pools and conditions.
    pub instances: Instances,
    /// The maintenance waves.
    pub waves: Waves,
}

impl ClusterState {
    /// Applies one command and returns its outcome.
    pub fn apply(&mut self, stamped: StampedCommand) -> Outcome {
        self.now_ms = self.now_ms.max(stamped.at_ms);
        let now_ms = self.now_ms;
        match stamped.command {
            Command::Tick => Outcome::Done,
            Command::Apply(request) => self.publish(now_ms, request),
            Command::Claim(requests) => Outcome::Claimed(self.claims.claim(now_ms, requests)),
            Command::Record(results) => {
                self.claims.record(now_ms, results);
                Outcome::Done
            }
            Command::Submit(request) => {
                let desired = self.configuration.desired();
                self.jobs.submit(now_ms, desired, request)
            }
            Command::Place(placements) => {
                let desired = self.configuration.desired();
                self.jobs
                    .place(now_ms, desired, &self.instances, placements);
                Outcome::Done
            }
            Command::Report(reports) => {
                self.jobs.report(now_ms, reports);
                Outcome::Done
            }
            Command::Observe(batch) => {
                self.service_levels.record_batch(now_ms, batch);
                Outcome::Done
            }
            Command::Cancel(jobs) => {
                self.jobs.cancel(now_ms, &jobs);
                Outcome::Done
            }
            Command::Release(releases) => {
                self.claims.release(now_ms, &releases);
                Outcome::Done
            }
            Command::SetDirectives(changes) => {
                self.jobs.set_directives(&changes);
                Outcome::Done
            }
            Command::MarkWorkersLost(workers) => self.mark_workers_lost(now_ms, &workers),
            Command::RecordIncarnation {
                instance,
                incarnation,
            } => self.record_incarnation(now_ms, &instance, incarnation),
            Command::Step(step) => self.step_instance(now_ms, &step),
            Command::Wave(request) => self.change_wave(now_ms, &request),
            Command::SetAside(step) => self.quarantine_worker(now_ms, &step),
        }
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Panics
    ///
    /// Never: every type of the state can be encoded.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every type of the state can be encoded")
    }

    /// Decodes the state from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a state of this program version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let mut state: Self = postcard::from_bytes(bytes)?;
        state.configuration.parse_latest();
        Ok(state)
    }
}
