//! Records with length and checksum.
//!
//! A record is four bytes of body length, four bytes of CRC-32 of the body (both little-endian), and
//! the body.

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Snapshot};
use crate::replica::HardState;

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
}

/// Says how the records of a file end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Tail {
    /// With a whole record.
    Clean,
    /// With a record that was not written whole, starting at this byte.
    Torn(u64),
    /// With damage at this byte and sound records after it.
    Corrupt(u64),
}

/// Appends a record to a buffer.
pub(super) fn write(buffer: &mut Vec<u8>, record: &Record) {
    let body = postcard::to_stdvec(record).expect("records hold nothing that cannot be encoded");
    let length = u32::try_from(body.len()).expect("records stay under 4 GiB");
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buffer.extend_from_slice(&body);
}

/// Reads records up to the end or the first fault.
pub(super) fn read_all(content: &[u8]) -> (Vec<Record>, Tail) {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < content.len() {
        let Some((record, length)) = read_one(&content[offset..]) else {
            return (records, judge_fault(content, offset));
        };
        records.push(record);
        offset += length;
    }
    (records, Tail::Clean)
}

/// Reads the record at the start of `content` and returns it with its length in bytes.
fn read_one(content: &[u8]) -> Option<(Record, usize)> {
    let length = u32::from_le_bytes(content.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(content.get(4..HEADER_BYTES)?.try_into().ok()?);
    let body = content.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if body.is_empty() || crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + length))
}

/// Tells a torn tail from damage in the middle: after the latter a sound record still follows.
fn judge_fault(content: &[u8], offset: usize) -> Tail {
    let position = offset as u64;
    let follows = (offset + 1..content.len()).any(|start| read_one(&content[start..]).is_some());
    if follows {
        Tail::Corrupt(position)
    } else {
        Tail::Torn(position)
    }
}
