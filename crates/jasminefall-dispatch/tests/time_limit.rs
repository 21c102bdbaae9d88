//! Time limits of forwarded requests.

use std::net::SocketAddr;

use jasminefall_dispatch::message::{Request, Response};
use jasminefall_dispatch::time_limit::{ClockReadings, TimeLimit};
use jasminefall_wire::codec::{decode, encode};
use jasminefall_wire::extended::Extended;

const LEADER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 17_010);
/// The clock of the leader is ahead of the sender's by this time.
const OFFSET_MS: u64 = 70_000;

fn limit_after_reading(remaining_ms: u64, sent_at_ms: u64) -> TimeLimit {
    let mut readings = ClockReadings::default();
    readings.record(LEADER, OFFSET_MS + 3, 0, 6);
    TimeLimit::new(remaining_ms, readings.max_clock_ms(LEADER, sent_at_ms))
}

/// Guards against UNASKED: a request that a cut held up for longer than its sender waited was executed.
#[test]
fn request_that_is_held_up_beyond_its_limit_has_expired() {
    let limit = limit_after_reading(1_800, 100);
    assert!(!limit.has_passed(OFFSET_MS + 100 + 1));
    assert!(!limit.has_passed(OFFSET_MS + 100 + 1_800));
    assert!(limit.has_passed(OFFSET_MS + 100 + 1_900));
}

/// Guards against the refusal of a request in time, since the clock was read from a slow response or long ago.
#[test]
fn request_in_time_is_not_refused_for_an_inexact_clock() {
    let mut readings = ClockReadings::default();
    // The response was on its way for 5 s.
    readings.record(LEADER, OFFSET_MS, 0, 5_000);
    let limit = TimeLimit::new(100, readings.max_clock_ms(LEADER, 5_000));
    assert!(!limit.has_passed(OFFSET_MS + 5_000 + 100));
    // The sender's clock is slow by 2 % for 10 s.
    assert!(!limit_after_reading(100, 9_800).has_passed(OFFSET_MS + 10_000 + 100));
}

#[test]
fn limit_without_a_recent_clock_reading_never_passes() {
    assert!(!limit_after_reading(100, 60_000).has_passed(u64::MAX));
    assert!(!TimeLimit::new(100, None).has_passed(u64::MAX));
}

/// Guards against a bound that a restart makes useless: the clock of a process starts anew.
#[test]
fn clock_of_a_restarted_leader_replaces_the_previous_one() {
    let mut readings = ClockReadings::default();
    readings.record(LEADER, OFFSET_MS, 0, 1);
    readings.record(LEADER, 40, 500, 501);
    assert_eq!(readings.max_clock_ms(LEADER, 501), Some(41));
}

/// Instances of the previous release read and write messages without an extension.
#[test]
fn messages_with_and_without_an_extension_are_read_by_both_releases() {
    let limit = TimeLimit::new(1_800, Some(OFFSET_MS));
    let request = Request::WaveState(6);
    let extended = Extended::new(request.clone()).with_extension(limit);
    let sent = encode(&extended);
    assert_eq!(
        decode::<Request>(&sent).expect("the previous release reads the request"),
        request
    );
    assert_eq!(
        decode::<Extended<Request, TimeLimit>>(&sent).expect("this release reads both"),
        extended
    );
    let response = encode(&Response::Accepted);
    assert_eq!(
        decode::<Extended<Response, u64>>(&response).expect("a response has no extension"),
        Extended::new(Response::Accepted)
    );
}

/// An entry of the previous release can't read responses that it doesn't know.
#[test]
fn earlier_releases_get_only_responses_that_they_know() {
    let accepted = Response::Accepted;
    assert_eq!(accepted.clone().for_earlier_release(), accepted);
    assert_eq!(Response::Expired.for_earlier_release(), Response::Unknown);
    assert!(matches!(
        Response::CancelledEarlier.for_earlier_release(),
        Response::RetryAfter { .. }
    ));
}
