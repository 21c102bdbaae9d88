//! The declared objects of a site and their validation.
//!
//! Operators write the desired state of a site as one INI text of named objects that refer to each
//! other. [`DesiredState::parse`] parses the text, validates all objects together and reports every
//! problem at once.

mod check;
pub mod difference;
pub mod in_use;
mod read;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use difference::{KeyChange, ObjectChange, ObjectChangeKind, differences};
pub use in_use::InUse;

use crate::ids::{DataCentreId, EntryId, InstanceId, PoolId, RackId, ServiceId, TeamId, WaveId};
use crate::problem::Problems;
use crate::units::{Bytes, DurationMs, MilliCores};

/// The file name in the problems of a desired state that was not read from a file.
pub const DESIRED_STATE_FILE: &str = "desired-state";

/// Holds all objects that operators declare for a site.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DesiredState {
    /// The properties of the whole site.
    pub fleet: Fleet,
    /// The entry instances by name.
    pub entries: BTreeMap<EntryId, EntryDeclaration>,
    /// The services that callers address, by name.
    pub services: BTreeMap<ServiceId, ServiceDeclaration>,
    /// The pools of instances by name.
    pub pools: BTreeMap<PoolId, PoolDeclaration>,
    /// The availability budgets by name.
    pub budgets: BTreeMap<SmolStr, Budget>,
    /// The instances by name.
    pub instances: BTreeMap<InstanceId, InstanceDeclaration>,
    /// The teams by name.
    pub teams: BTreeMap<TeamId, TeamDeclaration>,
    /// The maintenance waves by name.
    pub waves: BTreeMap<WaveId, WaveDeclaration>,
}

/// Declares the properties of the whole site.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fleet {
    /// The name of the site.
    pub name: SmolStr,
    /// The latitude in degrees, positive to the north.
    pub latitude_deg: f64,
    /// The longitude in degrees, positive to the east.
    pub longitude_deg: f64,
}

/// Declares an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EntryDeclaration {
    /// The data centre in which the entry runs.
    pub data_centre: DataCentreId,
}

/// Declares a service that callers address.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The pool whose instances run the service's backend servers, if declared.
    pub pool: Option<PoolId>,
    /// The timeout of requests whose caller sets none.
    pub timeout_ms: DurationMs,
    /// The operations that are idempotent although their HTTP method is unsafe.
    pub idempotent: BTreeSet<SmolStr>,
    /// The operations that are not idempotent although their HTTP method is safe.
    pub non_idempotent: BTreeSet<SmolStr>,
    /// The service level objective: the required share of requests answered in time, in parts per
    /// million.
    pub objective_ppm: u64,
}

/// Declares a pool of instances.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolDeclaration {
    /// The name of the pool's availability budget.
    pub budget: SmolStr,
    /// Whether the pool holds spare instances for other pools.
    pub spare: bool,
}

/// Declares an availability budget, which limits the unavailable instances of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Budget {
    /// The maximum number of instances of a pool that may be unavailable at once, planned or not.
    pub max_unavailable: u64,
    /// Whether the pool's spare capacity must cover the loss of a whole data centre.
    pub survive_data_centre: bool,
    /// Whether the loss of a whole rack must stay within `max_unavailable`.
    pub survive_rack: bool,
}

/// Declares an instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InstanceDeclaration {
    /// The home pool, to which the instance belongs unless it is moved.
    pub pool: PoolId,
    /// The data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// The rack in which the instance runs.
    pub rack: RackId,
    /// The processor capacity of the instance.
    pub cpu_mcores: MilliCores,
    /// The memory capacity of the instance.
    pub memory_bytes: Bytes,
    /// The number of accelerators of the instance.
    pub accelerators: u64,
}

/// Declares a team with its quotas.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TeamDeclaration {
    /// The processor amount that the team's jobs may hold while other teams request it.
    pub quota_mcores: MilliCores,
    /// The weight of the team in fair sharing among the callers of a service.
    pub weight: u64,
}

/// Declares a maintenance wave.
///
/// An instance belongs to the wave if it matches every list that is not empty.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveDeclaration {
    /// The pools whose instances are maintained, in processing order.
    pub pools: Vec<PoolId>,
    /// The maximum number of instances that the wave stops at once.
    pub max_parallel: u64,
    /// The waves that must be complete before this one starts.
    pub after: Vec<WaveId>,
    /// The racks whose instances are maintained; all if empty.
    pub racks: BTreeSet<RackId>,
    /// The instances that are maintained; all if empty.
    pub instances: BTreeSet<InstanceId>,
    /// The order in which instances are selected.
    pub order: WaveOrder,
    /// The maximum time from the start of an instance's reboot until it is back.
    pub reboot_timeout_ms: DurationMs,
    /// The longest remaining time of a task for which a drain waits; the wave defers an instance
    /// whose task needs longer and cannot be checkpointed.
    pub longest_task_ms: DurationMs,
    /// The software version that an instance must report after its reboot; any if empty.
    pub software: SmolStr,
}

/// Defines the order in which the instances of a wave are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveOrder {
    /// Instances of one rack after those of another.
    #[default]
    RackByRack,
    /// Instances of all racks in turn.
    Spread,
}

impl std::str::FromStr for WaveOrder {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "rack-by-rack" => Ok(Self::RackByRack),
            "spread" => Ok(Self::Spread),
            _ => Err("the wave order is unknown; write rack-by-rack or spread"),
        }
    }
}

impl DesiredState {
    /// Parses and validates a desired state; `file` is the file name in reported problems.
    ///
    /// # Errors
    ///
    /// Returns every problem at once, each with its location and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let (desired, mut problems, places) = read::read(file, text);
        check::check(&desired, &places, &mut problems);
        problems.sort();
        problems.into_result(desired)
    }

    /// Parses and validates a desired state that replaces one whose objects are in use.
    ///
    /// # Errors
    ///
    /// Returns every problem at once, including the removal of objects that are in use.
    pub fn parse_successor(file: &str, text: &str, in_use: &InUse) -> Result<Self, Problems> {
        let (desired, mut problems, places) = read::read(file, text);
        check::check(&desired, &places, &mut problems);
        in_use::check(&desired, in_use, file, &mut problems);
        problems.sort();
        problems.into_result(desired)
    }

    /// Parses a text that was validated at its publication, without validating it again.
    ///
    /// Invalid parts are skipped, so that every replica reads the same objects from the same text
    /// even if validation has become stricter since the publication.
    #[must_use]
    pub fn read_published(text: &str) -> Self {
        read::read(DESIRED_STATE_FILE, text).0
    }
}
