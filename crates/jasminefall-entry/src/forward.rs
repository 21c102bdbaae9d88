//! Forwarding of a request to a backend server.
//!
//! A request counts as not run only while none of its bytes has been handed to the operating
//! system. After that, a request without a complete response may have run.

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
pub(crate) use pool::ConnectionPool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits the wait for a late response, which shows that the backend server has freed its slot.
const LATE_RESPONSE_TIMEOUT: Duration =
    Duration::from_millis(STOP_GRACE_MS).saturating_sub(SLOT_RELEASE_DELAY);
/// Delays the release of a slot after the connection of its exchange was closed.
const SLOT_RELEASE_DELAY: Duration = Duration::from_secs(1);

/// Holds a request as it is sent to a backend server.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderList,
    pub(crate) body: Bytes,
    /// The time after which the response is of no use; a request not sent by then is never sent.
    pub(crate) deadline: Instant,
}

/// Selects whether a request may use an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Uses an idle connection, if there is one.
    Allowed,
    /// Always opens a new connection.
    Forbidden,
}

/// Runs one exchange with a backend server, which holds a slot until it has ended.
pub(crate) struct Attempt {
    exchange: LocalBoxFuture<'static, Outcome>,
    slot: Option<Slot>,
    address: SmolStr,
    deadline: Instant,
    /// Whether bytes of the request may have been handed to the operating system.
    sent: Rc<Cell<bool>>,
    /// Whether the exchange uses a connection that was idle before.
    reused: Rc<Cell<bool>>,
    pool: Rc<ConnectionPool>,
}

impl Attempt {
    /// Prepares an exchange with the backend server of `slot`; nothing is sent yet.
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

    /// Returns whether the exchange uses a connection that was idle before.
    pub(crate) fn reused_connection(&self) -> bool {
        self.reused.get()
    }

    /// Waits for the outcome, at most until the deadline; is cancel-safe.
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

    /// Releases the slot of an exchange that has ended.
    fn finish(&mut self, outcome: &Outcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(backend_outcome(outcome));
        }
    }

    /// Continues an unfinished exchange in the background; its slot stays taken until the backend
    /// server is done.
    ///
    /// A late outcome is passed only to `on_late_outcome`.
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
                    slot.finish(backend_outcome(&outcome));
                    on_late_outcome(outcome);
                }
                Err(_) => {
                    drop(self.exchange);
                    tokio::time::sleep(SLOT_RELEASE_DELAY).await;
                    slot.finish(BackendOutcome::Failed);
                }
            }
        });
    }
}

/// Returns how an outcome counts for the ejection of the backend server.
fn backend_outcome(outcome: &Outcome) -> BackendOutcome {
    match outcome {
        Outcome::Answered(response) if response.status.is_server_error() => BackendOutcome::Failed,
        Outcome::Answered(_) | Outcome::AnsweredNotKept(_) => BackendOutcome::Succeeded,
        Outcome::NotRun(NotRun::BackendUnreachable) | Outcome::MayHaveRun => BackendOutcome::Failed,
        Outcome::NotRun(_) | Outcome::InProgress | Outcome::NoLongerKnown => {
            BackendOutcome::Unknown
        }
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
    // Checks the deadline again, because the process may have been paused since the last check.
    if Instant::now() >= outgoing.deadline {
        return Outcome::NotRun(NotRun::NoSlotInTime);
    }
    sent.set(true);
    match connection.exchange(&outgoing).await {
        Ok(response) => {
            if Instant::now() < outgoing.deadline {
                pool.put(&address, connection);
            }
            Outcome::Answered(response)
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
