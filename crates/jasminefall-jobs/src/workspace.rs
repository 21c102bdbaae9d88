//! Workspaces: which callers may use a queue, and how much each workspace may use.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::ids::{ParseIdError, QueueKey};
use crate::job::{JobSpec, Resources, StepSpec};

/// Identifies a workspace by its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceName(SmolStr);

impl WorkspaceName {
    /// Creates the identifier from a name.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self(name.into())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkspaceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for WorkspaceName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseIdError::new("the name of a workspace"));
        }
        Ok(Self::new(text))
    }
}

/// Holds the SHA-256 digest of an API key.
///
/// Processes exchange and compare digests only, so that no key reaches a log or an error message, and the
/// time of a lookup tells nothing about the keys that exist.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKeyDigest([u8; 32]);

impl ApiKeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKeyDigest(..)")
    }
}

/// Holds the weight of a workspace: its share of a full pool in proportion to the weights of the others, and
/// the number of submissions per second that it is entitled to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight {
    /// In thousandths of a submission per second.
    millis: u64,
}

impl Weight {
    /// Creates a weight from thousandths of a submission per second.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// Returns the weight in thousandths of a submission per second.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.millis
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{:03}",
            self.millis / 1_000,
            self.millis % 1_000
        )
    }
}

impl FromStr for Weight {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError::new("a weight as a non-negative decimal number");
        let weight: f64 = text.parse().map_err(|_| error.clone())?;
        if !weight.is_finite() || weight < 0.0 {
            return Err(error);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is not negative, and the conversion saturates"
        )]
        let millis = (weight * 1_000.0).round() as u64;
        Ok(Self { millis })
    }
}

/// Limits the resources that the tasks of a workspace occupy at once, on all workers together.
///
/// A component of zero has no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResourceCap(pub Resources);

impl ResourceCap {
    /// Returns whether the cap permits starting tasks that need `needs` while `used` is in use.
    ///
    /// Below half of the cap a single task is permitted even if it exceeds the rest, so that a workspace with
    /// little in use never waits for its own tasks.
    #[must_use]
    pub const fn permits(&self, used: &Resources, needs: &Resources, is_single_task: bool) -> bool {
        let total = used.plus(needs);
        let twice = used.times(2);
        self.covers(&total) || (is_single_task && self.covers(&twice))
    }

    /// Returns whether no component of `amount` exceeds the cap.
    #[must_use]
    pub const fn covers(&self, amount: &Resources) -> bool {
        const fn is_within(limit: u64, amount: u64) -> bool {
            limit == 0 || amount <= limit
        }
        is_within(self.0.cpu_millis, amount.cpu_millis)
            && is_within(self.0.memory_mb, amount.memory_mb)
            && is_within(self.0.gpus, amount.gpus)
    }

    /// Returns the first step whose tasks can never start under the cap.
    #[must_use]
    pub fn first_impossible_step(&self, spec: &JobSpec) -> Option<usize> {
        let started_at_once = |step: &StepSpec| {
            let tasks = if step.gang { step.tasks } else { 1 };
            step.needs.times(u64::from(tasks))
        };
        spec.steps
            .iter()
            .position(|step| !self.covers(&started_at_once(step)))
    }
}

impl fmt::Display for ResourceCap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources {
            cpu_millis,
            memory_mb,
            gpus,
        } = self.0;
        write!(
            formatter,
            "cpu_millis={cpu_millis} memory_mb={memory_mb} gpus={gpus}"
        )
    }
}

/// Declares a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Workspace {
    /// The name in reports.
    pub name: WorkspaceName,
    /// The digests of the keys with which its callers authenticate.
    pub keys: Vec<ApiKeyDigest>,
    /// Its share of a full pool, and its rate of submissions.
    pub weight: Weight,
    /// The limit on what its tasks occupy at once.
    pub cap: ResourceCap,
}

/// States for whom a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The call belongs to a workspace.
    Workspace(&'a Workspace),
    /// The queue is public, and the call belongs to no workspace.
    Public,
    /// The queue requires a key, and the call has none that is in force.
    Unauthorized,
}

/// Declares the workspaces of a site and the queues that require a key.
///
/// A site that declares none of them requires no keys.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "AccessFields", into = "AccessFields")]
pub struct Access {
    keyed_queues: BTreeSet<QueueKey>,
    workspaces: Vec<Workspace>,
    /// The positions in `workspaces` by key.
    by_key: HashMap<ApiKeyDigest, usize>,
    /// The positions in `workspaces` by name; the first one if a name is declared twice.
    by_name: HashMap<WorkspaceName, usize>,
}

impl fmt::Debug for Access {
    /// Omits the indexes, whose order is random.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Access")
            .field("keyed_queues", &self.keyed_queues)
            .field("workspaces", &self.workspaces)
            .finish()
    }
}

#[derive(Clone, Serialize, Deserialize)]
struct AccessFields {
    keyed_queues: BTreeSet<QueueKey>,
    workspaces: Vec<Workspace>,
}

impl From<AccessFields> for Access {
    fn from(fields: AccessFields) -> Self {
        Self::new(fields.keyed_queues, fields.workspaces)
    }
}

impl From<Access> for AccessFields {
    fn from(access: Access) -> Self {
        Self {
            keyed_queues: access.keyed_queues,
            workspaces: access.workspaces,
        }
    }
}

impl Access {
    /// Creates the rules from the queues that require a key and from the workspaces.
    #[must_use]
    pub fn new(keyed_queues: BTreeSet<QueueKey>, workspaces: Vec<Workspace>) -> Self {
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        for (position, workspace) in workspaces.iter().enumerate() {
            by_name.entry(workspace.name.clone()).or_insert(position);
            for key in &workspace.keys {
                by_key.entry(*key).or_insert(position);
            }
        }
        Self {
            keyed_queues,
            workspaces,
            by_key,
            by_name,
        }
    }

    /// Returns the workspaces, in the order of their declaration.
    #[must_use]
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.by_name
            .get(name)
            .map(|position| &self.workspaces[*position])
    }

    /// Returns for whom a call to a queue is made, by the key that it carries.
    #[must_use]
    pub fn caller(&self, queue: &QueueKey, key: Option<&ApiKeyDigest>) -> Caller<'_> {
        let position = key.and_then(|key| self.by_key.get(key));
        match position {
            Some(position) => Caller::Workspace(&self.workspaces[*position]),
            None if self.keyed_queues.contains(queue) => Caller::Unauthorized,
            None => Caller::Public,
        }
    }

    /// Returns the names of two workspaces that share a key, if there are any.
    #[must_use]
    pub fn shared_key(&self) -> Option<(&WorkspaceName, &WorkspaceName)> {
        let keys = self.workspaces.iter().enumerate();
        let mut keys = keys.flat_map(|(position, workspace)| {
            workspace.keys.iter().map(move |key| (position, key))
        });
        let (second, key) = keys.find(|(position, key)| self.by_key[*key] != *position)?;
        let first = self.by_key[key];
        Some((&self.workspaces[first].name, &self.workspaces[second].name))
    }
}
