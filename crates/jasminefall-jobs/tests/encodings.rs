//! Encodings of commands and snapshots, which control instances of the previous release read and write
//! during an upgrade.

#[path = "../../jasminefall-replica/tests/support/encodings.rs"]
mod encodings;
#[path = "support/samples.rs"]
mod samples;
#[path = "support/state_samples.rs"]
mod state_samples;

use encodings::{assert_appended_bytes_are_ignored, assert_read, assert_written, parse};
use jasminefall_jobs::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

const COMMANDS: &str = include_str!("encodings/commands.hex");
const SNAPSHOTS: &str = include_str!("encodings/snapshots.hex");
const REPLAYED_SNAPSHOTS: &str = include_str!("encodings/replayed_snapshots.hex");

fn snapshots() -> [(&'static str, JobsState); 2] {
    [
        ("empty", JobsState::default()),
        ("full", state_samples::state()),
    ]
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value can be encoded")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).expect("the bytes are an encoded value")
}

fn encode_snapshot(state: &JobsState) -> Vec<u8> {
    state.to_bytes().expect("the state can be encoded")
}

fn decode_snapshot(bytes: &[u8]) -> JobsState {
    JobsState::from_bytes(bytes).expect("the snapshot is valid")
}

/// Asserts that snapshots begin with the stored bytes; further sections may follow.
fn assert_begin_as_stored(stored: &str, states: &[(&str, JobsState)]) {
    let lengths = parse(stored).map(|(_, bytes)| bytes.len());
    let snapshots: Vec<_> = states
        .iter()
        .zip(lengths.chain(std::iter::repeat(0)))
        .map(|((name, state), length)| {
            let mut bytes = encode_snapshot(state);
            bytes.truncate(length);
            (*name, bytes)
        })
        .collect();
    assert_written(stored, &snapshots, Vec::clone);
}

/// Applies the sample commands with these names, in this order.
fn replay(state: &mut JobsState, names: &[&str]) {
    let commands = state_samples::commands();
    for name in names {
        let (_, command) = commands
            .iter()
            .find(|(command_name, _)| command_name == name)
            .expect("the command has a sample");
        state.apply(command.clone());
    }
}

#[test]
fn commands_are_encoded_as_in_the_previous_release() {
    assert_written(COMMANDS, &state_samples::commands(), encode);
}

#[test]
fn commands_of_the_previous_release_are_decoded() {
    assert_read(COMMANDS, &state_samples::commands(), decode);
}

#[test]
fn bytes_appended_to_a_command_are_ignored() {
    assert_appended_bytes_are_ignored(&state_samples::commands(), encode, decode);
}

#[test]
fn snapshots_begin_with_the_sections_of_the_previous_release() {
    assert_begin_as_stored(SNAPSHOTS, &snapshots());
}

#[test]
fn snapshots_of_the_previous_release_are_decoded() {
    assert_read(SNAPSHOTS, &snapshots(), decode_snapshot);
}

#[test]
fn sections_appended_to_a_snapshot_are_ignored() {
    assert_appended_bytes_are_ignored(&snapshots(), encode_snapshot, decode_snapshot);
}

/// Replicas of both releases apply the same log and must hold the same state.
#[test]
fn replayed_commands_lead_to_the_state_of_the_previous_release() {
    let mut running = JobsState::default();
    replay(
        &mut running,
        &[
            "lead",
            "configure_with_access",
            "submit_with_key",
            "register",
            "record_run_ends",
            "start_wave",
            "record_maintained",
            "record_surge",
        ],
    );
    let mut ended = running.clone();
    replay(&mut ended, &["cancel", "record_ended_jobs", "retire"]);
    let mut forgotten = ended.clone();
    replay(&mut forgotten, &["forget", "submit", "configure"]);
    let states = [
        ("running", running),
        ("ended", ended),
        ("forgotten", forgotten),
    ];
    assert_begin_as_stored(REPLAYED_SNAPSHOTS, &states);
}
