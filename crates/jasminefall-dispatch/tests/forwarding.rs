//! Tests of request forwarding while the leader changes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_dispatch::forwarding::{ForwardError, Forwarder, call_leader};
use jasminefall_dispatch::message::{ClientOperation, Request, Response};
use jasminefall_wire::codec::{decode, encode};
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::message::ControlError;
use jasminefall_wire::server::{ControlService, serve_control};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local, yield_now};

const KEY: &[u8] = b"the key of a site under test, 32";
/// The limit of calls that must succeed; far longer than the time to wait for one instance.
const LIMIT: Duration = Duration::from_secs(10);
/// The longest time that an entry forwards a request.
const ENTRY_LIMIT: Duration = Duration::from_millis(1_800);
/// The limit of calls that get a response within some turns of the runtime, or never.
const SHORT_LIMIT: Duration = Duration::from_millis(300);

/// What a follower knows of the group.
#[derive(Clone)]
struct KnownGroup {
    leader: SocketAddr,
    members: Vec<SocketAddr>,
}

/// Models a control instance that records requests and can stop responding.
#[derive(Clone, Default)]
struct ModelledControl {
    /// The wave numbers of the received requests.
    received: Rc<RefCell<Vec<u64>>>,
    is_unresponsive: Rc<Cell<bool>>,
    /// Whether it steps down while the next request waits for a majority.
    steps_down: Rc<Cell<bool>>,
    /// What it names if it isn't the leader itself.
    followed: Rc<RefCell<Option<KnownGroup>>>,
}

impl ModelledControl {
    /// Serves on a loopback address; responds to every read of a wave unless it is unresponsive.
    async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let Self {
            received,
            is_unresponsive,
            steps_down,
            followed,
        } = self.clone();
        let service = ControlService {
            step: Box::new(|_| {}),
            propose: Box::new(|_| Box::pin(async { Err(ControlError::NotLeader(None)) })),
            renew: Box::new(|_| Box::pin(async { Err(ControlError::NotLeader(None)) })),
            forward: Box::new(move |body| {
                let response = match (followed.borrow().clone(), decode(&body)) {
                    (Some(group), _) => Response::NotLeader {
                        leader: Some(group.leader),
                        members: group.members,
                    },
                    (None, Ok(Request::WaveState(number))) => {
                        received.borrow_mut().push(number);
                        Response::Wave { complete: true }
                    }
                    _ if steps_down.take() => Response::Unknown,
                    _ => Response::RetryAfter { after_ms: 1_000 },
                };
                let is_unresponsive = is_unresponsive.get();
                Box::pin(async move {
                    if is_unresponsive {
                        std::future::pending::<()>().await;
                    }
                    Ok(encode(&response))
                })
            }),
        };
        spawn_local(serve_control(listener, SiteKey::new(KEY), service));
        address
    }

    fn received(&self) -> Vec<u64> {
        self.received.borrow().clone()
    }

    /// Makes the instance follow a leader of a group with these members.
    fn follow(&self, leader: SocketAddr, members: &[SocketAddr]) {
        let members = members.to_vec();
        self.followed.replace(Some(KnownGroup { leader, members }));
    }

    /// Waits until the request for the wave with this number has been received.
    async fn wait_for_request(&self, number: u64) {
        while !self.received.borrow().contains(&number) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Returns a previous and a new leader, their addresses, and a forwarder that tries the previous one first.
async fn two_leaders() -> (
    ModelledControl,
    ModelledControl,
    Vec<SocketAddr>,
    Rc<Forwarder>,
) {
    let (previous, new) = (ModelledControl::default(), ModelledControl::default());
    let seeds = vec![previous.serve().await, new.serve().await];
    let forwarder = Rc::new(Forwarder::new(SiteKey::new(KEY), seeds.clone()));
    (previous, new, seeds, forwarder)
}

#[tokio::test]
async fn in_flight_calls_to_unresponsive_leader_move_to_new_leader_before_later_calls() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (previous_leader, new_leader, seeds, forwarder) = two_leaders().await;
            let call = |number| {
                let forwarder = forwarder.clone();
                spawn_local(
                    async move { forwarder.forward(LIMIT, &Request::WaveState(number)).await },
                )
            };
            call(0).await.unwrap().unwrap();
            assert_eq!(forwarder.leader(), Some(seeds[0]));

            previous_leader.is_unresponsive.set(true);
            let first = call(1);
            previous_leader.wait_for_request(1).await;
            // Half of the time for which the first call waits for the unresponsive leader.
            tokio::time::sleep(Duration::from_millis(400)).await;
            let second = call(2);
            previous_leader.wait_for_request(2).await;

            first.await.unwrap().unwrap();
            assert_eq!(forwarder.leader(), Some(seeds[1]));
            yield_now().await;
            call(3).await.unwrap().unwrap();
            assert_eq!(
                new_leader.received(),
                [1, 2, 3],
                "the second call was sent to the new leader before the third"
            );
            second.await.unwrap().unwrap();
        })
        .await;
}

/// Returns an address that accepts connections and never answers, as long as the listener is kept.
async fn silent_address() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

/// Guards against LOST: requests waited for one dead address after the other, and for each other's attempts.
#[tokio::test]
async fn requests_find_the_leader_behind_dead_addresses_at_any_rate() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let mut listeners = Vec::new();
            let mut seeds = Vec::new();
            for _ in 0..5 {
                let (address, listener) = silent_address().await;
                seeds.push(address);
                listeners.push(listener);
            }
            let (refusing, listener) = silent_address().await;
            drop(listener);
            seeds.push(refusing);
            let leader = ModelledControl::default();
            seeds.push(leader.serve().await);
            let forwarder = Rc::new(Forwarder::new(SiteKey::new(KEY), seeds.clone()));
            let calls: Vec<_> = (0..60)
                .map(|number| {
                    let forwarder = forwarder.clone();
                    spawn_local(async move {
                        tokio::time::sleep(Duration::from_millis(10 * number)).await;
                        forwarder
                            .forward(ENTRY_LIMIT, &Request::WaveState(number))
                            .await
                    })
                })
                .collect();
            for call in calls {
                call.await.unwrap().expect("the leader is found");
            }
            assert_eq!(forwarder.leader(), seeds.last().copied());
        })
        .await;
}

/// Guards against LOST: each request began the search anew, and none lasted until it came to the leader.
#[tokio::test]
async fn requests_with_short_limits_find_the_leader_behind_dead_addresses() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let mut listeners = Vec::new();
            let mut seeds = Vec::new();
            for _ in 0..20 {
                let (address, listener) = silent_address().await;
                seeds.push(address);
                listeners.push(listener);
            }
            seeds.push(ModelledControl::default().serve().await);
            let forwarder = Forwarder::new(SiteKey::new(KEY), seeds);
            let mut answered = 0;
            for number in 0..40 {
                let request = Request::WaveState(number);
                answered += u64::from(forwarder.forward(SHORT_LIMIT, &request).await.is_ok());
            }
            assert!(answered > 0);
        })
        .await;
}

/// Guards against LOST: an entry knew only members that had all been replaced since the leader changed last.
#[tokio::test]
async fn leader_is_found_after_all_members_known_from_its_election_are_replaced() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (first_leader, follower) = (ModelledControl::default(), ModelledControl::default());
            let seeds = vec![follower.serve().await, first_leader.serve().await];
            follower.follow(seeds[1], &seeds);
            let forwarder = Forwarder::new(SiteKey::new(KEY), seeds.clone());
            forwarder.forward(LIMIT, &submission()).await.unwrap();
            assert_eq!(forwarder.leader(), Some(seeds[1]));

            let (new_leader, new_follower) =
                (ModelledControl::default(), ModelledControl::default());
            let members = [new_leader.serve().await, new_follower.serve().await];
            follower.follow(seeds[1], &members);
            forwarder.refresh_members().await;

            first_leader.is_unresponsive.set(true);
            follower.follow(seeds[1], &seeds);
            new_follower.follow(members[0], &members);
            forwarder
                .forward(LIMIT, &Request::WaveState(1))
                .await
                .unwrap();
            assert_eq!(forwarder.leader(), Some(members[0]));
        })
        .await;
}

/// Guards against requests to a lost leader that followers still name.
#[tokio::test]
async fn leader_that_only_others_name_gets_no_requests() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (follower, leader) = (ModelledControl::default(), ModelledControl::default());
            let (lost, _listener) = silent_address().await;
            let seeds = vec![follower.serve().await, leader.serve().await];
            follower.follow(lost, &[lost, seeds[0], seeds[1]]);
            let forwarder = Forwarder::new(SiteKey::new(KEY), seeds.clone());
            forwarder
                .forward(LIMIT, &Request::WaveState(1))
                .await
                .unwrap();
            assert_eq!(forwarder.leader(), Some(seeds[1]));
            assert_eq!(leader.received(), [1]);
        })
        .await;
}

fn submission() -> Request {
    Request::Client {
        host: "layouts.example".into(),
        path: "/builds/5c0e7a21d94b36f8".into(),
        call: ClientOperation::Submit(Box::default()),
    }
}

/// Guards against REFUSED: a client was told that its job never runs, by the response to the second copy of the
/// submission, and the first one was accepted later.
#[tokio::test]
async fn refusal_of_a_submission_is_no_answer_while_another_copy_is_under_way() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (previous_leader, _new_leader, seeds, forwarder) = two_leaders().await;
            let refused = forwarder.forward(LIMIT, &submission()).await;
            assert_eq!(refused, Ok(Response::RetryAfter { after_ms: 1_000 }));
            assert_eq!(forwarder.leader(), Some(seeds[0]));

            previous_leader.is_unresponsive.set(true);
            let refused = forwarder.forward(LIMIT, &submission()).await;
            assert_eq!(refused, Err(ForwardError::Unknown));
            assert_eq!(forwarder.leader(), Some(seeds[1]));
        })
        .await;
}

/// Guards against REFUSED: a leader stepped down while a submission waited for a majority, the next leader refused the second
/// copy since its key had been revoked, and started the job of the first copy.
#[tokio::test]
async fn refusal_of_a_submission_is_no_answer_after_a_leader_stepped_down_with_another_copy() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (previous_leader, _new_leader, seeds, forwarder) = two_leaders().await;
            forwarder.forward(LIMIT, &submission()).await.unwrap();
            assert_eq!(forwarder.leader(), Some(seeds[0]));

            previous_leader.steps_down.set(true);
            let refused = forwarder.forward(LIMIT, &submission()).await;
            assert_eq!(refused, Err(ForwardError::Unknown));
        })
        .await;
}

/// Calls the leader while the known leader goes through `changes`, given as ports; the instance at
/// port `unresponsive` never responds. Returns the result and the called ports.
async fn call_during_changes(
    changes: &[Option<u16>],
    unresponsive: u16,
) -> (Result<Response, ForwardError>, Vec<u16>) {
    let address_at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let leader = watch::Sender::new(None);
    let called = RefCell::new(Vec::new());
    let call = async |address: SocketAddr, _remaining| {
        called.borrow_mut().push(address.port());
        if address.port() == unresponsive {
            std::future::pending::<()>().await;
        }
        Ok(Response::Accepted)
    };
    let response = call_leader(leader.subscribe(), SHORT_LIMIT, call);
    let changes = async {
        for change in changes {
            leader.send_replace(change.map(address_at));
            // Lets the call process each change before the next one.
            for _ in 0..3 {
                yield_now().await;
            }
        }
    };
    let (response, ()) = tokio::join!(response, changes);
    (response, called.into_inner())
}

#[tokio::test]
async fn call_waiting_for_previous_or_unknown_leader_is_repeated_at_new_leader() {
    let (response, called) = call_during_changes(&[Some(1), None, Some(2)], 1).await;
    assert_eq!(response, Ok(Response::Accepted));
    assert_eq!(called, [1, 2]);
}

#[tokio::test]
async fn call_without_response_is_not_executed_if_no_leader_was_known_else_unknown() {
    let (response, called) = call_during_changes(&[None], 1).await;
    assert_eq!((response, called), (Err(ForwardError::NotExecuted), vec![]));
    let (response, called) = call_during_changes(&[Some(1), None], 1).await;
    assert_eq!((response, called), (Err(ForwardError::Unknown), vec![1]));
}
