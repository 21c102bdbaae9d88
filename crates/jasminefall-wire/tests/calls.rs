//! Bytes on a connection, which processes of the previous release read and write during an upgrade.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use jasminefall_replica::prelude::*;
use jasminefall_wire::client::ControlLink;
use jasminefall_wire::handshake::SiteKey;
use jasminefall_wire::link::LinkError;
use jasminefall_wire::server::{ControlService, serve_control};
use sha2::Sha256;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// What each side sends after the handshake, up to the end of the first call.
const STEP: &[u8] = include_bytes!("calls/step.bin");
const STEP_RESPONSE: &[u8] = include_bytes!("calls/step_response.bin");
const FORWARD: &[u8] = include_bytes!("calls/forward.bin");
const FORWARD_RESPONSE: &[u8] = include_bytes!("calls/forward_response.bin");

const KEY: &[u8] = b"the key of the site";
const TIMEOUT: Duration = Duration::from_secs(20);
const CHALLENGE: [u8; 32] = [7; 32];

fn messages() -> Vec<Message> {
    vec![Message {
        from: ReplicaId(1),
        incarnation: Incarnation(3),
        to: ReplicaId(2),
        term: Term(5),
        body: Body::Hello,
    }]
}

/// Returns the proof of a side as the previous release computes it.
fn proof(side: &[u8], server_challenge: &[u8], client_challenge: &[u8]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(KEY).expect("HMAC accepts keys of any length");
    for part in [side, server_challenge, client_challenge] {
        mac.update(part);
    }
    mac.finalize().into_bytes().to_vec()
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    let read = tokio::time::timeout(TIMEOUT, stream.read_exact(&mut bytes)).await;
    read.expect("the bytes arrive in time")
        .expect("the connection stays open");
    bytes
}

/// Performs the handshake of the previous release as a client.
async fn authenticate_as_previous_client(stream: &mut TcpStream) {
    let server_challenge = read(stream, CHALLENGE.len()).await;
    stream.write_all(&CHALLENGE).await.unwrap();
    let own_proof = proof(b"client", &server_challenge, &CHALLENGE);
    stream.write_all(&own_proof).await.unwrap();
    let server_proof = proof(b"server", &server_challenge, &CHALLENGE);
    assert_eq!(read(stream, server_proof.len()).await, server_proof);
}

/// Performs the handshake of the previous release as a server.
async fn authenticate_as_previous_server(stream: &mut TcpStream) {
    stream.write_all(&CHALLENGE).await.unwrap();
    let client_challenge = read(stream, CHALLENGE.len()).await;
    let client_proof = proof(b"client", &CHALLENGE, &client_challenge);
    assert_eq!(read(stream, client_proof.len()).await, client_proof);
    let own_proof = proof(b"server", &CHALLENGE, &client_challenge);
    stream.write_all(&own_proof).await.unwrap();
}

/// Accepts a connection and returns the first bytes that the client sends after the handshake.
async fn sent_by_client(length: usize, call: impl AsyncFnOnce(ControlLink) + 'static) -> Vec<u8> {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = ControlLink::new(listener.local_addr().unwrap(), SiteKey::new(KEY));
        spawn_local(call(link));
        let (mut stream, _) = listener.accept().await.unwrap();
        authenticate_as_previous_server(&mut stream).await;
        read(&mut stream, length).await
    });
    run.await
}

/// Sends bytes to a server and returns the first bytes of its response and what the service received.
async fn response_to(sent: &[u8], length: usize) -> (Vec<u8>, Vec<String>) {
    let received = Rc::new(RefCell::new(Vec::new()));
    let (steps, forwards) = (received.clone(), received.clone());
    let service = ControlService {
        step: Box::new(move |messages| steps.borrow_mut().push(format!("{messages:?}"))),
        propose: Box::new(|_| unreachable!("no command is proposed")),
        renew: Box::new(|_| unreachable!("no lease is renewed")),
        forward: Box::new(move |request| {
            forwards.borrow_mut().push(format!("{request:?}"));
            Box::pin(async { Ok(b"response".to_vec()) })
        }),
    };
    let local = LocalSet::new();
    let run = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(serve_control(listener, SiteKey::new(KEY), service));
        let mut stream = TcpStream::connect(address).await.unwrap();
        authenticate_as_previous_client(&mut stream).await;
        stream.write_all(sent).await.unwrap();
        read(&mut stream, length).await
    });
    let response = run.await;
    (response, received.take())
}

#[tokio::test]
async fn consensus_messages_are_sent_as_in_the_previous_release() {
    let call = async |link: ControlLink| {
        let _ = link.step(TIMEOUT, &messages()).await;
    };
    assert_eq!(sent_by_client(STEP.len(), call).await, STEP);
}

#[tokio::test]
async fn requests_are_forwarded_as_in_the_previous_release() {
    let call = async |link: ControlLink| {
        let _ = link.forward::<_, u8>(TIMEOUT, &300_u64).await;
    };
    assert_eq!(sent_by_client(FORWARD.len(), call).await, FORWARD);
}

#[tokio::test]
async fn consensus_messages_of_the_previous_release_are_received() {
    let (response, received) = response_to(STEP, STEP_RESPONSE.len()).await;
    assert_eq!(received, [format!("{:?}", messages())]);
    assert_eq!(response, STEP_RESPONSE);
}

#[tokio::test]
async fn requests_of_the_previous_release_are_received_and_answered() {
    let (response, received) = response_to(FORWARD, FORWARD_RESPONSE.len()).await;
    assert_eq!(received, ["[172, 2]"]);
    assert_eq!(response, FORWARD_RESPONSE);
}

/// Guards against LOST: calls to an address that doesn't answer connected one after the other, so that each
/// waited for the attempts of those before it, beyond its own time limit.
#[tokio::test]
async fn calls_to_a_silent_address_share_one_attempt_and_end_at_their_own_limits() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Rc::new(RefCell::new(Vec::new()));
        let connections = accepted.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.borrow_mut().push(stream);
            }
        });
        let link = Rc::new(ControlLink::new(address, SiteKey::new(KEY)));
        let calls: Vec<_> = (0..20)
            .map(|_| {
                let link = link.clone();
                spawn_local(async move {
                    let limit = Duration::from_millis(100);
                    link.forward::<_, u8>(limit, &300_u64).await
                })
            })
            .collect();
        for call in calls {
            let outcome = call.await.unwrap();
            assert!(matches!(outcome, Err(LinkError::NotSent(_))), "{outcome:?}");
        }
        assert_eq!(accepted.borrow().len(), 1);
    });
    run.await;
}
