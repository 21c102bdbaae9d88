//! Tickets of the platform's advice service.
//!
//! A ticket permits the tasks of one step on one worker. Steps of queues that need advice start
//! only with a ticket.

use smol_str::SmolStr;

use super::{Effect, Leader};
use crate::ids::StepId;

/// Maximum number of workers in one request; the limit of the advice interface.
const MAX_WORKERS_PER_ADVICE: usize = 100;
/// Delay after which an unanswered request is repeated, in milliseconds.
const ADVICE_RETRY_MS: u64 = 1_500;
/// Time before the end of its validity from which a ticket is not used for new starts, in
/// milliseconds, since a start may take effect at any time up to its deadline.
const TICKET_MARGIN_MS: u64 = 500;

impl Leader {
    /// Drops expired tickets of a step and requests new ones if none is left and no request is
    /// recent.
    pub(super) fn refresh_tickets(&mut self, id: StepId) {
        let now_ms = self.now.steady_ms;
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        step.tickets
            .retain(|_, (_, expires_at_ms)| now_ms < *expires_at_ms);
        let is_recent = step
            .advice_requested_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + ADVICE_RETRY_MS);
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

    /// Records the tickets granted to a step, as pairs of worker and ticket; `granted` is empty if
    /// the service permits the step on none of the workers.
    pub fn on_advice(&mut self, id: StepId, granted: &[(SmolStr, SmolStr)], valid_ms: u64) {
        let expires_at_ms = (self.now.steady_ms + valid_ms).saturating_sub(TICKET_MARGIN_MS);
        self.log_event(format!(
            "event=advice step={id} permitted={} valid_ms={valid_ms}",
            granted.len()
        ));
        if let Some(step) = self.steps.get_mut(&id) {
            for (worker, ticket) in granted {
                step.tickets
                    .insert(worker.clone(), (ticket.clone(), expires_at_ms));
            }
            self.dirty_pools.insert(step.pool.clone());
        }
    }
}
