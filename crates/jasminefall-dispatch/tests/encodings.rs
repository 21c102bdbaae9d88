//! Encodings of forwarded requests and their responses, which entries and control instances of the previous
//! release read and write during an upgrade.

#[path = "../../jasminefall-replica/tests/support/encodings.rs"]
mod encodings;
#[path = "../../jasminefall-jobs/tests/support/samples.rs"]
mod samples;

use encodings::{assert_appended_bytes_are_ignored, assert_read, assert_written};
use jasminefall_dispatch::message::{ClientOperation, Request, Response};
use jasminefall_dispatch::settings::{replica_address, replica_id_at};
use jasminefall_jobs::prelude::*;
use jasminefall_replica::prelude::*;
use jasminefall_wire::codec::encode;
use serde::de::DeserializeOwned;

const REQUESTS: &str = include_str!("encodings/requests.hex");
const RESPONSES: &str = include_str!("encodings/responses.hex");

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    jasminefall_wire::codec::decode(bytes).expect("the bytes are an encoded message")
}

/// Returns one client request for each operation and one request of each other variant, with a name.
fn requests() -> Vec<(&'static str, Request)> {
    let client = |call| Request::Client {
        host: "layouts.example".into(),
        path: "/builds/5c0e7a21d94b36f8".into(),
        call,
    };
    let requests = [
        client(ClientOperation::Submit(Box::new(samples::job_spec()))),
        client(ClientOperation::Read),
        client(ClientOperation::Cancel),
        client(ClientOperation::SubmitInvalid("no steps".into())),
        Request::Heartbeat(Box::new(samples::heartbeat())),
        Request::Departure("i-30cdeaaa8f".into()),
        Request::PutConfiguration(Box::new(samples::configuration())),
        Request::ReadConfiguration,
        Request::StartWave(6, Box::new(samples::wave())),
        Request::WaveState(6),
        Request::ClientWithKey {
            host: "layouts.example".into(),
            path: "/builds/".into(),
            operation: ClientOperation::Read,
            api_key: samples::api_key(),
        },
        Request::PutConfigurationWithAccess(
            Box::new(samples::configuration()),
            Box::new(samples::access()),
        ),
    ];
    let named = requests.into_iter();
    named
        .map(|request| (request_name(&request), request))
        .collect()
}

/// Returns the name of a variant; a control instance fails the call if its release does not know a variant.
fn request_name(request: &Request) -> &'static str {
    match request {
        Request::Client { call, .. } => match call {
            ClientOperation::Submit(_) => "client_submit",
            ClientOperation::Read => "client_read",
            ClientOperation::Cancel => "client_cancel",
            ClientOperation::SubmitInvalid(_) => "client_submit_invalid",
        },
        Request::Heartbeat(_) => "heartbeat",
        Request::Departure(_) => "departure",
        Request::PutConfiguration(_) => "put_configuration",
        Request::ReadConfiguration => "read_configuration",
        Request::StartWave(..) => "start_wave",
        Request::WaveState(_) => "wave_state",
        Request::ClientWithKey { .. } => "client_with_key",
        Request::PutConfigurationWithAccess(..) => "put_configuration_with_access",
    }
}

/// Returns one response of each variant, with a name.
fn responses() -> Vec<(&'static str, Response)> {
    let address = "10.1.0.9:17010".parse().expect("the address is valid");
    let other_address = "[fd00::1]:17010".parse().expect("the address is valid");
    let responses = [
        Response::NotLeader {
            leader: Some(address),
            members: vec![address, other_address],
        },
        Response::Unknown,
        Response::NoConfiguration,
        Response::NoQueue,
        Response::NotFound,
        Response::Invalid("no steps".into()),
        Response::Accepted,
        Response::RetryAfter { after_ms: 1_500 },
        Response::Status(JobStatus::Queued),
        Response::Status(JobStatus::Running),
        Response::Status(JobStatus::Completed),
        Response::Status(JobStatus::Failed),
        Response::Status(JobStatus::Cancelled),
        Response::Waiting(300),
        Response::HeartbeatNoted {
            next: Some("10.1.0.9:17003".into()),
        },
        Response::Document(b"{\"version\":7}".to_vec()),
        Response::Wave { complete: true },
        Response::Unauthorized,
        Response::CancelledEarlier,
        Response::Expired,
    ];
    let named = responses.into_iter();
    named
        .map(|response| (response_name(&response), response))
        .collect()
}

/// Returns the name of a variant; an entry takes a response that its release does not know for a failure.
fn response_name(response: &Response) -> &'static str {
    match response {
        Response::NotLeader { .. } => "not_leader",
        Response::Unknown => "unknown",
        Response::NoConfiguration => "no_configuration",
        Response::NoQueue => "no_queue",
        Response::NotFound => "not_found",
        Response::Invalid(_) => "invalid",
        Response::Accepted => "accepted",
        Response::RetryAfter { .. } => "retry_after",
        Response::Status(JobStatus::Queued) => "status_queued",
        Response::Status(JobStatus::Running) => "status_running",
        Response::Status(JobStatus::Completed) => "status_completed",
        Response::Status(JobStatus::Failed) => "status_failed",
        Response::Status(JobStatus::Cancelled) => "status_cancelled",
        Response::Waiting(_) => "waiting",
        Response::HeartbeatNoted { .. } => "heartbeat_noted",
        Response::Document(_) => "document",
        Response::Wave { .. } => "wave",
        Response::Unauthorized => "unauthorized",
        Response::CancelledEarlier => "cancelled_earlier",
        Response::Expired => "expired",
    }
}

#[test]
fn requests_are_encoded_as_in_the_previous_release() {
    assert_written(REQUESTS, &requests(), encode);
}

#[test]
fn requests_of_the_previous_release_are_decoded() {
    assert_read(REQUESTS, &requests(), decode);
}

#[test]
fn bytes_appended_to_a_request_are_ignored() {
    assert_appended_bytes_are_ignored(&requests(), encode, decode);
}

#[test]
fn responses_are_encoded_as_in_the_previous_release() {
    assert_written(RESPONSES, &responses(), encode);
}

#[test]
fn responses_of_the_previous_release_are_decoded() {
    assert_read(RESPONSES, &responses(), decode);
}

#[test]
fn bytes_appended_to_a_response_are_ignored() {
    assert_appended_bytes_are_ignored(&responses(), encode, decode);
}

/// A replica with another identifier than before would count as a new member with the files of another one.
#[test]
fn replica_keeps_the_identifier_of_the_previous_release() {
    let address = "10.1.0.9:17010".parse().expect("the address is valid");
    let replica = ReplicaId(0x0a01_0009_4272);
    assert_eq!(replica_id_at(address), replica);
    assert_eq!(replica_address(replica), Some(address));
}
