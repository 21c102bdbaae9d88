//! Shares of workspaces in a full pool, and their rates of submissions.
//!
//! For some seconds one workspace can send several times its usual load, more than its pool holds. Without
//! shares every workspace would wait behind that load. A workspace that uses less of the pool than its share,
//! by weight among those that use the pool, is placed before those that use more; what it leaves goes to the
//! others. Submissions beyond the rate of a workspace are placed like work beyond its share.

use std::collections::HashMap;

use crate::job::Resources;
use crate::workspace::{Weight, WorkspaceName};

/// Holds the use of one pool by the workspaces that have work in it.
#[derive(Debug, Clone, Default)]
pub struct PoolShares {
    capacity: Resources,
    total_weight_millis: u64,
    used: HashMap<WorkspaceName, (Weight, Resources)>,
}

impl PoolShares {
    /// Creates the shares of a pool with this capacity, without workspaces.
    #[must_use]
    pub fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Adds a workspace that has work in the pool, and the resources that its tasks use there; has no
    /// effect on one that was added before.
    pub fn add(&mut self, name: &WorkspaceName, weight: Weight, used: Resources) {
        if !self.used.contains_key(name) {
            self.total_weight_millis = self.total_weight_millis.saturating_add(weight.as_millis());
            self.used.insert(name.clone(), (weight, used));
        }
    }

    /// Adds tasks that a workspace starts or is about to start.
    pub fn add_use(&mut self, name: &WorkspaceName, needs: &Resources) {
        if let Some((_, used)) = self.used.get_mut(name) {
            *used = used.plus(needs);
        }
    }

    /// Returns whether a workspace uses its whole share of the pool, or more.
    #[must_use]
    pub fn is_over_share(&self, name: &WorkspaceName) -> bool {
        let Some((weight, used)) = self.used.get(name) else {
            return false;
        };
        let exceeds = |used: u64, capacity: u64| {
            let used = u128::from(used) * u128::from(self.total_weight_millis);
            capacity > 0 && used >= u128::from(capacity) * u128::from(weight.as_millis())
        };
        exceeds(used.cpu_millis, self.capacity.cpu_millis)
            || exceeds(used.memory_mb, self.capacity.memory_mb)
    }

    /// Returns the share of a workspace, including one that has no work in the pool yet.
    #[must_use]
    pub fn share(&self, name: &WorkspaceName, weight: Weight) -> Resources {
        let is_known = self.used.contains_key(name);
        let own = if is_known { 0 } else { weight.as_millis() };
        let total = self.total_weight_millis.saturating_add(own).max(1);
        let part = |capacity: u64| capacity.saturating_mul(weight.as_millis()) / total;
        Resources {
            cpu_millis: part(self.capacity.cpu_millis),
            memory_mb: part(self.capacity.memory_mb),
            gpus: part(self.capacity.gpus),
        }
    }
}

/// Measures whether the submissions of a workspace exceed its rate.
///
/// It is a token bucket that holds the submissions of one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateMeter {
    /// What the bucket lacks, in millionths of a submission.
    debt_micros: u64,
    observed_at_ms: u64,
}

/// One submission, in millionths.
const SUBMISSION_MICROS: u64 = 1_000_000;

impl RateMeter {
    /// Records a submission; returns whether it is within the rate.
    ///
    /// A submission beyond the rate takes nothing from the bucket.
    pub fn record(&mut self, now_ms: u64, weight: Weight) -> bool {
        let rate = weight.as_millis();
        let elapsed_ms = now_ms.saturating_sub(self.observed_at_ms);
        self.observed_at_ms = now_ms;
        // Thousandths of a submission per second are millionths per millisecond.
        let repaid_micros = elapsed_ms.saturating_mul(rate);
        self.debt_micros = self.debt_micros.saturating_sub(repaid_micros);
        let capacity_micros = Self::capacity_micros(weight);
        let is_within = self.debt_micros.saturating_add(SUBMISSION_MICROS) <= capacity_micros;
        if is_within {
            self.debt_micros += SUBMISSION_MICROS;
        }
        is_within
    }

    /// Returns the time until a submission is within the rate again, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, weight: Weight) -> u64 {
        let needed_micros = self.debt_micros.saturating_add(SUBMISSION_MICROS);
        let missing_micros = needed_micros.saturating_sub(Self::capacity_micros(weight));
        missing_micros.div_ceil(weight.as_millis().max(1))
    }

    /// Returns what the bucket holds: the submissions of one second, and at least one, however low the
    /// rate is.
    fn capacity_micros(weight: Weight) -> u64 {
        weight
            .as_millis()
            .saturating_mul(1_000)
            .max(SUBMISSION_MICROS)
    }
}
