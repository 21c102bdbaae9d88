//! Tickets of the platform's advice service.
//!
//! A ticket permits the tasks of one step on one worker incarnation, for a limited time. Steps of queues
//! that need advice start only with a ticket. Whether a step is permitted on an incarnation does not
//! change.
//!
//! After each placement, the steps whose tasks still wait are noted as unmet. As long as a worker with
//! room for such a step has no answer, the leader asks about further workers; no incarnation is asked about
//! twice, except to renew an expired ticket. Since the service handles the requests of one instance
//! sequentially, only a few are in flight, and the leader decides whose is next.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use smol_str::SmolStr;

use super::placement::could_run;
use super::steps::StepState;
use super::{Effect, Leader, Worker, WorkerHandle};
use crate::ids::{QueueKey, StepId};
use crate::policy::advice::{AdviceCandidate, GrantCount, ResponseTimeout, choose_workers};
use crate::state::JobsState;

/// Maximum number of requests in flight. A second one waits at the service while the response to the
/// first is on its way; any more would wait behind each other there, in an order that no longer suits.
const MAX_REQUESTS_IN_FLIGHT: usize = 2;
/// Time before the end of its validity from which a ticket is not used for new starts, in
/// milliseconds, since a start may take effect at any time up to its deadline; at most half of the
/// validity.
const TICKET_MARGIN_MS: u64 = 500;
/// Time for which a step is not started on a worker that has refused its ticket, in milliseconds, so that
/// others get its tasks if the worker refuses every ticket.
const REFUSED_TICKET_BACKOFF_MS: u64 = 300;
/// Delay of further requests after a failed one, in milliseconds; doubles with each failure.
const FAILURE_BACKOFF_MS: u64 = 100;
/// The longest delay after failures, in milliseconds.
const MAX_FAILURE_BACKOFF_MS: u64 = 800;

/// Identifies a request to the advice service within one leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdviceRequestId(pub u64);

impl fmt::Display for AdviceRequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Describes a request to the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Identifies the request in the call that reports its result.
    pub id: AdviceRequestId,
    /// The step that the advice is for.
    pub step: StepId,
    /// The workers to ask about.
    pub workers: Vec<SmolStr>,
    /// The time to wait for the response, in milliseconds.
    pub timeout_ms: u64,
}

/// Holds the response of the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// The workers on which the step is permitted, with their tickets.
    pub granted: Vec<(SmolStr, SmolStr)>,
    /// The validity of the tickets, in milliseconds.
    pub valid_ms: u64,
}

/// The reasons for which a request to the advice service has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdviceFailure {
    /// No complete response arrived in time.
    NoResponse,
    /// The service refused the request: the status code.
    Refused(u16),
    /// The response could not be decoded.
    Unreadable,
    /// The settings name no advice service.
    NotConfigured,
}

impl fmt::Display for AdviceFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoResponse => formatter.write_str("no-response"),
            Self::Refused(status) => write!(formatter, "status-{status}"),
            Self::Unreadable => formatter.write_str("unreadable"),
            Self::NotConfigured => formatter.write_str("not-configured"),
        }
    }
}

/// What the advice service has answered about a step and a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Answer {
    /// The step is permitted; the ticket is not used from the given time on the steady clock.
    Granted { ticket: SmolStr, expires_at_ms: u64 },
    /// The step is permitted, and its ticket has expired or was refused by the worker. A further one is not
    /// requested before the given time on the steady clock.
    WithoutTicket { retry_at_ms: u64 },
    /// The step is not permitted.
    Denied,
}

/// Holds the answers of the advice service about one step.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepAdvice {
    answers: HashMap<WorkerHandle, Answer>,
    /// The earliest time at which a ticket expires, on the steady clock.
    next_expiry_ms: Option<u64>,
    is_request_in_flight: bool,
    /// The number of requests since the tasks of the step began to wait for tickets.
    requests: u32,
}

impl StepAdvice {
    /// Returns the ticket for a worker, if there is a valid one.
    pub(super) fn ticket(&self, handle: WorkerHandle) -> Option<&SmolStr> {
        match self.answers.get(&handle) {
            Some(Answer::Granted { ticket, .. }) => Some(ticket),
            _ => None,
        }
    }

    /// Returns whether the step is known not to be permitted on a worker.
    pub(super) fn is_denied(&self, handle: WorkerHandle) -> bool {
        matches!(self.answers.get(&handle), Some(Answer::Denied))
    }

    /// Returns whether there is a valid ticket for any worker.
    pub(super) fn has_ticket(&self) -> bool {
        let is_granted = |answer: &Answer| matches!(answer, Answer::Granted { .. });
        self.answers.values().any(is_granted)
    }

    /// Returns whether a request about a worker can lead to a ticket that is missing.
    fn lacks_answer(&self, handle: WorkerHandle, now_ms: u64) -> bool {
        match self.answers.get(&handle) {
            None => true,
            Some(Answer::WithoutTicket { retry_at_ms }) => now_ms >= *retry_at_ms,
            Some(Answer::Granted { .. } | Answer::Denied) => false,
        }
    }

    fn drop_expired(&mut self, now_ms: u64) {
        if self.next_expiry_ms.is_none_or(|at_ms| now_ms < at_ms) {
            return;
        }
        self.next_expiry_ms = None;
        for answer in self.answers.values_mut() {
            if let Answer::Granted { expires_at_ms, .. } = answer {
                if now_ms >= *expires_at_ms {
                    let retry_at_ms = now_ms;
                    *answer = Answer::WithoutTicket { retry_at_ms };
                } else {
                    let next_ms = self.next_expiry_ms.unwrap_or(u64::MAX);
                    self.next_expiry_ms = Some(next_ms.min(*expires_at_ms));
                }
            }
        }
    }

    fn drop_ticket(&mut self, handle: WorkerHandle, retry_at_ms: u64) {
        if let Some(answer @ Answer::Granted { .. }) = self.answers.get_mut(&handle) {
            *answer = Answer::WithoutTicket { retry_at_ms };
        }
    }
}

/// Describes a request in flight.
#[derive(Debug, Clone)]
struct InFlight {
    step: StepId,
    queue: QueueKey,
    workers: Vec<(SmolStr, WorkerHandle)>,
    sent_at_ms: u64,
}

/// Tracks the steps that wait for tickets, and the requests to the advice service.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdviceTracker {
    /// The steps whose tasks wait although they have been placed as far as their tickets permit, with the
    /// time since which they wait, on the steady clock.
    unmet: BTreeMap<StepId, u64>,
    in_flight: BTreeMap<AdviceRequestId, InFlight>,
    next_id: u64,
    /// Whether the next request is for the step that has waited longest.
    oldest_first: bool,
    timeout: ResponseTimeout,
    failures: u32,
    /// When requests may be sent again after a failure, on the steady clock.
    resume_at_ms: u64,
    /// How often steps of each queue were permitted on each worker.
    grant_counts: HashMap<QueueKey, HashMap<WorkerHandle, GrantCount>>,
}

impl AdviceTracker {
    /// Removes what is known about a worker whose incarnation has ended.
    pub(super) fn forget_worker(&mut self, handle: WorkerHandle) {
        for counts in self.grant_counts.values_mut() {
            counts.remove(&handle);
        }
    }

    /// Removes a step that has ended.
    pub(super) fn forget_step(&mut self, id: StepId) {
        self.unmet.remove(&id);
    }

    /// Returns whether a step waits for tickets.
    pub(super) fn is_unmet(&self, id: StepId) -> bool {
        self.unmet.contains_key(&id)
    }

    /// Returns the number of steps that wait for tickets.
    pub(super) fn unmet_count(&self) -> usize {
        self.unmet.len()
    }
}

impl Leader {
    /// Drops the expired tickets of a step.
    pub(super) fn drop_expired_tickets(&mut self, id: StepId) {
        let now_ms = self.now.steady_ms;
        if let Some(step) = self.steps.get_mut(&id) {
            step.advice.drop_expired(now_ms);
        }
    }

    /// Drops the ticket of a step that a worker has refused.
    pub(super) fn drop_refused_ticket(&mut self, id: StepId, handle: WorkerHandle) {
        let retry_at_ms = self.now.steady_ms + REFUSED_TICKET_BACKOFF_MS;
        if let Some(step) = self.steps.get_mut(&id) {
            step.advice.drop_ticket(handle, retry_at_ms);
        }
    }

    /// Notes whether tasks of a step still wait after its placement, so that it may lack tickets.
    pub(super) fn note_advice_need(&mut self, id: StepId) {
        let now_ms = self.now.steady_ms;
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        let mut waiting = step.waiting.iter();
        let can_wait = |index: &u32| !self.suspects.is_given_up(id.task(*index));
        if step.needs_advice && waiting.any(can_wait) {
            self.advice.unmet.entry(id).or_insert(now_ms);
        } else {
            step.advice.requests = 0;
            self.advice.unmet.remove(&id);
        }
    }

    /// Sends requests for the steps that wait for tickets, as far as the limit of requests in flight
    /// permits.
    pub(super) fn request_advice(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        if now_ms < self.advice.resume_at_ms {
            return;
        }
        while self.advice.in_flight.len() < MAX_REQUESTS_IN_FLIGHT
            && let Some(id) = self.next_unmet_step()
        {
            if !self.request_advice_for(id, state) {
                // Every worker with room has an answer; the step is noted again if that changes.
                self.advice.unmet.remove(&id);
            }
        }
    }

    /// Returns the step that the next request is for: in turn the one that has waited longest, so that each
    /// is reached in a bounded time, and the most urgent of those with the fewest requests, which are the
    /// most likely to need only one.
    fn next_unmet_step(&self) -> Option<StepId> {
        let unmet = self.advice.unmet.iter().filter_map(|(id, since_ms)| {
            let step = self.steps.get(id)?;
            (!step.advice.is_request_in_flight).then_some((id, since_ms, step))
        });
        let next = if self.advice.oldest_first {
            unmet.min_by_key(|(id, since_ms, _)| (**since_ms, **id))
        } else {
            unmet.min_by_key(|(id, _, step)| {
                let has_runs = !step.runs_per_worker.is_empty();
                (has_runs, step.advice.requests, step.priority, **id)
            })
        };
        next.map(|(id, _, _)| *id)
    }

    /// Requests tickets for a step on workers without an answer; returns false if none of them has room for
    /// it.
    fn request_advice_for(&mut self, id: StepId, state: &JobsState) -> bool {
        let now_ms = self.now.steady_ms;
        let Some(step) = self.steps.get(&id) else {
            return false;
        };
        let waits = step.needs_advice && !step.waiting.is_empty();
        let (handles, candidates) = self.advice_candidates(step, state);
        if !waits || candidates.iter().all(|candidate| candidate.room_tasks == 0) {
            return false;
        }
        let chosen = choose_workers(&candidates, step.waiting.len() as u64, step.advice.requests);
        let chosen = chosen.into_iter().filter_map(|position| {
            let handle = handles[position];
            let worker = self.workers.get(&handle)?;
            Some((worker.incarnation().worker.clone(), handle))
        });
        let workers: Vec<(SmolStr, WorkerHandle)> = chosen.collect();
        let request = AdviceRequest {
            id: AdviceRequestId(self.advice.next_id),
            step: id,
            workers: workers.iter().map(|(name, _)| name.clone()).collect(),
            timeout_ms: self.advice.timeout.timeout_ms(),
        };
        let in_flight = InFlight {
            step: id,
            queue: step.queue.clone(),
            workers,
            sent_at_ms: now_ms,
        };
        if let Some(step) = self.steps.get_mut(&id) {
            step.advice.is_request_in_flight = true;
            step.advice.requests = step.advice.requests.saturating_add(1);
        }
        self.advice.next_id += 1;
        self.advice.oldest_first = !self.advice.oldest_first;
        self.advice.in_flight.insert(request.id, in_flight);
        self.counts.advice_requests += 1;
        self.counts.advice_workers += request.workers.len() as u64;
        self.effects.push(Effect::Advise(request));
        true
    }

    /// Returns the workers of a step's pool that could run it and that lack an answer.
    fn advice_candidates(
        &self,
        step: &StepState,
        state: &JobsState,
    ) -> (Vec<WorkerHandle>, Vec<AdviceCandidate>) {
        let now_ms = self.now.steady_ms;
        let spec = step.step();
        let reserved = spec.reserved();
        let configured = state.configuration.pool(&step.pool);
        let refuses_overload = configured.is_some_and(|pool| pool.refuses_overload);
        let quarantined = self.quarantined_workers(&step.pool);
        let earlier = self.advice.grant_counts.get(&step.queue);
        let could_run = |handle: WorkerHandle, worker: &Worker| {
            self.is_eligible(worker, refuses_overload) && could_run(step, handle, worker)
        };
        let lacking = self.directory.in_pool(&step.pool).filter_map(|handle| {
            let worker = self.workers.get(&handle)?;
            (step.advice.lacks_answer(handle, now_ms) && could_run(handle, worker))
                .then_some((handle, worker))
        });
        let described = lacking.map(|(handle, worker)| {
            let same_step = step.runs_per_worker.get(&handle).copied().unwrap_or(0);
            let max_further = spec
                .max_per_worker
                .map_or(u64::MAX, |max| u64::from(max.saturating_sub(same_step)));
            let earlier = earlier.and_then(|counts| counts.get(&handle));
            let candidate = AdviceCandidate {
                is_permitted: step.advice.answers.contains_key(&handle),
                room_tasks: worker.free().fit_count(&reserved).min(max_further),
                earlier: earlier.copied().unwrap_or_default(),
                is_quarantined: quarantined.contains(&handle),
                on_preferred_rack: spec
                    .rack_affinity
                    .as_ref()
                    .is_none_or(|rack| worker.has_label(rack)),
                recent_failures: worker.health.consecutive_failures(),
            };
            (handle, candidate)
        });
        described.unzip()
    }

    /// Processes the result of a request to the advice service.
    pub fn on_advice(&mut self, id: AdviceRequestId, result: Result<Advice, AdviceFailure>) {
        let now_ms = self.now.steady_ms;
        let Some(request) = self.advice.in_flight.remove(&id) else {
            return;
        };
        let took_ms = now_ms.saturating_sub(request.sent_at_ms);
        let step_id = request.step;
        if let Some(step) = self.steps.get_mut(&step_id) {
            step.advice.is_request_in_flight = false;
            // Placement notes again what is still unmet, and sends the next request.
            self.dirty_pools.insert(step.pool.clone());
        }
        let named = request.workers.len();
        let advice = match result {
            Ok(advice) => advice,
            Err(failure) => return self.on_advice_failure(step_id, failure, (named, took_ms)),
        };
        self.advice.failures = 0;
        self.advice.timeout.record_response(took_ms);
        let granted: HashMap<SmolStr, SmolStr> = advice.granted.into_iter().collect();
        let margin_ms = TICKET_MARGIN_MS.min(advice.valid_ms / 2);
        let expires_at_ms = now_ms.saturating_add(advice.valid_ms - margin_ms);
        let counts = self.advice.grant_counts.entry(request.queue).or_default();
        let mut permitted = 0;
        let mut answers = Vec::new();
        for (name, handle) in request.workers {
            // An answer about an incarnation that has ended meanwhile says nothing about the next one.
            if !self.workers.contains_key(&handle) {
                continue;
            }
            let ticket = granted.get(&name);
            permitted += usize::from(ticket.is_some());
            counts.entry(handle).or_default().record(ticket.is_some());
            let answer = ticket.map_or(Answer::Denied, |ticket| Answer::Granted {
                ticket: ticket.clone(),
                expires_at_ms,
            });
            answers.push((handle, answer));
        }
        let mut answered = 0;
        if let Some(step) = self.steps.get_mut(&step_id) {
            step.advice.answers.extend(answers);
            // Incarnations that have ended don't return under their handle.
            let workers = &self.workers;
            let answers = &mut step.advice.answers;
            answers.retain(|handle, _| workers.contains_key(handle));
            answered = step.advice.answers.len();
            if permitted > 0 {
                let next_ms = step.advice.next_expiry_ms.unwrap_or(u64::MAX);
                step.advice.next_expiry_ms = Some(next_ms.min(expires_at_ms));
            }
        }
        self.log_event(format!(
            "event=advice step={step_id} request={id} workers={named} permitted={permitted} answered={answered} took_ms={took_ms} valid_ms={} steps_waiting={}",
            advice.valid_ms,
            self.advice.unmet_count()
        ));
    }

    fn on_advice_failure(
        &mut self,
        step: StepId,
        failure: AdviceFailure,
        (workers, took_ms): (usize, u64),
    ) {
        self.counts.advice_failures += 1;
        if failure == AdviceFailure::NoResponse {
            self.advice.timeout.record_timeout();
        }
        let doubled_ms = FAILURE_BACKOFF_MS.checked_shl(self.advice.failures);
        let backoff_ms = doubled_ms.map_or(MAX_FAILURE_BACKOFF_MS, |backoff_ms| {
            backoff_ms.clamp(FAILURE_BACKOFF_MS, MAX_FAILURE_BACKOFF_MS)
        });
        self.advice.failures = self.advice.failures.saturating_add(1);
        self.advice.resume_at_ms = self.now.steady_ms + backoff_ms;
        self.log_event(format!(
            "event=advice_failed step={step} cause={failure} workers={workers} took_ms={took_ms} retry_after_ms={backoff_ms} steps_waiting={}",
            self.advice.unmet_count()
        ));
    }
}
