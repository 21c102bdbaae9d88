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
use jasminefall_policy::ejection::SlotOutcome;
use jasminefall_policy::slots::book::STOP_GRACE_MS;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::dispatch::Slot;
use crate::headers::HeaderList;
use crate::outcome::{NotRun, Outcome};
use connection::{Connection, ExchangeError};
pub(crate) use pool::ConnectionPool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an exchange that came too late is still listened to, to know when its slot is free.
const LATE_RESPONSE_TIMEOUT: Duration =
    Duration::from_millis(STOP_GRACE_MS).saturating_sub(SLOT_RELEASE_DELAY);
/// How long a slot stays taken after the connection of its exchange was closed.
const SLOT_RELEASE_DELAY: Duration = Duration::from_secs(1);

/// Holds what is sent to a backend server.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
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
pub(crate) enum ConnectionReuse {
    /// On one that is kept alive, if there is one.
    Allowed,
    /// Only on a new one.
    Forbidden,
}

/// Runs one exchange that is under way with a backend server.
pub(crate) struct Attempt {
    exchange: LocalBoxFuture<'static, Outcome>,
    slot: Option<Slot>,
    address: SmolStr,
    deadline: Instant,
    sent: Rc<Cell<bool>>,
    reused: Rc<Cell<bool>>,
    pool: Rc<ConnectionPool>,
}

impl Attempt {
    /// Prepares to send a request to the backend server whose slot is given.
    pub(crate) fn new(
        pool: &Rc<ConnectionPool>,
        slot: Slot,
        outgoing: &Rc<OutgoingRequest>,
        reuse: ConnectionReuse,
    ) -> Self {
        let (sent, reused) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let address = slot.address.clone();
        let exchange = exchange(
            pool.clone(),
            address.clone(),
            outgoing.clone(),
            reuse,
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
    pub(crate) fn reused_connection(&self) -> bool {
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
                let outcome = Outcome::NotRun(NotRun::BackendUnreachable);
                self.finish(&outcome);
                outcome
            }
        }
    }

    /// Frees the slot of an exchange that has ended.
    fn finish(&mut self, outcome: &Outcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(slot_outcome(outcome));
        }
    }

    /// Leaves an exchange that has not ended; its slot stays taken until the backend server is done.
    ///
    /// An answer that comes late is handed to `on_late_outcome` and goes nowhere else.
    pub(crate) fn detach(mut self, on_late_outcome: impl FnOnce(Outcome) + 'static) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        if !self.sent.get() {
            return;
        }
        self.pool.close_idle(&self.address);
        actix_rt::spawn(async move {
            match timeout(LATE_RESPONSE_TIMEOUT, &mut self.exchange).await {
                Ok(outcome) => {
                    slot.finish(slot_outcome(&outcome));
                    on_late_outcome(outcome);
                }
                Err(_) => {
                    drop(self.exchange);
                    tokio::time::sleep(SLOT_RELEASE_DELAY).await;
                    slot.finish(SlotOutcome::Failed);
                }
            }
        });
    }
}

/// Returns what an outcome says of the backend server.
fn slot_outcome(outcome: &Outcome) -> SlotOutcome {
    match outcome {
        Outcome::Answered(answer) if answer.status.is_server_error() => SlotOutcome::Failed,
        Outcome::Answered(_) | Outcome::AnsweredNotKept(_) => SlotOutcome::Succeeded,
        Outcome::NotRun(NotRun::BackendUnreachable) | Outcome::MayHaveRun => SlotOutcome::Failed,
        Outcome::NotRun(_) | Outcome::InProgress | Outcome::NoLongerKnown => SlotOutcome::Unknown,
    }
}

async fn exchange(
    pool: Rc<ConnectionPool>,
    address: SmolStr,
    outgoing: Rc<OutgoingRequest>,
    reuse: ConnectionReuse,
    sent: Rc<Cell<bool>>,
    reused: Rc<Cell<bool>>,
) -> Outcome {
    let idle = match reuse {
        ConnectionReuse::Allowed => pool.take(&address),
        ConnectionReuse::Forbidden => None,
    };
    reused.set(idle.is_some());
    let mut connection = match idle {
        Some(connection) => connection,
        None => match timeout(CONNECT_TIMEOUT, Connection::open(&address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => return Outcome::NotRun(NotRun::BackendUnreachable),
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
                pool.close_idle(&address);
            }
            Outcome::MayHaveRun
        }
    }
}
