//! The path of a request from its claim to its outcome.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jasminefall_state::prelude::ClaimRequest;

use crate::claiming::Claims;
use crate::dispatch::{self, Slot, Wanted};
use crate::forward::{Attempt, Freshness, Outgoing, Pool};
use crate::outcome::{NotRun, Outcome};
use crate::retry_budget::RetryBudget;
use crate::shared::{Shared, Unfinished};

/// How long a kept-alive connection may be silent before an idempotent request is sent once more.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Holds what the requests of one thread share.
pub(crate) struct Path {
    shared: Arc<Shared>,
    claims: Claims,
    pool: Rc<Pool>,
    budget: RefCell<RetryBudget>,
}

/// Holds a request that may run.
pub(crate) struct Prepared {
    /// The slot that it wants.
    pub(crate) wanted: Wanted,
    /// What is sent.
    pub(crate) outgoing: Rc<Outgoing>,
    /// The claim that it needs, unless it is idempotent.
    pub(crate) claim: Option<ClaimRequest>,
}

impl Path {
    /// Creates the path of a thread.
    pub(crate) fn new(shared: &Arc<Shared>, claims: Claims, pool: Rc<Pool>) -> Self {
        Self {
            shared: shared.clone(),
            claims,
            pool,
            budget: RefCell::default(),
        }
    }

    /// Runs a request; `caller_gone` ends once nobody waits for the answer any more.
    pub(crate) async fn run(
        &self,
        prepared: &Prepared,
        caller_gone: impl Future<Output = ()>,
    ) -> Outcome {
        match &prepared.claim {
            Some(claim) => self.run_claimed(prepared, claim, caller_gone).await,
            None => self.run_idempotent(prepared, caller_gone).await,
        }
    }

    async fn run_claimed(
        &self,
        prepared: &Prepared,
        claim: &ClaimRequest,
        caller_gone: impl Future<Output = ()>,
    ) -> Outcome {
        let deadline = prepared.outgoing.deadline;
        if let Err(outcome) = self.claims.claim(claim, deadline).await {
            return outcome;
        }
        tokio::pin!(caller_gone);
        loop {
            let slot = tokio::select! {
                slot = self.slot(prepared) => slot,
                () = &mut caller_gone => Err(NotRun::CallerGone),
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
                Outcome::NotRun(_) if self.may_retry(prepared, &outcome) => continue,
                Outcome::NotRun(_) => self.claims.release(claim),
                _ => self.claims.record(claim, &outcome),
            }
            self.earn(prepared, &outcome);
            return outcome;
        }
    }

    /// Sends a claimed request once; an answer that comes late is still recorded.
    async fn claimed_attempt(
        &self,
        prepared: &Prepared,
        claim: &ClaimRequest,
        slot: Slot,
    ) -> Outcome {
        let mut attempt = self.attempt(prepared, slot, Freshness::Fresh);
        let outcome = attempt.outcome().await;
        let (late_claim, claims) = (claim.clone(), self.claims.clone());
        self.leave(attempt, move |late| {
            if let Outcome::Answered(_) = late {
                claims.record(&late_claim, &late);
            }
        });
        outcome
    }

    /// Returns whether the budget allows another attempt, and spends it.
    fn may_retry(&self, prepared: &Prepared, outcome: &Outcome) -> bool {
        let is_worth_it = match outcome {
            Outcome::NotRun(reason) => *reason == NotRun::Unreachable,
            Outcome::MayHaveRun => prepared.claim.is_none(),
            _ => false,
        };
        is_worth_it
            && Instant::now() < prepared.outgoing.deadline
            && self.budget.borrow_mut().spend(&prepared.wanted.service)
    }

    async fn run_idempotent(
        &self,
        prepared: &Prepared,
        caller_gone: impl Future<Output = ()>,
    ) -> Outcome {
        let first = async {
            match self.slot(prepared).await {
                Ok(slot) => self.first_attempt(prepared, slot).await,
                Err(reason) => Outcome::NotRun(reason),
            }
        };
        tokio::select! {
            outcome = first => outcome,
            () = caller_gone => Outcome::NotRun(NotRun::CallerGone),
        }
    }

    async fn first_attempt(&self, prepared: &Prepared, slot: Slot) -> Outcome {
        let mut first = Guarded(Some(self.attempt(prepared, slot, Freshness::MayReuse)));
        let suspicion = tokio::time::timeout(SUSPECT_AFTER, first.outcome()).await;
        let outcome = match suspicion {
            Ok(outcome) => outcome,
            Err(_)
                if first.has_reused()
                    && self.budget.borrow_mut().spend(&prepared.wanted.service) =>
            {
                return self.race(prepared, first).await;
            }
            Err(_) => first.outcome().await,
        };
        if self.may_retry(prepared, &outcome) {
            drop(first);
            return self.retry(prepared, outcome).await;
        }
        self.earn(prepared, &outcome);
        outcome
    }

    fn earn(&self, prepared: &Prepared, outcome: &Outcome) {
        if let Outcome::Answered(_) = outcome {
            self.budget.borrow_mut().earn(&prepared.wanted.service);
        }
    }

    /// Sends an idempotent request once more, on a new connection.
    async fn retry(&self, prepared: &Prepared, before: Outcome) -> Outcome {
        let Ok(slot) = self.slot(prepared).await else {
            return before;
        };
        let mut second = Guarded(Some(self.attempt(prepared, slot, Freshness::Fresh)));
        match (second.outcome().await, before) {
            // The first attempt may have run all the same.
            (Outcome::NotRun(_), Outcome::MayHaveRun) => Outcome::MayHaveRun,
            (outcome, _) => outcome,
        }
    }

    /// Sends an idempotent request once more while the first attempt may only be slow.
    async fn race(&self, prepared: &Prepared, mut first: Guarded) -> Outcome {
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

    async fn slot(&self, prepared: &Prepared) -> Result<Slot, NotRun> {
        dispatch::acquire(&self.shared, prepared.wanted.clone()).await
    }

    fn attempt(&self, prepared: &Prepared, slot: Slot, freshness: Freshness) -> Attempt {
        Attempt::new(&self.pool, slot, &prepared.outgoing, freshness)
    }

    fn leave(&self, attempt: Attempt, late: impl FnOnce(Outcome) + 'static) {
        let unfinished = Unfinished::new(&self.shared);
        attempt.leave(move |outcome| {
            late(outcome);
            drop(unfinished);
        });
    }
}

/// Leaves an attempt properly when dropped, also where the caller has gone.
struct Guarded(Option<Attempt>);

impl Guarded {
    async fn outcome(&mut self) -> Outcome {
        match &mut self.0 {
            Some(attempt) => attempt.outcome().await,
            None => Outcome::MayHaveRun,
        }
    }

    fn has_reused(&self) -> bool {
        self.0.as_ref().is_some_and(Attempt::has_reused)
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        if let Some(attempt) = self.0.take() {
            attempt.leave(|_| {});
        }
    }
}
