//! Encoding of records in frames with a length and a checksum.
//!
//! A frame consists of four bytes of body length, four bytes of CRC-32 of the body (both
//! little-endian), and the body: the records stored by one call. Only the last frame can be torn by a
//! crash, because each frame is synced before the next one is written.

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Snapshot};
use crate::replica::HardState;
use crate::types::{Incarnation, LogIndex};

/// The size of the length and the checksum that precede the body of a frame.
const HEADER_BYTES: usize = 8;

/// Holds one stored record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Record {
    /// A term and vote.
    HardState(HardState),
    /// An entry; it replaces all earlier records of entries from its index on.
    Entry(Entry),
    /// A snapshot.
    Snapshot(Snapshot),
    /// The incarnation of the data folder, and the index of the snapshot that precedes the log file.
    Start(Incarnation, LogIndex),
}

/// Describes how the frames of a file end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Tail {
    /// The last frame is complete.
    Clean,
    /// The frame at this byte offset is not valid, and no valid frame follows.
    Torn(u64),
    /// The frame at this byte offset is damaged, and a valid frame follows.
    Corrupt(u64),
}

/// Encodes records as one frame.
pub(super) fn encode_frame(records: &[Record]) -> Vec<u8> {
    let start = vec![0; HEADER_BYTES];
    let mut frame = postcard::to_extend(records, start)
        .expect("records contain only types that postcard can encode");
    let body = &frame[HEADER_BYTES..];
    let length = u32::try_from(body.len()).expect("the body of a frame is shorter than 4 GiB");
    let checksum = crc32fast::hash(body);
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    frame
}

/// Decodes records up to the end of the content or the first invalid frame.
pub(super) fn decode_frames(content: &[u8]) -> (Vec<Record>, Tail) {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < content.len() {
        let Some((frame, length)) = decode_frame(&content[offset..]) else {
            return (records, classify_fault(content, offset));
        };
        records.extend(frame);
        offset += length;
    }
    (records, Tail::Clean)
}

/// Decodes the frame at the start of `content`; returns its records and its length in bytes.
fn decode_frame(content: &[u8]) -> Option<(Vec<Record>, usize)> {
    let length = u32::from_le_bytes(content.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(content.get(4..HEADER_BYTES)?.try_into().ok()?);
    let body = content.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if body.is_empty() || crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + length))
}

/// Returns `Tail::Corrupt` if a valid frame follows the invalid one at `offset`, otherwise
/// `Tail::Torn`.
fn classify_fault(content: &[u8], offset: usize) -> Tail {
    let position = offset as u64;
    let follows =
        (offset + 1..content.len()).any(|start| decode_frame(&content[start..]).is_some());
    if follows {
        Tail::Corrupt(position)
    } else {
        Tail::Torn(position)
    }
}
