//! Tests of the connection budgets, for outgoing and accepted connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jasminefall_dispatch::http::budget::ConnectionBudget;
use jasminefall_dispatch::http::client::{Connection, RequestError};
use jasminefall_dispatch::http::server::{HttpResponse, Limits, listen, serve};

/// The limit for steps that must succeed; no test asserts a duration.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The limit for requests that wait for a permit that is never released.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Starts a server with a connection limit; returns its address and its number of handled requests.
fn start_server(max_connections: usize) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener =
        listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let request_count = Rc::new(Cell::new(0));
    let counter = request_count.clone();
    let limits = Limits::new(1_000, ConnectionBudget::new(max_connections));
    actix_rt::spawn(serve(listener, limits, Rc::default(), move |_| {
        counter.set(counter.get() + 1);
        std::future::ready(HttpResponse::new(200).with_body("{}"))
    }));
    (address, request_count)
}

#[actix_rt::test]
async fn request_without_permit_is_not_sent_until_one_is_released() {
    let (address, request_count) = start_server(10);
    let budget = ConnectionBudget::new(1);
    let mut first = Connection::new(address).with_budget(budget.clone());
    let mut second = Connection::new(address).with_budget(budget);
    let response = first.send_request(TEST_TIMEOUT, "GET", "/", &[], "").await;
    assert_eq!(response.expect("a permit is free").0, 200);
    let refused = second
        .send_request(SHORT_TIMEOUT, "GET", "/", &[], "")
        .await;
    assert_eq!(
        refused.expect_err("no permit is free"),
        RequestError::NotSent
    );
    assert_eq!(request_count.get(), 1);
    first.close();
    let response = second.send_request(TEST_TIMEOUT, "GET", "/", &[], "").await;
    assert_eq!(response.expect("the permit is released").0, 200);
}

#[actix_rt::test]
async fn connection_over_limit_is_closed_until_another_one_ends() {
    let (address, request_count) = start_server(2);
    let budget = ConnectionBudget::new(10);
    let open_streams: Vec<_> = (0..2)
        .map(|_| {
            std::net::TcpStream::connect(address).expect("the listener accepts within its backlog")
        })
        .collect();
    let mut third = Connection::new(address).with_budget(budget.clone());
    // The listener accepts in the order of connecting, so both permits are in use by then.
    let refused = third.send_request(TEST_TIMEOUT, "GET", "/", &[], "").await;
    assert_eq!(
        refused.expect_err("no permit is free"),
        RequestError::NoResponse
    );
    assert_eq!(request_count.get(), 0);
    drop(open_streams);
    let served = tokio::time::timeout(TEST_TIMEOUT, async {
        while third
            .send_request(TEST_TIMEOUT, "GET", "/", &[], "")
            .await
            .is_err()
        {}
    });
    served
        .await
        .expect("permits are released when connections close");
    assert_eq!(request_count.get(), 1);
}

#[test]
fn budget_is_nearly_exhausted_below_one_fifth_free() {
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
fn budget_shares_leave_descriptors_for_files_and_internal_links() {
    let (accepted, opened) = (
        ConnectionBudget::for_accepted(4_096).total(),
        ConnectionBudget::for_opened(4_096).total(),
    );
    // The platform reserves 200 descriptors for files; each entry of a site of 300 holds one or two
    // links.
    assert!(accepted + opened + 200 + 600 < 4_096);
}
