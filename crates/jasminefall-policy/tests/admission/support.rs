//! Simulation of one queue under generated demand, with a simulated clock.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_policy::admission::{AdmissionRequest, FairQueue, Grant, QueueLimits};

/// The slots of the service.
pub(crate) const SLOTS: u32 = 10;
/// How long each request holds its slot.
pub(crate) const SERVICE_MS: u64 = 100;
/// How long requests arrive.
pub(crate) const DEMAND_DURATION_MS: u64 = 20_000;
const TIMEOUT_MS: u64 = 3_000;

/// Describes the evenly spaced requests of a team at one urgency.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    pub(crate) team: &'static str,
    pub(crate) urgency: Urgency,
    pub(crate) per_second: u64,
}

impl Demand {
    pub(crate) const fn new(team: &'static str, urgency: Urgency, per_second: u64) -> Self {
        Self {
            team,
            urgency,
            per_second,
        }
    }
}

/// Counts the requests of a demand that arrived and that were served in time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Served {
    pub(crate) asked: u64,
    pub(crate) served: u64,
    pub(crate) longest_wait_ms: u64,
}

type Item = (usize, u64);

/// Runs the demands against a queue; `is_fifo` maps them all to one team and one urgency.
pub(crate) fn run(limits: QueueLimits, demands: &[Demand], is_fifo: bool) -> Vec<(Demand, Served)> {
    let mut queue: FairQueue<Item> = FairQueue::new(limits);
    let mut results = vec![Served::default(); demands.len()];
    let mut ending: BTreeMap<u64, Vec<(Grant, Item)>> = BTreeMap::new();
    let mut in_progress = 0;
    for now_ms in 0..DEMAND_DURATION_MS + TIMEOUT_MS {
        for (grant, (position, arrived_ms)) in ending.remove(&now_ms).unwrap_or_default() {
            queue.release(&grant, SERVICE_MS);
            in_progress -= 1;
            results[position].served += u64::from(now_ms <= arrived_ms + TIMEOUT_MS);
        }
        for (position, demand) in demands.iter().enumerate() {
            for _ in 0..arrivals(demand.per_second, now_ms) {
                results[position].asked += 1;
                let request = request(demand, now_ms, is_fifo);
                let _ = queue.push(now_ms, SLOTS, request, (position, now_ms));
            }
        }
        while in_progress < SLOTS {
            let free = SLOTS - in_progress;
            let Some((grant, _, item)) = queue.pop(now_ms, SLOTS, free, &mut Vec::new()) else {
                break;
            };
            in_progress += 1;
            let result = &mut results[item.0];
            result.longest_wait_ms = result.longest_wait_ms.max(now_ms - item.1);
            let ends = ending.entry(now_ms + SERVICE_MS).or_default();
            ends.push((grant, item));
        }
    }
    demands.iter().cloned().zip(results).collect()
}

fn arrivals(per_second: u64, now_ms: u64) -> u64 {
    if now_ms >= DEMAND_DURATION_MS {
        return 0;
    }
    (now_ms + 1) * per_second / 1_000 - now_ms * per_second / 1_000
}

fn request(demand: &Demand, now_ms: u64, is_fifo: bool) -> AdmissionRequest {
    AdmissionRequest {
        team: TeamId::new(if is_fifo { "all" } else { demand.team }),
        weight: 4,
        urgency: if is_fifo {
            Urgency::Normal
        } else {
            demand.urgency
        },
        bytes: 1,
        deadline_ms: now_ms + TIMEOUT_MS,
    }
}
