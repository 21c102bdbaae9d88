//! Encodings of messages and files, which replicas of the previous release read and write during an upgrade.

#[path = "support/encodings.rs"]
mod encodings;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

use encodings::{assert_appended_bytes_are_ignored, assert_read, assert_written, parse};
use jasminefall_replica::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tempfile::TempDir;

const MESSAGES: &str = include_str!("encodings/messages.hex");
const FILES: &str = include_str!("encodings/files.hex");
const COMPACTED_FILES: &str = include_str!("encodings/compacted_files.hex");

const INCARNATION: Incarnation = Incarnation(1_700_000_000_123);
const HARD_STATE: HardState = HardState {
    term: Term(5),
    voted_for: Some(ReplicaId(3)),
};

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value can be encoded")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).expect("the bytes are an encoded value")
}

fn membership() -> Membership {
    Membership {
        voters: BTreeSet::from([ReplicaId(1), ReplicaId(2)]),
        learners: BTreeSet::from([ReplicaId(300)]),
        incarnations: BTreeMap::from([(ReplicaId(2), INCARNATION)]),
    }
}

/// Returns consecutive entries with one payload of each kind.
fn entries() -> Vec<Entry> {
    let payloads = [
        Payload::Noop,
        Payload::Command(b"command".to_vec()),
        Payload::Membership(membership()),
    ];
    let numbered = (1..).zip(payloads);
    let entries = numbered.map(|(index, payload)| Entry {
        index: LogIndex(index),
        term: Term(4),
        payload,
    });
    entries.collect()
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: LogIndex(2),
        term: Term(4),
        membership: membership(),
        state: b"state".to_vec(),
    }
}

/// Returns one message with each body, with a name.
fn messages() -> Vec<(&'static str, Message)> {
    let bodies = [
        Body::VoteRequest {
            pre: true,
            last_index: LogIndex(11),
            last_term: Term(4),
        },
        Body::VoteReply {
            pre: false,
            granted: true,
        },
        Body::Append {
            previous_index: LogIndex(10),
            previous_term: Term(4),
            entries: entries(),
            commit: LogIndex(9),
            sent_at_ms: 482_113,
        },
        Body::AppendReply {
            accepted: true,
            match_index: LogIndex(12),
            sent_at_ms: 482_114,
        },
        Body::SnapshotChunk {
            index: LogIndex(8),
            term: Term(4),
            membership: membership(),
            offset_bytes: 256,
            total_bytes: 1_000,
            data: b"chunk".to_vec(),
            sent_at_ms: 482_115,
        },
        Body::SnapshotReply {
            index: LogIndex(8),
            received_bytes: 512,
            sent_at_ms: 482_116,
        },
        Body::Join {
            unformed: true,
            heard: INCARNATION,
        },
        Body::Hello,
        Body::ObservedState {
            incarnation: INCARNATION,
            term: Term(6),
            acknowledged: (Term(4), LogIndex(13)),
        },
    ];
    let messages = bodies.into_iter().map(|body| {
        let message = Message {
            from: ReplicaId(1),
            incarnation: INCARNATION,
            to: ReplicaId(2),
            term: Term(5),
            body,
        };
        (body_name(&message.body), message)
    });
    messages.collect()
}

/// Returns the name of a variant; a replica drops all messages of a call with a variant that its release
/// does not know.
fn body_name(body: &Body) -> &'static str {
    match body {
        Body::VoteRequest { .. } => "vote_request",
        Body::VoteReply { .. } => "vote_reply",
        Body::Append { .. } => "append",
        Body::AppendReply { .. } => "append_reply",
        Body::SnapshotChunk { .. } => "snapshot_chunk",
        Body::SnapshotReply { .. } => "snapshot_reply",
        Body::Join { .. } => "join",
        Body::Hello => "hello",
        Body::ObservedState { .. } => "observed_state",
    }
}

/// Returns the names and contents of the files in a folder.
fn read_files(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let files = fs::read_dir(folder).expect("the folder exists");
    let mut files: Vec<_> = files
        .map(|file| {
            let path = file.expect("the folder can be listed").path();
            let name = path.file_name().expect("the path names a file");
            let content = fs::read(&path).expect("the file can be read");
            (name.to_string_lossy().into_owned(), content)
        })
        .collect();
    files.sort();
    files
}

fn assert_files(stored: &str, folder: &Path) {
    let files = read_files(folder);
    let files: Vec<_> = files
        .iter()
        .map(|(name, content)| (name.as_str(), content))
        .collect();
    assert_written(stored, &files, |content| content.to_vec());
}

/// Stores the files in a folder and opens it.
fn open_stored(stored: &str) -> RecoveredState {
    let folder = TempDir::new().expect("a temporary folder can be created");
    for (name, content) in parse(stored) {
        fs::write(folder.path().join(name), content).expect("the folder can be written");
    }
    let opened = Storage::open(folder.path(), Incarnation(1));
    opened.expect("the files are valid").1
}

/// Returns a storage in a new folder with a term, a vote and the entries.
fn stored_entries(folder: &Path) -> Storage {
    let (mut storage, _) = Storage::open(folder, INCARNATION).expect("the folder is empty");
    let entries = entries();
    storage
        .store(Some(HARD_STATE), &entries[..2])
        .expect("the disk accepts the entries");
    storage
        .store(None, &entries[2..])
        .expect("the disk accepts the entries");
    storage
}

#[test]
fn messages_are_encoded_as_in_the_previous_release() {
    assert_written(MESSAGES, &messages(), encode);
}

#[test]
fn messages_of_the_previous_release_are_decoded() {
    assert_read(MESSAGES, &messages(), decode);
}

#[test]
fn bytes_appended_to_a_message_are_ignored() {
    assert_appended_bytes_are_ignored(&messages(), encode, decode);
}

#[test]
fn log_file_is_written_as_in_the_previous_release() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    stored_entries(folder.path());
    assert_files(FILES, folder.path());
}

#[test]
fn snapshot_file_is_written_as_in_the_previous_release() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let mut storage = stored_entries(folder.path());
    storage
        .store_snapshot(&snapshot(), &entries()[2..])
        .expect("the disk accepts the snapshot");
    assert_files(COMPACTED_FILES, folder.path());
}

#[test]
fn files_of_the_previous_release_are_recovered() {
    let expected = RecoveredState {
        incarnation: INCARNATION,
        hard_state: HARD_STATE,
        snapshot: Snapshot::default(),
        entries: entries(),
    };
    assert_eq!(open_stored(FILES), expected);
    let expected = RecoveredState {
        snapshot: snapshot(),
        entries: entries()[2..].to_vec(),
        ..expected
    };
    assert_eq!(open_stored(COMPACTED_FILES), expected);
}
