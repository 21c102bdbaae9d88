//! Which requests wait, in which order they get slots, and which are refused at once.
//!
//! A [`FairQueue`] shares the slots of a service over teams by weight and, within a team, over
//! urgencies. It is start-time fair queuing over the time that slots are held: each team has a
//! virtual time that advances by what its requests cost, divided by its weight and by the factor of
//! the urgency served; the team that is furthest behind goes first. A team alone may use everything.
//!
//! # Module map
//!
//! - [`service_time`]: how long requests hold their slots
//! - `team`: one team's share and waiting requests

pub mod service_time;
mod team;

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;

use self::service_time::ServiceTime;
use self::team::Team;

/// The longest that urgent work within its team's quota may wait to start.
pub const URGENT_START_LIMIT_MS: u64 = 1_700;
const SCALE: u64 = 1 << 24;
const WITHIN_QUOTA: u64 = 4;
const RESERVE_DIVISOR: u32 = 16;
const RESERVE_FROM_SLOTS: u32 = 4;

/// Returns how much faster work of an urgency is served than background work of the same team.
#[must_use]
pub const fn urgency_factor(urgency: Urgency) -> u64 {
    match urgency {
        Urgency::Urgent => 80,
        Urgency::Normal => 20,
        Urgency::Background => 1,
    }
}

/// Returns how much faster work is served than that of other teams, at equal weights.
///
/// Beyond its quota of slots, a team's work counts no more than other teams' background work within
/// theirs: a flood of any urgency takes what the others leave.
#[must_use]
pub const fn cross_team_factor(urgency: Urgency, within_quota: bool) -> u64 {
    match (urgency, within_quota) {
        (urgency, true) => urgency_factor(urgency) * WITHIN_QUOTA,
        (Urgency::Urgent | Urgency::Normal, false) => WITHIN_QUOTA,
        (Urgency::Background, false) => 1,
    }
}

/// Bounds what may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// The most requests.
    pub requests: usize,
    /// The most bytes of their bodies.
    pub bytes: usize,
}

/// Describes a request that asks to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its team.
    pub team: TeamId,
    /// The weight of the team.
    pub weight: u64,
    /// How urgent it is.
    pub urgency: Urgency,
    /// The bytes that it holds while it waits.
    pub bytes: usize,
    /// When its answer is no longer of use.
    pub deadline_ms: u64,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Its team.
    pub team: TeamId,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Its number in order of arrival.
    pub number: u64,
}

/// Says that a request is not admitted, and when it might be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: RefusedReason,
    /// How long what is ahead of it takes.
    pub wait_ms: u64,
}

/// Says why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusedReason {
    /// It could not be answered in time.
    TooLate,
    /// The queue is full and the request's own team has the most in it.
    Full,
}

/// Says what a granted request counts as, to be given back when its slot is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Its team.
    pub team: TeamId,
    /// The time that the team paid for in advance.
    expected_ms: u64,
    /// The virtual time that holding the slot costs each millisecond.
    price: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    bytes: usize,
    deadline_ms: u64,
    item: T,
}

/// Holds the waiting requests of one service.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    teams: BTreeMap<TeamId, Team<T>>,
    /// The teams with waiting requests, the one furthest behind first.
    order: BTreeSet<(u64, TeamId)>,
    virtual_time: u64,
    numbers: u64,
    requests: usize,
    bytes: usize,
    urgent: usize,
    service_time: ServiceTime,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            teams: BTreeMap::new(),
            order: BTreeSet::new(),
            virtual_time: 0,
            numbers: 0,
            requests: 0,
            bytes: 0,
            urgent: 0,
            service_time: ServiceTime::default(),
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.requests
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requests == 0
    }

    /// Returns the bytes of the waiting requests.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how long requests hold their slots.
    #[must_use]
    pub const fn service_time(&self) -> &ServiceTime {
        &self.service_time
    }

    /// Lets a request wait, and returns the requests that must go so that it can.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] where the request cannot be answered in time, or the queue is full and no
    /// team has more in it than the request's own.
    pub fn push(
        &mut self,
        now_ms: u64,
        slots: u32,
        ask: AdmissionRequest,
        item: T,
    ) -> Result<(Ticket, Vec<T>), Refused> {
        let wait_ms = self.estimated_wait_ms(slots, &ask);
        let remaining_ms = ask.deadline_ms.saturating_sub(now_ms);
        let least_ms = self.least_ms(wait_ms > 0);
        if remaining_ms <= wait_ms.saturating_add(least_ms) {
            let reason = RefusedReason::TooLate;
            return Err(Refused { reason, wait_ms });
        }
        let mut evicted = Vec::new();
        while self.requests >= self.limits.requests
            || self.bytes.saturating_add(ask.bytes) > self.limits.bytes
        {
            match self.evict_from_longest(&ask) {
                Some(item) => evicted.push(item),
                None => {
                    let reason = RefusedReason::Full;
                    return Err(Refused { reason, wait_ms });
                }
            }
        }
        Ok((self.insert(ask, item), evicted))
    }

    fn insert(&mut self, ask: AdmissionRequest, item: T) -> Ticket {
        self.numbers += 1;
        self.requests += 1;
        self.bytes += ask.bytes;
        self.urgent += usize::from(ask.urgency == Urgency::Urgent);
        let team = self.teams.entry(ask.team.clone()).or_default();
        if team.is_empty() {
            team.virtual_time = team.virtual_time.max(self.virtual_time);
            self.order.insert((team.virtual_time, ask.team.clone()));
        }
        team.weight = ask.weight.max(1);
        let waiting = Waiting {
            bytes: ask.bytes,
            deadline_ms: ask.deadline_ms,
            item,
        };
        team.insert(ask.urgency, self.numbers, waiting);
        Ticket {
            team: ask.team,
            urgency: ask.urgency,
            number: self.numbers,
        }
    }

    /// Returns the time that a request must have left to be worth a slot.
    ///
    /// One that keeps no other waiting is always worth it: requests of one service differ, and a
    /// short one may do in time what most do not.
    const fn least_ms(&self, others_wait: bool) -> u64 {
        if others_wait {
            self.service_time.p90_ms()
        } else {
            0
        }
    }

    /// Takes out a request whose caller has gone; it frees its place at once.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let waiting = self
            .teams
            .get_mut(&ticket.team)?
            .remove(ticket.urgency, ticket.number)?;
        self.forget(&ticket.team, ticket.urgency, waiting.bytes);
        self.drop_if_idle(&ticket.team);
        Some(waiting.item)
    }

    /// Takes the next request out of the queue.
    ///
    /// Where the free slots are down to the reserve, only urgent work within quota is taken. Requests
    /// that can no longer be answered in time are put into `too_late` on the way.
    pub fn pop(
        &mut self,
        now_ms: u64,
        slots: u32,
        free: u32,
        too_late: &mut Vec<T>,
    ) -> Option<(Grant, u64, T)> {
        loop {
            let name = if free > self.urgent_reserve(slots) {
                self.order.first()?.1.clone()
            } else {
                self.urgent_within_quota(slots)?
            };
            let only_urgent = free <= self.urgent_reserve(slots);
            let quota = self.quota(&name, slots);
            let team = self.teams.get_mut(&name)?;
            let (urgency, waiting) = team.next(only_urgent)?;
            self.forget(&name, urgency, waiting.bytes);
            let remaining_ms = waiting.deadline_ms.saturating_sub(now_ms);
            if remaining_ms <= self.least_ms(!self.is_empty()) {
                too_late.push(waiting.item);
                self.drop_if_idle(&name);
                continue;
            }
            let grant = self.charge(name, urgency, quota);
            return Some((grant, waiting.deadline_ms, waiting.item));
        }
    }

    fn charge(&mut self, name: TeamId, urgency: Urgency, quota: u32) -> Grant {
        let expected_ms = self.service_time.mean_ms().max(1);
        let mut price = 0;
        if let Some(team) = self.teams.get_mut(&name) {
            team.in_progress += 1;
            price = team.price(urgency, quota);
            let before = team.virtual_time;
            self.virtual_time = self.virtual_time.max(before);
            team.pay(urgency, expected_ms, price);
            let after = team.virtual_time;
            if self.order.remove(&(before, name.clone())) {
                self.order.insert((after, name.clone()));
            }
        }
        Grant {
            team: name,
            expected_ms,
            price,
        }
    }

    /// Takes back a granted request that held its slot for `held_ms`.
    pub fn release(&mut self, grant: &Grant, held_ms: u64) {
        self.service_time.record(held_ms);
        self.release_unsampled(grant, held_ms);
    }

    /// Takes back a granted request that never used its slot.
    pub fn release_unsampled(&mut self, grant: &Grant, held_ms: u64) {
        let Some(team) = self.teams.get_mut(&grant.team) else {
            return;
        };
        let before = team.virtual_time;
        team.in_progress = team.in_progress.saturating_sub(1);
        let paid = grant.expected_ms.saturating_mul(grant.price);
        team.virtual_time = before
            .saturating_sub(paid)
            .saturating_add(held_ms.saturating_mul(grant.price));
        let after = team.virtual_time;
        if self.order.remove(&(before, grant.team.clone())) {
            self.order.insert((after, grant.team.clone()));
        }
        self.drop_if_idle(&grant.team);
    }

    /// Returns how long a request would wait, from what is ahead of it and its share of the slots.
    ///
    /// Nothing here looks at arrivals, so a burst changes the estimate only by what it puts ahead.
    #[must_use]
    pub fn estimated_wait_ms(&self, slots: u32, ask: &AdmissionRequest) -> u64 {
        // Without any slot nothing can be said; the deadline decides.
        if slots == 0 {
            return 0;
        }
        let all_in_progress: u32 = self.teams.values().map(|team| team.in_progress).sum();
        if self.requests == 0 && all_in_progress < slots {
            return 0;
        }
        let active = self.teams.values().filter(|team| team.is_active());
        let mut total: u64 = active.map(|team| team.weight).sum();
        let own = self.teams.get(&ask.team);
        if !own.is_some_and(Team::is_active) {
            total += ask.weight;
        }
        let ahead = own.map_or(0, |team| team.ahead_of(ask.urgency)) as u64 + 1;
        let in_progress = own.map_or(0, |team| team.in_progress);
        let is_within = u64::from(in_progress) < quota_of(slots, ask.weight, total);
        let weight = ask.weight.max(1) * cross_team_factor(ask.urgency, is_within);
        let others = self.order.iter().filter(|(_, name)| *name != ask.team);
        let others = others.filter_map(|(_, name)| self.teams.get(name));
        let others_ahead = others.map(|team| {
            let quota = quota_of(slots, team.weight, total);
            team.ahead_of_others(ahead, weight, quota)
        });
        let requests = ahead + others_ahead.sum::<u64>();
        self.service_time.mean_ms().saturating_mul(requests) / u64::from(slots)
    }

    /// Returns the slots kept free for urgent work: none while requests are so short that a slot
    /// frees itself well within the urgent bound.
    #[must_use]
    pub fn urgent_reserve(&self, slots: u32) -> u32 {
        let is_slow = self.service_time.p90_ms() * 2 > URGENT_START_LIMIT_MS;
        if is_slow && slots >= RESERVE_FROM_SLOTS {
            (slots / RESERVE_DIVISOR).max(1)
        } else {
            0
        }
    }

    /// Returns the slots that a team may hold while others want them.
    fn quota(&self, name: &TeamId, slots: u32) -> u32 {
        let active = self.teams.values().filter(|team| team.is_active());
        let total: u64 = active.map(|team| team.weight).sum();
        let weight = self.teams.get(name).map_or(1, |team| team.weight);
        u32::try_from(quota_of(slots, weight, total)).unwrap_or(u32::MAX)
    }

    fn urgent_within_quota(&self, slots: u32) -> Option<TeamId> {
        if self.urgent == 0 {
            return None;
        }
        let waiting = self.order.iter().map(|(_, name)| name);
        let mut within = waiting.filter(|name| {
            let team = self.teams.get(*name);
            team.is_some_and(|team| team.has(Urgency::Urgent))
                && team.is_some_and(|team| team.in_progress < self.quota(name, slots))
        });
        within.next().cloned()
    }

    /// Takes out the newest and least urgent request of the team with the most in the queue for its
    /// weight, unless that is the asking team.
    fn evict_from_longest(&mut self, ask: &AdmissionRequest) -> Option<T> {
        let load = |team: &Team<T>| (team.bytes() as u64).max(team.len() as u64) / team.weight;
        let waiting = self.order.iter().map(|(_, name)| name);
        let longest = waiting
            .max_by_key(|name| self.teams.get(*name).map(load))
            .cloned()?;
        let asking = self.teams.get(&ask.team).map_or(0, load);
        if self.teams.get(&longest).map(load) <= Some(asking) {
            return None;
        }
        let (urgency, waiting) = self.teams.get_mut(&longest)?.remove_newest()?;
        self.forget(&longest, urgency, waiting.bytes);
        Some(waiting.item)
    }

    fn forget(&mut self, name: &TeamId, urgency: Urgency, bytes: usize) {
        self.requests -= 1;
        self.bytes -= bytes;
        self.urgent -= usize::from(urgency == Urgency::Urgent);
        if let Some(team) = self.teams.get(name).filter(|team| team.is_empty()) {
            self.order.remove(&(team.virtual_time, name.clone()));
        }
    }

    /// Drops the record of a team that has nothing here and no debt.
    fn drop_if_idle(&mut self, name: &TeamId) {
        let team = self.teams.get(name);
        if team.is_some_and(|team| !team.is_active() && team.virtual_time <= self.virtual_time) {
            self.teams.remove(name);
        }
    }
}

/// Returns the part of the slots that a weight has of the weights of all active teams.
fn quota_of(slots: u32, weight: u64, total: u64) -> u64 {
    (u64::from(slots) * weight / total.max(weight).max(1)).max(1)
}
