//! Queues and pools as one whole.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::QueueKey;

/// Declares the queues and pools of a site under one version.
///
/// The document is kept as it was written, so that it is given back unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// The writer's version; the highest one is in force.
    pub version: u64,
    /// The document as its writer sent it.
    pub document: Vec<u8>,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// What clients may send.
    pub limits: ClientLimits,
}

/// Declares a queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name in reports.
    pub name: SmolStr,
    /// Where clients reach it.
    pub key: QueueKey,
    /// The pool whose workers run its tasks.
    pub pool: SmolStr,
    /// How long a client's call may take.
    pub call_timeout_ms: u64,
    /// The time that a job may take beyond its chain of work and still be in time.
    pub latency_target_ms: u64,
    /// The rank of its tasks; lower ranks come first.
    pub rank: u64,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// By how much a job may exceed its chain of work and still be in time, in thousandths.
    pub stretch_millis: u64,
    /// Whether the advice service decides which workers may run its steps.
    pub needs_advice: bool,
}

/// Declares a pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: SmolStr,
    /// Whether its workers refuse what does not fit.
    pub refuses_overload: bool,
    /// Whether its instances are off until they move to another pool.
    pub standby: bool,
}

/// Says what clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The largest head of a request.
    pub max_head_bytes: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub head_timeout_ms: u64,
    /// How long a connection may idle.
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

/// Says why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A queue names a pool that is not declared.
    UnknownPool(SmolStr, SmolStr),
    /// Two queues stand at the same place.
    DuplicateKey(QueueKey),
    /// A queue gives its clients no time.
    ZeroTimeout(SmolStr),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool(queue, pool) => write!(
                formatter,
                "queue `{queue}` names pool `{pool}`, which is not declared; declare it or name another"
            ),
            Self::DuplicateKey(key) => {
                write!(formatter, "two queues stand at `{key}`; move or remove one")
            }
            Self::ZeroTimeout(queue) => {
                write!(
                    formatter,
                    "queue `{queue}` has a time-out of 0; give it 1 ms at least"
                )
            }
        }
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Checks the configuration as a whole.
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
        Ok(())
    }

    /// Returns the pool of this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns the queue at exactly this place.
    #[must_use]
    pub fn queue(&self, key: &QueueKey) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.key == *key)
    }

    /// Returns the queue with the longest prefix of a path, and what follows the prefix.
    #[must_use]
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let fits = |queue: &&Queue| queue.key.host == host;
        let matching = self.queues.iter().filter(fits).filter_map(|queue| {
            let rest = path.strip_prefix(queue.key.path_prefix.as_str())?;
            Some((queue, rest))
        });
        matching.max_by_key(|(queue, _)| queue.key.path_prefix.len())
    }
}
