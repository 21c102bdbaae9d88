//! Tests of the authentication of connections.
//!
//! A listener must read only the handshake from a peer that has not authenticated.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_core::prelude::*;
use jasminefall_state::Command;
use jasminefall_state::Outcome;
use jasminefall_wire::client::ControlLink;
use jasminefall_wire::handshake::{SiteKey, authenticate_as_client};
use jasminefall_wire::message::Renewal;
use jasminefall_wire::server::{ControlService, MAX_PENDING_HANDSHAKES, serve_control};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const KEY: &[u8] = b"the key of the site";
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const CHALLENGE_BYTES: usize = 32;

type Calls = Rc<RefCell<Vec<&'static str>>>;

/// Runs a test with a listener and returns the calls that reached the service.
async fn with_listener<F: Future<Output = ()>>(
    test: impl FnOnce(SocketAddr) -> F,
) -> Vec<&'static str> {
    let calls = Calls::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = service(&calls);
    let set = LocalSet::new();
    set.run_until(async {
        tokio::task::spawn_local(serve_control(listener, SiteKey::new(KEY), service));
        test(address).await;
    })
    .await;
    calls.take()
}

fn service(calls: &Calls) -> ControlService {
    let (step_calls, propose_calls, renew_calls) = (calls.clone(), calls.clone(), calls.clone());
    ControlService {
        step: Box::new(move |_| step_calls.borrow_mut().push("step")),
        propose: Box::new(move |_| {
            propose_calls.borrow_mut().push("propose");
            Box::pin(async { Ok(Outcome::Done) })
        }),
        renew: Box::new(move |_| {
            renew_calls.borrow_mut().push("renew");
            let renewal = Renewal {
                lease_ms: Some(DurationMs::ZERO),
                published: None,
            };
            Box::pin(async { Ok(renewal) })
        }),
        forward: Box::new(|request| Box::pin(async { Ok(request) })),
    }
}

/// Reads until the listener closes the connection and returns the number of bytes read.
async fn read_to_end(stream: &mut TcpStream) -> usize {
    let mut bytes = Vec::new();
    // A reset also ends the connection.
    let _ = stream.read_to_end(&mut bytes).await;
    bytes.len()
}

#[tokio::test]
async fn peer_with_site_key_is_served() {
    let calls = with_listener(|address| async move {
        let link = ControlLink::new(address, SiteKey::new(KEY));
        let answer = link.propose(CALL_TIMEOUT, &Command::Tick).await;
        assert!(answer.is_ok_and(|outcome| outcome.is_ok()));
    })
    .await;
    assert_eq!(calls, ["propose"]);
}

#[tokio::test]
async fn peer_with_another_key_gets_no_proof_and_no_service() {
    let calls = with_listener(|address| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let authenticated =
            authenticate_as_client(&mut stream, &SiteKey::new(b"another key")).await;
        assert!(authenticated.is_err());
        let link = ControlLink::new(address, SiteKey::new(b"another key"));
        assert!(link.propose(CALL_TIMEOUT, &Command::Tick).await.is_err());
    })
    .await;
    assert!(calls.is_empty(), "{calls:?}");
}

#[tokio::test]
async fn peer_with_malformed_handshake_receives_only_the_challenge() {
    for sent in [
        vec![],
        vec![0; 16],
        vec![0xff; 1 << 16],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
    ] {
        let calls = with_listener(|address| async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let _ = stream.write_all(&sent).await;
            // After a short message the peer stays silent, so the handshake must time out.
            assert!(read_to_end(&mut stream).await <= CHALLENGE_BYTES);
        })
        .await;
        assert!(calls.is_empty(), "{calls:?}");
    }
}

#[tokio::test]
async fn peer_that_sends_single_bytes_slowly_is_disconnected() {
    let calls = with_listener(|address| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // At this rate the handshake exceeds its timeout.
        while stream.write_all(&[0]).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
    .await;
    assert!(calls.is_empty(), "{calls:?}");
}

#[tokio::test]
async fn silent_connections_do_not_block_a_valid_handshake() {
    let calls = with_listener(|address| async move {
        let mut silent = Vec::new();
        for _ in 0..3 * MAX_PENDING_HANDSHAKES {
            silent.push(TcpStream::connect(address).await.unwrap());
        }
        let link = ControlLink::new(address, SiteKey::new(KEY));
        assert!(link.propose(CALL_TIMEOUT, &Command::Tick).await.is_ok());
        // The oldest connections are closed because too many are pending, before their handshakes
        // time out.
        assert!(read_to_end(&mut silent[0]).await <= CHALLENGE_BYTES);
    })
    .await;
    assert_eq!(calls, ["propose"]);
}
