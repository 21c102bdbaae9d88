//! A process keeps to its share of connections, towards workers and from outside.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_dispatch::http::budget::ConnectionBudget;
use jasminefall_dispatch::http::client::{Connection, RequestError};
use jasminefall_dispatch::http::server::{HttpResponse, Limits, listen, serve};

/// Bounds what a test waits for; no time is asserted.
const PATIENCE: Duration = Duration::from_secs(20);
/// Shorter than a call that waits for a place takes in vain.
const SHORT: Duration = Duration::from_millis(50);

/// Serves so many connections at once; returns where, and how many calls were answered.
fn server(connections: usize) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a listener");
    let address = listener.local_addr().expect("it is bound");
    let answered = Rc::new(Cell::new(0));
    let counted = answered.clone();
    let limits = Limits::new(1_000, ConnectionBudget::new(connections));
    actix_rt::spawn(serve(listener, limits, Rc::default(), move |_| {
        counted.set(counted.get() + 1);
        std::future::ready(HttpResponse::new(200).with_body("{}"))
    }));
    (address, answered)
}

#[actix_rt::test]
async fn a_connection_without_a_place_is_never_sent_and_sent_once_there_is_one() {
    let (address, answered) = server(10);
    let budget = ConnectionBudget::new(1);
    let mut first = Connection::new(address).with_budget(budget.clone());
    let mut second = Connection::new(address).with_budget(budget);
    let answer = first.send_request(PATIENCE, "GET", "/", &[], "").await;
    assert_eq!(answer.expect("there is a place").0, 200);
    let refused = second.send_request(SHORT, "GET", "/", &[], "").await;
    assert_eq!(refused.expect_err("no place"), RequestError::NotSent);
    assert_eq!(answered.get(), 1);
    first.close();
    let answer = second.send_request(PATIENCE, "GET", "/", &[], "").await;
    assert_eq!(answer.expect("the place is free").0, 200);
}

#[actix_rt::test]
async fn a_connection_beyond_the_limit_is_closed_and_the_others_are_served() {
    let (address, answered) = server(2);
    let budget = ConnectionBudget::new(10);
    let held: Vec<_> = (0..2)
        .map(|_| std::net::TcpStream::connect(address).expect("it is accepted"))
        .collect();
    let mut third = Connection::new(address).with_budget(budget.clone());
    // The listener accepts in the order of connecting, so both places are taken by then.
    let refused = third.send_request(PATIENCE, "GET", "/", &[], "").await;
    assert_eq!(refused.expect_err("no place"), RequestError::NoResponse);
    assert_eq!(answered.get(), 0);
    drop(held);
    let served = tokio::time::timeout(PATIENCE, async {
        while third
            .send_request(PATIENCE, "GET", "/", &[], "")
            .await
            .is_err()
        {}
    });
    served.await.expect("places come back");
    assert_eq!(answered.get(), 1);
}

#[test]
fn places_are_scarce_once_less_than_a_fifth_is_left() {
    let budget = ConnectionBudget::new(10);
    let taken: Vec<_> = (0..8).map(|_| budget.try_acquire()).collect();
    assert!(taken.iter().all(Option::is_some));
    assert!(!budget.is_nearly_exhausted());
    let ninth = budget.try_acquire();
    assert!(budget.is_nearly_exhausted());
    drop(ninth);
    assert!(!budget.is_nearly_exhausted());
}

#[test]
fn the_shares_leave_descriptors_for_files_and_for_our_own_processes() {
    let (accepted, opened) = (
        ConnectionBudget::for_accepted(4_096).total(),
        ConnectionBudget::for_opened(4_096).total(),
    );
    // The platform keeps 200 for files; every entry of a site of 300 holds a link or two.
    assert!(accepted + opened + 200 + 600 < 4_096);
}
