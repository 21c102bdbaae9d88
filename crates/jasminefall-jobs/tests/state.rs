//! What the control replicas agree on, and its snapshots.

use jasminefall_jobs::prelude::*;
use jasminefall_jobs::state::RiseNote;

fn with_a_rise() -> JobsState {
    let mut state = JobsState::default();
    state.apply(Command::Lead);
    state.apply(Command::NoteRise {
        pool: "render".into(),
        rise: RiseNote {
            began_at_ms: 5_000,
            height_millis: 90_000,
        },
    });
    state
}

#[test]
fn a_snapshot_holds_the_whole_state() {
    let state = with_a_rise();
    let bytes = state.to_bytes().expect("it is encoded");
    assert_eq!(JobsState::from_bytes(&bytes).expect("it is read"), state);
}

/// Versions before the rises were noted wrote everything up to the waves.
#[test]
fn a_snapshot_of_an_earlier_version_is_read() {
    let state = with_a_rise();
    let earlier = postcard::to_stdvec(&state).expect("it is encoded");
    let read = JobsState::from_bytes(&earlier).expect("it is read");
    assert!(read.rises.is_empty());
    assert_eq!(read.leaderships, state.leaderships);
}

#[test]
fn a_snapshot_that_is_cut_short_is_refused() {
    let bytes = with_a_rise().to_bytes().expect("it is encoded");
    assert!(JobsState::from_bytes(&bytes[..bytes.len() - 3]).is_err());
}
