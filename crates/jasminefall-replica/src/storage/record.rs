//! Records in frames with length and checksum.
//!
//! A frame is four bytes of body length, four bytes of CRC-32 of the body (both little-endian), and
//! the body: the records that one call stores. As each frame is synced before the next is begun,
//! only the last can be torn by a crash.

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Snapshot};
use crate::replica::HardState;
use crate::types::{Incarnation, LogIndex};

const HEADER_BYTES: usize = 8;

/// Says what one record holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Record {
    /// A term and vote.
    HardState(HardState),
    /// An entry; it replaces whatever stood at its index or later.
    Entry(Entry),
    /// A snapshot.
    Snapshot(Snapshot),
    /// The incarnation that the folder belongs to, and the snapshot that the log file follows.
    Start(Incarnation, LogIndex),
}

/// Says how the frames of a file end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Tail {
    /// With a whole frame.
    Clean,
    /// With a frame that was not written whole, starting at this byte.
    Torn(u64),
    /// With damage at this byte and sound frames after it.
    Corrupt(u64),
}

/// Returns the frame that holds the records.
pub(super) fn frame(records: &[Record]) -> Vec<u8> {
    let start = vec![0; HEADER_BYTES];
    let mut frame =
        postcard::to_extend(records, start).expect("records hold nothing that cannot be encoded");
    let body = &frame[HEADER_BYTES..];
    let length = u32::try_from(body.len()).expect("frames stay under 4 GiB");
    let checksum = crc32fast::hash(body);
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    frame
}

/// Reads records up to the end or the first fault.
pub(super) fn read_all(content: &[u8]) -> (Vec<Record>, Tail) {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < content.len() {
        let Some((frame, length)) = read_one(&content[offset..]) else {
            return (records, judge_fault(content, offset));
        };
        records.extend(frame);
        offset += length;
    }
    (records, Tail::Clean)
}

/// Reads the frame at the start of `content` and returns its records and its length in bytes.
fn read_one(content: &[u8]) -> Option<(Vec<Record>, usize)> {
    let length = u32::from_le_bytes(content.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(content.get(4..HEADER_BYTES)?.try_into().ok()?);
    let body = content.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if body.is_empty() || crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + length))
}

/// Tells a torn tail from damage in the middle: after the latter a sound frame still follows.
fn judge_fault(content: &[u8], offset: usize) -> Tail {
    let position = offset as u64;
    let follows = (offset + 1..content.len()).any(|start| read_one(&content[start..]).is_some());
    if follows {
        Tail::Corrupt(position)
    } else {
        Tail::Torn(position)
    }
}
