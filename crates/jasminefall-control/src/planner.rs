//! Placing jobs on workers.

use std::time::Duration;

use jasminefall_core::prelude::*;
use jasminefall_policy::placement::{Need, Room, place_on_emptiest};
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;

use crate::node::{NodeHandle, View};

const ROUND_PAUSE: Duration = Duration::from_millis(100);
const MAX_PLACEMENTS: usize = 500;

/// Plans for ever; does nothing where this replica does not lead.
pub(crate) async fn run(handle: NodeHandle) -> anyhow::Result<()> {
    loop {
        let planned = handle.look_fresh(|view| plan(view)).await;
        if let Ok(placements) = planned
            && !placements.is_empty()
        {
            // A failed proposal is planned anew from the state in the next round.
            let _ = handle.propose(Command::Place(placements)).await;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

fn plan(view: &View) -> Vec<Placement> {
    let mut waiting: Vec<&Job> = view.state.jobs.waiting().collect();
    if waiting.is_empty() {
        return Vec::new();
    }
    waiting.sort_by_key(|job| (job.request.urgency, job.id));
    let mut rooms = rooms(view);
    let mut placements = Vec::new();
    for job in waiting.into_iter().take(MAX_PLACEMENTS) {
        if let Some(worker) = place_on_emptiest(&mut rooms, &need(job)) {
            placements.push(Placement {
                job: job.id,
                worker,
            });
        }
    }
    placements
}

fn rooms(view: &View) -> Vec<Room> {
    let now_ms = monotonic_ms();
    let desired = view.state.configuration.desired();
    let mut rooms = Vec::new();
    for (instance, declared) in &desired.instances {
        let worker = WorkerId::new(instance.as_str());
        if !view.workers.is_live(&worker, now_ms) {
            continue;
        }
        let mut room = Room {
            worker,
            cpu_mcores: declared.cpu_mcores,
            memory_bytes: declared.memory_bytes,
            accelerators: declared.accelerators,
        };
        let worker = room.worker.clone();
        view.state
            .jobs
            .on_worker(&worker)
            .for_each(|job| room.take(&need(job)));
        rooms.push(room);
    }
    rooms
}

const fn need(job: &Job) -> Need {
    Need {
        cpu_mcores: job.request.cpu_mcores,
        memory_bytes: job.request.memory_bytes,
        accelerators: job.request.accelerators,
    }
}
