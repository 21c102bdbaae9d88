//! On which workers the policy of a queue permits a step.

use smol_str::SmolStr;

use super::{Effect, Leader};
use crate::ids::StepId;

/// The most workers that one question may name; the limit of the interface.
const MAX_WORKERS_PER_ADVICE: usize = 100;
/// How long after a question without a response it is asked again, in milliseconds.
const ADVICE_RETRY_MS: u64 = 1_500;
/// The part of a ticket's time that is not used, in milliseconds: a start takes until its deadline.
const TICKET_MARGIN_MS: u64 = 500;

impl Leader {
    /// Drops tickets that end, and asks for which workers a step is permitted where none is known.
    pub(super) fn refresh_tickets(&mut self, id: StepId) {
        let now_ms = self.now.steady_ms;
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        step.tickets.retain(|_, (_, until_ms)| now_ms < *until_ms);
        let is_recent = step
            .advice_requested_at_ms
            .is_some_and(|at| now_ms < at + ADVICE_RETRY_MS);
        if !step.tickets.is_empty() || is_recent {
            return;
        }
        step.advice_requested_at_ms = Some(now_ms);
        let pool = step.pool.clone();
        let handles = self.directory.in_pool(&pool);
        let workers = handles.filter_map(|handle| self.workers.get(&handle));
        let workers = workers.filter(|worker| worker.reconciled && !worker.heartbeat.draining);
        let workers = workers
            .map(|worker| worker.incarnation().worker.clone())
            .take(MAX_WORKERS_PER_ADVICE);
        let workers: Vec<SmolStr> = workers.collect();
        if !workers.is_empty() {
            self.effects.push(Effect::Advise { step: id, workers });
        }
    }

    /// Takes the tickets for a step; none where there was no response.
    pub fn on_advice(&mut self, id: StepId, granted: &[(SmolStr, SmolStr)], valid_ms: u64) {
        let until_ms = (self.now.steady_ms + valid_ms).saturating_sub(TICKET_MARGIN_MS);
        self.log_event(format!(
            "event=advice step={id} permitted={} valid_ms={valid_ms}",
            granted.len()
        ));
        if let Some(step) = self.steps.get_mut(&id) {
            for (worker, ticket) in granted {
                step.tickets
                    .insert(worker.clone(), (ticket.clone(), until_ms));
            }
            self.dirty_pools.insert(step.pool.clone());
        }
    }
}
