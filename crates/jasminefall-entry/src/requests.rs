//! Execution of a request, from its claim to its outcome.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jasminefall_state::prelude::ClaimRequest;

use crate::claims::ClaimClient;
use crate::dispatch::{self, Slot, SlotRequest};
use crate::forward::{Attempt, ConnectionPool, ConnectionReuse, OutgoingRequest};
use crate::outcome::{NotRun, Outcome};
use crate::retry_budget::RetryBudget;
use crate::shared::{PendingWork, Shared};

/// Starts a second attempt of an idempotent request after this silence on a reused connection.
const HEDGE_DELAY: Duration = Duration::from_secs(1);

/// Runs the requests of one thread.
pub(crate) struct RequestRunner {
    shared: Arc<Shared>,
    claims: ClaimClient,
    pool: Rc<ConnectionPool>,
    budget: RefCell<RetryBudget>,
}

/// Holds a parsed request that is ready to run.
pub(crate) struct PreparedRequest {
    /// The request for a slot of a backend server.
    pub(crate) slot_request: SlotRequest,
    /// The request as sent to the backend server.
    pub(crate) outgoing: Rc<OutgoingRequest>,
    /// The claim to make first, unless the request is idempotent.
    pub(crate) claim: Option<ClaimRequest>,
}

impl RequestRunner {
    /// Creates the runner of a thread.
    pub(crate) fn new(shared: &Arc<Shared>, claims: ClaimClient, pool: Rc<ConnectionPool>) -> Self {
        Self {
            shared: shared.clone(),
            claims,
            pool,
            budget: RefCell::default(),
        }
    }

    /// Runs a request; `caller_disconnected` resolves once the caller no longer waits.
    pub(crate) async fn run(
        &self,
        prepared: &PreparedRequest,
        caller_disconnected: impl Future<Output = ()>,
    ) -> Outcome {
        match &prepared.claim {
            Some(claim) => self.run_claimed(prepared, claim, caller_disconnected).await,
            None => self.run_idempotent(prepared, caller_disconnected).await,
        }
    }

    /// Runs a request that is not idempotent: claims it, and makes no further attempt once one may
    /// have run.
    async fn run_claimed(
        &self,
        prepared: &PreparedRequest,
        claim: &ClaimRequest,
        caller_disconnected: impl Future<Output = ()>,
    ) -> Outcome {
        let deadline = prepared.outgoing.deadline;
        if let Err(outcome) = self.claims.claim(claim, deadline).await {
            return outcome;
        }
        tokio::pin!(caller_disconnected);
        loop {
            let slot = tokio::select! {
                slot = self.acquire_slot(prepared) => slot,
                () = &mut caller_disconnected => Err(NotRun::CallerDisconnected),
            };
            let slot = match slot {
                Ok(slot) => slot,
                Err(reason) => {
                    self.claims.release(claim);
                    return Outcome::NotRun(reason);
                }
            };
            let outcome = self.claimed_attempt(prepared, claim, slot).await;
            match &outcome {
                Outcome::NotRun(_) if self.try_withdraw_retry(prepared, &outcome) => continue,
                Outcome::NotRun(_) => self.claims.release(claim),
                _ => self.claims.record(claim, &outcome),
            }
            self.deposit_retry(prepared, &outcome);
            return outcome;
        }
    }

    /// Sends a claimed request once; a response that arrives late is still recorded.
    async fn claimed_attempt(
        &self,
        prepared: &PreparedRequest,
        claim: &ClaimRequest,
        slot: Slot,
    ) -> Outcome {
        let mut attempt = self.new_attempt(prepared, slot, ConnectionReuse::Forbidden);
        let outcome = attempt.outcome().await;
        let (late_claim, claims) = (claim.clone(), self.claims.clone());
        self.detach(attempt, move |late| {
            if let Outcome::Answered(_) = late {
                claims.record(&late_claim, &late);
            }
        });
        outcome
    }

    /// Returns whether another attempt may follow, and withdraws it from the retry budget if so.
    fn try_withdraw_retry(&self, prepared: &PreparedRequest, outcome: &Outcome) -> bool {
        let is_retryable = match outcome {
            Outcome::NotRun(reason) => *reason == NotRun::BackendUnreachable,
            Outcome::MayHaveRun => prepared.claim.is_none(),
            _ => false,
        };
        is_retryable
            && Instant::now() < prepared.outgoing.deadline
            && self
                .budget
                .borrow_mut()
                .try_withdraw(&prepared.slot_request.service)
    }

    async fn run_idempotent(
        &self,
        prepared: &PreparedRequest,
        caller_disconnected: impl Future<Output = ()>,
    ) -> Outcome {
        let first = async {
            match self.acquire_slot(prepared).await {
                Ok(slot) => self.first_attempt(prepared, slot).await,
                Err(reason) => Outcome::NotRun(reason),
            }
        };
        tokio::select! {
            outcome = first => outcome,
            () = caller_disconnected => Outcome::NotRun(NotRun::CallerDisconnected),
        }
    }

    /// Sends an idempotent request; hedges it on a slow reused connection and retries it if it
    /// fails, both within the retry budget.
    async fn first_attempt(&self, prepared: &PreparedRequest, slot: Slot) -> Outcome {
        let mut first = DetachOnDrop(Some(self.new_attempt(
            prepared,
            slot,
            ConnectionReuse::Allowed,
        )));
        let result = tokio::time::timeout(HEDGE_DELAY, first.outcome()).await;
        let outcome = match result {
            Ok(outcome) => outcome,
            Err(_)
                if first.reused_connection()
                    && self
                        .budget
                        .borrow_mut()
                        .try_withdraw(&prepared.slot_request.service) =>
            {
                return self.hedge(prepared, first).await;
            }
            Err(_) => first.outcome().await,
        };
        if self.try_withdraw_retry(prepared, &outcome) {
            drop(first);
            return self.retry(prepared, outcome).await;
        }
        self.deposit_retry(prepared, &outcome);
        outcome
    }

    fn deposit_retry(&self, prepared: &PreparedRequest, outcome: &Outcome) {
        if let Outcome::Answered(_) = outcome {
            self.budget
                .borrow_mut()
                .deposit(&prepared.slot_request.service);
        }
    }

    /// Resends an idempotent request on a new connection.
    async fn retry(&self, prepared: &PreparedRequest, previous: Outcome) -> Outcome {
        let Ok(slot) = self.acquire_slot(prepared).await else {
            return previous;
        };
        let mut second = DetachOnDrop(Some(self.new_attempt(
            prepared,
            slot,
            ConnectionReuse::Forbidden,
        )));
        match (second.outcome().await, previous) {
            // The second attempt did not run, but the first one may have.
            (Outcome::NotRun(_), Outcome::MayHaveRun) => Outcome::MayHaveRun,
            (outcome, _) => outcome,
        }
    }

    /// Sends a second attempt while the first is still in progress, as it may only be slow.
    async fn hedge(&self, prepared: &PreparedRequest, mut first: DetachOnDrop) -> Outcome {
        let second = self.retry(prepared, Outcome::MayHaveRun);
        tokio::pin!(second);
        tokio::select! {
            outcome = first.outcome() => match outcome {
                Outcome::Answered(_) => outcome,
                _ => second.await,
            },
            outcome = &mut second => match outcome {
                Outcome::Answered(_) => outcome,
                _ => first.outcome().await,
            },
        }
    }

    async fn acquire_slot(&self, prepared: &PreparedRequest) -> Result<Slot, NotRun> {
        dispatch::acquire_slot(&self.shared, prepared.slot_request.clone()).await
    }

    fn new_attempt(
        &self,
        prepared: &PreparedRequest,
        slot: Slot,
        reuse: ConnectionReuse,
    ) -> Attempt {
        Attempt::new(&self.pool, slot, &prepared.outgoing, reuse)
    }

    fn detach(&self, attempt: Attempt, on_late_outcome: impl FnOnce(Outcome) + 'static) {
        let pending_work = PendingWork::new(&self.shared);
        attempt.detach(move |outcome| {
            on_late_outcome(outcome);
            drop(pending_work);
        });
    }
}

/// Detaches an attempt when dropped, including after a disconnect of the caller.
struct DetachOnDrop(Option<Attempt>);

impl DetachOnDrop {
    async fn outcome(&mut self) -> Outcome {
        match &mut self.0 {
            Some(attempt) => attempt.outcome().await,
            None => Outcome::MayHaveRun,
        }
    }

    fn reused_connection(&self) -> bool {
        self.0.as_ref().is_some_and(Attempt::reused_connection)
    }
}

impl Drop for DetachOnDrop {
    fn drop(&mut self) {
        if let Some(attempt) = self.0.take() {
            attempt.detach(|_| {});
        }
    }
}
