//! Declarations of queues, pools and client limits.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::QueueKey;
use crate::workspace::{Access, WorkspaceName};

/// Declares the queues and pools of a site under one version.
///
/// The original document is stored, so that a read returns it unchanged.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// The version that the author chose; the highest version is in force.
    pub version: u64,
    /// The document as received.
    pub document: Vec<u8>,
    /// The queues; each needs a unique key and a declared pool.
    pub queues: Vec<Queue>,
    /// The pools, identified by their names.
    pub pools: Vec<Pool>,
    /// The limits on client requests.
    pub limits: ClientLimits,
    /// The workspaces and the queues that require a key. Commands, snapshots and messages hold them
    /// separately, since those of earlier versions lack them.
    #[serde(skip)]
    pub access: Access,
}

impl fmt::Debug for Configuration {
    /// Omits the document, which contains the API keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Configuration")
            .field("version", &self.version)
            .field("document_bytes", &self.document.len())
            .field("queues", &self.queues)
            .field("pools", &self.pools)
            .field("limits", &self.limits)
            .field("access", &self.access)
            .finish()
    }
}

/// Declares a queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Queue {
    /// The name in reports.
    pub name: SmolStr,
    /// The host and path prefix under which clients reach the queue.
    pub key: QueueKey,
    /// The pool whose workers run its tasks.
    pub pool: SmolStr,
    /// The time limit of a client's call; zero is refused.
    pub call_timeout_ms: u64,
    /// The time that a job may take beyond its stretched critical path and still be in time.
    pub latency_target_ms: u64,
    /// The rank of its tasks; lower ranks are placed first.
    pub rank: u64,
    /// The number of failures of one task at which its job fails; zero counts as one.
    pub attempts: u32,
    /// The factor, in thousandths, by which the soft deadline stretches a job's critical path, its
    /// longest chain of dependent steps.
    pub stretch_millis: u64,
    /// Whether its steps may run only on workers for which the platform's advice service has
    /// granted a ticket.
    pub needs_advice: bool,
}

/// Declares a pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Pool {
    /// The name, which queues and heartbeats refer to.
    pub name: SmolStr,
    /// Whether its workers refuse tasks that do not fit.
    pub refuses_overload: bool,
    /// Whether its instances are switched off until they move to another pool.
    pub standby: bool,
}

/// Limits the requests and connections of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The largest request head; 16 KiB by default.
    pub max_head_bytes: usize,
    /// The largest request body; 256 KiB by default.
    pub max_body_bytes: usize,
    /// The time within which a request head must arrive; 3 s by default.
    pub head_timeout_ms: u64,
    /// The time after which an idle connection is closed; 15 s by default.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The reasons for which a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A queue refers to a pool that is not declared: the names of the queue and the pool.
    UnknownPool(SmolStr, SmolStr),
    /// Two queues have the same key.
    DuplicateKey(QueueKey),
    /// A queue has a call timeout of zero: the name of the queue.
    ZeroTimeout(SmolStr),
    /// Two workspaces have a key in common: the names of the workspaces.
    SharedKey(WorkspaceName, WorkspaceName),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool(queue, pool) => write!(
                formatter,
                "queue `{queue}` refers to pool `{pool}`, which is not declared; declare it or use another"
            ),
            Self::DuplicateKey(key) => {
                write!(
                    formatter,
                    "two queues have the host and path prefix `{key}`; change or remove one"
                )
            }
            Self::ZeroTimeout(queue) => {
                write!(
                    formatter,
                    "queue `{queue}` has a timeout of 0 ms; set at least 1 ms"
                )
            }
            Self::SharedKey(first, second) => write!(
                formatter,
                "workspaces `{first}` and `{second}` have a key in common; remove it from one of them"
            ),
        }
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Checks that pools are declared, timeouts are positive, and queue keys and API keys are unique.
    ///
    /// # Errors
    ///
    /// Returns the first [`ConfigurationError`] found.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let mut keys = BTreeSet::new();
        for queue in &self.queues {
            if self.pool(&queue.pool).is_none() {
                let (queue, pool) = (queue.name.clone(), queue.pool.clone());
                return Err(ConfigurationError::UnknownPool(queue, pool));
            }
            if queue.call_timeout_ms == 0 {
                return Err(ConfigurationError::ZeroTimeout(queue.name.clone()));
            }
            if !keys.insert(&queue.key) {
                return Err(ConfigurationError::DuplicateKey(queue.key.clone()));
            }
        }
        if let Some((first, second)) = self.access.shared_key() {
            return Err(ConfigurationError::SharedKey(first.clone(), second.clone()));
        }
        Ok(())
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns the queue with exactly this key.
    #[must_use]
    pub fn queue(&self, key: &QueueKey) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.key == *key)
    }

    /// Returns the queue with the longest matching path prefix, and the rest of the path.
    #[must_use]
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let has_host = |queue: &&Queue| queue.key.host == host;
        let matching = self.queues.iter().filter(has_host).filter_map(|queue| {
            let rest = path.strip_prefix(queue.key.path_prefix.as_str())?;
            Some((queue, rest))
        });
        matching.max_by_key(|(queue, _)| queue.key.path_prefix.len())
    }
}
