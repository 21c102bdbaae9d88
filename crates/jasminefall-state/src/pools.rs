//! Instances with their pool and condition, and the budget check.
//!
//! Every step of an instance carries the epoch that it was planned against and increments it, so
//! that a step planned on an older view is refused. The budget is checked here, when a step is
//! committed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::Refusal;

/// Describes the condition of an instance.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceCondition {
    /// It takes new work.
    #[default]
    InService,
    /// It takes no new work.
    Cordoned,
    /// It takes no new work, and its tasks and requests end or move away.
    Draining,
    /// It is rebooting.
    Rebooting,
    /// It has rebooted and is being verified.
    Verifying,
    /// It was lost, or it failed to return to service after a reboot.
    Failed,
}

impl fmt::Display for InstanceCondition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::InService => "in service",
            Self::Cordoned => "cordoned",
            Self::Draining => "draining",
            Self::Rebooting => "rebooting",
            Self::Verifying => "verifying",
            Self::Failed => "failed",
        })
    }
}

/// Gives the reason why an instance is out of service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// No reason; every instance in service has this purpose.
    #[default]
    None,
    /// Maintenance by the waves that list it.
    Maintenance,
    /// A move to another pool.
    Move(PoolId),
    /// Held by an operator or by the worker health check; the text names the holder.
    Held(SmolStr),
    /// Lost; it returns to service automatically with its next heartbeat.
    Lost,
    /// Not verified after its reboot; an operator has to return it.
    NotVerified,
}

/// Holds one instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Instance {
    /// The only pool that the instance belongs to now.
    pub pool: PoolId,
    /// The pool that the desired state declares for it.
    pub home: PoolId,
    /// The current condition.
    pub condition: InstanceCondition,
    /// The reason why it is out of service.
    pub purpose: Purpose,
    /// The epoch, incremented so that a step planned on an older view is refused.
    pub epoch: Epoch,
    /// The time of its declaration or of the latest step, loss, new incarnation or return after a
    /// loss, in milliseconds since 1970.
    pub since_ms: u64,
    /// The latest incarnation of its process; none before the first heartbeat.
    pub incarnation: Option<Incarnation>,
}

/// Counts the instances of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolCount {
    /// The instances that belong to the pool.
    pub members: u64,
    /// The members that take new work.
    pub in_service: u64,
    /// The instances that the desired state declares for the pool.
    pub declared: u64,
}

/// Requests one step of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStep {
    /// The instance that takes the step.
    pub instance: InstanceId,
    /// The epoch that the step was planned against.
    pub epoch: Epoch,
    /// The action to take.
    pub action: InstanceAction,
}

/// Names the action of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceAction {
    /// Takes the instance out of service, within the budget.
    Cordon(Purpose),
    /// Drains the instance of its work.
    Drain,
    /// Reboots the instance, once it has no work left.
    Reboot,
    /// Moves the instance to the pool of its purpose, once it has no work left.
    HandOver,
    /// Returns the instance to service.
    Return,
    /// Marks the instance as failed, because it was not verified after its reboot.
    GiveUp,
}

/// Holds every instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Instances {
    by_id: BTreeMap<InstanceId, Instance>,
    counts: BTreeMap<PoolId, PoolCount>,
    out_of_service: BTreeSet<InstanceId>,
    away: BTreeSet<InstanceId>,
}

impl Instances {
    /// Returns an instance, if it is declared.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.by_id.get(id)
    }

    /// Returns every instance in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        self.by_id.iter()
    }

    /// Returns the instances that take no new work.
    pub fn out_of_service(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.out_of_service.iter();
        ids.filter_map(|id| Some((id, self.by_id.get(id)?)))
    }

    /// Returns the instances that belong to a pool other than the declared one.
    pub fn outside_home_pool(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.away.iter();
        ids.filter_map(|id| Some((id, self.by_id.get(id)?)))
    }

    /// Returns the counts of a pool.
    #[must_use]
    pub fn pool_count(&self, pool: &PoolId) -> PoolCount {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Returns the incarnation of an instance's process, if new work may be placed on it.
    #[must_use]
    pub fn schedulable_incarnation(&self, id: &InstanceId) -> Option<Incarnation> {
        let instance = self.by_id.get(id)?;
        let takes_work = instance.condition == InstanceCondition::InService;
        instance.incarnation.filter(|_| takes_work)
    }

    /// Returns the number of instances of a pool that may be taken out of service now.
    ///
    /// Every instance out of service counts, planned or not; borrowed instances compensate for
    /// missing ones. A spare pool may lend all of its instances.
    #[must_use]
    pub fn headroom(&self, desired: &DesiredState, pool: &PoolId) -> u64 {
        let count = self.pool_count(pool);
        count
            .in_service
            .saturating_sub(required_in_service(desired, pool, count.declared))
    }

    /// Returns whether more instances of a pool are out of service than its budget allows.
    #[must_use]
    pub fn is_over_budget(&self, desired: &DesiredState, pool: &PoolId) -> bool {
        let count = self.pool_count(pool);
        count.in_service < required_in_service(desired, pool, count.declared)
    }

    /// Adds, updates and removes instances to match a new desired state.
    pub fn apply_desired_state(&mut self, now_ms: u64, desired: &DesiredState) {
        let undeclared: Vec<InstanceId> = self
            .by_id
            .keys()
            .filter(|id| !desired.instances.contains_key(*id))
            .cloned()
            .collect();
        for id in undeclared {
            self.change(&id, |_| None);
        }
        for (id, declared) in &desired.instances {
            self.change(id, |old| {
                let mut instance = old.unwrap_or_else(|| Instance {
                    pool: declared.pool.clone(),
                    since_ms: now_ms,
                    ..Instance::default()
                });
                if !desired.pools.contains_key(&instance.pool) {
                    instance.pool = declared.pool.clone();
                    instance.epoch = instance.epoch.next();
                }
                instance.home = declared.pool.clone();
                Some(instance)
            });
        }
    }

    /// Takes a step if no constraint forbids it now.
    ///
    /// `is_idle` states whether the instance has no task left.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the constraint and the remedy.
    pub fn step(
        &mut self,
        now_ms: u64,
        desired: &DesiredState,
        step: &InstanceStep,
        is_idle: bool,
    ) -> Result<(), Refusal> {
        let Some(instance) = self.by_id.get(&step.instance) else {
            return Err(refusal(format!(
                "the instance `{0}` is not declared; add [instance.{0}]",
                step.instance
            )));
        };
        if instance.epoch != step.epoch {
            let (now, planned) = (instance.epoch, step.epoch);
            return Err(refusal(format!(
                "the instance `{}` is at epoch {now} and the step was planned for epoch {planned}; \
                 plan the step again",
                step.instance
            )));
        }
        let mut next = instance.clone();
        match &step.action {
            InstanceAction::Cordon(purpose) => {
                self.cordon(desired, instance, &mut next, purpose)?;
            }
            InstanceAction::Drain => transition(
                instance,
                InstanceCondition::Cordoned,
                &mut next,
                InstanceCondition::Draining,
            )?,
            InstanceAction::Reboot => {
                self.require_budget_kept(desired, instance)?;
                require_idle(is_idle)?;
                transition(
                    instance,
                    InstanceCondition::Draining,
                    &mut next,
                    InstanceCondition::Rebooting,
                )?;
            }
            InstanceAction::HandOver => hand_over(desired, instance, &mut next, is_idle)?,
            InstanceAction::Return => return_to_service(instance, &mut next)?,
            InstanceAction::GiveUp => {
                let is_unverified = matches!(
                    instance.condition,
                    InstanceCondition::Rebooting | InstanceCondition::Verifying
                );
                if !is_unverified {
                    return Err(refusal(format!(
                        "the instance is {}; only a rebooting or verifying instance \
                         can be given up",
                        instance.condition
                    )));
                }
                next.condition = InstanceCondition::Failed;
                next.purpose = Purpose::NotVerified;
            }
        }
        next.since_ms = now_ms;
        next.epoch = instance.epoch.next();
        self.change(&step.instance, |_| Some(next));
        Ok(())
    }

    fn cordon(
        &self,
        desired: &DesiredState,
        instance: &Instance,
        next: &mut Instance,
        purpose: &Purpose,
    ) -> Result<(), Refusal> {
        transition(
            instance,
            InstanceCondition::InService,
            next,
            InstanceCondition::Cordoned,
        )?;
        if let Purpose::Move(to) = purpose {
            if !desired.pools.contains_key(to) {
                return Err(refusal(format!(
                    "the pool `{to}` is not declared; name a declared pool"
                )));
            }
            if *to == instance.pool {
                return Err(refusal(format!(
                    "the instance already belongs to the pool `{to}`"
                )));
            }
        }
        if self.headroom(desired, &instance.pool) == 0 {
            return Err(refusal(self.budget_message(desired, &instance.pool)));
        }
        next.purpose = purpose.clone();
        Ok(())
    }

    /// Refuses a reboot if failures have exhausted the budget since the instance was cordoned.
    fn require_budget_kept(
        &self,
        desired: &DesiredState,
        instance: &Instance,
    ) -> Result<(), Refusal> {
        if self.is_over_budget(desired, &instance.pool) {
            return Err(refusal(self.budget_message(desired, &instance.pool)));
        }
        Ok(())
    }

    /// Returns a message with the use of a pool's budget and the remedies.
    #[must_use]
    pub fn budget_message(&self, desired: &DesiredState, pool: &PoolId) -> String {
        let count = self.pool_count(pool);
        let required = required_in_service(desired, pool, count.declared);
        format!(
            "pool `{pool}` has {} of {} instances in service and its budget requires {required}; \
             wait until one returns, lend it a spare instance, or raise max_unavailable",
            count.in_service, count.declared
        )
    }

    /// Marks an instance as lost.
    ///
    /// An instance that has failed or was never started is left as it is, and so is a rebooting one,
    /// because a reboot is no loss.
    pub fn mark_lost(&mut self, now_ms: u64, id: &InstanceId) {
        self.change(id, |old| {
            let mut instance = old?;
            let expected = matches!(
                instance.condition,
                InstanceCondition::Rebooting | InstanceCondition::Failed
            );
            if !expected && instance.incarnation.is_some() {
                instance.condition = InstanceCondition::Failed;
                instance.purpose = Purpose::Lost;
                instance.since_ms = now_ms;
                instance.epoch = instance.epoch.next();
            }
            Some(instance)
        });
    }

    /// Records the incarnation of an instance's process; returns whether it is new.
    ///
    /// A rebooting instance is verified next, and a lost instance returns to service.
    pub fn record_incarnation(
        &mut self,
        now_ms: u64,
        id: &InstanceId,
        incarnation: Incarnation,
    ) -> bool {
        let Some(instance) = self.by_id.get(id) else {
            return false;
        };
        let is_new = instance.incarnation.is_none_or(|known| known < incarnation);
        let is_same = instance.incarnation == Some(incarnation);
        self.change(id, |old| {
            let mut instance = old?;
            let before = instance.clone();
            if is_new {
                instance.incarnation = Some(incarnation);
            }
            if is_new && instance.condition == InstanceCondition::Rebooting {
                instance.condition = InstanceCondition::Verifying;
            }
            let is_current = is_new || is_same;
            if is_current
                && instance.condition == InstanceCondition::Failed
                && instance.purpose == Purpose::Lost
            {
                instance.condition = InstanceCondition::InService;
                instance.purpose = Purpose::None;
            }
            if instance != before {
                instance.since_ms = now_ms;
                instance.epoch = instance.epoch.next();
            }
            Some(instance)
        });
        is_new
    }

    /// Changes one instance and updates the counts and the sets derived from it.
    fn change(
        &mut self,
        id: &InstanceId,
        change: impl FnOnce(Option<Instance>) -> Option<Instance>,
    ) {
        let old = self.by_id.remove(id);
        if let Some(old) = &old {
            self.update_pool_counts(old, false);
        }
        self.out_of_service.remove(id);
        self.away.remove(id);
        let Some(new) = change(old) else {
            return;
        };
        self.update_pool_counts(&new, true);
        if new.condition != InstanceCondition::InService {
            self.out_of_service.insert(id.clone());
        }
        if new.pool != new.home {
            self.away.insert(id.clone());
        }
        self.by_id.insert(id.clone(), new);
    }

    fn update_pool_counts(&mut self, instance: &Instance, is_added: bool) {
        let change = |value: &mut u64| *value = if is_added { *value + 1 } else { *value - 1 };
        let pool_count = self.counts.entry(instance.pool.clone()).or_default();
        change(&mut pool_count.members);
        if instance.condition == InstanceCondition::InService {
            change(&mut pool_count.in_service);
        }
        change(
            &mut self
                .counts
                .entry(instance.home.clone())
                .or_default()
                .declared,
        );
    }
}

/// Returns the number of instances that must be in service by a pool's budget.
fn required_in_service(desired: &DesiredState, pool: &PoolId, declared: u64) -> u64 {
    let Some(declaration) = desired.pools.get(pool).filter(|pool| !pool.spare) else {
        return 0;
    };
    let budget = desired.budgets.get(&declaration.budget);
    declared.saturating_sub(budget.map_or(0, |budget| budget.max_unavailable))
}

fn refusal(message: String) -> Refusal {
    Refusal::Held(message.into())
}

/// Sets the condition of `next` to `to`; refuses unless the instance is in the condition `from`.
fn transition(
    instance: &Instance,
    from: InstanceCondition,
    next: &mut Instance,
    to: InstanceCondition,
) -> Result<(), Refusal> {
    if instance.condition != from {
        let now = instance.condition;
        return Err(refusal(format!(
            "the instance is {now} and the step requires it to be {from}"
        )));
    }
    next.condition = to;
    Ok(())
}

fn require_idle(is_idle: bool) -> Result<(), Refusal> {
    if is_idle {
        return Ok(());
    }
    let message = "the instance has tasks in progress; wait for them to end or cancel them";
    Err(refusal(message.to_owned()))
}

fn hand_over(
    desired: &DesiredState,
    instance: &Instance,
    next: &mut Instance,
    is_idle: bool,
) -> Result<(), Refusal> {
    let Purpose::Move(to) = &instance.purpose else {
        return Err(refusal(
            "the instance is not being moved to another pool; request a move first".to_owned(),
        ));
    };
    if !desired.pools.contains_key(to) {
        return Err(refusal(format!(
            "the pool `{to}` is no longer declared; return the instance"
        )));
    }
    require_idle(is_idle)?;
    transition(
        instance,
        InstanceCondition::Draining,
        next,
        InstanceCondition::InService,
    )?;
    next.pool = to.clone();
    next.purpose = Purpose::None;
    Ok(())
}

fn return_to_service(instance: &Instance, next: &mut Instance) -> Result<(), Refusal> {
    let may_return = match instance.condition {
        InstanceCondition::Cordoned
        | InstanceCondition::Draining
        | InstanceCondition::Verifying => true,
        InstanceCondition::Failed => instance.purpose == Purpose::NotVerified,
        InstanceCondition::InService | InstanceCondition::Rebooting => false,
    };
    if !may_return {
        return Err(refusal(format!(
            "the instance is {}; only an instance that is cordoned, draining, verifying \
             or not verified can be returned",
            instance.condition
        )));
    }
    next.condition = InstanceCondition::InService;
    next.purpose = Purpose::None;
    Ok(())
}
