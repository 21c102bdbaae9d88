//! Finding the leader, and forwarding calls to it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jasminefall_wire::client::ControlLink;
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::link::LinkError;
use tokio::sync::watch;

use crate::message::{Request, Response};
use crate::unresponsive::UnresponsiveInstances;

/// How long callers stay away after a call that no leader took, in seconds; an election takes one.
pub const NO_LEADER_RETRY_S: u64 = 1;
/// The pause after every known control instance has been asked in vain; an election takes a second.
const ROUND_PAUSE: Duration = Duration::from_millis(60);
/// How long one instance may take to answer; a commit on slow disks takes a few hundred milliseconds.
const TRY_TIMEOUT: Duration = Duration::from_millis(800);

/// Says why a call was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// No leader has taken the call: nothing has been done, and nothing will be.
    NotExecuted,
    /// A control instance may have taken the call.
    Unknown,
}

/// Makes a call to whichever instance leads, as far as the caller's own process knows.
///
/// A call that waits for an earlier leader, or for any, goes to the next one as soon as that is known:
/// workers that were told of no leader announce themselves again only seconds later.
///
/// # Errors
///
/// Returns [`ForwardError`] where no leader answered within `limit`.
pub async fn call_leader(
    mut leader: watch::Receiver<Option<SocketAddr>>,
    limit: Duration,
    call: impl AsyncFn(SocketAddr, Duration) -> Result<Response, ForwardError>,
) -> Result<Response, ForwardError> {
    let deadline = Instant::now() + limit;
    let mut may_be_taken = false;
    loop {
        let known = *leader.borrow_and_update();
        let left = deadline.saturating_duration_since(Instant::now());
        let answered = async {
            match known {
                Some(known) => call(known, left).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            answer = answered => {
                return match answer {
                    Err(ForwardError::NotExecuted) if may_be_taken => Err(ForwardError::Unknown),
                    answer => answer,
                };
            }
            Ok(()) = leader.changed() => may_be_taken |= known.is_some(),
            () = tokio::time::sleep(left) => {
                may_be_taken |= known.is_some();
                return Err(if may_be_taken { ForwardError::Unknown } else { ForwardError::NotExecuted });
            }
        }
    }
}

/// Forwards calls to whichever control instance leads.
pub struct Forwarder {
    key: SiteKey,
    known: RefCell<Known>,
    /// The instance that was the last to answer as the leader.
    answered_by: watch::Sender<Option<SocketAddr>>,
}

#[derive(Default)]
struct Known {
    seeds: Vec<SocketAddr>,
    members: BTreeSet<SocketAddr>,
    leader: Option<SocketAddr>,
    unresponsive: UnresponsiveInstances,
    links: BTreeMap<SocketAddr, Rc<ControlLink>>,
}

impl Forwarder {
    /// Creates a forwarder that finds control through the peer addresses of some instances.
    #[must_use]
    pub fn new(key: SiteKey, seeds: Vec<SocketAddr>) -> Self {
        let known = Known {
            seeds,
            ..Known::default()
        };
        Self {
            key,
            known: RefCell::new(known),
            answered_by: watch::Sender::new(None),
        }
    }

    /// Exchanges the seeds for others.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.known.borrow_mut().seeds = seeds;
    }

    /// Returns the instance that was last known to lead.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddr> {
        self.known.borrow().leader
    }

    /// Forwards a call and returns the leader's answer.
    ///
    /// Calls carry keys of their own, so one that may have been taken is sent again as it is. One that
    /// still waits for an earlier leader when another instance has answered as the leader is sent there
    /// at once: the earlier one no longer decides, and calls made later must not overtake it.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardError`] where no leader answered within `limit`.
    pub async fn forward(
        &self,
        limit: Duration,
        request: &Request,
    ) -> Result<Response, ForwardError> {
        let deadline = Instant::now() + limit;
        let mut may_be_taken = false;
        let mut tried = BTreeSet::new();
        loop {
            let Some(address) = self.next_to_try(&tried) else {
                tried.clear();
                if Instant::now() + ROUND_PAUSE >= deadline {
                    break;
                }
                tokio::time::sleep(ROUND_PAUSE).await;
                continue;
            };
            tried.insert(address);
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let link = self.link(address);
            let answer = tokio::select! {
                answer = link.forward(left.min(TRY_TIMEOUT), request) => answer,
                leader = self.answered_by_other(address) => {
                    log::info!("event=forward_moved from={address} to={leader}");
                    may_be_taken = true;
                    tried.remove(&leader);
                    continue;
                }
            };
            match answer {
                Ok(Response::NotLeader { leader, members }) => {
                    let leader = leader.filter(|leader| !self.is_silent(*leader));
                    self.learn(leader, &members, address);
                    if let Some(leader) = leader {
                        tried.remove(&leader);
                        tried.insert(address);
                    }
                }
                Ok(Response::Unknown) => may_be_taken = true,
                Ok(answer) => {
                    self.note_leader(address);
                    return Ok(answer);
                }
                Err(error) => may_be_taken |= self.note_failure(address, &error),
            }
        }
        Err(if may_be_taken {
            ForwardError::Unknown
        } else {
            ForwardError::NotExecuted
        })
    }

    /// Notes that an instance has answered as the leader.
    fn note_leader(&self, address: SocketAddr) {
        let mut known = self.known.borrow_mut();
        known.leader = Some(address);
        known.unresponsive.remove(address);
        self.answered_by
            .send_if_modified(|before| before.replace(address) != Some(address));
    }

    /// Notes that an instance gave no answer; returns whether it may have taken the call.
    fn note_failure(&self, address: SocketAddr, error: &LinkError) -> bool {
        let may_be_taken = match error {
            LinkError::NotSent(error) => {
                log::debug!("event=forward_failed to={address} error=\"{error}\"");
                false
            }
            LinkError::Unknown(error) => {
                log::warn!("event=forward_unanswered to={address} error=\"{error}\"");
                self.note_silence(address);
                true
            }
        };
        self.forget_leader(address);
        may_be_taken
    }

    /// Waits until another instance than this one has answered as the leader.
    async fn answered_by_other(&self, address: SocketAddr) -> SocketAddr {
        let mut answered_by = self.answered_by.subscribe();
        while answered_by.changed().await.is_ok() {
            let leader = *answered_by.borrow_and_update();
            if let Some(leader) = leader.filter(|leader| *leader != address) {
                return leader;
            }
        }
        std::future::pending().await
    }

    fn next_to_try(&self, tried: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let known = self.known.borrow();
        let members = known.members.iter().copied();
        let order = known
            .leader
            .into_iter()
            .chain(members)
            .chain(known.seeds.iter().copied());
        let now = Instant::now();
        order
            .into_iter()
            .find(|address| !tried.contains(address) && !known.unresponsive.contains(*address, now))
    }

    fn is_silent(&self, address: SocketAddr) -> bool {
        let known = self.known.borrow();
        known.unresponsive.contains(address, Instant::now())
    }

    fn note_silence(&self, address: SocketAddr) {
        let mut known = self.known.borrow_mut();
        known.unresponsive.insert(address, Instant::now());
    }

    fn link(&self, address: SocketAddr) -> Rc<ControlLink> {
        let mut known = self.known.borrow_mut();
        let create = || Rc::new(ControlLink::new(address, self.key.clone()));
        known.links.entry(address).or_insert_with(create).clone()
    }

    fn learn(&self, leader: Option<SocketAddr>, members: &[SocketAddr], asked: SocketAddr) {
        let mut known = self.known.borrow_mut();
        if !members.is_empty() {
            known.members = members.iter().copied().collect();
        }
        let led = known.leader;
        if leader.is_some() && leader != led {
            log::info!("event=leader_found leader={leader:?} before={led:?} told_by={asked}");
        }
        if leader.is_some() || led == Some(asked) {
            known.leader = leader;
        }
    }

    fn forget_leader(&self, address: SocketAddr) {
        let mut known = self.known.borrow_mut();
        if known.leader == Some(address) {
            log::warn!("event=leader_lost leader={address}");
            known.leader = None;
        }
    }
}
