//! Division of a backend server's slots among the entries.
//!
//! Each slot has one home entry, and the entries' shares differ by at most one slot. If the slots
//! do not divide evenly, `rotation` (a hash of the backend server's address) selects the entries
//! that get one more, so that no entry gets the extra slot of every backend server of a pool. An
//! entry that needs more slots borrows idle ones from their home entries.
//!
//! # Module map
//!
//! - [`shares`]: an entry's share while entries may act on different configuration versions
//! - [`lent`]: the slots that an entry has lent to other entries
//! - [`table`]: the slots that an entry may use, and their current use

pub mod lent;
pub mod shares;
pub mod table;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns how many of a backend server's slots have their home at the entry at position `entry` of
/// `entries`.
#[must_use]
pub const fn home_slots(slots: u32, entry: u32, entries: u32, rotation: u64) -> u32 {
    if entries == 0 {
        return 0;
    }
    let base = slots / entries;
    let remainder = slots % entries;
    let shifted = (entry as u64 + rotation % entries as u64) % entries as u64;
    if shifted < remainder as u64 {
        base + 1
    } else {
        base
    }
}

/// Returns the rotation for the backend server at `address`.
///
/// The hash (FNV-1a) is the same in every build, so that entries of different builds agree.
#[must_use]
pub fn rotation_of(address: &str) -> u64 {
    address.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
