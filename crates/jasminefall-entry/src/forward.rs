//! Sending a request to a backend server.
//!
//! A request counts as not run only while none of its bytes has been handed to the operating system.
//! From then on it is answered whole, or it may have run.

pub(crate) mod connection;
mod pool;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::http::{Method, Uri};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use jasminefall_policy::ejection::BackendOutcome;
use jasminefall_policy::slots::table::STOP_GRACE_MS;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::dispatch::Slot;
use crate::headers::HeaderList;
use crate::outcome::{NotRun, Outcome};
use connection::{Connection, ExchangeError};
pub(crate) use pool::Pool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an exchange that came too late is still listened to, to know when its slot is free.
const LATE_LIMIT: Duration = Duration::from_millis(STOP_GRACE_MS).saturating_sub(CLOSED_PAUSE);
/// How long a slot stays taken after the connection of its exchange was closed.
const CLOSED_PAUSE: Duration = Duration::from_secs(1);

/// Holds what is sent to a backend server.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// The method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    /// The headers.
    pub(crate) headers: HeaderList,
    /// The body.
    pub(crate) body: Bytes,
    /// When the answer is no longer of use; no first byte leaves from then on.
    pub(crate) deadline: Instant,
}

/// Says on which connection a request may go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// On one that is kept alive, if there is one.
    MayReuse,
    /// Only on a new one.
    Fresh,
}

/// Runs one exchange that is under way with a backend server.
pub(crate) struct Attempt {
    exchange: LocalBoxFuture<'static, Outcome>,
    slot: Option<Slot>,
    address: SmolStr,
    deadline: Instant,
    sent: Rc<Cell<bool>>,
    reused: Rc<Cell<bool>>,
    pool: Rc<Pool>,
}

impl Attempt {
    /// Prepares to send a request to the backend server whose slot is given.
    pub(crate) fn new(
        pool: &Rc<Pool>,
        slot: Slot,
        outgoing: &Rc<Outgoing>,
        freshness: Freshness,
    ) -> Self {
        let (sent, reused) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let address = slot.address.clone();
        let exchange = exchange(
            pool.clone(),
            address.clone(),
            outgoing.clone(),
            freshness,
            sent.clone(),
            reused.clone(),
        );
        Self {
            exchange: Box::pin(exchange),
            slot: Some(slot),
            address,
            deadline: outgoing.deadline,
            sent,
            reused,
            pool: pool.clone(),
        }
    }

    /// Returns whether the request went out on a connection that was kept alive.
    pub(crate) fn has_reused(&self) -> bool {
        self.reused.get()
    }

    /// Waits for the outcome, at most until the deadline; may be called again when cut short.
    pub(crate) async fn outcome(&mut self) -> Outcome {
        let ended = tokio::time::timeout_at(self.deadline.into(), &mut self.exchange).await;
        match ended {
            Ok(outcome) => {
                self.finish(&outcome);
                outcome
            }
            Err(_) if self.sent.get() => Outcome::MayHaveRun,
            Err(_) => {
                let outcome = Outcome::NotRun(NotRun::Unreachable);
                self.finish(&outcome);
                outcome
            }
        }
    }

    /// Frees the slot of an exchange that has ended.
    fn finish(&mut self, outcome: &Outcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(at_backend(outcome));
        }
    }

    /// Leaves an exchange that has not ended; its slot stays taken until the backend server is done.
    ///
    /// An answer that comes late is handed to `late` and goes nowhere else.
    pub(crate) fn leave(mut self, late: impl FnOnce(Outcome) + 'static) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        if !self.sent.get() {
            return;
        }
        self.pool.distrust(&self.address);
        actix_rt::spawn(async move {
            match timeout(LATE_LIMIT, &mut self.exchange).await {
                Ok(outcome) => {
                    slot.finish(at_backend(&outcome));
                    late(outcome);
                }
                Err(_) => {
                    drop(self.exchange);
                    tokio::time::sleep(CLOSED_PAUSE).await;
                    slot.finish(BackendOutcome::Failed);
                }
            }
        });
    }
}

/// Returns what an outcome says of the backend server.
fn at_backend(outcome: &Outcome) -> BackendOutcome {
    match outcome {
        Outcome::Answered(answer) if answer.status.is_server_error() => BackendOutcome::Failed,
        Outcome::Answered(_) | Outcome::AnsweredNotKept(_) => BackendOutcome::Succeeded,
        Outcome::NotRun(NotRun::Unreachable) | Outcome::MayHaveRun => BackendOutcome::Failed,
        Outcome::NotRun(_) | Outcome::UnderWay | Outcome::NoLongerKnown => BackendOutcome::Unknown,
    }
}

async fn exchange(
    pool: Rc<Pool>,
    address: SmolStr,
    outgoing: Rc<Outgoing>,
    freshness: Freshness,
    sent: Rc<Cell<bool>>,
    reused: Rc<Cell<bool>>,
) -> Outcome {
    let kept = match freshness {
        Freshness::MayReuse => pool.take(&address),
        Freshness::Fresh => None,
    };
    reused.set(kept.is_some());
    let mut connection = match kept {
        Some(connection) => connection,
        None => match timeout(CONNECT_TIMEOUT, Connection::open(&address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => return Outcome::NotRun(NotRun::Unreachable),
        },
    };
    // The process may have been paused at any point before this one.
    if Instant::now() >= outgoing.deadline {
        return Outcome::NotRun(NotRun::NoSlotInTime);
    }
    sent.set(true);
    match connection.exchange(&outgoing).await {
        Ok(answer) => {
            if Instant::now() < outgoing.deadline {
                pool.put(&address, connection);
            }
            Outcome::Answered(answer)
        }
        Err(error) => {
            log::debug!("event=exchange_broken backend={address} error=\"{error}\"");
            if error != ExchangeError::Oversized {
                pool.distrust(&address);
            }
            Outcome::MayHaveRun
        }
    }
}
