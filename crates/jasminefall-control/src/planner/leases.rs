//! Marking of workers as lost whose task lease has expired.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;

use crate::node::{NodeHandle, View};

/// Marks workers as lost whose task lease has expired, so that they must have stopped their tasks.
///
/// The leases are revoked in the same step as the loss is proposed, so that none is renewed between
/// the proposal and its commit; a heartbeat in between is answered with the instruction to stop all
/// tasks.
pub(crate) async fn mark_expired_workers_lost(handle: &NodeHandle) {
    let (sender, receiver) = std::sync::mpsc::channel();
    let proposal = handle.propose_from_view(move |view| {
        let lost = expired_workers(view);
        lost.iter()
            .for_each(|lost| view.workers.revoke_lease(&lost.worker));
        let workers: Vec<WorkerId> = lost.iter().map(|lost| lost.worker.clone()).collect();
        let _ = sender.send(workers);
        (!lost.is_empty()).then_some(Command::MarkWorkersLost(lost))
    });
    let outcome = proposal.await;
    let workers = receiver.try_recv().unwrap_or_default();
    // If the outcome is unknown, the leases stay revoked and a later round proposes the loss again.
    if matches!(outcome, Ok(Some(_))) {
        log::info!("event=workers_lost workers=\"{workers:?}\"");
        let remove_workers = move |view: &mut View| view.workers.remove(&workers);
        let _ = handle.with_fresh_view(remove_workers).await;
    }
}

fn expired_workers(view: &View) -> Vec<LostWorker> {
    let now_ms = monotonic_ms();
    let state = &view.state;
    let desired = state.configuration.desired();
    let mut live_by_rack: BTreeMap<&RackId, u64> = BTreeMap::new();
    let mut silent = Vec::new();
    for (id, instance) in state.instances.iter() {
        let worker = WorkerId::new(id.as_str());
        let rack = desired.instances.get(id).map(|declared| &declared.rack);
        if let Some(rack) = rack
            && view.workers.is_live(&worker, now_ms)
        {
            *live_by_rack.entry(rack).or_default() += 1;
        }
        let has_run = instance.incarnation.is_some();
        let is_expected_silent = matches!(
            instance.condition,
            InstanceCondition::Failed | InstanceCondition::Rebooting
        );
        let is_affected = (has_run && !is_expected_silent) || !state.jobs.is_idle(&worker);
        if is_affected && view.workers.has_expired_lease(&worker, now_ms) {
            silent.push((worker, rack));
        }
    }
    let lost = silent.into_iter().map(|(worker, rack)| LostWorker {
        alone: rack.is_some_and(|rack| live_by_rack.contains_key(rack)),
        worker,
    });
    lost.collect()
}
