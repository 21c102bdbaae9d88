//! Replicated state machine of the control replicas.
//!
//! [`JobsState::apply`] is deterministic: it reads no clock and iterates over ordered collections
//! only. Commands carry all times.

mod crashes;
mod early_cancellations;
mod former_pools;
mod job;
mod occurrences;
mod retired;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize, Serializer};
use smol_str::SmolStr;

pub use self::crashes::{MAX_CRASHED_RUNS, MAX_ENDS_TO_FAIL, TaskCrashes};
pub use self::early_cancellations::MAX_EARLY_CANCELLATIONS;
pub use self::former_pools::FormerPools;
pub use self::job::{Job, JobStatus, StepProgress, TaskProgress};
use self::occurrences::LongJob;
pub use self::occurrences::{Occurrence, Occurrences};
pub use self::retired::{MAX_RETIRED_INCARNATIONS, RetiredIncarnations};
use crate::configuration::Configuration;
use crate::ids::{IncarnationId, JobKey, QueueKey, TaskId};
use crate::job::{JobSpec, Resources};
use crate::worker::{Heartbeat, RunEnd};
use crate::workspace::{Access, ApiKeyDigest, Caller, WorkspaceName};

/// A log entry that changes the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Increments the number of leaderships.
    Lead,
    /// Puts a configuration without workspaces in force, unless the one in force has the same or a
    /// later version.
    Configure(Arc<Configuration>),
    /// Adds a job that belongs to no workspace; has no effect if its key is known.
    Submit {
        /// The key that the client chose.
        job: JobKey,
        /// The queue that the job was submitted to.
        queue: QueueKey,
        /// The specification of the job.
        spec: Arc<JobSpec>,
        /// The arrival time, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Cancels a job; has no effect on an ended one.
    Cancel(JobKey),
    /// Records a worker incarnation before tasks start on it, so that a new leader can find its
    /// runs.
    Register(Box<Heartbeat>),
    /// Removes an incarnation on which no run can exist any more.
    Retire(IncarnationId),
    /// Records the run ends that a worker reported, and those by the crash of a worker.
    #[serde(rename = "NoteEnds")]
    RecordRunEnds {
        /// The incarnation that reported the ends or crashed.
        life: IncarnationId,
        /// The ends, in ascending order of their numbers. Crash records have no effect in earlier
        /// versions.
        ends: Vec<RunEnd>,
    },
    /// Adds a maintenance wave; has no effect if the same plan is known under its number.
    StartWave {
        /// The number of the wave.
        wave: u64,
        /// The instances and the limits of the wave.
        plan: Wave,
    },
    /// Records that the maintenance of an instance of a wave has started, or that it never will,
    /// since the instance no longer exists or the platform rejects its maintenance permanently.
    #[serde(rename = "NoteMaintained")]
    RecordMaintained {
        /// The number of the wave.
        wave: u64,
        /// The name of the instance.
        instance: SmolStr,
    },
    /// Removes jobs whose retention time after their end has passed.
    Forget(Vec<JobKey>),
    /// Records when the leader first observed that jobs had ended.
    #[serde(rename = "NoteEnded")]
    RecordEndedJobs {
        /// The jobs that the leader observed to have ended.
        jobs: Vec<JobKey>,
        /// The time of the observation, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Records the start or the end of a surge, so that a new leader can predict the start and the
    /// peak of the next one.
    #[serde(rename = "NoteRise")]
    RecordSurge {
        /// The name of the pool.
        pool: SmolStr,
        /// The latest surge and its peak.
        rise: SurgeRecord,
    },
    /// Puts a configuration with its access rules in force, unless the one in force has the same or
    /// a later version.
    ConfigureWithAccess {
        /// The configuration; its access rules are not encoded with it.
        configuration: Arc<Configuration>,
        /// The access rules of the configuration.
        access: Arc<Access>,
    },
    /// Adds a job for the workspace of an API key, if the configuration in force still has the
    /// queue and permits the call; has no effect if the key of the job is known.
    SubmitWithKey {
        /// The key that the client chose.
        job: JobKey,
        /// The queue that the job was submitted to.
        queue: QueueKey,
        /// The specification of the job.
        spec: Arc<JobSpec>,
        /// The arrival time, in milliseconds since 1970.
        at_ms: u64,
        /// The API key of the call.
        api_key: Option<ApiKeyDigest>,
    },
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The command was applied, now or earlier.
    Done,
    /// The configuration in force has the same or a later version.
    NotNewer {
        /// Whether the version is the same but the document differs.
        differs: bool,
    },
    /// The job, incarnation or wave does not exist.
    Unknown,
    /// A wave with this number and another plan exists.
    Conflict,
    /// The configuration in force does not have the queue.
    NoQueue,
    /// The queue requires an API key, and the call has none that is in force.
    Unauthorized,
    /// The job was cancelled before it was submitted, so it isn't added.
    CancelledEarlier,
    /// The key names a job of another queue, so the job isn't added.
    KeyInUse,
}

/// Holds the workspace that a job belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobOwner {
    /// The name of the workspace.
    pub workspace: WorkspaceName,
    /// The needs of all tasks that were not done when the job was cancelled or failed; their runs may
    /// last beyond the end of the job. Zero for other jobs.
    pub unfinished: Resources,
    /// The maximum needs of one task of the job.
    pub largest_task: Resources,
}

/// Holds the parts of a snapshot that follow the surges.
#[derive(Serialize, Deserialize)]
struct WorkspaceState {
    access: Access,
    owners: BTreeMap<JobKey, JobOwner>,
}

/// Describes the plan and the progress of a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Wave {
    /// The instances to maintain, each once.
    pub instances: Vec<SmolStr>,
    /// The time after acceptance within which the wave must be complete.
    pub duration_ms: u64,
    /// The most instances that the wave may have down at once.
    pub max_down: u32,
    /// The time of acceptance, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// The instances whose maintenance has started or can never start.
    pub maintained: BTreeSet<SmolStr>,
}

impl Wave {
    /// Returns whether no instance is left whose maintenance must start.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.instances
            .iter()
            .all(|instance| self.maintained.contains(instance))
    }

    /// Returns whether both have the same plan, whatever their progress.
    fn is_same_plan(&self, other: &Self) -> bool {
        (&self.instances, self.duration_ms, self.max_down)
            == (&other.instances, other.duration_ms, other.max_down)
    }
}

/// Holds the latest surge of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SurgeRecord {
    /// The start of the surge, in milliseconds since 1970.
    pub began_at_ms: u64,
    /// The highest peak of the pool's surges, in thousandths of an instance; zero until a surge has
    /// passed its ramp-up.
    #[serde(rename = "height_millis")]
    pub peak_millis: u64,
}

/// Holds the registration of a worker incarnation and how far its run ends have been recorded.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// The heartbeat at registration or at the latest change of the capacity, from which a new leader
    /// takes the worker's address and capacity.
    pub heartbeat: Heartbeat,
    /// The number of the last recorded run end; ends up to it are not recorded again.
    #[serde(rename = "noted_upto")]
    pub recorded_upto: u64,
}

/// Holds the replicated state, which is durable on a majority of the control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobsState {
    /// The number of leaderships so far.
    pub leaderships: u64,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The jobs, including ended ones until their retention time has passed. A snapshot holds those with a
    /// long schedule after the crashes.
    #[serde(serialize_with = "serialize_short_jobs")]
    pub jobs: BTreeMap<JobKey, Job>,
    /// The worker incarnations on which tasks may run.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<IncarnationId, IncarnationRecord>,
    /// The maintenance waves by number.
    pub waves: BTreeMap<u64, Wave>,
    /// The latest surge of each pool. A snapshot holds it after all other fields, since snapshots
    /// of earlier versions end before it.
    #[serde(skip)]
    pub surges: BTreeMap<SmolStr, SurgeRecord>,
    /// The workspaces of the jobs that belong to one. A snapshot holds them after the surges.
    #[serde(skip)]
    pub owners: BTreeMap<JobKey, JobOwner>,
    /// The crashes under the tasks that are not done. A snapshot holds them after the workspaces. They
    /// decide nothing in [`Self::apply`], since a replica that restored
    /// a snapshot of an earlier version lacks them.
    #[serde(skip)]
    pub crashes: BTreeMap<TaskId, TaskCrashes>,
    /// The pools in which runs may be active although their queue has another pool. A snapshot holds them
    /// after the jobs with a long schedule. As the crashes, they decide nothing in [`Self::apply`].
    #[serde(skip)]
    pub former_pools: FormerPools,
    /// How far the run ends of removed incarnations have been recorded. A snapshot holds them after the
    /// former pools. As the crashes, they decide nothing in [`Self::apply`]; the leader proposes no end that is
    /// recorded.
    #[serde(skip)]
    pub retired: RetiredIncarnations,
    /// The jobs that were cancelled before they were submitted; derived from the jobs.
    #[serde(skip)]
    pub early_cancellations: BTreeSet<JobKey>,
}

/// Encodes the jobs that earlier versions can hold.
fn serialize_short_jobs<S: Serializer>(
    jobs: &BTreeMap<JobKey, Job>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let is_short = |job: &Job| !job.spec.has_long_schedule();
    let short: Vec<_> = jobs.iter().filter(|(_, job)| is_short(job)).collect();
    serializer.collect_map(short)
}

impl JobsState {
    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_extend(&self.surges, postcard::to_stdvec(self)?)?;
        let workspaces = WorkspaceState {
            access: self.configuration.access.clone(),
            owners: self.owners.clone(),
        };
        let bytes = postcard::to_extend(&workspaces, bytes)?;
        let bytes = postcard::to_extend(&self.crashes, bytes)?;
        let jobs = self.jobs.iter();
        let long_jobs = jobs.filter_map(|(key, job)| Some((*key, LongJob::of(job)?)));
        let bytes = postcard::to_extend(&long_jobs.collect::<BTreeMap<_, _>>(), bytes)?;
        let bytes = postcard::to_extend(&self.former_pools, bytes)?;
        postcard::to_extend(&self.retired, bytes)
    }

    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the error of the decoder, for example if an incompatible version wrote the snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut state, former_pools) = Self::decode_earlier_sections(bytes)?;
        if former_pools.is_empty() {
            state.assume_former_pools();
        } else {
            let rest;
            (state.former_pools, rest) = postcard::take_from_bytes(former_pools)?;
            if !rest.is_empty() {
                // Sections of later versions may follow.
                (state.retired, _) = postcard::take_from_bytes(rest)?;
            }
        }
        state.index_early_cancellations();
        Ok(state)
    }

    /// Decodes the sections up to the jobs with a long schedule, and returns the bytes after them.
    fn decode_earlier_sections(bytes: &[u8]) -> Result<(Self, &[u8]), postcard::Error> {
        let (mut state, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        // Snapshots of earlier versions end before the surges, the workspaces, the crashes or the jobs with a
        // long schedule.
        if rest.is_empty() {
            return Ok((state, rest));
        }
        let (surges, rest) = postcard::take_from_bytes(rest)?;
        state.surges = surges;
        if rest.is_empty() {
            return Ok((state, rest));
        }
        let (workspaces, rest) = postcard::take_from_bytes::<WorkspaceState>(rest)?;
        Arc::make_mut(&mut state.configuration).access = workspaces.access;
        state.owners = workspaces.owners;
        if rest.is_empty() {
            return Ok((state, rest));
        }
        let (crashes, rest) = postcard::take_from_bytes(rest)?;
        state.crashes = crashes;
        if rest.is_empty() {
            return Ok((state, rest));
        }
        let (long_jobs, rest) = postcard::take_from_bytes::<BTreeMap<JobKey, LongJob>>(rest)?;
        let long_jobs = long_jobs.into_iter();
        state
            .jobs
            .extend(long_jobs.map(|(key, job)| (key, job.into())));
        Ok((state, rest))
    }

    /// Applies a command and returns its result.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Lead => {
                self.leaderships += 1;
                Outcome::Done
            }
            Command::Configure(configuration) => self.configure(configuration),
            Command::ConfigureWithAccess {
                mut configuration,
                access,
            } => {
                Arc::make_mut(&mut configuration).access = Arc::unwrap_or_clone(access);
                self.configure(configuration)
            }
            Command::SubmitWithKey {
                job,
                queue,
                spec,
                at_ms,
                api_key,
            } => self.submit_with_key(job, queue, spec, (at_ms, api_key)),
            Command::Submit {
                job,
                queue,
                spec,
                at_ms,
            } => self.submit(job, queue, spec, at_ms),
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
                Some(record) => {
                    self.retired.record(incarnation, record.recorded_upto);
                    Outcome::Done
                }
                None => Outcome::Unknown,
            },
            Command::RecordRunEnds {
                life: incarnation,
                ends,
            } => self.record_ends(&incarnation, &ends),
            Command::StartWave { wave, plan } => self.start_wave(wave, plan),
            Command::RecordMaintained { wave, instance } => {
                match self.waves.get_mut(&wave) {
                    Some(wave) => wave.maintained.insert(instance),
                    None => return Outcome::Unknown,
                };
                Outcome::Done
            }
            Command::Forget(jobs) => {
                for job in jobs {
                    self.jobs.remove(&job);
                    self.owners.remove(&job);
                    self.early_cancellations.remove(&job);
                    self.remove_settled_crashes(job);
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
        let current = &self.configuration;
        if configuration.version <= current.version {
            let is_same_version = configuration.version == current.version;
            let differs = is_same_version && configuration.document != current.document;
            return Outcome::NotNewer { differs };
        }
        self.record_former_pools(&configuration);
        self.configuration = configuration;
        Outcome::Done
    }

    fn submit(&mut self, key: JobKey, queue: QueueKey, spec: Arc<JobSpec>, at_ms: u64) -> Outcome {
        if let Some(known) = self.jobs.get(&key) {
            return if known.is_early_cancellation() {
                Outcome::CancelledEarlier
            } else if known.queue == queue {
                Outcome::Done
            } else {
                Outcome::KeyInUse
            };
        }
        let job = Job::new(queue, spec, at_ms);
        if job.is_early_cancellation() {
            self.early_cancellations.insert(key);
        }
        self.jobs.insert(key, job);
        Outcome::Done
    }

    fn submit_with_key(
        &mut self,
        job: JobKey,
        queue: QueueKey,
        spec: Arc<JobSpec>,
        (at_ms, api_key): (u64, Option<ApiKeyDigest>),
    ) -> Outcome {
        if self.configuration.queue(&queue).is_none() {
            return Outcome::NoQueue;
        }
        let owner = match self.configuration.access.caller(&queue, api_key.as_ref()) {
            Caller::Unauthorized => return Outcome::Unauthorized,
            Caller::Workspace(workspace) => Some(workspace.name.clone()),
            Caller::Public => None,
        };
        let is_new = !self.jobs.contains_key(&job);
        let largest_task = spec.largest_task();
        let outcome = self.submit(job, queue, spec, at_ms);
        if is_new && let Some(workspace) = owner {
            let owner = JobOwner {
                workspace,
                unfinished: Resources::default(),
                largest_task,
            };
            self.owners.insert(job, owner);
        }
        outcome
    }

    fn cancel(&mut self, key: JobKey) -> Outcome {
        let Some(job) = self.jobs.get_mut(&key) else {
            return Outcome::Unknown;
        };
        if let Some(owner) = self.owners.get_mut(&key)
            && job.ended.is_none()
        {
            owner.unfinished = job.unfinished_needs();
        }
        job.cancel();
        self.remove_settled_crashes(key);
        Outcome::Done
    }

    /// Returns the workspace that a job belongs to.
    #[must_use]
    pub fn workspace_of(&self, job: JobKey) -> Option<&WorkspaceName> {
        self.owners.get(&job).map(|owner| &owner.workspace)
    }

    fn start_wave(&mut self, wave: u64, plan: Wave) -> Outcome {
        match self.waves.get(&wave) {
            Some(existing) if !existing.is_same_plan(&plan) => Outcome::Conflict,
            Some(_) => Outcome::Done,
            None => {
                self.waves.insert(wave, plan);
                Outcome::Done
            }
        }
    }

    /// Records crashes and run ends.
    fn record_ends(&mut self, incarnation: &IncarnationId, ends: &[RunEnd]) -> Outcome {
        // A crash counts even if the incarnation has been removed in the meantime.
        for end in ends.iter().filter(|end| end.is_crash()) {
            self.record_crash(end);
        }
        let outcome = self.record_reported_ends(incarnation, ends);
        for end in ends {
            self.remove_settled_crashes(end.task.job);
        }
        outcome
    }

    /// Records the run ends that a worker reported and skips those that are already recorded, and
    /// with them the crash records, whose number is zero.
    fn record_reported_ends(&mut self, incarnation: &IncarnationId, ends: &[RunEnd]) -> Outcome {
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
            let unfinished = job.record_end(end, attempts);
            if let Some(owner) = self.owners.get_mut(&end.task.job) {
                owner.unfinished = owner.unfinished.component_max(&unfinished);
            }
        }
        Outcome::Done
    }
}
