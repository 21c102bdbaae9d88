//! How the slots of a backend server are shared by the entries.
//!
//! Every slot has one home entry. The shares differ by at most one; where the slots do not divide
//! evenly, `rotation` (a hash of the backend server) decides who gets one more, so that no entry is
//! favoured over a whole pool.

/// Returns the slots of a backend server whose home is the entry at position `entry` of `entries`.
#[must_use]
pub const fn home_slots(slots: u32, entry: u32, entries: u32, rotation: u64) -> u32 {
    if entries == 0 {
        return 0;
    }
    let base = slots / entries;
    let remainder = slots % entries;
    let shifted = (entry as u64 + rotation) % entries as u64;
    if shifted < remainder as u64 {
        base + 1
    } else {
        base
    }
}
