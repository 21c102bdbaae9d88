//! Workers whose lease has run out.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_state::prelude::*;

use crate::node::{NodeHandle, View};

/// Ends the leases of workers that must have stopped by themselves.
///
/// The leases are revoked in the same step as the loss is proposed, so that none is renewed between
/// the decision and its commit; a worker that asks meanwhile is told to stop everything.
pub(crate) async fn end_expired(handle: &NodeHandle) {
    let (sender, receiver) = std::sync::mpsc::channel();
    let decided = handle.decide(move |view| {
        let lost = expired(view);
        lost.iter()
            .for_each(|lost| view.workers.revoke(&lost.worker));
        let workers: Vec<WorkerId> = lost.iter().map(|lost| lost.worker.clone()).collect();
        let _ = sender.send(workers);
        (!lost.is_empty()).then_some(Command::MarkWorkersLost(lost))
    });
    let outcome = decided.await;
    let workers = receiver.try_recv().unwrap_or_default();
    // Where the outcome is unknown the leases stay revoked, and the loss is proposed again.
    if matches!(outcome, Ok(Some(_))) {
        log::info!("event=workers_lost workers=\"{workers:?}\"");
        let forget = move |view: &mut View| view.workers.forget(&workers);
        let _ = handle.look_fresh(forget).await;
    }
}

fn expired(view: &View) -> Vec<LostWorker> {
    let now_ms = monotonic_ms();
    let state = &view.state;
    let desired = state.configuration.desired();
    let mut heard_in: BTreeMap<&RackId, u64> = BTreeMap::new();
    let mut silent = Vec::new();
    for (id, instance) in state.instances.iter() {
        let worker = WorkerId::new(id.as_str());
        let rack = desired.instances.get(id).map(|declared| &declared.rack);
        if let Some(rack) = rack
            && view.workers.is_live(&worker, now_ms)
        {
            *heard_in.entry(rack).or_default() += 1;
        }
        let known = instance.incarnation.is_some();
        let expected = matches!(
            instance.condition,
            InstanceCondition::Failed | InstanceCondition::Rebooting
        );
        let concerned = (known && !expected) || !state.jobs.is_idle(&worker);
        if concerned && view.workers.has_expired(&worker, now_ms) {
            silent.push((worker, rack));
        }
    }
    let lost = silent.into_iter().map(|(worker, rack)| LostWorker {
        alone: rack.is_some_and(|rack| heard_in.contains_key(rack)),
        worker,
    });
    lost.collect()
}
