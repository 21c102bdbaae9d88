//! Instances with the pool that each belongs to, their condition, and the budget check.
//!
//! Every change of an instance carries the epoch that it was planned against and raises it, so that a
//! step planned on an older view is refused. The budget is checked here, when a step is committed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jasminefall_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::Refusal;

/// Says what an instance is doing.
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
    /// Its tasks and requests are coming to their end.
    Draining,
    /// It reboots.
    Rebooting,
    /// It is back and is being verified.
    Verifying,
    /// It has failed or did not come back.
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

/// Says why an instance is out of service, or being taken out of it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// For no purpose.
    #[default]
    None,
    /// For the maintenance waves that list it.
    Maintenance,
    /// To be handed over to another pool.
    Move(PoolId),
    /// Because an operator holds it.
    Held(SmolStr),
    /// Because it was lost; it returns by itself when it is heard again.
    Lost,
    /// Because it did not come back well from its reboot; an operator returns it.
    NotVerified,
}

/// Holds one instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Instance {
    /// The only pool that the instance belongs to.
    pub pool: PoolId,
    /// The pool that operators declare for it.
    pub home: PoolId,
    /// What it is doing.
    pub condition: InstanceCondition,
    /// What it is out of service for.
    pub purpose: Purpose,
    /// Fences the changes of the instance.
    pub epoch: Epoch,
    /// When the condition began, in milliseconds since 1970.
    pub since_ms: u64,
    /// The latest start of its process, once heard.
    pub incarnation: Option<Incarnation>,
}

/// Counts the instances of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolCount {
    /// The instances that belong to it.
    pub members: u64,
    /// Those of them that take new work.
    pub in_service: u64,
    /// The instances that operators declare for it.
    pub declared: u64,
}

/// Asks for one step of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStep {
    /// The instance.
    pub instance: InstanceId,
    /// The epoch that the step was planned against.
    pub epoch: Epoch,
    /// What is to be done.
    pub action: InstanceAction,
}

/// Says what is to be done with an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceAction {
    /// Take it out of service, within the budget.
    Cordon(Purpose),
    /// Let its work come to an end.
    Drain,
    /// Reboot it, once it has no work left.
    Reboot,
    /// Hand it over to the pool that it moves to, once it has no work left.
    HandOver,
    /// Put it back into service.
    Return,
    /// Give it up after a reboot from which it did not come back well.
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
    /// Returns an instance.
    #[must_use]
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.by_id.get(id)
    }

    /// Returns every instance in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        self.by_id.iter()
    }

    /// Returns the instances that do not take new work.
    pub fn out_of_service(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.out_of_service.iter();
        ids.filter_map(|id| Some((id, self.by_id.get(id)?)))
    }

    /// Returns the instances that belong to another pool than the declared one.
    pub fn outside_home_pool(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        let ids = self.away.iter();
        ids.filter_map(|id| Some((id, self.by_id.get(id)?)))
    }

    /// Returns the counts of a pool.
    #[must_use]
    pub fn pool_count(&self, pool: &PoolId) -> PoolCount {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Returns the start of an instance's process that new work may be placed on.
    #[must_use]
    pub fn schedulable_incarnation(&self, id: &InstanceId) -> Option<Incarnation> {
        let instance = self.by_id.get(id)?;
        let takes_work = instance.condition == InstanceCondition::InService;
        instance.incarnation.filter(|_| takes_work)
    }

    /// Returns how many more instances of a pool may be taken out of service now.
    ///
    /// Everything that is out of service counts, planned or not; instances that the pool has borrowed
    /// make up for those that it lacks. A spare pool may lend everything it has.
    #[must_use]
    pub fn headroom(&self, desired: &DesiredState, pool: &PoolId) -> u64 {
        let count = self.pool_count(pool);
        count
            .in_service
            .saturating_sub(required(desired, pool, count.declared))
    }

    /// Returns whether failures have taken more out of service than a pool's budget allows.
    #[must_use]
    pub fn is_over_budget(&self, desired: &DesiredState, pool: &PoolId) -> bool {
        let count = self.pool_count(pool);
        count.in_service < required(desired, pool, count.declared)
    }

    /// Takes over the instances that a new desired state declares.
    pub fn apply_desired_state(&mut self, now_ms: u64, desired: &DesiredState) {
        let gone: Vec<InstanceId> = self
            .by_id
            .keys()
            .filter(|id| !desired.instances.contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
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

    /// Carries out a step if it holds now; `is_idle` says whether the instance has no task left.
    ///
    /// # Errors
    ///
    /// Returns which constraint holds the step and what would free it.
    pub fn step(
        &mut self,
        now_ms: u64,
        desired: &DesiredState,
        step: &InstanceStep,
        is_idle: bool,
    ) -> Result<(), Refusal> {
        let Some(instance) = self.by_id.get(&step.instance) else {
            return Err(held(format!("`{}` is not declared", step.instance)));
        };
        if instance.epoch != step.epoch {
            let (now, planned) = (instance.epoch, step.epoch);
            return Err(held(format!(
                "`{}` has changed since (epoch {now}, planned against {planned}); plan anew",
                step.instance
            )));
        }
        let mut next = instance.clone();
        match &step.action {
            InstanceAction::Cordon(purpose) => {
                self.cordon(desired, instance, &mut next, purpose)?;
            }
            InstanceAction::Drain => require(
                instance,
                InstanceCondition::Cordoned,
                &mut next,
                InstanceCondition::Draining,
            )?,
            InstanceAction::Reboot => {
                self.require_budget_kept(desired, instance)?;
                require_idle(is_idle)?;
                require(
                    instance,
                    InstanceCondition::Draining,
                    &mut next,
                    InstanceCondition::Rebooting,
                )?;
            }
            InstanceAction::HandOver => hand_over(desired, instance, &mut next, is_idle)?,
            InstanceAction::Return => put_back(instance, &mut next)?,
            InstanceAction::GiveUp => {
                let away = matches!(
                    instance.condition,
                    InstanceCondition::Rebooting | InstanceCondition::Verifying
                );
                if !away {
                    return Err(held(format!("the instance is {}", instance.condition)));
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
        require(
            instance,
            InstanceCondition::InService,
            next,
            InstanceCondition::Cordoned,
        )?;
        if let Purpose::Move(to) = purpose {
            if !desired.pools.contains_key(to) {
                return Err(held(format!(
                    "the pool `{to}` is not declared; name a declared pool"
                )));
            }
            if *to == instance.pool {
                return Err(held(format!("the instance belongs to `{to}` already")));
            }
        }
        if self.headroom(desired, &instance.pool) == 0 {
            return Err(held(self.budget_message(desired, &instance.pool)));
        }
        next.purpose = purpose.clone();
        Ok(())
    }

    /// Refuses a reboot where failures have used the budget up since the instance was cordoned.
    fn require_budget_kept(
        &self,
        desired: &DesiredState,
        instance: &Instance,
    ) -> Result<(), Refusal> {
        if self.is_over_budget(desired, &instance.pool) {
            return Err(held(self.budget_message(desired, &instance.pool)));
        }
        Ok(())
    }

    /// Returns how a pool stands against its budget and what would make room.
    #[must_use]
    pub fn budget_message(&self, desired: &DesiredState, pool: &PoolId) -> String {
        let count = self.pool_count(pool);
        let required = required(desired, pool, count.declared);
        format!(
            "pool `{pool}` has {} of {} instances in service and its budget requires {required}; \
             wait until one returns, lend it a spare instance, or raise max_unavailable",
            count.in_service, count.declared
        )
    }

    /// Notes that instances were lost; a reboot is no loss.
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

    /// Notes the start of an instance's process; returns whether it is a new one.
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
        let is_known = instance.incarnation == Some(incarnation);
        self.change(id, |old| {
            let mut instance = old?;
            let before = instance.clone();
            if is_new {
                instance.incarnation = Some(incarnation);
            }
            if is_new && instance.condition == InstanceCondition::Rebooting {
                instance.condition = InstanceCondition::Verifying;
            }
            let heard = is_new || is_known;
            if heard
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

    /// Changes one instance and keeps the counts right.
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

    fn update_pool_counts(&mut self, instance: &Instance, counts: bool) {
        let change = |value: &mut u64| *value = if counts { *value + 1 } else { *value - 1 };
        let of_pool = self.counts.entry(instance.pool.clone()).or_default();
        change(&mut of_pool.members);
        if instance.condition == InstanceCondition::InService {
            change(&mut of_pool.in_service);
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

/// Returns how many instances of a pool must be in service.
fn required(desired: &DesiredState, pool: &PoolId, declared: u64) -> u64 {
    let Some(declaration) = desired.pools.get(pool).filter(|pool| !pool.spare) else {
        return 0;
    };
    let budget = desired.budgets.get(&declaration.budget);
    declared.saturating_sub(budget.map_or(0, |budget| budget.max_unavailable))
}

fn held(message: String) -> Refusal {
    Refusal::Held(message.into())
}

fn require(
    instance: &Instance,
    from: InstanceCondition,
    next: &mut Instance,
    to: InstanceCondition,
) -> Result<(), Refusal> {
    if instance.condition != from {
        let now = instance.condition;
        return Err(held(format!(
            "the instance is {now}; the step needs it {from}"
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
    Err(held(message.to_owned()))
}

fn hand_over(
    desired: &DesiredState,
    instance: &Instance,
    next: &mut Instance,
    is_idle: bool,
) -> Result<(), Refusal> {
    let Purpose::Move(to) = &instance.purpose else {
        return Err(held("the instance is not being moved".to_owned()));
    };
    if !desired.pools.contains_key(to) {
        return Err(held(format!(
            "the pool `{to}` is declared no more; return the instance"
        )));
    }
    require_idle(is_idle)?;
    require(
        instance,
        InstanceCondition::Draining,
        next,
        InstanceCondition::InService,
    )?;
    next.pool = to.clone();
    next.purpose = Purpose::None;
    Ok(())
}

fn put_back(instance: &Instance, next: &mut Instance) -> Result<(), Refusal> {
    let returns = match instance.condition {
        InstanceCondition::Cordoned
        | InstanceCondition::Draining
        | InstanceCondition::Verifying => true,
        InstanceCondition::Failed => instance.purpose == Purpose::NotVerified,
        InstanceCondition::InService | InstanceCondition::Rebooting => false,
    };
    if !returns {
        return Err(held(format!("the instance is {}", instance.condition)));
    }
    next.condition = InstanceCondition::InService;
    next.purpose = Purpose::None;
    Ok(())
}
