//! Queues and slots.
//!
//! A request waits in the queue of its service until a slot of a ready backend server is free. The
//! slot is held until the exchange with the backend server has ended, whatever becomes of the
//! caller.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jasminefall_core::prelude::*;
use jasminefall_policy::routing::{Candidate, choose_least_loaded};
use jasminefall_policy::slots::home_slots;
use jasminefall_runtime::clock::monotonic_ms;
use tokio::sync::oneshot;

use crate::outcome::NotRun;
use crate::shared::Shared;

const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
const MAX_QUEUED: usize = 10_000;

/// Holds the queues and what this entry has in progress at each backend server.
#[derive(Debug, Default)]
pub(crate) struct Dispatch {
    queues: BTreeMap<ServiceId, VecDeque<Waiter>>,
    in_progress: BTreeMap<SmolStr, u32>,
    rotation: usize,
}

#[derive(Debug)]
struct Waiter {
    deadline: Instant,
    sender: oneshot::Sender<Slot>,
}

/// Holds one slot of a backend server; dropping it frees the slot.
pub(crate) struct Slot {
    /// The address of the backend server.
    pub(crate) address: SmolStr,
    service: ServiceId,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Slot({})", self.address)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut dispatch = self.shared.dispatch();
        if let Some(count) = dispatch.in_progress.get_mut(&self.address) {
            *count = count.saturating_sub(1);
        }
        drop(dispatch);
        serve_queue(&self.shared, &self.service);
    }
}

impl Dispatch {
    /// Returns how many requests wait for each service.
    pub(crate) fn queue_lengths(&self) -> Vec<(ServiceId, usize)> {
        self.queues
            .iter()
            .map(|(service, queue)| (service.clone(), queue.len()))
            .collect()
    }
}

/// Waits for a slot of a backend server of a service.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    service: &ServiceId,
    deadline: Instant,
) -> Result<Slot, NotRun> {
    let (sender, receiver) = oneshot::channel();
    {
        let mut dispatch = shared.dispatch();
        let queue = dispatch.queues.entry(service.clone()).or_default();
        if queue.len() >= MAX_QUEUED {
            return Err(NotRun::QueueFull);
        }
        queue.push_back(Waiter { deadline, sender });
    }
    serve_queue(shared, service);
    match tokio::time::timeout_at(deadline.into(), receiver).await {
        Ok(Ok(slot)) => Ok(slot),
        Ok(Err(_)) | Err(_) => Err(NotRun::NoSlotInTime),
    }
}

/// Gives free slots to those that wait, in order.
pub(crate) fn serve_queue(shared: &Arc<Shared>, service: &ServiceId) {
    loop {
        let Some((waiter, address)) = next_grant(shared, service) else {
            return;
        };
        let slot = Slot {
            address,
            service: service.clone(),
            shared: shared.clone(),
        };
        // A waiter that has gone gives its slot back as the returned value is dropped; that serves
        // the queue again by itself.
        let _ = waiter.sender.send(slot);
    }
}

fn next_grant(shared: &Shared, service: &ServiceId) -> Option<(Waiter, SmolStr)> {
    let now_ms = monotonic_ms();
    let desired = shared.configuration().in_force(now_ms)?;
    let backends = shared.backends();
    let mut dispatch = shared.dispatch();
    let dispatch = &mut *dispatch;
    let queue = dispatch.queues.get_mut(service)?;
    let now = Instant::now();
    while queue
        .front()
        .is_some_and(|waiter| waiter.sender.is_closed() || waiter.deadline <= now)
    {
        queue.pop_front();
    }
    queue.front()?;
    let ready: Vec<_> = backends.ready(service, now_ms).collect();
    let candidates: Vec<_> = ready
        .iter()
        .enumerate()
        .map(|(position, (address, backend))| {
            let in_progress = dispatch
                .in_progress
                .get(*address)
                .copied()
                .unwrap_or_default();
            let share = own_share(shared, &desired, address, backend.slots);
            Candidate {
                position,
                free_slots: share.saturating_sub(in_progress),
                in_progress,
            }
        })
        .collect();
    dispatch.rotation = dispatch.rotation.wrapping_add(1);
    let chosen = choose_least_loaded(&candidates, dispatch.rotation)?;
    let address = ready[chosen].0.clone();
    *dispatch.in_progress.entry(address.clone()).or_default() += 1;
    Some((queue.pop_front()?, address))
}

/// Returns the slots of a backend server whose home is this entry.
fn own_share(shared: &Shared, desired: &DesiredState, address: &SmolStr, slots: u32) -> u32 {
    let position = desired
        .entries
        .keys()
        .position(|entry| *entry == shared.settings.name);
    let Some(position) = position.and_then(|position| u32::try_from(position).ok()) else {
        return 0;
    };
    let entries = u32::try_from(desired.entries.len()).unwrap_or(u32::MAX);
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    home_slots(slots, position, entries, hasher.finish())
}

/// Serves every queue now and then, for backend servers that became ready meanwhile.
pub(crate) async fn sweep(shared: Arc<Shared>) -> anyhow::Result<()> {
    loop {
        let services: Vec<_> = shared.dispatch().queues.keys().cloned().collect();
        services
            .iter()
            .for_each(|service| serve_queue(&shared, service));
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}
