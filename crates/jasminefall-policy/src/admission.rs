//! Admission, fair ordering and refusal of requests.
//!
//! A [`FairQueue`] divides the slots of a service among teams by weight and, within a team, among
//! urgencies. It implements start-time fair queuing over the time for which slots are held: the
//! virtual time of a team advances by the slot time of its requests, divided by the team's weight
//! and by the factor of their urgency. The team with the lowest virtual time is served first. A
//! single active team may use all slots.
//!
//! # Module map
//!
//! - [`service_time`]: statistics of how long requests hold their slots
//! - `team`: virtual time and waiting requests of one team

pub mod service_time;
mod team;

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;

use self::service_time::ServiceTime;
use self::team::Team;

/// The longest time that an urgent request within its team's quota may wait for a slot.
pub const URGENT_START_LIMIT_MS: u64 = 1_700;
/// The virtual time that a millisecond of slot time costs at a weight and a factor of one; large,
/// so that integer division by them loses little.
const VIRTUAL_TIME_SCALE: u64 = 1 << 24;
/// How many times faster background requests are served within their team's quota than beyond it,
/// and the rate of normal and urgent requests beyond it.
const WITHIN_QUOTA_FACTOR: u64 = 4;
/// The divisor of the slots that gives the reserve for urgent requests.
const RESERVE_DIVISOR: u32 = 16;
/// A service with fewer slots has no reserve for urgent requests.
const MIN_SLOTS_FOR_RESERVE: u32 = 4;

/// Returns the rate at which an urgency is served, relative to background requests of the same
/// team.
#[must_use]
pub const fn urgency_factor(urgency: Urgency) -> u64 {
    match urgency {
        Urgency::Urgent => 80,
        Urgency::Normal => 20,
        Urgency::Background => 1,
    }
}

/// Returns the rate at which requests are served relative to those of other teams of equal weight.
///
/// Beyond its quota of slots, a team's requests get no higher rate than background requests of
/// other teams within theirs, so that a flood of any urgency uses only slots that other teams leave
/// free.
#[must_use]
pub const fn cross_team_factor(urgency: Urgency, within_quota: bool) -> u64 {
    match (urgency, within_quota) {
        (urgency, true) => urgency_factor(urgency) * WITHIN_QUOTA_FACTOR,
        (Urgency::Urgent | Urgency::Normal, false) => WITHIN_QUOTA_FACTOR,
        (Urgency::Background, false) => 1,
    }
}

/// Bounds the waiting requests of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// The most requests in the queue.
    pub requests: usize,
    /// The most bytes held by the requests in the queue.
    pub bytes: usize,
}

/// Describes a request to be queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The team that sent it.
    pub team: TeamId,
    /// The weight of the team.
    pub weight: u64,
    /// The urgency within its team.
    pub urgency: Urgency,
    /// The bytes of memory that it holds while it waits.
    pub bytes: usize,
    /// The time at which the caller stops waiting for the response, in milliseconds of the clock that
    /// `now_ms` reads.
    pub deadline_ms: u64,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The team that sent it.
    pub team: TeamId,
    /// The urgency within its team.
    pub urgency: Urgency,
    /// The request number, in order of arrival.
    pub number: u64,
}

/// Reports that a request is not admitted, with the reason and the estimated wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The reason for the refusal.
    pub reason: RefusedReason,
    /// The estimated time to serve the requests ahead of it.
    pub wait_ms: u64,
}

/// Lists the reasons why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusedReason {
    /// The request could not be answered before its deadline.
    TooLate,
    /// The queue is full and no other team has a higher queue load for its weight.
    Full,
}

/// Records the charge for a request when it got a slot, to correct the charge on release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The team that was charged.
    pub team: TeamId,
    /// The slot time charged in advance.
    expected_ms: u64,
    /// The virtual time charged per millisecond of slot time.
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
    /// The teams with waiting requests, lowest virtual time first.
    order: BTreeSet<(u64, TeamId)>,
    /// The virtual time at which a team without waiting requests resumes, unless its own is higher.
    virtual_time: u64,
    last_number: u64,
    requests: usize,
    bytes: usize,
    /// The number of waiting urgent requests.
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
            last_number: 0,
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

    /// Returns the bytes held by the waiting requests.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the statistics of how long requests hold their slots.
    #[must_use]
    pub const fn service_time(&self) -> &ServiceTime {
        &self.service_time
    }

    /// Queues a request and returns the requests that were evicted to make space for it.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] if the request cannot be answered before its deadline, or if the queue
    /// is full and no other team has a higher queue load for its weight.
    pub fn push(
        &mut self,
        now_ms: u64,
        slots: u32,
        request: AdmissionRequest,
        item: T,
    ) -> Result<(Ticket, Vec<T>), Refused> {
        let wait_ms = self.estimated_wait_ms(slots, &request);
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        let min_remaining_ms = self.min_remaining_ms(wait_ms > 0);
        if remaining_ms <= wait_ms.saturating_add(min_remaining_ms) {
            let reason = RefusedReason::TooLate;
            return Err(Refused { reason, wait_ms });
        }
        let mut evicted = Vec::new();
        while self.requests >= self.limits.requests
            || self.bytes.saturating_add(request.bytes) > self.limits.bytes
        {
            match self.evict_from_most_loaded(&request) {
                Some(item) => evicted.push(item),
                None => {
                    let reason = RefusedReason::Full;
                    return Err(Refused { reason, wait_ms });
                }
            }
        }
        Ok((self.insert(request, item), evicted))
    }

    fn insert(&mut self, request: AdmissionRequest, item: T) -> Ticket {
        self.last_number += 1;
        self.requests += 1;
        self.bytes += request.bytes;
        self.urgent += usize::from(request.urgency == Urgency::Urgent);
        let team = self.teams.entry(request.team.clone()).or_default();
        if team.is_empty() {
            team.virtual_time = team.virtual_time.max(self.virtual_time);
            self.order.insert((team.virtual_time, request.team.clone()));
        }
        team.weight = request.weight.max(1);
        let waiting = Waiting {
            bytes: request.bytes,
            deadline_ms: request.deadline_ms,
            item,
        };
        team.insert(request.urgency, self.last_number, waiting);
        Ticket {
            team: request.team,
            urgency: request.urgency,
            number: self.last_number,
        }
    }

    /// Returns the time that must be left until a request's deadline for the request to get a slot.
    ///
    /// There is no minimum while no other request waits, because service times differ and a short
    /// request may be answered in time although most are not.
    const fn min_remaining_ms(&self, others_wait: bool) -> u64 {
        if others_wait {
            self.service_time.p90_ms()
        } else {
            0
        }
    }

    /// Removes a request whose caller has disconnected, and frees its space in the queue
    /// immediately.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let waiting = self
            .teams
            .get_mut(&ticket.team)?
            .remove(ticket.urgency, ticket.number)?;
        self.remove_from_totals(&ticket.team, ticket.urgency, waiting.bytes);
        self.remove_if_idle(&ticket.team);
        Some(waiting.item)
    }

    /// Removes the next request to be served from the queue and charges its team.
    ///
    /// Once the free slots are down to the reserve, only urgent requests within quota are taken.
    /// Requests that can no longer be answered before their deadline are moved to `too_late`.
    /// Returns the grant, the deadline in milliseconds and the item of the request.
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
                self.urgent_team_within_quota(slots)?
            };
            let only_urgent = free <= self.urgent_reserve(slots);
            let quota = self.quota(&name, slots);
            let team = self.teams.get_mut(&name)?;
            let (urgency, waiting) = team.next(only_urgent)?;
            self.remove_from_totals(&name, urgency, waiting.bytes);
            let remaining_ms = waiting.deadline_ms.saturating_sub(now_ms);
            if remaining_ms <= self.min_remaining_ms(!self.is_empty()) {
                too_late.push(waiting.item);
                self.remove_if_idle(&name);
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
            team.charge(urgency, expected_ms, price);
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

    /// Releases a grant whose request held its slot for `held_ms`, and records that as a service
    /// time.
    pub fn release(&mut self, grant: &Grant, held_ms: u64) {
        self.service_time.record(held_ms);
        self.release_unsampled(grant, held_ms);
    }

    /// Releases a grant without recording `held_ms` as a service time, for a request whose
    /// `held_ms` is not representative.
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
        self.remove_if_idle(&grant.team);
    }

    /// Returns how long a request would wait, based on the requests ahead of it and its share of
    /// the slots.
    ///
    /// The estimate does not use the arrival rate, so a burst changes it only by the requests it
    /// queues ahead.
    #[must_use]
    pub fn estimated_wait_ms(&self, slots: u32, request: &AdmissionRequest) -> u64 {
        // Without slots no wait can be estimated, so the request is queued until its deadline.
        if slots == 0 {
            return 0;
        }
        let all_in_progress: u32 = self.teams.values().map(|team| team.in_progress).sum();
        if self.requests == 0 && all_in_progress < slots {
            return 0;
        }
        let active = self.teams.values().filter(|team| team.is_active());
        let mut total: u64 = active.map(|team| team.weight).sum();
        let own = self.teams.get(&request.team);
        if !own.is_some_and(Team::is_active) {
            total += request.weight;
        }
        let ahead = own.map_or(0, |team| team.count_ahead_of(request.urgency)) as u64 + 1;
        let in_progress = own.map_or(0, |team| team.in_progress);
        let is_within = u64::from(in_progress) < quota_of(slots, request.weight, total);
        let weight = request.weight.max(1) * cross_team_factor(request.urgency, is_within);
        let others = self.order.iter().filter(|(_, name)| *name != request.team);
        let others = others.filter_map(|(_, name)| self.teams.get(name));
        let others_ahead = others.map(|team| {
            let quota = quota_of(slots, team.weight, total);
            team.count_served_during(ahead, weight, quota)
        });
        let requests = ahead + others_ahead.sum::<u64>();
        self.service_time.mean_ms().saturating_mul(requests) / u64::from(slots)
    }

    /// Returns the slots kept free for urgent requests.
    ///
    /// None are reserved while requests are so short that one of them releases its slot well within
    /// [`URGENT_START_LIMIT_MS`].
    #[must_use]
    pub fn urgent_reserve(&self, slots: u32) -> u32 {
        let is_slow = self.service_time.p90_ms() * 2 > URGENT_START_LIMIT_MS;
        if is_slow && slots >= MIN_SLOTS_FOR_RESERVE {
            (slots / RESERVE_DIVISOR).max(1)
        } else {
            0
        }
    }

    /// Returns the slots that a team may hold while other teams have requests waiting.
    fn quota(&self, name: &TeamId, slots: u32) -> u32 {
        let active = self.teams.values().filter(|team| team.is_active());
        let total: u64 = active.map(|team| team.weight).sum();
        let weight = self.teams.get(name).map_or(1, |team| team.weight);
        u32::try_from(quota_of(slots, weight, total)).unwrap_or(u32::MAX)
    }

    fn urgent_team_within_quota(&self, slots: u32) -> Option<TeamId> {
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

    /// Evicts the newest of the least urgent requests of the team with the highest queue load for
    /// its weight, unless that is the team of `request`.
    fn evict_from_most_loaded(&mut self, request: &AdmissionRequest) -> Option<T> {
        let load = |team: &Team<T>| (team.bytes() as u64).max(team.len() as u64) / team.weight;
        let waiting = self.order.iter().map(|(_, name)| name);
        let most_loaded = waiting
            .max_by_key(|name| self.teams.get(*name).map(load))
            .cloned()?;
        let asking = self.teams.get(&request.team).map_or(0, load);
        if self.teams.get(&most_loaded).map(load) <= Some(asking) {
            return None;
        }
        let (urgency, waiting) = self.teams.get_mut(&most_loaded)?.remove_newest()?;
        self.remove_from_totals(&most_loaded, urgency, waiting.bytes);
        Some(waiting.item)
    }

    fn remove_from_totals(&mut self, name: &TeamId, urgency: Urgency, bytes: usize) {
        self.requests -= 1;
        self.bytes -= bytes;
        self.urgent -= usize::from(urgency == Urgency::Urgent);
        if let Some(team) = self.teams.get(name).filter(|team| team.is_empty()) {
            self.order.remove(&(team.virtual_time, name.clone()));
        }
    }

    /// Removes the record of a team without requests whose virtual time is not ahead of the queue's.
    fn remove_if_idle(&mut self, name: &TeamId) {
        let team = self.teams.get(name);
        if team.is_some_and(|team| !team.is_active() && team.virtual_time <= self.virtual_time) {
            self.teams.remove(name);
        }
    }
}

/// Returns the slots for a weight out of the total weight of all active teams; at least one.
fn quota_of(slots: u32, weight: u64, total: u64) -> u64 {
    (u64::from(slots) * weight / total.max(weight).max(1)).max(1)
}
