//! Queues of requests and slots of backend servers.
//!
//! A request waits in the queue of its service until a slot of a ready backend server is free. The
//! slot is held until the exchange with the backend server has ended, even if the caller
//! disconnects. The slots that a backend server announces are divided among the entries, which lend
//! idle slots to each other.
//!
//! # Module map
//!
//! - [`state`]: the queues, slots and ejections of this entry
//! - [`lending`]: messages to and from other entries, and loans of slots

mod lending;
mod state;

use std::sync::Arc;
use std::time::{Duration, Instant};

use jasminefall_core::prelude::*;
use jasminefall_policy::admission::{Grant, Refused, Ticket};
use jasminefall_policy::ejection::BackendOutcome;
use jasminefall_policy::slots::table::HeldSlot;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::message::Announcement;
use tokio::sync::oneshot;

use crate::clean_stop;
use crate::outcome::NotRun;
use crate::shared::Shared;

pub(crate) use self::state::Dispatcher;

const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between removals of expired backend servers.
const EXPIRY_INTERVAL_MS: u64 = 10_000;
const MAX_RETRY_AFTER_S: u64 = 60;

/// The result for a queued request: a slot, or the reason for its rejection.
type SlotResult = Result<Slot, Refused>;

/// Describes a request that needs a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) service: ServiceId,
    /// The team of the caller; all undeclared teams share one class of low weight.
    pub(crate) team: TeamId,
    pub(crate) urgency: Urgency,
    /// The size of the body.
    pub(crate) body_bytes: usize,
    /// The time after which the response is of no use.
    pub(crate) deadline: Instant,
}

/// Holds one slot of a backend server and releases it on drop.
pub(crate) struct Slot {
    /// The address of the backend server.
    pub(crate) address: SmolStr,
    service: ServiceId,
    held: HeldSlot,
    grant: Grant,
    taken_at: Instant,
    outcome: BackendOutcome,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Slot({})", self.address)
    }
}

impl Slot {
    /// Releases the slot and reports the outcome of the request at the backend server.
    pub(crate) fn finish(mut self, outcome: BackendOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held_ms = u64::try_from(self.taken_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.shared.dispatch().release(
            monotonic_ms(),
            &self.service,
            &self.held,
            &self.grant,
            held_ms,
            self.outcome,
        );
        grant_slots(&self.shared, &self.service);
    }
}

/// Removes a request from its queue on drop, such as when its caller disconnects.
struct QueuedRequest<'shared> {
    shared: &'shared Shared,
    service: &'shared ServiceId,
    ticket: Ticket,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.shared.dispatch().cancel(self.service, &self.ticket);
    }
}

/// Waits for a slot of a backend server of a service.
///
/// # Errors
///
/// Returns why the request does not run, as soon as that is certain. Dropping the future removes
/// the request from the queue.
pub(crate) async fn acquire_slot(
    shared: &Arc<Shared>,
    slot_request: SlotRequest,
) -> Result<Slot, NotRun> {
    let now_ms = monotonic_ms();
    let desired = shared.configuration().in_force(now_ms);
    let desired = desired.ok_or(NotRun::NoConfiguration)?;
    let (sender, receiver) = oneshot::channel();
    let pushed = shared
        .dispatch()
        .push(now_ms, &desired, &slot_request, sender)
        .map_err(to_overloaded)?;
    for (evicted, refused) in pushed.evicted {
        let _ = evicted.send(Err(refused));
    }
    let _queued = QueuedRequest {
        shared,
        service: &slot_request.service,
        ticket: pushed.ticket,
    };
    grant_slots(shared, &slot_request.service);
    match tokio::time::timeout_at(slot_request.deadline.into(), receiver).await {
        Ok(Ok(Ok(slot))) => Ok(slot),
        Ok(Ok(Err(refused))) => Err(to_overloaded(refused)),
        Ok(Err(_)) | Err(_) => Err(NotRun::NoSlotInTime),
    }
}

/// Suggests to retry once the requests that are queued now have been served.
fn to_overloaded(refused: Refused) -> NotRun {
    let retry_after_s = refused.wait_ms.div_ceil(1_000);
    NotRun::Overloaded {
        retry_after_s: retry_after_s.clamp(1, MAX_RETRY_AFTER_S),
    }
}

/// Applies an announcement of a backend server, received from it or from another entry.
pub(crate) fn announce(shared: &Shared, now_ms: u64, announcement: Announcement) {
    let mut backends = shared.backends();
    if let Some((announced, incarnation)) = backends.announce(now_ms, announcement) {
        shared.dispatch().announce(now_ms, announced, incarnation);
    }
}

/// Consumes the marker that the previous process of this entry left if it stopped cleanly.
pub(crate) fn read_clean_stop_marker(shared: &Shared) {
    let path = shared.settings.clean_stop_file.as_deref();
    let clean_stop_version = path.and_then(clean_stop::consume);
    shared.dispatch().set_clean_stop_version(clean_stop_version);
}

/// Stops lending slots, and writes the marker if the stop is clean.
pub(crate) fn write_clean_stop_marker(shared: &Shared) {
    let clean_stop_version = shared.dispatch().stop(monotonic_ms());
    if let (Some(path), Some(version)) = (&shared.settings.clean_stop_file, clean_stop_version) {
        clean_stop::write(path, version);
    }
}

/// Grants free slots of a service to its queued requests, in the order of the queue.
pub(crate) fn grant_slots(shared: &Arc<Shared>, service: &ServiceId) {
    let now_ms = monotonic_ms();
    let (desired, version, published_at_ms) = {
        let configuration = shared.configuration();
        let Some(desired) = configuration.in_force(now_ms) else {
            return;
        };
        let published_at_ms = configuration.published_at_ms();
        (desired, configuration.version(), published_at_ms)
    };
    let mut round = {
        let mut dispatch = shared.dispatch();
        let name = &shared.settings.name;
        dispatch.configure(now_ms, name, version, published_at_ms, &desired);
        dispatch.grant_slots(now_ms, service)
    };
    for (sender, refused) in round.rejected.drain(..) {
        let _ = sender.send(Err(refused));
    }
    for granted in round.granted {
        let slot = Slot {
            address: granted.held.address.clone(),
            service: service.clone(),
            held: granted.held,
            grant: granted.grant,
            taken_at: Instant::now(),
            outcome: BackendOutcome::Unknown,
            shared: shared.clone(),
        };
        // If the request was cancelled, the returned slot is dropped, which releases it and grants
        // slots again.
        let _ = granted.sender.send(Ok(slot));
    }
    if round.loans_needed {
        shared.loans_needed.notify_waiters();
    }
}

/// Grants free slots in every queue that holds requests.
pub(crate) fn grant_all_slots(shared: &Arc<Shared>) {
    let services = shared.dispatch().services_with_queued();
    services
        .iter()
        .for_each(|service| grant_slots(shared, service));
}

/// Grants slots periodically, since backend servers may have become ready in the meantime, and
/// removes expired state.
pub(crate) async fn sweep(shared: Arc<Shared>) -> anyhow::Result<()> {
    let mut last_expiry_ms = 0;
    loop {
        let now_ms = monotonic_ms();
        if last_expiry_ms + EXPIRY_INTERVAL_MS <= now_ms {
            last_expiry_ms = now_ms;
            shared.backends().expire(now_ms);
        }
        shared.dispatch().refresh(now_ms);
        grant_all_slots(&shared);
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}
