//! Which backend server gets a request.

/// Describes a backend server as one entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The position of the backend server in the caller's own list.
    pub position: usize,
    /// The slots that this entry may still use.
    pub free_slots: u32,
    /// The requests that this entry has in progress there.
    pub in_progress: u32,
}

/// Returns the position of the candidate with the fewest requests in progress that has a free slot.
///
/// Ties go to the first one after `rotation`, so that equal candidates take turns.
#[must_use]
pub fn choose_least_loaded(candidates: &[Candidate], rotation: usize) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|offset| candidates[(rotation + offset) % count])
        .filter(|candidate| candidate.free_slots > 0)
        .min_by_key(|candidate| candidate.in_progress)
        .map(|candidate| candidate.position)
}
