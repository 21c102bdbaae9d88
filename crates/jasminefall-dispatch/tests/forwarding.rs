//! Which control instance answers calls while the leader changes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_dispatch::forwarding::{ForwardError, Forwarder, call_leader};
use jasminefall_dispatch::message::{Request, Response};
use jasminefall_wire::codec::{decode, encode};
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::message::ControlError;
use jasminefall_wire::server::{ControlService, serve_control};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local, yield_now};

const KEY: &[u8] = b"the key of a site under test, 32";
/// How long a call may take; far longer than one instance is waited for.
const LIMIT: Duration = Duration::from_secs(10);
/// The limit of calls that are answered within some turns of the runtime, or never.
const SHORT_LIMIT: Duration = Duration::from_millis(300);

/// Models a control instance: the calls that have reached it, and what it answers them.
#[derive(Clone, Default)]
struct ModelledControl {
    asked: Rc<RefCell<Vec<u64>>>,
    is_silent: Rc<Cell<bool>>,
}

impl ModelledControl {
    /// Serves on a loopback address; answers every read of a wave unless it is silent.
    async fn serve(&self) -> SocketAddr {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let Self { asked, is_silent } = self.clone();
        let service = ControlService {
            step: Box::new(|_| {}),
            propose: Box::new(|_| Box::pin(async { Err(ControlError::NotLeader(None)) })),
            renew: Box::new(|_| Box::pin(async { Err(ControlError::NotLeader(None)) })),
            forward: Box::new(move |body| {
                if let Ok(Request::WaveState(number)) = decode(&body) {
                    asked.borrow_mut().push(number);
                }
                let is_silent = is_silent.get();
                Box::pin(async move {
                    if is_silent {
                        std::future::pending::<()>().await;
                    }
                    Ok(encode(&Response::Wave { complete: true }))
                })
            }),
        };
        spawn_local(serve_control(listener, SiteKey::new(KEY), service));
        address
    }

    fn asked(&self) -> Vec<u64> {
        self.asked.borrow().clone()
    }

    /// Waits until a call has reached it.
    async fn is_asked(&self, number: u64) {
        while !self.asked.borrow().contains(&number) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

#[tokio::test]
async fn calls_under_way_to_a_silent_leader_move_to_the_next_one_before_later_calls() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (earlier, later) = (ModelledControl::default(), ModelledControl::default());
            let seeds = vec![earlier.serve().await, later.serve().await];
            let forwarder = Rc::new(Forwarder::new(SiteKey::new(KEY), seeds.clone()));
            let call = |number| {
                let forwarder = forwarder.clone();
                spawn_local(
                    async move { forwarder.forward(LIMIT, &Request::WaveState(number)).await },
                )
            };
            call(0).await.unwrap().unwrap();
            assert_eq!(forwarder.leader(), Some(seeds[0]));

            earlier.is_silent.set(true);
            let first = call(1);
            earlier.is_asked(1).await;
            // Half of the time for which the first call waits for the silent leader.
            tokio::time::sleep(Duration::from_millis(400)).await;
            let second = call(2);
            earlier.is_asked(2).await;

            first.await.unwrap().unwrap();
            assert_eq!(forwarder.leader(), Some(seeds[1]));
            yield_now().await;
            call(3).await.unwrap().unwrap();
            assert_eq!(
                later.asked(),
                [1, 2, 3],
                "the second call was sent to the next leader before the third"
            );
            second.await.unwrap().unwrap();
        })
        .await;
}

/// Models what an instance knows of the leader, and instances that answer or don't.
async fn follow(
    changes: &[Option<u16>],
    silent: u16,
) -> (Result<Response, ForwardError>, Vec<u16>) {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let leader = watch::Sender::new(None);
    let called = RefCell::new(Vec::new());
    let call = async |address: SocketAddr, _left| {
        called.borrow_mut().push(address.port());
        if address.port() == silent {
            std::future::pending::<()>().await;
        }
        Ok(Response::Accepted)
    };
    let answer = call_leader(leader.subscribe(), SHORT_LIMIT, call);
    let changes = async {
        for change in changes {
            leader.send_replace(change.map(at));
            // The call goes on with each change before the next one.
            for _ in 0..3 {
                yield_now().await;
            }
        }
    };
    let (answer, ()) = tokio::join!(answer, changes);
    (answer, called.into_inner())
}

#[tokio::test]
async fn a_call_that_waits_for_an_earlier_leader_or_for_any_goes_to_the_next_one() {
    let (answer, called) = follow(&[Some(1), None, Some(2)], 1).await;
    assert_eq!(answer, Ok(Response::Accepted));
    assert_eq!(called, [1, 2]);
}

#[tokio::test]
async fn a_call_that_no_leader_took_is_known_not_to_have_been() {
    let (answer, called) = follow(&[None], 1).await;
    assert_eq!((answer, called), (Err(ForwardError::NotExecuted), vec![]));
    let (answer, called) = follow(&[Some(1), None], 1).await;
    assert_eq!((answer, called), (Err(ForwardError::Unknown), vec![1]));
}
