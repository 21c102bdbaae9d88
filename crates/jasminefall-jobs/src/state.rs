//! What the control replicas agree on.
//!
//! [`JobsState::apply`] is deterministic: it reads no clock and iterates over ordered collections
//! only. Times come with the commands.

mod job;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::job::{Job, JobStatus, Occurrence, StepProgress, TaskProgress};
use crate::configuration::Configuration;
use crate::ids::{IncarnationId, JobKey, QueueKey};
use crate::job::JobSpec;
use crate::worker::{Heartbeat, RunEnd};

/// Asks for one change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Counts a new leader.
    Lead,
    /// Puts a configuration in force, unless one of the same or a later version is.
    Configure(Arc<Configuration>),
    /// Accepts a job.
    Submit {
        /// The key that the client chose.
        job: JobKey,
        /// The queue that the job goes to.
        queue: QueueKey,
        /// The job.
        spec: Arc<JobSpec>,
        /// When the job arrived, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Cancels a job.
    Cancel(JobKey),
    /// Records an incarnation of a worker before tasks are started on it.
    Register(Box<Heartbeat>),
    /// Forgets an incarnation on which nothing can run any more.
    Retire(IncarnationId),
    /// Records ends that a worker listed.
    #[serde(rename = "NoteEnds")]
    RecordRunEnds {
        /// The incarnation that listed them.
        life: IncarnationId,
        /// The ends, in the order of their numbers.
        ends: Vec<RunEnd>,
    },
    /// Accepts a maintenance wave.
    StartWave {
        /// The wave's number.
        wave: u64,
        /// What is to be done.
        plan: Wave,
    },
    /// Records that the maintenance of an instance of a wave has begun, or that the instance is
    /// gone.
    #[serde(rename = "NoteMaintained")]
    RecordMaintained {
        /// The wave's number.
        wave: u64,
        /// The instance.
        instance: SmolStr,
    },
    /// Forgets jobs that ended long ago.
    Forget(Vec<JobKey>),
    /// Records when jobs were first seen as ended, in milliseconds since 1970.
    #[serde(rename = "NoteEnded")]
    RecordEndedJobs {
        /// The jobs.
        jobs: Vec<JobKey>,
        /// The time.
        at_ms: u64,
    },
    /// Records that the work of a pool has begun or ceased to surge, so that a new leader can tell
    /// when the next surge is due and how high it becomes.
    #[serde(rename = "NoteRise")]
    RecordSurge {
        /// The pool.
        pool: SmolStr,
        /// The surge.
        rise: SurgeRecord,
    },
}

/// Says what a command came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The command was carried out, or had been before.
    Done,
    /// The version is already in force, or a later one, with this content or another.
    NotNewer {
        /// Whether the same version is held with other content.
        differs: bool,
    },
    /// There is no such job or incarnation.
    Unknown,
    /// The number names another wave already.
    Conflict,
}

/// Describes a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Wave {
    /// The instances, each to be maintained once.
    pub instances: Vec<SmolStr>,
    /// The time in which all of it is to be done.
    pub duration_ms: u64,
    /// The most instances that are down for the wave at once.
    pub max_down: u32,
    /// When the wave was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// The instances whose maintenance has begun, or that are gone.
    pub maintained: BTreeSet<SmolStr>,
}

impl Wave {
    /// Returns whether every instance has been dealt with.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.instances
            .iter()
            .all(|instance| self.maintained.contains(instance))
    }

    /// Returns whether both describe the same plan, however far it is.
    fn is_same_plan(&self, other: &Self) -> bool {
        (&self.instances, self.duration_ms, self.max_down)
            == (&other.instances, other.duration_ms, other.max_down)
    }
}

/// Records the latest surge of a pool's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SurgeRecord {
    /// When it began, in milliseconds since 1970.
    pub began_at_ms: u64,
    /// How high the surges of the pool become, in thousandths of an instance; zero where none has
    /// built up.
    #[serde(rename = "height_millis")]
    pub peak_millis: u64,
}

/// Records an incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// The heartbeat with which it was recorded; a new leader finds the worker by it.
    pub heartbeat: Heartbeat,
    /// The number of the last end that has been recorded.
    #[serde(rename = "noted_upto")]
    pub recorded_upto: u64,
}

/// Holds what is durable on a majority of the control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobsState {
    /// How many leaders there have been.
    pub leaderships: u64,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The jobs.
    pub jobs: BTreeMap<JobKey, Job>,
    /// The incarnations of workers on which tasks may run.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<IncarnationId, IncarnationRecord>,
    /// The maintenance waves.
    pub waves: BTreeMap<u64, Wave>,
    /// The latest surge of each pool; kept behind the rest in a snapshot, which earlier versions
    /// wrote without it.
    #[serde(skip)]
    pub surges: BTreeMap<SmolStr, SurgeRecord>,
}

impl JobsState {
    /// Returns the state as bytes for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(&self.surges, postcard::to_stdvec(self)?)
    }

    /// Reads the state from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the error of the decoder, as for a snapshot of another version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut state, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            state.surges = postcard::from_bytes(rest)?;
        }
        Ok(state)
    }

    /// Carries out a command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Lead => {
                self.leaderships += 1;
                Outcome::Done
            }
            Command::Configure(configuration) => self.configure(configuration),
            Command::Submit {
                job,
                queue,
                spec,
                at_ms,
            } => {
                self.jobs
                    .entry(job)
                    .or_insert_with(|| Job::new(queue, spec, at_ms));
                Outcome::Done
            }
            Command::Cancel(job) => self.cancel(job),
            Command::Register(heartbeat) => {
                let record = self
                    .incarnations
                    .entry(heartbeat.incarnation.clone())
                    .or_default();
                record.heartbeat = *heartbeat;
                Outcome::Done
            }
            Command::Retire(incarnation) => match self.incarnations.remove(&incarnation) {
                Some(_) => Outcome::Done,
                None => Outcome::Unknown,
            },
            Command::RecordRunEnds {
                life: incarnation,
                ends,
            } => self.record_ends(&incarnation, &ends),
            Command::StartWave { wave, plan } => self.start_wave(wave, plan),
            Command::RecordMaintained { wave, instance } => {
                match self.waves.get_mut(&wave) {
                    Some(known) => known.maintained.insert(instance),
                    None => return Outcome::Unknown,
                };
                Outcome::Done
            }
            Command::Forget(jobs) => {
                for job in jobs {
                    self.jobs.remove(&job);
                }
                Outcome::Done
            }
            Command::RecordSurge { pool, rise: surge } => {
                self.surges.insert(pool, surge);
                Outcome::Done
            }
            Command::RecordEndedJobs { jobs, at_ms } => {
                for key in jobs {
                    if let Some(job) = self.jobs.get_mut(&key) {
                        job.ended_at_ms.get_or_insert(at_ms);
                    }
                }
                Outcome::Done
            }
        }
    }

    fn configure(&mut self, configuration: Arc<Configuration>) -> Outcome {
        let held = &self.configuration;
        if configuration.version <= held.version {
            let same_version = configuration.version == held.version;
            let differs = same_version && configuration.document != held.document;
            return Outcome::NotNewer { differs };
        }
        self.configuration = configuration;
        Outcome::Done
    }

    fn cancel(&mut self, job: JobKey) -> Outcome {
        match self.jobs.get_mut(&job) {
            Some(job) => {
                job.cancel();
                Outcome::Done
            }
            None => Outcome::Unknown,
        }
    }

    fn start_wave(&mut self, wave: u64, plan: Wave) -> Outcome {
        match self.waves.get(&wave) {
            Some(known) if !known.is_same_plan(&plan) => Outcome::Conflict,
            Some(_) => Outcome::Done,
            None => {
                self.waves.insert(wave, plan);
                Outcome::Done
            }
        }
    }

    /// Records ends; one that has been recorded before changes nothing.
    fn record_ends(&mut self, incarnation: &IncarnationId, ends: &[RunEnd]) -> Outcome {
        let Some(record) = self.incarnations.get_mut(incarnation) else {
            return Outcome::Unknown;
        };
        for end in ends {
            if end.number <= record.recorded_upto {
                continue;
            }
            record.recorded_upto = end.number;
            let Some(job) = self.jobs.get_mut(&end.task.job) else {
                continue;
            };
            let attempts = self
                .configuration
                .queue(&job.queue)
                .map(|queue| queue.attempts);
            job.record_end(end, attempts);
        }
        Outcome::Done
    }
}
