//! The declared objects and the check of the whole.
//!
//! Operators write the desired state of a site as one INI text of named objects that refer to one
//! another. [`DesiredState::parse`] reads the text and judges the whole; it reports every fault at
//! once.

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

/// The name that faults of a desired state give as their file.
pub const DESIRED_STATE_FILE: &str = "desired-state";

/// Holds everything that operators declare of a site.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DesiredState {
    /// The site itself.
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

/// Describes the site as a whole.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fleet {
    /// The name of the site.
    pub name: SmolStr,
    /// The latitude in degrees, north positive.
    pub latitude_deg: f64,
    /// The longitude in degrees, east positive.
    pub longitude_deg: f64,
}

/// Declares an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EntryDeclaration {
    /// The data centre that holds the entry.
    pub data_centre: DataCentreId,
}

/// Declares a service that callers address.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The pool whose instances run the service's backend servers, if declared.
    pub pool: Option<PoolId>,
    /// The longest time a request may take when the caller gives none.
    pub timeout_ms: DurationMs,
    /// The operations that are idempotent although their HTTP method is unsafe.
    pub idempotent: BTreeSet<SmolStr>,
    /// The operations that are not idempotent although their HTTP method is safe.
    pub non_idempotent: BTreeSet<SmolStr>,
    /// The objective: requests answered in time, in parts per million.
    pub objective_ppm: u64,
}

/// Declares a pool of instances.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolDeclaration {
    /// The availability budget of the pool.
    pub budget: SmolStr,
    /// Whether the pool holds spare instances for the others.
    pub spare: bool,
}

/// Declares how much of a pool may be unavailable at once.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Budget {
    /// The most instances of a pool that may be unavailable at once, planned or not.
    pub max_unavailable: u64,
    /// Whether the pool's buffer must outlast the loss of a whole data centre.
    pub survive_data_centre: bool,
    /// Whether the budget must hold when a whole rack is lost.
    pub survive_rack: bool,
}

/// Declares an instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InstanceDeclaration {
    /// The pool that the instance belongs to at first.
    pub pool: PoolId,
    /// The data centre that holds the instance.
    pub data_centre: DataCentreId,
    /// The rack that holds the instance.
    pub rack: RackId,
    /// The processors of the instance.
    pub cpu_mcores: MilliCores,
    /// The memory of the instance.
    pub memory_bytes: Bytes,
    /// The accelerators of the instance.
    pub accelerators: u64,
}

/// Declares a team with its quotas.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TeamDeclaration {
    /// The processors that the team's jobs may hold while others want them.
    pub quota_mcores: MilliCores,
    /// The weight of the team among the callers of a service.
    pub weight: u64,
}

/// Declares a maintenance wave; an instance belongs to it where every list that is given has it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveDeclaration {
    /// The pools that the wave goes through, in this order.
    pub pools: Vec<PoolId>,
    /// The most instances that the wave stops at once.
    pub max_parallel: u64,
    /// The waves that must be complete before this one starts.
    pub after: Vec<WaveId>,
    /// The racks whose instances are maintained; empty for all.
    pub racks: BTreeSet<RackId>,
    /// The instances that are maintained; empty for all.
    pub instances: BTreeSet<InstanceId>,
    /// In which order the instances are taken.
    pub order: WaveOrder,
    /// How long an instance may take to come back from its reboot.
    pub reboot_timeout_ms: DurationMs,
    /// The longest task that a drain waits for; the wave goes around a longer one.
    pub longest_task_ms: DurationMs,
    /// The software that an instance must report once it is back; empty for any.
    pub software: SmolStr,
}

/// Says in which order the instances of a wave are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveOrder {
    /// One rack after the other.
    #[default]
    RackByRack,
    /// As many racks at once as there are.
    Spread,
}

impl std::str::FromStr for WaveOrder {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "rack-by-rack" => Ok(Self::RackByRack),
            "spread" => Ok(Self::Spread),
            _ => Err("no order; write rack-by-rack or spread"),
        }
    }
}

impl DesiredState {
    /// Reads a desired state and judges the whole of it.
    ///
    /// # Errors
    ///
    /// Returns every fault at once, each with its place and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let (desired, mut problems, places) = read::read(file, text);
        check::check(&desired, &places, &mut problems);
        problems.sort();
        problems.into_result(desired)
    }

    /// Reads a desired state and judges it as the successor of what is used now.
    ///
    /// # Errors
    ///
    /// Returns every fault at once, those of removing what is in use included.
    pub fn parse_successor(file: &str, text: &str, in_use: &InUse) -> Result<Self, Problems> {
        let (desired, mut problems, places) = read::read(file, text);
        check::check(&desired, &places, &mut problems);
        in_use::check(&desired, in_use, file, &mut problems);
        problems.sort();
        problems.into_result(desired)
    }

    /// Reads the objects of a text that was judged when it was published, without judging it again.
    ///
    /// What cannot be read is left out, so that every replica gets the same objects from the same
    /// text even where the rules of the whole have become stricter since.
    #[must_use]
    pub fn read_published(text: &str) -> Self {
        read::read(DESIRED_STATE_FILE, text).0
    }
}
